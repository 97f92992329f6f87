//! `pipitcrank upgrade`: asks, and reads from the counters how it ended.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};

const LOOK: Duration = Duration::from_millis(100);
/// A co-ordinator that does not answer for so long is not looked at any longer in this try.
const SLOW: Duration = Duration::from_secs(3);

pub fn upgrade(pid: i32, address: Option<SocketAddr>, wait: Duration) -> Result<i32> {
    let pid = Pid::from_raw(pid).filter(|_| pid > 1).context("--pid names no process")?;
    let before = address.map(counted).transpose()?;
    kill_process(pid, Signal::USR2).context("--pid can't be signalled")?;
    let (Some(address), Some(before)) = (address, before) else {
        println!("asked");
        return Ok(0);
    };
    let until = Instant::now() + wait;
    while Instant::now() < until {
        std::thread::sleep(LOOK);
        let Ok(now) = counted(address) else { continue };
        if now.1 > before.1 {
            println!("done");
            return Ok(0);
        }
        if now.2 > before.2 {
            println!("undone: the old program goes on; its log says why");
            return Ok(1);
        }
    }
    bail!(
        "no end of it within {wait:?}: is /upgrade on in the operators' file of process {}?",
        pid.as_raw_nonzero()
    )
}

/// Upgrades asked for, done and undone.
fn counted(address: SocketAddr) -> Result<(u64, u64, u64)> {
    let mut stream = TcpStream::connect_timeout(&address, SLOW).context("--address does not answer")?;
    stream.set_read_timeout(Some(SLOW))?;
    stream.write_all(b"GET /counters HTTP/1.1\r\nHost: pipitcrank\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).context("--address does not answer")?;
    let count = |which: &str| {
        let line =
            answer.lines().find_map(|l| l.strip_prefix("upgrades ")?.strip_prefix(which)?.strip_prefix(' '));
        line.and_then(|n| n.trim().parse().ok()).unwrap_or(0)
    };
    Ok((count("asked"), count("done"), count("undone")))
}
