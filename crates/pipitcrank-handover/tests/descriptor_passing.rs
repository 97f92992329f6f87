//! The link between processes: whole messages with their descriptors, and every kind of bad input ends it with a reason.

use std::fs::File;
use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use pipitcrank_handover::descriptor_passing::{Broken, Incoming, Outgoing, join, pair};
use pipitcrank_handover::messages::{ToPredecessor, ToSuccessor, ToSupervisor, VERSION};
use proptest::prelude::*;

fn play<T>(scene: impl AsyncFnOnce() -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, scene())
}

fn ends() -> ((Outgoing, Incoming), (Outgoing, Incoming)) {
    let (a, b) = pair().unwrap();
    (join(a).unwrap(), join(b).unwrap())
}

/// What the other side makes of these bytes, and of the end behind them.
fn fed(bytes: &[u8]) -> Broken {
    play(async || {
        let (a, mut b) = pair().unwrap();
        let (_to, mut from) = join(a).unwrap();
        b.write_all(bytes).unwrap();
        drop(b);
        loop {
            match from.next::<ToSupervisor>().await {
                Ok(_) => {}
                Err(broken) => return broken,
            }
        }
    })
}

fn encoded(message: &ToSupervisor) -> Vec<u8> {
    play(async || {
        let (a, mut b) = pair().unwrap();
        let (to, _from) = join(a).unwrap();
        to.send(message, None);
        drop(to);
        tokio::task::yield_now().await;
        let mut bytes = Vec::new();
        tokio::task::spawn_blocking(move || {
            let mut head = [0; 4];
            b.read_exact(&mut head).unwrap();
            let mut rest = vec![0; u32::from_be_bytes(head) as usize];
            b.read_exact(&mut rest).unwrap();
            [&head[..], &rest].concat()
        })
        .await
        .map(|all| bytes.extend(all))
        .unwrap();
        bytes
    })
}

#[test]
fn descriptors_arrive_with_their_own_messages_however_large_these_are() {
    play(async || {
        let ((to, _a), (_b, mut from)) = ends();
        for n in 0..40u32 {
            let (ours, mut theirs) = UnixStream::pair().unwrap();
            theirs.write_all(&n.to_be_bytes()).unwrap();
            let with = n % 3 != 1;
            let read = vec![n as u8; (n as usize * 7919) % 300_000];
            to.send(&ToSuccessor::Connection { read, whole_within: None }, with.then(|| OwnedFd::from(ours)));
        }
        for n in 0..40u32 {
            let (message, fd) = from.next::<ToSuccessor>().await.unwrap();
            let ToSuccessor::Connection { read, .. } = message else { panic!("another message") };
            assert!(read.len() == (n as usize * 7919) % 300_000 && read.iter().all(|b| *b == n as u8));
            assert_eq!(fd.is_some(), n % 3 != 1);
            if let Some(fd) = fd {
                let mut said = [0; 4];
                File::from(fd).read_exact(&mut said).unwrap();
                assert_eq!(u32::from_be_bytes(said), n, "each message has its own");
            }
        }
    });
}

#[test]
fn a_closed_link_and_one_cut_within_a_message_are_told_apart() {
    assert!(matches!(fed(b""), Broken::Closed));
    let hello = encoded(&ToSupervisor::Hello { version: VERSION });
    assert!(matches!(fed(&hello), Broken::Closed));
    for cut in 1..hello.len() {
        assert!(matches!(fed(&hello[..cut]), Broken::Cut), "cut at {cut}");
    }
}

#[test]
fn messages_that_are_too_long_or_lack_their_descriptor_or_have_more_behind_end_it() {
    assert!(matches!(fed(&u32::MAX.to_be_bytes()), Broken::TooLong(_)));
    let hello = encoded(&ToSupervisor::Checked);
    let mut with_fd = hello.clone();
    with_fd[4] = 1;
    assert!(matches!(fed(&with_fd), Broken::Descriptors));
    let mut longer = hello.clone();
    longer.push(0);
    longer[3] += 1;
    assert!(matches!(fed(&longer), Broken::Garbled));
    let mut unknown = hello;
    unknown[5] = 99;
    assert!(matches!(fed(&unknown), Broken::Garbled));
}

#[test]
fn descriptors_that_no_message_asks_for_do_not_pile_up() {
    play(async || {
        let ((to, _a), (_b, mut from)) = ends();
        for _ in 0..70 {
            let (ours, _) = UnixStream::pair().unwrap();
            // A message that says it has none: its descriptor stays in the queue.
            to.send_with_stray(&ToPredecessor::Hello { version: VERSION }, ours.into());
        }
        let broken = loop {
            match from.next::<ToPredecessor>().await {
                Ok((_, fd)) => assert!(fd.is_none()),
                Err(broken) => break broken,
            }
        };
        assert!(matches!(broken, Broken::Descriptors), "{broken}");
    });
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn noise_ends_it_and_nothing_else(noise in proptest::collection::vec(any::<u8>(), 1..200)) {
        // Whatever came, the link ends with one of its own reasons.
        let _ = fed(&noise);
    }
}
