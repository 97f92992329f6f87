use std::convert::Infallible;

use axum::body::Bytes;
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::*;
use crate::runtime::memory_plan::MemoryPlan;

const MIB: u64 = 1024 * 1024;

/// A body in pieces, each of which is a slice of a large buffer.
fn body_of(pieces: usize, piece_bytes: usize) -> Body {
    let frames = (0..pieces).map(move |_| {
        let buffer = Bytes::from(vec![b'x'; 16 * 1024]);
        Ok::<_, Infallible>(Frame::data(buffer.slice(..piece_bytes)))
    });
    Body::new(StreamBody::new(Pieces(frames)))
}

/// A stream of frames that are ready at once.
struct Pieces<I>(I);

impl<I: Iterator + Unpin> futures_core::Stream for Pieces<I> {
    type Item = I::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<I::Item>> {
        std::task::Poll::Ready(self.0.next())
    }
}

async fn read(
    pieces: usize,
    piece_bytes: usize,
    budget: &MemoryBudget,
) -> Result<ReceivedBody, RequestError> {
    read_body(body_of(pieces, piece_bytes), budget).await
}

#[tokio::test]
async fn small_pieces_reserve_no_more_than_large_ones() {
    let budget = MemoryBudget::unlimited();
    let small = read(256, 64, &budget).await.expect("the body is accepted");
    let reserved = budget.reserved(MemoryAccount::Requests);
    assert_eq!((small.bytes.len(), small.bytes.capacity()), (16 * 1024, 16 * 1024));
    assert_eq!(reserved, 12 * 1024);
    drop(small);
    assert_eq!(budget.reserved(MemoryAccount::Requests), 0);
}

#[tokio::test]
async fn an_included_body_reserves_nothing() {
    let budget = MemoryBudget::unlimited();
    let body = read(1, 300, &budget).await.expect("the body is accepted");
    assert_eq!((body.bytes.capacity(), budget.reserved(MemoryAccount::Requests)), (300, 0));
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected_and_one_without_memory_is_shed() {
    let budget = MemoryBudget::new(&MemoryPlan::of(32 * MIB, 1));
    assert!(matches!(read(65, 1024, &budget).await, Err(RequestError::BodyTooLarge)));
    let mut held = Vec::new();
    let error = loop {
        match read(64, 1024, &budget).await {
            Ok(body) => held.push(body),
            Err(error) => break error,
        }
    };
    assert_eq!(error, RequestError::BodyMemory);
    assert!(held.len() > 50, "{} bodies", held.len());
    held.pop();
    assert!(read(64, 1024, &budget).await.is_ok());
}
