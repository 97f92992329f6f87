//! Stand-in replicas whose responses a test sends, and a listener that delays connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

enum ReplicaAction {
    Bytes(Vec<u8>),
    /// Closes the connection normally.
    Close,
    Reset,
}

/// A received part, to which the test responds.
pub struct ReceivedPart {
    pub id: String,
    /// Value of `k=` in the part's line: the client's key.
    pub key: Option<String>,
    /// Remaining time as stated by the co-ordinator.
    pub time_left: Duration,
    actions_sender: UnboundedSender<ReplicaAction>,
}

impl ReceivedPart {
    fn send_frame(&self, rest: &str) {
        let _ = self
            .actions_sender
            .send(ReplicaAction::Bytes([&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()));
    }

    pub fn answer(&self) {
        self.answer_with("value");
    }

    pub fn answer_with(&self, value: &str) {
        self.send_frame(&format!("A{} ok 7 -\n{value}", self.id));
    }

    pub fn fail(&self) {
        self.send_frame(&format!("A{} err 0 -\n", self.id));
    }

    /// Closes the connection on which the part arrived.
    pub fn close(&self) {
        let _ = self.actions_sender.send(ReplicaAction::Close);
    }

    pub fn reset(&self) {
        let _ = self.actions_sender.send(ReplicaAction::Reset);
    }
}

pub struct StandInReplica {
    pub address: SocketAddr,
    parts: UnboundedReceiver<ReceivedPart>,
    /// Ids of cancelled attempts.
    pub cancelled: Rc<RefCell<Vec<String>>>,
}

impl StandInReplica {
    pub async fn start() -> Result<StandInReplica> {
        Ok(StandInReplica::with_listener(TcpListener::bind("127.0.0.1:0").await?))
    }

    pub fn with_listener(listener: TcpListener) -> StandInReplica {
        let address = listener.local_addr().expect("a listener has an address");
        let (parts_sender, parts) = unbounded_channel();
        let cancelled: Rc<RefCell<Vec<String>>> = Rc::default();
        let cancelled_ids = cancelled.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(replica_connection(
                    stream,
                    parts_sender.clone(),
                    cancelled_ids.clone(),
                ));
            }
        });
        StandInReplica { address, parts, cancelled }
    }

    /// Waits for the next part.
    pub async fn next_part(&mut self) -> ReceivedPart {
        self.parts.recv().await.expect("the stand-in is running")
    }

    /// The next part, if one has arrived.
    pub fn try_next_part(&mut self) -> Option<ReceivedPart> {
        self.parts.try_recv().ok()
    }
}

async fn replica_connection(
    stream: TcpStream,
    parts_sender: UnboundedSender<ReceivedPart>,
    cancelled: Rc<RefCell<Vec<String>>>,
) {
    let _ = stream.set_nodelay(true);
    let (mut from, to) = stream.into_split();
    let (actions_sender, actions) = unbounded_channel();
    // Once this task has closed the connection, the loop below ends.
    let mut performing = tokio::task::spawn_local(perform_actions(to, actions));
    loop {
        let frame = async {
            let mut rest = vec![0; from.read_u32().await? as usize];
            from.read_exact(&mut rest).await?;
            std::io::Result::Ok(rest)
        };
        let rest = tokio::select! {
            frame = frame => match frame {
                Ok(rest) => rest,
                Err(_) => return,
            },
            _ = &mut performing => return,
        };
        let words = String::from_utf8_lossy(&rest[1..]).into_owned();
        let frame = |rest: &str| {
            ReplicaAction::Bytes([&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat())
        };
        match rest[0] {
            b'L' => drop(actions_sender.send(frame("L-"))),
            b'P' => drop(actions_sender.send(frame("Pok"))),
            b'X' => cancelled.borrow_mut().push(words),
            _ => send_parts(&words, &actions_sender, &parts_sender),
        }
    }
}

/// Performs the test's actions on a connection.
async fn perform_actions(mut to: OwnedWriteHalf, mut actions: UnboundedReceiver<ReplicaAction>) {
    while let Some(action) = actions.recv().await {
        match action {
            ReplicaAction::Bytes(bytes) => {
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            ReplicaAction::Close => return drop(to),
            ReplicaAction::Reset => {
                let _ = to.as_ref().set_zero_linger();
                return to.forget();
            }
        }
    }
}

/// Parses the parts of one call and passes them to the test.
fn send_parts(
    mut parts_text: &str,
    actions_sender: &UnboundedSender<ReplicaAction>,
    parts_sender: &UnboundedSender<ReceivedPart>,
) {
    while let Some((line, after)) = parts_text.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let [id, _, list, length] = words[..] else { panic!("a part's line is '{line}'") };
        let key = list.split(',').find_map(|w| w.strip_prefix("k=")).map(str::to_string);
        let time_left = list.split(',').find_map(|w| w.strip_prefix("d=")?.parse().ok());
        let time_left = Duration::from_millis(time_left.expect("a remaining time in milliseconds"));
        let _ = parts_sender.send(ReceivedPart {
            id: id.to_string(),
            key,
            time_left,
            actions_sender: actions_sender.clone(),
        });
        parts_text = &after[length.parse::<usize>().expect("a length")..];
    }
}

/// A listener with a full accept queue, so that connections stay pending until the test accepts them. They then
/// complete when the client's kernel resends its SYN, one second after the connect.
pub struct SlowListener {
    listener: TcpListener,
    pub address: SocketAddr,
    _fillers: Vec<TcpStream>,
}

impl SlowListener {
    pub async fn start() -> Result<SlowListener> {
        let socket = TcpSocket::new_v4()?;
        socket.bind("127.0.0.1:0".parse()?)?;
        let listener = socket.listen(0)?;
        let address = listener.local_addr()?;
        // Fills the accept queue.
        let mut fillers = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
        {
            fillers.push(stream?);
        }
        Ok(SlowListener { listener, address, _fillers: fillers })
    }

    pub fn accept_connections(self) -> StandInReplica {
        StandInReplica::with_listener(self.listener)
    }
}
