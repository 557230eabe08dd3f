//! The traits by which the daemon is adapted to other protocols and platforms, one file each.
//!
//! Without them the daemon speaks PostgreSQL's protocol to callers and endpoints, and JSON-RPC to
//! agents. An implementation of these traits only translates: sockets, time-outs, retries and all
//! state remain in the daemon.

mod callers;
mod endpoints;
mod promotions;
mod services;

pub use callers::CallerAnswer;
pub use callers::CallerError;
pub use callers::CallerErrorSort;
pub use callers::CallerMessage;
pub use callers::CallerProtocol;
pub use callers::CallerStatement;
pub use callers::SessionState;
pub use endpoints::EndpointCommand;
pub use endpoints::EndpointEnd;
pub use endpoints::EndpointMessage;
pub use endpoints::EndpointProtocol;
pub use endpoints::EndpointReport;
pub use promotions::PromotionOrder;
pub use promotions::PromotionReply;
pub use promotions::PromotionService;
pub use services::NodeServices;
pub use services::ServiceEdge;

use std::fmt;
use std::sync::Arc;

/// A fault in received bytes that aren't a valid message. The connection can't be used afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolFault {
    /// A message is longer than the protocol allows.
    TooLong,
    /// The bytes are not valid text.
    NotText,
    /// The text is not a message of the protocol, or a message that is not expected at this point.
    Malformed,
}

impl fmt::Display for ProtocolFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "message is too long",
            Self::NotText => "message is no text",
            Self::Malformed => "message is malformed",
        })
    }
}

/// The adapters of a daemon for databases that keep terms of their own.
#[derive(Clone)]
pub struct NativeEdges {
    /// The codec of the callers' protocol.
    pub callers: Arc<dyn CallerProtocol>,
    /// The codec of the endpoints' protocol.
    pub endpoints: Arc<dyn EndpointProtocol>,
    /// The service that promotes instances.
    pub promotions: Arc<dyn PromotionService>,
    /// The server for readiness, announcements and operators.
    pub services: Arc<dyn ServiceEdge>,
}

/// The protocols that a daemon uses towards callers and endpoints.
#[derive(Clone)]
pub enum NodeEdges {
    /// PostgreSQL's protocol, with agents that are called by JSON-RPC.
    Postgres,
    /// Protocols given by adapters.
    Native(NativeEdges),
}
