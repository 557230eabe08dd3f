//! RPC calls of an endpoint stand-in's agent, in addition to the agent API of `ragwort_rpc`.

use crate::faults::FaultRequest;
use crate::faults::FaultState;
use crate::instance::FetchReply;
use crate::instance::FetchRequest;
use crate::instance::LogEntry;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// Replication, fault injection and inspection of an endpoint stand-in.
#[rpc(server, client, namespace = "lab")]
pub trait LabApi {
    /// Returns log entries to a follower; waits for new ones if there are none (long poll).
    #[method(name = "fetchLog")]
    async fn fetch_log(&self, request: FetchRequest) -> RpcResult<FetchReply>;

    /// Begins or ends a fault and returns the resulting state.
    #[method(name = "setFault")]
    async fn set_fault(&self, request: FaultRequest) -> RpcResult<FaultState>;

    /// Returns the whole log, even while the endpoint is frozen.
    #[method(name = "readLog")]
    async fn read_log(&self) -> RpcResult<Vec<LogEntry>>;
}
