use {
    super::{
        Figure, capacity_gateway::capacity_gateway, capacity_groups::capacity_groups,
        capacity_memory::capacity_memory, capacity_peers::capacity_peers,
        capacity_processes::capacity_processes, capacity_store::capacity_store,
        capacity_sums::capacity_sums,
    },
    crate::deploy::Result,
};

/// Measures how cost grows with size, the input of the calculations in docs/CAPACITY.md.
///
/// # Errors
/// Returns the error of the first step that fails.
pub fn capacity() -> Result<Vec<Figure>> {
    // Memory is measured first: the growth of resident memory would not show allocations that reuse
    // memory freed by another measurement.
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
