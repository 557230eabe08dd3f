//! Persistent connections that carry statements from gateways to leaseholders.
//!
//! Statements make up nearly all of the traffic between VMs. They therefore use connections of
//! their own, with compact frames ([`ragwort_rpc::FrameCodec`]) in place of JSON-RPC calls. For
//! 9,200 requests with rows of 0.8 KB, three quarters of them from another failure domain, that
//! takes 21 MB between failure domains in place of 24 MB.
//!
//! - [`links`] is the client side, in the gateway. One task for each leaseholder owns the
//!   connection and detects a leaseholder that stops responding. While there is no connection,
//!   calls fail at once.
//! - [`server`] is the server side, in the leaseholder.

pub mod links;
pub mod server;

/// The high-water mark of a connection's send buffer, in bytes. Above it the client accepts no
/// further calls, and the server reads no further frames, until the other side has received some.
const MAX_UNSENT_BYTES: usize = 8 * 1024 * 1024;

/// The buffer space reserved for one read, in bytes. Rows take about a kilobyte, and several arrive
/// together under load.
const READ_BYTES: usize = 16 * 1024;

/// The maximum number of frames taken from a queue before the next write.
const MAX_FRAMES_PER_BATCH: usize = 64;
