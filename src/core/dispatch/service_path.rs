use {super::RepeatRule, crate::conf::PlainService};

/// Whether a path has one spelling only: no empty or dot segment, and no
/// escaped character that stands for itself or for a separator.
///
/// A backend server may treat `/ledger//bookings` as `/ledger/bookings`. The
/// rules for non-repeatable calls compare paths by their text, so that another
/// spelling would escape them.
///
/// ```
/// use toucanring::core::dispatch::is_normal_path;
///
/// assert!(is_normal_path("/services/ledger/bookings/"));
/// assert!(is_normal_path("/services/ledger/caf%C3%A9"));
/// assert!(!is_normal_path("/services/ledger//bookings"));
/// assert!(!is_normal_path("/services/ledger/./bookings"));
/// assert!(!is_normal_path("/services/ledger/%62ookings"));
/// assert!(!is_normal_path("/services/ledger%2fbookings"));
/// ```
#[must_use]
pub fn is_normal_path(path: &str) -> bool {
    let inner = path.strip_prefix('/').unwrap_or(path);
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    let plain = |segment: &str| !matches!(segment, "" | "." | "..") && !segment.contains('\\');
    inner.split('/').all(plain) && path.split('%').skip(1).all(is_needed_escape)
}

/// Whether the text after a `%` escapes a byte that has to be escaped.
fn is_needed_escape(rest: &str) -> bool {
    let Some(byte) = rest
        .get(..2)
        .and_then(|digits| u8::from_str_radix(digits, 16).ok())
    else {
        return false;
    };
    let stands_for_itself = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    !stands_for_itself && byte != b'/' && byte != b'\\'
}

/// How often a call of a plain service may run.
///
/// Calls that the operator text lists run at most once. So does any other call
/// that may change something and carries an `Idempotency-Key`, since its caller
/// asks for that.
///
/// ```
/// use toucanring::{
///     conf::{PlainCall, PlainService},
///     core::dispatch::{RepeatRule, repeat_rule},
/// };
///
/// let service = PlainService {
///     name: "ledger".to_owned(),
///     instances: vec!["p0".to_owned()],
///     non_repeatable: vec![PlainCall {
///         method: "POST".to_owned(),
///         path: "/bookings".to_owned(),
///     }],
///     depends_on: Vec::new(),
/// };
/// let booking = repeat_rule(&service, "POST", "/services/ledger/bookings", None);
/// assert_eq!(booking, RepeatRule::Once(None));
/// let entries = repeat_rule(&service, "GET", "/services/ledger/entries", None);
/// assert_eq!(entries, RepeatRule::Repeatable);
/// ```
#[must_use]
pub fn repeat_rule(
    service: &PlainService,
    method: &str,
    path: &str,
    key: Option<&str>,
) -> RepeatRule {
    let below = path
        .strip_prefix("/services/")
        .and_then(|path| path.strip_prefix(service.name.as_str()))
        .unwrap_or(path);
    let listed = service
        .non_repeatable
        .iter()
        .any(|call| call.method.eq_ignore_ascii_case(method) && below.starts_with(&call.path));
    let asked = key.is_some() && !matches!(method, "GET" | "HEAD" | "OPTIONS");
    if listed || asked {
        return RepeatRule::Once(key.map(str::to_owned));
    }
    RepeatRule::Repeatable
}
