//! The program with stand-ins for clients, replicas and discovery on loopback. The tests do not depend on timing:
//! they wait for each expected event, with a time limit far above its usual duration.

mod threaded_stand_ins;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;

use serde_json::json;
use threaded_stand_ins::*;

#[test]
fn queries_are_served_and_kinds_of_bad_input_are_distinguished() {
    let (a, b) = (StandInReplica::start(answer_parts), StandInReplica::start(answer_parts));
    let discovery = Discovery::start();
    let node = Node::start(1, &discovery, list(1, true, &[]));
    let (watch, line_sender) = discovery.next_watch();
    assert_eq!(watch, "GET /discovery/hosts?stream=1&index=1 HTTP/1.1\r\n");
    let before = wait_for("the listener", || node.try_get("/up"));
    assert!(before.starts_with("HTTP/1.1 503"), "without replicas the program is not ready: {before}");
    line_sender
        .send(list(2, true, &[(0, a.address, "active"), (1, b.address, "active")]).to_string())
        .unwrap();
    node.wait_until_ready();
    let (status, body, close) = read_answer(node.send(&query_request("q1", QUERY_BODY)));
    assert_eq!((status, hits(&body), close), (200, all_hits(), false));
    assert_eq!(
        read_answer(node.send(&query_request("q2", QUERY_BODY).replace("/view", "/view/more?x=1"))).0,
        200
    );
    assert_eq!(read_answer(node.send(&query_request("q3", QUERY_BODY).replace("/view", "/sell"))).0, 404);
    assert_eq!(read_answer(node.send("GET /view HTTP/1.1\r\nHost: x\r\n\r\n")).0, 405);
    assert_eq!(read_answer(node.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")).0, 404);
    let (status, _, close) = read_answer(node.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
    assert_eq!((status, close), (200, true), "only valid queries keep the connection open");
    let malformed = [
        query_request("q4", "{"),
        query_request("q4", &QUERY_BODY.replace("\"shard\":1", "\"shard\":0")),
        query_request("q4", &QUERY_BODY.replace("\"shard\":1", "\"shard\":8")),
        query_request("q4", &QUERY_BODY.replace("\"shard\":1", "\"shard\":-1")),
        query_request("q4", &QUERY_BODY.replace("0.5", "-0.5")),
        query_request("q4", r#"{"shards":[],"q":"c41e"}"#),
        query_request("q 4", QUERY_BODY),
        query_request("q4", QUERY_BODY).replace("Req-Id", "Req-It"),
        query_request("q4", QUERY_BODY).replace("25000", "soon"),
        query_request("q4", QUERY_BODY).replace("25000", "-5"),
        query_request("q4", QUERY_BODY).replace("25000", "90000000"),
        query_request("q4", QUERY_BODY).replace("25000", "25000\r\nReq-Deadline-Ms: 25000"),
        query_request("q4", QUERY_BODY).replace("Req-Id: q4", "Req-Id: q4\r\nReq-Id: q9"),
        query_request("q4", QUERY_BODY).replace("Req-Id: q4", "Req-Id: q4\r\nReq-Key: mine"),
        query_request("q4", &QUERY_BODY.replace("0.5,", "1.5,")),
        query_request("q4", &QUERY_BODY.replace("0.5,", "0.3,")),
        query_request("q4", &QUERY_BODY.replace("9000", "-9000")),
        query_request("q4", &QUERY_BODY.replace("9000", "1e999")),
        query_request("q4", &QUERY_BODY.replace("9000", "9000,\"key\":\"7f3a\"")),
        "nonsense\r\n\r\n".to_string(),
    ];
    for request in &malformed {
        let (status, _, close) = read_answer(node.send(request));
        assert_eq!((status, close), (400, true), "{request}");
    }
    assert_eq!(
        read_answer(node.send(&query_request("q5", &format!("{QUERY_BODY}{}", " ".repeat(70_000))))).0,
        413
    );
    let never_whole = query_request("q6", QUERY_BODY)
        .replace("25000", "100")
        .replace("Content-Length: ", "Content-Length: 1");
    assert_eq!(read_answer(node.send(&never_whole)).0, 408);
    let long_head = query_request("q7", QUERY_BODY)
        .replace("Host: x", &format!("Host: x\r\nMore: {}", "x".repeat(40_000)));
    assert_eq!(read_answer(node.send(&long_head)).0, 431);
    let good = query_request(
        "q8",
        &QUERY_BODY.replace("9000", "9000,\"key\":\"7f3a9c21e0b4d655\"").replace("0.5,", "0.501,"),
    );
    let good = good.replace("Host: x", "Host: x\r\nReq-Key: 7f3a9c21e0b4d655\r\nReq-Retry: 1");
    assert_eq!(read_answer(node.send(&good)).0, 200, "keys, retries and rounded weights are valid");
    node.wait_for_counter("queries merged 3");
    node.wait_for_counter(&format!("bad_requests malformed {}", malformed.len()));
    node.wait_for_counter("bad_requests too_large 1");
    assert_eq!(read_answer(node.send(&query_request("q4", QUERY_BODY))).0, 200, "still serving");
}

#[test]
fn parts_lost_with_their_connection_are_retried_at_the_other_holder() {
    for (n, handler, counter) in [
        (2, close_connection as PartHandler, "leaf_connections closed 1"),
        (3, send_unknown_frame as PartHandler, "leaf_connections bad_bytes 1"),
    ] {
        let (bad, good) = (StandInReplica::start(handler), StandInReplica::start(answer_parts));
        let discovery = Discovery::start();
        let known = list(1, true, &[(0, bad.address, "active"), (1, good.address, "active")]);
        let node = Node::start(n, &discovery, known);
        node.wait_until_ready();
        // The first replica is chosen at random. Queries are repeated until the bad one was chosen.
        wait_for(counter, || {
            let (status, body, _) = read_answer(node.send(&query_request("q", QUERY_BODY)));
            assert_eq!((status, hits(&body)), (200, all_hits()));
            node.try_get("/counters").filter(|c| c.lines().any(|l| l == counter))
        });
        // The outstanding parts may have run.
        assert!(node.try_get("/counters").unwrap().contains("leaf_calls cut "));
    }
}

#[test]
fn parts_for_a_replica_that_cannot_be_reached_never_ran() {
    let good = StandInReplica::start(answer_parts);
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, nobody, "active"), (1, good.address, "active")]);
    let node = Node::start(4, &discovery, known);
    node.wait_until_ready();
    wait_for("a refused connection", || {
        let (status, body, _) = read_answer(node.send(&query_request("q", QUERY_BODY)));
        assert_eq!((status, hits(&body)), (200, all_hits()));
        node.try_get("/counters").filter(|c| c.contains("leaf_connections refused"))
    });
    assert!(!node.try_get("/counters").unwrap().contains("leaf_calls cut"));
}

#[test]
fn a_client_that_closes_frees_its_replica_calls() {
    let (a, b) = (StandInReplica::start(answer_when_released), StandInReplica::start(answer_when_released));
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, a.address, "active"), (1, b.address, "active")]);
    let node = Node::start(5, &discovery, known);
    node.wait_until_ready();
    let client = node.send(&query_request("q", QUERY_BODY));
    let asked = wait_for("a call", || {
        [&a, &b].into_iter().find(|l| l.frames.try_recv().is_ok_and(|f| f.starts_with('Q')))
    });
    drop(client);
    node.wait_for_counter("queries client_gone 1");
    node.wait_for_counter("leaf_calls undone 2");
    a.release.send(()).unwrap();
    b.release.send(()).unwrap();
    assert!(asked.wait_for_frame('X').starts_with("Xq."));
    node.wait_for_counter("frames late_answers 2");
}

#[test]
fn the_list_is_kept_through_ends_of_the_watch() {
    let (a, b) = (StandInReplica::start(answer_parts), StandInReplica::start(answer_parts));
    let discovery = Discovery::start();
    let node = Node::start(6, &discovery, list(7, true, &[(0, a.address, "active")]));
    let (_, line_sender) = discovery.next_watch();
    line_sender.send(String::new()).unwrap();
    line_sender.send(list(8, false, &[(1, b.address, "active")]).to_string()).unwrap();
    node.wait_for_counter("discovery changes 1");
    drop(line_sender);
    let (again, line_sender) = discovery.next_watch();
    assert!(again.contains("index=8 "), "{again}");
    line_sender.send(list(9, false, &[(0, a.address, "leaving")]).to_string() + "\nwhat?").unwrap();
    let (again, _feed) = discovery.next_watch();
    assert!(again.contains("index=9 "), "{again}");
    node.wait_for_counter("discovery bad_bytes 1");
    node.wait_until_ready();
    for n in 0..8 {
        assert_eq!(read_answer(node.send(&query_request(&format!("q{n}"), QUERY_BODY))).0, 200);
    }
    assert!(a.frames.try_iter().all(|f| !f.starts_with('Q')), "a draining replica gets no new parts");
}

#[test]
fn queries_before_and_after_sigterm_are_answered() {
    let (a, b) = (StandInReplica::start(answer_when_released), StandInReplica::start(answer_when_released));
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, a.address, "active"), (1, b.address, "active")]);
    let mut node = Node::start(7, &discovery, known);
    node.wait_until_ready();
    let taken = node.send(&query_request("q", QUERY_BODY));
    wait_for("a call", || {
        [&a, &b].into_iter().find(|l| l.frames.try_recv().is_ok_and(|f| f.starts_with('Q')))
    });
    node.signal("-TERM");
    wait_for("readiness to end", || node.try_get("/up").filter(|a| a.starts_with("HTTP/1.1 503")));
    let late = node.send(&query_request("late", QUERY_BODY));
    for replica in [&a, &b] {
        (0..8).for_each(|_| replica.release.send(()).unwrap());
    }
    for client in [taken, late] {
        let (status, body, _) = read_answer(client);
        assert_eq!((status, hits(&body)), (200, all_hits()));
    }
    let status = wait_for("the exit", || node.child.try_wait().unwrap());
    assert_eq!(status.code(), Some(0));
    let mut log = String::new();
    node.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("queries merged 2\n"), "counters at exit: {log}");
}

#[test]
fn a_new_node_config_moves_the_watch_and_an_invalid_one_is_ignored() {
    let (a, b) = (StandInReplica::start(answer_parts), StandInReplica::start(answer_parts));
    let (old, new) = (Discovery::start(), Discovery::start());
    let mut node = Node::start(8, &old, list(700, true, &[(0, a.address, "active")]));
    let (_, line_sender) = old.next_watch();
    line_sender.send(String::new()).unwrap();
    node.wait_until_ready();
    node.reload("/settings/allowed/dial_timeout_s", json!("soon"));
    node.wait_for_counter("reloads faulty 1");
    line_sender.send(list(701, false, &[(1, b.address, "active")]).to_string()).unwrap();
    node.wait_for_counter("discovery changes 1");
    node.reload("/settings/allowed/dial_timeout_s", json!(1.0));
    node.wait_for_counter("reloads taken 1");
    assert!(!node.try_get("/counters").unwrap().contains("discovery moved"), "the same address");
    // Another discovery has its own revisions, so the whole list is polled.
    node.reload("/discovery", json!(new.address.to_string()));
    let (first, whole_list) = new.next_poll();
    assert_eq!(first, "GET /discovery/hosts HTTP/1.1\r\n", "the reloaded file overrides the variable");
    whole_list
        .send(list(3, true, &[(0, a.address, "active"), (1, b.address, "active")]).to_string())
        .unwrap();
    drop(whole_list);
    let (then, _feed) = new.next_watch();
    assert!(then.contains("stream=1&index=3 "), "{then}");
    node.wait_for_counter("discovery whole_list 2");
    let (status, body, _) = read_answer(node.send(&query_request("q", QUERY_BODY)));
    assert_eq!((status, hits(&body)), (200, all_hits()));
    node.signal("-TERM");
    let status = wait_for("the exit", || node.child.try_wait().unwrap());
    assert_eq!(status.code(), Some(0));
    let mut log = String::new();
    node.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("the old one stays: /settings/allowed/dial_timeout_s has no number"), "{log}");
}

/// A list over the size limit, from a poll or from a watch, is rejected and counted. The old list stays in use, and
/// the list is requested again.
#[test]
fn an_endless_list_is_rejected_and_counted() {
    let replica = StandInReplica::start(answer_parts);
    let (old, new) = (Discovery::start(), Discovery::start());
    let known = list(700, true, &[(0, replica.address, "active")]);
    let node = Node::start(29, &old, known.clone());
    node.wait_until_ready();
    let endless = format!("{{\"rev\":3,\"all\":true,\"targets\":[{}", " ".repeat(5 << 20));
    node.reload("/discovery", json!(new.address.to_string()));
    let (first, whole_list) = new.next_poll();
    assert_eq!(first, "GET /discovery/hosts HTTP/1.1\r\n");
    whole_list.send(endless.clone()).unwrap();
    node.wait_for_counter("discovery bad_bytes 1");
    let (again, whole_list) = new.next_poll();
    assert_eq!(again, first);
    whole_list.send(known.to_string()).unwrap();
    drop(whole_list);
    let (then, line_sender) = new.next_watch();
    assert!(then.contains("stream=1&index=700 "), "{then}");
    line_sender.send(endless).unwrap();
    node.wait_for_counter("discovery bad_bytes 2");
    let query_body = QUERY_BODY.replace(r#"},{"shard":1,"weight":0.5}"#, "}").replace("0.5", "1.0");
    assert_eq!(read_answer(node.send(&query_request("q", &query_body))).0, 200);
}

#[test]
fn idle_and_silent_clients_do_not_keep_others_out() {
    let replica = StandInReplica::start(answer_parts);
    let discovery = Discovery::start();
    let known = list(1, true, &[(0, replica.address, "active")]);
    // 48 sockets give 16 connection permits.
    let node = Node::start_with(9, &discovery, known, 48);
    node.wait_until_ready();
    let query_body = QUERY_BODY.replace(r#"},{"shard":1,"weight":0.5}"#, "}").replace("0.5", "1.0");
    let mut idle_clients = Vec::new();
    for n in 0..40 {
        idle_clients.push(node.send(&query_request(&format!("stays{n}"), &query_body)));
        assert_eq!(read_answer(idle_clients[n].try_clone().unwrap()).0, 200, "{n}");
    }
    let silent: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    assert_eq!(read_answer(node.send(&query_request("usual", &query_body))).0, 200);
    // Silent connections are closed, and a client that stops within its request gets status 408.
    let half = node.send("POST /view HTTP/1.1\r\nHost: x\r\nReq-Id: ha");
    assert_eq!(read_answer(half).0, 408);
    for mut stream in silent {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        let end = stream.read(&mut [0; 9]);
        assert!(
            end.as_ref().is_ok_and(|n| *n == 0) || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
        );
    }
}

#[test]
fn a_request_with_both_framings_is_rejected_and_ends_the_connection() {
    let replica = StandInReplica::start(answer_parts);
    let discovery = Discovery::start();
    let node = Node::start(10, &discovery, list(1, true, &[(0, replica.address, "active")]));
    node.wait_until_ready();
    let query_body = QUERY_BODY.replace(r#"},{"shard":1,"weight":0.5}"#, "}").replace("0.5", "1.0");
    let hidden = query_request("hidden", &query_body);
    let chunks = format!("{:x}\r\n{query_body}\r\n0\r\n\r\n", query_body.len());
    let chunked = query_request("c", "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + &chunks;
    let total_length = chunks.len() + hidden.len();
    let length = format!("Content-Length: {total_length}\r\nTransfer-Encoding: chunked");
    let encoding = format!("tRaNsFeR-eNcOdInG: chunked\r\nContent-Length:{total_length}");
    for framing in [length, encoding] {
        let mut stream =
            node.send(&(query_request("m", "").replace("Content-Length: 0", &framing) + &chunks + &hidden));
        let mut all = String::new();
        stream.read_to_string(&mut all).unwrap();
        assert!(all.starts_with("HTTP/1.1 400") && all.matches("HTTP/1.1 ").count() == 1, "{all}");
    }
    assert!(!replica.frames.try_iter().any(|f| f.starts_with('Q')), "the rejected requests send no parts");
    let (status, body, _) = read_answer(node.send(&chunked));
    assert_eq!((status, hits(&body).0), (200, true), "a chunked body alone is valid");
}

#[test]
fn a_client_that_is_still_writing_can_read_the_rejection() {
    let discovery = Discovery::start();
    let node = Node::start(11, &discovery, list(1, true, &[]));
    wait_for("the listener", || node.try_get("/up"));
    let mut stream = node.send(&query_request("big", "").replace("Length: 0", "Length: 20000000"));
    for _ in 0..200 {
        stream.write_all(&[b' '; 100_000]).expect("the program still reads from a rejected client");
    }
    let (status, _, close) = read_answer(stream);
    assert_eq!((status, close), (413, true));
}

#[test]
fn an_invalid_node_config_ends_the_program_with_the_key() {
    let path = std::env::temp_dir().join(format!("pipitcrank-{}-bad.json", std::process::id()));
    let start = |text: &str| {
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pipitcrank"));
        let output = command.arg("serve").env("NODE_CONFIG", &path).output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
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
        let output = command.arg("check").args(more).env("NODE_CONFIG", &path).output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
    };
    let (code, stderr) = check(&[]);
    assert_eq!(code, Some(2));
    assert!(stderr.contains("ERROR /listen ") && stderr.contains("ERROR /limits/sockets "), "{stderr}");
    let file = path.with_extension("dhall");
    std::fs::write(
        &file,
        "{ upgrade = Some { start_s = 1.0, settle_s = -1.0, silent_s = 1.0, finish_s = 1.0 } }",
    )
    .unwrap();
    let (code, stderr) = check(&["--no-charter", "--operators", file.to_str().unwrap()]);
    assert_eq!(code, Some(2));
    assert!(stderr.contains("ERROR /upgrade/settle_s "), "{stderr}");
    let _ = (std::fs::remove_file(&path), std::fs::remove_file(&file));
}
