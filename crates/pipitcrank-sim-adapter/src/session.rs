//! A session with the simulator: batches of events in, a reply for each.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use pipitcrank_core::time::Timestamp;

use crate::instance::{EndpointLists, Instance};
use crate::line::Line;
use crate::line_reader::LineReader;
use crate::protocol_error::ProtocolError;

/// The co-ordinators of a session.
#[derive(Default)]
struct Session {
    /// By name; an entry ends with the instance (RETIRE).
    instances: BTreeMap<String, Instance>,
    /// The last list under each of the wire's sixteen numbers.
    lists: EndpointLists,
    /// Instances with events in the present batch, in the order of their first ones.
    touched: Vec<String>,
}

/// Plays the input to its end.
pub fn run(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), ProtocolError> {
    let mut reader = LineReader::new(input);
    let mut session = Session::default();
    let mut batch_time: Option<Timestamp> = None;
    while let Some(line) = reader.next()? {
        match (line.word(), batch_time) {
            ("", None) => {}
            ("MARK", None) => batch_time = Some(Timestamp::from_secs_f64(line.amount("t_s")?)),
            (word, None) => {
                return Err(ProtocolError::OutsideBatch { line: line.number(), word: word.to_string() });
            }
            ("COMMIT", Some(now)) => {
                let not_written = |source| ProtocolError::NotWritten { line: line.number(), source };
                session.commit(now, output).map_err(not_written)?;
                batch_time = None;
            }
            ("REGISTER", Some(_)) => {
                let (reference, count) = (line.number_in("ref")?, line.number_in("rows")?);
                let rows = reader.rows(count)?;
                session.lists.insert(reference, rows);
            }
            (_, Some(now)) => session.event(now, &line)?,
        }
    }
    match batch_time {
        None => Ok(()),
        Some(_) => Err(ProtocolError::EndsInBatch { line: reader.number() }),
    }
}

impl Session {
    fn event(&mut self, now: Timestamp, line: &Line) -> Result<(), ProtocolError> {
        let name = line.field("i")?;
        match line.word() {
            "NEW_INSTANCE" => {
                self.instances.insert(name.to_string(), Instance::start(line, name)?);
            }
            "RETIRE" => {
                self.instances.remove(name);
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(name);
        let instance = instance.ok_or_else(|| line.error("i", "names no running instance"))?;
        if !self.touched.iter().any(|touched| touched == name) {
            self.touched.push(name.to_string());
        }
        instance.handle(now, line, &self.lists)
    }

    /// Ends the batch: lets its instances dispatch and writes their replies.
    fn commit(&mut self, now: Timestamp, output: &mut dyn Write) -> io::Result<()> {
        for name in self.touched.drain(..) {
            if let Some(instance) = self.instances.get_mut(&name) {
                instance.dispatch(now);
                instance.flush(output)?;
            }
        }
        output.write_all(b"DONE\n")?;
        output.flush()
    }
}
