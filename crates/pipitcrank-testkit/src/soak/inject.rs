//! Plays one fault of a soak test on a process, a replica, discovery or the links between them.

use std::time::{Duration, Instant};

use anyhow::Result;
use rustix::process::Signal;

use super::cluster::{GRACE, Node, SoakCluster};
use super::fault_kind::FaultKind;
use crate::client::connect;
use crate::link::{Link, LinkConditions};
use crate::process::Process;
use crate::replica::ReplicaBehavior;
use crate::syscall_faults::SyscallFault;

/// Longest time from a start until it serves that a soak waits.
const START_LIMIT: Duration = Duration::from_secs(20);

/// What a lane has drawn for its next fault.
pub struct PlannedFault {
    pub kind: FaultKind,
    /// The process it happens to.
    pub node: usize,
    /// The replica it happens to.
    pub replica: usize,
    pub lasts: Duration,
    /// A fraction for what else the kind leaves open.
    pub fraction: f64,
}

/// Plays the fault; what it happened to.
pub async fn play(cluster: &SoakCluster, planned: &PlannedFault) -> Result<String> {
    let node = &cluster.nodes[planned.node];
    let (on_node, on_replica) = (format!("process {}", planned.node), format!("replica {}", planned.replica));
    match planned.kind {
        FaultKind::Restart => restart(node).await?,
        FaultKind::Kill => kill(node).await?,
        FaultKind::Reload => reload(cluster, node, planned.fraction < 0.7).await?,
        FaultKind::Reloads => reload_repeatedly(cluster, node, planned).await?,
        FaultKind::Pause => pause(node, planned.fraction).await?,
        FaultKind::ReplicaHangs => set_behavior(cluster, planned, ReplicaBehavior::Silent).await,
        FaultKind::ReplicaFails => set_behavior(cluster, planned, ReplicaBehavior::Fails).await,
        FaultKind::ReplicaResets => set_behavior(cluster, planned, ReplicaBehavior::Resets).await,
        FaultKind::ReplicaBusy => set_behavior(cluster, planned, ReplicaBehavior::Busy).await,
        FaultKind::ReplicaGarbles => set_behavior(cluster, planned, ReplicaBehavior::Malformed).await,
        FaultKind::ReplicaSlow => set_behavior(cluster, planned, ReplicaBehavior::Slow(15.0)).await,
        FaultKind::ReplicaReplaced => replace_replica(cluster, planned).await?,
        FaultKind::Drain => drain(cluster, planned).await,
        FaultKind::LinkStalls => stall_link(cluster, planned).await,
        FaultKind::LinkBreaks => break_link(cluster, planned).await,
        FaultKind::DiscoveryStalls => stall_discovery(cluster, planned).await,
        FaultKind::DiscoveryBreaks => {
            cluster.discovery_links.iter().for_each(|link| link.close_connections())
        }
        FaultKind::DiscoveryDown => interrupt_discovery(cluster, planned, |link| link.cut()).await,
        FaultKind::ShortReads => fail_syscalls(node, planned, SyscallFault::ShortRead, 0.05).await?,
        FaultKind::ShortWrites => fail_syscalls(node, planned, SyscallFault::ShortWrite, 0.05).await?,
        FaultKind::Accepts => fail_syscalls(node, planned, SyscallFault::Accept, 0.6).await?,
        FaultKind::Sockets => fail_syscalls(node, planned, SyscallFault::Socket, 0.3).await?,
        FaultKind::Connects => fail_syscalls(node, planned, SyscallFault::Connect, 0.3).await?,
        FaultKind::Interrupts => fail_syscalls(node, planned, SyscallFault::Interrupt, 0.05).await?,
        FaultKind::Broken => fail_syscalls(node, planned, SyscallFault::Broken, 0.02).await?,
        FaultKind::Holds => hold_up(node, planned).await?,
        FaultKind::WallSteps => step_wall_clock(node, planned).await?,
        FaultKind::Flood => flood(node, planned).await,
        FaultKind::RestartWhileAcceptsFail => restart_while_accepts_fail(node, planned).await?,
        FaultKind::StartWhileBindsFail => start_while_binds_fail(node).await?,
        FaultKind::ReloadWhileOpensFail => reload_while_opens_fail(cluster, node, planned).await?,
        FaultKind::StepThenReplace => step_then_replace(cluster, planned).await?,
    }
    Ok(if planned.kind.is_of_replica() { on_replica } else { on_node })
}

/// Reloads five times, with discovery at either address by turns.
async fn reload_repeatedly(cluster: &SoakCluster, node: &Node, planned: &PlannedFault) -> Result<()> {
    for n in 0..5 {
        reload(cluster, node, n % 2 == 0).await?;
        tokio::time::sleep(planned.lasts / 40).await;
    }
    Ok(())
}

/// The replica dies, and one in slow start takes its place.
async fn replace_replica(cluster: &SoakCluster, planned: &PlannedFault) -> Result<()> {
    if let Some(reserved) = cluster.reserve_replica(planned.replica) {
        cluster.replace(reserved.replica, planned.lasts / 2).await?;
    }
    Ok(())
}

/// Breaks the connections to the replica three times.
async fn break_link(cluster: &SoakCluster, planned: &PlannedFault) {
    for _ in 0..3 {
        cluster.replicas.borrow()[planned.replica].link.close_connections();
        tokio::time::sleep(planned.lasts / 3).await;
    }
}

/// Nothing passes to or from discovery.
async fn stall_discovery(cluster: &SoakCluster, planned: &PlannedFault) {
    interrupt_discovery(cluster, planned, |link| link.set_conditions(stalled(true, true))).await;
}

/// Holds the process up before some of its writes.
async fn hold_up(node: &Node, planned: &PlannedFault) -> Result<()> {
    node.held_up.begin();
    fail_syscalls(node, planned, SyscallFault::Hold, 0.01).await?;
    node.held_up.end();
    Ok(())
}

/// Steps the process's wall clock to and fro.
async fn step_wall_clock(node: &Node, planned: &PlannedFault) -> Result<()> {
    for step in [-3600.0, 2.0, 3600.0, 0.0] {
        node.faults.step_wall_clock(step)?;
        tokio::time::sleep(planned.lasts / 4).await;
    }
    Ok(())
}

/// Restarts while most accepts fail.
async fn restart_while_accepts_fail(node: &Node, planned: &PlannedFault) -> Result<()> {
    node.faults.set(SyscallFault::Accept, 0.6)?;
    tokio::time::sleep(planned.lasts / 4).await;
    restart(node).await?;
    node.faults.set(SyscallFault::Accept, 0.0)?;
    Ok(())
}

/// Restarts while binding, opening sockets and opening files may fail.
async fn start_while_binds_fail(node: &Node) -> Result<()> {
    node.faults.set(SyscallFault::Bind, 0.8)?;
    node.faults.set(SyscallFault::Socket, 0.3)?;
    node.faults.set(SyscallFault::Open, 0.5)?;
    restart(node).await?;
    for fault in [SyscallFault::Bind, SyscallFault::Socket, SyscallFault::Open] {
        node.faults.set(fault, 0.0)?;
    }
    Ok(())
}

/// Reloads while the configuration can't be opened.
async fn reload_while_opens_fail(cluster: &SoakCluster, node: &Node, planned: &PlannedFault) -> Result<()> {
    node.faults.set(SyscallFault::Open, 1.0)?;
    reload(cluster, node, true).await?;
    tokio::time::sleep(planned.lasts.min(Duration::from_millis(800))).await;
    node.faults.set(SyscallFault::Open, 0.0)?;
    Ok(())
}

/// Steps all wall clocks, and replaces a replica meanwhile.
async fn step_then_replace(cluster: &SoakCluster, planned: &PlannedFault) -> Result<()> {
    // All machines read one clock: the replica's start is announced by the stepped one.
    let step = if planned.fraction < 0.5 { -3600.0 } else { 3600.0 };
    cluster.step_all_wall_clocks(step)?;
    if let Some(reserved) = cluster.reserve_replica(planned.replica) {
        cluster.replace(reserved.replica, Duration::from_millis(100)).await?;
    }
    tokio::time::sleep(planned.lasts).await;
    cluster.step_all_wall_clocks(0.0)?;
    Ok(())
}

/// SIGTERM, SIGKILL at the earliest time allowed, and a new start.
async fn restart(node: &Node) -> Result<()> {
    let mut process = node.process.lock().await;
    node.downtime.begin();
    process.signal(Signal::TERM)?;
    if process.wait_for_exit(GRACE).await.is_none() {
        process.kill();
    }
    start_again(node, &mut process).await
}

async fn kill(node: &Node) -> Result<()> {
    let mut process = node.process.lock().await;
    node.downtime.begin();
    node.kills.borrow_mut().push(Instant::now());
    process.kill();
    tokio::time::sleep(Duration::from_millis(200)).await;
    start_again(node, &mut process).await
}

async fn start_again(node: &Node, process: &mut Process) -> Result<()> {
    let begun = Instant::now();
    process.respawn(None)?;
    let up = tokio::time::timeout(START_LIMIT, process.wait_until_ready()).await;
    // What never serves is judged by that time.
    let took = if matches!(up, Ok(Ok(()))) { begun.elapsed() } else { START_LIMIT };
    node.ready.borrow_mut().push(took);
    node.downtime.end();
    Ok(())
}

/// A new configuration: discovery at one of its two addresses.
async fn reload(cluster: &SoakCluster, node: &Node, second: bool) -> Result<()> {
    let process = node.process.lock().await;
    let address = cluster.discovery_links[usize::from(second)].address.to_string();
    process.override_node_config("/discovery", address.into())?;
    process.signal(Signal::HUP)?;
    Ok(())
}

async fn pause(node: &Node, fraction: f64) -> Result<()> {
    let process = node.process.lock().await;
    node.held_up.begin();
    process.signal(Signal::STOP)?;
    tokio::time::sleep(Duration::from_millis(100 + (250.0 * fraction) as u64)).await;
    process.signal(Signal::CONT)?;
    node.held_up.end();
    Ok(())
}

async fn set_behavior(cluster: &SoakCluster, planned: &PlannedFault, behavior: ReplicaBehavior) {
    // It may be replaced meanwhile: the one that was troubled is the one that is well again.
    let name = cluster.replicas.borrow()[planned.replica].name.clone();
    let set_all = |behavior| {
        let replicas = cluster.replicas.borrow();
        replicas.iter().filter(|r| r.name == name).for_each(|r| r.replica.set_behavior(behavior));
    };
    set_all(behavior);
    tokio::time::sleep(planned.lasts).await;
    set_all(ReplicaBehavior::Normal);
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
        stalled_forward: there,
        stalled_back: back,
        ..LinkConditions::with_round_trip(Duration::from_micros(400))
    }
}

async fn stall_link(cluster: &SoakCluster, planned: &PlannedFault) {
    let (link, replica) = {
        let replicas = cluster.replicas.borrow();
        (replicas[planned.replica].link.clone(), replicas[planned.replica].replica.address)
    };
    cluster.stalls.begin(replica);
    link.set_conditions(stalled(planned.fraction < 0.6, planned.fraction > 0.3));
    tokio::time::sleep(planned.lasts).await;
    link.set_conditions(stalled(false, false));
    cluster.stalls.end_first(replica);
}

async fn interrupt_discovery(cluster: &SoakCluster, planned: &PlannedFault, fault: impl Fn(&Link)) {
    cluster.discovery_outages.begin();
    cluster.discovery_links.iter().for_each(fault);
    tokio::time::sleep(planned.lasts).await;
    for link in &cluster.discovery_links {
        link.set_conditions(stalled(false, false));
        link.heal();
    }
    cluster.discovery_outages.end();
}

async fn fail_syscalls(
    node: &Node,
    planned: &PlannedFault,
    fault: SyscallFault,
    fraction: f64,
) -> Result<()> {
    node.faults.set(fault, fraction)?;
    tokio::time::sleep(planned.lasts).await;
    node.faults.set(fault, 0.0)
}

/// Connections that say nothing, more than there are places for.
async fn flood(node: &Node, planned: &PlannedFault) {
    let mut idle = Vec::new();
    for _ in 0..(200.0 + planned.fraction * 200.0) as usize {
        match tokio::time::timeout(Duration::from_millis(200), connect(node.address)).await {
            Ok(Ok(stream)) => idle.push(stream),
            _ => break,
        }
    }
    tokio::time::sleep(planned.lasts).await;
}
