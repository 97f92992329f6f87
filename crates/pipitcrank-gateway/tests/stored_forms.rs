//! Frames of the link between gateways, against bytes of an earlier version.

use bytes::BytesMut;
use pipitcrank_core::time::TimeSpan;
use pipitcrank_gateway::frames::{self, Forward, How, Said};

#[path = "../../../fixtures/mod.rs"]
mod fixtures;

fn forward() -> Forward {
    Forward {
        number: 7,
        id: "9b1f".into(),
        class: "view".into(),
        left: TimeSpan::from_millis(800),
        further: 2,
        crossed: vec!["north".into()],
        parts: vec![(3, 0.75, None), (4, 0.25, Some(0.01))],
        text: "c41e77d0".into(),
    }
}

#[test]
fn frames_of_a_link_are_read_and_written_as_by_an_earlier_version() {
    let end = |how| Said::End { number: 7, how, made: 2 };
    let hello =
        Said::Hello { version: 1, site: "north".into(), instance: 1 << 40, lane: 3, credit: 900, can: 5 };
    let values = [
        ("hello", hello),
        ("forward", Said::Forward(forward())),
        ("give_up", Said::GiveUp { number: 7 }),
        ("part", Said::Part { number: 7, shard: 3, value: "5be2".into() }),
        ("end_done", end(How::Done)),
        ("end_rejected", end(How::Rejected { stay_away: TimeSpan::from_millis(50) })),
        ("end_aborted", end(How::Aborted)),
        ("end_late", end(How::Late)),
        ("end_not_here", end(How::NotHere)),
        ("end_unknown", end(How::Unknown)),
        ("ask", Said::Ask { numbers: vec![1, 300] }),
        ("credit", Said::Credit { bytes: 70_000 }),
        ("ping", Said::Ping { sent_us: -5 }),
        ("pong", Said::Pong { sent_us: 5, mine_us: 1 << 50 }),
        ("forward_with_key", Said::ForwardWithKey(forward(), "19dd61b8".into())),
    ];
    let decode = |bytes: &[u8]| frames::take(&mut BytesMut::from(bytes)).unwrap().unwrap().0;
    fixtures::check("gateway_frames.hex", &values, frames::encode, decode);
}
