/// Key of the row that names the configuration in force.
pub const CONFIG_ROW: &str = "config/current";
/// Prefix of the rows that keep former pointers.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Versions that stay in the history; bounds the rows that a scan returns.
pub const HISTORY_VERSIONS: u64 = 1_000;

wire_type! {
    /// Value of the row `config/current` and of the rows of its history.
    #[derive(Eq)]
    pub struct ConfigPointer {
        /// Version of the configuration; one more than the version that it replaced.
        pub version: u64,
        /// Hexadecimal blake3 digest of the text; its object is `config/<digest>`.
        pub digest: String,
        /// Who applied it.
        pub author: String,
        /// Random number of the attempt, by which its author recognizes the
        /// write after the answer was lost.
        #[serde(default)]
        pub attempt: u64,
        /// Time of the attempt in milliseconds since the Unix epoch, by the
        /// operator's clock.
        #[serde(default)]
        pub applied_ms: u64,
    }
}

/// Key of the history row of a version; keys sort by version.
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

/// Key of the object that holds a text.
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
