//! Connects co-ordinators to an external simulator through standard input and output. The adapter decodes
//! batches of events, maps names to small indices, calls the co-ordinators and writes their actions. It makes
//! no decisions of its own.

mod endpoint_row;
mod instance;
mod instance_output;
mod line;
mod line_reader;
mod protocol_error;
mod session;

use std::io::{self, BufWriter};

/// Capacity of the output buffer in bytes.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;
/// Exit status after malformed input or an I/O error.
const EXIT_PROTOCOL_ERROR: i32 = 2;

fn main() {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    if let Err(error) = session::run(&mut io::stdin().lock(), &mut output) {
        eprintln!("pipitcrank-sim-adapter: {error}");
        std::process::exit(EXIT_PROTOCOL_ERROR);
    }
}
