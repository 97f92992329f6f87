//! Checksum of the decisions on a generated stream of events.

use crc32fast::Hasher;
use pipitcrank_core::ids::{AttemptId, AttemptOutcome};
use pipitcrank_server::exchange::AttemptHandle;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::harness::ExchangeHarness;

/// Number of batches in a stream.
const BATCHES: u32 = 4000;

/// Returns the checksum of the calls, cancellations and responses on the stream generated from `seed`. The
/// stream contains queries of all request classes, answers, faults, missing answers, clients that disconnect,
/// and replicas that start and drain.
pub fn checksum(seed: u64) -> u32 {
    let mut stream = Stream {
        rng: Pcg64::seed_from_u64(seed),
        harness: ExchangeHarness::new(24, 12, 40, 300),
        hasher: Hasher::new(),
        in_flight: Vec::new(),
        tickets: Vec::new(),
    };
    for _ in 0..BATCHES {
        stream.generate_event();
        let ms = stream.rng.random_range(1..12);
        stream.harness.run_batch(ms);
        stream.hash_decisions();
    }
    for (kind, count) in stream.harness.responses.borrow().iter() {
        stream.hasher.update(kind.as_bytes());
        stream.hasher.update(&count.to_le_bytes());
    }
    stream.hasher.finalize()
}

/// A generated stream and the checksum of the decisions made on it so far.
struct Stream {
    rng: Pcg64,
    harness: ExchangeHarness,
    hasher: Hasher,
    in_flight: Vec<AttemptHandle>,
    tickets: Vec<u64>,
}

impl Stream {
    fn generate_event(&mut self) {
        match self.rng.random_range(0..10) {
            0..=2 => {
                let class = self.rng.random_range(0..3u16);
                let parts = [6, 20, 1][class as usize];
                let time_limit_ms = self.rng.random_range(300..4000);
                let first_shard = self.rng.random_range(0..40);
                self.tickets.push(self.harness.submit(class, first_shard, parts, time_limit_ms));
            }
            3..=7 if !self.in_flight.is_empty() => self.end_some_attempts(),
            8 if !self.tickets.is_empty() && self.rng.random_bool(0.2) => {
                let ticket = self.tickets.swap_remove(self.rng.random_range(0..self.tickets.len()));
                self.harness.exchange.client_disconnected(ticket);
            }
            9 if self.rng.random_bool(0.1) => {
                let replica = self.rng.random_range(0..24);
                self.harness.change_replica(replica, self.rng.random_bool(0.7));
            }
            _ => {}
        }
    }

    fn end_some_attempts(&mut self) {
        for _ in 0..self.rng.random_range(1..12usize).min(self.in_flight.len()) {
            let attempt = self.in_flight.swap_remove(self.rng.random_range(0..self.in_flight.len()));
            let outcome = match self.rng.random_range(0..40) {
                0 => AttemptOutcome::Fault,
                1 => AttemptOutcome::NoCapacity,
                2 => AttemptOutcome::Unreachable,
                3 => AttemptOutcome::Disconnected,
                _ => AttemptOutcome::Success,
            };
            self.harness.end_attempt(attempt, outcome);
        }
    }

    fn hash_decisions(&mut self) {
        for (replica, attempts) in &self.harness.transport.calls {
            self.hasher.update(&replica.0.to_le_bytes());
            for AttemptId { part, number } in attempts.iter().map(|attempt| attempt.id) {
                self.hasher.update(&part.0.to_le_bytes());
                self.hasher.update(&number.to_le_bytes());
            }
        }
        for (replica, attempt) in self.harness.transport.cancelled.drain(..) {
            let AttemptId { part, number } = attempt.id;
            let bytes = [&replica.0.to_le_bytes()[..], &part.0.to_le_bytes(), &number.to_le_bytes(), b"x"];
            self.hasher.update(&bytes.concat());
            self.in_flight.retain(|other| *other != attempt);
        }
        self.in_flight.extend(self.harness.authorize_all());
    }
}
