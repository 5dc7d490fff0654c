/// Decodes `%XX` sequences; a malformed sequence is kept as it is.
///
/// ```
/// assert_eq!(standins::web::decode_percent("claim/a%2Fb"), "claim/a/b");
/// ```
#[must_use]
pub fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let pair = tail
            .get(..2)
            .filter(|_| first == b'%')
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        decoded.push(pair.unwrap_or(first));
        rest = if pair.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Finds the first value of this name in a query string and decodes its `%XX` sequences.
///
/// ```
/// assert_eq!(standins::web::query_value(Some("a=1&prefix=x/"), "prefix"), Some("x/".to_owned()));
/// ```
#[must_use]
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode_percent(value))
}
