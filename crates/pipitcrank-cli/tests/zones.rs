//! Ten copies of the whole program in three zones, faults between them and before their replicas, on stand-ins from the rig:
//! a short form of `pipitcrank trial zones`. Each asks that no rule is broken; how fast and how much is served is the
//! trial's own, on a machine that has nothing else to do.

use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use pipitcrank_testkit::trial::on_one_thread;
use pipitcrank_testkit::trial::zones::{Fault, run_faults};

/// Ten processes are enough at a time.
static ONE: Mutex<()> = Mutex::new(());

fn survives(seed: u64, faults: &[Fault]) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_pipitcrank"));
    let run = run_faults(program, seed, faults, false, false);
    let outcome = on_one_thread(Duration::from_secs(240), run).unwrap();
    assert!(outcome.broken.is_empty(), "{:?} {:?}", outcome.broken, outcome.figures);
}

#[test]
fn a_lost_zone_strangers_and_copies_that_hear_nobody() {
    survives(301, &[Fault::Replicas, Fault::InvalidDatagrams, Fault::Partitioned]);
}

#[test]
fn a_leader_that_stands_still_and_an_operator_during_a_failover() {
    survives(302, &[Fault::LeaderStopped, Fault::Drain]);
}

/// A file of one copy, with its node configuration beside it or none.
fn checked(file: &str, node_config: Option<&str>) -> (i32, String) {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("pipitcrank-zones-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (path, told) = (folder.join("operators.dhall"), folder.join("charter.json"));
    std::fs::write(&path, file).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pipitcrank"));
    command.arg("check").arg("--operators").arg(&path);
    match node_config {
        Some(node_config) => {
            std::fs::write(&told, node_config).unwrap();
            command.env("NODE_CONFIG", &told);
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
fn a_faulty_section_ends_with_its_key_and_what_is_accepted() {
    assert_eq!(checked(&example(), None).0, 0);
    let (code, said) = checked(&example().replace("zone = \"a\"\n", "zone = \"x\"\n"), None);
    assert!(code == 2 && said.contains("/zones/zone is 'x'") && said.contains("a, b, c"), "{said}");
    let (code, said) =
        checked(&example().replace("secret = \"change me: sixteen or more\"", "secret = \"short\""), None);
    assert!(code == 2 && said.contains("/zones/secret"), "{said}");
}

#[test]
fn what_both_files_say_of_zones_has_to_agree() {
    let with = |zone: &str, zones: &str| {
        NODE_CONFIG.replace("\"tick_s\"", &format!("\"zone\": \"{zone}\", \"zones\": {zones}, \"tick_s\""))
    };
    let agrees = with("a", "[\"c\", \"a\", \"b\"]");
    assert_eq!(checked(&example(), Some(&agrees)), (0, String::new()), "in whatever order");
    let (code, said) = checked(&example(), Some(&with("b", "[\"a\", \"b\", \"c\"]")));
    assert!(code == 2 && said.contains("/zones/zone is 'a'") && said.contains("'b'"), "{said}");
    let (code, said) = checked(&example(), Some(&with("a", "[\"a\", \"b\"]")));
    assert!(code == 2 && said.contains("/zones/zones/2/name is 'c'"), "{said}");
    let (code, said) = checked(&example(), Some(&with("d", "[\"a\", \"b\", \"c\", \"d\"]")));
    assert!(code == 2 && said.contains("lacks 'd'"), "{said}");
}
