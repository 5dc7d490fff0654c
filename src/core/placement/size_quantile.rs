/// Share of the sizes that lie below the quantile.
const QUANTILE: f64 = 0.95;

/// Part of the quantile by which a sample moves it.
const STEP: f64 = 0.04;

/// Running quantile of the prompt sizes of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizeQuantile {
    tokens: f64,
}

impl SizeQuantile {
    /// Starts from the first size.
    #[must_use]
    pub fn new(tokens: f64) -> Self {
        Self {
            tokens: tokens.max(1.0),
        }
    }

    /// Takes a size.
    ///
    /// ```
    /// use toucanring::core::placement::SizeQuantile;
    ///
    /// let mut quantile = SizeQuantile::new(500.0);
    /// for round in 0..2_000 {
    ///     quantile.take(f64::from(round % 100) * 10.0);
    /// }
    /// assert!((930.0..=1_040.0).contains(&quantile.tokens()));
    /// ```
    pub fn take(&mut self, tokens: f64) {
        let step = STEP * self.tokens;
        if tokens > self.tokens {
            self.tokens += step * QUANTILE;
        } else {
            self.tokens -= step * (1.0 - QUANTILE);
        }
    }

    /// The quantile in tokens.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }
}
