//! Stand-ins for clients, replicas, discovery and the way between two sites, and the processes under test.
//! Only the standard library is used. Every address is a loopback address.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGUSR2: i32 = 12;
pub const SIGTERM: i32 = 15;

pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Ends the connection by a reset.
pub fn reset(stream: &TcpStream) {
    let linger = [1i32, 0i32];
    // SOL_SOCKET 1, SO_LINGER 13.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

pub fn ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep_ms(t: u64) {
    thread::sleep(Duration::from_millis(t));
}

/// record.txt: what was sent, answered and run, by milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn new(path: &str) -> Record {
        Record(Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))))
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{:>7} {text}", ms());
    }
}

pub fn free_port() -> u16 {
    static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let mut used = USED.lock().unwrap();
        if !used.contains(&port) {
            used.push(port);
            return port;
        }
    }
}

// ---------------------------------------------------------------- replicas

#[derive(Clone, Debug)]
pub struct Part {
    pub replica: String,
    pub id: String,
    pub shard: u32,
    /// Milliseconds that the co-ordinator will wait, as told.
    pub wait_ms: i64,
    pub key: String,
    pub text: String,
    pub at: u64,
}

/// One attempt at a replica, from the last byte of its frame to its answer, its X or the end of its connection.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub part: Part,
    pub end: Option<u64>,
    pub how: &'static str,
}

/// After how many milliseconds a part is answered `ok`, and with which value.
pub type Behave = Arc<dyn Fn(&Part) -> (u64, String) + Send + Sync>;
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = ((rest.len() + 1) as u32).to_be_bytes().to_vec();
    out.push(letter);
    out.extend_from_slice(rest);
    out
}

fn parse_call(replica: &str, mut rest: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = rest.iter().position(|b| *b == b'\n') {
        let head = String::from_utf8_lossy(&rest[..end]).to_string();
        let words: Vec<&str> = head.split(' ').collect();
        let length: usize = words[3].parse().unwrap();
        let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).to_string();
        let value = |name: &str| {
            words[2]
                .split(',')
                .find_map(|pair| pair.strip_prefix(&format!("{name}=")))
                .unwrap_or("")
                .to_string()
        };
        parts.push(Part {
            replica: replica.to_string(),
            id: words[0].to_string(),
            shard: words[1].parse().unwrap(),
            wait_ms: value("d").parse().unwrap_or(-1),
            key: value("k"),
            text,
            at: ms(),
        });
        rest = &rest[end + 1 + length..];
    }
    parts
}

/// A replica that listens at all given addresses.
pub fn replica(name: &str, listen: &[SocketAddr], behave: Behave, attempts: Attempts, record: Record) {
    for address in listen {
        let listener = TcpListener::bind(address).expect("a replica's address is free");
        let (name, behave, attempts, record) =
            (name.to_string(), behave.clone(), attempts.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, behave, attempts, record) =
                    (name.clone(), behave.clone(), attempts.clone(), record.clone());
                thread::spawn(move || serve_replica(&name, stream, behave, attempts, record));
            }
        });
    }
}

fn close_attempt(attempts: &Attempts, index: usize, how: &'static str) -> bool {
    let mut attempts = attempts.lock().unwrap();
    let is_open = attempts[index].end.is_none();
    if is_open {
        attempts[index].end = Some(ms());
        attempts[index].how = how;
    }
    is_open
}

fn serve_replica(name: &str, stream: TcpStream, behave: Behave, attempts: Attempts, record: Record) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let mut reader = stream;
    let mut mine: Vec<usize> = Vec::new();
    loop {
        let mut head = [0u8; 5];
        if reader.read_exact(&mut head).is_err() {
            break;
        }
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1;
        let mut rest = vec![0u8; length];
        if reader.read_exact(&mut rest).is_err() {
            break;
        }
        match head[4] {
            b'Q' => {
                for part in parse_call(name, &rest) {
                    record.line(&format!(
                        "{name} got part {} shard {} d={} k={} q={}",
                        part.id, part.shard, part.wait_ms, part.key, part.text
                    ));
                    let index = {
                        let mut all = attempts.lock().unwrap();
                        all.push(Attempt { part: part.clone(), end: None, how: "" });
                        all.len() - 1
                    };
                    mine.push(index);
                    let (after, value) = behave(&part);
                    let (writer, attempts, record) = (writer.clone(), attempts.clone(), record.clone());
                    thread::spawn(move || {
                        sleep_ms(after);
                        close_attempt(&attempts, index, "answered");
                        let body = format!("{} ok 1 -\n{value}", part.id);
                        let sent = writer.lock().unwrap().write_all(&frame(b'A', body.as_bytes()));
                        let how = if sent.is_ok() { "" } else { " (connection gone)" };
                        record.line(&format!("{} answers {} ok {value}{how}", part.replica, part.id));
                    });
                }
            }
            b'X' => {
                let id = String::from_utf8_lossy(&rest).to_string();
                record.line(&format!("{name} got X {id}"));
                let open = {
                    let all = attempts.lock().unwrap();
                    mine.iter().copied().find(|i| all[*i].part.id == id && all[*i].end.is_none())
                };
                if let Some(index) = open {
                    close_attempt(&attempts, index, "given up");
                }
            }
            b'P' => drop(writer.lock().unwrap().write_all(&frame(b'P', b"ok"))),
            b'L' => drop(writer.lock().unwrap().write_all(&frame(b'L', b"inflight=0"))),
            _ => break,
        }
    }
    for index in mine {
        close_attempt(&attempts, index, "connection ended");
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    pub fn new(uid: &str, endpoint: SocketAddr, cell: u32) -> Target {
        Target { uid: uid.to_string(), endpoint, zone: "a".to_string(), cell, state: "active", boot_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.endpoint, self.zone, self.cell, self.state, self.boot_ms
        )
    }
}

pub fn list_json(rev: u64, all: bool, targets: &[Target]) -> String {
    let targets: Vec<String> = targets.iter().map(Target::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

/// A discovery agent.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    /// The version and the whole list, which does not change.
    rev: u64,
    list: String,
    /// Whether it takes no new connection any more.
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// A discovery agent with one list, which does not change.
pub fn discovery(rev: u64, targets: Vec<Target>) -> SocketAddr {
    Agent::new(rev, &targets).address
}

impl Agent {
    pub fn new(rev: u64, targets: &[Target]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            rev,
            list: list_json(rev, true, targets),
            closed: Arc::default(),
            streams: Arc::default(),
        };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.closed.load(Ordering::SeqCst) {
                    // Frees the address: new connections are refused from here on.
                    return;
                }
                serving.streams.lock().unwrap().extend(stream.try_clone());
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// Takes no new connection, and closes open ones after 1.5 s.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        let streams = self.streams.clone();
        thread::spawn(move || {
            sleep_ms(1500);
            streams.lock().unwrap().iter().for_each(|s| drop(s.shutdown(Shutdown::Both)));
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let mut bytes = [0u8; 4096];
        loop {
            while !buffer.windows(4).any(|w| w == b"\r\n\r\n") {
                match stream.read(&mut bytes) {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
                    _ => return,
                }
            }
            let head = String::from_utf8_lossy(&buffer).to_string();
            buffer.clear();
            let list = &self.list;
            if !head.contains("stream=1") {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let index = head
                .split("index=")
                .nth(1)
                .and_then(|t| t.split([' ', '&']).next())
                .and_then(|t| t.parse::<u64>().ok());
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            if index != Some(self.rev) {
                let _ = stream.write_all(format!("{:x}\r\n{list}\n\r\n", list.len() + 1).as_bytes());
            }
            loop {
                sleep_ms(2000);
                if stream.write_all(b"1\r\n\n\r\n").is_err() {
                    return;
                }
            }
        }
    }
}

// ---------------------------------------------------------------- clients

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub sent: u64,
    pub at: u64,
}

pub struct Query<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub shards: &'a [u32],
    pub deadline_ms: u64,
    pub key: Option<&'a str>,
    pub text: &'a str,
    /// The client closes its connection after so long without an answer.
    pub patience_ms: u64,
}

/// Sends one query on a new connection. `None`: the client left, or the connection ended without a whole answer.
pub fn ask(address: SocketAddr, query: &Query, record: &Record) -> Option<Reply> {
    let weight = 1.0 / query.shards.len() as f64;
    let shards: Vec<String> =
        query.shards.iter().map(|s| format!("{{\"shard\":{s},\"weight\":{weight:.6}}}")).collect();
    let body = format!("{{\"shards\":[{}],\"q\":\"{}\"}}", shards.join(","), query.text);
    let key = query.key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let head = format!(
        "POST /{} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {}\r\nReq-Deadline-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n",
        query.class,
        query.id,
        query.deadline_ms,
        body.len()
    );
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let sent = ms();
    record.line(&format!(
        "client sends {} /{} shards {:?} q={} deadline {} ms",
        query.id, query.class, query.shards, query.text, query.deadline_ms
    ));
    let until = Instant::now() + Duration::from_millis(query.patience_ms);
    let mut buffer = Vec::new();
    let mut bytes = [0u8; 16384];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            record.line(&format!("client of {} leaves without an answer", query.id));
            return None;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut bytes) {
            Ok(0) => {
                record.line(&format!("connection of {} ended without a whole answer", query.id));
                return None;
            }
            Ok(n) => buffer.extend_from_slice(&bytes[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => {
                record.line(&format!("connection of {} was reset", query.id));
                return None;
            }
        }
        let text = String::from_utf8_lossy(&buffer).to_string();
        let Some((head, rest)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|l| {
            l.to_lowercase().strip_prefix("content-length:").map(|v| v.trim().parse::<usize>().unwrap_or(0))
        });
        if rest.len() < length.unwrap_or(0) {
            continue;
        }
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let reply = Reply { status, body: rest.to_string(), sent, at: ms() };
        record.line(&format!("client of {} gets {status} {rest}", query.id));
        return Some(reply);
    }
}

pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1000)));
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: service.internal\r\n\r\n").as_bytes()).ok()?;
    let mut text = String::new();
    let mut bytes = [0u8; 16384];
    while let Ok(n) = stream.read(&mut bytes) {
        if n == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&bytes[..n]));
    }
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, b)| b.to_string())))
}

pub fn counter(address: SocketAddr, name: &str) -> u64 {
    let Some((_, text)) = get(address, "/counters") else { return 0 };
    text.lines().find_map(|l| l.trim().strip_prefix(name)).and_then(|v| v.trim().parse().ok()).unwrap_or(0)
}

pub fn wait_for(limit_ms: u64, mut test: impl FnMut() -> bool) -> bool {
    let until = ms() + limit_ms;
    while ms() < until {
        if test() {
            return true;
        }
        sleep_ms(50);
    }
    false
}

// ---------------------------------------------------------------- the way between two sites

/// A proxy of TCP connections.
#[derive(Clone, Default)]
pub struct Way {
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// New connections are reset while this is set.
    pub cut: Arc<AtomicBool>,
    /// Delay of what is sent, each way.
    pub delay_ms: Arc<AtomicU64>,
}

impl Way {
    pub fn open(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let way = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if way.cut.load(Ordering::SeqCst) {
                    reset(&near);
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else {
                    reset(&near);
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                way.streams.lock().unwrap().extend([near.try_clone().unwrap(), far.try_clone().unwrap()]);
                way.copy(near.try_clone().unwrap(), far.try_clone().unwrap());
                way.copy(far, near);
            }
        });
        address
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
        let delay = self.delay_ms.clone();
        thread::spawn(move || {
            let mut bytes = [0u8; 65536];
            while let Ok(n) = from.read(&mut bytes) {
                if n == 0 {
                    break;
                }
                let due = Instant::now() + Duration::from_millis(delay.load(Ordering::SeqCst));
                if sender.send((due, bytes[..n].to_vec())).is_err() {
                    break;
                }
            }
        });
        thread::spawn(move || {
            while let Ok((due, bytes)) = receiver.recv() {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if to.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        });
    }

    /// Resets all connections.
    pub fn reset_all(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            reset(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

// ---------------------------------------------------------------- processes

/// A temporary folder and the processes started; all end with it.
pub struct Stage {
    pub root: PathBuf,
    pub folder: PathBuf,
    children: Vec<Child>,
    /// Set in the environment of the processes started.
    pub variables: Vec<(&'static str, String)>,
    pub trouble: bool,
    pub record: Record,
}

impl Stage {
    pub fn new(case: &str) -> Stage {
        let root = std::env::current_dir().unwrap();
        let folder = std::env::temp_dir().join(format!("pipitcrank-review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let record = Record::new(&format!("review/{case}/record.txt"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(if trouble { "with the disruption" } else { "without the disruption" });
        Stage { root, folder, children: Vec::new(), variables: Vec::new(), trouble, record }
    }

    /// `run` of the deploy file.
    fn run_command(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml"))
            .expect("the deploy file is there");
        let line = text.lines().find_map(|l| l.trim().strip_prefix("run")).expect("the deploy file has run");
        line.split('"').nth(1).expect("run is text").to_string()
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file can be written");
        path
    }

    /// Starts one co-ordinator by the deploy file's command. Returns its process id.
    pub fn start(&mut self, name: &str, config: &PathBuf, operators: Option<&PathBuf>) -> u32 {
        let more = operators.map_or(String::new(), |path| format!(" --operators {}", path.display()));
        let log = File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{}{more}", self.run_command()))
            .current_dir(&self.root)
            .env("NODE_CONFIG", config)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .envs(self.variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("a co-ordinator can be started");
        let pid = child.id();
        self.children.push(child);
        self.record.line(&format!("started co-ordinator {name}"));
        pid
    }

    /// Runs a command of the program, and returns whether it ended with 0, and what it printed.
    pub fn command(&self, arguments: &[&str]) -> (bool, String) {
        let run = self.run_command();
        let program = run.trim_start_matches("exec ").split(' ').next().unwrap_or_default();
        let output =
            Command::new(self.root.join(program)).args(arguments).output().expect("the program can be run");
        let text =
            String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr);
        self.record.line(&format!(
            "{}: {} {}",
            arguments.join(" "),
            output.status,
            text.trim().replace('\n', " | ")
        ));
        (output.status.success(), text)
    }

    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    pub fn is_alive(&mut self, pid: u32) -> bool {
        self.children.iter_mut().any(|c| c.id() == pid && matches!(c.try_wait(), Ok(None)))
    }

    /// Ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    pub fn end(mut self, verdict: Result<Vec<String>, String>) -> ! {
        for child in &mut self.children {
            signal(child.id(), SIGTERM);
        }
        let until = Instant::now() + Duration::from_millis(6000);
        for child in &mut self.children {
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
                sleep_ms(20);
            }
            let _ = child.kill();
            let _ = child.wait();
        }
        let code = match verdict {
            Err(why) => {
                self.record.line(&format!("could not run: {why}"));
                println!("could not run: {why}");
                2
            }
            Ok(breaks) if breaks.is_empty() => {
                self.record.line("the rule held");
                println!("the rule held");
                0
            }
            Ok(breaks) => {
                for line in &breaks {
                    self.record.line(&format!("BROKEN: {line}"));
                    println!("BROKEN: {line}");
                }
                1
            }
        };
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }
}

/// One request class of a configuration.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_s: f64,
    pub limit_s: f64,
    pub window_s: f64,
}

/// The figures of a deployment, as its brief has them.
pub struct Terms {
    pub second_copies: bool,
    pub try_limit: u32,
    pub streams: u32,
    pub idle_s: f64,
    pub call_cost_s: f64,
    pub late_worth: f64,
    pub sockets: u32,
    pub memory_mb: u32,
    /// Members of `rules`.
    pub rules: &'static str,
}

/// As pampa-verde-main.
pub const PAMPA: Terms = Terms {
    second_copies: true,
    try_limit: 4,
    streams: 32,
    idle_s: 15.0,
    call_cost_s: 0.055,
    late_worth: 0.3,
    sockets: 512,
    memory_mb: 128,
    rules: r#""cold_from":0.27,"cold_s":18.0,"drain_grace_s":2.0,"fall_s":1.5,"overload_factor":4.0,"repeat_ratio":0.1,"extra_free":20.0,"budget_span_s":2.0"#,
};

/// As hallorans-bne.
pub const HALLORANS: Terms = Terms {
    second_copies: false,
    try_limit: 3,
    streams: 100,
    call_cost_s: 0.019,
    late_worth: 0.0,
    rules: r#""cold_from":0.18,"cold_s":18.0,"drain_grace_s":2.0,"fall_s":2.0,"overload_factor":3.0,"repeat_ratio":0.2,"extra_free":10.0,"budget_span_s":10.0"#,
    ..PAMPA
};

/// As avisos-montevideo.
pub const AVISOS: Terms = Terms {
    streams: 100,
    idle_s: 30.0,
    call_cost_s: 0.065,
    rules: r#""cold_from":0.16,"cold_s":17.0,"drain_grace_s":0.5,"fall_s":2.0,"overload_factor":2.5"#,
    ..PAMPA
};

/// What a node configuration says.
pub struct Node<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub classes: &'a [Class],
    pub terms: &'a Terms,
}

impl Node<'_> {
    pub fn json(&self) -> String {
        let terms = self.terms;
        let class = |c: &Class| {
            format!(
                r#"{{"name":"{}","aim_s":{},"hard_limit_s":{},"idempotency":"{}","dedup_window_s":{},"late_worth":{},"worth":1.0}}"#,
                c.name, c.aim_s, c.limit_s, c.effect, c.window_s, terms.late_worth
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let each = |value: &str| vec![value; self.classes.len()].join(",");
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{},
"settings":{{"allowed":{{"cancel":true,"probing":true,"may_duplicate":{},"retry_after":true,"max_retry_after_s":2.0,"try_limit":{},
"conn_idle_s":{},"dial_timeout_s":0.25,"max_open":500,"streams_per_conn":{}}},
"classes":[{}],"balancers":1,
"domain":{{"call_cost_s":{},"complete_from":[{}],"floor_by_class":[{}],"follow_up":[{}],"parts_a_call":4,"sets":2,"shards":8,"span":1}},
"rules":{{"answer_slack_s":0.02,{}}},"tick_s":0.005}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            seed(),
            terms.memory_mb,
            terms.sockets,
            self.known,
            terms.second_copies,
            terms.try_limit,
            terms.idle_s,
            terms.streams,
            classes.join(","),
            terms.call_cost_s,
            each("1.0"),
            each("1.0"),
            each("0"),
            terms.rules
        )
    }
}

fn seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    now.as_nanos() as u64 ^ u64::from(std::process::id())
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
