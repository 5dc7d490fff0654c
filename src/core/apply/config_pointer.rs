/// Key of the row that names the configuration in force.
pub const CONFIG_ROW: &str = "config/current";
/// Prefix of the rows that hold the pointer of each version, with the one in force.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Versions kept in the history; bounds the number of rows that a scan returns.
pub const HISTORY_VERSIONS: u64 = 1_000;

wire_type! {
    /// Value of the row `config/current` and of the rows of its history.
    #[derive(Eq)]
    pub struct ConfigPointer {
        /// Version of the configuration; one more than the version that it replaced.
        pub version: u64,
        /// Hexadecimal blake3 digest of the text; its object is `config/<digest>`.
        pub digest: String,
        /// Operator who applied it, as named by the client.
        pub author: String,
        /// Random number of the attempt, by which the client recognizes its own write after the
        /// answer was lost; 0 in rows that lack the field.
        #[serde(default)]
        pub attempt: u64,
        /// Time of the attempt in milliseconds since the Unix epoch, by the operator's clock; 0 in
        /// rows that lack the field.
        #[serde(default)]
        pub applied_ms: u64,
    }
}

/// Returns the key of the history row of a version; keys sort by version.
///
/// ```
/// use toucanring::core::apply::history_key;
///
/// assert_eq!(history_key(12), "config/history/00000000000000000012");
/// ```
#[must_use]
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}

/// Returns the key of the object that holds the text with this digest.
///
/// ```
/// use toucanring::core::apply::text_key;
///
/// assert_eq!(text_key("ab12"), "config/ab12");
/// ```
#[must_use]
pub fn text_key(digest: &str) -> String {
    format!("config/{digest}")
}
