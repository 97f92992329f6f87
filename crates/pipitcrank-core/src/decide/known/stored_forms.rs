//! The stored form of the learned state, against bytes of an earlier version.

use super::*;

#[path = "../../../../../fixtures/mod.rs"]
mod fixtures;

fn known() -> Known {
    Known {
        verticals: vec![
            KnownVertical {
                name: "view".into(),
                work: Some(0.25),
                hint: Some(-1.5),
                leaving: 0.125,
                stay: Span::from_ms(700),
            },
            KnownVertical::default(),
        ],
        leaves: vec![
            (
                3,
                KnownLeaf {
                    started: Some(Span::from_ms(70)),
                    faults: 0.5,
                    lag: (0.75, Span::from_ms(11)),
                    trial_in: Some(Span::from_ms(400)),
                    sent_cold: vec![(Span::from_ms(12), 0.0625)],
                },
            ),
            (9, KnownLeaf::default()),
        ],
        taken: vec![Span::from_ms(31), Span::from_ms(30)],
        further: vec![Span::from_ms(29)],
        lent: vec![(4, Span::from_ms(28))],
        overdue: Some(3.5),
        rate: Some(1.75),
        fill: 0.375,
        carried: (17.5, Span::from_ms(13)),
        lag: (0.875, Span::from_ms(14)),
    }
}

#[test]
fn learned_state_of_an_earlier_version_is_read_and_written_alike() {
    assert!(known().sound());
    fixtures::check(
        "learned_state.hex",
        &[("learned_state", known())],
        |value| postcard::to_allocvec(value).unwrap(),
        |bytes| postcard::from_bytes(bytes).unwrap(),
    );
}
