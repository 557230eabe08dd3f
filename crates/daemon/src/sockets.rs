//! Options of the TCP sockets to callers, endpoints and other VMs.

use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Sets the options that every long-lived connection of the daemon has.
///
/// Nagle's algorithm is off, since it would delay a short answer until the other end has
/// acknowledged the previous one. `lost_after` bounds how long sent data may stay unacknowledged:
/// if a device on the path has lost the connection's state, the kernel would otherwise resend for a
/// quarter of an hour, and a caller would see a connection that is open and silent.
///
/// # Errors
///
/// Returns the system's error when the socket is closed or an option is refused.
pub fn tune_stream(stream: &TcpStream, lost_after: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(lost_after))?;
    socket.set_keepalive(true)
}
