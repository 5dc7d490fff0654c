use {
    super::{
        IntakeLimits, IntakeVerdict, SMALL_BODY_BYTES,
        body_record::{BodyPool, BodyRecord},
    },
    slotmap::{SlotMap, new_key_type},
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

new_key_type! {
    /// A body of which bytes are kept.
    pub struct BodyKey;
}

/// Bodies that are dropped for another one.
type Victims = SmallVec<[BodyKey; 4]>;

/// Counts the bytes that are kept of all requests, and decides which unfinished body is dropped
/// when the limits are reached.
///
/// - A body up to [`SMALL_BODY_BYTES`] has a part of its own. When that and the rest are used up,
///   the small ones that have received nothing for the longest time are dropped for it, or else
///   the larger ones with the least progress.
/// - For a larger one the unfinished bodies with the least progress in the last second are dropped,
///   as long as they have less than it has.
/// - Where that is not enough, bodies of the client account that holds the most are dropped, as long
///   as it holds more than the account of the body even without them.
#[derive(Debug)]
pub struct BodyLedger {
    limits: IntakeLimits,
    bodies: SlotMap<BodyKey, BodyRecord>,
    small_bytes: usize,
    large_bytes: usize,
}

impl BodyLedger {
    /// Creates a ledger without bodies.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::intake::{BodyLedger, IntakeLimits, IntakeVerdict},
    /// };
    ///
    /// let limits = IntakeLimits { large_bytes: 100_000, small_bytes: 50_000 };
    /// let mut ledger = BodyLedger::new(limits);
    /// let body = ledger.begin(Duration::ZERO, None);
    /// let verdict = ledger.reserve(Duration::ZERO, body, 40_000);
    /// assert!(matches!(verdict, IntakeVerdict::Granted(_)));
    /// ledger.end(body);
    /// assert_eq!(ledger.held_bytes(), 0);
    /// ```
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            bodies: SlotMap::with_key(),
            small_bytes: 0,
            large_bytes: 0,
        }
    }

    /// Bytes that are kept of all requests.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.small_bytes + self.large_bytes
    }

    /// Number of requests that count.
    #[must_use]
    pub fn bodies(&self) -> usize {
        self.bodies.len()
    }

    /// Adds a body that holds no bytes yet. `account` identifies its client account, if known.
    pub fn begin(&mut self, now: Duration, account: Option<u64>) -> BodyKey {
        self.bodies.insert(BodyRecord::new(now, account))
    }

    /// Notes bytes that have arrived of a body, whether they are kept or not.
    pub fn note_arrival(&mut self, now: Duration, key: BodyKey, bytes: usize) {
        let Some(body) = self.bodies.get_mut(key) else {
            return;
        };
        body.progress.add(now, bytes);
        body.last_byte = now;
    }

    /// Time at which the last byte of a body arrived, or its start; none when it was dropped.
    #[must_use]
    pub fn last_byte(&self, key: BodyKey) -> Option<Duration> {
        Some(self.bodies.get(key)?.last_byte)
    }

    /// Takes `bytes` more for a body before they are kept.
    pub fn reserve(&mut self, now: Duration, key: BodyKey, bytes: usize) -> IntakeVerdict {
        let Some(body) = self.bodies.get(key) else {
            return IntakeVerdict::Dropped;
        };
        let (pool, held) = (body.pool, body.held_bytes);
        let is_small = held + bytes <= SMALL_BODY_BYTES;
        if is_small
            && pool == BodyPool::Small
            && self.small_bytes + bytes <= self.limits.small_bytes
        {
            return self.grant(key, bytes, BodyPool::Small, Victims::new());
        }
        // A body that changes to the large part takes its bytes along.
        let needed = match pool {
            BodyPool::Small => held + bytes,
            BodyPool::Large => bytes,
        };
        let own = if pool == BodyPool::Large { held } else { 0 };
        let free = self.limits.large_bytes.saturating_sub(self.large_bytes);
        if needed <= free || self.large_bytes == own {
            return self.grant(key, bytes, BodyPool::Large, Victims::new());
        }
        let missing = needed - free;
        let victims = if is_small {
            self.idle_small(key, needed)
                .or_else(|| self.slow_large(now, key, (bytes, missing), usize::MAX))
        } else {
            let progress = self.bodies[key].progress.recent(now);
            self.slow_large(now, key, (bytes, missing), progress)
        };
        let Some((victims, pool)) = victims else {
            self.end(key);
            return IntakeVerdict::NoRoom;
        };
        for victim in &victims {
            self.end(*victim);
        }
        self.grant(key, bytes, pool, victims)
    }

    /// Marks a body as whole: it takes `bytes` from now on, and is no longer dropped. False when it
    /// was dropped before.
    pub fn finish(&mut self, key: BodyKey, bytes: usize) -> bool {
        let Some(body) = self.bodies.get_mut(key) else {
            return false;
        };
        let held = std::mem::replace(&mut body.held_bytes, bytes);
        body.is_whole = true;
        let sum = match body.pool {
            BodyPool::Small => &mut self.small_bytes,
            BodyPool::Large => &mut self.large_bytes,
        };
        *sum = *sum - held + bytes;
        true
    }

    /// Removes a body whose memory is freed. One that was dropped is not counted any more.
    pub fn end(&mut self, key: BodyKey) {
        let Some(body) = self.bodies.remove(key) else {
            return;
        };
        match body.pool {
            BodyPool::Small => self.small_bytes -= body.held_bytes,
            BodyPool::Large => self.large_bytes -= body.held_bytes,
        }
    }

    fn grant(
        &mut self,
        key: BodyKey,
        bytes: usize,
        pool: BodyPool,
        victims: Victims,
    ) -> IntakeVerdict {
        let body = &mut self.bodies[key];
        if body.pool == BodyPool::Small && pool == BodyPool::Large {
            self.small_bytes -= body.held_bytes;
            self.large_bytes += body.held_bytes;
        }
        body.pool = pool;
        body.held_bytes += bytes;
        match pool {
            BodyPool::Small => self.small_bytes += bytes,
            BodyPool::Large => self.large_bytes += bytes,
        }
        IntakeVerdict::Granted(victims)
    }

    /// The small bodies, longest without a byte first, whose bytes make room for `bytes` of another
    /// small one in its part.
    fn idle_small(&self, key: BodyKey, bytes: usize) -> Option<(Victims, BodyPool)> {
        let own_pool = self.bodies[key].pool;
        let is_candidate = |other: BodyKey, body: &BodyRecord| {
            let is_small = body.held_bytes <= SMALL_BODY_BYTES;
            other != key && !body.is_whole && is_small && body.pool == own_pool
        };
        let mut candidates: Vec<(Duration, usize, BodyKey)> = Vec::new();
        for (other, body) in &self.bodies {
            if is_candidate(other, body) && body.held_bytes > 0 {
                candidates.push((body.last_byte, body.held_bytes, other));
            }
        }
        candidates.sort_unstable();
        let free = match own_pool {
            BodyPool::Small => self.limits.small_bytes.saturating_sub(self.small_bytes),
            BodyPool::Large => self.limits.large_bytes.saturating_sub(self.large_bytes),
        };
        // The bytes that the body has are in its part already.
        let added = match own_pool {
            BodyPool::Small => bytes - self.bodies[key].held_bytes,
            BodyPool::Large => bytes,
        };
        let victims = take_until(&candidates, added.saturating_sub(free))?;
        Some((victims, own_pool))
    }

    /// Unfinished bodies of the large part with less progress than `progress`, the least first, that
    /// take the `missing` bytes; otherwise those of the account that holds the most.
    fn slow_large(
        &self,
        now: Duration,
        key: BodyKey,
        (bytes, missing): (usize, usize),
        progress: usize,
    ) -> Option<(Victims, BodyPool)> {
        let mut candidates: Vec<(usize, usize, BodyKey)> = Vec::new();
        for (other, body) in &self.bodies {
            let is_candidate = other != key && !body.is_whole && body.pool == BodyPool::Large;
            if is_candidate && body.held_bytes > 0 {
                candidates.push((body.progress.recent(now), body.held_bytes, other));
            }
        }
        candidates.sort_unstable();
        let slower = candidates.partition_point(|candidate| candidate.0 < progress);
        let victims = take_until(&candidates[..slower], missing)
            .or_else(|| self.of_largest_account(key, &candidates, (bytes, missing)))?;
        Some((victims, BodyPool::Large))
    }

    /// Bodies of the account that holds the most, least progress first, as long as it holds more
    /// than the account of `key` without them.
    fn of_largest_account(
        &self,
        key: BodyKey,
        candidates: &[(usize, usize, BodyKey)],
        (requested, missing): (usize, usize),
    ) -> Option<Victims> {
        let own_account = self.bodies[key].account?;
        let mut held: HashMap<u64, usize> = HashMap::new();
        for body in self.bodies.values() {
            let Some(account) = body.account else {
                continue;
            };
            *held.entry(account).or_default() += body.held_bytes;
        }
        let own_held = held.get(&own_account).copied().unwrap_or_default() + requested;
        let (largest, mut largest_held) = held
            .into_iter()
            .filter(|(account, _)| *account != own_account)
            .max_by_key(|(account, bytes)| (*bytes, *account))?;
        let mut victims = Victims::new();
        let mut freed = 0;
        for (_, bytes, other) in candidates {
            if self.bodies[*other].account != Some(largest) {
                continue;
            }
            largest_held -= bytes;
            if largest_held < own_held {
                return None;
            }
            victims.push(*other);
            freed += bytes;
            if freed >= missing {
                return Some(victims);
            }
        }
        None
    }
}

/// The first candidates whose bytes add up to `missing`; none when all are not enough.
fn take_until<T>(candidates: &[(T, usize, BodyKey)], missing: usize) -> Option<Victims> {
    let mut victims = Victims::new();
    let mut freed = 0;
    for (_, bytes, key) in candidates {
        if freed >= missing {
            break;
        }
        victims.push(*key);
        freed += bytes;
    }
    (freed >= missing).then_some(victims)
}
