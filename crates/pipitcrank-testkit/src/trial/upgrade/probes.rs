//! Probes that go on through all rounds of the upgrade trial.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::client::get;
use crate::process::ResourceUsage;

/// Pause between two connections of the accept probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time in which nobody answered a client that had just connected.
pub(super) struct AcceptProbe {
    pub longest: Rc<Cell<Duration>>,
    /// Attempts that got no answer.
    pub refused: Rc<Cell<u64>>,
    task: tokio::task::JoinHandle<()>,
}

impl AcceptProbe {
    pub(super) fn start(address: SocketAddr) -> AcceptProbe {
        let (longest, refused) = (Rc::new(Cell::new(Duration::ZERO)), Rc::new(Cell::new(0)));
        let (most, unanswered) = (longest.clone(), refused.clone());
        let task = tokio::task::spawn_local(async move {
            loop {
                let begun = Instant::now();
                match get(address, "/up").await {
                    Some(_) => most.set(most.get().max(begun.elapsed())),
                    None => unanswered.set(unanswered.get() + 1),
                }
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        AcceptProbe { longest, refused, task }
    }
}

impl Drop for AcceptProbe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Most memory and descriptors held, of all its processes together.
#[derive(Clone, Default)]
pub(super) struct PeakUsage(Rc<Cell<ResourceUsage>>);

impl PeakUsage {
    pub(super) fn get(&self) -> ResourceUsage {
        self.0.get()
    }

    pub(super) fn observe(&self, usage: ResourceUsage) {
        let peak = self.0.get();
        self.0.set(ResourceUsage {
            memory_kb: peak.memory_kb.max(usage.memory_kb),
            descriptors: peak.descriptors.max(usage.descriptors),
        });
    }
}
