//! Injects one fault of a soak test into a process, a replica, discovery or the links between them.

use std::time::{Duration, Instant};

use anyhow::Result;
use rustix::process::Signal;

use super::cluster::{Node, SoakCluster};
use super::fault_kind::FaultKind;
use crate::client::connect;
use crate::crowd::{Crowd, CrowdBehavior};
use crate::link::{Link, LinkConditions};
use crate::process::Process;
use crate::replica::ReplicaBehavior;
use crate::syscall_faults::SyscallFault;

/// Number of restarts in one series.
const RESTARTS_IN_SERIES: usize = 3;
/// Smallest number of clients of a crowd, and how many more there may be.
const CROWD_CLIENTS: (f64, f64) = (150.0, 250.0);
/// Longest wait for a started process to serve.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A fault drawn by a lane.
pub struct PlannedFault {
    pub kind: FaultKind,
    /// Index of the process.
    pub node: usize,
    /// Index of the replica.
    pub replica: usize,
    pub duration: Duration,
    /// Random number from 0 to 1 from which a kind derives its other parameters.
    pub fraction: f64,
}

/// Injects the fault and returns the name of its target.
pub async fn inject(cluster: &SoakCluster, planned: &PlannedFault) -> Result<String> {
    let node = &cluster.nodes[planned.node];
    let (on_node, on_replica) = (format!("process {}", planned.node), format!("replica {}", planned.replica));
    match planned.kind {
        FaultKind::Restart => restart(cluster, node).await?,
        FaultKind::RestartSeries => restart_in_series(cluster, node, planned).await?,
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
        FaultKind::Holds => delay_writes(node, planned).await?,
        FaultKind::WallSteps => step_wall_clock(node, planned).await?,
        FaultKind::Flood => flood(node, planned).await,
        FaultKind::Crowd => crowd(node, planned).await,
        FaultKind::RestartWhileAcceptsFail => restart_while_accepts_fail(cluster, node, planned).await?,
        FaultKind::StartWhileBindsFail => start_while_binds_fail(cluster, node).await?,
        FaultKind::ReloadWhileOpensFail => reload_while_opens_fail(cluster, node, planned).await?,
        FaultKind::StepThenReplace => step_then_replace(cluster, planned).await?,
    }
    Ok(if planned.kind.targets_replica() { on_replica } else { on_node })
}

/// Reloads the process five times, with the two addresses of discovery in turn.
async fn reload_repeatedly(cluster: &SoakCluster, node: &Node, planned: &PlannedFault) -> Result<()> {
    for n in 0..5 {
        reload(cluster, node, n % 2 == 0).await?;
        tokio::time::sleep(planned.duration / 40).await;
    }
    Ok(())
}

/// Kills a replica and replaces it by one in slow start.
async fn replace_replica(cluster: &SoakCluster, planned: &PlannedFault) -> Result<()> {
    if let Some(reserved) = cluster.reserve_replica(planned.replica) {
        cluster.replace(reserved.replica, planned.duration / 2).await?;
    }
    Ok(())
}

/// Closes all connections to the replica three times.
async fn break_link(cluster: &SoakCluster, planned: &PlannedFault) {
    for _ in 0..3 {
        cluster.replicas.borrow()[planned.replica].link.close_connections();
        tokio::time::sleep(planned.duration / 3).await;
    }
}

/// Stalls all links to discovery in both directions.
async fn stall_discovery(cluster: &SoakCluster, planned: &PlannedFault) {
    interrupt_discovery(cluster, planned, |link| link.set_conditions(stalled(true, true))).await;
}

/// Delays some of the writes of the process.
async fn delay_writes(node: &Node, planned: &PlannedFault) -> Result<()> {
    node.pauses.begin();
    fail_syscalls(node, planned, SyscallFault::Hold, 0.01).await?;
    node.pauses.end();
    Ok(())
}

/// Steps the wall clock of the process backward and forward, and finally back to the correct time.
async fn step_wall_clock(node: &Node, planned: &PlannedFault) -> Result<()> {
    for step in [-3600.0, 2.0, 3600.0, 0.0] {
        node.faults.step_wall_clock(step)?;
        tokio::time::sleep(planned.duration / 4).await;
    }
    Ok(())
}

/// Restarts the process while most calls of `accept4` fail.
async fn restart_while_accepts_fail(
    cluster: &SoakCluster,
    node: &Node,
    planned: &PlannedFault,
) -> Result<()> {
    node.faults.set(SyscallFault::Accept, 0.6)?;
    tokio::time::sleep(planned.duration / 4).await;
    restart(cluster, node).await?;
    node.faults.set(SyscallFault::Accept, 0.0)?;
    Ok(())
}

/// Restarts the process while calls that bind, open sockets or open its configuration may fail.
async fn start_while_binds_fail(cluster: &SoakCluster, node: &Node) -> Result<()> {
    node.faults.set(SyscallFault::Bind, 0.8)?;
    node.faults.set(SyscallFault::Socket, 0.3)?;
    node.faults.set(SyscallFault::Open, 0.5)?;
    restart(cluster, node).await?;
    for fault in [SyscallFault::Bind, SyscallFault::Socket, SyscallFault::Open] {
        node.faults.set(fault, 0.0)?;
    }
    Ok(())
}

/// Reloads the process while its configuration cannot be opened.
async fn reload_while_opens_fail(cluster: &SoakCluster, node: &Node, planned: &PlannedFault) -> Result<()> {
    node.faults.set(SyscallFault::Open, 1.0)?;
    reload(cluster, node, true).await?;
    tokio::time::sleep(planned.duration.min(Duration::from_millis(800))).await;
    node.faults.set(SyscallFault::Open, 0.0)?;
    Ok(())
}

/// Steps all wall clocks together and replaces a replica before they are set back.
async fn step_then_replace(cluster: &SoakCluster, planned: &PlannedFault) -> Result<()> {
    // The replica is on a machine with the same time source, so its published start time is stepped as well.
    let step = if planned.fraction < 0.5 { -3600.0 } else { 3600.0 };
    cluster.step_all_wall_clocks(step)?;
    if let Some(reserved) = cluster.reserve_replica(planned.replica) {
        cluster.replace(reserved.replica, Duration::from_millis(100)).await?;
    }
    tokio::time::sleep(planned.duration).await;
    cluster.step_all_wall_clocks(0.0)?;
    Ok(())
}

/// Stops the process with SIGTERM, or with SIGKILL if it still runs after the shortest allowed grace time, and starts
/// it again.
async fn restart(cluster: &SoakCluster, node: &Node) -> Result<()> {
    let mut process = node.process.lock().await;
    node.downtime.begin();
    stop(cluster, &mut process).await?;
    start_again(node, &mut process).await
}

/// Stops the process with SIGTERM, or with SIGKILL if it still runs after the shortest allowed grace time.
async fn stop(cluster: &SoakCluster, process: &mut Process) -> Result<()> {
    process.signal(Signal::TERM)?;
    if process.wait_for_exit(cluster.shutdown_grace()).await.is_none() {
        process.kill();
    }
    Ok(())
}

/// Restarts the process several times in a row. Some of the new processes get further signals while they start or stop.
async fn restart_in_series(cluster: &SoakCluster, node: &Node, planned: &PlannedFault) -> Result<()> {
    let mut process = node.process.lock().await;
    for round in 0..RESTARTS_IN_SERIES {
        node.downtime.begin();
        stop(cluster, &mut process).await?;
        start_again(node, &mut process).await?;
        tokio::time::sleep(planned.duration.mul_f64(planned.fraction) / 4).await;
        if (round + (planned.fraction * 10.0) as usize).is_multiple_of(2) {
            process.signal(Signal::HUP)?;
        }
    }
    Ok(())
}

/// Kills the process with SIGKILL and starts it again.
async fn kill(node: &Node) -> Result<()> {
    let mut process = node.process.lock().await;
    node.downtime.begin();
    node.kills.borrow_mut().push(Instant::now());
    process.kill();
    tokio::time::sleep(Duration::from_millis(200)).await;
    start_again(node, &mut process).await
}

async fn start_again(node: &Node, process: &mut Process) -> Result<()> {
    let start = Instant::now();
    process.respawn(None)?;
    node.pid.set(process.pid());
    let result = tokio::time::timeout(START_LIMIT, process.wait_until_ready()).await;
    // For a process that never serves, the limit is recorded; the verifier reports it.
    let ready_time = if matches!(result, Ok(Ok(()))) { start.elapsed() } else { START_LIMIT };
    node.ready.borrow_mut().push(ready_time);
    node.downtime.end();
    Ok(())
}

/// Reloads the process with a node configuration that contains one of the two addresses of discovery.
async fn reload(cluster: &SoakCluster, node: &Node, second_address: bool) -> Result<()> {
    let process = node.process.lock().await;
    let address = cluster.discovery_links[usize::from(second_address)].address.to_string();
    process.override_node_config("/discovery", address.into())?;
    process.signal(Signal::HUP)?;
    Ok(())
}

/// Stops the process with SIGSTOP for 100 to 350 ms.
async fn pause(node: &Node, fraction: f64) -> Result<()> {
    let process = node.process.lock().await;
    node.pauses.begin();
    process.signal(Signal::STOP)?;
    tokio::time::sleep(Duration::from_millis(100 + (250.0 * fraction) as u64)).await;
    process.signal(Signal::CONT)?;
    node.pauses.end();
    Ok(())
}

async fn set_behavior(cluster: &SoakCluster, planned: &PlannedFault, behavior: ReplicaBehavior) {
    // The replica may be replaced during the fault, so the behaviour is set and reset by name, not by index.
    let name = cluster.replicas.borrow()[planned.replica].name.clone();
    let set_all = |behavior| {
        let replicas = cluster.replicas.borrow();
        replicas.iter().filter(|r| r.name == name).for_each(|r| r.replica.set_behavior(behavior));
    };
    set_all(behavior);
    tokio::time::sleep(planned.duration).await;
    set_all(ReplicaBehavior::Normal);
}

async fn drain(cluster: &SoakCluster, planned: &PlannedFault) {
    if let Some(reserved) = cluster.reserve_replica(planned.replica) {
        cluster.drain(reserved.replica);
        tokio::time::sleep(planned.duration * 4).await;
        cluster.undrain(reserved.replica);
    }
}

fn stalled(forward: bool, back: bool) -> LinkConditions {
    LinkConditions {
        stalled_forward: forward,
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
    tokio::time::sleep(planned.duration).await;
    link.set_conditions(stalled(false, false));
    cluster.stalls.end_first(replica);
}

async fn interrupt_discovery(cluster: &SoakCluster, planned: &PlannedFault, fault: impl Fn(&Link)) {
    cluster.discovery_outages.begin();
    cluster.discovery_links.iter().for_each(fault);
    tokio::time::sleep(planned.duration).await;
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
    tokio::time::sleep(planned.duration).await;
    node.faults.set(fault, 0.0)
}

/// Misuses connections by more clients than the process accepts.
async fn crowd(node: &Node, planned: &PlannedFault) {
    let (least, more) = CROWD_CLIENTS;
    let count = (least + more * planned.fraction) as usize;
    let crowd = Crowd::start(node.address, &CrowdBehavior::ALL, count);
    tokio::time::sleep(planned.duration * 2).await;
    drop(crowd);
}

/// Opens more idle connections than the process accepts.
async fn flood(node: &Node, planned: &PlannedFault) {
    let mut idle = Vec::new();
    for _ in 0..(200.0 + planned.fraction * 200.0) as usize {
        match tokio::time::timeout(Duration::from_millis(200), connect(node.address)).await {
            Ok(Ok(stream)) => idle.push(stream),
            _ => break,
        }
    }
    tokio::time::sleep(planned.duration).await;
}
