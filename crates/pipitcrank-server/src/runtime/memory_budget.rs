//! Reservations of memory. Whoever keeps bytes for a client or a replica holds a reservation for them; one that is refused
//! is shed with a reason.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::memory_plan::MemoryPlan;
use crate::runtime::counter_names::{group, memory};
use crate::runtime::counters::Counters;

/// An account is short of memory when less than one in this many of its bytes is free.
const SHORT_ONE_IN: usize = 4;
const BYTES_PER_KB: u64 = 1024;

/// What memory is reserved for. Accounts are separate, so that one kind of use can't take the memory of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryAccount {
    /// Requests that are being received.
    Requests,
    /// Open queries.
    Queries,
    /// Answers of replicas, and responses that clients have not read.
    Answers,
    /// Partial frames from replicas.
    Frames,
    /// Endpoint lists that are being received.
    Lists,
}

impl MemoryAccount {
    const COUNT: usize = 5;
    const ALL: [MemoryAccount; MemoryAccount::COUNT] = [
        MemoryAccount::Requests,
        MemoryAccount::Queries,
        MemoryAccount::Answers,
        MemoryAccount::Frames,
        MemoryAccount::Lists,
    ];

    /// Names of the reserved memory and of its highest value in `/counters`.
    fn names(self) -> (&'static str, &'static str) {
        match self {
            MemoryAccount::Requests => (memory::REQUESTS_KB, memory::REQUESTS_PEAK_KB),
            MemoryAccount::Queries => (memory::QUERIES_KB, memory::QUERIES_PEAK_KB),
            MemoryAccount::Answers => (memory::ANSWERS_KB, memory::ANSWERS_PEAK_KB),
            MemoryAccount::Frames => (memory::FRAMES_KB, memory::FRAMES_PEAK_KB),
            MemoryAccount::Lists => (memory::LISTS_KB, memory::LISTS_PEAK_KB),
        }
    }
}

#[derive(Debug)]
struct AccountState {
    limit: usize,
    reserved: AtomicUsize,
    peak: AtomicUsize,
}

/// The accounts of a process; clones share them.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<[AccountState; MemoryAccount::COUNT]>);

impl MemoryBudget {
    /// Creates the accounts of a plan.
    pub fn new(plan: &MemoryPlan) -> MemoryBudget {
        MemoryBudget::with_limits([
            plan.request_bytes,
            plan.query_bytes,
            plan.answer_bytes,
            plan.frame_bytes,
            plan.list_account_bytes,
        ])
    }

    /// Creates accounts that grant everything.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget::with_limits([usize::MAX; MemoryAccount::COUNT])
    }

    fn with_limits(limits: [usize; MemoryAccount::COUNT]) -> MemoryBudget {
        let account =
            |limit| AccountState { limit, reserved: AtomicUsize::new(0), peak: AtomicUsize::new(0) };
        MemoryBudget(Arc::new(limits.map(account)))
    }

    fn account(&self, account: MemoryAccount) -> &AccountState {
        &self.0[account as usize]
    }

    /// Reserves memory; `None` if the account has too little. More than the whole account is granted while nothing else
    /// is reserved, so that a single large request can always be served.
    pub fn reserve(&self, account: MemoryAccount, bytes: usize) -> Option<Reservation> {
        let bytes = bytes.min(self.account(account).limit);
        let mut reservation = Reservation { budget: self.clone(), account, bytes: 0 };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Whether little memory of the account is free.
    pub fn is_short(&self, account: MemoryAccount) -> bool {
        let AccountState { limit, reserved, .. } = self.account(account);
        reserved.load(Ordering::Relaxed) > limit - limit / SHORT_ONE_IN
    }

    /// Bytes that are reserved now.
    pub fn reserved(&self, account: MemoryAccount) -> usize {
        self.account(account).reserved.load(Ordering::Relaxed)
    }

    /// Sets the counters of all accounts.
    pub fn count(&self, counters: &Counters) {
        let kilobytes = |bytes: &AtomicUsize| (bytes.load(Ordering::Relaxed) as u64).div_ceil(BYTES_PER_KB);
        for account in MemoryAccount::ALL {
            let (now, peak) = account.names();
            let AccountState { reserved, peak: highest, .. } = self.account(account);
            counters.set(group::MEMORY, now, kilobytes(reserved));
            counters.set(group::MEMORY, peak, kilobytes(highest));
        }
    }
}

/// Reserved memory, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    account: MemoryAccount,
    bytes: usize,
}

impl Reservation {
    /// Reserves further memory; returns false and changes nothing if the account has too little.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let AccountState { limit, reserved, peak } = self.budget.account(self.account);
        let after = reserved.load(Ordering::Relaxed).saturating_add(bytes);
        if after > *limit {
            return false;
        }
        reserved.store(after, Ordering::Relaxed);
        peak.fetch_max(after, Ordering::Relaxed);
        self.bytes += bytes;
        true
    }
}

impl Reservation {
    /// Changes the reserved memory to `bytes`; returns false and changes nothing if the account has too little.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        let released = self.bytes - bytes;
        self.budget.account(self.account).reserved.fetch_sub(released, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.account(self.account).reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
