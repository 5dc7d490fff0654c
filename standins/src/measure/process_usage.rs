use std::{fs, io};

/// Clock ticks per second in `/proc/<id>/stat`; fixed at 100 by the Linux ABI.
const TICKS_PER_S: f64 = 100.0;

/// Processor time of a process since its start, in seconds, with a resolution of 10 ms; `id` is its
/// process id.
///
/// # Errors
/// Fails when `/proc` has no such process.
pub fn cpu_seconds(id: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name in parentheses may contain spaces; utime and stime are the 12th and 13th
    // fields after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let total: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(total / TICKS_PER_S)
}

/// Resident memory of a process, in megabytes of 10^6 bytes; 0 for one without memory, such as a
/// zombie.
///
/// # Errors
/// Fails when `/proc` has no such process.
pub fn resident_mb(id: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    Ok(kilobytes * 1024.0 / 1e6)
}

/// Time that the current threads of a process have waited for a core since their start, in seconds.
/// It shows which part of a latency is due to a busy machine.
///
/// # Errors
/// Fails when `/proc` has no such process.
pub fn wait_seconds(id: u32) -> io::Result<f64> {
    let mut nanoseconds = 0.0;
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let stat = fs::read_to_string(task?.path().join("schedstat"))?;
        // The fields are time on a core, time waiting for one, and time slices.
        let waited = stat.split_whitespace().nth(1);
        nanoseconds += waited.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    }
    Ok(nanoseconds / 1e9)
}
