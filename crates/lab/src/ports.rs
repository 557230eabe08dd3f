//! Addresses on 127.0.0.1 for processes that are about to be started.
//!
//! Whole sets run beside one another, of tests, demos and soaks. Each process that picks claims a block
//! of ports for as long as it runs and picks from its own blocks only, so that no two sets ever mean the
//! same port.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Mutex;

/// The first port of the first block.
const FIRST_PORT: u16 = 10_000;

/// The ports of a block: enough for a set of 30 VMs. The first one marks the block as claimed.
const BLOCK_PORTS: u16 = 100;

/// The number of blocks. All lie below the range from which the system takes the ports of outgoing
/// connections, so that none of those can take a picked port first.
const BLOCK_COUNT: u16 = 220;

/// How far apart two processes of neighbouring ids begin to look for a block: what a former process
/// started may still try to reach the ports that it knew.
const BLOCK_STRIDE: u32 = 7;

/// A block of ports that belongs to this process.
struct PortBlock {
    /// Bound for as long as the process runs: nobody else can claim the block meanwhile.
    _claim: TcpListener,
    first: u16,
    /// The ports that were picked or passed over.
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

    /// Returns the next port at which nobody listens.
    ///
    /// It is tried by a connection. A listener that tries it would be inherited by each child that is being
    /// started at that moment, and take connections there after it was closed here: who waits until a
    /// process listens would believe that it does.
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

/// The blocks of this process; the last one is picked from.
static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Picks an address on 127.0.0.1 that no other process picks while this one runs.
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
