//! What of ours is out on one lane, by number, and what each turn of its connection means for it. No I/O. Outcomes keep
//! their meaning over the hop:
//!
//! | what is known | ending of the part's attempt |
//! | --- | --- |
//! | answered | pass |
//! | its frame was not written whole; or the far side says that it never came, that nothing of it was begun, that it rejects it | never ran |
//! | written whole, and the link broke, or another process answers there now | may have run |
//! | the far side says that it failed | ran and failed, or may have |
//!
//! A part that may not run twice and is in doubt waits for a new connection to the same process, which is asked by number;
//! until then, or its time's end, it is neither sent again nor given up.

use std::collections::BTreeMap;

use pipitcrank_core::ids::AttemptOutcome;
use pipitcrank_core::time::Timestamp;

use crate::frames::How;
use crate::route;

struct Out<C> {
    /// Parts not answered yet, by shard.
    calls: Vec<(u32, C)>,
    repeatable: bool,
    who: u64,
    mark: u64,
    until: Timestamp,
    written: bool,
    doubted: bool,
    any: bool,
}

/// What became of a forward.
#[derive(Debug, PartialEq)]
pub struct Over<C> {
    /// Parts not answered, and how their calls end.
    pub calls: Vec<(C, AttemptOutcome)>,
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
    pub fn begin(
        &mut self,
        calls: Vec<(u32, C)>,
        repeatable: bool,
        who: u64,
        mark: u64,
        until: Timestamp,
    ) -> u64 {
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
        let (outcome, route) = match how {
            How::Done if out.calls.is_empty() => (AttemptOutcome::Success, route::Ended::Answered),
            // Guards against a peer that says all is answered and left parts out: they may have run.
            How::Done => (AttemptOutcome::Fault, route::Ended::Failed),
            How::Rejected { stay_away } => (AttemptOutcome::NoCapacity, route::Ended::Rejected(stay_away)),
            How::Aborted if out.calls.is_empty() => (AttemptOutcome::Fault, route::Ended::Neither),
            How::Aborted => (AttemptOutcome::Fault, route::Ended::Failed),
            How::Late => (AttemptOutcome::NeverSent, route::Ended::Neither),
            How::NotHere => (AttemptOutcome::Unreachable, route::Ended::Failed),
            How::Unknown => (AttemptOutcome::Unreachable, route::Ended::Neither),
        };
        // What never came or was not begun made no calls, whatever is said.
        let none = matches!(how, How::Late | How::NotHere | How::Unknown);
        Some(out.over(outcome, Some(if none { 0 } else { made }), route))
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
            (false, _) => o.over(AttemptOutcome::Unreachable, Some(0), route::Ended::Failed),
            (true, true) => o.over(AttemptOutcome::Disconnected, None, route::Ended::Neither),
            (true, false) => o.over(AttemptOutcome::Disconnected, None, route::Ended::Failed),
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
        Err(over.map(|(_, o)| o.over(AttemptOutcome::Disconnected, None, route::Ended::Failed)).collect())
    }

    /// Those whose time is over: their calls have ended by it already, and what was lent counts as made.
    pub fn expired(&mut self, now: Timestamp) -> Vec<Over<C>> {
        let over = self.out.extract_if(.., |_, o| o.until <= now);
        let over = over.map(|(_, o)| {
            let route =
                if o.calls.is_empty() || o.any { route::Ended::Neither } else { route::Ended::Failed };
            o.over(AttemptOutcome::TimedOut, None, route)
        });
        over.collect()
    }
}

impl<C: Copy> Out<C> {
    fn over(self, outcome: AttemptOutcome, made: Option<u32>, route: route::Ended) -> Over<C> {
        let calls = self.calls.into_iter().map(|(_, c)| (c, outcome)).collect();
        Over { calls, who: self.who, made, mark: self.mark, route }
    }
}

#[cfg(test)]
mod tests;
