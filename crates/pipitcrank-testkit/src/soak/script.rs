//! The troubles of a soak test. Several lanes play one after another each, so that as many troubles as there are lanes
//! overlap; what each lane plays, on whom and for how long follows from the seed alone.

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::task::JoinSet;

use super::Size;
use super::cluster::{GRACE, Node, SoakCluster};
use crate::client::connect;
use crate::link::LinkConditions;
use crate::process::Process;
use crate::replica::ReplicaBehavior;
use crate::syscall_faults::SyscallFault;

/// Longest time from a start until it serves that a soak waits.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Restart,
    Kill,
    Reload,
    Reloads,
    Pause,
    ReplicaHangs,
    ReplicaFails,
    ReplicaResets,
    ReplicaBusy,
    ReplicaGarbles,
    ReplicaSlow,
    ReplicaReplaced,
    Drain,
    WayStalls,
    WayBreaks,
    DiscoveryStalls,
    DiscoveryBreaks,
    DiscoveryDown,
    ShortReads,
    ShortWrites,
    AcceptProbe,
    Sockets,
    Connects,
    Interrupts,
    Broken,
    Holds,
    WallSteps,
    Flood,
    RestartWhileAcceptsFail,
    StartWhileBindsFail,
    ReloadWhileOpensFail,
    StepThenReplace,
}

pub const FAULT_KINDS: [(FaultKind, &str); 32] = [
    (FaultKind::Restart, "restart"),
    (FaultKind::Kill, "kill"),
    (FaultKind::Reload, "reload"),
    (FaultKind::Reloads, "reloads"),
    (FaultKind::Pause, "pause"),
    (FaultKind::ReplicaHangs, "replica-hangs"),
    (FaultKind::ReplicaFails, "replica-fails"),
    (FaultKind::ReplicaResets, "replica-resets"),
    (FaultKind::ReplicaBusy, "replica-busy"),
    (FaultKind::ReplicaGarbles, "replica-garbles"),
    (FaultKind::ReplicaSlow, "replica-slow"),
    (FaultKind::ReplicaReplaced, "replica-replaced"),
    (FaultKind::Drain, "drain"),
    (FaultKind::WayStalls, "way-stalls"),
    (FaultKind::WayBreaks, "way-breaks"),
    (FaultKind::DiscoveryStalls, "discovery-stalls"),
    (FaultKind::DiscoveryBreaks, "discovery-breaks"),
    (FaultKind::DiscoveryDown, "discovery-down"),
    (FaultKind::ShortReads, "short-reads"),
    (FaultKind::ShortWrites, "short-writes"),
    (FaultKind::AcceptProbe, "accepts"),
    (FaultKind::Sockets, "sockets"),
    (FaultKind::Connects, "connects"),
    (FaultKind::Interrupts, "interrupts"),
    (FaultKind::Broken, "broken"),
    (FaultKind::Holds, "holds"),
    (FaultKind::WallSteps, "wall-steps"),
    (FaultKind::Flood, "flood"),
    (FaultKind::RestartWhileAcceptsFail, "restart-accepts"),
    (FaultKind::StartWhileBindsFail, "start-binds"),
    (FaultKind::ReloadWhileOpensFail, "reload-opens"),
    (FaultKind::StepThenReplace, "step-replace"),
];

impl FaultKind {
    pub fn named(name: &str) -> Result<FaultKind> {
        match FAULT_KINDS.iter().find(|(_, known)| *known == name) {
            Some((kind, _)) => Ok(*kind),
            None => {
                let names: Vec<&str> = FAULT_KINDS.iter().map(|k| k.1).collect();
                bail!("no trouble is named '{name}'; accepted: {}", names.join(", "))
            }
        }
    }

    pub fn name(self) -> &'static str {
        FAULT_KINDS.iter().find(|(kind, _)| *kind == self).map_or("", |k| k.1)
    }
}

/// One trouble as it was played.
pub struct PlayedFault {
    pub kind: FaultKind,
    pub on: String,
    pub from: Instant,
    pub to: Instant,
}

/// What a lane has drawn for its next trouble.
struct PlannedFault {
    kind: FaultKind,
    node: usize,
    replica: usize,
    lasts: Duration,
    /// Of several of anything.
    share: f64,
}

impl PlannedFault {
    fn next(rng: &mut Pcg64, size: Size, replicas: usize, only: Option<FaultKind>) -> PlannedFault {
        let kind = FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())].0;
        PlannedFault {
            kind: only.unwrap_or(kind),
            node: rng.random_range(0..size.processes),
            replica: rng.random_range(0..replicas),
            lasts: Duration::from_millis(rng.random_range(600..2400)),
            share: rng.random(),
        }
    }
}

/// Plays all lanes until the time is over; what was played.
pub async fn run(
    cluster: Rc<SoakCluster>,
    seed: u64,
    size: Size,
    only: Option<FaultKind>,
    verbose: bool,
) -> Result<Vec<PlayedFault>> {
    let until = Instant::now() + size.lasts;
    let mut lanes = JoinSet::new();
    for lane in 0..size.overlap {
        let cluster = cluster.clone();
        lanes.spawn_local(async move {
            let mut rng = Pcg64::seed_from_u64(seed.wrapping_mul(31) + lane as u64);
            let mut played = Vec::new();
            // Nothing begins so late that its end is not seen.
            while Instant::now() + Duration::from_secs(3) < until {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
                let replicas = cluster.replicas.borrow().len();
                let planned = PlannedFault::next(&mut rng, size, replicas, only);
                let from = Instant::now();
                let on = play(&cluster, &planned).await?;
                let (kind, to) = (planned.kind, Instant::now());
                if verbose {
                    let at = |t: Instant| (t - cluster.begun).as_secs_f64();
                    eprintln!("{:7.3} to {:7.3}  {} {on}", at(from), at(to), kind.name());
                }
                played.push(PlayedFault { kind, on, from, to });
            }
            Ok::<_, anyhow::Error>(played)
        });
    }
    let mut all = Vec::new();
    while let Some(lane) = lanes.join_next().await {
        all.extend(lane??);
    }
    Ok(all)
}

async fn play(cluster: &SoakCluster, planned: &PlannedFault) -> Result<String> {
    let node = &cluster.nodes[planned.node];
    let (on_node, on_replica) = (format!("process {}", planned.node), format!("replica {}", planned.replica));
    match planned.kind {
        FaultKind::Restart => restart(node).await?,
        FaultKind::Kill => kill(node).await?,
        FaultKind::Reload => reload(cluster, node, planned.share < 0.7).await?,
        FaultKind::Reloads => {
            for n in 0..5 {
                reload(cluster, node, n % 2 == 0).await?;
                tokio::time::sleep(planned.lasts / 40).await;
            }
        }
        FaultKind::Pause => pause(node, planned.share).await?,
        FaultKind::ReplicaHangs => behavior(cluster, planned, ReplicaBehavior::Silent).await,
        FaultKind::ReplicaFails => behavior(cluster, planned, ReplicaBehavior::Fails).await,
        FaultKind::ReplicaResets => behavior(cluster, planned, ReplicaBehavior::Resets).await,
        FaultKind::ReplicaBusy => behavior(cluster, planned, ReplicaBehavior::Busy).await,
        FaultKind::ReplicaGarbles => behavior(cluster, planned, ReplicaBehavior::Malformed).await,
        FaultKind::ReplicaSlow => behavior(cluster, planned, ReplicaBehavior::Slow(15.0)).await,
        FaultKind::ReplicaReplaced => {
            if let Some(reserved) = cluster.reserve_replica(planned.replica) {
                cluster.replace(reserved.replica, planned.lasts / 2).await?;
            }
        }
        FaultKind::Drain => drain(cluster, planned).await,
        FaultKind::WayStalls => way_stalls(cluster, planned).await,
        FaultKind::WayBreaks => {
            for _ in 0..3 {
                cluster.replicas.borrow()[planned.replica].way.break_now();
                tokio::time::sleep(planned.lasts / 3).await;
            }
        }
        FaultKind::DiscoveryStalls => {
            lists_out(cluster, planned, |way| way.set_conditions(stalled(true, true))).await
        }
        FaultKind::DiscoveryBreaks => cluster.ways_to_discovery.iter().for_each(|way| way.break_now()),
        FaultKind::DiscoveryDown => lists_out(cluster, planned, |way| way.cut()).await,
        FaultKind::ShortReads => faulty(node, planned, SyscallFault::ShortRead, 0.05).await?,
        FaultKind::ShortWrites => faulty(node, planned, SyscallFault::ShortWrite, 0.05).await?,
        FaultKind::AcceptProbe => faulty(node, planned, SyscallFault::Accept, 0.6).await?,
        FaultKind::Sockets => faulty(node, planned, SyscallFault::Socket, 0.3).await?,
        FaultKind::Connects => faulty(node, planned, SyscallFault::Connect, 0.3).await?,
        FaultKind::Interrupts => faulty(node, planned, SyscallFault::Interrupt, 0.05).await?,
        FaultKind::Broken => faulty(node, planned, SyscallFault::Broken, 0.02).await?,
        FaultKind::Holds => {
            begin(&node.held_up);
            faulty(node, planned, SyscallFault::Hold, 0.01).await?;
            end(&node.held_up);
        }
        FaultKind::WallSteps => {
            for step in [-3600.0, 2.0, 3600.0, 0.0] {
                node.faults.step_wall_clock(step)?;
                tokio::time::sleep(planned.lasts / 4).await;
            }
        }
        FaultKind::Flood => flood(node, planned).await,
        FaultKind::RestartWhileAcceptsFail => {
            node.faults.set(SyscallFault::Accept, 0.6)?;
            tokio::time::sleep(planned.lasts / 4).await;
            restart(node).await?;
            node.faults.set(SyscallFault::Accept, 0.0)?;
        }
        FaultKind::StartWhileBindsFail => {
            node.faults.set(SyscallFault::Bind, 0.8)?;
            node.faults.set(SyscallFault::Socket, 0.3)?;
            node.faults.set(SyscallFault::Open, 0.5)?;
            restart(node).await?;
            for fault in [SyscallFault::Bind, SyscallFault::Socket, SyscallFault::Open] {
                node.faults.set(fault, 0.0)?;
            }
        }
        FaultKind::ReloadWhileOpensFail => {
            node.faults.set(SyscallFault::Open, 1.0)?;
            reload(cluster, node, true).await?;
            tokio::time::sleep(planned.lasts.min(Duration::from_millis(800))).await;
            node.faults.set(SyscallFault::Open, 0.0)?;
        }
        FaultKind::StepThenReplace => {
            // All machines read one clock: the replica's start is told by the stepped one.
            let step = if planned.share < 0.5 { -3600.0 } else { 3600.0 };
            cluster.step_all_wall_clocks(step)?;
            if let Some(reserved) = cluster.reserve_replica(planned.replica) {
                cluster.replace(reserved.replica, Duration::from_millis(100)).await?;
            }
            tokio::time::sleep(planned.lasts).await;
            cluster.step_all_wall_clocks(0.0)?;
        }
    }
    Ok(if planned.kind.is_of_replica() { on_replica } else { on_node })
}

impl FaultKind {
    fn is_of_replica(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            ReplicaHangs
                | ReplicaFails
                | ReplicaResets
                | ReplicaBusy
                | ReplicaGarbles
                | ReplicaSlow
                | ReplicaReplaced
                | Drain
                | WayStalls
                | WayBreaks
        )
    }
}

type Times = std::cell::RefCell<Vec<(Instant, Option<Instant>)>>;

fn begin(times: &Times) {
    times.borrow_mut().push((Instant::now(), None));
}

fn end(times: &Times) {
    if let Some(last) = times.borrow_mut().iter_mut().rev().find(|t| t.1.is_none()) {
        last.1 = Some(Instant::now());
    }
}

/// SIGTERM, SIGKILL at the first moment allowed, and a new start.
async fn restart(node: &Node) -> Result<()> {
    let mut process = node.process.lock().await;
    begin(&node.away);
    process.signal(Signal::TERM)?;
    if process.wait_for_exit(GRACE).await.is_none() {
        process.kill();
    }
    start_again(node, &mut process).await
}

async fn kill(node: &Node) -> Result<()> {
    let mut process = node.process.lock().await;
    begin(&node.away);
    node.kills.borrow_mut().push(Instant::now());
    process.kill();
    tokio::time::sleep(Duration::from_millis(200)).await;
    start_again(node, &mut process).await
}

async fn start_again(node: &Node, process: &mut Process) -> Result<()> {
    let begun = Instant::now();
    process.spawn_again(None)?;
    let up = tokio::time::timeout(START_LIMIT, process.wait_until_ready()).await;
    // What never serves is judged by that time.
    let took = if matches!(up, Ok(Ok(()))) { begun.elapsed() } else { START_LIMIT };
    node.ready.borrow_mut().push(took);
    end(&node.away);
    Ok(())
}

/// A new configuration: discovery at one of its two addresses.
async fn reload(cluster: &SoakCluster, node: &Node, second: bool) -> Result<()> {
    let process = node.process.lock().await;
    let address = cluster.ways_to_discovery[usize::from(second)].address.to_string();
    process.override_node_config("/discovery", address.into())?;
    process.signal(Signal::HUP)?;
    Ok(())
}

async fn pause(node: &Node, share: f64) -> Result<()> {
    let process = node.process.lock().await;
    begin(&node.held_up);
    process.signal(Signal::STOP)?;
    tokio::time::sleep(Duration::from_millis(100 + (250.0 * share) as u64)).await;
    process.signal(Signal::CONT)?;
    end(&node.held_up);
    Ok(())
}

async fn behavior(cluster: &SoakCluster, planned: &PlannedFault, behavior: ReplicaBehavior) {
    // It may be replaced meanwhile: the one that was troubled is the one that is well again.
    let name = cluster.replicas.borrow()[planned.replica].name.clone();
    let turns = |behavior| {
        let replicas = cluster.replicas.borrow();
        replicas.iter().filter(|r| r.name == name).for_each(|r| r.replica.set_behavior(behavior));
    };
    turns(behavior);
    tokio::time::sleep(planned.lasts).await;
    turns(ReplicaBehavior::Normal);
}

async fn drain(cluster: &SoakCluster, planned: &PlannedFault) {
    if let Some(reserved) = cluster.reserve_replica(planned.replica) {
        cluster.drain(reserved.replica);
        tokio::time::sleep(planned.lasts * 4).await;
        cluster.undrain(reserved.replica);
    }
}

fn stalled(there: bool, back: bool) -> LinkConditions {
    LinkConditions {
        stalled_there: there,
        stalled_back: back,
        ..LinkConditions::of(Duration::from_micros(400))
    }
}

async fn way_stalls(cluster: &SoakCluster, planned: &PlannedFault) {
    let (way, replica) = {
        let replicas = cluster.replicas.borrow();
        (replicas[planned.replica].way.clone(), replicas[planned.replica].replica.address)
    };
    cluster.stalls.borrow_mut().push((replica, Instant::now(), None));
    way.set_conditions(stalled(planned.share < 0.6, planned.share > 0.3));
    tokio::time::sleep(planned.lasts).await;
    way.set_conditions(stalled(false, false));
    let mut stalls = cluster.stalls.borrow_mut();
    if let Some(stall) = stalls.iter_mut().find(|s| s.0 == replica && s.2.is_none()) {
        stall.2 = Some(Instant::now());
    }
}

async fn lists_out(cluster: &SoakCluster, planned: &PlannedFault, fault: impl Fn(&crate::link::Link)) {
    begin(&cluster.lists_out);
    cluster.ways_to_discovery.iter().for_each(fault);
    tokio::time::sleep(planned.lasts).await;
    for way in &cluster.ways_to_discovery {
        way.set_conditions(stalled(false, false));
        way.heal();
    }
    end(&cluster.lists_out);
}

async fn faulty(node: &Node, planned: &PlannedFault, fault: SyscallFault, share: f64) -> Result<()> {
    node.faults.set(fault, share)?;
    tokio::time::sleep(planned.lasts).await;
    node.faults.set(fault, 0.0)
}

/// Connections that say nothing, more than there are places for.
async fn flood(node: &Node, planned: &PlannedFault) {
    let mut idle = Vec::new();
    for _ in 0..(200.0 + planned.share * 200.0) as usize {
        match tokio::time::timeout(Duration::from_millis(200), connect(node.address)).await {
            Ok(Ok(stream)) => idle.push(stream),
            _ => break,
        }
    }
    tokio::time::sleep(planned.lasts).await;
}
