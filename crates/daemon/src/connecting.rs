//! Opens TCP connections by staggered concurrent attempts.
//!
//! When power returns to a whole failure domain, its VMs start within half a second of each other
//! and connect to each other at once. The first packet to a VM that isn't up yet is lost, and the
//! kernel sends it again only after a second. An attempt that began a moment before the other VM
//! started would wait for that second, or until its time limit, while a new attempt would succeed;
//! everything that the two VMs have to agree on would wait with it.
//!
//! So a new attempt is begun every [`ATTEMPT_GAP`], and the first one to end decides. The gap is
//! longer than a round trip between regions, so that a reachable VM sees only one attempt. An
//! unreachable VM is sent eight packets in 400 ms.

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The time after which another attempt is begun while earlier ones are pending.
const ATTEMPT_GAP: Duration = Duration::from_millis(50);

/// Connects to `address` within `limit`, with the first attempt that succeeds.
///
/// # Errors
///
/// Returns the operating system's error if an attempt is refused, as by a VM on which nothing
/// listens, and [`io::ErrorKind::TimedOut`] if none is answered.
pub async fn connect_stream(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let first = race_attempts(limit, || TcpStream::connect(address));
    first
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Begins an attempt every [`ATTEMPT_GAP`] until one of them ends, and returns its output; `None`
/// if none ends within `limit`.
pub async fn race_attempts<Attempt: Future>(
    limit: Duration,
    attempt: impl Fn() -> Attempt,
) -> Option<Attempt::Output> {
    let mut attempts = FuturesUnordered::new();
    let racing = async {
        loop {
            attempts.push(attempt());
            if let Ok(Some(ended)) = timeout(ATTEMPT_GAP, attempts.next()).await {
                return ended;
            }
        }
    };
    timeout(limit, racing).await.ok()
}
