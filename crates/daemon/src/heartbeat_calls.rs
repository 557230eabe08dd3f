//! The heartbeats of a member that wait for an answer.
//!
//! A member asks the next control VM when one takes long to answer, and still takes the answer when
//! it comes. Control VMs that are short of processor time grant every lease, only late; if those
//! grants were discarded, the members' leases would end and each member would ask all control VMs
//! again, which takes even more of their time.

use crate::clock::NodeClock;
use crate::peers::PeerLinks;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use jsonrpsee_ws_client::WsClient;
use ragwort_control::ClockTime;
use ragwort_rpc::PeerApiClient;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The unanswered heartbeats, at most one for each control VM.
pub(crate) struct HeartbeatCalls {
    clock: NodeClock,
    links: PeerLinks,
    unanswered: FuturesUnordered<BoxFuture<'static, HeartbeatAnswer>>,
    addresses: SmallVec<[SocketAddr; 8]>,
}

/// The end of a heartbeat's call.
pub(crate) struct HeartbeatAnswer {
    /// The control VM.
    pub(crate) address: SocketAddr,
    /// When the heartbeat was sent, from which the lease counts.
    pub(crate) sent: ClockTime,
    /// What the heartbeat was sent for.
    pub(crate) purpose: HeartbeatPurpose,
    /// The reply; `None` if there was none.
    pub(crate) reply: Option<HeartbeatReply>,
}

/// What a heartbeat is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatPurpose {
    /// To renew a lease at the control VM that granted it.
    Renewal,
    /// To find a control VM that grants a lease.
    Search,
}

impl HeartbeatCalls {
    /// Creates the calls of a member that has sent none.
    pub(crate) fn new(clock: NodeClock, links: PeerLinks) -> Self {
        Self {
            clock,
            links,
            unanswered: FuturesUnordered::new(),
            addresses: SmallVec::new(),
        }
    }

    /// Says whether a control VM has yet to answer a heartbeat.
    pub(crate) fn is_unanswered(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }

    /// Sends a heartbeat, unless the control VM has yet to answer an earlier one; without a reply
    /// the call ends after `limit`.
    pub(crate) fn send(
        &mut self,
        address: SocketAddr,
        purpose: HeartbeatPurpose,
        request: HeartbeatRequest,
        limit: Duration,
    ) {
        if self.is_unanswered(address) {
            return;
        }
        self.addresses.push(address);
        let (clock, links) = (self.clock, self.links.clone());
        let calling = async move {
            let sent = clock.now();
            let call = |client: Arc<WsClient>| async move { client.heartbeat(request).await };
            let reply = links.call(address, limit, call).await;
            HeartbeatAnswer {
                address,
                sent,
                purpose,
                reply: reply.ok().map(|reply| reply.0),
            }
        };
        self.unanswered.push(calling.boxed());
    }

    /// Waits for the next end of a call; without any, for good. The future may be dropped without
    /// losing an answer.
    pub(crate) async fn next(&mut self) -> HeartbeatAnswer {
        match self.unanswered.next().await {
            Some(answer) => {
                self.addresses.retain(|address| *address != answer.address);
                answer
            }
            None => std::future::pending().await,
        }
    }
}
