//! The decision module: which replica answers which part of a query, when, how often, and how the query ends.
//!
//! A caller makes one `Coordinator` per co-ordinator from what it is told at start, names the request classes in order
//! with `request class`, and hands in each event as it comes: `list_begin`/`replica`/`list_end` for the list of
//! replicas, `query` and `part` for what is asked, `ended` for each attempt, `probed`, `load_report`, `gone`,
//! `woken`. After the events of one moment it calls `turn` once. All it wants done goes out through
//! `output::CoordinatorOutput`; ids are small indices (`ids.rs`) that the caller may use again once they are let go of.

#![allow(clippy::too_many_arguments)] // a decoded field goes straight into a call

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod budget;
mod deadlines;
pub mod learned_state;
mod lending;
mod seen;
mod sites;
mod slow_start;
pub mod zones;

pub use budget::{RetryBudget, RetryBudgetConfig};
use slow_start::SlowStart;
pub use slow_start::SlowStartConfig;

use crate::ids::{
    AttemptDenied, AttemptId, AttemptOutcome, Idempotency, PartId, QueryId, RejectReason, ReplicaId,
    RequestClassId,
};
use crate::output::CoordinatorOutput;
use crate::rng::Rng;
use crate::time::{TimeSpan, Timestamp};

/// What a step leaves behind for when its alarm rings.
type Then = Box<dyn FnOnce(&mut Coordinator, &mut dyn CoordinatorOutput, Timestamp)>;
/// What a attempt leaves behind for its end.
type AfterCall = Box<dyn FnOnce(&mut Coordinator, &mut dyn CoordinatorOutput, Timestamp, AttemptOutcome)>;

/// Sums of weights may fall short by this much (a rule's own figure).
const SHORT: f64 = 1e-4;

/// One request class as told at start.
pub struct RequestClassConfig {
    /// What the request class is called: what was learned of it is taken over under this name alone.
    pub name: String,
    pub idempotency: Idempotency,
    pub idempotency_window: TimeSpan,
    pub latency_objective: TimeSpan,
    pub objective_stretch: f64,
    /// Share of the utility that an answer after the SLO time still earns; at 0 a query ends there.
    pub late_weight: f64,
    pub hard_limit: TimeSpan,
    pub complete_from: f64,
    pub partial_from: f64,
    pub has_second_step: bool,
}

struct RequestClassState {
    terms: RequestClassConfig,
    work: QuantileEstimator,
    /// Usual hint of a part, as a logarithm.
    hint: Option<f64>,
    /// How far clients are held to leave before their stated time, and how long they stay then.
    leaving: f64,
    stay: TimeSpan,
}

impl RequestClassState {
    /// Guards against clients that give up before the time they state (i85cd7c), or a front layer that does.
    /// Early leavers move the view by half, late ones by a tenth: the answer must be there before most go.
    fn left(&mut self, age: TimeSpan) {
        let newest = if age < self.stay { 0.5 } else { 0.1 };
        self.stay = if self.leaving < 0.1 { age } else { self.stay * (1.0 - newest) + age * newest };
        self.leaving += ReplicaState::NEWEST * (1.0 - self.leaving);
    }

    /// Answered or rejected at that age: near or past the time to stay, clients may stay longer than thought.
    /// Each answer speaks against leaving: one stray leaver and another a minute later were held for all.
    fn stayed(&mut self, age: TimeSpan) {
        let past = age > self.stay * 0.8;
        self.leaving *= if past { 0.9 } else { 0.98 };
        self.stay = self.stay * if past { 1.02 } else { 1.0 };
    }

    /// Work of a part; before any answer a tenth of the SLO time stands for it.
    fn usual_work(&self) -> f64 {
        self.work.0.unwrap_or(self.terms.latency_objective.as_secs_f64() * 0.1)
    }

    /// The time in which an answer counts: two clients of five leaving early are more than chance.
    fn counts(&self) -> TimeSpan {
        if self.leaving < 0.35 {
            self.terms.latency_objective
        } else {
            self.terms.latency_objective.min(self.stay * 0.9)
        }
    }
}

/// A quantile of what was seen, followed in small steps.
#[derive(Default)]
struct QuantileEstimator(Option<f64>);

impl QuantileEstimator {
    /// What a part takes with nothing in its way: waiting hardly enters, and a warm key does not set it.
    const LOW: f64 = 0.1;
    /// What one answer in seventy outlasts is overdue: with a thirtieth, quiet days paid for copies.
    const HIGH: f64 = 0.985;
    /// A step as a share of the mark: in a jam, where no answer is below, hundreds must come to double a low.
    const STEP: f64 = 0.03;

    fn see(&mut self, x: f64, rank: f64) {
        let mark = self.0.unwrap_or(x);
        self.0 =
            Some(mark * if x < mark { 1.0 - Self::STEP * (1.0 - rank) } else { 1.0 + Self::STEP * rank });
    }
}

/// Which replicas hold a shard, from cells in a ring, and how the cover is cut into calls.
/// The ring of cells and the limits of one call.
#[derive(Clone, Debug, Default)]
pub struct SetCoverConfig {
    /// Cells of the ring.
    pub cells: u32,
    /// Cells that hold one shard.
    pub cells_per_shard: u32,
    /// Most parts in one call.
    pub call_size: usize,
    /// Work of a call beside its parts'.
    pub call_cost: TimeSpan,
}

#[derive(Default)]
struct SetCover {
    cells: u32,
    span: u32,
    call_size: usize,
    call_cost: f64,
    /// Leaves by cell; made anew at each change of the list.
    by_cell: Vec<Vec<ReplicaId>>,
}

impl SetCover {
    /// Most rounds of one query in a turn (the design's k): more than 200 parts need where two go together.
    const ROUNDS: usize = 128;

    fn new(config: SetCoverConfig) -> SetCover {
        let SetCoverConfig { cells, cells_per_shard: span, call_size, call_cost } = config;
        let by_cell = vec![Vec::new(); cells as usize];
        SetCover { cells, span, call_size: call_size.max(1), call_cost: call_cost.as_secs_f64(), by_cell }
    }

    fn holds(&self, cell: u32, shard: u32) -> bool {
        (cell + self.cells - shard % self.cells) % self.cells < self.span
    }

    fn holders(&self, shard: u32) -> impl Iterator<Item = ReplicaId> + '_ {
        (0..self.span.min(self.cells))
            .flat_map(move |j| self.by_cell[((shard + j) % self.cells) as usize].iter().copied())
    }
}

/// What attempts, hedged requests and probes are allowed.
#[derive(Clone, Debug, Default)]
pub struct RetryPolicy {
    /// Most attempts of one part.
    pub max_attempts: u32,
    /// Whether a part may have several attempts out at a time.
    pub may_hedge: bool,
    /// Whether attempts out may be cancelled.
    pub may_cancel: bool,
    /// Whether load probes may be sent.
    pub may_probe: bool,
    /// Longest retry-after that may be stated; none where none may be.
    pub max_retry_after: Option<TimeSpan>,
    /// Longest time that an attempt may take to reach its replica.
    pub max_network_delay: TimeSpan,
}

/// All that a `Coordinator` is configured with, its request classes aside.
#[derive(Default)]
pub struct CoordinatorConfig {
    /// Source of all random choice.
    pub rng: Rng,
    /// The ring of cells and the limits of one call.
    pub set_cover: SetCoverConfig,
    /// Attempts beyond a part's first that are allowed.
    pub retry_budget: RetryBudgetConfig,
    /// Work that a replica just started may be sent.
    pub slow_start: SlowStartConfig,
    /// What attempts, hedged requests and probes are allowed.
    pub retry_policy: RetryPolicy,
    /// Whether the endpoint list is watched at start.
    pub watch_endpoints: bool,
    /// Longest time between an event and the `dispatch` after it.
    pub tick: TimeSpan,
}

/// A query that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct NewQuery {
    /// Its index, free until now.
    pub id: QueryId,
    /// Its request class.
    pub class: RequestClassId,
    /// Time until its client's deadline.
    pub time_left: TimeSpan,
    /// Hint of the work of all its parts, in the unit of the hints.
    pub work_hint: Option<f64>,
    /// Number of its parts.
    pub part_count: f64,
}

/// A part of a query that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// Its index, free until now.
    pub id: PartId,
    /// The query that it belongs to.
    pub query: QueryId,
    /// The shard that it reads.
    pub shard: u32,
    /// Its fraction of the whole answer.
    pub weight: f64,
    /// Hint of its work, in the unit of the hints.
    pub work_hint: Option<f64>,
}

/// A part out: its work, all own work ahead of its end as it went, and the call it shares.
struct OutstandingAttempt {
    at: Timestamp,
    work: f64,
    ahead: f64,
    call: (u64, usize),
}

/// What is known of one replica, from the list and from this co-ordinator's own calls.
#[derive(Default)]
struct ReplicaState {
    cell: u32,
    listed: bool,
    started: Option<Timestamp>,
    /// Parts out, by number of the attempt; emptied by their ends.
    out: BTreeMap<(PartId, u32), OutstandingAttempt>,
    /// The last turn that sent here, and how many parts: those share calls.
    joining: (u64, usize),
    faults: f64,
    /// Time lost behind others' work, beyond what own work ahead explains, and when last heard.
    lag: (f64, Timestamp),
    /// Last probe sent, and whether it is still out.
    probed: Option<(Timestamp, bool)>,
    /// Left out as faulty, and to be tried again from then on.
    trial_at: Option<Timestamp>,
    /// It stands for a cell of another site: what the hop there and back costs, none while nothing may go there.
    far: Option<Option<TimeSpan>>,
    /// Calls and probes in a row that it left without a word, and when it last gave one.
    mute: u32,
    heard: Option<Timestamp>,
    /// Where it stands; none where nobody says.
    zone: Option<zones::ZoneId>,
    /// Lag, work out and calls out as last worked out, and for when; void with each call or word.
    seen: Cell<Option<seen::Seen>>,
    /// Work sent while cold; emptied as it leaves the fail-back window.
    sent_cold: VecDeque<(Timestamp, f64)>,
}

/// A lag drains as time passes, as the queue behind it does.
fn drained((lag, at): (f64, Timestamp), now: Timestamp) -> f64 {
    (lag - (now - at).as_secs_f64()).max(0.0)
}

impl ReplicaState {
    /// Share of faults from which a replica is left out: two in a row; the stray error stays below.
    const FAULTY: f64 = 0.3;
    /// Weight of the newest answer in the share of faults and in the lag: five answers make a view.
    const NEWEST: f64 = 0.2;
    /// The same of a part cut off with its connection.
    const CUT: f64 = 0.03;
    /// Lag of a replica that turns a part away as full: about what a full waiting room takes to work off. Guards
    /// against storms of calls turned away in a millisecond and sent on to the next full replica (i695bd0).
    const FULL_LAG_S: f64 = 2.0;
    /// A faulty replica is tried again after this: short against a day's troubles, long against a part.
    const TRIAL_WAIT: TimeSpan = TimeSpan::from_millis(1000);
    /// What was heard of one replica counts for so long, then that of all: at a grown size one is met in half a minute.
    const KNOWN: TimeSpan = TimeSpan::from_millis(2000);

    /// The lag expected now: what was heard, drained, so that it is asked again (ie11df8), or what is out and late.
    fn lag_now(&self, now: Timestamp, rate: f64, usual: f64) -> f64 {
        let heard = if now - self.lag.1 < Self::KNOWN { drained(self.lag, now) } else { usual };
        self.out
            .values()
            .map(|o| (now - o.at - self.hop()).as_secs_f64() - rate * o.ahead)
            .fold(heard, f64::max)
    }

    /// What of an answer's time is the way, and not the replica's.
    fn hop(&self) -> TimeSpan {
        self.far.flatten().unwrap_or(TimeSpan::ZERO)
    }

    /// Own calls out; parts that share a call count once.
    fn calls(&self) -> BTreeSet<(u64, usize)> {
        self.out.values().map(|o| o.call).collect()
    }

    fn work_out(&self, call_cost: f64) -> f64 {
        self.out.values().map(|o| o.work).sum::<f64>() + call_cost * self.calls().len() as f64
    }
}

struct AttemptRecord {
    replica: ReplicaId,
    at: Timestamp,
    /// When the budget counts it: as it was decided, or as it began.
    counted: Timestamp,
    out: bool,
    never_ran: bool,
}

#[derive(Default)]
struct PartState {
    query: QueryId,
    class: RequestClassId,
    shard: u32,
    weight: f64,
    work: f64,
    sent: Vec<AttemptRecord>,
    waits: bool,
    done: bool,
    /// Replica calls that another site made for it, or may make.
    elsewhere: u32,
}

impl PartState {
    fn tried(&self) -> u32 {
        self.sent.len() as u32 + self.elsewhere
    }

    fn out(&self) -> usize {
        self.sent.iter().filter(|s| s.out).count()
    }
}

#[derive(Default)]
struct OpenQuery {
    serial: u64,
    class: RequestClassId,
    slo: Timestamp,
    /// From then on what is in is worth most: the answer has to travel.
    answer_by: Timestamp,
    ends: Timestamp,
    arrived: Timestamp,
    /// Hinted work of a mean part, and how large the query is taken to be against its request class's usual.
    a_part: Option<f64>,
    size: f64,
    parts: Vec<PartId>,
    in_weight: f64,
    in_parts: usize,
    /// 0 in the first step, 1 in the second; whether the first was whole.
    step: u8,
    first_whole: bool,
    /// The zone that it is meant for, where zones count.
    zone: Option<zones::ZoneId>,
    /// Asked by another site: further calls left of those it lends, and made.
    lent: Option<(u32, u32)>,
}

#[derive(Default)]
pub struct Coordinator {
    rng: Rng,
    cover: SetCover,
    budget: RetryBudget,
    slow_start: SlowStart,
    retry_policy: RetryPolicy,
    asks_list: bool,
    tick: TimeSpan,
    classes: Vec<RequestClassState>,
    /// One per replica listed or with calls out; emptied when it is off the list and its calls have ended.
    replicas: BTreeMap<ReplicaId, ReplicaState>,
    /// Open queries; emptied by their final answers.
    queries: BTreeMap<QueryId, OpenQuery>,
    /// Parts; emptied when their query has ended and their calls have.
    parts: BTreeMap<PartId, PartState>,
    /// What outstanding attempts left behind; emptied by their ends.
    calls: BTreeMap<(PartId, u32), AfterCall>,
    /// What alarms left behind; emptied as they ring, each set for a time that comes.
    alarms: BTreeMap<u64, Then>,
    marks: u64,
    turn: u64,
    /// Queries, the oldest first, some part of which may wait; each leaves at a turn that finds none.
    waiting: BTreeSet<(u64, QueryId)>,
    /// Time that most attempts end in, for a unit of work ahead.
    overdue: QuantileEstimator,
    /// Leaves listed, and work a second merged of late, when last counted.
    listed: usize,
    carried: (f64, Timestamp),
    /// Lag of late over all replicas, and when last heard.
    lag: (f64, Timestamp),
    /// Time a replica takes for a unit of work where nothing else is in its way.
    rate: QuantileEstimator,
    fill: f64,
    zones: zones::Zones,
    /// Until then some replica is cold; when a window began, and its lot, or what is saved for it until a lot is needed (below 0).
    cold_until: Timestamp,
    lot: (Timestamp, f64),
    moved: bool,
}

impl Coordinator {
    /// A coordinator without request classes or replicas.
    pub fn new(config: CoordinatorConfig) -> Coordinator {
        let (fill, overdue) = (Self::FIRST_FILL, QuantileEstimator(Some(Self::FIRST_OVERDUE)));
        Coordinator {
            rng: config.rng,
            cover: SetCover::new(config.set_cover),
            budget: RetryBudget::from_config(config.retry_budget),
            slow_start: SlowStart::new(config.slow_start),
            retry_policy: config.retry_policy,
            asks_list: config.watch_endpoints,
            tick: config.tick,
            overdue,
            fill,
            ..Coordinator::default()
        }
    }

    pub fn add_request_class(&mut self, terms: RequestClassConfig) {
        self.classes.push(RequestClassState {
            terms,
            work: QuantileEstimator(None),
            hint: None,
            leaving: 0.0,
            stay: TimeSpan::ZERO,
        });
    }

    fn mark(&mut self) -> u64 {
        self.marks += 1;
        self.marks
    }

    fn wake(&mut self, output: &mut dyn CoordinatorOutput, at: Timestamp, then: Then) {
        let label = self.mark();
        self.alarms.insert(label, then);
        output.set_timer(at, label);
    }

    pub fn timer_fired(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, label: u64) {
        if let Some(then) = self.alarms.remove(&label) {
            then(self, output, now);
        }
    }

    // The list of replicas.

    pub fn start(&mut self, output: &mut dyn CoordinatorOutput) {
        if self.asks_list {
            output.watch_endpoints();
        }
    }

    /// A whole list follows: what it does not name is gone.
    pub fn begin_endpoint_list(&mut self, whole: bool) {
        if whole {
            self.replicas.values_mut().for_each(|l| l.listed = false);
        }
    }

    pub fn list_replica(&mut self, id: ReplicaId, cell: u32, up: bool, started: Option<Timestamp>) {
        let state = self.replicas.entry(id).or_default();
        if started > state.started {
            // A new process: what was held against the old one is void, and it is cold.
            (state.faults, state.trial_at, state.mute, state.heard) = (0.0, None, 0, None);
        }
        (state.cell, state.listed, state.started) = (cell, up, started);
        self.cold_until =
            started.map_or(self.cold_until, |t| self.cold_until.max(t + self.slow_start.config.warm_up));
    }

    pub fn finish_endpoint_list(&mut self, output: &mut dyn CoordinatorOutput) {
        self.cover.by_cell.iter_mut().for_each(Vec::clear);
        for (&id, state) in self.replicas.iter().filter(|(_, l)| l.listed) {
            self.cover.by_cell[(state.cell % self.cover.cells) as usize].push(id);
        }
        self.listed = self.replicas.values().filter(|l| l.listed && l.far.is_none()).count();
        let gone = self.replicas.iter().filter(|(_, l)| !l.listed && l.out.is_empty()).map(|(&id, _)| id);
        for id in gone.collect::<Vec<_>>() {
            self.drop_replica(output, id);
        }
        self.moved = true;
    }

    fn drop_replica(&mut self, output: &mut dyn CoordinatorOutput, id: ReplicaId) {
        self.replicas.remove(&id);
        output.release_replica(id);
    }

    /// Subscriptions that broke are asked for again after this; the list's own calls take about so long.
    const WATCH_AGAIN: TimeSpan = TimeSpan::from_millis(2000);

    /// The list could not be had or the subscription broke; the old list stands.
    pub fn endpoint_list_failed(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        if self.asks_list {
            self.wake(output, now + Self::WATCH_AGAIN, Box::new(|_, output, _| output.watch_endpoints()));
        }
    }

    // Queries and parts.

    /// How far a hint's distance from the usual is believed: hints scatter threefold, times by half.
    const HINT_TRUST: f64 = 0.2;
    /// Weight of the newest hint in the usual one: some twenty queries make it.
    const HINT_STEP: f64 = 0.05;

    /// A query of `count` parts, with a hint of all their work if there is one.
    pub fn start_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, query: NewQuery) {
        let NewQuery { id, class: v, time_left: left, work_hint: work, part_count: count } = query;
        self.budget.record_admission(now);
        let class = &mut self.classes[v.0 as usize];
        let a_part = work.map(|w| w / count.max(1.0)).filter(|&w| w > 0.0);
        if let Some(hint) = a_part {
            let usual = class.hint.get_or_insert(hint.ln());
            *usual += Self::HINT_STEP * (hint.ln() - *usual);
        }
        let size = a_part.map_or(1.0, |h| ((h.ln() - class.hint.unwrap_or(h.ln())) * Self::HINT_TRUST).exp());
        let terms = &class.terms;
        let stretch = TimeSpan::from_secs_f64(terms.objective_stretch * work.unwrap_or(0.0));
        let ends = now + left;
        // Clients that come with little time left count until then: all shares of the SLO time are of that.
        let slo = (now + (class.counts() + stretch).min(terms.hard_limit)).min(ends);
        let answer_by = (slo - self.tick * 3.0).min(ends - self.tick);
        let serial = self.mark();
        self.count_asked(v.0 as usize, count);
        let zone = self.meant_for();
        let open = OpenQuery {
            serial,
            class: v,
            slo,
            answer_by,
            ends,
            arrived: now,
            a_part,
            size,
            ..OpenQuery::default()
        };
        self.queries.insert(id, OpenQuery { first_whole: true, zone, ..open });
        if self.turned_away(v.0 as usize) {
            return self.give_up(output, now, id, RejectReason::ZoneOverCapacity);
        }
        self.tend(output, now, id, serial);
    }

    /// One part of the query just started.
    pub fn add_part(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, part: NewPart) {
        let NewPart { id, query, shard, weight, work_hint: work } = part;
        let Some(open) = self.queries.get_mut(&query) else { return output.release_part(id) };
        if open.lent.is_none() {
            self.budget.record_admission(now);
        }
        open.parts.push(id);
        // Hints compare parts well, but queries badly: work is the request class's usual, by the share of the query's hint.
        let usual = self.classes[open.class.0 as usize].usual_work();
        let share = work.zip(open.a_part).map_or(1.0, |(part, mean)| (part / mean).clamp(0.2, 5.0));
        let work = usual * share * open.size;
        let class = open.class;
        let part = PartState { query, class, shard, weight, work, waits: true, ..PartState::default() };
        self.parts.insert(id, part);
        self.waiting.insert((self.queries[&query].serial, query));
        self.moved = true;
    }

    /// Whether a replica can be meant for parts of that query at all.
    fn reached(&self, replica: ReplicaId, lent: bool) -> bool {
        self.replicas[&replica].far.is_none_or(|hop| hop.is_some() && !lent) && !self.is_shut(replica)
    }

    fn terms(&self, open: &OpenQuery) -> &RequestClassConfig {
        &self.classes[open.class.0 as usize].terms
    }

    /// Weight needed for any answer and for a whole one, in the step the query is in.
    fn bounds(&self, open: &OpenQuery) -> (f64, f64) {
        let terms = self.terms(open);
        let need = if open.step == 0 { terms.complete_from } else { 1.0 };
        (
            if terms.partial_from < terms.complete_from { terms.partial_from } else { need } - SHORT,
            need - SHORT,
        )
    }

    /// Rule 5: whether the parts that are in allow an answer, and a whole one.
    fn answer(&self, open: &OpenQuery) -> (bool, bool) {
        let (floor, need) = self.bounds(open);
        let all = open.step == 0 || open.first_whole && open.in_parts == open.parts.len();
        let any = open.in_parts > 0 && open.in_weight >= floor;
        (any, any && all && open.in_weight >= need)
    }

    fn merge(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        whole: bool,
        last: bool,
    ) {
        output.answer(id, whole);
        let (class, age) = (self.queries[&id].class, now - self.queries[&id].arrived);
        self.classes[class.0 as usize].stayed(age);
        self.judge(now <= self.queries[&id].slo);
        let second = self.terms(&self.queries[&id]).has_second_step;
        let open = self.queries.get_mut(&id).expect("merged queries are open");
        if second && open.step == 0 {
            (open.step, open.first_whole, open.in_weight, open.in_parts) = (1, whole, 0.0, 0);
            let parts = std::mem::take(&mut open.parts);
            self.drop_parts(output, parts);
            if last {
                self.give_up(output, now, id, RejectReason::DeadlineExceeded);
            }
            return;
        }
        self.end(output, id);
    }

    /// Final, at once: rejected where asking again is harmless, saying when to come back where allowed;
    /// aborted otherwise (rule 2). Guards against a client asking again at once into the same jam.
    fn give_up(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: QueryId,
        why: RejectReason,
    ) {
        let open = &self.queries[&id];
        // Guards against a time to stay held too short for any answer: then only rejections tell who stayed.
        self.classes[open.class.0 as usize].stayed(now - open.arrived);
        let idempotency = self.terms(open).idempotency;
        let unrun = |p: &PartId| self.parts[p].sent.iter().all(|s| s.never_ran);
        let begun = open.parts.iter().any(|p| !self.parts[p].sent.is_empty());
        if idempotency == Idempotency::Idempotent || open.parts.iter().all(unrun) {
            output.reject(id, self.waited(open.class), why);
        } else {
            output.abort(id, why);
        }
        if begun {
            self.judge(false);
        }
        self.end(output, id);
    }

    /// A query that another process held when it died: the time to stay away if rejected, none if aborted (rule 2).
    pub fn retry_after_if_lost(&self, v: RequestClassId) -> Option<TimeSpan> {
        (self.classes[v.0 as usize].terms.idempotency == Idempotency::Idempotent).then(|| self.waited(v))
    }

    /// When to come back: the patience for first calls, within what clients honour; none where not allowed.
    fn waited(&self, v: RequestClassId) -> TimeSpan {
        let most = self.retry_policy.max_retry_after.unwrap_or(TimeSpan::ZERO);
        (self.classes[v.0 as usize].terms.latency_objective * Self::WAIT_SHARE).min(most)
    }

    /// What waits at a replica may fill this share of the time left: room for spread, and replicas kept busy. It settles
    /// where one begun query in fifteen to twenty is late; first low, as reports of a jam come late and to all.
    const FILL: (f64, f64) = (0.2, 0.7);
    const FIRST_FILL: f64 = 0.25;

    fn judge(&mut self, in_time: bool) {
        let fill = if in_time { self.fill + 0.01 } else { self.fill * 0.8 };
        self.fill = fill.clamp(Self::FILL.0, Self::FILL.1);
    }

    fn end(&mut self, output: &mut dyn CoordinatorOutput, id: QueryId) {
        let open = self.queries.remove(&id).expect("ended queries are open");
        self.drop_parts(output, open.parts);
        output.release_query(id);
    }

    fn drop_parts(&mut self, output: &mut dyn CoordinatorOutput, parts: Vec<PartId>) {
        for id in parts {
            self.withdraw(output, id);
            let part = self.parts.get_mut(&id).expect("parts outlive their query");
            (part.waits, part.done) = (false, true);
            self.free_part(output, id);
        }
    }

    fn withdraw(&mut self, output: &mut dyn CoordinatorOutput, id: PartId) {
        if self.retry_policy.may_cancel {
            for (nth, _) in self.parts[&id].sent.iter().enumerate().filter(|(_, s)| s.out) {
                output.cancel_attempt(AttemptId { part: id, number: nth as u32 });
            }
        }
    }

    /// A part is let go of when its query has ended (or moved on) and none of its calls is out.
    fn free_part(&mut self, output: &mut dyn CoordinatorOutput, id: PartId) {
        let part = &self.parts[&id];
        let held = self.queries.get(&part.query).is_some_and(|q| q.parts.contains(&id));
        if !held && part.out() == 0 {
            self.parts.remove(&id);
            output.release_part(id);
        }
    }

    /// The client is gone, or the outside ended the query.
    pub fn cancel_query(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId) {
        if let Some(open) = self.queries.get(&id) {
            let (class, age) = (&mut self.classes[open.class.0 as usize], now - open.arrived);
            if age < class.terms.latency_objective {
                class.left(age);
            }
            self.end(output, id);
        }
    }

    // Replica calls.

    /// Rules 1, 2 and 6 for one more attempt of the part.
    fn may_go(&mut self, now: Timestamp, id: PartId) -> bool {
        let lent = self.queries.get(&self.parts[&id].query).and_then(|q| q.lent);
        let further = |coordinator: &mut Coordinator| {
            lent.map_or_else(|| coordinator.budget.remaining(now), |(n, _)| f64::from(n)) >= 1.0
        };
        self.could_go(now, id) && (self.parts[&id].sent.is_empty() || further(self))
    }

    /// Rule 2 for that call of the part's, also as it goes out: a repeat counts as it comes to the replica, to none that knows it.
    fn may_begin(&self, now: Timestamp, id: PartId, nth: u32) -> bool {
        let part = &self.parts[&id];
        let risky = part.sent.iter().take(nth as usize).find(|s| !s.never_ran).map(|s| s.at);
        let terms = &self.classes[part.class.0 as usize].terms;
        match (terms.idempotency, risky) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotentByKey, Some(first)) => {
                now - first + self.retry_policy.max_network_delay < terms.idempotency_window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// The call's first byte is about to be written: rule 2 as it stands now, and rule 6 by what has gone out. To be asked once
    /// for each call, by hosts whose calls may wait before they go out; with others they begin as they are decided.
    pub fn begin_attempt(&mut self, now: Timestamp, attempt: AttemptId) -> Result<(), AttemptDenied> {
        let AttemptId { part: id, number: nth } = attempt;
        if !self.may_begin(now, id, nth) {
            return Err(AttemptDenied::RepeatForbidden);
        }
        let part = &self.parts[&id];
        let lent = self.queries.get(&part.query).is_some_and(|q| q.lent.is_some());
        if nth == 0 || lent {
            return Ok(());
        }
        if !self.budget.begins(part.sent[nth as usize].counted, now) {
            return Err(AttemptDenied::RetryBudgetSpent);
        }
        let part = self.parts.get_mut(&id).expect("calls that begin have their parts");
        // It may be taken back and begin once more.
        part.sent[nth as usize].counted = now;
        Ok(())
    }

    /// Rules 1 and 2 alone: an exhausted budget refills.
    fn could_go(&self, now: Timestamp, id: PartId) -> bool {
        let part = &self.parts[&id];
        let Some(open) = self.queries.get(&part.query) else { return false };
        self.may_begin(now, id, part.sent.len() as u32)
            && !part.done
            && now < open.ends - self.tick
            && part.tried() < self.retry_policy.max_attempts
            && (part.out() == 0 || self.retry_policy.may_hedge)
    }

    fn send_attempt(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: PartId,
        replica: ReplicaId,
    ) {
        let part = self.parts.get_mut(&id).expect("sent parts are held");
        let open = self.queries.get_mut(&part.query).expect("parts that may go have open queries");
        let nth = part.sent.len() as u32;
        match open.lent.as_mut().filter(|_| nth > 0) {
            Some((left, made)) => (*left, *made) = (left.saturating_sub(1), *made + 1),
            None if nth > 0 => self.budget.spend(now),
            None => {}
        }
        part.sent.push(AttemptRecord { replica, at: now, counted: now, out: true, never_ran: false });
        part.waits = false;
        let (work, ends) = (part.work, open.ends);
        let state = self.replicas.get_mut(&replica).expect("candidates are held");
        let before = if state.joining.0 == self.turn { state.joining.1 } else { 0 };
        state.joining = (self.turn, before + 1);
        let call = (self.turn, before / self.cover.call_size);
        state.out.insert((id, nth), OutstandingAttempt { at: now, work, ahead: 0.0, call });
        let ahead = state.work_out(self.cover.call_cost);
        state.out.get_mut(&(id, nth)).expect("just sent").ahead = ahead;
        state.seen.take();
        if self.slow_start.is_cold(state.started, now) {
            state.sent_cold.retain(|(t, _)| now - *t <= self.slow_start.config.window);
            state.sent_cold.push_back((now, work + self.cover.call_cost));
        }
        self.count_crossing(replica);
        output.send_attempt(id, replica, ends);
        let after: AfterCall = Box::new(move |coordinator, output, now, outcome| {
            coordinator.learn(output, now, replica, id, nth, outcome);
            coordinator.proceed(output, now, id, nth, outcome);
        });
        self.calls.insert((id, nth), after);
    }

    pub fn attempt_ended(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let AttemptId { part: id, number: nth } = attempt;
        if let Some(after) = self.calls.remove(&(id, nth)) {
            after(self, output, now, outcome);
        }
    }

    /// Weight of the newest answer in the lag of all replicas: one query's answers make it.
    const NEWEST_OF_ALL: f64 = 0.03;

    /// What the end of a attempt tells of the replica, whether or not the query still waits for it.
    fn learn(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        replica: ReplicaId,
        part: PartId,
        nth: u32,
        outcome: AttemptOutcome,
    ) {
        let class = self.parts[&part].class;
        self.count_ended(replica, outcome);
        let carried = self.carried_now(now);
        let state = self.replicas.get_mut(&replica).expect("leaves outlive their calls");
        let OutstandingAttempt { at, work, ahead, .. } =
            state.out.remove(&(part, nth)).expect("calls out are listed");
        state.seen.take();
        let overdue = TimeSpan::from_secs_f64(ahead * self.overdue.0.unwrap_or(1.0)) + Self::GRACE;
        state.word(now, outcome, now - at > overdue);
        match outcome {
            AttemptOutcome::Success => {
                let took = (now - at - state.hop()).as_secs_f64().max(1e-6);
                let pace = (took / ahead.max(1e-3)).min(20.0);
                state.faults *= 1.0 - ReplicaState::NEWEST;
                state.trial_at = state.trial_at.filter(|_| state.faults >= ReplicaState::FAULTY);
                // What a far site takes beside its hop is its lag; it tells nothing of how replicas work.
                let far = state.far.is_some();
                let rate = self.rate.0.unwrap_or(if far { 1.0 } else { pace });
                let lag = (took - rate * ahead).max(0.0);
                let known = if far { state.lag.0 } else { state.lag_now(now, rate, drained(self.lag, now)) };
                state.lag = (known + ReplicaState::NEWEST * (lag - known), now);
                if !far {
                    self.lag = (self.lag.0 + Self::NEWEST_OF_ALL * (lag - self.lag.0), now);
                    self.overdue.see(pace, QuantileEstimator::HIGH);
                    self.rate.see(pace, QuantileEstimator::LOW);
                    self.carried = (carried + work / Self::FADE_S, now);
                    // Only what had nothing of ours before it tells a part's own work.
                    if ahead < (work + self.cover.call_cost) * 1.01 {
                        let own = (took - self.cover.call_cost).max(took * 0.1);
                        self.classes[class.0 as usize].work.see(own, QuantileEstimator::LOW);
                    }
                }
            }
            // A cut says little: some replicas close connections often, and one that is gone gives no route.
            AttemptOutcome::Fault | AttemptOutcome::Disconnected => {
                let newest = if outcome == AttemptOutcome::Disconnected {
                    ReplicaState::CUT
                } else {
                    ReplicaState::NEWEST
                };
                state.faults += newest * (1.0 - state.faults);
                if state.faults >= ReplicaState::FAULTY {
                    state.trial_at = Some(now + ReplicaState::TRIAL_WAIT);
                }
            }
            AttemptOutcome::Unreachable => {
                state.faults = state.faults.max(2.0 * ReplicaState::FAULTY);
                state.trial_at = Some(now + ReplicaState::TRIAL_WAIT);
            }
            AttemptOutcome::NoCapacity => state.lag = (ReplicaState::FULL_LAG_S, now),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
        if !state.listed && state.out.is_empty() {
            self.drop_replica(output, replica);
        }
        self.moved = true;
    }

    /// What the end of a attempt means for its query.
    fn proceed(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        id: PartId,
        nth: u32,
        outcome: AttemptOutcome,
    ) {
        let part = self.parts.get_mut(&id).expect("parts outlive their calls");
        let sent = &mut part.sent[nth as usize];
        sent.out = false;
        sent.never_ran = matches!(
            outcome,
            AttemptOutcome::NoCapacity | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent
        );
        if part.done {
            return self.free_part(output, id);
        }
        if outcome != AttemptOutcome::Success {
            let query = part.query;
            if part.out() == 0 {
                part.waits = true;
                self.waiting.extend(self.queries.get(&query).map(|q| (q.serial, query)));
            }
            return self.check_hope(output, now, query);
        }
        (part.done, part.waits) = (true, false);
        let (query, weight) = (part.query, part.weight);
        self.withdraw(output, id);
        let open = self.queries.get_mut(&query).expect("unfinished parts have open queries");
        open.in_weight += weight;
        open.in_parts += 1;
        let open = &self.queries[&query];
        let (any, whole) = self.answer(open);
        if whole || any && (now >= open.answer_by || open.parts.iter().all(|p| self.parts[p].done)) {
            self.merge(output, now, query, whole, false);
        }
    }

    /// Ends the query at once when the parts that can still come in do not reach an answer.
    fn check_hope(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, query: QueryId) {
        let open = &self.queries[&query];
        let may_come = |p: &&PartId| self.parts[p].done || self.parts[p].out() > 0 || self.could_go(now, **p);
        let hope: f64 = open.parts.iter().filter(may_come).map(|p| self.parts[p].weight).sum();
        if hope < self.bounds(open).0 {
            self.give_up(output, now, query, RejectReason::AnswerUnreachable);
        }
    }

    // Probes.

    /// A report is good for so long: replicas make theirs anew about as often.
    const FRESH: TimeSpan = TimeSpan::from_millis(300);
    /// A probe out for longer is held to be unanswered: several times the way there and back.
    const PROBE_WAIT: TimeSpan = TimeSpan::from_millis(30);

    fn holders(&self, parts: &[PartId]) -> BTreeSet<ReplicaId> {
        parts.iter().flat_map(|p| self.cover.holders(self.parts[p].shard)).collect()
    }

    /// Probes the holders of the parts that have not reported of late; true once all have, or won't. Guards
    /// against others' load, slow and silent replicas, which one co-ordinator of many sees too rarely.
    fn scouted(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, parts: &[PartId]) -> bool {
        let (mut sent, mut all) = (false, true);
        // Far sites are measured on their links.
        let near = |l: &ReplicaId| self.replicas[l].far.is_none();
        for replica in self.holders(parts).into_iter().filter(near).collect::<Vec<_>>() {
            let state = self.replicas.get_mut(&replica).expect("holders are held");
            if state.probed.is_none_or(|(at, _)| now - at >= Self::FRESH) {
                state.asks_again(now);
                output.send_load_probe(replica);
                sent = true;
            }
            all &= state.probed.is_some_and(|(at, out)| !out || now - at >= Self::PROBE_WAIT);
        }
        if sent {
            self.wake(output, now + Self::PROBE_WAIT, Box::new(|coordinator, _, _| coordinator.moved = true));
        }
        all
    }

    pub fn load_probe_ended(&mut self, now: Timestamp, replica: ReplicaId, outcome: AttemptOutcome) {
        let Some(state) = self.replicas.get_mut(&replica) else { return };
        state.word(now, outcome, false);
        match outcome {
            AttemptOutcome::TimedOut => {}
            AttemptOutcome::Unreachable => state.trial_at = Some(now + ReplicaState::TRIAL_WAIT),
            _ => state.probed = state.probed.map(|(at, _)| (at, false)),
        }
        self.moved = true;
    }

    pub fn load_report(
        &mut self,
        now: Timestamp,
        replica: ReplicaId,
        waiting: Option<f64>,
        in_hand: Option<f64>,
    ) {
        let (Some(state), Some(held)) = (self.replicas.get_mut(&replica), in_hand.or(waiting)) else {
            return;
        };
        let usual: f64 = self.classes.iter().map(RequestClassState::usual_work).sum();
        let a_part = usual / self.classes.len().max(1) as f64 * self.rate.0.unwrap_or(1.0);
        let others = (held - state.out.len() as f64).max(0.0);
        // Reports that come with answers are older than the answer itself: only a probe's sets the lag.
        state.seen.take();
        state.lag = if self.retry_policy.may_probe { (others * a_part, now) } else { state.lag };
    }

    // The cover.

    /// Places what waits. Once a moment, after its events, so that what came together shares calls.
    pub fn dispatch(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp) {
        if !std::mem::take(&mut self.moved) {
            return;
        }
        self.turn += 1;
        for (serial, query) in self.waiting.clone() {
            let open = self.queries.get(&query).filter(|q| q.serial == serial).map_or(&[][..], |q| &q.parts);
            let waits: Vec<PartId> = open.iter().copied().filter(|p| self.parts[p].waits).collect();
            if waits.is_empty() {
                self.waiting.remove(&(serial, query));
            } else {
                self.place(output, now, query, waits);
            }
        }
    }

    /// What a replica should answer within this share of the SLO time is never cut: there the design's plain
    /// cover saves calls and holds nobody up. A twentieth earned no more and a fifth cost 0.03.
    const SOON_SHARE: f64 = 0.1;
    /// A holder later by more than this share of the SLO time is no candidate: coverage decides among the about as free.
    const BEHIND_SHARE: f64 = 0.05;
    /// A second copy must promise an answer within this share of the first one's age: else it only adds to the jam.
    const COPY_SHARE: f64 = 0.5;

    /// The modified greedy set cover of the design page over the parts given, all of one query. A query's
    /// first calls go only when those of parts enough for an answer can: else the work is lost.
    fn place(
        &mut self,
        output: &mut dyn CoordinatorOutput,
        now: Timestamp,
        query: QueryId,
        parts: Vec<PartId>,
    ) {
        let mut uncovered: Vec<PartId> = parts.into_iter().filter(|&p| self.may_go(now, p)).collect();
        let windows =
            (now - self.lot.0).as_secs_f64() / self.slow_start.config.window.as_secs_f64().max(1e-6);
        if windows > 1.0 {
            self.lot = (now, -windows.min(SlowStart::SAVED));
        }
        if now < self.cold_until && self.lot.1 < 0.0 {
            self.lot.1 = self.rng.fraction() / -self.lot.1;
        }
        let open = &self.queries[&query];
        let fresh = open.parts.iter().all(|p| self.parts[p].sent.is_empty());
        let behind = (open.slo - open.arrived) * Self::BEHIND_SHARE;
        // Probes have their price: none for first calls while replicas that answered came to work in time.
        let soon = (open.slo - open.arrived) * Self::SOON_SHARE;
        let calm = fresh && self.lag.0 < soon.as_secs_f64() && now - self.lag.1 < ReplicaState::KNOWN;
        if self.retry_policy.may_probe && !calm && !self.scouted(output, now, &uncovered) {
            return;
        }
        let open = &self.queries[&query];
        let due = if now < open.slo { open.slo } else { open.ends };
        let (left, (floor, need)) = (due - now, self.bounds(open));
        let level = self.level(now, &uncovered).max(soon);
        let (rate, usual) = (self.rate.0.unwrap_or(1.0), drained(self.lag, now));
        let mut plan = Plan::new();
        let mut stuck = 0.0;
        for _ in 0..SetCover::ROUNDS {
            if uncovered.is_empty() {
                break;
            }
            let first = uncovered[self.rng.below(uncovered.len())];
            let oldest = self.parts[&first].sent.iter().filter(|s| s.out).map(|s| now - s.at).max();
            let most = oldest.map_or(left, |age| age * Self::COPY_SHARE).min(left * Self::FILL.1);
            // Guards against parts that only add to an answer and take a jammed replica from queries that need theirs.
            let spared = floor < need && 1.0 - stuck - self.parts[&first].weight >= floor;
            let mut covers: Vec<(ReplicaId, Vec<PartId>)> = Vec::new();
            let mut who = self.candidates(now, first, &plan);
            let ready = |l: ReplicaId| self.expected(now, l, &plan)(0.0) + self.crossing(l, query);
            let least = who.iter().map(|(l, _)| ready(*l)).min().unwrap_or_default();
            who.retain(|(l, _)| ready(*l) <= least + behind);
            for (replica, room) in who {
                let mut bundle = self.bundle(replica, room, first, &uncovered);
                let takes = self.expected(now, replica, &plan);
                // What waits there may fill a share of the time left beside this query's own work.
                let waits = self.expected(now, replica, &Plan::new())(0.0);
                let span = most.min(left - waits * (1.0 / self.fill - 1.0));
                if spared && waits > soon {
                    continue;
                }
                let sums = self.sums(&bundle);
                // A query is as slow as its slowest bundle; a replica late even for one part is left out.
                while bundle.len() > 1 && takes(sums[bundle.len() - 1]) > span.min(level) {
                    bundle.pop();
                }
                if takes(sums[bundle.len() - 1]) <= span {
                    covers.push((replica, bundle));
                }
            }
            let best = covers.iter().map(|(_, b)| b.len()).max();
            covers.retain(|(_, b)| Some(b.len() + 1) >= best);
            let calls = |l: &ReplicaId| {
                let planned = plan.get(l).map_or(0, |b| b.len().div_ceil(self.cover.call_size));
                self.replicas[l].seen(now, rate, usual, self.cover.call_cost).2 + planned
            };
            let Some(fewest) = covers.iter().map(|(l, _)| calls(l)).min() else {
                // Nobody can take it now; it waits for a later turn.
                stuck += self.parts[&first].weight;
                uncovered.retain(|&p| p != first);
                continue;
            };
            covers.retain(|(l, _)| calls(l) == fewest);
            let (replica, bundle) = covers.swap_remove(self.rng.below(covers.len()));
            uncovered.retain(|p| !bundle.contains(p));
            plan.entry(replica).or_default().extend(bundle);
        }
        self.moved |= !uncovered.is_empty();
        if fresh && 1.0 - stuck < self.bounds(&self.queries[&query]).0 {
            return;
        }
        for (replica, bundle) in plan {
            for id in bundle {
                if self.may_go(now, id) {
                    self.send_attempt(output, now, id, replica);
                }
            }
        }
    }

    /// When all holders of the parts would have answered if the work could be spread evenly over them.
    fn level(&self, now: Timestamp, parts: &[PartId]) -> TimeSpan {
        let lent = parts.first().is_some_and(|p| self.queries[&self.parts[p].query].lent.is_some());
        let reached = |l: &ReplicaId| self.reached(*l, lent) && self.replicas[l].trial_at.is_none();
        let usable = self.holders(parts).into_iter().filter(reached);
        let mut ready: Vec<f64> =
            usable.map(|l| self.expected(now, l, &Plan::new())(0.0).as_secs_f64()).collect();
        ready.sort_by(f64::total_cmp);
        let (mut sum, mut level) = (self.work(parts) * self.rate.0.unwrap_or(1.0), f64::INFINITY);
        for (n, at) in ready.into_iter().enumerate() {
            if at >= level {
                break;
            }
            sum += at;
            level = sum / (n + 1) as f64;
        }
        TimeSpan::from_secs_f64(level.min(1e6))
    }

    /// When the replica should have answered so much more work on top of what is planned for it.
    fn expected(&self, now: Timestamp, replica: ReplicaId, plan: &Plan) -> impl Fn(f64) -> TimeSpan + use<> {
        let (state, cost) = (&self.replicas[&replica], self.cover.call_cost);
        let rate = self.rate.0.unwrap_or(1.0);
        let (lag, out, _) = state.seen(now, rate, drained(self.lag, now), cost);
        let (before, hop) =
            (out + plan.get(&replica).map_or(0.0, |b| self.work(b) + cost) + cost, state.hop());
        move |work| TimeSpan::from_secs_f64(lag + rate * (before + work)) + hop
    }

    /// Parts that the replica would take along with `first`, within its room for work.
    fn bundle(&self, replica: ReplicaId, room: f64, first: PartId, uncovered: &[PartId]) -> Vec<PartId> {
        let cell = self.replicas[&replica].cell;
        let mut bundle = vec![first];
        let mut left = room - self.parts[&first].work - self.cover.call_cost;
        for &id in uncovered.iter().filter(|&&id| id != first) {
            let part = &self.parts[&id];
            let may = self.cover.holds(cell, part.shard) && part.sent.iter().all(|s| s.replica != replica);
            if may && part.work <= left {
                left -= part.work;
                bundle.push(id);
            }
        }
        bundle
    }

    /// Holders of the part's shard that are candidates, each with its room for work (the first part always
    /// fits). Narrowed in turn, where somebody is left: not asked already; not silent; not faulty of late.
    /// Never one waited for, or so cold that it has had its allowance.
    fn candidates(&self, now: Timestamp, id: PartId, plan: &Plan) -> Vec<(ReplicaId, f64)> {
        let part = &self.parts[&id];
        let mut who: Vec<ReplicaId> = self.cover.holders(part.shard).collect();
        let lent = self.queries[&part.query].lent.is_some();
        who.retain(|l| self.reached(*l, lent) && !part.sent.iter().any(|s| s.replica == *l && s.out));
        let narrow = |who: &mut Vec<ReplicaId>, keep: &dyn Fn(&ReplicaId) -> bool| {
            if who.iter().any(keep) {
                who.retain(keep);
            }
        };
        narrow(&mut who, &|l| part.sent.iter().all(|s| s.replica != *l));
        // Silent to a probe: gone, standing still, or out of reach.
        let silent = |(at, out): (Timestamp, bool)| out && now - at >= Self::PROBE_WAIT;
        narrow(&mut who, &|l| !self.replicas[l].probed.is_some_and(silent));
        // Also where over half of the replicas look bad: they may be bad for this co-ordinator alone.
        narrow(&mut who, &|l| self.replicas[l].trial_at.is_none_or(|t| t <= now));
        let room = |replica: ReplicaId| {
            let state = &self.replicas[&replica];
            let a_replica = self.carried_now(now) / self.listed.max(1) as f64;
            let lot = self.lot.1 * part.work;
            let room = self.slow_start.room(state.started, now, a_replica, lot, &state.sent_cold);
            if room < f64::INFINITY && plan.contains_key(&replica) { 0.0 } else { room }
        };
        who.into_iter().map(|l| (l, room(l))).filter(|(_, room)| *room > 0.0).collect()
    }

    /// Fading time of the carried rate: about the span of a burst.
    const FADE_S: f64 = 8.0;

    fn carried_now(&self, now: Timestamp) -> f64 {
        self.carried.0 * (-(now - self.carried.1).as_secs_f64() / Self::FADE_S).exp()
    }

    /// Between two looks at a query: a few ticks, far below any SLO time.
    const REVIEW: TimeSpan = TimeSpan::from_millis(50);

    /// Where the mark for overdue calls starts: a small part's work and a replica's standstill fit below.
    const FIRST_OVERDUE: f64 = 3.0;
    /// With so many of a query's parts in, a call out for this share of the SLO time is overdue whatever
    /// others took: where many calls are never answered the mark runs away (id3caa8).
    const MOST_IN: f64 = 0.9;
    const LATEST_SHARE: f64 = 0.35;
    /// Part of a healthy replica's standstill, on top of that: quiet days paid for copies without it.
    const GRACE: TimeSpan = TimeSpan::from_millis(100);
    /// Of an SLO time, the share up to which a query may wait for its first calls before it is turned away.
    const WAIT_SHARE: f64 = 0.1;

    /// Looks after one query until it ends: the best answer its parts allow when the SLO time or the client's
    /// is all but here (rule 1 hangs on this alone, whatever comes of the calls); no waiting for first calls
    /// beyond patience; second copies of what is overdue, through the same cover.
    fn tend(&mut self, output: &mut dyn CoordinatorOutput, now: Timestamp, id: QueryId, serial: u64) {
        let Some(open) = self.queries.get(&id).filter(|q| q.serial == serial) else { return };
        let (end, answer_by) = (open.ends - self.tick, open.answer_by);
        let patience = (open.slo - open.arrived) * Self::WAIT_SHARE;
        let few = open.in_parts as f64 >= open.parts.len() as f64 * Self::MOST_IN;
        let latest = (open.slo - open.arrived) * if few { Self::LATEST_SHARE } else { 1.0 };
        let unsent = |p: &PartId| self.parts[p].sent.is_empty();
        // Past the SLO time a request class that earns nothing late is only work and a client held.
        let worthless = self.terms(open).late_weight <= 0.0 && now >= open.slo;
        let (any, whole) = self.answer(open);
        if any && now >= answer_by {
            self.merge(output, now, id, whole, now >= end);
        } else if now >= end {
            self.give_up(output, now, id, RejectReason::DeadlineExceeded);
        } else if worthless {
            self.give_up(output, now, id, RejectReason::ObjectiveMissed);
        } else if now - open.arrived > patience && open.parts.iter().all(unsent) {
            self.give_up(output, now, id, RejectReason::NoReplicaInTime);
        }
        let Some(open) = self.queries.get(&id) else { return };
        for part in if now < open.slo { open.parts.clone() } else { Vec::new() } {
            let state = &self.parts[&part];
            let Some(nth) = state.sent.iter().rposition(|s| s.out) else { continue };
            let out = &self.replicas[&state.sent[nth].replica].out[&(part, nth as u32)];
            let late = now - out.at
                > (TimeSpan::from_secs_f64(out.ahead * self.overdue.0.unwrap_or(1.0)) + Self::GRACE)
                    .min(latest)
                    + self.replicas[&state.sent[nth].replica].hop();
            if late && !state.waits && self.may_go(now, part) {
                self.waiting.insert((serial, id));
                self.parts.get_mut(&part).expect("open queries hold their parts").waits = true;
            }
        }
        self.moved = true;
        let next = [now + Self::REVIEW, answer_by, end].into_iter().filter(|&t| t > now).min();
        let then: Then = Box::new(move |coordinator, output, now| coordinator.tend(output, now, id, serial));
        self.wake(output, next.expect("the next look is ahead"), then);
    }
}

/// What a cover gives to each replica before anything is sent.
type Plan = BTreeMap<ReplicaId, Vec<PartId>>;

#[cfg(test)]
mod config_form;
