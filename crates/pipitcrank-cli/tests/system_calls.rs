//! System calls that fail as Linux documents, made to by a library loaded into the process under test (docs/rules.md, 17).

mod stand_ins;

use std::time::Duration;

use anyhow::Result;
use pipitcrank_rig::client::{Clients, Question};
use pipitcrank_rig::faults::{Fault, Faults, Shim};
use pipitcrank_rig::fleet::Fleet;
use pipitcrank_rig::leaf::Work;
use pipitcrank_rig::ledger::{Ended, Ledger};
use pipitcrank_rig::process::Process;
use pipitcrank_rig::trial::on_one_thread;
use stand_ins::program;

const LIMIT: Duration = Duration::from_secs(90);
const WORK: Work = Work { usual: Duration::from_millis(4), at_once: 32 };

struct Scene {
    fleet: Fleet,
    process: Process,
    faults: Faults,
    _shim: Shim,
}

impl Scene {
    async fn start(seed: u64) -> Result<Scene> {
        let fleet = Fleet::start(seed, WORK).await?;
        let shim = Shim::build()?;
        let faults = shim.for_process("one", seed)?;
        let told = fleet.charter(seed, 512, 3000)?;
        let process = Process::start_with(program(), told, faults.variables())?;
        process.up().await?;
        Ok(Scene { fleet, process, faults, _shim: shim })
    }

    /// So many requests, some at a time, on connections that are kept and on new ones.
    async fn asks(&self, name: &str, many: usize) -> Ledger {
        let ledger = Ledger::default();
        let kept = Clients::new(self.process.address, ledger.clone());
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..many {
            let new = Clients::new(self.process.address, ledger.clone());
            let clients = if n % 4 == 0 { new } else { kept.clone() };
            let question = question(&format!("view-{name}-{n}"));
            tasks.spawn_local(async move {
                clients.ask(question).await;
            });
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        while tasks.join_next().await.is_some() {}
        ledger
    }
}

fn question(id: &str) -> Question {
    let wait = Duration::from_secs(3);
    let text = "a text that is long enough to be read in several pieces".to_string();
    Question { id: id.to_string(), vertical: "view", shards: (0..6).collect(), wait, text }
}

fn all_merged(ledger: &Ledger, many: usize, log: &str) {
    let ends = [Ended::Merged, Ended::Rejected, Ended::Aborted, Ended::Lost].map(|end| ledger.count(end));
    let odd = ledger.odd();
    assert_eq!(ledger.count(Ended::Merged), many as u64, "{ends:?}, odd {odd}; {log}");
}

/// The runtime took a read that brought less than it asked for as the end of what was there, and waited for more to come.
#[test]
fn reads_and_writes_cut_short_lose_no_request() {
    on_one_thread(LIMIT, async {
        let scene = Scene::start(3).await?;
        scene.faults.set(Fault::ShortRead, 0.1)?;
        scene.faults.set(Fault::ShortWrite, 0.1)?;
        let ledger = scene.asks("short", 300).await;
        all_merged(&ledger, 300, &scene.process.log());
        assert_eq!(scene.fleet.ledger.ran_again(""), 0, "none had to be asked again");
        Ok(())
    })
    .unwrap();
}

/// A call interrupted by a signal was taken for a connection that broke, with the request that had been read on it.
#[test]
fn interrupted_calls_lose_no_request() {
    on_one_thread(LIMIT, async {
        let scene = Scene::start(4).await?;
        scene.faults.set(Fault::Interrupt, 0.1)?;
        let ledger = scene.asks("interrupted", 300).await;
        all_merged(&ledger, 300, &scene.process.log());
        assert_eq!(scene.fleet.ledger.ran_again(""), 0, "none had to be asked again");
        Ok(())
    })
    .unwrap();
}
