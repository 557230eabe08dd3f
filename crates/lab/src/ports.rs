//! Selection of unused addresses on 127.0.0.1 for processes that are about to be started.
//!
//! Several tests, demos and soak runs may start deployments at the same time. Each process claims
//! blocks of ports by binding the first port of a block for as long as it runs, and picks from its
//! own blocks only, so that no two processes pick the same port.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Mutex;

/// The first port of the first block.
const FIRST_PORT: u16 = 10_000;

/// The number of ports in a block, enough for 30 VMs. The first one is bound to claim the block.
const BLOCK_PORTS: u16 = 100;

/// The number of blocks. All lie below the system's ephemeral port range, so that an outgoing
/// connection can't use a picked port first.
const BLOCK_COUNT: u16 = 220;

/// The distance, in blocks, between the first choices of processes with consecutive ids. Children
/// of a process that has ended may still try to reach its ports, so the next process should start
/// with other blocks.
const BLOCK_STRIDE: u32 = 7;

/// A block of ports claimed by this process.
struct PortBlock {
    /// The listener on the block's first port, which keeps other processes from claiming the block.
    _claim: TcpListener,
    first: u16,
    /// The number of ports that were picked, skipped or used for the claim.
    used: u16,
}

impl PortBlock {
    fn claim(index: u16) -> Option<Self> {
        let first = FIRST_PORT + index * BLOCK_PORTS;
        let claim = TcpListener::bind(on_loopback(first)).ok()?;
        Some(Self {
            _claim: claim,
            first,
            used: 1,
        })
    }

    /// Returns the next port on which no process listens.
    ///
    /// The check is a connection attempt. A trial bind would not do: a child process that is being
    /// started at that moment inherits the listener and keeps it open until its program is loaded,
    /// so that a test which waits for another process to listen would connect to the trial
    /// listener.
    fn pick(&mut self) -> Option<SocketAddr> {
        while self.used < BLOCK_PORTS {
            let address = on_loopback(self.first + self.used);
            self.used += 1;
            if TcpStream::connect(address).is_err() {
                return Some(address);
            }
        }
        None
    }
}

/// The blocks claimed by this process; ports are picked from the last one.
static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Returns an unused address on 127.0.0.1 that no other process picks while this one runs.
///
/// # Panics
///
/// Panics if all blocks are claimed.
pub fn pick_address() -> SocketAddr {
    let mut blocks = BLOCKS.lock().expect("no holder of this lock panics");
    loop {
        if let Some(address) = blocks.last_mut().and_then(PortBlock::pick) {
            return address;
        }
        let block = claim_block();
        blocks.push(block.expect("no block of ports is free on 127.0.0.1"));
    }
}

fn claim_block() -> Option<PortBlock> {
    let start = (std::process::id() * BLOCK_STRIDE) % u32::from(BLOCK_COUNT);
    let indexes = (0..BLOCK_COUNT).map(|step| (start as u16 + step) % BLOCK_COUNT);
    indexes.into_iter().find_map(PortBlock::claim)
}

fn on_loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
