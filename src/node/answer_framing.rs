//! Framing of a server's response: how the end of its body shows.

use hyper::{HeaderMap, header};

/// The only transfer coding that the HTTP client takes off.
const CHUNKED: &[u8] = b"chunked";

/// True when the end of the body shows only by the end of the connection.
#[must_use]
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// True when the response names a transfer coding other than `chunked` alone. The HTTP client reads
/// such a body up to the end of the connection or leaves it encoded, so it is not the server's own.
///
/// ```
/// use hyper::{HeaderMap, header::TRANSFER_ENCODING};
/// use toucanring::node::has_unknown_coding;
///
/// let mut headers = HeaderMap::new();
/// assert!(!has_unknown_coding(&headers));
/// headers.insert(TRANSFER_ENCODING, "Chunked".parse().unwrap());
/// assert!(!has_unknown_coding(&headers));
/// headers.insert(TRANSFER_ENCODING, "chun".parse().unwrap());
/// assert!(has_unknown_coding(&headers));
/// ```
#[must_use]
pub fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    let is_chunked =
        |value: &header::HeaderValue| value.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED);
    codings.iter().count() > 1 || !codings.iter().all(is_chunked)
}
