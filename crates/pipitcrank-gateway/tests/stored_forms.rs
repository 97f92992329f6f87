//! Compatibility of link frames with bytes that an earlier version encoded.

use bytes::BytesMut;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_gateway::frames::{self, Forward, ForwardOutcome, ForwardPart, LinkMessage};

#[path = "../../../fixtures/mod.rs"]
mod fixtures;

fn part(shard: u32, weight: f64, estimated_work: Option<f64>) -> ForwardPart {
    ForwardPart { shard, weight, estimated_work }
}

fn forward() -> Forward {
    Forward {
        number: 7,
        query_id: "9b1f".into(),
        class: "view".into(),
        time_left: TimeSpan::from_millis(800),
        delegated_retries: 2,
        sites_crossed: vec!["north".into()],
        parts: vec![part(3, 0.75, None), part(4, 0.25, Some(0.01))],
        text: "c41e77d0".into(),
    }
}

#[test]
fn link_frames_are_compatible_with_an_earlier_version() {
    let end = |outcome| LinkMessage::End { number: 7, outcome, retries_made: 2 };
    let hello = LinkMessage::Hello {
        version: 1,
        site: "north".into(),
        incarnation: 1 << 40,
        stream: 3,
        credit: 900,
        capabilities: 5,
    };
    let values = [
        ("hello", hello),
        ("forward", LinkMessage::Forward(forward())),
        ("give_up", LinkMessage::Cancel { number: 7 }),
        ("part", LinkMessage::PartAnswer { number: 7, shard: 3, value: "5be2".into() }),
        ("end_done", end(ForwardOutcome::Complete)),
        ("end_rejected", end(ForwardOutcome::Rejected { retry_after: TimeSpan::from_millis(50) })),
        ("end_aborted", end(ForwardOutcome::Aborted)),
        ("end_late", end(ForwardOutcome::TooLate)),
        ("end_not_here", end(ForwardOutcome::NotServed)),
        ("end_unknown", end(ForwardOutcome::Unknown)),
        ("ask", LinkMessage::StatusRequest { numbers: vec![1, 300] }),
        ("credit", LinkMessage::Credit { bytes: 70_000 }),
        ("ping", LinkMessage::Ping { sent_us: -5 }),
        ("pong", LinkMessage::Pong { sent_us: 5, answered_us: 1 << 50 }),
        ("forward_with_key", LinkMessage::ForwardWithKey(forward(), "19dd61b8".into())),
    ];
    let decode = |bytes: &[u8]| frames::take_frame(&mut BytesMut::from(bytes)).unwrap().unwrap().0;
    fixtures::check("gateway_frames.hex", &values, frames::encode, decode);
}
