//! What of ours is out on one lane, by number, and what each turn of its connection means for it. No I/O. Outcomes keep
//! their meaning over the hop:
//!
//! | what is known | ending of the part's leaf call |
//! | --- | --- |
//! | answered | pass |
//! | its frame was not written whole; or the far side says that it never came, that nothing of it was begun, that it rejects it | never ran |
//! | written whole, and the link broke, or another process answers there now | may have run |
//! | the far side says that it failed | ran and failed, or may have |
//!
//! A part that may not run twice and is in doubt waits for a new connection to the same process, which is asked by number;
//! until then, or its time's end, it is neither sent again nor given up.

use std::collections::BTreeMap;

use pipitcrank::ids::Ending;
use pipitcrank::time::At;

use crate::frames::How;
use crate::route;

struct Out<C> {
    /// Parts not answered yet, by shard.
    calls: Vec<(u32, C)>,
    repeatable: bool,
    who: u64,
    mark: u64,
    until: At,
    written: bool,
    doubted: bool,
    any: bool,
}

/// What became of a forward.
#[derive(Debug, PartialEq)]
pub struct Over<C> {
    /// Parts not answered, and how their calls end.
    pub calls: Vec<(C, Ending)>,
    /// To whom further calls were lent, and how many were made; none where that is not known.
    pub who: u64,
    pub made: Option<u32>,
    /// For the route: its mark there.
    pub mark: u64,
    pub route: route::Ended,
}

#[derive(Debug, PartialEq)]
pub struct GaveUp {
    pub number: u64,
    /// None of its parts is waited for any more.
    pub whole: bool,
}

pub struct Forwards<C> {
    next: u64,
    /// Each leaves with its end, or when its time is over.
    out: BTreeMap<u64, Out<C>>,
}

impl<C> Default for Forwards<C> {
    fn default() -> Forwards<C> {
        Forwards { next: 1, out: BTreeMap::new() }
    }
}

impl<C: Copy + PartialEq> Forwards<C> {
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// A forward whose frame is about to be begun; its number.
    pub fn begin(&mut self, calls: Vec<(u32, C)>, repeatable: bool, who: u64, mark: u64, until: At) -> u64 {
        let number = self.next;
        self.next += 1;
        let out = Out { calls, repeatable, who, mark, until, written: false, doubted: false, any: false };
        self.out.insert(number, out);
        number
    }

    /// Its frame's last byte is with the system.
    pub fn written(&mut self, number: u64) {
        if let Some(out) = self.out.get_mut(&number) {
            out.written = true;
        }
    }

    /// A part's answer came: its call, the first time.
    pub fn part(&mut self, number: u64, shard: u32) -> Option<C> {
        let out = self.out.get_mut(&number)?;
        out.any = true;
        let nth = out.calls.iter().position(|(s, _)| *s == shard)?;
        Some(out.calls.swap_remove(nth).1)
    }

    pub fn end(&mut self, number: u64, how: How, made: u32) -> Option<Over<C>> {
        let out = self.out.remove(&number)?;
        let (ending, route) = match how {
            How::Done if out.calls.is_empty() => (Ending::Pass, route::Ended::Answered),
            // Guards against a peer that says all is answered and left parts out: they may have run.
            How::Done => (Ending::Fault, route::Ended::Failed),
            How::Rejected { stay_away } => (Ending::NoRoom, route::Ended::Rejected(stay_away)),
            How::Aborted if out.calls.is_empty() => (Ending::Fault, route::Ended::Neither),
            How::Aborted => (Ending::Fault, route::Ended::Failed),
            How::Late => (Ending::Stale, route::Ended::Neither),
            How::NotHere => (Ending::NoRoute, route::Ended::Failed),
            How::Unknown => (Ending::NoRoute, route::Ended::Neither),
        };
        // What never came or was not begun made no calls, whatever is said.
        let none = matches!(how, How::Late | How::NotHere | How::Unknown);
        Some(out.over(ending, Some(if none { 0 } else { made }), route))
    }

    /// Nobody waits for the part any more.
    pub fn give_up(&mut self, call: C) -> Option<GaveUp> {
        let (&number, out) = self.out.iter_mut().find(|(_, o)| o.calls.iter().any(|(_, c)| *c == call))?;
        out.calls.retain(|(_, c)| *c != call);
        Some(GaveUp { number, whole: out.calls.is_empty() })
    }

    /// The connection is gone. What may go elsewhere ends now; what is in doubt and may not waits.
    pub fn cut(&mut self) -> Vec<Over<C>> {
        let ends = |o: &Out<C>| !o.written || o.repeatable || o.calls.is_empty();
        let over: Vec<Out<C>> = self.out.extract_if(.., |_, o| ends(o)).map(|(_, o)| o).collect();
        self.out.values_mut().for_each(|o| o.doubted = true);
        let over = over.into_iter().map(|o| match (o.written, o.calls.is_empty()) {
            (false, _) => o.over(Ending::NoRoute, Some(0), route::Ended::Failed),
            (true, true) => o.over(Ending::Cut, None, route::Ended::Neither),
            (true, false) => o.over(Ending::Cut, None, route::Ended::Failed),
        });
        over.collect()
    }

    /// A new connection: to the same process it is asked what became of those in doubt. Another process can't tell, and
    /// its not knowing them proves nothing: they may have run.
    pub fn relinked(&mut self, same_process: bool) -> Result<Vec<u64>, Vec<Over<C>>> {
        if same_process {
            return Ok(self.out.iter().filter(|(_, o)| o.doubted).map(|(n, _)| *n).collect());
        }
        let over = self.out.extract_if(.., |_, o| o.doubted);
        Err(over.map(|(_, o)| o.over(Ending::Cut, None, route::Ended::Failed)).collect())
    }

    /// Those whose time is over: their calls have ended by it already, and what was lent counts as made.
    pub fn expired(&mut self, now: At) -> Vec<Over<C>> {
        let over = self.out.extract_if(.., |_, o| o.until <= now);
        let over = over.map(|(_, o)| {
            let route =
                if o.calls.is_empty() || o.any { route::Ended::Neither } else { route::Ended::Failed };
            o.over(Ending::TooSlow, None, route)
        });
        over.collect()
    }
}

impl<C: Copy> Out<C> {
    fn over(self, ending: Ending, made: Option<u32>, route: route::Ended) -> Over<C> {
        let calls = self.calls.into_iter().map(|(_, c)| (c, ending)).collect();
        Over { calls, who: self.who, made, mark: self.mark, route }
    }
}

#[cfg(test)]
mod tests {
    use pipitcrank::time::Span;
    use proptest::prelude::*;

    use super::*;

    fn until() -> At {
        At::from_us(1_000_000)
    }

    fn begin(f: &mut Forwards<u32>, repeatable: bool) -> u64 {
        f.begin(vec![(1, 10), (2, 20)], repeatable, 5, 6, until())
    }

    #[test]
    fn not_written_whole_never_ran_and_written_may_have() {
        for repeatable in [true, false] {
            let mut f = Forwards::default();
            begin(&mut f, repeatable);
            let over = f.cut();
            assert_eq!(over[0].calls, [(10, Ending::NoRoute), (20, Ending::NoRoute)]);
            assert_eq!(over[0].made, Some(0));
        }
        let mut f = Forwards::default();
        let number = begin(&mut f, true);
        f.written(number);
        assert_eq!(f.part(number, 1), Some(10));
        let over = f.cut();
        assert_eq!((&over[0].calls[..], over[0].made), (&[(20, Ending::Cut)][..], None));
    }

    #[test]
    fn a_side_effecting_one_in_doubt_is_asked_for_and_never_free_before() {
        let mut f = Forwards::default();
        let number = begin(&mut f, false);
        f.written(number);
        assert_eq!(f.cut(), []);
        assert_eq!(f.relinked(true), Ok(vec![number]));
        assert_eq!(f.cut(), [], "the link flaps");
        assert_eq!(f.relinked(true), Ok(vec![number]));
        let over = f.end(number, How::Unknown, 9).unwrap();
        assert_eq!(
            (over.calls[0].1, over.made),
            (Ending::NoRoute, Some(0)),
            "it never came, so it never ran"
        );
        let number = begin(&mut f, false);
        f.written(number);
        f.cut();
        let over = f.relinked(false).unwrap_err();
        assert_eq!(over[0].calls[0].1, Ending::Cut, "another process can't tell");
    }

    #[test]
    fn a_rejection_proves_that_nothing_ran_and_an_abort_does_not() {
        let mut f = Forwards::default();
        let stay_away = Span::from_ms(70);
        for (how, ending) in [
            (How::Rejected { stay_away }, Ending::NoRoom),
            (How::Aborted, Ending::Fault),
            (How::Late, Ending::Stale),
            (How::NotHere, Ending::NoRoute),
            (How::Done, Ending::Fault),
        ] {
            let number = begin(&mut f, false);
            f.written(number);
            assert_eq!(f.end(number, how, 1).unwrap().calls, [(10, ending), (20, ending)]);
            assert_eq!(f.end(number, how, 1), None, "one last word");
        }
    }

    #[test]
    fn given_up_parts_are_not_answered_and_the_last_one_gives_up_the_forward() {
        let mut f = Forwards::default();
        let number = begin(&mut f, true);
        assert_eq!(f.give_up(10), Some(GaveUp { number, whole: false }));
        assert_eq!(f.part(number, 1), None);
        assert_eq!(f.give_up(20), Some(GaveUp { number, whole: true }));
        assert_eq!(f.give_up(20), None);
        assert_eq!(f.end(number, How::Aborted, 2).unwrap().made, Some(2), "what it spent still counts");
    }

    #[derive(Clone, Debug)]
    enum Step {
        Begin(bool),
        Write,
        Part(u32),
        End(u8),
        Cut,
        Relink(bool),
        GiveUp(u32),
        Expire,
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            any::<bool>().prop_map(Step::Begin),
            Just(Step::Write),
            (0u32..3).prop_map(Step::Part),
            (0u8..6).prop_map(Step::End),
            Just(Step::Cut),
            any::<bool>().prop_map(Step::Relink),
            (0u32..60).prop_map(Step::GiveUp),
            Just(Step::Expire),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, cases: 500, ..ProptestConfig::default() })]

        /// Each call ends once, and one whose frame was written whole is said not to have run only by the far side's word.
        #[test]
        fn each_call_ends_once_with_the_right_meaning(steps in proptest::collection::vec(step(), 0..150)) {
            let mut f: Forwards<u32> = Forwards::default();
            let (mut next_call, mut open, mut written) = (0, Vec::new(), Vec::new());
            let mut newest = 0;
            for step in steps {
                let said = matches!(step, Step::End(_));
                let over: Vec<Over<u32>> = match step {
                    Step::Begin(repeatable) => {
                        newest = f.begin(vec![(0, next_call), (1, next_call + 1)], repeatable, 0, 0, until());
                        open.extend([next_call, next_call + 1]);
                        next_call += 2;
                        vec![]
                    }
                    Step::Write if newest == 0 => vec![],
                    Step::Write => { f.written(newest); written.extend([next_call.saturating_sub(2), next_call.saturating_sub(1)]); vec![] }
                    Step::Part(shard) => {
                        if let Some(call) = f.part(newest, shard) {
                            prop_assert!(open.contains(&call));
                            open.retain(|c| *c != call);
                        }
                        vec![]
                    }
                    Step::End(n) => {
                        let how = [How::Done, How::Rejected { stay_away: Span::ZERO }, How::Aborted, How::Late, How::NotHere, How::Unknown];
                        f.end(newest, how[n as usize], 1).into_iter().collect()
                    }
                    Step::Cut => f.cut(),
                    Step::Relink(same) => f.relinked(same).err().unwrap_or_default(),
                    Step::GiveUp(call) => { if f.give_up(call).is_some() { open.retain(|c| *c != call); } vec![] }
                    Step::Expire => f.expired(until()),
                };
                for (call, ending) in over.into_iter().flat_map(|o| o.calls) {
                    prop_assert!(open.contains(&call), "it ends twice");
                    open.retain(|c| *c != call);
                    let never = matches!(ending, Ending::NoRoute | Ending::NoRoom | Ending::Stale);
                    prop_assert!(!never || said || !written.contains(&call), "{call} was written whole: {ending:?}");
                }
            }
            f.expired(until()).into_iter().flat_map(|o| o.calls).for_each(|(call, _)| open.retain(|c| *c != call));
            prop_assert!(open.is_empty() && f.out() == 0, "all end by their time");
        }
    }
}
