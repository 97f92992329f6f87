//! The program under trial as a process of its own, in a folder of its own with its node configuration and operators' file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::client;

/// A temporary folder, removed when dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates the folder.
    ///
    /// # Errors
    ///
    /// That it can't be created.
    pub fn new(name: &str) -> Result<TempDir> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("pipitcrank-{name}-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One process of the program and its workers; killed when dropped.
pub struct Process {
    child: Child,
    /// Where it takes queries.
    pub address: SocketAddr,
    /// The program's file.
    pub program: PathBuf,
    /// File of its node configuration.
    pub node_config_path: PathBuf,
    /// Its folder.
    pub folder: TempDir,
    node_config: Value,
    /// Variables it is started with, beside its own.
    variables: Vec<(String, String)>,
}

/// What a process and its workers hold together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// Times of an upgrade's steps, in seconds.
#[derive(Clone, Copy)]
pub struct UpgradeTimes {
    /// Longest time for the new process to start, and again to take over, in seconds.
    pub start: f64,
    /// Least trial of the new process, in seconds.
    pub settle: f64,
    /// Longest silence of the new process in its trial, in seconds.
    pub silent: f64,
    /// Longest time for the old process to finish its queries, in seconds.
    pub finish: f64,
}

impl UpgradeTimes {
    /// An operators' file that turns upgrades on.
    pub fn operators_file(self) -> Option<String> {
        let UpgradeTimes { start, settle, silent, finish } = self;
        Some(format!(
            "{{ upgrade = Some {{ start_s = {start:?}, settle_s = {settle:?}, silent_s = {silent:?}, finish_s = {finish:?} }} }}"
        ))
    }
}

impl Process {
    /// Starts a copy of the program. `node_config` is the node configuration; `operators` is the operators' file, if there is one. What it logs goes to `log` in its
    /// folder.
    pub async fn start(program: &Path, node_config: Value, operators: Option<String>) -> Result<Process> {
        let folder = TempDir::new("serve")?;
        let own = folder.path().join("pipitcrank");
        std::fs::copy(program, &own).context("the program can't be copied")?;
        let process = Process::begin(own, folder, node_config, operators, Vec::new())?;
        process.wait_until_ready().await?;
        Ok(process)
    }

    /// Starts the program where it is, with those variables, and does not wait until it serves.
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
        // A copy just written may be held open for a moment by a child that another thread is about to start.
        for _ in 0..100 {
            match command.spawn() {
                Err(e) if e.kind() == std::io::ErrorKind::ExecutableFileBusy => {
                    std::thread::sleep(Duration::from_millis(20));
                }
                started => return started.context("the program can't be started"),
            }
        }
        bail!("the program's file is held open for writing")
    }

    /// Starts it anew after its end, as it was.
    pub async fn restart(&mut self, operators: Option<String>) -> Result<()> {
        self.respawn(operators)?;
        self.wait_until_ready().await
    }

    /// The same, without waiting until it serves.
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

    /// Waits until it serves.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if client::get(self.address, "/up").await.is_some_and(|a| a.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        bail!("it does not serve; its log: {}", self.log())
    }

    /// Its process id.
    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// That the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.pid()).context("a process has a number")?;
        kill_process(pid, signal).context("it can't be signalled")
    }

    /// Whether it has ended, and how.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Killed outright, with what it held, and its workers with it.
    pub fn kill(&mut self) {
        let workers = self.workers();
        let _ = self.child.kill();
        let _ = self.child.wait();
        workers.into_iter().for_each(|pid| signal_worker(pid, Signal::KILL));
    }

    /// Processor time used by it and its workers that live, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        self.workers().into_iter().chain([self.pid()]).map(|pid| self.cpu_seconds_of(pid)).sum()
    }

    fn cpu_seconds_of(&self, pid: i32) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        // The 14th and 15th field (proc(5)) in ticks of a hundredth of a second; two stand before the bracket.
        let ticks: u64 = [11, 12].iter().filter_map(|&n| fields.get(n)?.parse::<u64>().ok()).sum();
        ticks as f64 / 100.0
    }

    /// Waits for its exit; none where it did not end in time.
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

    /// Its workers, the oldest first.
    pub fn workers(&self) -> Vec<i32> {
        let pid = self.pid();
        let children =
            std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
        let mut found: Vec<i32> = children.split_whitespace().filter_map(|p| p.parse().ok()).collect();
        found.sort();
        found
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

    /// One counter's line.
    pub async fn counter(&self, what: &str) -> Option<u64> {
        let answer = client::get(self.address, "/counters").await.filter(|a| a.status == 200)?;
        let line = answer.body.lines().find_map(|l| l.strip_prefix(what)?.strip_prefix(' '));
        Some(line.and_then(|n| n.trim().parse().ok()).unwrap_or(0))
    }

    /// The node configuration with one key changed, as it is read at the next start.
    pub fn override_node_config(&self, key: &str, value: Value) -> Result<()> {
        let mut node_config = self.node_config.clone();
        *node_config.pointer_mut(key).context("a key of the charter")? = value;
        Ok(std::fs::write(&self.node_config_path, node_config.to_string())?)
    }

    /// Writes the node configuration as it was at the start.
    ///
    /// # Errors
    ///
    /// That the file can't be written.
    pub fn restore_node_config(&self) -> Result<()> {
        Ok(std::fs::write(&self.node_config_path, self.node_config.to_string())?)
    }

    /// All that it has logged.
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

/// Sends a signal to a worker that is alive.
pub fn signal_worker(pid: i32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid) {
        let _ = kill_process(pid, signal);
    }
}
