//! Messages to one peer: queued by whoever has something to send, written in order as far as the peer's credit goes.

use std::cell::Cell;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::flow_control::SendWindow;
use crate::frames::{LinkMessage, encode};

/// Queue of messages to one connection.
#[derive(Clone)]
pub(crate) struct MessageSender {
    queue: UnboundedSender<LinkMessage>,
    waiting: Rc<Cell<usize>>,
}

/// The other end of the queue, which writes the messages.
pub(crate) struct MessageWriter {
    queue: UnboundedReceiver<LinkMessage>,
    waiting: Rc<Cell<usize>>,
}

/// An empty queue.
pub(crate) fn message_queue() -> (MessageSender, MessageWriter) {
    let (sender, receiver) = unbounded_channel();
    let waiting: Rc<Cell<usize>> = Rc::default();
    let writer = MessageWriter { queue: receiver, waiting: waiting.clone() };
    (MessageSender { queue: sender, waiting }, writer)
}

impl MessageSender {
    pub(crate) fn send(&self, message: LinkMessage) {
        if self.queue.send(message).is_ok() {
            self.waiting.set(self.waiting.get() + 1);
        }
    }

    /// How many messages wait to be written.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

impl MessageWriter {
    /// Writes until the stream or the queue ends. `credit` is what the peer gave at first; `returned` counts all that it
    /// returned since, in bytes.
    pub(crate) async fn run(
        mut self,
        mut stream: OwnedWriteHalf,
        credit: u32,
        mut returned: watch::Receiver<u64>,
    ) {
        let mut window = SendWindow::new(credit);
        let mut seen = 0;
        while let Some(message) = self.queue.recv().await {
            loop {
                let all = *returned.borrow_and_update();
                window.replenish((all - seen).min(u64::from(u32::MAX)) as u32, u32::MAX);
                seen = all;
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
            self.waiting.set(self.waiting.get() - 1);
        }
    }
}
