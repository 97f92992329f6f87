//! What this process is told at start, read and checked here: the variables NODE_* and the file that NODE_CONFIG
//! names. A fault names its key. What the decision module is told is read by `pipitcrank::told`.

use std::net::SocketAddr;
use std::time::Duration;

use pipitcrank::decide::Root;
use pipitcrank::time::Span;
use pipitcrank::told::{Faulty, Told};
use serde_json::Value;

use crate::clock::duration;
use crate::discovery::News;

/// Descriptors that are neither a client's nor a leaf's: standard ones, the runtime's, listener, discovery.
const OWN_SOCKETS: u32 = 24;

pub struct Charter {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: String,
    pub known: News,
    /// Sockets for clients at most, and as many for leaves.
    pub sockets_each: usize,
    pub verticals: Vec<String>,
    pub shards: u32,
    pub root: Root,
    pub tick: Span,
    pub most_open: usize,
    pub call_size: usize,
    pub drain_grace: Span,
    pub streams: usize,
    pub dial_limit: Duration,
    pub idle_limit: Duration,
}

impl Charter {
    /// From the file's text and the variables, which go before it.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Charter, Faulty> {
        let faulty = |key: &str, what: String| Faulty { key: key.to_string(), what };
        let all: Value =
            serde_json::from_str(text).map_err(|e| faulty("NODE_CONFIG", format!("is not JSON: {e}")))?;
        let outer = Told(&all);
        let word = |key: &str, name: &str| match variable(name) {
            Some(value) => Ok(value),
            None => outer.text(key).map(str::to_string),
        };
        let settings = all.get("settings").ok_or_else(|| faulty("/settings", "is missing".into()))?;
        let inner = Told(settings);
        // Keys of the settings are named from the file's root.
        let of = |f: Faulty| faulty(&format!("/settings{}", f.key), f.what);

        let listen = word("/listen", "NODE_LISTEN")?;
        let listen =
            listen.parse().map_err(|_| faulty("/listen", format!("is '{listen}', no address and port")))?;
        let seed = outer.text("/seed")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| faulty("/seed", format!("is '{seed}', not up to 16 hex digits")))?;
        let known = all.get("known").cloned().ok_or_else(|| faulty("/known", "is missing".into()))?;
        let known =
            serde_json::from_value(known).map_err(|e| faulty("/known", format!("is no list: {e}")))?;
        let sockets = outer.count("/limits/sockets")?;
        if sockets < 2 * OWN_SOCKETS {
            return Err(faulty("/limits/sockets", format!("is {sockets}, under {}", 2 * OWN_SOCKETS)));
        }
        let verticals = inner.verticals().map_err(of)?;
        for n in 0..verticals.len() {
            let key = format!("/domain/follow_up/{n}");
            if inner.number(&key).map_err(of)? > 0.0 {
                return Err(of(faulty(&key, "asks for a second step, which sockets don't have".into())));
            }
        }
        let streams = inner.count("/allowed/streams_per_conn").map_err(of)?;
        let call_size = inner.count("/domain/parts_a_call").map_err(of)?;
        if streams < call_size {
            let what = format!("is {streams}, less than one call's {call_size} parts");
            return Err(of(faulty("/allowed/streams_per_conn", what)));
        }
        let dial_limit = inner.span("/allowed/dial_timeout_s").map_err(of)?;
        let idle = inner.span("/allowed/conn_idle_s").map_err(of)?;
        Ok(Charter {
            name: word("/name", "NODE_NAME")?,
            listen,
            discovery: word("/discovery", "NODE_DISCOVERY")?,
            known,
            sockets_each: (sockets - OWN_SOCKETS) as usize / 2,
            verticals,
            shards: inner.count("/domain/shards").map_err(of)?,
            root: inner.root(seed).map_err(of)?,
            tick: inner.span("/tick_s").map_err(of)?,
            most_open: inner.count("/allowed/max_open").map_err(of)? as usize,
            call_size: call_size as usize,
            drain_grace: inner.span("/rules/drain_grace_s").map_err(of)?,
            streams: streams as usize,
            dial_limit: duration(dial_limit),
            // Closed before the leaf would: earlier by as long as a way there may take at most.
            idle_limit: duration(idle).saturating_sub(duration(dial_limit)),
        })
    }
}
