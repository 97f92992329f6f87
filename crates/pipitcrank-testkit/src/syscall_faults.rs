//! Injects system call faults into one process under test. A shared library (`shim/faults.c`) is preloaded into that
//! process and reads the failure rate of each kind of call from a mapped file. The rates can be changed while the
//! process runs.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::{Context, Result, bail};

use crate::process::TempDir;

const SOURCE: &str = include_str!("../shim/faults.c");
/// Layout of the mapped file: as many rates as `shim/faults.c` has kinds, then the step of the wall clock, then the
/// seed.
const KINDS: u64 = 16;
const WALL_STEP_OFFSET: u64 = KINDS * 4;
const SEED_OFFSET: u64 = WALL_STEP_OFFSET + 8;
const MILLION: f64 = 1e6;

/// Kind of fault, in the order of the kinds in `shim/faults.c`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyscallFault {
    /// A read returns 1 to 40 bytes although more may be available.
    ShortRead,
    /// A write accepts 1 to 40 bytes of the data offered.
    ShortWrite,
    /// `accept4` fails with ECONNABORTED, ENFILE, ENOBUFS, EMFILE or EINTR.
    Accept,
    /// `socket` fails with ENFILE, EMFILE or ENOBUFS.
    Socket,
    /// `connect` fails with EADDRNOTAVAIL, ENETUNREACH, EINTR or ENOBUFS.
    Connect,
    /// `bind` fails with EADDRINUSE or ENOBUFS.
    Bind,
    /// A read, write or wait fails with EINTR.
    Interrupt,
    /// A read on an outgoing connection fails with ETIMEDOUT, EHOSTUNREACH or ECONNRESET.
    Broken,
    /// The process blocks for 140 ms before a write.
    Hold,
    /// Opening the node configuration fails with EMFILE, ENFILE or EIO.
    Open,
}

/// The compiled fault library, built once for all processes.
pub struct FaultLibrary {
    folder: TempDir,
}

impl FaultLibrary {
    /// Builds the library with the system's C compiler.
    ///
    /// # Errors
    ///
    /// If the compiler cannot be started or fails.
    pub fn build() -> Result<FaultLibrary> {
        let folder = TempDir::new("shim")?;
        let source = folder.path().join("faults.c");
        std::fs::write(&source, SOURCE)?;
        let output = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(folder.path().join("faults.so"))
            .arg(&source)
            .arg("-ldl")
            .output()
            .context("starting the C compiler cc failed")?;
        if !output.status.success() {
            bail!("cc failed to build the fault library: {}", String::from_utf8_lossy(&output.stderr));
        }
        Ok(FaultLibrary { folder })
    }

    fn library(&self) -> PathBuf {
        self.folder.path().join("faults.so")
    }

    /// Creates the fault controls of one process, with all rates at zero.
    pub fn for_process(&self, name: &str, seed: u64) -> Result<ProcessFaults> {
        let path = self.folder.path().join(format!("control-{name}"));
        let file = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        file.set_len(SEED_OFFSET + 8)?;
        file.write_all_at(&seed.to_ne_bytes(), SEED_OFFSET)?;
        Ok(ProcessFaults { file, path, library: self.library() })
    }
}

/// Fault controls of one process.
pub struct ProcessFaults {
    file: File,
    path: PathBuf,
    library: PathBuf,
}

impl ProcessFaults {
    /// Environment variables for the process.
    pub fn variables(&self) -> Vec<(String, String)> {
        let text = |path: &Path| path.display().to_string();
        vec![
            ("LD_PRELOAD".to_string(), text(&self.library)),
            ("PIPITCRANK_FAULTS".to_string(), text(&self.path)),
        ]
    }

    /// Sets the fraction of calls that fail.
    pub fn set(&self, fault: SyscallFault, fraction: f64) -> Result<()> {
        let rate = (fraction.clamp(0.0, 1.0) * MILLION) as u32;
        Ok(self.file.write_all_at(&rate.to_ne_bytes(), fault as u64 * 4)?)
    }

    /// Sets the offset of the wall clock in the process.
    pub fn step_wall_clock(&self, seconds: f64) -> Result<()> {
        Ok(self.file.write_all_at(&((seconds * MILLION) as i64).to_ne_bytes(), WALL_STEP_OFFSET)?)
    }
}
