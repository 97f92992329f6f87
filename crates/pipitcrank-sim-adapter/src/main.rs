//! The simulator's wire on standard input and output: decodes batches of events, maps names to small indices, calls the
//! coordinators, and writes what they ask for. Nothing is decided here.

mod endpoint_row;
mod instance;
mod instance_output;
mod line;
mod line_reader;
mod protocol_error;
mod session;

use std::io::{self, BufWriter};

/// Size of the output buffer, in bytes.
const OUTPUT_BUFFER: usize = 1 << 16;
/// Exit status after malformed input.
const EXIT_MALFORMED: i32 = 2;

fn main() {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER, io::stdout().lock());
    if let Err(error) = session::run(&mut io::stdin().lock(), &mut output) {
        eprintln!("pipitcrank-sim-adapter: {error}");
        std::process::exit(EXIT_MALFORMED);
    }
}
