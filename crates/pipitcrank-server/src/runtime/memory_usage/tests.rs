use super::*;

#[test]
fn the_usage_is_read_from_the_status_of_the_process() {
    let status = "Name:\tpipitcrank\nVmPeak:\t  90000 kB\nVmHWM:\t   41234 kB\nVmRSS:\t   30123 kB\n";
    assert_eq!(MemoryUsage::parse(status), Some(MemoryUsage { resident_kb: 30123, peak_kb: 41234 }));
    assert_eq!(MemoryUsage::parse("Name:\tpipitcrank\n"), None);
}

#[test]
fn this_process_has_a_usage() {
    let usage = MemoryUsage::read().expect("the system provides the usage");
    assert!(usage.resident_kb > 0 && usage.peak_kb >= usage.resident_kb, "{usage:?}");
}
