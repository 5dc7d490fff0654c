use {
    super::{
        Figure, capacity_gateway::capacity_gateway, capacity_groups::capacity_groups,
        capacity_memory::capacity_memory, capacity_peers::capacity_peers,
        capacity_processes::capacity_processes, capacity_store::capacity_store,
        capacity_sums::capacity_sums,
    },
    crate::deploy::Result,
};

/// Measures the slopes from which docs/CAPACITY.md works out the design scale.
///
/// # Errors
/// The first step that failed.
pub fn capacity() -> Result<Vec<Figure>> {
    // Memory first, while nothing has been freed that could be used again.
    let mut figures = capacity_memory()?;
    figures.extend(capacity_groups());
    figures.extend(capacity_gateway());
    figures.extend(capacity_peers());
    figures.extend(capacity_store()?);
    figures.extend(capacity_processes()?);
    let sums = capacity_sums(&figures);
    figures.extend(sums);
    Ok(figures)
}
