use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_longest_inactive_are_closed_first_and_open_requests_never() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [open, idle, fresh_idle, silent, begun] = [0, 1, 2, 3, 4].map(|n| connections.add(start + MS * n));
    open.set_phase(ConnectionPhase::Answering, start);
    idle.set_phase(ConnectionPhase::Idle, start);
    fresh_idle.set_phase(ConnectionPhase::Idle, start + MS * 900);
    begun.set_phase(ConnectionPhase::Reading, start + MS * 500);
    let left = || [&open, &idle, &fresh_idle, &silent, &begun].map(|v| v.closing.get());
    connections.close_overdue(start + MS * 50, 5);
    assert_eq!(left(), [false; 5], "each has some time");
    connections.close_overdue(start + MS * 2100, 0);
    assert_eq!(left(), [false; 5], "there is room");
    connections.close_overdue(start + MS * 2100, 2);
    assert_eq!(left(), [false, false, false, true, true], "two places, the longest ready first");
    connections.close_overdue(start + MS * 2100, 2);
    assert_eq!(left(), [false, false, false, true, true], "two are on their way already");
    connections.close_overdue(start + MS * 2500, 9);
    assert_eq!(left(), [false, true, false, true, true], "idle for 2 s");
    connections.close_overdue(start + MS * 90_000, 0);
    assert_eq!(left(), [false, true, true, true, true], "an open request is never closed");
}

#[test]
fn at_the_last_moment_all_are_closed_but_what_is_answered_or_still_read() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [open, idle, unread, silent, begun] = [0; 5].map(|_| connections.add(start));
    for asked in [&open, &idle, &unread] {
        asked.set_phase(ConnectionPhase::Answering, start);
    }
    idle.set_phase(ConnectionPhase::Idle, start);
    idle.set_flushed();
    unread.set_phase(ConnectionPhase::Idle, start);
    begun.set_phase(ConnectionPhase::Reading, start);
    connections.close_inactive();
    let left = [&open, &idle, &unread, &silent, &begun].map(|v| v.closing.get());
    assert_eq!(left, [false, true, false, true, true]);
}

#[test]
fn a_request_is_whole_in_time_from_connecting_or_from_its_first_byte() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [silent, slow, again] = [0, 0, 0].map(|_| connections.add(start));
    slow.set_phase(ConnectionPhase::Reading, start + MS * 2400);
    again.set_phase(ConnectionPhase::Answering, start + MS * 10);
    again.set_phase(ConnectionPhase::Idle, start + MS * 20);
    again.set_phase(ConnectionPhase::Reading, start + MS * 2400);
    connections.close_overdue(start + REQUEST_TIMEOUT, 0);
    assert!(silent.closing.get() && slow.closing.get() && !again.closing.get());
    connections.close_overdue(start + MS * 2400 + REQUEST_TIMEOUT, 0);
    assert!(again.closing.get(), "its second request had as long");
}

#[test]
fn a_connection_whose_answer_is_still_read_is_closed_only_once_it_is_read() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let reads = connections.add(start);
    reads.set_phase(ConnectionPhase::Answering, start);
    reads.set_phase(ConnectionPhase::Idle, start);
    connections.close_overdue(start + MS * 5000, 9);
    assert!(!reads.closing.get(), "its answer would be cut");
    reads.set_flushed();
    connections.close_overdue(start + MS * 5000, 9);
    assert!(reads.closing.get());
}

/// Half a request lay in the accept queue for long: its client is owed an error or a close within 3 s of its own time.
#[test]
fn time_in_the_accept_queue_counts_as_the_requests() {
    let connections = ClientConnections::default();
    let now = Instant::now();
    let connection = connections.add(now);
    connection.set_accept_wait(Duration::from_millis(2000));
    connection.set_phase(ConnectionPhase::Reading, now);
    connections.close_overdue(now + Duration::from_millis(450), 0);
    assert!(!connection.closing.get(), "some time is left to it");
    connections.close_overdue(now + Duration::from_millis(550), 0);
    assert!(connection.closing.get(), "2.5 s are over for its client");
    // However long it waited, what lies there is read before it is judged.
    let connection = connections.add(now);
    connection.set_accept_wait(Duration::from_millis(9000));
    connections.close_overdue(now + Duration::from_millis(150), 0);
    assert!(!connection.closing.get());
}
