//! The lab's own calls on an agent's port, beside those of `ragwort_rpc`.

use crate::faults::FaultRequest;
use crate::faults::FaultState;
use crate::instance::FetchReply;
use crate::instance::FetchRequest;
use crate::instance::LogEntry;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// Replication, faults and inspection of a stand-in.
#[rpc(server, client, namespace = "lab")]
pub trait LabApi {
    /// Returns log entries to a follower.
    #[method(name = "fetchLog")]
    async fn fetch_log(&self, request: FetchRequest) -> RpcResult<FetchReply>;

    /// Begins or ends a fault.
    #[method(name = "setFault")]
    async fn set_fault(&self, request: FaultRequest) -> RpcResult<FaultState>;

    /// Returns the whole log, also while the endpoint is frozen.
    #[method(name = "readLog")]
    async fn read_log(&self) -> RpcResult<Vec<LogEntry>>;
}
