//! A new configuration moves discovery; its list has the replicas at other addresses, while they work on.

use std::sync::{Arc, Mutex};
use std::thread;

use crate::base::*;

pub fn run(case: &str) -> ! {
    let mut stage = Stage::new(case);
    let (record, attempts) = (stage.record.clone(), Attempts::default());
    // Each replica listens at two loopback addresses. The value names the query that it was made for.
    let behave: Behave = Arc::new(|part: &Part| {
        let work = if part.text.starts_with("long") {
            1500
        } else if part.text.starts_with("next") {
            1800
        } else {
            60
        };
        (work, format!("made-for-{}", part.text))
    });
    let mut before = Vec::new();
    let mut after = Vec::new();
    for (n, name) in ["r1", "r2", "r3", "r4"].iter().enumerate() {
        let (one, two) = (local(free_port()), std::net::SocketAddr::from(([127, 0, 0, 2], free_port())));
        replica(name, &[one, two], behave.clone(), attempts.clone(), record.clone());
        let cell = n as u32 % 2;
        before.push(Target::new(name, one, cell));
        after.push(Target::new(name, two, cell));
    }
    // Without the disruption the new discovery has the replicas where they were.
    let first = Agent::new(41, &before);
    let second = discovery(7, if stage.trouble { after } else { before.clone() });
    let listen = local(free_port());
    let classes = [Class { name: "farm-view", effect: "safe", aim_s: 2.5, limit_s: 6.0, window_s: 0.0 }];
    let node = |discovery| Node {
        name: "n1",
        listen,
        discovery,
        known: list_json(41, true, &before),
        classes: &classes,
        terms: &PAMPA,
    };
    let config = stage.write("config.json", &node(first.address).json());
    let pid = stage.start("n1", &config, None);
    if !wait_for(10_000, || get(listen, "/up").is_some_and(|(status, _)| status == 200)) {
        let log = stage.log_of("n1");
        stage.end(Err(format!("the co-ordinator is not ready: {log}")));
    }
    sleep_ms(1500);
    let breaks: Arc<Mutex<Vec<String>>> = Arc::default();
    let send = |id: String, text: String, shard: u32, deadline_ms: u64| {
        let (record, breaks) = (record.clone(), breaks.clone());
        thread::spawn(move || {
            let patience_ms = deadline_ms + 500;
            let query = Query {
                class: "farm-view",
                id: &id,
                shards: &[shard],
                deadline_ms,
                key: None,
                text: &text,
                patience_ms,
            };
            if let Some(reply) = ask(listen, &query, &record)
                && reply.status == 200
                && !reply.body.contains(&format!("\"made-for-{text}\""))
            {
                breaks.lock().unwrap().push(format!("the client of {text} was served {}", reply.body));
            }
        })
    };
    // Queries whose parts take 1.5 s, with 1 s of time. Meanwhile the new configuration comes.
    let mut open: Vec<_> = (0..4).map(|n| send(format!("a{n}"), format!("long{n}"), n, 1000)).collect();
    sleep_ms(200);
    std::fs::write(&config, node(second).json()).unwrap();
    signal(pid, SIGHUP);
    record.line(&format!("SIGHUP, discovery is now at {second}"));
    first.close();
    sleep_ms(1000);
    // Queries of other clients, sent when the first ones have had their final answers.
    open.extend((0..4).map(|n| send(format!("b{n}"), format!("next{n}"), n, 5000)));
    open.into_iter().for_each(|t| drop(t.join()));
    let breaks = breaks.lock().unwrap().clone();
    let alive = stage.is_alive(pid);
    record.line(&format!("co-ordinator alive: {alive}"));
    stage.end(Ok(breaks))
}
