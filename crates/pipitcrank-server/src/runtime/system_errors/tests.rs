use std::cell::Cell;

use super::*;

fn error(errno: Errno) -> io::Error {
    errno.into()
}

#[test]
fn accept_is_retried_after_connection_errors_and_shortages() {
    for errno in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::HOSTUNREACH, Errno::NETDOWN] {
        assert_eq!(accept_policy(&error(errno)), ErrorPolicy::RetryAtOnce, "{errno}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(accept_policy(&error(errno)), ErrorPolicy::RetryAfterPause, "{errno}");
    }
    assert_eq!(accept_policy(&error(Errno::BADF)), ErrorPolicy::GiveUp);
}

#[test]
fn a_connection_that_the_peer_refuses_is_not_retried() {
    for errno in [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::CONNRESET] {
        assert_eq!(open_policy(&error(errno)), ErrorPolicy::GiveUp, "{errno}");
    }
}

/// Retries an attempt whose first `failures` calls fail with `errno`; returns whether it succeeded, and the number of calls.
async fn attempts(errno: Errno, failures: u32) -> (bool, u32) {
    let made = Cell::new(0);
    let attempt = async || {
        made.set(made.get() + 1);
        if made.get() <= failures { Err(error(errno)) } else { Ok(()) }
    };
    (retry_open(attempt).await.is_ok(), made.get())
}

#[tokio::test(start_paused = true)]
async fn transient_errors_are_retried_and_others_returned() {
    assert_eq!(attempts(Errno::NFILE, 40).await, (true, 41));
    assert_eq!(attempts(Errno::INTR, 40).await, (true, 41));
    assert_eq!(attempts(Errno::NETUNREACH, 2).await, (true, 3));
    assert_eq!(attempts(Errno::NETUNREACH, 40).await, (false, 3));
    assert_eq!(attempts(Errno::CONNREFUSED, 40).await, (false, 1));
}
