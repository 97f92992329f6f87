//! Measured scenarios.

use std::time::Instant;

use allocation_counter::measure;
use bytes::BytesMut;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_server::replicas::frames;

use crate::decisions::checksum;
use crate::figures::Figures;
use crate::harness::ExchangeHarness;

/// Number of generated streams. The checksum of the decisions on each is a figure.
const STREAMS: u64 = 6;
/// Size in bytes of the answer that is decoded from a buffer.
const ANSWER_BYTES: usize = 60_000;

/// Measures all scenarios.
pub fn measure_all() -> Figures {
    let mut all = Figures::new();
    measure_queries(&mut all);
    measure_overload(&mut all);
    measure_endpoint_changes(&mut all);
    measure_large_fleet(&mut all);
    measure_burst(&mut all);
    measure_frames(&mut all);
    for seed in 1..=STREAMS {
        all.insert(format!("decisions on stream {seed}"), f64::from(checksum(seed)));
    }
    all
}

fn measure_queries(all: &mut Figures) {
    let small = || ExchangeHarness::new(12, 6, 12, 4000);
    let (wide, narrow) = (ExchangeHarness::new(60, 60, 200, 4000), ExchangeHarness::new(3, 3, 200, 4000));
    measure_mean(all, "one part", 400, small(), |harness, n| harness.serve_one(0, n, 1));
    measure_mean(all, "6 parts", 400, small(), |harness, n| harness.serve_one(0, n, 6));
    measure_mean(all, "200 parts over 60 leaves", 40, wide, |harness, n| harness.serve_one(1, n, 200));
    measure_mean(all, "200 parts to 3 leaves", 4, narrow, |harness, n| harness.serve_one(1, n, 200));
}

fn measure_overload(all: &mut Figures) {
    let mut full = ExchangeHarness::new(12, 6, 12, 3);
    full.submit(0, 0, 6, 3_000_000);
    full.run_batch(5);
    measure_mean(all, "rejected at the door", 400, full, |harness, n| {
        harness.submit(0, n, 6, 4000);
        harness.run_batch(5);
    });
    // Replicas do not answer, so queries accumulate. Each measured batch has one new query.
    let mut backlogged = ExchangeHarness::new(60, 60, 200, 100_000);
    for n in 0..2000 {
        backlogged.submit(0, n, 6, 3_000_000);
    }
    backlogged.run_batch(5);
    backlogged.authorize_all();
    measure_mean(all, "a turn with 2,000 queries open", 40, backlogged, |harness, n| {
        harness.submit(2, n, 1, 3_000_000);
        harness.run_batch(1);
    });
}

fn measure_endpoint_changes(all: &mut Figures) {
    let fleet = ExchangeHarness::new(2000, 100, 200, 4000);
    measure_mean(all, "a leaf of 2,000 changes", 40, fleet, |harness, n| {
        harness.change_replica(n % 2000, n % 2 == 0);
        harness.run_batch(5);
    });
}

fn measure_large_fleet(all: &mut Figures) {
    let fleet = || ExchangeHarness::new(1024, 128, 256, 4000);
    measure_mean(all, "6 parts over 1,024 leaves", 400, fleet(), |harness, n| harness.serve_one(0, n, 6));
    measure_mean(all, "200 parts over 1,024 leaves", 40, fleet(), |harness, n| harness.serve_one(1, n, 200));
    measure_mean(all, "a third of 1,024 leaves changes in one moment", 10, fleet(), |harness, n| {
        (0..1024).step_by(3).for_each(|replica| harness.change_replica(replica, n % 2 == 0));
        harness.run_batch(5);
    });
    measure_mean(all, "a whole list of 1,024 leaves", 10, fleet(), |harness, _| {
        harness.list_all(1024);
        harness.run_batch(5);
    });
}

fn measure_burst(all: &mut Figures) {
    let mut burst = ExchangeHarness::new(60, 60, 200, 100_000);
    let started = Instant::now();
    let counted = measure(|| {
        for n in 0..1000 {
            burst.submit(0, n, 6, 4000);
        }
        burst.run_batch(5);
    });
    all.insert("a thousand queries in one moment: blocks".into(), counted.count_total as f64);
    all.insert("a thousand queries in one moment: us".into(), started.elapsed().as_micros() as f64);
}

/// Measures the means over `rounds` rounds, after a warm-up of a tenth as many rounds, and inserts them under
/// `name`.
fn measure_mean(
    all: &mut Figures,
    name: &str,
    rounds: u32,
    mut harness: ExchangeHarness,
    mut run_round: impl FnMut(&mut ExchangeHarness, u32),
) {
    (0..rounds / 10 + 1).for_each(|n| run_round(&mut harness, n));
    let started = Instant::now();
    let counted = measure(|| (0..rounds).for_each(|n| run_round(&mut harness, n)));
    let elapsed = started.elapsed();
    let mean = |total: u64| total as f64 / f64::from(rounds);
    all.insert(format!("{name}: blocks"), mean(counted.count_total));
    all.insert(format!("{name}: bytes"), mean(counted.bytes_total));
    all.insert(format!("{name}: us"), elapsed.as_secs_f64() * 1e6 / f64::from(rounds));
}

/// Measures the encoding of a call frame with eight parts, and the decoding of a long answer from a buffer.
fn measure_frames(all: &mut Figures) {
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
    let answer = format!("Aq1.1 ok 7 -\n{}", "x".repeat(ANSWER_BYTES));
    let mut buffer = BytesMut::new();
    buffer.extend_from_slice(&(answer.len() as u32).to_be_bytes());
    buffer.extend_from_slice(answer.as_bytes());
    let counted = measure(|| {
        let frame = frames::take_frame(&mut buffer);
        assert!(matches!(frame, Ok(Some(_))), "the answer was not decoded as a complete frame");
    });
    all.insert("answer of 60 kB taken: blocks".into(), counted.count_total as f64);
    all.insert("answer of 60 kB taken: bytes".into(), counted.bytes_total as f64);
}
