//! The link between processes: whole messages with their descriptors; any bad input ends it with a typed error.

use std::fs::File;
use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use pipitcrank_handover::descriptor_passing::{
    LinkError, LinkReceiver, LinkSender, Received, open_link, socket_pair,
};
use pipitcrank_handover::messages::{PROTOCOL_VERSION, ToPredecessor, ToSuccessor, ToSupervisor};
use proptest::prelude::*;

fn run_local<T>(scenario: impl AsyncFnOnce() -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, scenario())
}

fn linked_pair() -> ((LinkSender, LinkReceiver), (LinkSender, LinkReceiver)) {
    let (a, b) = socket_pair().unwrap();
    (open_link(a).unwrap(), open_link(b).unwrap())
}

/// The error with which the receiver ends after these bytes and the end of the stream.
fn error_after(bytes: &[u8]) -> LinkError {
    run_local(async || {
        let (a, mut b) = socket_pair().unwrap();
        let (_to, mut from) = open_link(a).unwrap();
        b.write_all(bytes).unwrap();
        drop(b);
        loop {
            match from.receive::<ToSupervisor>().await {
                Ok(_) => {}
                Err(error) => return error,
            }
        }
    })
}

fn encoded(message: &ToSupervisor) -> Vec<u8> {
    run_local(async || {
        let (a, mut b) = socket_pair().unwrap();
        let (to, _from) = open_link(a).unwrap();
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
fn descriptors_arrive_with_their_messages_of_any_size() {
    run_local(async || {
        let ((to, _a), (_b, mut from)) = linked_pair();
        for n in 0..40u32 {
            let (ours, mut theirs) = UnixStream::pair().unwrap();
            theirs.write_all(&n.to_be_bytes()).unwrap();
            let with = n % 3 != 1;
            let buffered = vec![n as u8; (n as usize * 7919) % 300_000];
            to.send(
                &ToSuccessor::ClientConnection { buffered, request_timeout: None },
                with.then(|| OwnedFd::from(ours)),
            );
        }
        for n in 0..40u32 {
            let Received { message, descriptor } = from.receive::<ToSuccessor>().await.unwrap();
            let ToSuccessor::ClientConnection { buffered, .. } = message else { panic!("another message") };
            assert!(
                buffered.len() == (n as usize * 7919) % 300_000 && buffered.iter().all(|b| *b == n as u8)
            );
            assert_eq!(descriptor.is_some(), n % 3 != 1);
            if let Some(descriptor) = descriptor {
                let mut content = [0; 4];
                File::from(descriptor).read_exact(&mut content).unwrap();
                assert_eq!(u32::from_be_bytes(content), n, "each message has its own descriptor");
            }
        }
    });
}

#[test]
fn a_closed_link_is_distinguished_from_a_truncated_message() {
    assert!(matches!(error_after(b""), LinkError::Closed));
    let hello = encoded(&ToSupervisor::Hello { version: PROTOCOL_VERSION });
    assert!(matches!(error_after(&hello), LinkError::Closed));
    for cut in 1..hello.len() {
        assert!(matches!(error_after(&hello[..cut]), LinkError::Truncated), "cut at {cut}");
    }
}

#[test]
fn too_long_malformed_and_descriptorless_messages_end_the_link() {
    assert!(matches!(error_after(&u32::MAX.to_be_bytes()), LinkError::MessageTooLong(_)));
    let hello = encoded(&ToSupervisor::Ready);
    let mut with_descriptor = hello.clone();
    with_descriptor[4] = 1;
    assert!(matches!(error_after(&with_descriptor), LinkError::DescriptorMismatch));
    let mut longer = hello.clone();
    longer.push(0);
    longer[3] += 1;
    assert!(matches!(error_after(&longer), LinkError::Malformed));
    let mut unknown = hello;
    unknown[5] = 99;
    assert!(matches!(error_after(&unknown), LinkError::Malformed));
}

#[test]
fn unannounced_descriptors_do_not_accumulate() {
    run_local(async || {
        let ((to, _a), (_b, mut from)) = linked_pair();
        for _ in 0..70 {
            let (ours, _) = UnixStream::pair().unwrap();
            // A message that announces no descriptor: this one stays in the receiver's queue.
            to.send_with_unannounced_descriptor(
                &ToPredecessor::Hello { version: PROTOCOL_VERSION },
                ours.into(),
            );
        }
        let error = loop {
            match from.receive::<ToPredecessor>().await {
                Ok(received) => assert!(received.descriptor.is_none()),
                Err(error) => break error,
            }
        };
        assert!(matches!(error, LinkError::DescriptorMismatch), "{error}");
    });
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_end_the_link_with_a_typed_error(noise in proptest::collection::vec(any::<u8>(), 1..200)) {
        // Any input ends the link with one of its own errors, without a panic.
        let _ = error_after(&noise);
    }
}
