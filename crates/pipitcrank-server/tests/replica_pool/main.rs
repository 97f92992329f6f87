//! Tests of the replica pool against a stand-in replica in the same process.

mod connections;
mod harness;
mod late_answers;
