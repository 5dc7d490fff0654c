use std::fmt;

/// Longest part of a field's path or of a rule that is kept, in bytes. Another writer chooses the
/// names of unknown fields, so that a path may be as long as a row.
const MAX_TEXT_BYTES: usize = 120;

value_type! {
    /// Why a row of the store or a message of another program cannot be used. It holds nothing of
    /// the value, which may be large or secret.
    #[derive(Eq)]
    pub struct DecodeFault {
        /// Path of the field that breaks the rule; a dot stands for the whole value.
        pub field: String,
        /// Rule that the field breaks.
        pub rule: String,
        /// Size of the field if it is a text, otherwise of the whole value, in bytes.
        pub bytes: usize,
    }
}

impl DecodeFault {
    /// Creates a fault; long texts are cut.
    ///
    /// ```
    /// use toucanring::core::store::DecodeFault;
    ///
    /// let fault = DecodeFault::new("address", "must have a port", 11);
    /// assert_eq!(fault.to_string(), "address: must have a port (11 bytes)");
    /// ```
    #[must_use]
    pub fn new(field: &str, rule: &str, bytes: usize) -> Self {
        Self {
            field: cut_text(field),
            rule: cut_text(rule),
            bytes,
        }
    }
}

impl fmt::Display for DecodeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} ({} bytes)",
            self.field, self.rule, self.bytes
        )
    }
}

/// The first bytes of a text from another program, for a log line.
///
/// ```
/// assert_eq!(toucanring::core::store::cut_text(&"x".repeat(60_000)).len(), 120);
/// ```
#[must_use]
pub fn cut_text(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES)].to_owned()
}
