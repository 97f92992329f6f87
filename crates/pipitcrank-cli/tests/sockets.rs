//! The whole program against stand-ins for clients, replicas and discovery, on loopback. Nothing hangs on how long
//! anything takes: what has to happen is waited for, up to a limit far beyond it.

mod threaded_stand_ins;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;

use serde_json::json;
use threaded_stand_ins::*;

#[test]
fn queries_are_served_and_kinds_of_bad_input_are_distinguished() {
    let (a, b) = (StandInReplica::start(answers), StandInReplica::start(answers));
    let discovery = Discovery::start();
    let node = Node::start(1, &discovery, list(1, true, &[]));
    let (watch, feed) = discovery.watch();
    assert_eq!(watch, "GET /discovery/hosts?stream=1&index=1 HTTP/1.1\r\n");
    let before = wait_for("the listener", || node.try_get("/up"));
    assert!(before.starts_with("HTTP/1.1 503"), "no leaf is known: {before}");
    feed.send(list(2, true, &[(0, a.address, "active"), (1, b.address, "active")]).to_string()).unwrap();
    node.up();
    let (status, body, close) = answer(node.send(&post("q1", ASK)));
    assert_eq!((status, hits(&body), close), (200, whole(), false));
    assert_eq!(answer(node.send(&post("q2", ASK).replace("/view", "/view/more?x=1"))).0, 200);
    assert_eq!(answer(node.send(&post("q3", ASK).replace("/view", "/sell"))).0, 404);
    assert_eq!(answer(node.send("GET /view HTTP/1.1\r\nHost: x\r\n\r\n")).0, 405);
    assert_eq!(answer(node.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")).0, 404);
    let (status, _, close) = answer(node.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
    assert_eq!((status, close), (200, true), "only sound queries keep a place");
    let malformed = [
        post("q4", "{"),
        post("q4", &ASK.replace("\"shard\":1", "\"shard\":0")),
        post("q4", &ASK.replace("\"shard\":1", "\"shard\":8")),
        post("q4", &ASK.replace("\"shard\":1", "\"shard\":-1")),
        post("q4", &ASK.replace("0.5", "-0.5")),
        post("q4", r#"{"shards":[],"q":"c41e"}"#),
        post("q 4", ASK),
        post("q4", ASK).replace("Req-Id", "Req-It"),
        post("q4", ASK).replace("25000", "soon"),
        post("q4", ASK).replace("25000", "-5"),
        post("q4", ASK).replace("25000", "90000000"),
        post("q4", ASK).replace("25000", "25000\r\nReq-Deadline-Ms: 25000"),
        post("q4", ASK).replace("Req-Id: q4", "Req-Id: q4\r\nReq-Id: q9"),
        post("q4", ASK).replace("Req-Id: q4", "Req-Id: q4\r\nReq-Key: mine"),
        post("q4", &ASK.replace("0.5,", "1.5,")),
        post("q4", &ASK.replace("0.5,", "0.3,")),
        post("q4", &ASK.replace("9000", "-9000")),
        post("q4", &ASK.replace("9000", "1e999")),
        post("q4", &ASK.replace("9000", "9000,\"key\":\"7f3a\"")),
        "nonsense\r\n\r\n".to_string(),
    ];
    for request in &malformed {
        let (status, _, close) = answer(node.send(request));
        assert_eq!((status, close), (400, true), "{request}");
    }
    assert_eq!(answer(node.send(&post("q5", &format!("{ASK}{}", " ".repeat(70_000))))).0, 413);
    let never_whole =
        post("q6", ASK).replace("25000", "100").replace("Content-Length: ", "Content-Length: 1");
    assert_eq!(answer(node.send(&never_whole)).0, 408);
    let long_head = post("q7", ASK).replace("Host: x", &format!("Host: x\r\nMore: {}", "x".repeat(40_000)));
    assert_eq!(answer(node.send(&long_head)).0, 431);
    let good =
        post("q8", &ASK.replace("9000", "9000,\"key\":\"7f3a9c21e0b4d655\"").replace("0.5,", "0.501,"));
    let good = good.replace("Host: x", "Host: x\r\nReq-Key: 7f3a9c21e0b4d655\r\nReq-Retry: 1");
    assert_eq!(answer(node.send(&good)).0, 200, "keys, retries and rounded weights are good");
    node.counted("queries merged 3");
    node.counted(&format!("bad_requests malformed {}", malformed.len()));
    node.counted("bad_requests too_large 1");
    assert_eq!(answer(node.send(&post("q4", ASK))).0, 200, "still serving");
}

#[test]
fn parts_lost_with_their_connection_are_retried_at_the_other_holder() {
    for (n, manner, counted) in [
        (2, closes as PartHandler, "leaf_connections closed 1"),
        (3, babbles as PartHandler, "leaf_connections bad_bytes 1"),
    ] {
        let (bad, good) = (StandInReplica::start(manner), StandInReplica::start(answers));
        let discovery = Discovery::start();
        let known = list(1, true, &[(0, bad.address, "active"), (1, good.address, "active")]);
        let node = Node::start(n, &discovery, known);
        node.up();
        // Chance decides who is asked first: until the bad one was, each query is served by the good one.
        wait_for(counted, || {
            let (status, body, _) = answer(node.send(&post("q", ASK)));
            assert_eq!((status, hits(&body)), (200, whole()));
            node.try_get("/counters").filter(|c| c.lines().any(|l| l == counted))
        });
        // What was out on it may have run.
        assert!(node.try_get("/counters").unwrap().contains("leaf_calls cut "));
    }
}

#[test]
fn parts_for_a_replica_that_cannot_be_reached_never_ran() {
    let good = StandInReplica::start(answers);
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, nobody, "active"), (1, good.address, "active")]);
    let node = Node::start(4, &discovery, known);
    node.up();
    wait_for("a refused connection", || {
        let (status, body, _) = answer(node.send(&post("q", ASK)));
        assert_eq!((status, hits(&body)), (200, whole()));
        node.try_get("/counters").filter(|c| c.contains("leaf_connections refused"))
    });
    assert!(!node.try_get("/counters").unwrap().contains("leaf_calls cut"));
}

#[test]
fn a_client_that_closes_frees_its_replica_calls() {
    let (a, b) = (StandInReplica::start(held), StandInReplica::start(held));
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, a.address, "active"), (1, b.address, "active")]);
    let node = Node::start(5, &discovery, known);
    node.up();
    let client = node.send(&post("q", ASK));
    let asked = wait_for("a call", || {
        [&a, &b].into_iter().find(|l| l.heard.try_recv().is_ok_and(|f| f.starts_with('Q')))
    });
    drop(client);
    node.counted("queries client_gone 1");
    node.counted("leaf_calls undone 2");
    a.go.send(()).unwrap();
    b.go.send(()).unwrap();
    assert!(asked.hear('X').starts_with("Xq."));
    node.counted("frames late_answers 2");
}

#[test]
fn the_list_is_kept_through_ends_of_the_watch() {
    let (a, b) = (StandInReplica::start(answers), StandInReplica::start(answers));
    let discovery = Discovery::start();
    let node = Node::start(6, &discovery, list(7, true, &[(0, a.address, "active")]));
    let (_, feed) = discovery.watch();
    feed.send(String::new()).unwrap();
    feed.send(list(8, false, &[(1, b.address, "active")]).to_string()).unwrap();
    node.counted("discovery changes 1");
    drop(feed);
    let (again, feed) = discovery.watch();
    assert!(again.contains("index=8 "), "{again}");
    feed.send(list(9, false, &[(0, a.address, "leaving")]).to_string() + "\nwhat?").unwrap();
    let (again, _feed) = discovery.watch();
    assert!(again.contains("index=9 "), "{again}");
    node.counted("discovery bad_bytes 1");
    node.up();
    for n in 0..8 {
        assert_eq!(answer(node.send(&post(&format!("q{n}"), ASK))).0, 200);
    }
    assert!(a.heard.try_iter().all(|f| !f.starts_with('Q')), "a leaf that leaves gets nothing new");
}

#[test]
fn after_sigterm_what_was_taken_and_what_still_comes_is_answered() {
    let (a, b) = (StandInReplica::start(held), StandInReplica::start(held));
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, a.address, "active"), (1, b.address, "active")]);
    let mut node = Node::start(7, &discovery, known);
    node.up();
    let taken = node.send(&post("q", ASK));
    wait_for("a call", || {
        [&a, &b].into_iter().find(|l| l.heard.try_recv().is_ok_and(|f| f.starts_with('Q')))
    });
    node.signal("-TERM");
    wait_for("the end called", || node.try_get("/up").filter(|a| a.starts_with("HTTP/1.1 503")));
    let late = node.send(&post("late", ASK));
    for replica in [&a, &b] {
        (0..8).for_each(|_| replica.go.send(()).unwrap());
    }
    for client in [taken, late] {
        let (status, body, _) = answer(client);
        assert_eq!((status, hits(&body)), (200, whole()));
    }
    let status = wait_for("the exit", || node.child.try_wait().unwrap());
    assert_eq!(status.code(), Some(0));
    let mut log = String::new();
    node.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("queries merged 2\n"), "counters at exit: {log}");
}

#[test]
fn a_new_node_config_moves_the_watch_and_a_faulty_one_changes_nothing() {
    let (a, b) = (StandInReplica::start(answers), StandInReplica::start(answers));
    let (old, new) = (Discovery::start(), Discovery::start());
    let mut node = Node::start(8, &old, list(700, true, &[(0, a.address, "active")]));
    let (_, feed) = old.watch();
    feed.send(String::new()).unwrap();
    node.up();
    node.reload("/settings/allowed/dial_timeout_s", json!("soon"));
    node.counted("reloads faulty 1");
    feed.send(list(701, false, &[(1, b.address, "active")]).to_string()).unwrap();
    node.counted("discovery changes 1");
    node.reload("/settings/allowed/dial_timeout_s", json!(1.0));
    node.counted("reloads taken 1");
    assert!(!node.try_get("/counters").unwrap().contains("discovery moved"), "the same address");
    // Its versions begin anew there, so what is asked for is the whole list.
    node.reload("/discovery", json!(new.address.to_string()));
    let (first, whole_list) = new.look();
    assert_eq!(first, "GET /discovery/hosts HTTP/1.1\r\n", "the file goes before the variable");
    whole_list
        .send(list(3, true, &[(0, a.address, "active"), (1, b.address, "active")]).to_string())
        .unwrap();
    drop(whole_list);
    let (then, _feed) = new.watch();
    assert!(then.contains("stream=1&index=3 "), "{then}");
    node.counted("discovery whole_list 2");
    let (status, body, _) = answer(node.send(&post("q", ASK)));
    assert_eq!((status, hits(&body)), (200, whole()));
    node.signal("-TERM");
    let status = wait_for("the exit", || node.child.try_wait().unwrap());
    assert_eq!(status.code(), Some(0));
    let mut log = String::new();
    node.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("the old one stays: /settings/allowed/dial_timeout_s has no number"), "{log}");
}

/// Asked for or watched, a list over the bound is left and said to be, the old one stands, and it is asked for again.
#[test]
fn a_list_that_does_not_end_is_left_by_name() {
    let replica = StandInReplica::start(answers);
    let (old, new) = (Discovery::start(), Discovery::start());
    let known = list(700, true, &[(0, replica.address, "active")]);
    let node = Node::start(29, &old, known.clone());
    node.up();
    let endless = format!("{{\"rev\":3,\"all\":true,\"targets\":[{}", " ".repeat(5 << 20));
    node.reload("/discovery", json!(new.address.to_string()));
    let (first, whole_list) = new.look();
    assert_eq!(first, "GET /discovery/hosts HTTP/1.1\r\n");
    whole_list.send(endless.clone()).unwrap();
    node.counted("discovery bad_bytes 1");
    let (again, whole_list) = new.look();
    assert_eq!(again, first);
    whole_list.send(known.to_string()).unwrap();
    drop(whole_list);
    let (then, feed) = new.watch();
    assert!(then.contains("stream=1&index=700 "), "{then}");
    feed.send(endless).unwrap();
    node.counted("discovery bad_bytes 2");
    let ask = ASK.replace(r#"},{"shard":1,"weight":0.5}"#, "}").replace("0.5", "1.0");
    assert_eq!(answer(node.send(&post("q", &ask))).0, 200);
}

#[test]
fn clients_that_stay_or_say_nothing_do_not_keep_others_out() {
    let replica = StandInReplica::start(answers);
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, replica.address, "active")]);
    // 16 places for clients.
    let node = Node::start_with(9, &discovery, known, 48);
    node.up();
    let ask = ASK.replace(r#"},{"shard":1,"weight":0.5}"#, "}").replace("0.5", "1.0");
    let mut stay = Vec::new();
    for n in 0..40 {
        stay.push(node.send(&post(&format!("stays{n}"), &ask)));
        assert_eq!(answer(stay[n].try_clone().unwrap()).0, 200, "{n}");
    }
    let silent: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    assert_eq!(answer(node.send(&post("usual", &ask))).0, 200);
    // Each of the silent ones is closed, too, and one that stops within its request is told so.
    let half = node.send("POST /view HTTP/1.1\r\nHost: x\r\nReq-Id: ha");
    assert_eq!(answer(half).0, 408);
    for mut stream in silent {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        let end = stream.read(&mut [0; 9]);
        assert!(
            end.as_ref().is_ok_and(|n| *n == 0) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
        );
    }
}

#[test]
fn a_request_framed_both_ways_is_refused_and_nothing_behind_it_is_read() {
    let replica = StandInReplica::start(answers);
    let discovery = Discovery::start();
    let node = Node::start(10, &discovery, list(1, true, &[(0, replica.address, "active")]));
    node.up();
    let ask = ASK.replace(r#"},{"shard":1,"weight":0.5}"#, "}").replace("0.5", "1.0");
    let hidden = post("hidden", &ask);
    let chunks = format!("{:x}\r\n{ask}\r\n0\r\n\r\n", ask.len());
    let chunked = post("c", "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + &chunks;
    let whole = chunks.len() + hidden.len();
    let length = format!("Content-Length: {whole}\r\nTransfer-Encoding: chunked");
    let encoding = format!("tRaNsFeR-eNcOdInG: chunked\r\nContent-Length:{whole}");
    for both in [length, encoding] {
        let mut stream = node.send(&(post("m", "").replace("Content-Length: 0", &both) + &chunks + &hidden));
        let mut all = String::new();
        stream.read_to_string(&mut all).unwrap();
        assert!(all.starts_with("HTTP/1.1 400") && all.matches("HTTP/1.1 ").count() == 1, "{all}");
    }
    assert!(!replica.heard.try_iter().any(|f| f.starts_with('Q')), "nothing of it went out");
    let (status, body, _) = answer(node.send(&chunked));
    assert_eq!((status, hits(&body).0), (200, true), "a chunked body alone is good");
}

#[test]
fn a_client_that_is_still_writing_can_read_why_it_is_refused() {
    let discovery = Discovery::start();
    let node = Node::start(11, &discovery, list(1, true, &[]));
    wait_for("the listener", || node.try_get("/up"));
    let mut stream = node.send(&post("big", "").replace("Length: 0", "Length: 20000000"));
    for _ in 0..200 {
        stream.write_all(&[b' '; 100_000]).expect("what is still written is taken");
    }
    let (status, _, close) = answer(stream);
    assert_eq!((status, close), (413, true));
}

#[test]
fn a_faulty_node_config_ends_it_with_the_key() {
    let path = std::env::temp_dir().join(format!("pipitcrank-{}-bad.json", std::process::id()));
    let start = |text: &str| {
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pipitcrank"));
        let done = command.arg("serve").env("NODE_CONFIG", &path).output().unwrap();
        (done.status.code(), String::from_utf8(done.stderr).unwrap())
    };
    let (code, log) = start(r#"{"listen":"127.0.0.1:0","settings":{},"seed":7}"#);
    assert!(code == Some(2) && log.contains("/settings/classes has no list"), "{code:?} {log}");
    let (code, log) = start("not json");
    assert!(code == Some(2) && log.contains("NODE_CONFIG"), "{code:?} {log}");
    let _ = std::fs::remove_file(&path);
}

#[test]
fn check_names_each_fault_by_its_key() {
    let path = std::env::temp_dir().join(format!("pipitcrank-{}-check.json", std::process::id()));
    let config = json!({"name":"n1","listen":"nowhere","discovery":"127.0.0.1:1","seed":"5",
        "limits":{"sockets":2},"known":list(1, true, &[]),"settings":settings()});
    std::fs::write(&path, config.to_string()).unwrap();
    let check = |more: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pipitcrank"));
        let done = command.arg("check").args(more).env("NODE_CONFIG", &path).output().unwrap();
        (done.status.code(), String::from_utf8(done.stderr).unwrap())
    };
    let (code, said) = check(&[]);
    assert_eq!(code, Some(2));
    assert!(said.contains("ERROR /listen ") && said.contains("ERROR /limits/sockets "), "{said}");
    let file = path.with_extension("dhall");
    std::fs::write(
        &file,
        "{ upgrade = Some { start_s = 1.0, settle_s = -1.0, silent_s = 1.0, finish_s = 1.0 } }",
    )
    .unwrap();
    let (code, said) = check(&["--no-charter", "--operators", file.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(said.contains("ERROR /upgrade/settle_s "), "{said}");
    let _ = (std::fs::remove_file(&path), std::fs::remove_file(&file));
}
