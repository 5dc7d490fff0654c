/// Weight of the newest sample in the moving average of the demand. Counts over one second vary
/// widely at a few requests per second; with 0.3 the total of an account at 0.8 of its limit often
/// appeared to be above the limit.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Share of one limit of a client account that this gateway may use, in the unit of the limit.
///
/// While the total demand of all gateways is below the limit, each gateway gets its demand plus the
/// whole unused rest, because a few requests per second arrive in bursts; equal shares of the rest
/// refused one request in ten of accounts that stayed below their limit. Above the limit, each
/// gateway gets a share in proportion to its demand, and the shares add up to the limit.
#[derive(Debug, Clone, Default)]
pub struct LimitShare {
    own_demand: f64,
    /// `None` before the first update.
    allowance: Option<f64>,
}

impl LimitShare {
    /// Adds this gateway's demand since the last exchange to the moving average.
    pub fn record_demand(&mut self, demand: f64) {
        self.own_demand += SAMPLE_WEIGHT * (demand - self.own_demand);
    }

    /// Moving average of this gateway's demand; the values for requests and tokens are sent to the
    /// peers.
    #[must_use]
    pub const fn own_demand(&self) -> f64 {
        self.own_demand
    }

    /// Recomputes the share of this gateway. `other_demand` is the total demand of the other
    /// gateways, and `gateways` is the number of gateways, this one included.
    ///
    /// ```
    /// let mut share = toucanring::core::admission::LimitShare::default();
    /// share.record_demand(10.0);
    /// share.update(5.0, 2.0, 2);
    /// assert_eq!(share.allowance(5.0, 2), 3.0);
    /// ```
    pub fn update(&mut self, limit: f64, other_demand: f64, gateways: usize) {
        let total = self.own_demand + other_demand;
        let count = count_as_f64(gateways);
        let allowance = if total < limit {
            limit - other_demand
        } else {
            // A gateway without demand keeps a small share, so that it can admit a first request.
            let floor = 0.01 * limit;
            limit * (self.own_demand + floor) / (total + floor * count)
        };
        self.allowance = Some(allowance);
    }

    /// Share of the limit that this gateway may use; an equal share for each gateway before the
    /// first update.
    #[must_use]
    pub fn allowance(&self, limit: f64, gateways: usize) -> f64 {
        self.allowance.unwrap_or(limit / count_as_f64(gateways))
    }
}

fn count_as_f64(gateways: usize) -> f64 {
    f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX))
}
