//! Control VMs that grant leases late.

use crate::running_member::RunningMember;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

failure_cases! {
    /// Control VMs were short of processor time and granted each lease after a third of it. The
    /// member had stopped waiting by then, and its lease ended although control had renewed it.
    grant_that_comes_late_is_taken => late_grant_case();
    /// The lease that a member asks for covers the time that its heartbeats take. Heartbeats that
    /// slow control VMs answered late didn't count, and the member's lease ended again and again.
    late_grants_lengthen_the_lease => longer_lease_case();
    /// Members repeated their heartbeats to control VMs that had yet to answer the ones before,
    /// which kept the control VMs as busy as they were.
    unanswered_heartbeat_is_not_repeated => unanswered_case();
}

/// A granted lease that outlasts each case, in milliseconds.
const LONG_LEASE_MS: u64 = 60_000;

type HeldHeartbeat = (HeartbeatRequest, oneshot::Sender<HeartbeatReply>);

/// A control VM that answers each heartbeat when the test tells it to.
struct HeldControl {
    address: SocketAddr,
    heartbeats: mpsc::UnboundedReceiver<HeldHeartbeat>,
    _server: ServerHandle,
}

impl HeldControl {
    async fn start() -> Self {
        let (received, heartbeats) = mpsc::unbounded_channel();
        let mut module = RpcModule::new(received);
        module
            .register_async_method("peer_heartbeat", |params, received, _| async move {
                let request: HeartbeatRequest = params.one()?;
                let (reply, answer) = oneshot::channel();
                // The receiver is gone once the case has ended.
                let _ = received.send((request, reply));
                let reply = answer.await.unwrap_or(HeartbeatReply::NotYet);
                RpcResult::Ok(serde_json::to_value(reply).unwrap())
            })
            .unwrap();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        Self {
            address: server.local_addr().unwrap(),
            heartbeats,
            _server: server.start(module),
        }
    }

    async fn receive(&mut self) -> HeldHeartbeat {
        self.heartbeats.recv().await.unwrap()
    }
}

fn grant(request: &HeartbeatRequest) -> HeartbeatReply {
    HeartbeatReply::Granted(LeaseGrant {
        lease_ms: LONG_LEASE_MS,
        revision: request.revision,
        delta: None,
    })
}

async fn late_grant_case() {
    let mut first = HeldControl::start().await;
    let mut second = HeldControl::start().await;
    let timing = "heartbeat_ms: 2000, lease_ms: 60000";
    let mut member = RunningMember::start(timing, &[first.address, second.address]);
    let (request, reply) = first.receive().await;
    let _held = second.receive().await;
    // The member waits for each control VM for a third of its lease of 8 s.
    sleep(Duration::from_millis(4_000)).await;
    reply.send(grant(&request)).unwrap();
    member.wait_for_lease().await;
    member.stop().await;
}

async fn longer_lease_case() {
    let mut control = HeldControl::start().await;
    let timing = "heartbeat_ms: 500, lease_ms: 60000";
    let member = RunningMember::start(timing, &[control.address]);
    let (request, reply) = control.receive().await;
    let asked_first = request.member.lease_ms;
    reply.send(grant(&request)).unwrap();
    loop {
        let (request, reply) = control.receive().await;
        if request.member.lease_ms > asked_first {
            break;
        }
        sleep(Duration::from_millis(asked_first * 2 / 3)).await;
        // The call has ended if the machine paused meanwhile.
        let _ = reply.send(grant(&request));
    }
    member.stop().await;
}

async fn unanswered_case() {
    let mut first = HeldControl::start().await;
    let mut second = HeldControl::start().await;
    let timing = "heartbeat_ms: 2000, lease_ms: 60000";
    let member = RunningMember::start(timing, &[first.address, second.address]);
    let _held = first.receive().await;
    // While the first one doesn't answer, the member searches again and again.
    for _ in 0..4 {
        let (_, reply) = second.receive().await;
        reply.send(HeartbeatReply::NotYet).unwrap();
    }
    assert!(first.heartbeats.try_recv().is_err());
    member.stop().await;
}
