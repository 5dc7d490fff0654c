use {super::ConfigFault, std::collections::BTreeMap, std::fmt::Display};

/// Maximum length of a name in characters. Names become parts of row keys and URLs.
pub const MAX_NAME_CHARS: usize = 64;

/// Checks values against rules and collects the faults found.
#[derive(Debug, Default)]
pub(super) struct FaultCollector {
    /// Faults in the order of the checks.
    pub faults: Vec<ConfigFault>,
}

impl FaultCollector {
    /// Records the fault that `value` breaks `rule`, unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, value: impl Display, rule: &str) {
        if !holds {
            self.faults.push(ConfigFault::new(path, value, rule));
        }
    }

    /// Checks a name that becomes part of row keys and URLs.
    pub fn check_name(&mut self, path: &str, name: &str) {
        let allowed = |character: char| {
            character.is_ascii_lowercase()
                || character.is_ascii_digit()
                || "-_.".contains(character)
        };
        let valid_start = name
            .chars()
            .next()
            .is_some_and(|character| character.is_ascii_lowercase() || character.is_ascii_digit());
        let holds = valid_start && name.len() <= MAX_NAME_CHARS && name.chars().all(allowed);
        let rule = "must be 1 to 64 of a-z 0-9 - _ . and start with a letter or digit";
        self.require(holds, path, format_args!("{name:?}"), rule);
    }

    /// Checks that a number is above `low`, or equal to it if `closed`, and at most `high`. NaN
    /// breaks the rule.
    pub fn check_range(&mut self, path: &str, value: f64, low: f64, high: f64, closed: bool) {
        let above_low = if closed { value >= low } else { value > low };
        let bound_text = if closed { "at least" } else { "above" };
        let rule = format!("must be {bound_text} {low} and at most {high}");
        self.require(above_low && value <= high, path, value, &rule);
    }

    /// Checks that an integer is from `low` to `high`, both included.
    pub fn check_count(&mut self, path: &str, value: u64, low: u64, high: u64) {
        let rule = format!("must be from {low} to {high}");
        self.require((low..=high).contains(&value), path, value, &rule);
    }

    /// Checks that no value occurs twice. `values` holds pairs of path and value, `noun` says what
    /// they name.
    pub fn check_unique(&mut self, values: impl IntoIterator<Item = (String, String)>, noun: &str) {
        let mut first_paths: BTreeMap<String, String> = BTreeMap::new();
        for (path, value) in values {
            let Some(first_path) = first_paths.get(&value) else {
                first_paths.insert(value, path);
                continue;
            };
            let rule = format!("{noun} must be unique, but {first_path} has the same");
            self.faults
                .push(ConfigFault::new(path, format_args!("{value:?}"), rule));
        }
    }

    /// Checks that `name` is one of `known`; `noun` says what it must name.
    pub fn check_known<'a>(
        &mut self,
        path: &str,
        name: &str,
        mut known: impl Iterator<Item = &'a str>,
        noun: &str,
    ) {
        let holds = known.any(|known_name| known_name == name);
        let rule = format!("must name {noun} of this text");
        self.require(holds, path, format_args!("{name:?}"), &rule);
    }

    /// Checks that a value consists of 64 lower-case hexadecimal digits.
    pub fn check_hex_digest(&mut self, path: &str, value: &str) {
        let is_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let holds = value.len() == 64 && value.bytes().all(is_hex_digit);
        // Shows only the length, because the value may be a secret key.
        let length = format!("{} characters", value.len());
        self.require(
            holds,
            path,
            length,
            "must be 64 lower-case hexadecimal digits",
        );
    }
}
