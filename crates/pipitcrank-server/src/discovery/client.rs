//! Keeps the endpoint list up to date.
//!
//! A watch and polls run concurrently. The watch delivers each change at once. Polls of the complete list, each on its
//! own connection, deliver the changes that the watch has missed. A change must be known within 6 s of its publication
//! by the discovery service, even if calls fail; polls alone meet this limit, so it does not depend on the watch. If the
//! service has a cost per call and refuses calls when there are too many, the watch has priority, polls are rare, and a
//! co-ordinator whose calls are refused waits longer before each further call.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

use super::http;
use super::poll_pacing::PollPacing;
use super::source::DiscoverySource;
use crate::runtime::counter_names::{discovery, group};
use crate::runtime::event_loop::EventLoop;

/// Revision of the current endpoint list; `None` requests the complete list.
pub type SharedRevision = Rc<Cell<Option<u64>>>;

/// Keeps the list up to date indefinitely and follows changes of the discovery service's address. `revision`: revision
/// of the initial list, later of the current one. `pacing`: present if the service has a cost per call.
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
                // The same address was set again. Changes must then be known earlier than by the next regular poll.
                source.poll_now();
            }
            std::future::pending().await
        };
        // After a change of address, calls to the old address and pauses between them are cancelled at once. The new
        // service may number its revisions differently, so the complete list is requested from it.
        tokio::select! {
            _ = source.poll_forever() => {}
            _ = source.watch_forever() => {}
            () = moved => {
                event_loop.counters.add(group::DISCOVERY, discovery::MOVED);
                revision.set(None);
            }
        }
    }
}
