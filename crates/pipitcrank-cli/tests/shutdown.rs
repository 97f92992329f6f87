//! Shutdown of the program while clients keep connecting, without an upgrade and during one.

use std::path::Path;
use std::time::{Duration, Instant};

use pipitcrank_testkit::client::{Clients, DedicatedConnection, QueryRequest, connect};
use pipitcrank_testkit::fleet::{Fleet, Load};
use pipitcrank_testkit::process::{Process, UpgradeTimes};
use pipitcrank_testkit::query_log::{QueryLog, QueryOutcome};
use pipitcrank_testkit::replica::{ReplicaBehavior, Work};
use pipitcrank_testkit::trial::on_one_thread;
use rustix::process::Signal;

const LIMIT: Duration = Duration::from_secs(60);
const WORK: Work = Work { mean_time: Duration::from_millis(8), concurrency: 16 };

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pipitcrank"))
}

fn query_request(id: String) -> QueryRequest {
    let wait = Duration::from_secs(4);
    QueryRequest { id, class: "view", shards: vec![0, 1], wait, text: "short".to_string() }
}

/// An earlier version accepted and closed each new connection without an answer, and did not exit while clients kept
/// connecting.
#[test]
fn after_sigterm_new_clients_are_answered_or_refused_and_it_exits() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(1, WORK).await?;
        let mut process = Process::start(program(), fleet.node_config(1, 1024, 3000)?, None).await?;
        let (query_log, address) = (QueryLog::default(), process.address);
        process.signal(Signal::TERM)?;
        let (signalled_at, mut n, mut refused) = (Instant::now(), 0, 0);
        let mut tasks = tokio::task::JoinSet::new();
        let exit_status = loop {
            if let Some(status) = process.exit_status() {
                break status;
            }
            assert!(signalled_at.elapsed() < Duration::from_secs(10), "the process does not exit");
            n += 1;
            let (query_log, id) = (query_log.clone(), format!("view-new-{n}"));
            match connect(address).await {
                Err(_) => refused += 1,
                Ok(stream) => {
                    tasks.spawn_local(async move {
                        DedicatedConnection::on(stream, query_log)
                            .send_in_pieces(query_request(id), &[])
                            .await
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(4)).await;
        };
        while tasks.join_next().await.is_some() {}
        assert!(
            exit_status.success() && signalled_at.elapsed() < Duration::from_secs(5),
            "{exit_status:?} {:?}",
            signalled_at.elapsed()
        );
        assert!(
            query_log.count(QueryOutcome::Complete) > 100 && refused > 0,
            "queries are served during shutdown and refused after it"
        );
        // One client may connect just as the listener closes.
        assert!(
            query_log.count(QueryOutcome::Lost) <= 1,
            "{} clients got no answer",
            query_log.count(QueryOutcome::Lost)
        );
        Ok(())
    })
    .unwrap();
}

/// The platform's grace period for this longest wait of clients. The platform may kill the process after it.
fn shutdown_grace(max_wait_s: f64) -> Duration {
    Duration::from_secs_f64(max_wait_s.min(3.0) + 0.7)
}

/// Runs a shutdown in which all replicas hang and the process is killed at the end of the grace period. Queries are
/// outstanding at SIGTERM, and clients send more as long as they can connect, on kept and on new connections. Two
/// requests arrive in halves, one cut in the head and one in the body. Returns the outcomes, and whether the process
/// exited before the kill.
fn run_until_kill(max_wait_s: f64) -> (QueryLog, bool) {
    let (query_log, mut exited) = (QueryLog::default(), false);
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(5, WORK).await?;
        let mut config = fleet.node_config(5, 1024, 3000)?;
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            (class["aim_s"], class["hard_limit_s"]) = ((max_wait_s / 2.0).into(), max_wait_s.into());
        }
        let mut process = Process::start(program(), config, None).await?;
        fleet.replicas.iter().for_each(|replica| replica.set_behavior(ReplicaBehavior::Silent));
        let wait = Duration::from_secs_f64(max_wait_s);
        let query_with_wait = |name: &str| QueryRequest { wait, ..query_request(name.to_string()) };
        let shared_clients = Clients::new(process.address, query_log.clone());
        let mut tasks = tokio::task::JoinSet::new();
        let mut ask = |name: String, at: Duration| {
            let (shared_clients, query_request) = (shared_clients.clone(), query_with_wait(&name));
            tasks.spawn_local(async move {
                tokio::time::sleep(at).await;
                shared_clients.send(query_request).await;
            });
        };
        (0..8).for_each(|n| ask(format!("view-held-{n}"), Duration::ZERO));
        tokio::time::sleep(Duration::from_millis(60)).await;
        let shutdown_grace = shutdown_grace(max_wait_s);
        (0..120).for_each(|n| ask(format!("view-kept-{n}"), shutdown_grace * n / 120));
        // Four clients send a request and do not read the answer, and four send nothing.
        let mut quiet_clients = Vec::new();
        for n in 0..8 {
            let mut stream = connect(process.address).await?;
            if n < 4 {
                let request = query_with_wait(&format!("view-unread-{n}")).request();
                tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await?;
            }
            quiet_clients.push(stream);
        }
        process.signal(Signal::TERM)?;
        let signalled_at = Instant::now();
        // Two requests stop in the head and in the body. They start as late as connections are certainly accepted.
        for (name, cut) in [("view-head", 30), ("view-body", 130)] {
            let (address, query_log, query_request) =
                (process.address, query_log.clone(), query_with_wait(name));
            tasks.spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(380)).await;
                let mut connection = DedicatedConnection::connect(address, query_log).await.unwrap();
                connection
                    .send_in_pieces(query_request, &[(cut, shutdown_grace + Duration::from_millis(100))])
                    .await;
            });
        }
        while signalled_at.elapsed() < shutdown_grace && process.exit_status().is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        exited = process.exit_status().is_some();
        process.kill();
        while tasks.join_next().await.is_some() {}
        Ok(())
    })
    .unwrap();
    (query_log, exited)
}

fn check_all_answered_before_kill(max_wait_s: f64) {
    let (query_log, exited) = run_until_kill(max_wait_s);
    let count = |outcome| query_log.count(outcome);
    assert_eq!(
        (count(QueryOutcome::Lost), query_log.open()),
        (0, 0),
        "expected no lost or open queries with a grace period of {:?}",
        shutdown_grace(max_wait_s)
    );
    assert!(
        count(QueryOutcome::Rejected) > 20,
        "expected more than 20 rejected queries, got {}",
        count(QueryOutcome::Rejected)
    );
    assert!(count(QueryOutcome::ConnectionRefused) > 0, "the listener closes before the kill");
    assert_eq!(count(QueryOutcome::UnexpectedStatus(408)), 2, "incomplete requests get status 408");
    // With the shortest grace period, clients that do not read their answers can outlast it.
    assert!(exited || max_wait_s < 1.0, "the process exits before the kill");
}

#[test]
fn all_queries_are_answered_before_the_kill_at_the_shortest_deadlines() {
    check_all_answered_before_kill(0.5);
}

/// An earlier version assumed a grace period of 3.7 s for all deadlines, and held queries beyond shorter ones.
#[test]
fn all_queries_are_answered_before_the_kill_at_short_deadlines() {
    check_all_answered_before_kill(1.5);
}

/// In an earlier version, queries outstanding at SIGTERM waited beyond the kill.
#[test]
fn all_queries_are_answered_before_the_kill_at_deadlines_beyond_it() {
    check_all_answered_before_kill(7.5);
}

/// Further SIGTERM and SIGHUP signals have no effect: outstanding queries are answered, and the process exits as
/// after one SIGTERM.
#[test]
fn signals_after_sigterm_change_nothing() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(6, WORK).await?;
        let mut process = Process::start(program(), fleet.node_config(6, 1024, 3000)?, None).await?;
        let (query_log, mut tasks) = (QueryLog::default(), tokio::task::JoinSet::new());
        let clients = Clients::new(process.address, query_log.clone());
        for n in 0..8 {
            let clients = clients.clone();
            let slow = QueryRequest { text: "lasts=1200".to_string(), ..query_request(format!("view-{n}")) };
            tasks.spawn_local(async move { clients.send(slow).await });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let signalled_at = Instant::now();
        for signal in [Signal::TERM, Signal::TERM, Signal::HUP, Signal::TERM] {
            process.signal(signal)?;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let exit_status = process.wait_for_exit(Duration::from_secs(10)).await;
        assert!(exit_status.is_some_and(|e| e.success()), "{exit_status:?} {}", process.log());
        assert!(signalled_at.elapsed() >= Duration::from_millis(1500), "the process waits for its clients");
        while tasks.join_next().await.is_some() {}
        assert_eq!(query_log.count(QueryOutcome::Complete), 8, "{}", process.log());
        Ok(())
    })
    .unwrap();
}

/// A SIGTERM that arrives before the node configuration has been read must not terminate the process by default. The
/// process shuts down gracefully once it is able to serve.
#[test]
fn sigterm_before_the_node_config_is_read_shuts_down_gracefully() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(7, WORK).await?;
        let config = fleet.node_config(7, 1024, 3000)?;
        let folder = pipitcrank_testkit::process::TempDir::new("fifo")?;
        let path = folder.path().join("charter.json");
        assert!(std::process::Command::new("mkfifo").arg(&path).status()?.success());
        let mut child = std::process::Command::new(program())
            .arg("serve")
            .env("NODE_CONFIG", &path)
            .stderr(std::process::Stdio::null())
            .spawn()?;
        // The open succeeds once the process opens the file for reading.
        let path_to_write = path.clone();
        let mut node_config =
            tokio::task::spawn_blocking(move || std::fs::OpenOptions::new().write(true).open(path_to_write))
                .await??;
        let pid = rustix::process::Pid::from_raw(child.id() as i32).unwrap();
        rustix::process::kill_process(pid, Signal::TERM)?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        std::io::Write::write_all(&mut node_config, config.to_string().as_bytes())?;
        drop(node_config);
        let started_at = Instant::now();
        let exit_status = loop {
            match child.try_wait()? {
                Some(exit_status) => break exit_status,
                None if started_at.elapsed() > Duration::from_secs(10) => {
                    child.kill()?;
                    panic!("the process does not exit");
                }
                None => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        assert!(exit_status.success(), "{exit_status:?}");
        Ok(())
    })
    .unwrap();
}

#[test]
fn all_queries_are_answered_after_sigterm_during_an_upgrade() {
    on_one_thread(LIMIT, async {
        // During the trial, and during the transfer of connections.
        for wait in [100, 900] {
            let fleet = Fleet::start(2, WORK).await?;
            let upgrade_times = UpgradeTimes { start: 3.0, settle: 0.6, silent: 0.5, finish: 8.0 };
            let mut process =
                Process::start(program(), fleet.node_config(2, 1024, 3000)?, upgrade_times.operators_file())
                    .await?;
            let clients = Clients::new(process.address, fleet.query_log.clone());
            let load = Load::start("load", 3, 100.0, 0.1, clients);
            tokio::time::sleep(Duration::from_millis(500)).await;
            process.signal(Signal::USR2)?;
            tokio::time::sleep(Duration::from_millis(wait)).await;
            // Clients detect the shutdown and stop sending.
            process.signal(Signal::TERM)?;
            tokio::time::sleep(Duration::from_millis(200)).await;
            load.stop().await?;
            let exit_status = process.wait_for_exit(Duration::from_secs(15)).await;
            assert!(exit_status.is_some_and(|e| e.success()), "{exit_status:?} {}", process.log());
            let query_log = &fleet.query_log;
            assert_eq!((query_log.count(QueryOutcome::Lost), query_log.open()), (0, 0), "{}", process.log());
            assert_eq!((query_log.parts_run_again("sale-"), query_log.answered_twice()), (0, 0));
            assert!(query_log.count(QueryOutcome::Complete) > 30);
        }
        Ok(())
    })
    .unwrap();
}

#[test]
fn a_crashed_worker_is_restarted_and_no_client_is_refused() {
    on_one_thread(LIMIT, async {
        let fleet = Fleet::start(4, WORK).await?;
        let upgrade_times = UpgradeTimes { start: 3.0, settle: 0.6, silent: 0.5, finish: 8.0 };
        let process =
            Process::start(program(), fleet.node_config(4, 1024, 3000)?, upgrade_times.operators_file())
                .await?;
        let query_log = QueryLog::default();
        for n in 0..2 {
            for worker in process.workers() {
                pipitcrank_testkit::process::signal_worker(worker, Signal::KILL);
            }
            // Right after the kill only the supervisor has the listener.
            let stream = connect(process.address).await?;
            let exit_status = DedicatedConnection::on(stream, query_log.clone())
                .send_in_pieces(query_request(format!("view-{n}")), &[])
                .await;
            assert_eq!(exit_status, QueryOutcome::Complete, "{}", process.log());
        }
        Ok(())
    })
    .unwrap();
}
