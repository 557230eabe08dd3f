//! Links that carry statements from gateways to leaseholders.
//!
//! Statements are nearly all of the traffic between VMs, so they have connections of their own, with
//! compact frames ([`ragwort_rpc::FrameCodec`]) in place of remote calls: 21 MB between failure domains in
//! place of 24 for 9,200 requests with rows of 0.8 KB, three quarters of them from another domain.
//!
//! - [`links`] is the gateway's side. One task for each leaseholder owns the connection; it finds out
//!   when a leaseholder has fallen silent, and while there is none, calls fail at once.
//! - [`server`] is the leaseholder's side.

pub mod links;
pub mod server;

/// Bytes that may wait to be sent on a connection. Beyond that no further calls are taken in, or no
/// further ones read, until the other side has read some.
const MOST_UNSENT: usize = 8 * 1024 * 1024;

/// The bytes read at once. Rows take about a kilobyte, and several arrive together under load.
const READ_BYTES: usize = 16 * 1024;

/// Frames that are taken from a queue before the next write.
const FRAMES_AT_ONCE: usize = 64;
