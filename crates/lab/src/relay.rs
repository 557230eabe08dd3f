//! A TCP relay that injects network faults: a fixed delay, a partition, and connections that go
//! silent, as behind a NAT device that has lost its connection table.
//!
//! The timers of `tokio` have a resolution of 1 ms, so a delay of 0.5 ms takes 1 to 2 ms in
//! practice.

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

/// The maximum number of bytes that are read and forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The maximum number of delayed chunks in one direction. The relay stops reading at this limit,
/// which exerts back-pressure on the sender.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// The relay's treatment of open and new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards everything.
    Open,
    /// Forwards nothing; new connections are accepted but not connected to the target.
    Hang,
    /// Forwards nothing; new connections are closed at once.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct RelayState {
    mode: RelayMode,
    /// The number of calls of [`FaultRelay::silence_connections`]. A connection is silent if it was
    /// opened at a lower count.
    silence_count: u64,
}

/// The traffic that a relay has forwarded, in both directions together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    /// The number of payload bytes, without TCP and IP headers.
    pub bytes: u64,
    /// The number of reads, which is about the number of TCP segments on a connection with little
    /// traffic.
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

/// A relay to one target address.
#[derive(Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    traffic: Arc<TrafficCounter>,
    state: Arc<watch::Sender<RelayState>>,
    tasks: JoinSet<()>,
}

impl FaultRelay {
    /// Starts a relay on a free port of 127.0.0.1, with a one-way delay in each direction.
    ///
    /// # Errors
    ///
    /// Returns an [`io::Error`] if the port can't be bound.
    pub async fn start(target: SocketAddr, delay: Duration) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(crate::ports::pick_address())?;
        let listener = socket.listen(1024)?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(RelayState {
            mode: RelayMode::Open,
            silence_count: 0,
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

    /// Returns the address on which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> RelayTraffic {
        RelayTraffic {
            bytes: self.traffic.bytes.load(Ordering::Relaxed),
            reads: self.traffic.reads.load(Ordering::Relaxed),
        }
    }

    /// Changes the mode. Open connections resume with the bytes that were held back when the relay
    /// is opened again, as TCP connections do after a short partition.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Stops forwarding on the connections that are open now, for good and without closing them.
    /// New connections work.
    pub fn silence_connections(&self) {
        self.state.send_modify(|state| state.silence_count += 1);
    }

    /// Stops the relay and closes its connections.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// The parameters that all connections of a relay share.
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
    let silence_count = state.borrow().silence_count;
    wait_until_open(&mut state, silence_count).await;
    let Ok(callee) = TcpStream::connect(link.target).await else {
        return;
    };
    // Nagle's algorithm would delay small messages.
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (callee_read, callee_write) = callee.into_split();
    let (to_callee, callee_chunks) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    let (to_caller, caller_chunks) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::join!(
        read_chunks(caller_read, &link, to_callee),
        read_chunks(callee_read, &link, to_caller),
        write_chunks(callee_write, callee_chunks, state.clone(), silence_count),
        write_chunks(caller_write, caller_chunks, state, silence_count),
    );
}

/// Bytes in transit and the time at which to forward them. An empty chunk stands for the end of the
/// stream, which is delayed and held back in the same way.
struct DelayedChunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Waits until the relay is in [`RelayMode::Open`]; never returns for a silent connection.
async fn wait_until_open(state: &mut watch::Receiver<RelayState>, silence_count: u64) {
    let open =
        |state: &RelayState| state.mode == RelayMode::Open && state.silence_count == silence_count;
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
    silence_count: u64,
) {
    while let Some(chunk) = chunks.recv().await {
        sleep_until(chunk.due).await;
        wait_until_open(&mut state, silence_count).await;
        if chunk.bytes.is_empty() || to.write_all(&chunk.bytes).await.is_err() {
            break;
        }
    }
    // The peer may have closed its side already.
    let _ = to.shutdown().await;
}
