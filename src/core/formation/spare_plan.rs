use super::{FreeServer, ServerKey};

/// Picks the next spare of a fabric domain whose host has none of the weights
/// that its domain serves.
#[must_use]
pub fn plan_spare(free: &[FreeServer], model: &str) -> Option<ServerKey> {
    for server in free {
        let holds = server.staged.iter().any(|staged| staged == model);
        if holds || server.staging.is_some() {
            continue;
        }
        return Some(server.key);
    }
    None
}
