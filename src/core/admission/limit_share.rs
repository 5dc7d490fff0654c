/// Share of a new demand sample in the running mean. Counts of one second
/// scatter widely at a few requests a second; with 0.3 the total of an account
/// at 0.8 of its limit was often taken to be above it.
const SAMPLE_SHARE: f64 = 0.15;

/// The part of an account's limit that this gateway may use.
///
/// While the demand of all gateways is below the limit, each gateway gets its
/// demand and the whole rest, since arrivals of a few requests a second come
/// in bursts; equal parts of the rest refused one request in ten of accounts
/// that stayed below their limit. Above the limit, each gets a part in
/// proportion to its demand, and the parts add up to the limit.
#[derive(Debug, Clone, Default)]
pub struct LimitShare {
    own: f64,
    part: Option<f64>,
}

impl LimitShare {
    /// Takes the own demand of the last round.
    pub fn note_own(&mut self, demand: f64) {
        self.own += SAMPLE_SHARE * (demand - self.own);
    }

    /// Own demand, smoothed; what the peers are told.
    #[must_use]
    pub const fn own(&self) -> f64 {
        self.own
    }

    /// Computes the part again from the demands of the other `gateways - 1`.
    ///
    /// ```
    /// let mut share = toucanring::core::admission::LimitShare::default();
    /// share.note_own(10.0);
    /// share.update(5.0, 2.0, 2);
    /// assert_eq!(share.part(5.0, 2), 3.0);
    /// ```
    pub fn update(&mut self, limit: f64, others: f64, gateways: usize) {
        let total = self.own + others;
        let count = count_f64(gateways);
        let part = if total < limit {
            limit - others
        } else {
            // A gateway without demand keeps a little, so that it can start.
            let floor = 0.01 * limit;
            limit * (self.own + floor) / (total + floor * count)
        };
        self.part = Some(part);
    }

    /// The part; an equal one before the first exchange.
    #[must_use]
    pub fn part(&self, limit: f64, gateways: usize) -> f64 {
        self.part.unwrap_or(limit / count_f64(gateways))
    }
}

fn count_f64(gateways: usize) -> f64 {
    f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX))
}
