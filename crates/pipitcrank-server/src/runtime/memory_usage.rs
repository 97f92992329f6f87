//! Memory of this process as the operating system counts it, compared with the limit of the node configuration.

use std::time::Duration;

use crate::runtime::counter_names::{group, memory};
use crate::runtime::counters::Counters;
use crate::runtime::memory_budget::MemoryBudget;

/// Interval of the samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the limit above which the usage is logged.
const WARNING_FRACTION: f64 = 0.75;
const BYTES_PER_KB: u64 = 1024;

/// Resident memory of this process, in kilobytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Resident memory now.
    pub resident_kb: u64,
    /// Highest resident memory since the start.
    pub peak_kb: u64,
}

impl MemoryUsage {
    /// Reads the usage of this process; `None` if the system does not provide it.
    pub fn read() -> Option<MemoryUsage> {
        MemoryUsage::parse(&std::fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<MemoryUsage> {
        let value = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(MemoryUsage { resident_kb: value("VmRSS:")?, peak_kb: value("VmHWM:")? })
    }
}

/// Sets the counters of the usage and of the reservations; returns the usage.
pub fn count(counters: &Counters, budget: &MemoryBudget) -> Option<MemoryUsage> {
    budget.count(counters);
    let usage = MemoryUsage::read()?;
    counters.set(group::MEMORY, memory::RESIDENT_KB, usage.resident_kb);
    counters.set(group::MEMORY, memory::PEAK_KB, usage.peak_kb);
    Some(usage)
}

/// Samples the usage forever, and logs it with all memory counters when it rises above `WARNING_FRACTION` of the limit.
pub async fn watch(counters: Counters, budget: MemoryBudget, limit_bytes: u64) {
    let limit_kb = limit_bytes / BYTES_PER_KB;
    counters.set(group::MEMORY, memory::LIMIT_KB, limit_kb);
    let mut was_high = false;
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let Some(usage) = count(&counters, &budget) else { return };
        let is_high = usage.resident_kb as f64 > limit_kb as f64 * WARNING_FRACTION;
        if is_high && !was_high {
            let MemoryUsage { resident_kb, peak_kb } = usage;
            let accounts = counters.render_group(group::MEMORY);
            tracing::warn!(resident_kb, peak_kb, limit_kb, accounts, "memory is near its limit");
        }
        was_high = is_high;
    }
}

#[cfg(test)]
mod tests;
