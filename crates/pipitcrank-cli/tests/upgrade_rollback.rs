//! An upgrade that is rolled back: the old process carries on with all that it did before.

mod stand_ins;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use anyhow::{Context, Result};
use pipitcrank_testkit::discovery::row;
use pipitcrank_testkit::fleet::free_address;
use pipitcrank_testkit::process::{Process, TempDir, signal_worker};
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;
use stand_ins::{ScriptedDiscovery, StandInReplica, node_config, program};

const LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the new process is on trial before it crashes.
const TRIAL_BEFORE_CRASH: Duration = Duration::from_millis(300);

const UPGRADE: &str = "upgrade = Some { start_s = 3.0, settle_s = 5.0, silent_s = 0.5, finish_s = 8.0 }";

/// A process with upgrades on.
struct Fixture {
    process: Process,
    operators: PathBuf,
    _folder: TempDir,
    _source: ScriptedDiscovery,
    _replica: StandInReplica,
}

impl Fixture {
    /// `section`: builds a further section of the operators' file, whose files may be in the folder given.
    async fn start(section: impl Fn(&Path) -> String) -> Result<Fixture> {
        let replica = StandInReplica::start().await?;
        let source = ScriptedDiscovery::start(1, vec![row("a", replica.address, 0, "active", 0)]).await?;
        let folder = TempDir::new("rollback")?;
        let text = format!("{{ {UPGRADE}, {} }}", section(folder.path()));
        let operators = folder.path().join("operators.dhall");
        std::fs::write(&operators, &text)?;
        let process = Process::start(program(), node_config(&source, 1, 256)?, Some(text)).await?;
        Ok(Fixture { process, operators, _folder: folder, _source: source, _replica: replica })
    }

    /// Starts an upgrade whose new process crashes during its trial, and waits until it is rolled back.
    async fn roll_back_an_upgrade(&self) -> Result<()> {
        let old = self.process.workers();
        self.process.signal(Signal::USR2)?;
        let new = loop {
            let new = self.process.workers().into_iter().find(|pid| !old.contains(pid));
            match new {
                Some(pid) if self.process.log().contains("handover begins") => break pid,
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        tokio::time::sleep(TRIAL_BEFORE_CRASH).await;
        signal_worker(new, Signal::KILL);
        while self.process.counter("upgrades undone").await != Some(1) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Runs `pipitcrank zones` with these arguments for the process.
    async fn zones_command(&self, arguments: &'static [&'static str]) -> Result<Output> {
        let operators = self.operators.clone();
        let run = move || {
            Command::new(program()).arg("zones").arg("--operators").arg(operators).args(arguments).output()
        };
        tokio::task::spawn_blocking(run).await?.context("the command can't be run")
    }
}

/// The section of the only voter of two zones.
fn zones_section(listen: SocketAddr) -> String {
    format!(
        "zones = Some {{ zone = \"a\", listen = \"{listen}\", known_as = \"{listen}\" \
         , zones = [ {{ name = \"a\", region = \"r\" }}, {{ name = \"b\", region = \"r\" }} ] \
         , peers = [] : List Text, voters = [ {{ address = \"{listen}\", zone = \"a\" }} ] \
         , secret = \"sixteen or more of them\", suspect_s = 0.4, hold_down_s = 1.0, hold_down_most_s = 8.0 \
         , calm_s = 6.0, hold_s = 6.0, leaf_bears = 160.0, dry_run = False }}"
    )
}

fn text_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Guards against a node that acts on an old decision (review case 10): after an upgrade was rolled back the old process
/// took no further part in failover, and routed queries by the decision of before.
#[test]
fn failover_resumes_when_an_upgrade_is_rolled_back() {
    on_one_thread(LIMIT, async {
        let listen = free_address()?;
        let member = Fixture::start(|_| zones_section(listen)).await?;
        let output = member.zones_command(&["drain", "b"]).await?;
        assert!(output.status.success(), "{} {}", text_of(&output), member.process.log());
        let drained = member.process.counter("zones decision").await;
        assert!(drained.is_some_and(|number| number > 0), "decision {drained:?}; {}", member.process.log());
        member.roll_back_an_upgrade().await?;
        let output = member.zones_command(&["freeze"]).await?;
        assert!(output.status.success(), "{} {}", text_of(&output), member.process.log());
        while member.process.counter("zones decision").await <= drained {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    })
    .unwrap();
}

/// Guards against a store that is not written any more once an upgrade was rolled back, so that the process after the next
/// restart goes on from an old state.
#[test]
fn the_store_is_written_again_when_an_upgrade_is_rolled_back() {
    on_one_thread(LIMIT, async {
        let section = |folder: &Path| {
            let path = folder.join("store");
            format!("store = Some {{ path = \"{}\", every_s = 0.2, oldest_s = 30.0 }}", path.display())
        };
        let fixture = Fixture::start(section).await?;
        fixture.roll_back_an_upgrade().await?;
        let written = fixture.process.counter("store written").await;
        while fixture.process.counter("store written").await <= written {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    })
    .unwrap();
}
