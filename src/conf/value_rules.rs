use {super::ConfFault, std::collections::BTreeMap, std::fmt::Display};

/// Longest name in characters; names become parts of row keys and URLs.
pub const MAX_NAME_CHARS: usize = 64;

/// Collects faults of checked values.
#[derive(Debug, Default)]
pub(super) struct FaultCollector {
    pub faults: Vec<ConfFault>,
}

impl FaultCollector {
    /// Records a fault unless `holds`.
    pub fn expect(&mut self, holds: bool, path: &str, value: impl Display, rule: &str) {
        if !holds {
            self.faults.push(ConfFault::new(path, value, rule));
        }
    }

    /// Checks a name that becomes part of row keys and URLs.
    pub fn name(&mut self, path: &str, name: &str) {
        let allowed = |letter: char| {
            letter.is_ascii_lowercase() || letter.is_ascii_digit() || "-_.".contains(letter)
        };
        let starts = name
            .chars()
            .next()
            .is_some_and(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit());
        let holds = starts && name.len() <= MAX_NAME_CHARS && name.chars().all(allowed);
        let rule = "must be 1 to 64 of a-z 0-9 - _ . and start with a letter or digit";
        self.expect(holds, path, format_args!("{name:?}"), rule);
    }

    /// Checks that a number is finite, above `low` (or equal when `closed`) and at most `high`.
    pub fn range(&mut self, path: &str, value: f64, low: f64, high: f64, closed: bool) {
        let above = if closed { value >= low } else { value > low };
        let bound = if closed { "at least" } else { "above" };
        let rule = format!("must be {bound} {low} and at most {high}");
        self.expect(above && value <= high, path, value, &rule);
    }

    /// Checks an integer against inclusive bounds.
    pub fn count(&mut self, path: &str, value: u64, low: u64, high: u64) {
        let rule = format!("must be from {low} to {high}");
        self.expect((low..=high).contains(&value), path, value, &rule);
    }

    /// Checks that no value occurs at two paths.
    pub fn unique(&mut self, values: impl IntoIterator<Item = (String, String)>, what: &str) {
        let mut first: BTreeMap<String, String> = BTreeMap::new();
        for (path, value) in values {
            let Some(other) = first.get(&value) else {
                first.insert(value, path);
                continue;
            };
            let rule = format!("{what} must be unique, but {other} has the same");
            self.faults
                .push(ConfFault::new(path, format_args!("{value:?}"), rule));
        }
    }

    /// Checks that `name` is in `known`.
    pub fn known<'a>(
        &mut self,
        path: &str,
        name: &str,
        mut known: impl Iterator<Item = &'a str>,
        what: &str,
    ) {
        let holds = known.any(|other| other == name);
        let rule = format!("must name {what} of this text");
        self.expect(holds, path, format_args!("{name:?}"), &rule);
    }

    /// Checks 64 lower-case hexadecimal digits.
    pub fn hex_digest(&mut self, path: &str, value: &str) {
        let digit = |letter: u8| letter.is_ascii_digit() || (b'a'..=b'f').contains(&letter);
        let holds = value.len() == 64 && value.bytes().all(digit);
        // The value may be a secret, so that only its length is shown.
        let shown = format!("{} characters", value.len());
        self.expect(
            holds,
            path,
            shown,
            "must be 64 lower-case hexadecimal digits",
        );
    }
}
