//! Keeps the endpoint list up to date.
//!
//! Two ways run beside each other: a watch brings each change at once, and polls of the complete list, each on a
//! connection of its own, bring whatever a watch did not. A change has to be known 6 s after the discovery service had it,
//! whatever call failed: polls alone keep to that, so no watch has to be trusted. Where the service pays for each call and
//! refuses them when there are too many, the watch goes first, polls are rare, and a coordinator that was refused calls
//! later and later.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

use super::http;
use super::poll_pacing::PollPacing;
use super::source::DiscoverySource;
use crate::runtime::event_loop::EventLoop;

/// Revision of the current endpoint list; none asks for the complete list.
pub type SharedRevision = Rc<Cell<Option<u64>>>;

/// Keeps the list up to date for ever, wherever the discovery service is at the moment. `revision`: of the initial list,
/// then of the current one. `pacing`: present where the service pays for each call.
pub async fn watch(
    event_loop: Rc<EventLoop>,
    mut address: watch::Receiver<String>,
    revision: SharedRevision,
    pacing: Option<PollPacing>,
) {
    let client = http::client();
    loop {
        let current = address.borrow_and_update().clone();
        let source = DiscoverySource::new(&event_loop, &client, &current, &revision, pacing.as_ref());
        let moved = async {
            while address.changed().await.is_ok() {
                if *address.borrow_and_update() != current {
                    return;
                }
                // Set anew to the same address: changes have to be known sooner then.
                source.poll_now();
            }
            std::future::pending().await
        };
        // After a move, a call or a pause at the old address is left at once. The new one may count revisions otherwise, so the
        // complete list is asked for there.
        tokio::select! {
            _ = source.poll_forever() => {}
            _ = source.watch_forever() => {}
            () = moved => {
                event_loop.counters.add("discovery", "moved");
                revision.set(None);
            }
        }
    }
}
