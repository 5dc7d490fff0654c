use super::PlanInput;

/// Chooses services whose spans together use as many of `free` instances as possible, without
/// exceeding the `max_groups` of any service (bounded knapsack). A service is listed once for each
/// group. Among choices that use the same number the one with the higher total weight wins.
pub(super) fn best_fill(input: &PlanInput, counts: &[u32], free: u32) -> Vec<u16> {
    let free = free as usize;
    // best[n]: most instances used out of n, their total weight, and the services chosen.
    let mut best: Vec<(usize, f64, Vec<u16>)> = vec![(0, 0.0, Vec::new()); free + 1];
    for (index, service) in input.services.iter().enumerate() {
        let span = service.span as usize;
        let groups_left = service.max_groups.saturating_sub(counts[index]) as usize;
        let service_index = u16::try_from(index).unwrap_or(u16::MAX);
        if span == 0 || span > free {
            continue;
        }
        for _ in 0..groups_left.min(free / span) {
            for total in (span..=free).rev() {
                let (used, weight, _) = &best[total - span];
                let (used, weight) = (used + span, weight + service.weight);
                let better =
                    used > best[total].0 || (used == best[total].0 && weight > best[total].1);
                if !better {
                    continue;
                }
                let mut choice = best[total - span].2.clone();
                choice.push(service_index);
                best[total] = (used, weight, choice);
            }
        }
    }
    best.pop().map_or_else(Vec::new, |(_, _, choice)| choice)
}

/// Number of instances out of `free` that [`best_fill`] uses.
pub(super) fn fill_count(input: &PlanInput, counts: &[u32], free: u32) -> u32 {
    let spans = best_fill(input, counts, free);
    spans
        .iter()
        .map(|service| input.services[usize::from(*service)].span)
        .sum()
}
