//! A stand-in for discovery: the whole list on request, and a watch that goes on from an index.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// An empty line is due every 2 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);

/// A stand-in discovery that listens on an address of its own.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Changes so far, each its own version; version 1 is the first list.
    changes: Rc<RefCell<Vec<String>>>,
    newest: watch::Sender<usize>,
    first: Value,
    /// The list as changed so far.
    now: Rc<RefCell<Vec<Value>>>,
}

/// One row of the list.
pub fn row(uid: &str, address: SocketAddr, cell: u32, state: &str, started_ms: i64) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "pod_group": cell, "state": state,
        "capacity_hint": 1.0, "boot_ms": started_ms})
}

fn list(rev: usize, all: bool, rows: Vec<Value>) -> Value {
    json!({"rev": rev, "all": all, "targets": rows})
}

impl Discovery {
    /// Starts it with those rows as its first list.
    ///
    /// # Errors
    ///
    /// That it can't listen.
    pub async fn start(rows: Vec<Value>) -> Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (newest, latest) = watch::channel(1);
        let changes: Rc<RefCell<Vec<String>>> = Rc::default();
        let now = Rc::new(RefCell::new(rows.clone()));
        let (sent, rows_held) = (changes.clone(), now.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(answer(stream, rows_held.clone(), sent.clone(), latest.clone()));
            }
        });
        Ok(Discovery { address, changes, newest, first: list(1, true, rows), now })
    }

    /// The first list, as a node configuration names it.
    pub fn initial_list(&self) -> Value {
        self.first.clone()
    }

    /// Changes a row; watches get it.
    pub fn update_row(&self, row: Value) {
        {
            let mut now = self.now.borrow_mut();
            now.retain(|r| r["uid"] != row["uid"]);
            if row["state"] != "left" {
                now.push(row.clone());
            }
        }
        self.publish(|rev| list(rev, false, vec![row]).to_string());
    }

    /// Replaces the list; watches get the whole of it, indented.
    pub fn replace_list(&self, rows: Vec<Value>) {
        *self.now.borrow_mut() = rows.clone();
        self.publish(|rev| format!("{:#}", list(rev, true, rows)));
    }

    fn publish(&self, what: impl FnOnce(usize) -> String) {
        let rev = self.changes.borrow().len() + 2;
        self.changes.borrow_mut().push(what(rev));
        self.newest.send_replace(rev);
    }
}

async fn answer(
    stream: TcpStream,
    now: Rc<RefCell<Vec<Value>>>,
    changes: Rc<RefCell<Vec<String>>>,
    mut latest: watch::Receiver<usize>,
) -> std::io::Result<()> {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    let mut line = String::new();
    from.read_line(&mut line).await?;
    let index = line.split("index=").nth(1).and_then(|r| r.split([' ', '&']).next()?.parse::<usize>().ok());
    let Some(mut sent) = index.filter(|_| line.contains("stream=1")) else {
        let rev = changes.borrow().len() + 1;
        let body = list(rev, true, now.borrow().clone()).to_string();
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
        return to.write_all(head.as_bytes()).await;
    };
    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    loop {
        let updates: Vec<String> = changes.borrow().iter().skip(sent.saturating_sub(1)).cloned().collect();
        sent += updates.len();
        let lines = if updates.is_empty() { "\n".to_string() } else { updates.join("\n") + "\n" };
        to.write_all(format!("{:x}\r\n{lines}\r\n", lines.len()).as_bytes()).await?;
        let _ = tokio::time::timeout(KEEPALIVE_INTERVAL, latest.changed()).await;
    }
}
