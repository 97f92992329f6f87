//! Hundreds of bad clients connect, say nothing or stop in the middle of a request; sound clients ask meanwhile.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::base::*;

/// Time of a sound client's request.
const DEADLINE_MS: u64 = 250;
/// Bad clients that are there at the same time.
const BAD_CLIENTS: usize = 900;

/// Connects again and again; every other time it sends half a request.
fn misbehave(address: SocketAddr, number: usize, stop: &AtomicBool) {
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep_ms(50);
            continue;
        };
        if (number + round) % 2 == 0 {
            let head = format!(
                "POST /view HTTP/1.1\r\nHost: service.internal\r\nReq-Id: bad{number}x{round}\r\nReq-Deadline-Ms: 2000\r\nContent-Length: 900\r\n\r\n{{\"shards\":["
            );
            let _ = stream.write_all(head.as_bytes());
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let until = ms() + 4000;
        let mut bytes = [0u8; 1024];
        while ms() < until && !stop.load(Ordering::SeqCst) {
            match stream.read(&mut bytes) {
                Ok(0) => break,
                Ok(_) => {}
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
    }
}

pub fn run(case: &str) -> ! {
    let mut stage = Stage::new(case);
    let (record, attempts) = (stage.record.clone(), Attempts::default());
    let behave: Behave = Arc::new(|part: &Part| (30, format!("made-for-{}", part.text)));
    let mut targets = Vec::new();
    for (n, name) in ["r1", "r2", "r3", "r4"].iter().enumerate() {
        let address = local(free_port());
        replica(name, &[address], behave.clone(), attempts.clone(), record.clone());
        targets.push(Target::new(name, address, n as u32 % 2));
    }
    let listen = local(free_port());
    let classes = [Class { name: "view", effect: "safe", aim_s: 0.5, limit_s: 1.0, window_s: 0.0 }];
    let node = Node {
        name: "n1",
        listen,
        discovery: discovery(41, targets.clone()),
        known: list_json(41, true, &targets),
        classes: &classes,
        // The least that the pages name: 32 MB and 256 descriptors.
        terms: &Terms { sockets: 256, memory_mb: 32, ..PAMPA },
    };
    let config = stage.write("config.json", &node.json());
    stage.start("n1", &config, None);
    if !wait_for(10_000, || get(listen, "/up").is_some_and(|(status, _)| status == 200)) {
        let log = stage.log_of("n1");
        stage.end(Err(format!("the co-ordinator is not ready: {log}")));
    }
    sleep_ms(500);
    let stop = Arc::new(AtomicBool::new(false));
    let mut crowd = Vec::new();
    if stage.trouble {
        record.line(&format!("{BAD_CLIENTS} bad clients connect"));
        for n in 0..BAD_CLIENTS {
            let stop = stop.clone();
            crowd.push(thread::spawn(move || misbehave(listen, n, &stop)));
        }
    }
    let mut open = Vec::new();
    for n in 0..400u32 {
        let record = record.clone();
        open.push(thread::spawn(move || {
            let (id, text) = (format!("s{n}"), format!("view{n}"));
            let query = Query {
                class: "view",
                id: &id,
                shards: &[n % 8],
                deadline_ms: DEADLINE_MS,
                key: None,
                text: &text,
                patience_ms: 6000,
            };
            ask(listen, &query, &record)
        }));
        sleep_ms(50);
    }
    let replies: Vec<Reply> = open.into_iter().filter_map(|t| t.join().ok().flatten()).collect();
    stop.store(true, Ordering::SeqCst);
    crowd.into_iter().for_each(|c| drop(c.join()));
    // Half a second after its time an answer only earns nothing, later the request is lost; 50 ms more on sockets.
    let late: Vec<&Reply> = replies.iter().filter(|r| r.at > r.sent + DEADLINE_MS + 500 + 50).collect();
    let well = replies.iter().filter(|r| r.status == 200 && r.at <= r.sent + DEADLINE_MS).count();
    record.line(&format!(
        "400 requests, {} final answers, {well} in time with 200, {} over 0.55 s late",
        replies.len(),
        late.len()
    ));
    println!(
        "400 requests, {} final answers, {well} in time with 200, {} over 0.55 s late",
        replies.len(),
        late.len()
    );
    let breaks = late.iter().take(10).map(|r| {
        format!(
            "a request with {DEADLINE_MS} ms got its final answer {} after {} ms",
            r.status,
            r.at - r.sent
        )
    });
    stage.end(Ok(breaks.collect()))
}
