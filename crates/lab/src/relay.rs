//! A TCP relay that delays bytes, can be cut, and can lose track of its connections, as a middlebox
//! does.
//!
//! The timers of `tokio` tick by the millisecond, so a delay of 0.5 ms comes out as 1 to 2 ms.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// The bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The chunks of one direction that may be under way; the sender waits then, as on a full link.
const CHUNKS_UNDER_WAY: usize = 64;

/// What the relay does with bytes and new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Everything is forwarded.
    Open,
    /// No byte passes; a new connection is accepted and hangs.
    Hang,
    /// No byte passes on open connections; a new connection is closed at once.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct RelayState {
    mode: RelayMode,
    /// Raised each time open connections are lost track of.
    forgotten: u64,
}

/// What has passed a relay, both ways together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    /// The bytes, without the headers of TCP and IP.
    pub bytes: u64,
    /// The reads that they came in: about one for each segment on a quiet connection.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct TrafficCounter {
    bytes: AtomicU64,
    reads: AtomicU64,
}

impl TrafficCounter {
    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.reads.fetch_add(1, Ordering::Relaxed);
    }
}

/// A relay to one address.
#[derive(Debug)]
pub struct CutRelay {
    address: SocketAddr,
    traffic: Arc<TrafficCounter>,
    state: Arc<watch::Sender<RelayState>>,
    tasks: JoinSet<()>,
}

impl CutRelay {
    /// Starts a relay on a free port of 127.0.0.1 that passes bytes on after `delay` each way.
    ///
    /// # Errors
    ///
    /// Returns the [`io::Error`] of the bind.
    pub async fn start(target: SocketAddr, delay: Duration) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(crate::ports::pick_address())?;
        let listener = socket.listen(1024)?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(RelayState {
            mode: RelayMode::Open,
            forgotten: 0,
        }));
        let traffic = Arc::new(TrafficCounter::default());
        let link = RelayLink {
            target,
            delay,
            traffic: traffic.clone(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(accept_connections(listener, link, state.clone()));
        Ok(Self {
            address,
            traffic,
            state,
            tasks,
        })
    }

    /// Returns the relay's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what has passed so far.
    pub fn traffic(&self) -> RelayTraffic {
        RelayTraffic {
            bytes: self.traffic.bytes.load(Ordering::Relaxed),
            reads: self.traffic.reads.load(Ordering::Relaxed),
        }
    }

    /// Changes what the relay does. A connection on which bytes waited goes on when the relay is
    /// opened again, as TCP does after a cut.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Silences the connections that are open now, for good; new ones work.
    pub fn forget_connections(&self) {
        self.state.send_modify(|state| state.forgotten += 1);
    }

    /// Ends the relay and its connections.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Where a relay's connections lead, and what they have in common.
#[derive(Clone, Debug)]
struct RelayLink {
    target: SocketAddr,
    delay: Duration,
    traffic: Arc<TrafficCounter>,
}

async fn accept_connections(
    listener: TcpListener,
    link: RelayLink,
    state: Arc<watch::Sender<RelayState>>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((caller, _)) = accepted else { continue };
                let watcher = state.subscribe();
                if watcher.borrow().mode != RelayMode::Refuse {
                    connections.spawn(relay_connection(caller, link.clone(), watcher));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay_connection(
    caller: TcpStream,
    link: RelayLink,
    mut state: watch::Receiver<RelayState>,
) {
    let forgotten = state.borrow().forgotten;
    pass(&mut state, forgotten).await;
    let Ok(callee) = TcpStream::connect(link.target).await else {
        return;
    };
    // Without it the relay would add Nagle's delay to every small message.
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (callee_read, callee_write) = callee.into_split();
    let (to_callee, callee_chunks) = mpsc::channel(CHUNKS_UNDER_WAY);
    let (to_caller, caller_chunks) = mpsc::channel(CHUNKS_UNDER_WAY);
    tokio::join!(
        read_chunks(caller_read, &link, to_callee),
        read_chunks(callee_read, &link, to_caller),
        write_chunks(callee_write, callee_chunks, state.clone(), forgotten),
        write_chunks(caller_write, caller_chunks, state, forgotten),
    );
}

/// Bytes under way; an empty chunk is the end of the connection, a message as well.
struct DelayedChunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Waits until the relay is open; never returns for a connection that was lost track of.
async fn pass(state: &mut watch::Receiver<RelayState>, forgotten: u64) {
    let open = |state: &RelayState| state.mode == RelayMode::Open && state.forgotten == forgotten;
    if state.wait_for(open).await.is_err() {
        std::future::pending().await
    }
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    link: &RelayLink,
    chunks: mpsc::Sender<DelayedChunk>,
) {
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let count = from.read(&mut bytes).await.unwrap_or(0);
        bytes.truncate(count);
        link.traffic.count(count);
        let due = Instant::now() + link.delay;
        if chunks.send(DelayedChunk { due, bytes }).await.is_err() || count == 0 {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<DelayedChunk>,
    mut state: watch::Receiver<RelayState>,
    forgotten: u64,
) {
    while let Some(chunk) = chunks.recv().await {
        sleep_until(chunk.due).await;
        pass(&mut state, forgotten).await;
        if chunk.bytes.is_empty() || to.write_all(&chunk.bytes).await.is_err() {
            break;
        }
    }
    // The other side may be gone already; then there is nobody to tell.
    let _ = to.shutdown().await;
}
