use {super::RepeatRule, crate::conf::PlainService};

/// Whether a path is in normal form: no empty or dot segments, and no percent-encoding of a
/// character that needs none or of a separator.
///
/// A backend server may treat `/ledger//bookings` as `/ledger/bookings`. The rules for
/// non-repeatable calls compare paths as text and would not match another spelling.
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
    let trimmed = path.strip_prefix('/').unwrap_or(path);
    let trimmed = trimmed.strip_suffix('/').unwrap_or(trimmed);
    let is_normal = |segment: &str| !matches!(segment, "" | "." | "..") && !segment.contains('\\');
    trimmed.split('/').all(is_normal) && path.split('%').skip(1).all(is_needed_escape)
}

/// Whether `rest`, the text after a `%`, starts with the code of a byte that has to be escaped.
fn is_needed_escape(rest: &str) -> bool {
    let Some(byte) = rest
        .get(..2)
        .and_then(|digits| u8::from_str_radix(digits, 16).ok())
    else {
        return false;
    };
    let is_unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    !is_unreserved && byte != b'/' && byte != b'\\'
}

/// Determines whether a call of a plain service may run more than once.
///
/// Calls that the configuration lists as non-repeatable run at most once. So does any other call
/// with an `Idempotency-Key`, the value of `key`, unless its method only reads: the caller asks for
/// it by sending a key. `path` starts with `/services/` and the name of the service.
///
/// ```
/// use toucanring::{
///     conf::{CallPattern, PlainService},
///     core::dispatch::{RepeatRule, repeat_rule},
/// };
///
/// let service = PlainService {
///     name: "ledger".to_owned(),
///     instances: vec!["p0".to_owned()],
///     non_repeatable: vec![CallPattern {
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
    let service_path = path
        .strip_prefix("/services/")
        .and_then(|path| path.strip_prefix(service.name.as_str()))
        .unwrap_or(path);
    let is_listed = service.non_repeatable.iter().any(|call| {
        call.method.eq_ignore_ascii_case(method) && service_path.starts_with(&call.path)
    });
    let is_requested = key.is_some() && !matches!(method, "GET" | "HEAD" | "OPTIONS");
    if is_listed || is_requested {
        return RepeatRule::Once(key.map(str::to_owned));
    }
    RepeatRule::Repeatable
}
