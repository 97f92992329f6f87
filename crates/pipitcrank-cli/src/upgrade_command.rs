//! `pipitcrank upgrade`: requests an upgrade from a process and reads the result from its counters.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};

use crate::exit_code;

/// Interval between reads of the counters.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for one connection or read of the counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(3);

/// Numbers of completed and rolled back upgrades of a process.
struct UpgradeCounts {
    done: u64,
    undone: u64,
}

/// Signals the process and, given its `address`, waits until its counters show the result of the upgrade.
pub(crate) fn upgrade(pid: i32, address: Option<SocketAddr>, wait: Duration) -> Result<i32> {
    let pid = Pid::from_raw(pid).filter(|_| pid > 1).context("--pid names no process")?;
    let before = address.map(read_counts).transpose()?;
    kill_process(pid, Signal::USR2).context("--pid can't be signalled")?;
    let (Some(address), Some(before)) = (address, before) else {
        println!("asked");
        return Ok(exit_code::SUCCESS);
    };
    let until = Instant::now() + wait;
    while Instant::now() < until {
        std::thread::sleep(POLL_INTERVAL);
        let Ok(now) = read_counts(address) else { continue };
        if now.done > before.done {
            println!("done");
            return Ok(exit_code::SUCCESS);
        }
        if now.undone > before.undone {
            println!("undone: the old program goes on; its log says why");
            return Ok(exit_code::FAILURE);
        }
    }
    bail!(
        "no end of it within {wait:?}: is /upgrade on in the operators' file of process {}?",
        pid.as_raw_nonzero()
    )
}

fn read_counts(address: SocketAddr) -> Result<UpgradeCounts> {
    let answer = request_counters(address)?;
    let count = |which: &str| {
        let line = answer
            .lines()
            .find_map(|line| line.strip_prefix("upgrades ")?.strip_prefix(which)?.strip_prefix(' '));
        line.and_then(|number| number.trim().parse().ok()).unwrap_or(0)
    };
    Ok(UpgradeCounts { done: count("done"), undone: count("undone") })
}

fn request_counters(address: SocketAddr) -> Result<String> {
    let mut stream =
        TcpStream::connect_timeout(&address, COUNTERS_TIMEOUT).context("--address does not answer")?;
    stream.set_read_timeout(Some(COUNTERS_TIMEOUT))?;
    stream.write_all(b"GET /counters HTTP/1.1\r\nHost: pipitcrank\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).context("--address does not answer")?;
    Ok(answer)
}
