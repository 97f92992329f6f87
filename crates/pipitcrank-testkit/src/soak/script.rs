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
use super::scene::{GRACE, Node, Scene};
use crate::client::connect;
use crate::faults::Fault;
use crate::link::Way;
use crate::process::Process;
use crate::replica::Manner;

/// Longest time from a start until it serves that a soak waits.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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
    Accepts,
    ConnectionLimiter,
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

pub const KINDS: [(Kind, &str); 32] = [
    (Kind::Restart, "restart"),
    (Kind::Kill, "kill"),
    (Kind::Reload, "reload"),
    (Kind::Reloads, "reloads"),
    (Kind::Pause, "pause"),
    (Kind::ReplicaHangs, "replica-hangs"),
    (Kind::ReplicaFails, "replica-fails"),
    (Kind::ReplicaResets, "replica-resets"),
    (Kind::ReplicaBusy, "replica-busy"),
    (Kind::ReplicaGarbles, "replica-garbles"),
    (Kind::ReplicaSlow, "replica-slow"),
    (Kind::ReplicaReplaced, "replica-replaced"),
    (Kind::Drain, "drain"),
    (Kind::WayStalls, "way-stalls"),
    (Kind::WayBreaks, "way-breaks"),
    (Kind::DiscoveryStalls, "discovery-stalls"),
    (Kind::DiscoveryBreaks, "discovery-breaks"),
    (Kind::DiscoveryDown, "discovery-down"),
    (Kind::ShortReads, "short-reads"),
    (Kind::ShortWrites, "short-writes"),
    (Kind::Accepts, "accepts"),
    (Kind::ConnectionLimiter, "sockets"),
    (Kind::Connects, "connects"),
    (Kind::Interrupts, "interrupts"),
    (Kind::Broken, "broken"),
    (Kind::Holds, "holds"),
    (Kind::WallSteps, "wall-steps"),
    (Kind::Flood, "flood"),
    (Kind::RestartWhileAcceptsFail, "restart-accepts"),
    (Kind::StartWhileBindsFail, "start-binds"),
    (Kind::ReloadWhileOpensFail, "reload-opens"),
    (Kind::StepThenReplace, "step-replace"),
];

impl Kind {
    pub fn named(name: &str) -> Result<Kind> {
        match KINDS.iter().find(|(_, known)| *known == name) {
            Some((kind, _)) => Ok(*kind),
            None => {
                let names: Vec<&str> = KINDS.iter().map(|k| k.1).collect();
                bail!("no trouble is named '{name}'; accepted: {}", names.join(", "))
            }
        }
    }

    pub fn name(self) -> &'static str {
        KINDS.iter().find(|(kind, _)| *kind == self).map_or("", |k| k.1)
    }
}

/// One trouble as it was played.
pub struct Trouble {
    pub kind: Kind,
    pub on: String,
    pub from: Instant,
    pub to: Instant,
}

/// What a lane has drawn for its next trouble.
struct Draw {
    kind: Kind,
    node: usize,
    replica: usize,
    lasts: Duration,
    /// Of several of anything.
    share: f64,
}

impl Draw {
    fn next(chance: &mut Pcg64, size: Size, replicas: usize, only: Option<Kind>) -> Draw {
        let kind = KINDS[chance.random_range(0..KINDS.len())].0;
        Draw {
            kind: only.unwrap_or(kind),
            node: chance.random_range(0..size.processes),
            replica: chance.random_range(0..replicas),
            lasts: Duration::from_millis(chance.random_range(600..2400)),
            share: chance.random(),
        }
    }
}

/// Plays all lanes until the time is over; what was played.
pub async fn run(
    scene: Rc<Scene>,
    seed: u64,
    size: Size,
    only: Option<Kind>,
    talk: bool,
) -> Result<Vec<Trouble>> {
    let until = Instant::now() + size.lasts;
    let mut lanes = JoinSet::new();
    for lane in 0..size.overlap {
        let scene = scene.clone();
        lanes.spawn_local(async move {
            let mut chance = Pcg64::seed_from_u64(seed.wrapping_mul(31) + lane as u64);
            let mut played = Vec::new();
            // Nothing begins so late that its end is not seen.
            while Instant::now() + Duration::from_secs(3) < until {
                tokio::time::sleep(Duration::from_millis(chance.random_range(0..400))).await;
                let replicas = scene.replicas.borrow().len();
                let draw = Draw::next(&mut chance, size, replicas, only);
                let from = Instant::now();
                let on = play(&scene, &draw).await?;
                let (kind, to) = (draw.kind, Instant::now());
                if talk {
                    let at = |t: Instant| (t - scene.begun).as_secs_f64();
                    eprintln!("{:7.3} to {:7.3}  {} {on}", at(from), at(to), kind.name());
                }
                played.push(Trouble { kind, on, from, to });
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

async fn play(scene: &Scene, draw: &Draw) -> Result<String> {
    let node = &scene.nodes[draw.node];
    let (on_node, on_replica) = (format!("process {}", draw.node), format!("replica {}", draw.replica));
    match draw.kind {
        Kind::Restart => restart(node).await?,
        Kind::Kill => kill(node).await?,
        Kind::Reload => reload(scene, node, draw.share < 0.7).await?,
        Kind::Reloads => {
            for n in 0..5 {
                reload(scene, node, n % 2 == 0).await?;
                tokio::time::sleep(draw.lasts / 40).await;
            }
        }
        Kind::Pause => pause(node, draw.share).await?,
        Kind::ReplicaHangs => manner(scene, draw, Manner::Silent).await,
        Kind::ReplicaFails => manner(scene, draw, Manner::Fails).await,
        Kind::ReplicaResets => manner(scene, draw, Manner::Resets).await,
        Kind::ReplicaBusy => manner(scene, draw, Manner::Busy).await,
        Kind::ReplicaGarbles => manner(scene, draw, Manner::Garbles).await,
        Kind::ReplicaSlow => manner(scene, draw, Manner::Slow(15.0)).await,
        Kind::ReplicaReplaced => {
            if let Some(alone) = scene.alone_on(draw.replica) {
                scene.replace(alone.replica, draw.lasts / 2).await?;
            }
        }
        Kind::Drain => drain(scene, draw).await,
        Kind::WayStalls => way_stalls(scene, draw).await,
        Kind::WayBreaks => {
            for _ in 0..3 {
                scene.replicas.borrow()[draw.replica].way.break_now();
                tokio::time::sleep(draw.lasts / 3).await;
            }
        }
        Kind::DiscoveryStalls => lists_out(scene, draw, |way| way.turns(stalled(true, true))).await,
        Kind::DiscoveryBreaks => scene.ways_to_discovery.iter().for_each(|way| way.break_now()),
        Kind::DiscoveryDown => lists_out(scene, draw, |way| way.cut()).await,
        Kind::ShortReads => faulty(node, draw, Fault::ShortRead, 0.05).await?,
        Kind::ShortWrites => faulty(node, draw, Fault::ShortWrite, 0.05).await?,
        Kind::Accepts => faulty(node, draw, Fault::Accept, 0.6).await?,
        Kind::ConnectionLimiter => faulty(node, draw, Fault::Socket, 0.3).await?,
        Kind::Connects => faulty(node, draw, Fault::Connect, 0.3).await?,
        Kind::Interrupts => faulty(node, draw, Fault::Interrupt, 0.05).await?,
        Kind::Broken => faulty(node, draw, Fault::Broken, 0.02).await?,
        Kind::Holds => {
            begin(&node.held_up);
            faulty(node, draw, Fault::Hold, 0.01).await?;
            end(&node.held_up);
        }
        Kind::WallSteps => {
            for step in [-3600.0, 2.0, 3600.0, 0.0] {
                node.faults.step_wall_clock(step)?;
                tokio::time::sleep(draw.lasts / 4).await;
            }
        }
        Kind::Flood => flood(node, draw).await,
        Kind::RestartWhileAcceptsFail => {
            node.faults.set(Fault::Accept, 0.6)?;
            tokio::time::sleep(draw.lasts / 4).await;
            restart(node).await?;
            node.faults.set(Fault::Accept, 0.0)?;
        }
        Kind::StartWhileBindsFail => {
            node.faults.set(Fault::Bind, 0.8)?;
            node.faults.set(Fault::Socket, 0.3)?;
            node.faults.set(Fault::Open, 0.5)?;
            restart(node).await?;
            for fault in [Fault::Bind, Fault::Socket, Fault::Open] {
                node.faults.set(fault, 0.0)?;
            }
        }
        Kind::ReloadWhileOpensFail => {
            node.faults.set(Fault::Open, 1.0)?;
            reload(scene, node, true).await?;
            tokio::time::sleep(draw.lasts.min(Duration::from_millis(800))).await;
            node.faults.set(Fault::Open, 0.0)?;
        }
        Kind::StepThenReplace => {
            // All machines read one clock: the replica's start is told by the stepped one.
            let step = if draw.share < 0.5 { -3600.0 } else { 3600.0 };
            scene.step_all_wall_clocks(step)?;
            if let Some(alone) = scene.alone_on(draw.replica) {
                scene.replace(alone.replica, Duration::from_millis(100)).await?;
            }
            tokio::time::sleep(draw.lasts).await;
            scene.step_all_wall_clocks(0.0)?;
        }
    }
    Ok(if draw.kind.is_of_replica() { on_replica } else { on_node })
}

impl Kind {
    fn is_of_replica(self) -> bool {
        use Kind::*;
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
    if process.end(GRACE).await.is_none() {
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
    process.begin_again(None)?;
    let up = tokio::time::timeout(START_LIMIT, process.up()).await;
    // What never serves is judged by that time.
    let took = if matches!(up, Ok(Ok(()))) { begun.elapsed() } else { START_LIMIT };
    node.ready.borrow_mut().push(took);
    end(&node.away);
    Ok(())
}

/// A new configuration: discovery at one of its two addresses.
async fn reload(scene: &Scene, node: &Node, second: bool) -> Result<()> {
    let process = node.process.lock().await;
    let address = scene.ways_to_discovery[usize::from(second)].address.to_string();
    process.node_config_with("/discovery", address.into())?;
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

async fn manner(scene: &Scene, draw: &Draw, manner: Manner) {
    // It may be replaced meanwhile: the one that was troubled is the one that is well again.
    let name = scene.replicas.borrow()[draw.replica].name.clone();
    let turns = |manner| {
        let replicas = scene.replicas.borrow();
        replicas.iter().filter(|r| r.name == name).for_each(|r| r.replica.turns(manner));
    };
    turns(manner);
    tokio::time::sleep(draw.lasts).await;
    turns(Manner::Answers);
}

async fn drain(scene: &Scene, draw: &Draw) {
    if let Some(alone) = scene.alone_on(draw.replica) {
        scene.drain(alone.replica);
        tokio::time::sleep(draw.lasts * 4).await;
        scene.undrain(alone.replica);
    }
}

fn stalled(there: bool, back: bool) -> Way {
    Way { stalled_there: there, stalled_back: back, ..Way::of(Duration::from_micros(400)) }
}

async fn way_stalls(scene: &Scene, draw: &Draw) {
    let (way, replica) = {
        let replicas = scene.replicas.borrow();
        (replicas[draw.replica].way.clone(), replicas[draw.replica].replica.address)
    };
    scene.stalls.borrow_mut().push((replica, Instant::now(), None));
    way.turns(stalled(draw.share < 0.6, draw.share > 0.3));
    tokio::time::sleep(draw.lasts).await;
    way.turns(stalled(false, false));
    let mut stalls = scene.stalls.borrow_mut();
    if let Some(stall) = stalls.iter_mut().find(|s| s.0 == replica && s.2.is_none()) {
        stall.2 = Some(Instant::now());
    }
}

async fn lists_out(scene: &Scene, draw: &Draw, trouble: impl Fn(&crate::link::Link)) {
    begin(&scene.lists_out);
    scene.ways_to_discovery.iter().for_each(trouble);
    tokio::time::sleep(draw.lasts).await;
    for way in &scene.ways_to_discovery {
        way.turns(stalled(false, false));
        way.heal();
    }
    end(&scene.lists_out);
}

async fn faulty(node: &Node, draw: &Draw, fault: Fault, share: f64) -> Result<()> {
    node.faults.set(fault, share)?;
    tokio::time::sleep(draw.lasts).await;
    node.faults.set(fault, 0.0)
}

/// Connections that say nothing, more than there are places for.
async fn flood(node: &Node, draw: &Draw) {
    let mut idle = Vec::new();
    for _ in 0..(200.0 + draw.share * 200.0) as usize {
        match tokio::time::timeout(Duration::from_millis(200), connect(node.address)).await {
            Ok(Ok(stream)) => idle.push(stream),
            _ => break,
        }
    }
    tokio::time::sleep(draw.lasts).await;
}
