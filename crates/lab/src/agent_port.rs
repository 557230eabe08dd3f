//! The agent's RPC server: the calls that the platform defines, and the test bench's own calls.

use crate::endpoint::EndpointShared;
use crate::faults::FaultRequest;
use crate::faults::FaultState;
use crate::instance::FetchReply;
use crate::instance::FetchRequest;
use crate::instance::FollowTarget;
use crate::instance::LogEntry;
use crate::lab_rpc::LabApiServer;
use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use ragwort_rpc::AgentApiServer;
use ragwort_types::FenceReply;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceIdentity;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The maximum duration of a long poll, in milliseconds. It bounds the time for which the call of a
/// client that has gone away stays pending.
const MAX_LONG_POLL_MS: u64 = 60_000;

/// The agent of one endpoint.
#[derive(Clone, Debug)]
pub struct AgentService {
    shared: Arc<EndpointShared>,
}

impl AgentService {
    /// Creates the service.
    pub fn new(shared: Arc<EndpointShared>) -> Self {
        Self { shared }
    }

    /// Returns the RPC methods of the agent and of the test bench.
    pub fn into_methods(self) -> Methods {
        let mut methods = Methods::new();
        // Merging can't fail: the methods have different namespaces.
        let merged = methods
            .merge(AgentApiServer::into_rpc(self.clone()))
            .and_then(|()| methods.merge(LabApiServer::into_rpc(self)));
        debug_assert!(merged.is_ok());
        methods
    }

    /// Waits until the status differs from `known`, for `timeout_ms` at most.
    async fn wait_status_change(&self, known: InstanceStatus, timeout_ms: u64) {
        let mut status = self.shared.instance.watch_status();
        let max_wait = Duration::from_millis(timeout_ms.min(MAX_LONG_POLL_MS));
        // A timeout isn't an error: the caller reads the status afterwards in any case.
        let _ = timeout(max_wait, status.wait_for(|present| *present != known)).await;
    }
}

#[async_trait]
impl AgentApiServer for AgentService {
    async fn identity(&self) -> RpcResult<InstanceIdentity> {
        self.shared.wait_until_thawed().await;
        Ok(self.shared.identity.clone())
    }

    async fn status(&self) -> RpcResult<InstanceStatus> {
        self.shared.wait_until_thawed().await;
        Ok(self.shared.instance.status())
    }

    async fn wait_change(
        &self,
        known: InstanceStatus,
        timeout_ms: u64,
    ) -> RpcResult<InstanceStatus> {
        self.wait_status_change(known, timeout_ms).await;
        self.shared.wait_until_thawed().await;
        Ok(self.shared.instance.status())
    }

    async fn fence(&self, term: GroupTerm) -> RpcResult<FenceReply> {
        self.shared.wait_until_thawed().await;
        let reply = self.shared.instance.fence(term).await;
        log::info!("event=fence term={term} reply={reply:?}");
        Ok(reply)
    }

    async fn promote(&self, term: GroupTerm) -> RpcResult<FenceReply> {
        self.shared.wait_until_thawed().await;
        let lose_tail = self.shared.faults.borrow().lose_tail;
        let reply = self.shared.instance.promote(term, lose_tail).await;
        log::info!("event=promote term={term} reply={reply:?}");
        Ok(reply)
    }

    async fn follow(
        &self,
        term: GroupTerm,
        start: LogPosition,
        primary_agent: SocketAddr,
    ) -> RpcResult<FenceReply> {
        self.shared.wait_until_thawed().await;
        let target = FollowTarget {
            term,
            primary_agent,
        };
        let reply = self.shared.instance.follow(target).await;
        log::info!("event=follow term={term} start={start} reply={reply:?}");
        Ok(reply)
    }
}

#[async_trait]
impl LabApiServer for AgentService {
    async fn fetch_log(&self, request: FetchRequest) -> RpcResult<FetchReply> {
        self.shared.wait_until_thawed().await;
        let known = self.shared.instance.status();
        let reply = self.shared.instance.fetch(request).await;
        let nothing_yet = matches!(&reply, FetchReply::Entries(entries) if entries.is_empty());
        if !nothing_yet {
            return Ok(reply);
        }
        self.wait_status_change(known, request.wait_ms).await;
        self.shared.wait_until_thawed().await;
        Ok(self.shared.instance.fetch(request).await)
    }

    async fn set_fault(&self, request: FaultRequest) -> RpcResult<FaultState> {
        log::info!("event=fault request={request:?}");
        Ok(self.shared.set_fault(request).await)
    }

    async fn read_log(&self) -> RpcResult<Vec<LogEntry>> {
        Ok(self.shared.instance.read_log().await)
    }
}
