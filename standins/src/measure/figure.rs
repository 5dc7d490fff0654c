use std::fmt;

/// A measured value; displayed as `name value unit`, rounded to three decimals.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// Dotted name, such as `groups.violations`.
    pub name: String,
    /// Value in `unit`.
    pub value: f64,
    /// Unit, such as `ms`.
    pub unit: &'static str,
}

impl Figure {
    /// Creates a figure; `value` is rounded only when it is displayed.
    ///
    /// ```
    /// use standins::measure::Figure;
    ///
    /// let figure = Figure::new("groups.plan_ms_p99", 1.5, "ms");
    /// assert_eq!(figure.to_string(), "groups.plan_ms_p99 1.5 ms");
    /// ```
    #[must_use]
    pub fn new(name: &str, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.to_owned(),
            value,
            unit,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rounded = (self.value * 1000.0).round() / 1000.0;
        write!(formatter, "{} {rounded} {}", self.name, self.unit)
    }
}
