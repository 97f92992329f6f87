//! What a query costs, by counts that do not depend on the machine's mood: blocks and bytes allocated, by scene, with the
//! exchange alone. `hold` writes them to a file, `check` fails where one grew by over 5 % and says which. The decisions
//! made on generated streams are held in the same way, by their sum: a cut must not change them.

mod stage;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Instant;

use allocation_counter::measure;
use anyhow::{Context, Result};
use bytes::BytesMut;
use clap::{Parser, Subcommand};
use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::exchange::AttemptId;
use pipitcrank_server::replicas::frames;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use stage::Stage;

/// By how much a figure may grow before the check fails: nothing here varies from run to run, so this is room for small
/// changes on purpose, not for noise.
const MARGIN: f64 = 0.05;

#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Print all figures, with times, which are never judged
    Show,
    /// Fail where a figure grew by over 5 % against the file, or a decision changed
    Check { file: PathBuf },
    /// Write today's figures to the file: to raise one on purpose, say why in the commit
    Hold { file: PathBuf },
}

type Figures = BTreeMap<String, f64>;

fn main() -> Result<()> {
    let Args { what } = Args::parse();
    let figures = figures();
    match what {
        What::Show => {
            for (name, value) in &figures {
                println!("{name:<52} {value:>14.1}");
            }
        }
        What::Hold { file } => std::fs::write(&file, serde_json::to_string_pretty(&figures)? + "\n")?,
        What::Check { file } => {
            let held: Figures =
                serde_json::from_str(&std::fs::read_to_string(&file).context("the file held")?)?;
            let grown = grown(&held, &figures);
            for line in &grown {
                eprintln!("{line}");
            }
            if !grown.is_empty() {
                eprintln!(
                    "to raise it on purpose: cargo run --release -p pipitcrank-cost -- hold {}",
                    file.display()
                );
                std::process::exit(1);
            }
            println!("{} figures are within {} % of those held", figures.len(), MARGIN * 100.0);
        }
    }
    Ok(())
}

/// What is worse than held, or not the same where it has to be.
fn grown(held: &Figures, now: &Figures) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, value) in now.iter().filter(|(n, _)| !n.ends_with("us")) {
        match held.get(name) {
            None => lines.push(format!("{name} is not held yet: {value}")),
            Some(before) if name.starts_with("decisions") && before != value => {
                lines.push(format!("{name}: {before} was held, now {value}: the module decides otherwise"));
            }
            Some(before) if *value > before * (1.0 + MARGIN) + 0.5 => {
                lines.push(format!("{name}: {before:.1} was held, now {value:.1}"));
            }
            _ => {}
        }
    }
    lines.extend(
        held.keys()
            .filter(|n| !now.contains_key(*n))
            .map(|n| format!("{n} is held and not counted any more")),
    );
    lines
}

fn figures() -> Figures {
    let mut all = Figures::new();
    count(&mut all, "one part", 400, Stage::set(12, 6, 12, 4000), |s, n| s.serve_one(0, n, 1));
    count(&mut all, "6 parts", 400, Stage::set(12, 6, 12, 4000), |s, n| s.serve_one(0, n, 6));
    count(&mut all, "200 parts over 60 leaves", 40, Stage::set(60, 60, 200, 4000), |s, n| {
        s.serve_one(1, n, 200)
    });
    count(&mut all, "200 parts to 3 leaves", 4, Stage::set(3, 3, 200, 4000), |s, n| s.serve_one(1, n, 200));
    let mut full = Stage::set(12, 6, 12, 3);
    full.ask(0, 0, 6, 3_000_000);
    full.turn(5);
    count(&mut all, "rejected at the door", 400, full, |s, n| {
        s.ask(0, n, 6, 4000);
        s.turn(5);
    });
    // Nothing is answered: queries pile up, each further turn has one new event.
    let mut jam = Stage::set(60, 60, 200, 100_000);
    for n in 0..2000 {
        jam.ask(0, n, 6, 3_000_000);
    }
    jam.turn(5);
    jam.release();
    count(&mut all, "a turn with 2,000 queries open", 40, jam, |s, n| {
        s.ask(2, n, 1, 3_000_000);
        s.turn(1);
    });
    count(&mut all, "a leaf of 2,000 changes", 40, Stage::set(2000, 100, 200, 4000), |s, n| {
        s.replica_changes(n % 2000, n % 2 == 0);
        s.turn(5);
    });
    let grown = || Stage::set(1024, 128, 256, 4000);
    count(&mut all, "6 parts over 1,024 leaves", 400, grown(), |s, n| s.serve_one(0, n, 6));
    count(&mut all, "200 parts over 1,024 leaves", 40, grown(), |s, n| s.serve_one(1, n, 200));
    count(&mut all, "a third of 1,024 leaves changes in one moment", 10, grown(), |s, n| {
        (0..1024).step_by(3).for_each(|replica| s.replica_changes(replica, n % 2 == 0));
        s.turn(5);
    });
    count(&mut all, "a whole list of 1,024 leaves", 10, grown(), |s, _| {
        s.whole_list(1024);
        s.turn(5);
    });
    let mut burst = Stage::set(60, 60, 200, 100_000);
    let began = Instant::now();
    let counted = measure(|| {
        for n in 0..1000 {
            burst.ask(0, n, 6, 4000);
        }
        burst.turn(5);
    });
    all.insert("a thousand queries in one moment: blocks".into(), counted.count_total as f64);
    all.insert("a thousand queries in one moment: us".into(), began.elapsed().as_micros() as f64);
    encode(&mut all);
    for seed in 1..=6 {
        all.insert(format!("decisions on stream {seed}"), f64::from(decisions(seed)));
    }
    all
}

/// Means over so many rounds, after a tenth as many to warm up.
fn count(
    all: &mut Figures,
    name: &str,
    rounds: u32,
    mut stage: Stage,
    mut round: impl FnMut(&mut Stage, u32),
) {
    (0..rounds / 10 + 1).for_each(|n| round(&mut stage, n));
    let began = Instant::now();
    let counted = measure(|| (0..rounds).for_each(|n| round(&mut stage, n)));
    let took = began.elapsed();
    let mean = |sum: u64| sum as f64 / f64::from(rounds);
    all.insert(format!("{name}: blocks"), mean(counted.count_total));
    all.insert(format!("{name}: bytes"), mean(counted.bytes_total));
    all.insert(format!("{name}: us"), took.as_secs_f64() * 1e6 / f64::from(rounds));
}

/// A call's frame of eight parts, and an answer of 64 KiB taken from the bytes that came.
fn encode(all: &mut Figures) {
    let part = |n: u32| frames::CallPart {
        id: format!("q1.{n}").into(),
        shard: n,
        time_left: TimeSpan::from_millis(900),
        idempotency_key: None,
        text: "c41e".into(),
    };
    let parts: Vec<_> = (0..8).map(part).collect();
    let counted = measure(|| drop(frames::encode_call(&parts)));
    all.insert("frame of 8 parts: blocks".into(), counted.count_total as f64);
    all.insert("frame of 8 parts: bytes".into(), counted.bytes_total as f64);
    let answer = format!("Aq1.1 ok 7 -\n{}", "x".repeat(60_000));
    let mut buffer = BytesMut::new();
    buffer.extend_from_slice(&(answer.len() as u32).to_be_bytes());
    buffer.extend_from_slice(answer.as_bytes());
    let counted = measure(|| {
        let taken = frames::take(&mut buffer);
        assert!(matches!(taken, Ok(Some(_))), "an answer of our own is one");
    });
    all.insert("answer of 60 kB taken: blocks".into(), counted.count_total as f64);
    all.insert("answer of 60 kB taken: bytes".into(), counted.bytes_total as f64);
}

/// The sum of all that the module asked for on a generated stream: queries of all request classes, answers, faults, silence,
/// clients that leave, replicas that come and go.
fn decisions(seed: u64) -> u32 {
    let mut chance = Pcg64::seed_from_u64(seed);
    let mut stage = Stage::set(24, 12, 40, 300);
    let mut sum = crc32fast::Hasher::new();
    let (mut out, mut tickets) = (Vec::new(), Vec::new());
    for _ in 0..4000 {
        match chance.random_range(0..10) {
            0..=2 => {
                let class = chance.random_range(0..3u16);
                let parts = [6, 20, 1][class as usize];
                let wait = chance.random_range(300..4000);
                tickets.push(stage.ask(class, chance.random_range(0..40), parts, wait));
            }
            3..=7 if !out.is_empty() => {
                for _ in 0..chance.random_range(1..12usize).min(out.len()) {
                    let call = out.swap_remove(chance.random_range(0..out.len()));
                    let outcome = match chance.random_range(0..40) {
                        0 => AttemptOutcome::Fault,
                        1 => AttemptOutcome::NoCapacity,
                        2 => AttemptOutcome::Unreachable,
                        3 => AttemptOutcome::Disconnected,
                        _ => AttemptOutcome::Success,
                    };
                    stage.ended(call, outcome);
                }
            }
            8 if !tickets.is_empty() && chance.random_bool(0.2) => {
                let ticket = tickets.swap_remove(chance.random_range(0..tickets.len()));
                stage.exchange.client_disconnected(ticket);
            }
            9 if chance.random_bool(0.1) => {
                stage.replica_changes(chance.random_range(0..24), chance.random_bool(0.7))
            }
            _ => {}
        }
        stage.turn(chance.random_range(1..12));
        for (replica, parts) in &stage.noted.calls {
            sum.update(&replica.0.to_le_bytes());
            parts.iter().for_each(|AttemptId { part, number }| {
                sum.update(&part.0.to_le_bytes());
                sum.update(&number.to_le_bytes());
            });
        }
        for (replica, attempt) in stage.noted.given_up.drain(..) {
            let AttemptId { part, number } = attempt;
            sum.update(
                &[&replica.0.to_le_bytes()[..], &part.0.to_le_bytes(), &number.to_le_bytes(), b"x"].concat(),
            );
            out.retain(|call| *call != attempt);
        }
        out.extend(stage.release());
    }
    for (word, n) in stage.finals.borrow().iter() {
        sum.update(word.as_bytes());
        sum.update(&n.to_le_bytes());
    }
    sum.finalize()
}

#[cfg(test)]
mod tests;
