//! Opens the listener for clients.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Longest accept queue; the system may allow less. When a queue overflows, the system drops what clients send until they
/// send it again, and a client that has left in the meantime can't be told from one that waits.
const ACCEPT_QUEUE_LENGTH: u32 = 4096;

/// Listens on the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}
