use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn close_overdue_evicts_the_longest_inactive_and_spares_open_requests() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [open, idle, fresh_idle, silent, begun] = [0, 1, 2, 3, 4].map(|n| connections.add(start + MS * n));
    open.set_phase(ConnectionPhase::Answering, start);
    idle.set_phase(ConnectionPhase::Idle, start);
    fresh_idle.set_phase(ConnectionPhase::Idle, start + MS * 900);
    begun.set_phase(ConnectionPhase::Reading, start + MS * 500);
    let closing = || [&open, &idle, &fresh_idle, &silent, &begun].map(|v| v.closing.get());
    connections.close_overdue(start + MS * 50, 5, false);
    assert_eq!(closing(), [false; 5], "all are within their grace time");
    connections.close_overdue(start + MS * 2100, 0, false);
    assert_eq!(closing(), [false; 5], "enough permits are free");
    connections.close_overdue(start + MS * 2100, 2, false);
    assert_eq!(
        closing(),
        [false, false, false, true, true],
        "two permits are short, the longest evictable go first"
    );
    connections.close_overdue(start + MS * 2100, 2, false);
    assert_eq!(closing(), [false, false, false, true, true], "two permits are about to be released");
    connections.close_overdue(start + MS * 2500, 9, false);
    assert_eq!(closing(), [false, true, false, true, true], "idle for 2 s");
    connections.close_overdue(start + MS * 90_000, 0, false);
    assert_eq!(closing(), [false, true, true, true, true], "an open request is never closed");
}

#[test]
fn close_inactive_spares_pending_and_unread_responses() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [open, idle, unread, silent, begun] = [0; 5].map(|_| connections.add(start));
    for answering in [&open, &idle, &unread] {
        answering.set_phase(ConnectionPhase::Answering, start);
    }
    idle.set_phase(ConnectionPhase::Idle, start);
    idle.set_flushed();
    unread.set_phase(ConnectionPhase::Idle, start);
    begun.set_phase(ConnectionPhase::Reading, start);
    connections.close_inactive();
    let closing = [&open, &idle, &unread, &silent, &begun].map(|v| v.closing.get());
    assert_eq!(closing, [false, true, false, true, true]);
}

#[test]
fn request_timeout_runs_from_the_accept_or_the_first_byte() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let [silent, slow, again] = [0, 0, 0].map(|_| connections.add(start));
    slow.set_phase(ConnectionPhase::Reading, start + MS * 2400);
    again.set_phase(ConnectionPhase::Answering, start + MS * 10);
    again.set_phase(ConnectionPhase::Idle, start + MS * 20);
    again.set_phase(ConnectionPhase::Reading, start + MS * 2400);
    connections.close_overdue(start + REQUEST_TIMEOUT, 0, false);
    assert!(silent.closing.get() && slow.closing.get() && !again.closing.get());
    connections.close_overdue(start + MS * 2400 + REQUEST_TIMEOUT, 0, false);
    assert!(again.closing.get(), "the second request has the same timeout");
}

#[test]
fn a_connection_is_not_evicted_before_its_response_is_flushed() {
    let (connections, start) = (ClientConnections::default(), Instant::now());
    let connection = connections.add(start);
    connection.set_phase(ConnectionPhase::Answering, start);
    connection.set_phase(ConnectionPhase::Idle, start);
    connections.close_overdue(start + MS * 5000, 9, false);
    assert!(!connection.closing.get(), "closing would truncate the response");
    connection.set_flushed();
    connections.close_overdue(start + MS * 5000, 9, false);
    assert!(connection.closing.get());
}

/// A partial request that waited in the accept queue must get an error or a close within 3 s of being sent.
#[test]
fn time_in_the_accept_queue_shortens_the_request_timeout() {
    let connections = ClientConnections::default();
    let now = Instant::now();
    let connection = connections.add(now);
    connection.set_accept_wait(Duration::from_millis(2000));
    connection.set_phase(ConnectionPhase::Reading, now);
    connections.close_overdue(now + Duration::from_millis(450), 0, false);
    assert!(!connection.closing.get(), "50 ms of its timeout are left");
    connections.close_overdue(now + Duration::from_millis(550), 0, false);
    assert!(connection.closing.get(), "the client has waited for more than 2.5 s");
    // Bytes that are already there are read first, however long the connection waited.
    let connection = connections.add(now);
    connection.set_accept_wait(Duration::from_millis(9000));
    connections.close_overdue(now + Duration::from_millis(150), 0, false);
    assert!(!connection.closing.get());
}
