//! System calls that fail in a process under test: a small library of our own (`shim/faults.c`), loaded into that process
//! alone, reads from a mapped file how often each kind fails. The rates are changed while the process runs.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::{Context, Result, bail};

use crate::process::TempDir;

const SOURCE: &str = include_str!("../shim/faults.c");
/// Places in the mapped file: as many rates as the source has kinds, then the wall clock's step, then the seed.
const KINDS: u64 = 16;
const WALL_STEP: u64 = KINDS * 4;
const SEED: u64 = WALL_STEP + 8;
const MILLION: f64 = 1e6;

/// Which call fails, in the order of the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyscallFault {
    /// A read brings 1 to 40 bytes while more are there.
    ShortRead,
    /// A write takes only a part of what is offered.
    ShortWrite,
    /// ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR.
    Accept,
    /// ENFILE, EMFILE, ENOBUFS.
    Socket,
    /// EADDRNOTAVAIL, ENETUNREACH, EINTR, ENOBUFS.
    Connect,
    /// EADDRINUSE, ENOBUFS.
    Bind,
    /// EINTR at reads, writes and waits.
    Interrupt,
    /// ETIMEDOUT, EHOSTUNREACH, ECONNRESET at reads from whom it has called.
    Broken,
    /// The process is held up for 140 ms before a write.
    Hold,
    /// EMFILE, ENFILE, EIO as its configuration is opened.
    Open,
}

/// The library, built once.
pub struct FaultLibrary {
    folder: TempDir,
}

impl FaultLibrary {
    /// Builds the library with the system's C compiler.
    ///
    /// # Errors
    ///
    /// That the compiler can't be started or fails.
    pub fn build() -> Result<FaultLibrary> {
        let folder = TempDir::new("shim")?;
        let source = folder.path().join("faults.c");
        std::fs::write(&source, SOURCE)?;
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(folder.path().join("faults.so"))
            .arg(&source)
            .arg("-ldl")
            .output()
            .context("cc can't be started")?;
        if !built.status.success() {
            bail!("the shim can't be built: {}", String::from_utf8_lossy(&built.stderr));
        }
        Ok(FaultLibrary { folder })
    }

    fn library(&self) -> PathBuf {
        self.folder.path().join("faults.so")
    }

    /// For one process: nothing fails yet.
    pub fn for_process(&self, name: &str, seed: u64) -> Result<ProcessFaults> {
        let path = self.folder.path().join(format!("control-{name}"));
        let file = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        file.set_len(SEED + 8)?;
        file.write_all_at(&seed.to_ne_bytes(), SEED)?;
        Ok(ProcessFaults { file, path, library: self.library() })
    }
}

/// What fails in one process.
pub struct ProcessFaults {
    file: File,
    path: PathBuf,
    library: PathBuf,
}

impl ProcessFaults {
    /// Variables that the process is started with.
    pub fn variables(&self) -> Vec<(String, String)> {
        let text = |path: &Path| path.display().to_string();
        vec![
            ("LD_PRELOAD".to_string(), text(&self.library)),
            ("PIPITCRANK_FAULTS".to_string(), text(&self.path)),
        ]
    }

    /// Sets the fraction of the calls that fail from now on.
    pub fn set(&self, fault: SyscallFault, fraction: f64) -> Result<()> {
        let rate = (fraction.clamp(0.0, 1.0) * MILLION) as u32;
        Ok(self.file.write_all_at(&rate.to_ne_bytes(), fault as u64 * 4)?)
    }

    /// From now on the process's wall clock is off by so many seconds.
    pub fn step_wall_clock(&self, seconds: f64) -> Result<()> {
        Ok(self.file.write_all_at(&((seconds * MILLION) as i64).to_ne_bytes(), WALL_STEP)?)
    }
}
