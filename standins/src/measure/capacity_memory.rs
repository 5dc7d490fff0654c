use {
    super::{
        CapacitySlope, Figure,
        capacity_fixture::{ViewSize, account, setup, suspect, view},
        resident_mb,
    },
    std::{io, time::Duration},
    toucanring::core::{admission::AccountLimiter, retry::SuspectList, routing::GroupRouter},
};

/// Total entries in all copies of a value; the copies fill tens of megabytes, far above the noise
/// of resident memory.
const ENTRIES: u32 = 80_000;

/// Total instances in all copies of a group manager; fewer, because building each copy takes 20 s
/// of virtual time.
const MANAGER_ENTRIES: u32 = 4_000;

/// Measures the memory in bytes that each part of a process's state uses per entry.
///
/// Resident memory is read before and after many copies of a value are made. All copies are kept
/// until the end, so that no copy reuses freed memory, which would hide its size.
pub(super) fn capacity_memory() -> io::Result<Vec<Figure>> {
    let mut kept: Vec<Box<dyn std::any::Any>> = Vec::new();
    let mut figures = Vec::new();
    let span_8 = |groups: u32| ViewSize {
        groups,
        span: 8,
        ..ViewSize::default()
    };
    let sizes = [50, 100, 200, 400];
    let line = slope(sizes, ENTRIES, &mut kept, |groups| view(span_8(groups)))?;
    figures.extend(line.figures("capacity.memory.view_group_of_8", "B", 90.0));
    let line = slope(sizes, ENTRIES, &mut kept, |peers| {
        view(ViewSize {
            peers,
            ..ViewSize::default()
        })
    })?;
    figures.extend(line.figures("capacity.memory.view_peer", "B", 408.0));
    let line = slope(sizes, ENTRIES, &mut kept, |accounts| {
        view(ViewSize {
            peers: 1,
            accounts,
            ..ViewSize::default()
        })
    })?;
    // 390 gateways with 30 accounts each.
    figures.extend(line.figures("capacity.memory.view_usage", "B", 11_700.0));
    let line = slope(sizes, ENTRIES, &mut kept, |suspects| {
        view(ViewSize {
            suspects,
            ..ViewSize::default()
        })
    })?;
    figures.extend(line.figures("capacity.memory.view_suspect", "B", 4_096.0));
    let line = slope(sizes, ENTRIES, &mut kept, |count| {
        let mut list = SuspectList::default();
        for number in 0..count {
            list.merge(&suspect(number));
        }
        list
    })?;
    figures.extend(line.figures("capacity.memory.dispatch_suspect", "B", 10_000.0));
    let line = slope(sizes, ENTRIES, &mut kept, |groups| {
        let mut router = GroupRouter::new("domain-0");
        router.apply(Duration::ZERO, &view(span_8(groups)));
        router
    })?;
    figures.extend(line.figures("capacity.memory.router_group_of_8", "B", 90.0));
    let line = slope(sizes, ENTRIES, &mut kept, |accounts| {
        let limits: Vec<_> = (0..accounts).map(account).collect();
        let mut limiter = AccountLimiter::new("gateway-0");
        limiter.configure(Duration::ZERO, &limits);
        limiter
    })?;
    figures.extend(line.figures("capacity.memory.limiter_account", "B", 30.0));
    let line = slope([24, 48, 96, 192], MANAGER_ENTRIES, &mut kept, |instances| {
        let mut world = setup(instances, 4).build();
        world.run_until(Duration::from_secs(20));
        world.nodes.remove(0).manager
    })?;
    figures.extend(line.figures("capacity.memory.keeper_instance", "B", 84.0));
    Ok(figures)
}

/// Bytes of one value by its number of entries; moves all copies to `kept`.
fn slope<T: 'static>(
    sizes: [u32; 4],
    entries: u32,
    kept: &mut Vec<Box<dyn std::any::Any>>,
    build: impl Fn(u32) -> T,
) -> io::Result<CapacitySlope> {
    let mut points = Vec::new();
    for size in sizes {
        let copies = entries / size;
        let mut values = Vec::with_capacity(copies as usize);
        // The first value is not counted: it may reuse memory that was freed before.
        values.push(build(size));
        let before = resident_mb(std::process::id())?;
        for _ in 0..copies {
            values.push(build(size));
        }
        let after = resident_mb(std::process::id())?;
        let bytes = (after - before) * 1e6 / f64::from(copies);
        points.push((f64::from(size), bytes));
        kept.push(Box::new(values));
    }
    Ok(CapacitySlope::fit(points))
}
