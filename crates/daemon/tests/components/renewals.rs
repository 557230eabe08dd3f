//! A member that renews its lease while the catalog stays the same.

use crate::running_member::RunningMember;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use std::sync::Arc;
use tokio::sync::mpsc;

failure_cases! {
    /// A VM leads hundreds of groups, and each of their tasks looked through all contracts whenever
    /// the VM's lease was renewed, several times a second. A renewal must wake none of them.
    renewed_lease_wakes_no_group => renewal_case();
}

/// Renewals after the first grant.
const RENEWALS: usize = 5;

async fn renewal_case() {
    let (granted, mut grants) = mpsc::unbounded_channel();
    let mut module = RpcModule::new(granted);
    module
        .register_method(
            "peer_heartbeat",
            |params, granted, _| -> RpcResult<serde_json::Value> {
                let request: HeartbeatRequest = params.one()?;
                let grant = LeaseGrant {
                    lease_ms: 60_000,
                    revision: request.revision,
                    delta: None,
                };
                granted.send(()).unwrap();
                Ok(serde_json::to_value(HeartbeatReply::Granted(grant)).unwrap())
            },
        )
        .unwrap();
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let control = server.local_addr().unwrap();
    let _server = server.start(module);
    let mut member = RunningMember::start("heartbeat_ms: 20", &[control]);
    member.view.changed().await.unwrap();
    let clock = member.clock;
    assert!(member.view.borrow_and_update().may_serve(clock.now()));
    // The reply of each heartbeat but the last one was taken before the next one was sent.
    for _ in 0..=RENEWALS + 1 {
        grants.recv().await.unwrap();
    }
    assert!(Arc::ptr_eq(&member.view.borrow().copy, &member.first_copy));
    assert!(!member.view.has_changed().unwrap());
    member.stop().await;
}
