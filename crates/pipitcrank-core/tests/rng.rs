//! The random number generator.

use pipitcrank_core::rng::Rng;

#[test]
fn generator_is_uniform_and_deterministic() {
    let draw = |seed| {
        let mut rng = Rng::new(seed);
        (0..6000).map(|_| rng.below(6)).collect::<Vec<_>>()
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    for n in 0..6 {
        let share = draw(7).iter().filter(|&&d| d == n).count();
        assert!((850..1150).contains(&share), "{n} drawn {share} times in 6000");
    }
}
