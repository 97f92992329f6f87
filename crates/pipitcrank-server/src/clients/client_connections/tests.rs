use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_longest_quiet_give_way_and_open_requests_never_do() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [open, idle, fresh_idle, silent, begun] = [0, 1, 2, 3, 4].map(|n| connections.enter(start + MS * n));
    open.turns_to(ConnectionPhase::Open, start);
    idle.turns_to(ConnectionPhase::Idle, start);
    fresh_idle.turns_to(ConnectionPhase::Idle, start + MS * 900);
    begun.turns_to(ConnectionPhase::Begun, start + MS * 500);
    let left = || [&open, &idle, &fresh_idle, &silent, &begun].map(|v| v.leaving.get());
    connections.look(start + MS * 50, 5);
    assert_eq!(left(), [false; 5], "each has some time");
    connections.look(start + MS * 2100, 0);
    assert_eq!(left(), [false; 5], "there is room");
    connections.look(start + MS * 2100, 2);
    assert_eq!(left(), [false, false, false, true, true], "two places, the longest ready first");
    connections.look(start + MS * 2100, 2);
    assert_eq!(left(), [false, false, false, true, true], "two are on their way already");
    connections.look(start + MS * 2500, 9);
    assert_eq!(left(), [false, true, false, true, true], "idle for 2 s");
    connections.look(start + MS * 90_000, 0);
    assert_eq!(left(), [false, true, true, true, true], "an open request is never closed");
}

#[test]
fn at_the_last_moment_all_leave_but_what_is_asked_or_still_read() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [open, idle, unread, silent, begun] = [0; 5].map(|_| connections.enter(start));
    for asked in [&open, &idle, &unread] {
        asked.turns_to(ConnectionPhase::Open, start);
    }
    idle.turns_to(ConnectionPhase::Idle, start);
    idle.flushed();
    unread.turns_to(ConnectionPhase::Idle, start);
    begun.turns_to(ConnectionPhase::Begun, start);
    connections.end();
    let left = [&open, &idle, &unread, &silent, &begun].map(|v| v.leaving.get());
    assert_eq!(left, [false, true, false, true, true]);
}

#[test]
fn a_request_is_whole_in_time_from_connecting_or_from_its_first_byte() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [silent, slow, again] = [0, 0, 0].map(|_| connections.enter(start));
    slow.turns_to(ConnectionPhase::Begun, start + MS * 2400);
    again.turns_to(ConnectionPhase::Open, start + MS * 10);
    again.turns_to(ConnectionPhase::Idle, start + MS * 20);
    again.turns_to(ConnectionPhase::Begun, start + MS * 2400);
    connections.look(start + WHOLE_WITHIN, 0);
    assert!(silent.leaving.get() && slow.leaving.get() && !again.leaving.get());
    connections.look(start + MS * 2400 + WHOLE_WITHIN, 0);
    assert!(again.leaving.get(), "its second request had as long");
}

#[test]
fn who_still_reads_an_answer_does_not_give_way_and_does_once_it_is_read() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let reads = connections.enter(start);
    reads.turns_to(ConnectionPhase::Open, start);
    reads.turns_to(ConnectionPhase::Idle, start);
    connections.look(start + MS * 5000, 9);
    assert!(!reads.leaving.get(), "its answer would be cut");
    reads.flushed();
    connections.look(start + MS * 5000, 9);
    assert!(reads.leaving.get());
}

/// Half a request lay in the accept queue for long: its client is owed an error or a close within 3 s of its own time.
#[test]
fn time_in_the_accept_queue_counts_as_the_requests() {
    let connections = ClientConnections::default();
    let now = Instant::now();
    let connection = connections.enter(now);
    connection.waited(Duration::from_millis(2000));
    connection.turns_to(ConnectionPhase::Begun, now);
    connections.look(now + Duration::from_millis(450), 0);
    assert!(!connection.leaving.get(), "some time is left to it");
    connections.look(now + Duration::from_millis(550), 0);
    assert!(connection.leaving.get(), "2.5 s are over for its client");
    // However long it waited, what lies there is read before it is judged.
    let connection = connections.enter(now);
    connection.waited(Duration::from_millis(9000));
    connections.look(now + Duration::from_millis(150), 0);
    assert!(!connection.leaving.get());
}
