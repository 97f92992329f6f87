//! The program under test as a separate process, in a folder of its own with its node configuration and operators'
//! file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::client;

/// A temporary folder that is removed when dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a folder whose name contains `name` and is unique.
    ///
    /// # Errors
    ///
    /// If the folder cannot be created.
    pub fn new(name: &str) -> Result<TempDir> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("pipitcrank-{name}-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the program and its workers, killed when dropped.
pub struct Process {
    child: Child,
    /// Address on which the process accepts queries.
    pub address: SocketAddr,
    /// Path of the executable.
    pub program: PathBuf,
    /// Path of the node configuration.
    pub node_config_path: PathBuf,
    /// Folder with the node configuration, the log and the operators' file.
    pub folder: TempDir,
    node_config: Value,
    /// Environment variables set in addition to `NODE_CONFIG`.
    variables: Vec<(String, String)>,
}

/// Resources held by a process and its workers together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// Durations of the steps of an upgrade, in seconds.
#[derive(Clone, Copy)]
pub struct UpgradeTimes {
    /// Longest time for the new process to start; the same limit applies again to its takeover.
    pub start: f64,
    /// Shortest trial period of the new process.
    pub settle: f64,
    /// Longest time without a message from the new process during its trial period.
    pub silent: f64,
    /// Longest time for the old process to finish its queries.
    pub finish: f64,
}

impl UpgradeTimes {
    /// Contents of an operators' file that enables upgrades with these durations.
    pub fn operators_file(self) -> Option<String> {
        let UpgradeTimes { start, settle, silent, finish } = self;
        Some(format!(
            "{{ upgrade = Some {{ start_s = {start:?}, settle_s = {settle:?}, silent_s = {silent:?}, finish_s = {finish:?} }} }}"
        ))
    }
}

impl Process {
    /// Starts a copy of the program and waits until it serves. `operators` holds the contents of the operators' file,
    /// if there is one. Standard error goes to the file `log` in the folder of the process.
    pub async fn start(program: &Path, node_config: Value, operators: Option<String>) -> Result<Process> {
        let folder = TempDir::new("serve")?;
        let copy = folder.path().join("pipitcrank");
        std::fs::copy(program, &copy).context("copying the program failed")?;
        let process = Process::begin(copy, folder, node_config, operators, Vec::new())?;
        process.wait_until_ready().await?;
        Ok(process)
    }

    /// Starts the program without copying it, with additional environment variables, and does not wait until it serves.
    pub fn start_with(
        program: &Path,
        node_config: Value,
        variables: Vec<(String, String)>,
    ) -> Result<Process> {
        Process::begin(program.to_path_buf(), TempDir::new("serve")?, node_config, None, variables)
    }

    fn begin(
        program: PathBuf,
        folder: TempDir,
        node_config: Value,
        operators: Option<String>,
        variables: Vec<(String, String)>,
    ) -> Result<Process> {
        let node_config_path = folder.path().join("charter.json");
        let address: SocketAddr = node_config["listen"].as_str().context("/listen")?.parse()?;
        std::fs::write(&node_config_path, node_config.to_string())?;
        let child = Process::spawn(&program, &node_config_path, folder.path(), operators, &variables)?;
        Ok(Process { child, address, program, node_config_path, folder, node_config, variables })
    }

    fn spawn(
        program: &Path,
        node_config_path: &Path,
        folder: &Path,
        operators: Option<String>,
        variables: &[(String, String)],
    ) -> Result<Child> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
        let mut command = Command::new(program);
        command
            .arg("serve")
            .envs(variables.iter().cloned())
            .env("NODE_CONFIG", node_config_path)
            .stdin(Stdio::null())
            .stderr(log);
        if let Some(text) = operators {
            let path = folder.join("operators.dhall");
            std::fs::write(&path, text)?;
            command.arg("--operators").arg(path);
        }
        // A child that another thread has just forked may briefly hold the new copy open for writing: exec then fails
        // with ETXTBSY.
        for _ in 0..100 {
            match command.spawn() {
                Err(e) if e.kind() == std::io::ErrorKind::ExecutableFileBusy => {
                    std::thread::sleep(Duration::from_millis(20));
                }
                result => return result.context("starting the program failed"),
            }
        }
        bail!("starting the program failed: its file was open for writing for 2 s")
    }

    /// Starts the process again after its exit and waits until it serves.
    pub async fn restart(&mut self, operators: Option<String>) -> Result<()> {
        self.respawn(operators)?;
        self.wait_until_ready().await
    }

    /// Starts the process again after its exit without waiting until it serves.
    pub fn respawn(&mut self, operators: Option<String>) -> Result<()> {
        self.child = Process::spawn(
            &self.program,
            &self.node_config_path,
            self.folder.path(),
            operators,
            &self.variables,
        )?;
        Ok(())
    }

    /// Waits up to 20 s until `/up` answers with status 200.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if client::get(self.address, "/up").await.is_some_and(|a| a.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        bail!("process did not serve within 20 s; its log: {}", self.log())
    }

    /// Process id.
    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    /// Sends a signal to the process, not to its workers.
    ///
    /// # Errors
    ///
    /// If the process no longer exists.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.pid()).context("process id is 0")?;
        kill_process(pid, signal).context("sending a signal to the process failed")
    }

    /// Exit status, if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and its workers with SIGKILL.
    pub fn kill(&mut self) {
        let workers = self.workers();
        let _ = self.child.kill();
        let _ = self.child.wait();
        workers.into_iter().for_each(|pid| signal_worker(pid, Signal::KILL));
    }

    /// CPU time of the process and its live workers, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        self.workers().into_iter().chain([self.pid()]).map(|pid| self.cpu_seconds_of(pid)).sum()
    }

    fn cpu_seconds_of(&self, pid: i32) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        // utime and stime are fields 14 and 15 (proc(5)), in ticks of 10 ms; the first two fields end at the bracket.
        let ticks: u64 = [11, 12].iter().filter_map(|&n| fields.get(n)?.parse::<u64>().ok()).sum();
        ticks as f64 / 100.0
    }

    /// Waits for the exit of the process; `None` if it is still running after `within`.
    pub async fn wait_for_exit(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Process ids of the workers in ascending order, normally the oldest first.
    pub fn workers(&self) -> Vec<i32> {
        let pid = self.pid();
        let children =
            std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
        let mut workers: Vec<i32> = children.split_whitespace().filter_map(|p| p.parse().ok()).collect();
        workers.sort();
        workers
    }

    /// Memory and descriptors of the process and its workers together.
    pub fn resource_usage(&self) -> ResourceUsage {
        let mut sum = ResourceUsage::default();
        for pid in self.workers().into_iter().chain([self.pid()]) {
            let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
            sum.memory_kb += line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
            sum.descriptors += std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count() as u64);
        }
        sum
    }

    /// Highest resident memory of the process so far, in kilobytes; 0 if it has exited. Workers are not included.
    pub fn peak_memory_kb(&self) -> u64 {
        peak_memory_kb(self.pid())
    }

    /// Value of a counter from `/counters`, 0 if it is not listed; `None` without an answer.
    pub async fn counter(&self, name: &str) -> Option<u64> {
        let answer = client::get(self.address, "/counters").await.filter(|a| a.status == 200)?;
        let line = answer.body.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        Some(line.and_then(|n| n.trim().parse().ok()).unwrap_or(0))
    }

    /// Writes the node configuration with one key changed. The process reads it at the next start or reload.
    pub fn override_node_config(&self, key: &str, value: Value) -> Result<()> {
        let mut node_config = self.node_config.clone();
        *node_config.pointer_mut(key).context("key not found in the node configuration")? = value;
        Ok(std::fs::write(&self.node_config_path, node_config.to_string())?)
    }

    /// Writes the original node configuration.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn restore_node_config(&self) -> Result<()> {
        Ok(std::fs::write(&self.node_config_path, self.node_config.to_string())?)
    }

    /// Complete log of the process; empty if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        for pid in self.workers() {
            if let Some(pid) = Pid::from_raw(pid) {
                let _ = kill_process(pid, Signal::KILL);
            }
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Highest resident memory of a process so far, in kilobytes; 0 if it has exited.
pub fn peak_memory_kb(pid: i32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Sends a signal to a worker; errors, such as that it has exited, are ignored.
pub fn signal_worker(pid: i32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid) {
        let _ = kill_process(pid, signal);
    }
}
