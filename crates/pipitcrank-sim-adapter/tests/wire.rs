//! The adapter as a process: odd but legal input is played, malformed input ends it with a plain message.

use std::io::Write;
use std::process::{Command, Stdio};

const CONF: &str = r#"{"allowed":{"cancel":true,"probing":false,"max_retry_after_s":2.0,"may_duplicate":true,"retry_after":true,"try_limit":4,"unheard_of":1},"classes":[{"aim_s":2.5,"hard_limit_s":6.0,"idempotency":"safe","name":"view"}],"domain":{"call_cost_s":0.05,"complete_from":[1.0],"floor_by_class":[1.0],"follow_up":[0],"parts_a_call":4,"sets":2,"shards":8,"span":1},"registry_mode":"ask","rules":{"cold_from":0.27,"cold_s":18.0,"fall_s":1.5,"overload_factor":4.0},"tick_s":0.005}"#;

fn start() -> String {
    format!(
        "MARK t_s=5.0\nREGISTER ref=3 rows=2\nROW replica=10.0.0.1:5001 zone=a kind=k cell=0 lifecycle=U heft=1\n\
         ROW replica=10.0.0.2:5002 zone=a kind=k cell=1 lifecycle=U heft=1\n\
         NEW_INSTANCE i=co_0 init_seed=42 conf={CONF}\nDISCOVERY i=co_0 scope=Persisted epoch=1 ref=3\nCOMMIT\n"
    )
}

const ASK: &str = "WORK_ITEM i=co_0 job=q1 class=view remaining_s=5 ask_no=9 range_no=-1 share_or_count=2 state_bits=0\n\
    WORK_ITEM i=co_0 job=p1 class=view remaining_s=5 ask_no=9 range_no=0 share_or_count=0.5 state_bits=0 new_key=7\n\
    WORK_ITEM i=co_0 job=p2 class=view remaining_s=5 ask_no=9 range_no=1 share_or_count=0.5 state_bits=0\n";

fn play(input: &str) -> (String, String, Option<i32>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pipitcrank-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().unwrap().write_all(input.as_bytes()).expect("the adapter reads its input");
    let done = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (text(done.stdout), text(done.stderr), done.status.code())
}

#[test]
fn a_query_is_covered_and_answered() {
    let passes = "FINISHED i=co_0 job=p2 over=1 elapsed_s=0.3 result=pass replica=10.0.0.2:5002 trial=0\n\
        FINISHED i=co_0 job=p1 over=1 elapsed_s=0.3 result=pass replica=10.0.0.1:5001 trial=0\n";
    let input = start() + "MARK t_s=6\n" + ASK + "COMMIT\n\nMARK t_s=6.3\n" + passes + "COMMIT\n";
    let (out, err, code) = play(&input);
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
fn odd_but_legal_input_is_played() {
    // Empty batches; a list number used twice in a batch; an instance killed and restarted in one batch; events
    // for what is no longer held; a probe's result, a message, a load report with unknown names.
    let again = start().replace("MARK t_s=5.0\n", "").replace("COMMIT\n", "");
    let input = start()
        + "MARK t_s=6\nCOMMIT\nMARK t_s=6\n"
        + ASK
        + "REGISTER ref=3 rows=0\nDISCOVERY i=co_0 scope=Partial epoch=2 ref=3\nRETIRE i=co_0\n"
        + &again
        + "COMMIT\nMARK t_s=6.5\nDROPPED i=co_0 job=q1\nELAPSED i=co_0 label=99\n\
           FINISHED i=co_0 job=p1 over=1 elapsed_s=0.5 result=cut replica=10.0.0.1:5001 trial=0 feedback=x9:3\n\
           HEALTH i=co_0 replica=10.0.0.9:1 result=pass elapsed_s=0.1 feedback=backlog:2\n\
           MEMO i=co_0 src_peer=1 octets=aGk=\nDISCOVERY i=co_0 scope=Error epoch=2 ref=0\nCOMMIT\n"
        + "MARK t_s=7\n"
        + ASK
        + "COMMIT\n";
    let (out, err, code) = play(&input);
    assert_eq!((err.as_str(), code), ("", Some(0)));
    assert_eq!(out.matches("DONE\n").count(), 5, "{out}");
    assert_eq!(out.matches("SEND ").count(), 2, "the second instance serves the query: {out}");
}

#[test]
fn malformed_input_ends_with_its_line_and_field() {
    let cases = [
        ("ELAPSED i=co_0 label=3\n".to_string(), "line 1", "outside a batch"),
        ("MARK t_s=soon\n".into(), "line 1", "'t_s'"),
        ("MARK t_s=inf\n".into(), "line 1", "'t_s'"),
        ("MARK t_s=1\nELAPSED i=co_7 label=3\n".into(), "line 2", "'i'"),
        (start() + "MARK t_s=6\nFINISHED i=co_0 job=p over=1 result=melted trial=0\n", "line 9", "'result'"),
        (start() + "MARK t_s=6\nFINISHED i=co_0 job=p over=1 result=pass\n", "line 9", "'trial'"),
        (start() + "MARK t_s=6\nSURPRISE i=co_0\n", "line 9", "SURPRISE"),
        (
            start() + "MARK t_s=6\nHEALTH i=co_0 replica=10.0.0.1:5001 result=pass feedback=backlog:x\n",
            "line 9",
            "'feedback'",
        ),
        (start() + "MARK t_s=6\n" + &ASK.replace("class=view", "class=none"), "line 9", "'class'"),
        (start() + "MARK t_s=6\n" + ASK + ASK, "line 12", "'job'"),
        (start() + "MARK t_s=6\nDISCOVERY i=co_0 scope=Partial epoch=2 ref=5\n", "line 9", "'ref'"),
        (start().replace("lifecycle=U", "lifecycle=X"), "line 3", "'lifecycle'"),
        (start().replace("\"try_limit\":4", "\"try_limit\":-4"), "line 5", "/allowed/try_limit"),
        (start().replace("\"tick_s\"", "\"tock\""), "line 5", "/tick_s"),
        (start().replace("rows=2", "rows=3"), "line 5", "'rows'"),
        ("MARK t_s=1\n".into(), "line 1", "ends inside a batch"),
    ];
    for (input, line, what) in cases {
        let (_, err, code) = play(&input);
        assert_eq!(code, Some(2), "{what}: {err}");
        assert!(err.contains(line) && err.contains(what), "wanted {line} and {what}: {err}");
        assert_eq!(err.lines().count(), 1, "a plain message, no trace: {err}");
    }
}
