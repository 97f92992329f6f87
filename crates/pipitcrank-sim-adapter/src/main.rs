//! The simulator's wire on standard input and output: decodes a batch, maps ids to small indices, calls the
//! decision module, writes its actions. Nothing is decided here.

mod door;
mod line;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};

use door::{Host, Row};
use line::{Line, Wrong};
use pipitcrank_core::time::Timestamp;

fn play(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), Wrong> {
    // By instance name; an entry ends with the instance (RETIRE).
    let mut hosts: BTreeMap<String, Host> = BTreeMap::new();
    // The last list under each of the wire's sixteen numbers.
    let mut lists: BTreeMap<u32, Vec<Row>> = BTreeMap::new();
    let mut touched: Vec<String> = Vec::new();
    let (mut text, mut no) = (String::new(), 0u64);
    let mut now: Option<Timestamp> = None;
    loop {
        text.clear();
        if input.read_line(&mut text).map_err(|e| Wrong::new(no + 1, &format!("cannot be read: {e}")))? == 0 {
            return match now {
                None => Ok(()),
                Some(_) => Err(Wrong::new(no, "the input ends inside a batch")),
            };
        }
        no += 1;
        let line = Line::new(no, text.trim_end_matches(['\n', '\r']));
        match (line.word(), now) {
            ("", None) => {}
            ("MARK", None) => now = Some(Timestamp::from_secs_f64(line.amount("t_s")?)),
            ("COMMIT", Some(at)) => {
                for name in touched.drain(..) {
                    if let Some(host) = hosts.get_mut(&name) {
                        host.turn(at);
                        host.flush(output).map_err(|e| Wrong::new(no, &format!("reply not written: {e}")))?;
                    }
                }
                let done = output.write_all(b"DONE\n").and_then(|()| output.flush());
                done.map_err(|e| Wrong::new(no, &format!("reply not written: {e}")))?;
                now = None;
            }
            ("REGISTER", Some(_)) => {
                let (number, count) = (line.number("ref")?, line.number::<usize>("rows")?);
                let mut rows = Vec::new();
                for _ in 0..count {
                    text.clear();
                    if input.read_line(&mut text).is_ok_and(|n| n == 0) {
                        return Err(Wrong::new(no, "the input ends inside a list"));
                    }
                    no += 1;
                    rows.push(Row::read(&Line::new(no, text.trim_end_matches(['\n', '\r'])))?);
                }
                lists.insert(number, rows);
            }
            (word, Some(at)) => {
                let name = line.field("i")?;
                if word == "NEW_INSTANCE" {
                    hosts.insert(name.to_string(), Host::start(&line, name)?);
                } else if word == "RETIRE" {
                    hosts.remove(name);
                    continue;
                }
                let host = hosts.get_mut(name).ok_or_else(|| line.wrong("i", "names no running instance"))?;
                if !touched.iter().any(|t| t == name) {
                    touched.push(name.to_string());
                }
                host.event(at, &line, &lists)?;
            }
            (word, None) => return Err(Wrong::new(no, &format!("'{word}' outside a batch"))),
        }
    }
}

fn main() {
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    if let Err(wrong) = play(&mut io::stdin().lock(), &mut output) {
        eprintln!("pipitcrank-sim-adapter: {wrong}");
        std::process::exit(2);
    }
}
