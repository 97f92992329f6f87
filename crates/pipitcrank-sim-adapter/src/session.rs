//! Session with the simulator: reads batches of events and writes one reply per batch.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use pipitcrank_core::time::Timestamp;

use crate::instance::{EndpointLists, Instance};
use crate::line::Line;
use crate::line_reader::LineReader;
use crate::protocol_error::ProtocolError;

/// Co-ordinators and endpoint lists of a session.
#[derive(Default)]
struct Session {
    /// Running instances by name. RETIRE removes one.
    instances: BTreeMap<String, Instance>,
    /// Last endpoint list registered under each of the sixteen reference numbers of the protocol.
    lists: EndpointLists,
    /// Instances with events in the current batch, in the order of their first event.
    batch_instances: Vec<String>,
}

/// Processes the input to its end.
pub fn run(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), ProtocolError> {
    let mut reader = LineReader::new(input);
    let mut session = Session::default();
    let mut batch_time: Option<Timestamp> = None;
    while let Some(line) = reader.next()? {
        match (line.keyword(), batch_time) {
            ("", None) => {}
            ("MARK", None) => batch_time = Some(Timestamp::from_secs_f64(line.finite("t_s")?)),
            (keyword, None) => {
                return Err(ProtocolError::OutsideBatch {
                    line: line.number(),
                    keyword: keyword.to_string(),
                });
            }
            ("COMMIT", Some(now)) => {
                let write_failed = |source| ProtocolError::WriteFailed { line: line.number(), source };
                session.commit(now, output).map_err(write_failed)?;
                batch_time = None;
            }
            ("REGISTER", Some(_)) => {
                let (reference, count) = (line.parse("ref")?, line.parse("rows")?);
                let rows = reader.read_rows(count)?;
                session.lists.insert(reference, rows);
            }
            (_, Some(now)) => session.handle_event(now, &line)?,
        }
    }
    match batch_time {
        None => Ok(()),
        Some(_) => Err(ProtocolError::IncompleteBatch { line: reader.number() }),
    }
}

impl Session {
    fn handle_event(&mut self, now: Timestamp, line: &Line) -> Result<(), ProtocolError> {
        let name = line.field("i")?;
        match line.keyword() {
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
        let instance = instance.ok_or_else(|| line.error("i", "does not name a running instance"))?;
        if !self.batch_instances.iter().any(|listed| listed == name) {
            self.batch_instances.push(name.to_string());
        }
        instance.handle(now, line, &self.lists)
    }

    /// Ends the batch: dispatches the instances that had events and writes their replies.
    fn commit(&mut self, now: Timestamp, output: &mut dyn Write) -> io::Result<()> {
        for name in self.batch_instances.drain(..) {
            if let Some(instance) = self.instances.get_mut(&name) {
                instance.dispatch(now);
                instance.write_reply(output)?;
            }
        }
        output.write_all(b"DONE\n")?;
        output.flush()
    }
}
