//! While two processes live they are one co-ordinator: what each may spend, divided here and nowhere else.
//!
//! **Further calls** (rule 6: over any window, calls beyond a part's first stay within `free + share * taken`). The old
//! process keeps its open queries and takes no new ones; it gets a purse of so many further calls, to be used within
//! a time. The new one gets the window with the purse counted as spent. Only arrivals that still count when the
//! purse's time is over are passed on, so that the new one's own bound never falls while the old one may send, and what
//! held at its last further call holds at each of the old one's.
//!
//! **Cold replicas** (rule 4): the new process has the allowance with all that was sent; the old one sends them nothing.
//!
//! **Sockets and open queries**: the old one keeps what it has and tells the new one as that shrinks.

use pipitcrank_core::coordinator::learned_state::LearnedState;
use pipitcrank_core::time::TimeSpan;

/// Of what is left in the window, the share that the old one keeps for the queries that it finishes: it has all open
/// ones, and the new one has what comes.
const OLD_SHARE: f64 = 0.5;
/// Two processes read the clock one after the other; a window's edge is not trusted to be finer than this.
const CLOCKS_APART: TimeSpan = TimeSpan::from_millis(20);

/// What the old process may still do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Purse {
    pub further: u32,
    pub within: TimeSpan,
}

/// Divides the budget: what the old process keeps, while `known` becomes what the new one goes on with. `longest` is how
/// long the old one may need for what it holds.
pub fn divide(free: f64, share: f64, span: TimeSpan, longest: TimeSpan, known: &mut LearnedState) -> Purse {
    // Without a budget neither process counts.
    if span <= TimeSpan::ZERO {
        return Purse { further: 0, within: longest };
    }
    // What is out at other sites may still be spent until its own time is over: arrivals have to last until then too.
    let out = known.delegated_retries.iter().map(|(_, left)| *left).max().unwrap_or(TimeSpan::ZERO);
    let within = longest.max(out).min(span);
    known.admitted.retain(|&age| age + within + CLOCKS_APART < span);
    known.admitted.iter_mut().for_each(|age| *age = *age + CLOCKS_APART);
    known.retries.iter_mut().for_each(|age| *age = (*age - CLOCKS_APART).max(TimeSpan::ZERO));
    let elsewhere: u32 = known.delegated_retries.iter().map(|(n, _)| n).sum();
    let left = free + share * known.admitted.len() as f64 - known.retries.len() as f64 - f64::from(elsewhere);
    let further = (left * OLD_SHARE).floor().max(0.0) as u32;
    Purse { further, within }
}

/// Sockets of one kind: what the old process may hold at most from now on, and what the new one may.
pub fn sockets(most: usize, open_at_old: usize) -> (usize, usize) {
    let old = open_at_old.min(most);
    (old, most - old)
}

/// What the new one may hold once the old one told that it has `open` left.
pub fn sockets_for_new(most: usize, open_at_old: usize) -> usize {
    sockets(most, open_at_old).1
}

#[cfg(test)]
mod tests;
