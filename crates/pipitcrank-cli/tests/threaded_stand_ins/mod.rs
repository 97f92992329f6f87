//! Stand-ins on threads, for blocking tests: replicas, a discovery whose lines a test sends, the program, and
//! functions for clients' requests and answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub const LIMIT: Duration = Duration::from_secs(30);

pub fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < LIMIT, "no {what} within {LIMIT:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Handles a call at a stand-in replica. Arguments: the connection, the parts (id, shard), and a receiver for the
/// test's signal to answer.
pub type PartHandler = fn(&mut TcpStream, &[(String, u32)], &Receiver<()>);

pub fn send(to: &mut TcpStream, rest: &str) {
    let _ = to.write_all(&[&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat());
}

pub fn answer_parts(to: &mut TcpStream, parts: &[(String, u32)], _: &Receiver<()>) {
    for (id, shard) in parts {
        send(to, &format!("A{id} ok 7 -\nd{shard}"));
    }
}

pub fn close_connection(to: &mut TcpStream, _: &[(String, u32)], _: &Receiver<()>) {
    let _ = to.shutdown(std::net::Shutdown::Both);
}

pub fn send_unknown_frame(to: &mut TcpStream, _: &[(String, u32)], _: &Receiver<()>) {
    send(to, "?what");
}

pub fn answer_when_released(to: &mut TcpStream, parts: &[(String, u32)], release: &Receiver<()>) {
    let _ = release.recv_timeout(LIMIT);
    answer_parts(to, parts, release);
}

pub struct StandInReplica {
    pub address: SocketAddr,
    /// Received frames, in order.
    pub frames: Receiver<String>,
    pub release: Sender<()>,
}

impl StandInReplica {
    /// Serves one connection at a time. Others wait in the accept queue.
    pub fn start(handler: PartHandler) -> StandInReplica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((frame_sender, frames), (release, released)) = (channel(), channel());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut head = [0; 4];
                while stream.read_exact(&mut head).is_ok() {
                    let mut rest = vec![0; u32::from_be_bytes(head) as usize];
                    if stream.read_exact(&mut rest).is_err() {
                        break;
                    }
                    let frame = String::from_utf8(rest).unwrap();
                    let _ = frame_sender.send(frame.clone());
                    if frame == "L" {
                        send(&mut stream, "Lqueue=0");
                    } else if let Some(call) = frame.strip_prefix('Q') {
                        handler(&mut stream, &parse_parts(call), &released);
                    }
                }
            }
        });
        StandInReplica { address, frames, release }
    }

    pub fn wait_for_frame(&self, letter: char) -> String {
        wait_for("a frame", || self.frames.try_recv().ok().filter(|f| f.starts_with(letter)))
    }
}

pub fn parse_parts(mut call: &str) -> Vec<(String, u32)> {
    let mut found = Vec::new();
    while let Some((line, rest)) = call.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else { panic!("a part's line is '{line}'") };
        assert!(list.starts_with("d="), "{list}");
        let (text, after) = rest.split_at(length.parse().unwrap());
        assert_eq!(text, "c41e", "the text of the query is passed on unchanged");
        found.push((id.to_string(), shard.parse().unwrap()));
        call = after;
    }
    assert_eq!(call, "");
    found
}

/// A call received by discovery: its first line, and a sender for the lines of the response. Dropping the sender ends
/// the response.
pub type DiscoveryCall = (String, Sender<String>);

/// A stand-in for discovery. It passes watches and polls of the whole list to the test, which sends the lines of
/// their responses. Without any lines, a response consists of keep-alive lines.
pub struct Discovery {
    pub address: SocketAddr,
    pub watches: Receiver<DiscoveryCall>,
    pub polls: Receiver<DiscoveryCall>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((watch_sender, watches), (poll_sender, polls)) = (channel(), channel());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut line = String::new();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                reader.read_line(&mut line).unwrap();
                let (lines, lines_to_send) = channel::<String>();
                let to = if line.contains("stream=1") { &watch_sender } else { &poll_sender };
                let _ = to.send((line, lines));
                thread::spawn(move || {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    loop {
                        let line = match lines_to_send.recv_timeout(Duration::from_secs(1)) {
                            Ok(line) => line,
                            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => String::new(),
                            Err(_) => {
                                let _ = stream.write_all(b"0\r\n\r\n");
                                break;
                            }
                        };
                        if write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        Discovery { address, watches, polls }
    }

    pub fn next_watch(&self) -> DiscoveryCall {
        self.watches.recv_timeout(LIMIT).expect("a watch")
    }

    pub fn next_poll(&self) -> DiscoveryCall {
        self.polls.recv_timeout(LIMIT).expect("a poll of the whole list")
    }
}

pub fn list(rev: u32, all: bool, replicas: &[(u32, SocketAddr, &str)]) -> Value {
    let targets: Vec<Value> = replicas
        .iter()
        .map(|(cell, endpoint, state)| {
            json!({"uid": format!("s-{cell}"), "endpoint": endpoint.to_string(), "az": "a", "pod_group": cell,
                "state": state, "capacity_hint": 1.0, "boot_ms": 0})
        })
        .collect();
    json!({"rev": rev, "all": all, "targets": targets})
}

pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub node_config: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.node_config);
    }
}

pub fn settings() -> Value {
    json!({"allowed":{"cancel":true,"probing":true,"may_duplicate":true,"retry_after":true,"max_retry_after_s":2.0,
            "try_limit":4,"conn_idle_s":60.0,"dial_timeout_s":1.0,"max_open":100,"streams_per_conn":8},
        "classes":[{"aim_s":25.0,"hard_limit_s":30.0,"idempotency":"safe","name":"view"}],
        "domain":{"call_cost_s":0.05,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],
            "parts_a_call":4,"sets":2,"shards":8,"span":2},
        "rules":{"cold_from":0.27,"cold_s":18.0,"drain_grace_s":2.0,"fall_s":1.5,"overload_factor":4.0},
        "tick_s":0.005})
}

impl Node {
    /// Starts the program. `n` must be unique, since it selects the address.
    pub fn start(n: u8, discovery: &Discovery, known: Value) -> Node {
        Node::start_with(n, discovery, known, 256)
    }

    pub fn start_with(n: u8, discovery: &Discovery, known: Value, sockets: u32) -> Node {
        let free = TcpListener::bind(SocketAddr::from(([127, 77, 1, n], 0))).unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let node_config = std::env::temp_dir().join(format!("pipitcrank-{}-{n}.json", std::process::id()));
        let config = json!({"name":"n1","listen":address.to_string(),"discovery":discovery.address.to_string(),
            "seed":"5","limits":{"sockets":sockets,"memory_mb":64,"cores":1.0},"known":known,"settings":settings()});
        std::fs::write(&node_config, config.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_pipitcrank"))
            .arg("serve")
            .env("NODE_CONFIG", &node_config)
            .env("NODE_DISCOVERY", discovery.address.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        Node { child, address, node_config }
    }

    pub fn wait_until_ready(&self) {
        wait_for("/up", || self.try_get("/up").filter(|a| a.starts_with("HTTP/1.1 200")));
    }

    pub fn try_get(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        Some(response)
    }

    pub fn send(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        stream
    }

    pub fn signal(&self, which: &str) {
        let kill = Command::new("kill").arg(which).arg(self.child.id().to_string()).status().unwrap();
        assert!(kill.success());
    }

    /// Changes one key of the node configuration and sends SIGHUP.
    pub fn reload(&self, key: &str, value: Value) {
        let mut config: Value = serde_json::from_slice(&std::fs::read(&self.node_config).unwrap()).unwrap();
        *config.pointer_mut(key).unwrap() = value;
        std::fs::write(&self.node_config, config.to_string()).unwrap();
        self.signal("-HUP");
    }

    pub fn wait_for_counter(&self, line: &str) {
        wait_for(line, || self.try_get("/counters").filter(|c| c.lines().any(|l| l == line)));
    }
}

pub fn query_request(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /view HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 25000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

pub const QUERY_BODY: &str =
    r#"{"shards":[{"shard":0,"weight":0.5,"cost":9000},{"shard":1,"weight":0.5}],"q":"c41e"}"#;

/// Status and body of one answer, and whether it closes the connection.
pub fn read_answer(stream: TcpStream) -> (u16, String, bool) {
    let mut reader = BufReader::new(stream);
    let (mut status, mut length, mut close) = (0, 0, false);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("an answer");
        let lower = line.trim().to_lowercase();
        if let Some(rest) = lower.strip_prefix("http/1.1 ") {
            status = rest[..3].parse().unwrap();
        } else if let Some(n) = lower.strip_prefix("content-length: ") {
            length = n.parse().unwrap();
        } else if lower.is_empty() {
            break;
        }
        close |= lower == "connection: close";
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (status, String::from_utf8(body).unwrap(), close)
}

pub fn hits(body: &str) -> (bool, Vec<(u64, String)>) {
    let body: Value = serde_json::from_str(body).unwrap();
    let hits = body["hits"].as_array().unwrap().iter();
    let hits = hits.map(|h| (h["shard"].as_u64().unwrap(), h["doc"].as_str().unwrap().to_string()));
    (body["complete"].as_bool().unwrap(), hits.collect())
}

pub fn all_hits() -> (bool, Vec<(u64, String)>) {
    (true, vec![(0, "d0".into()), (1, "d1".into())])
}
