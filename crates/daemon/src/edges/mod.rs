//! The edges of the daemon: what an outside system has to be able to do, one file each.
//!
//! The daemon's own sides are PostgreSQL's protocol and JSON-RPC. A system that speaks otherwise
//! brings an implementation of these traits. An implementation translates and decides nothing:
//! sockets, time-outs, retries and all state are the daemon's.

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

/// Bytes that are no message of the protocol. The connection can't go on after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolFault {
    /// A message is longer than the protocol allows.
    TooLong,
    /// The bytes are no text.
    NotText,
    /// The text is no message, or one that isn't expected here.
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

/// The edges of a daemon whose databases keep terms of their own.
#[derive(Clone)]
pub struct NativeEdges {
    /// How callers speak.
    pub callers: Arc<dyn CallerProtocol>,
    /// How endpoints speak.
    pub endpoints: Arc<dyn EndpointProtocol>,
    /// Who promotes an instance.
    pub promotions: Arc<dyn PromotionService>,
    /// What else answers the outside.
    pub services: Arc<dyn ServiceEdge>,
}

/// Which sides a daemon has towards callers and endpoints.
#[derive(Clone)]
pub enum NodeEdges {
    /// PostgreSQL's protocol, and agents that answer by JSON-RPC.
    Postgres,
    /// Sides that were brought along.
    Native(NativeEdges),
}
