//! Ten co-ordinator processes in three zones with stand-in replicas, and faults between the processes and at the
//! replicas, as in `pipitcrank trial zones` but shorter. The tests check that no rule is broken. Speed and service
//! are checked only by the trial, on an otherwise idle machine.

use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use pipitcrank_testkit::trial::on_one_thread;
use pipitcrank_testkit::trial::zones::{Fault, run_faults};

/// Runs one test at a time, so that no more than ten processes run at once.
static RUN_LOCK: Mutex<()> = Mutex::new(());

fn check_faults(seed: u64, faults: &[Fault]) {
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_pipitcrank"));
    let run = run_faults(program, seed, faults, false, false);
    let outcome = on_one_thread(Duration::from_secs(240), run).unwrap();
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
}

#[test]
fn a_lost_zone_foreign_datagrams_and_isolated_nodes() {
    check_faults(301, &[Fault::Replicas, Fault::InvalidDatagrams, Fault::Partitioned]);
}

#[test]
fn a_stopped_leader_and_an_operator_order_during_a_failover() {
    check_faults(302, &[Fault::LeaderStopped, Fault::Drain]);
}

/// Runs `pipitcrank check` on an operators' file, with a node configuration if one is given. Returns the exit code
/// and standard error.
fn run_check(file: &str, node_config: Option<&str>) -> (i32, String) {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("pipitcrank-zones-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (path, node_config_path) = (folder.join("operators.dhall"), folder.join("charter.json"));
    std::fs::write(&path, file).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pipitcrank"));
    command.arg("check").arg("--operators").arg(&path);
    match node_config {
        Some(node_config) => {
            std::fs::write(&node_config_path, node_config).unwrap();
            command.env("NODE_CONFIG", &node_config_path);
        }
        None => {
            command.arg("--no-charter");
        }
    }
    let out = command.output().unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    (out.status.code().unwrap_or(-1), String::from_utf8_lossy(&out.stderr).into_owned())
}

const EXAMPLE: &str = include_str!("../../../deploy/examples/zones.dhall");
const NODE_CONFIG: &str = include_str!("../../../deploy/examples/charter.json");

fn example() -> String {
    let operators = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/operators.dhall");
    EXAMPLE.replace("../operators.dhall", &operators.canonicalize().unwrap().display().to_string())
}

#[test]
fn an_invalid_section_is_reported_with_key_and_accepted_values() {
    assert_eq!(run_check(&example(), None).0, 0);
    let (code, stderr) = run_check(&example().replace("zone = \"a\"\n", "zone = \"x\"\n"), None);
    assert!(code == 2 && stderr.contains("/zones/zone is 'x'") && stderr.contains("a, b, c"), "{stderr}");
    let (code, stderr) =
        run_check(&example().replace("secret = \"change me: sixteen or more\"", "secret = \"short\""), None);
    assert!(code == 2 && stderr.contains("/zones/secret"), "{stderr}");
}

#[test]
fn zones_of_both_files_must_agree() {
    let node_config_with = |zone: &str, zones: &str| {
        NODE_CONFIG.replace("\"tick_s\"", &format!("\"zone\": \"{zone}\", \"zones\": {zones}, \"tick_s\""))
    };
    let agrees = node_config_with("a", "[\"c\", \"a\", \"b\"]");
    assert_eq!(run_check(&example(), Some(&agrees)), (0, String::new()), "the order of the zones may differ");
    let (code, stderr) = run_check(&example(), Some(&node_config_with("b", "[\"a\", \"b\", \"c\"]")));
    assert!(code == 2 && stderr.contains("/zones/zone is 'a'") && stderr.contains("'b'"), "{stderr}");
    let (code, stderr) = run_check(&example(), Some(&node_config_with("a", "[\"a\", \"b\"]")));
    assert!(code == 2 && stderr.contains("/zones/zones/2/name is 'c'"), "{stderr}");
    let (code, stderr) = run_check(&example(), Some(&node_config_with("d", "[\"a\", \"b\", \"c\", \"d\"]")));
    assert!(code == 2 && stderr.contains("lacks 'd'"), "{stderr}");
}
