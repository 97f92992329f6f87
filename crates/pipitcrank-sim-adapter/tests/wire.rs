//! Tests of the adapter as a process: it accepts unusual but valid input, and exits with a one-line error
//! message after malformed input.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"allowed":{"cancel":true,"probing":false,"max_retry_after_s":2.0,"may_duplicate":true,"retry_after":true,"try_limit":4,"unheard_of":1},"classes":[{"aim_s":2.5,"hard_limit_s":6.0,"idempotency":"safe","name":"view"}],"domain":{"call_cost_s":0.05,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],"parts_a_call":4,"sets":2,"shards":8,"span":1},"registry_mode":"ask","rules":{"cold_from":0.27,"cold_s":18.0,"fall_s":1.5,"overload_factor":4.0},"tick_s":0.005}"#;

/// Input that registers two replicas and starts one co-ordinator.
fn setup() -> String {
    format!(
        "MARK t_s=5.0\nREGISTER ref=3 rows=2\nROW replica=10.0.0.1:5001 zone=a kind=k cell=0 lifecycle=U heft=1\n\
         ROW replica=10.0.0.2:5002 zone=a kind=k cell=1 lifecycle=U heft=1\n\
         NEW_INSTANCE i=co_0 init_seed=42 conf={SETTINGS}\nDISCOVERY i=co_0 scope=Persisted epoch=1 ref=3\nCOMMIT\n"
    )
}

/// Events of a query with two parts.
const QUERY_EVENTS: &str = "WORK_ITEM i=co_0 job=q1 class=view remaining_s=5 ask_no=9 range_no=-1 share_or_count=2 state_bits=0\n\
    WORK_ITEM i=co_0 job=p1 class=view remaining_s=5 ask_no=9 range_no=0 share_or_count=0.5 state_bits=0 new_key=7\n\
    WORK_ITEM i=co_0 job=p2 class=view remaining_s=5 ask_no=9 range_no=1 share_or_count=0.5 state_bits=0\n";

/// Runs the adapter on the input; returns standard output, standard error and the exit status.
fn run_adapter(input: &str) -> (String, String, Option<i32>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pipitcrank-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    child.stdin.take().unwrap().write_all(input.as_bytes()).expect("failed to write the input");
    let output = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (text(output.stdout), text(output.stderr), output.status.code())
}

#[test]
fn query_is_sent_to_replicas_and_answered() {
    let results = "FINISHED i=co_0 job=p2 over=1 elapsed_s=0.3 result=pass replica=10.0.0.2:5002 trial=0\n\
        FINISHED i=co_0 job=p1 over=1 elapsed_s=0.3 result=pass replica=10.0.0.1:5001 trial=0\n";
    let input = setup() + "MARK t_s=6\n" + QUERY_EVENTS + "COMMIT\n\nMARK t_s=6.3\n" + results + "COMMIT\n";
    let (out, err, code) = run_adapter(&input);
    assert_eq!((err.as_str(), code), ("", Some(0)));
    let replies: Vec<&str> = out.split("DONE\n").collect();
    assert_eq!(replies[0], "KEEP_INFORMED i=co_0 complete=1\n");
    assert!(
        replies[1].contains("SEND i=co_0 job=p1 replica=10.0.0.1:5001 abandon_at_s=11.000000\n"),
        "{out}"
    );
    assert!(
        replies[1].contains("SEND i=co_0 job=p2 replica=10.0.0.2:5002 abandon_at_s=11.000000\n"),
        "{out}"
    );
    assert_eq!(replies[2], "RESPOND i=co_0 job=q1 complete=1\n");
}

#[test]
fn unusual_valid_input_is_accepted() {
    // Covers empty batches, a reference number registered twice in a batch, an instance retired and restarted
    // in a batch, events for unknown queries, parts, timers and replicas, a message, and a load report with
    // an unknown key.
    let restart = setup().replace("MARK t_s=5.0\n", "").replace("COMMIT\n", "");
    let input = setup()
        + "MARK t_s=6\nCOMMIT\nMARK t_s=6\n"
        + QUERY_EVENTS
        + "REGISTER ref=3 rows=0\nDISCOVERY i=co_0 scope=Partial epoch=2 ref=3\nRETIRE i=co_0\n"
        + &restart
        + "COMMIT\nMARK t_s=6.5\nDROPPED i=co_0 job=q1\nELAPSED i=co_0 label=99\n\
           FINISHED i=co_0 job=p1 over=1 elapsed_s=0.5 result=cut replica=10.0.0.1:5001 trial=0 feedback=x9:3\n\
           HEALTH i=co_0 replica=10.0.0.9:1 result=pass elapsed_s=0.1 feedback=backlog:2\n\
           MEMO i=co_0 src_peer=1 octets=aGk=\nDISCOVERY i=co_0 scope=Error epoch=2 ref=0\nCOMMIT\n"
        + "MARK t_s=7\n"
        + QUERY_EVENTS
        + "COMMIT\n";
    let (out, err, code) = run_adapter(&input);
    assert_eq!((err.as_str(), code), ("", Some(0)));
    assert_eq!(out.matches("DONE\n").count(), 5, "{out}");
    assert_eq!(out.matches("SEND ").count(), 2, "the restarted instance did not send both parts once: {out}");
}

#[test]
fn malformed_input_reports_line_and_field() {
    let cases = [
        ("ELAPSED i=co_0 label=3\n".to_string(), "line 1", "outside a batch"),
        ("MARK t_s=soon\n".into(), "line 1", "'t_s'"),
        ("MARK t_s=inf\n".into(), "line 1", "'t_s'"),
        ("MARK t_s=1\nELAPSED i=co_7 label=3\n".into(), "line 2", "'i'"),
        (setup() + "MARK t_s=6\nFINISHED i=co_0 job=p over=1 result=melted trial=0\n", "line 9", "'result'"),
        (setup() + "MARK t_s=6\nFINISHED i=co_0 job=p over=1 result=pass\n", "line 9", "'trial'"),
        (setup() + "MARK t_s=6\nSURPRISE i=co_0\n", "line 9", "SURPRISE"),
        (
            setup() + "MARK t_s=6\nHEALTH i=co_0 replica=10.0.0.1:5001 result=pass feedback=backlog:x\n",
            "line 9",
            "'feedback'",
        ),
        (setup() + "MARK t_s=6\n" + &QUERY_EVENTS.replace("class=view", "class=none"), "line 9", "'class'"),
        (setup() + "MARK t_s=6\n" + QUERY_EVENTS + QUERY_EVENTS, "line 12", "'job'"),
        (setup() + "MARK t_s=6\nDISCOVERY i=co_0 scope=Partial epoch=2 ref=5\n", "line 9", "'ref'"),
        (setup().replace("lifecycle=U", "lifecycle=X"), "line 3", "'lifecycle'"),
        (setup().replace("\"try_limit\":4", "\"try_limit\":-4"), "line 5", "/allowed/try_limit"),
        (setup().replace("\"tick_s\"", "\"tock\""), "line 5", "/tick_s"),
        (setup().replace("rows=2", "rows=3"), "line 5", "'rows'"),
        ("MARK t_s=1\n".into(), "line 1", "ends inside a batch"),
    ];
    for (input, line, fragment) in cases {
        let (_, err, code) = run_adapter(&input);
        assert_eq!(code, Some(2), "{fragment}: {err}");
        assert!(err.contains(line) && err.contains(fragment), "expected {line} and {fragment}: {err}");
        assert_eq!(err.lines().count(), 1, "expected a one-line message without a backtrace: {err}");
    }
}
