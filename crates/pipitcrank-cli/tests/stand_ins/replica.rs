//! Replicas whose answers a test gives, and a listener whose connections come up late.

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
    /// Closes in order, or with a reset.
    Close,
    Reset,
}

/// One part that came, whose answer the test gives.
pub struct ReceivedPart {
    pub id: String,
    /// What stood behind `k=` in its list.
    pub key: Option<String>,
    /// The time left, as the co-ordinator states it.
    pub time_left: Duration,
    say: UnboundedSender<ReplicaAction>,
}

impl ReceivedPart {
    fn says(&self, rest: &str) {
        let _ = self
            .say
            .send(ReplicaAction::Bytes([&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()));
    }

    pub fn answers(&self) {
        self.says(&format!("A{} ok 7 -\nvalue", self.id));
    }

    pub fn fails(&self) {
        self.says(&format!("A{} err 0 -\n", self.id));
    }

    /// The connection that it came on ends, in order or with a reset.
    pub fn closes(&self) {
        let _ = self.say.send(ReplicaAction::Close);
    }

    pub fn resets(&self) {
        let _ = self.say.send(ReplicaAction::Reset);
    }
}

pub struct StandInReplica {
    pub address: SocketAddr,
    calls: UnboundedReceiver<ReceivedPart>,
    /// Ids of cancelled attempts.
    pub cancelled: Rc<RefCell<Vec<String>>>,
}

impl StandInReplica {
    pub async fn start() -> Result<StandInReplica> {
        Ok(StandInReplica::behind(TcpListener::bind("127.0.0.1:0").await?))
    }

    pub fn behind(listener: TcpListener) -> StandInReplica {
        let address = listener.local_addr().expect("a listener has an address");
        let (hand_out, calls) = unbounded_channel();
        let cancelled: Rc<RefCell<Vec<String>>> = Rc::default();
        let noted = cancelled.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(replica_connection(stream, hand_out.clone(), noted.clone()));
            }
        });
        StandInReplica { address, calls, cancelled }
    }

    /// The next part that comes.
    pub async fn call(&mut self) -> ReceivedPart {
        self.calls.recv().await.expect("the stand-in goes on")
    }

    /// What has come and was not taken yet.
    pub fn came(&mut self) -> Option<ReceivedPart> {
        self.calls.try_recv().ok()
    }
}

async fn replica_connection(
    stream: TcpStream,
    hand_out: UnboundedSender<ReceivedPart>,
    cancelled: Rc<RefCell<Vec<String>>>,
) {
    let _ = stream.set_nodelay(true);
    let (mut from, to) = stream.into_split();
    let (say, actions) = unbounded_channel();
    // The connection ends with it.
    let mut acting = tokio::task::spawn_local(act(to, actions));
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
            _ = &mut acting => return,
        };
        let words = String::from_utf8_lossy(&rest[1..]).into_owned();
        let frame = |rest: &str| {
            ReplicaAction::Bytes([&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat())
        };
        match rest[0] {
            b'L' => drop(say.send(frame("L-"))),
            b'P' => drop(say.send(frame("Pok"))),
            b'X' => cancelled.borrow_mut().push(words),
            _ => hand_out_parts(&words, &say, &hand_out),
        }
    }
}

/// Carries out the test's actions on a connection.
async fn act(mut to: OwnedWriteHalf, mut actions: UnboundedReceiver<ReplicaAction>) {
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

/// Hands out the parts of one call.
fn hand_out_parts(
    mut call: &str,
    say: &UnboundedSender<ReplicaAction>,
    hand_out: &UnboundedSender<ReceivedPart>,
) {
    while let Some((line, after)) = call.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let [id, _, list, length] = words[..] else { panic!("a part's line is '{line}'") };
        let key = list.split(',').find_map(|w| w.strip_prefix("k=")).map(str::to_string);
        let time_left = list.split(',').find_map(|w| w.strip_prefix("d=")?.parse().ok());
        let time_left = Duration::from_millis(time_left.expect("the time left"));
        let _ = hand_out.send(ReceivedPart { id: id.to_string(), key, time_left, say: say.clone() });
        call = &after[length.parse::<usize>().expect("a length")..];
    }
}

/// A listener that takes up no connection until let: then those that wait come up when their own system tries again,
/// a second after they began.
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
        // Until its queue is full.
        let mut fillers = Vec::new();
        while let Ok(up) = tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
        {
            fillers.push(up?);
        }
        Ok(SlowListener { listener, address, _fillers: fillers })
    }

    pub fn let_up(self) -> StandInReplica {
        StandInReplica::behind(self.listener)
    }
}
