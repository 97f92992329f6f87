//! A stand-in for discovery. It serves the complete list on request and a watch that continues from a given index.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval between empty lines on an idle watch; the protocol requires at least one every 2 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);

/// A stand-in discovery with its own listen address.
pub struct Discovery {
    /// Listen address.
    pub address: SocketAddr,
    /// Changes so far, in the form sent to watches. Each has a revision of its own; revision 1 is the initial list.
    changes: Rc<RefCell<Vec<String>>>,
    newest: watch::Sender<usize>,
    initial: Value,
    /// Current list.
    current: Rc<RefCell<Vec<Value>>>,
}

/// Builds one row of the list.
pub fn row(uid: &str, address: SocketAddr, cell: u32, state: &str, started_ms: i64) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "pod_group": cell, "state": state,
        "capacity_hint": 1.0, "boot_ms": started_ms})
}

fn list(rev: usize, complete: bool, rows: Vec<Value>) -> Value {
    json!({"rev": rev, "all": complete, "targets": rows})
}

impl Discovery {
    /// Starts a discovery with the rows as its initial list.
    ///
    /// # Errors
    ///
    /// If the listener cannot be opened.
    pub async fn start(rows: Vec<Value>) -> Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (newest, latest) = watch::channel(1);
        let changes: Rc<RefCell<Vec<String>>> = Rc::default();
        let current = Rc::new(RefCell::new(rows.clone()));
        let (served_changes, served_rows) = (changes.clone(), current.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_connection(
                    stream,
                    served_rows.clone(),
                    served_changes.clone(),
                    latest.clone(),
                ));
            }
        });
        Ok(Discovery { address, changes, newest, initial: list(1, true, rows), current })
    }

    /// The initial list, in the form that a node configuration contains.
    pub fn initial_list(&self) -> Value {
        self.initial.clone()
    }

    /// Adds or replaces a row, or removes it if its state is `left`; watches get the change.
    pub fn update_row(&self, row: Value) {
        {
            let mut current = self.current.borrow_mut();
            current.retain(|r| r["uid"] != row["uid"]);
            if row["state"] != "left" {
                current.push(row.clone());
            }
        }
        self.publish(|rev| list(rev, false, vec![row]).to_string());
    }

    /// Replaces the list; watches get the complete list as indented JSON.
    pub fn replace_list(&self, rows: Vec<Value>) {
        *self.current.borrow_mut() = rows.clone();
        self.publish(|rev| format!("{:#}", list(rev, true, rows)));
    }

    fn publish(&self, build: impl FnOnce(usize) -> String) {
        let rev = self.changes.borrow().len() + 2;
        self.changes.borrow_mut().push(build(rev));
        self.newest.send_replace(rev);
    }
}

async fn serve_connection(
    stream: TcpStream,
    current: Rc<RefCell<Vec<Value>>>,
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
        let body = list(rev, true, current.borrow().clone()).to_string();
        let response =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
        return to.write_all(response.as_bytes()).await;
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
