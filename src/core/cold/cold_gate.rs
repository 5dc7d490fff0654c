use {
    super::{ColdBound, ColdLimiter, ColdPermit},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Handle of the one [`ColdLimiter`] of a node, which its schedulers share: a server may get requests
/// through several of them. The lock is held for one step and is the innermost one.
#[derive(Debug, Clone)]
pub struct ColdGate(Arc<Mutex<ColdLimiter>>);

impl ColdGate {
    /// Shares a limiter.
    #[must_use]
    pub fn new(limiter: ColdLimiter) -> Self {
        Self(Arc::new(Mutex::new(limiter)))
    }

    /// Locks the limiter. A poisoned lock is used all the same, since no code path leaves the
    /// limiter half changed.
    pub fn limiter(&self) -> MutexGuard<'_, ColdLimiter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this node may send a request to a server now.
    #[must_use]
    pub fn permit(&self, now: Duration, server: &str) -> ColdPermit {
        self.limiter().permit(now, server)
    }

    /// True when this node may send a request to a server now.
    #[must_use]
    pub fn may_send(&self, now: Duration, server: &str) -> bool {
        !matches!(self.permit(now, server), ColdPermit::At(_))
    }

    /// Time until this node may send a request to a server; zero when it may now.
    #[must_use]
    pub fn wait(&self, now: Duration, server: &str) -> Duration {
        match self.permit(now, server) {
            ColdPermit::At(at) => at.saturating_sub(now),
            ColdPermit::Free | ColdPermit::Due => Duration::ZERO,
        }
    }

    /// Records that a request was placed at a server; see [`ColdLimiter::spend`].
    pub fn spend(&self, now: Duration, server: &str) {
        self.limiter().spend(now, server);
    }
}

impl Default for ColdGate {
    /// A gate without rules, which lets every request pass.
    fn default() -> Self {
        let own = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let bound = ColdBound::default();
        Self::new(ColdLimiter::new(own, "", bound, Duration::ZERO))
    }
}
