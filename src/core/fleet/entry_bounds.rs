//! Bounds on what the entry of a backend server or the report of an engine may hold. An entry may
//! come from another writer; one that exceeds a bound names no server to use.

use {
    super::{BackendEntry, EngineMembership, EngineReport},
    crate::core::store::DecodeFault,
    std::net::{IpAddr, SocketAddr},
};

/// Longest name in bytes, as for the keys of the store. Names are copied to the log and to peers.
pub const MAX_NAME_BYTES: usize = 200;

/// Most models that a host may hold. Hosts keep a few; the list is copied to peers.
pub const MAX_STAGED_MODELS: usize = 32;

/// Highest epoch of a group. Epochs of the highest term of a lease stay below it, and arithmetic
/// with epochs up to it does not overflow.
pub const MAX_EPOCH: u64 = 1 << 62;

/// Highest rank of a member; far above the size of any group.
pub const MAX_RANK: u32 = 4_096;

/// Result of checking an entry or a report.
pub type Result = std::result::Result<(), DecodeFault>;

impl BackendEntry {
    /// Checks the entry against the bounds.
    ///
    /// # Errors
    /// Names the first field that exceeds its bound.
    pub fn check(&self) -> Result {
        check_id(&self.id)?;
        check_name("service", &self.service)?;
        check_present("service", &self.service)?;
        check_address(self.address)?;
        check_name("failure domain", &self.failure_domain)?;
        check_name("fabric", &self.fabric)?;
        check_engine(self.model.as_ref(), &self.staged, self.membership.as_ref())
    }
}

impl EngineReport {
    /// Checks the report against the bounds.
    ///
    /// # Errors
    /// Names the first field that exceeds its bound.
    pub fn check(&self) -> Result {
        check_engine(self.model.as_ref(), &self.staged, self.membership.as_ref())
    }
}

fn check_engine(
    model: Option<&String>,
    staged: &[String],
    membership: Option<&EngineMembership>,
) -> Result {
    if let Some(model) = model {
        check_name("model", model)?;
    }
    if staged.len() > MAX_STAGED_MODELS {
        let rule = format!("must have at most {MAX_STAGED_MODELS} models");
        let bytes = staged.iter().map(String::len).sum();
        return Err(DecodeFault::new("staged", &rule, bytes));
    }
    for name in staged {
        check_name("staged", name)?;
    }
    let Some(member) = membership else {
        return Ok(());
    };
    check_name("group name", &member.group)?;
    if member.epoch > MAX_EPOCH {
        let rule = format!("must be at most {MAX_EPOCH}");
        return Err(DecodeFault::new("group epoch", &rule, size_of::<u64>()));
    }
    if member.rank > MAX_RANK {
        let rule = format!("must be at most {MAX_RANK}");
        return Err(DecodeFault::new("group rank", &rule, size_of::<u32>()));
    }
    Ok(())
}

/// The identifier is sent in a header, by which a server at a reused address refuses requests for
/// another one. With other characters the header would be left out.
fn check_id(id: &str) -> Result {
    check_name("id", id)?;
    check_present("id", id)?;
    if id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(DecodeFault::new(
        "id",
        "must be visible ASCII characters",
        id.len(),
    ))
}

fn check_present(field: &str, name: &str) -> Result {
    if name.is_empty() {
        return Err(DecodeFault::new(field, "must not be empty", 0));
    }
    Ok(())
}

fn check_name(field: &str, name: &str) -> Result {
    if name.len() > MAX_NAME_BYTES {
        let rule = format!("must have at most {MAX_NAME_BYTES} bytes");
        return Err(DecodeFault::new(field, &rule, name.len()));
    }
    Ok(())
}

/// Nothing can be sent to port 0; the unspecified address is this machine, and the others name no
/// single server.
fn check_address(address: SocketAddr) -> Result {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    let is_server = !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast;
    if address.port() != 0 && is_server {
        return Ok(());
    }
    let rule = "must be the address of one server with a port above 0";
    Err(DecodeFault::new("address", rule, address.to_string().len()))
}
