//! Connections to VMs that may be just about to return.
//!
//! # The load it answers
//!
//! Power returns to a whole failure domain, and its VMs start within half a second of each other. The
//! first ones look for the others at once.
//!
//! # Without it
//!
//! The first packet of a connection to a VM without power is lost, and the system sends it again
//! after a second. An attempt that began a moment before the VM's start waits for that second, or
//! until it is given up, while any new attempt would succeed: all that the two VMs have to agree on
//! waits with it.
//!
//! # Grounds for its figures
//!
//! A new attempt is begun each [`ATTEMPT_GAP`], more than a round trip between regions takes, so that
//! a VM that can be reached sees one attempt only. One that can't sees eight packets in 400 ms.

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The time after which another attempt is begun beside those that wait.
const ATTEMPT_GAP: Duration = Duration::from_millis(50);

/// Connects to `address` within `limit`, by the first attempt that succeeds.
///
/// # Errors
///
/// Returns the operating system's error if an attempt is refused, as by a VM on which nobody listens,
/// and [`io::ErrorKind::TimedOut`] if none is answered.
pub async fn connect_stream(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let first = race_attempts(limit, || TcpStream::connect(address));
    first
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Begins an attempt each [`ATTEMPT_GAP`] until one of them ends, and returns how; `None` if none does
/// within `limit`.
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
