//! Probes that run through all rounds of the upgrade trial.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::client::get;
use crate::process::ResourceUsage;

/// Pause between two requests of the accept probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Sends `/up` requests on new connections and records the longest response time.
pub(super) struct AcceptProbe {
    pub longest: Rc<Cell<Duration>>,
    /// Number of requests without an answer.
    pub refused: Rc<Cell<u64>>,
    task: tokio::task::JoinHandle<()>,
}

impl AcceptProbe {
    pub(super) fn start(address: SocketAddr) -> AcceptProbe {
        let (longest, refused) = (Rc::new(Cell::new(Duration::ZERO)), Rc::new(Cell::new(0)));
        let (most, unanswered) = (longest.clone(), refused.clone());
        let task = tokio::task::spawn_local(async move {
            loop {
                let started = Instant::now();
                match get(address, "/up").await {
                    Some(_) => most.set(most.get().max(started.elapsed())),
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

/// Peak memory and descriptors of the program's processes together.
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
