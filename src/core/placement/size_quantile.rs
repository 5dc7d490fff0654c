/// Share of the prompt sizes that lie below the quantile.
const QUANTILE: f64 = 0.95;

/// Step size of the estimate, as a share of its current value.
const STEP_SHARE: f64 = 0.04;

/// Running estimate of the 0.95 quantile of the prompt sizes of a route. Each sample moves the
/// estimate up or down by a fixed share of it, so that it follows changes of the traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizeQuantile {
    tokens: f64,
}

impl SizeQuantile {
    /// Starts from the size of the first prompt, in tokens; at least 1.
    #[must_use]
    pub fn new(tokens: f64) -> Self {
        Self {
            tokens: tokens.max(1.0),
        }
    }

    /// Adds the size of a prompt, in tokens.
    ///
    /// ```
    /// use toucanring::core::placement::SizeQuantile;
    ///
    /// let mut quantile = SizeQuantile::new(500.0);
    /// for round in 0..2_000 {
    ///     quantile.observe(f64::from(round % 100) * 10.0);
    /// }
    /// assert!((930.0..=1_040.0).contains(&quantile.tokens()));
    /// ```
    pub fn observe(&mut self, tokens: f64) {
        let step = STEP_SHARE * self.tokens;
        if tokens > self.tokens {
            self.tokens += step * QUANTILE;
        } else {
            self.tokens -= step * (1.0 - QUANTILE);
        }
    }

    /// Current estimate of the quantile, in tokens.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }
}
