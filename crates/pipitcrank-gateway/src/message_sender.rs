//! Queue of messages to one peer: tasks append messages to it, and one writer sends them in order, within the peer's
//! credit.

use std::cell::Cell;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::flow_control::SendWindow;
use crate::frames::{LinkMessage, encode};

/// Sending end of the message queue of one connection.
#[derive(Clone)]
pub(crate) struct MessageSender {
    queue: UnboundedSender<LinkMessage>,
    queued: Rc<Cell<usize>>,
}

/// Receiving end of the message queue, which writes the messages to the connection.
pub(crate) struct MessageWriter {
    queue: UnboundedReceiver<LinkMessage>,
    queued: Rc<Cell<usize>>,
}

/// Creates an empty message queue.
pub(crate) fn message_queue() -> (MessageSender, MessageWriter) {
    let (sender, receiver) = unbounded_channel();
    let queued: Rc<Cell<usize>> = Rc::default();
    let writer = MessageWriter { queue: receiver, queued: queued.clone() };
    (MessageSender { queue: sender, queued }, writer)
}

impl MessageSender {
    pub(crate) fn send(&self, message: LinkMessage) {
        if self.queue.send(message).is_ok() {
            self.queued.set(self.queued.get() + 1);
        }
    }

    /// Number of messages that are not written yet.
    pub(crate) fn queued(&self) -> usize {
        self.queued.get()
    }
}

impl MessageWriter {
    /// Writes messages until the connection or the queue is closed. `credit` is the initial credit that the peer
    /// granted; `returned` is the total that it has returned since, both in bytes.
    pub(crate) async fn run(
        mut self,
        mut stream: OwnedWriteHalf,
        credit: u32,
        mut returned: watch::Receiver<u64>,
    ) {
        let mut window = SendWindow::new(credit);
        let mut applied = 0;
        while let Some(message) = self.queue.recv().await {
            loop {
                let total = *returned.borrow_and_update();
                window.replenish((total - applied).min(u64::from(u32::MAX)) as u32, u32::MAX);
                applied = total;
                if window.can_send() || !message.is_flow_controlled() {
                    break;
                }
                if returned.changed().await.is_err() {
                    return;
                }
            }
            let bytes = encode(&message);
            if message.is_flow_controlled() {
                window.consume(bytes.len());
            }
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
            self.queued.set(self.queued.get() - 1);
        }
    }
}
