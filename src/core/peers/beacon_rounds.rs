use std::net::SocketAddr;

/// One beacon in this many also goes to nodes that were not heard lately or were only named by
/// others.
const UNHEARD_BEACON_PERIOD: u64 = 5;

/// True when the beacon with this number also goes to nodes that were not heard lately.
#[must_use]
pub const fn reaches_unheard(sequence: u64) -> bool {
    sequence.is_multiple_of(UNHEARD_BEACON_PERIOD)
}

/// Selects the addresses to which the beacon with this number goes. When there are more than
/// `max_count`, each beacon takes a different part. The beacons that also reach unheard nodes are
/// counted apart from the others: with one count for both, some parts would never get a beacon.
///
/// ```
/// use toucanring::core::peers::round_robin;
///
/// let addresses = ["10.0.0.1:7".parse().unwrap(), "10.0.0.2:7".parse().unwrap()];
/// let first: Vec<_> = round_robin(&addresses, 1, 1).collect();
/// let second: Vec<_> = round_robin(&addresses, 2, 1).collect();
/// assert_ne!(first, second);
/// ```
pub fn round_robin(
    addresses: &[SocketAddr],
    sequence: u64,
    max_count: usize,
) -> impl Iterator<Item = SocketAddr> {
    let turns = addresses.len().div_ceil(max_count).max(1);
    let before = sequence / UNHEARD_BEACON_PERIOD;
    let round = if reaches_unheard(sequence) {
        before
    } else {
        sequence - before
    };
    let turn = usize::try_from(round).unwrap_or(0) % turns;
    addresses.iter().copied().skip(turn).step_by(turns)
}
