//! The end of the whole program while clients go on coming, alone and in the middle of an upgrade.

use std::path::Path;
use std::time::{Duration, Instant};

use pipitcrank_rig::client::{Clients, Lone, Question, connect};
use pipitcrank_rig::fleet::{Fleet, Load};
use pipitcrank_rig::leaf::Work;
use pipitcrank_rig::ledger::{Ended, Ledger};
use pipitcrank_rig::process::{Process, Steps};
use pipitcrank_rig::trial::on_one_thread;
use rustix::process::Signal;

const LIMIT: Duration = Duration::from_secs(60);
const WORK: Work = Work { usual: Duration::from_millis(8), at_once: 16 };

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pipitcrank"))
}

fn question(id: String) -> Question {
    let wait = Duration::from_secs(4);
    Question { id, vertical: "view", shards: vec![0, 1], wait, text: "short".to_string() }
}

/// It accepted and closed each new connection without an answer, for as long as clients came, and never ended.
#[test]
fn after_sigterm_new_clients_are_answered_or_refused_and_it_ends_although_they_go_on_coming() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(1, WORK).await?;
        let mut process = Process::start(program(), fleet.charter(1, 1024, 3000)?, None).await?;
        let (ledger, address) = (Ledger::default(), process.address);
        process.signal(Signal::TERM)?;
        let (asked, mut n, mut refused) = (Instant::now(), 0, 0);
        let mut tasks = tokio::task::JoinSet::new();
        let ended = loop {
            if let Some(status) = process.ended() {
                break status;
            }
            assert!(asked.elapsed() < Duration::from_secs(10), "it does not end");
            n += 1;
            let (ledger, id) = (ledger.clone(), format!("view-new-{n}"));
            match connect(address).await {
                Err(_) => refused += 1,
                Ok(stream) => {
                    tasks.spawn_local(async move {
                        Lone::on(stream, ledger).ask_in_pieces(question(id), &[]).await
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(4)).await;
        };
        while tasks.join_next().await.is_some() {}
        assert!(
            ended.success() && asked.elapsed() < Duration::from_secs(5),
            "{ended:?} {:?}",
            asked.elapsed()
        );
        assert!(
            ledger.count(Ended::Merged) > 100 && refused > 0,
            "served while it stayed, refused when it did not"
        );
        // One may connect in the very moment in which the listener closes.
        assert!(ledger.count(Ended::Lost) <= 1, "{} got nothing", ledger.count(Ended::Lost));
        Ok(())
    })
    .unwrap();
}

#[test]
fn sigterm_in_the_middle_of_an_upgrade_answers_all_that_was_taken() {
    on_one_thread(LIMIT, async {
        // In its trial, and while it passes.
        for wait in [100, 900] {
            let fleet = Fleet::start(2, WORK).await?;
            let steps = Steps { start: 3.0, settle: 0.6, silent: 0.5, finish: 8.0 };
            let mut process = Process::start(program(), fleet.charter(2, 1024, 3000)?, steps.file()).await?;
            let clients = Clients::new(process.address, fleet.ledger.clone());
            let load = Load::start("load", 3, 100.0, 0.1, clients);
            tokio::time::sleep(Duration::from_millis(500)).await;
            process.signal(Signal::USR2)?;
            tokio::time::sleep(Duration::from_millis(wait)).await;
            // Clients see that it ends, and go elsewhere.
            process.signal(Signal::TERM)?;
            tokio::time::sleep(Duration::from_millis(200)).await;
            load.stop().await?;
            let ended = process.end(Duration::from_secs(15)).await;
            assert!(ended.is_some_and(|e| e.success()), "{ended:?} {}", process.log());
            let ledger = &fleet.ledger;
            assert_eq!((ledger.count(Ended::Lost), ledger.open()), (0, 0), "{}", process.log());
            assert_eq!((ledger.ran_again("sale-"), ledger.answered_twice()), (0, 0));
            assert!(ledger.count(Ended::Merged) > 30);
        }
        Ok(())
    })
    .unwrap();
}

#[test]
fn a_worker_that_crashes_is_started_again_and_nobody_is_refused() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(4, WORK).await?;
        let steps = Steps { start: 3.0, settle: 0.6, silent: 0.5, finish: 8.0 };
        let process = Process::start(program(), fleet.charter(4, 1024, 3000)?, steps.file()).await?;
        let ledger = Ledger::default();
        for n in 0..2 {
            for worker in process.workers() {
                pipitcrank_rig::process::signal_worker(worker, Signal::KILL);
            }
            // At once: nobody listens but the keeper.
            let stream = connect(process.address).await?;
            let ended =
                Lone::on(stream, ledger.clone()).ask_in_pieces(question(format!("view-{n}")), &[]).await;
            assert_eq!(ended, Ended::Merged, "{}", process.log());
        }
        Ok(())
    })
    .unwrap();
}
