//! Links for calls between VMs: whether a failed call may have run.

use crate::bench::UNREACHABLE_ADDRESS;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use jsonrpsee_ws_client::WsClient;
use ragwort_lab::relay::FaultRelay;
use ragwort_lab::relay::RelayMode;
use ragwort_rpc::PeerApiClient;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwortgated::peers::LinkError;
use ragwortgated::peers::PeerLinks;
use ragwortgated::peers::pass_announcement;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A limit that no healthy call comes near.
const LONG: Duration = Duration::from_secs(50);

/// A limit that no test lasts for.
const HOUR: Duration = Duration::from_secs(3_600);

/// A limit that a test lets expire.
const SHORT: Duration = Duration::from_millis(200);

failure_cases! {
    /// The other VM is down before the call. No connection can be opened, so the call was not run.
    unreachable_peer_has_not_run_the_call => unreachable_case();
    /// A new connection is accepted, but nothing comes back on it, as through a host that is cut
    /// off. The call was not sent.
    hanging_connection_has_not_run_the_call => hanging_case();
    /// The link breaks while the other VM runs the call, which may have taken effect.
    link_lost_during_a_call_leaves_doubt => lost_case();
    /// The network path has dropped the connection's state. The link looks open and never answers,
    /// while new connections work. One call times out on it; the next one uses a new connection.
    silent_link_is_replaced => silent_case();
    /// The link goes silent while the other VM runs a call with a limit of an hour. The caller must
    /// learn that the outcome is unknown well before that.
    silence_ends_a_call_before_its_limit => silent_call_case();
    /// The other VM answers with an error. The link stays usable, but the call reached the VM and
    /// may have run.
    rejected_call_may_have_run => rejected_case();
    /// An endpoint announces that it is leaving, and a VM that doesn't lead its group answers at
    /// its leaseholder's former address. If the announcement counted as delivered, the endpoint
    /// would stop while the leaseholder still sends it statements.
    announcement_that_another_vm_takes_has_not_reached_the_leaseholder => misdirected_case();
}

/// Calls `peer_ping` of the VM at this address.
async fn ping(links: &PeerLinks, address: SocketAddr, limit: Duration) -> Result<(), LinkError> {
    let call = |client: Arc<WsClient>| async move { client.ping().await };
    links.call(address, limit, call).await
}

/// Starts a peer that never replies, behind a relay by which the test breaks its connections.
async fn start_relayed() -> (FakePeer, FaultRelay) {
    let peer = FakePeer::start(PeerScript::Hang).await;
    let relay = FaultRelay::start(peer.address, Duration::ZERO).await;
    (peer, relay.unwrap())
}

async fn unreachable_case() {
    let links = PeerLinks::new(LONG);
    let error = ping(&links, UNREACHABLE_ADDRESS, LONG).await.unwrap_err();
    assert_eq!(error, LinkError::Unreachable);
    assert!(!error.may_have_run());
}

async fn hanging_case() {
    let (peer, relay) = start_relayed().await;
    relay.set_mode(RelayMode::Hang);
    let links = PeerLinks::new(SHORT);
    let error = ping(&links, relay.address(), LONG).await.unwrap_err();
    assert_eq!(error, LinkError::Unreachable);
    relay.stop().await;
    peer.stop().await;
}

async fn lost_case() {
    let (peer, relay) = start_relayed().await;
    let links = PeerLinks::new(LONG);
    let request = crate::bench::RequestBuilder::new("grant", "append case-7 grant").into_request();
    let call = |client: Arc<WsClient>| async move { client.execute(request).await };
    let address = relay.address();
    let (ended, ()) = tokio::join!(links.call(address, LONG, call), async {
        peer.wait_received(1).await;
        relay.stop().await;
    });
    let error = ended.unwrap_err();
    assert_eq!(error, LinkError::Lost);
    assert!(error.may_have_run());
    peer.stop().await;
}

async fn silent_case() {
    let (peer, relay) = start_relayed().await;
    let links = PeerLinks::new(LONG);
    assert_eq!(ping(&links, relay.address(), LONG).await, Ok(()));
    relay.silence_connections();
    let lost = ping(&links, relay.address(), SHORT).await;
    assert_eq!(lost, Err(LinkError::Lost));
    assert_eq!(ping(&links, relay.address(), LONG).await, Ok(()));
    relay.stop().await;
    peer.stop().await;
}

async fn silent_call_case() {
    let (peer, relay) = start_relayed().await;
    let links = PeerLinks::new(LONG);
    let request = crate::bench::RequestBuilder::new("grant", "append case-7 grant").into_request();
    let call = |client: Arc<WsClient>| async move { client.execute(request).await };
    let address = relay.address();
    let (ended, ()) = tokio::join!(links.call(address, HOUR, call), async {
        peer.wait_received(1).await;
        relay.silence_connections();
    });
    assert_eq!(ended.unwrap_err(), LinkError::Lost);
    relay.stop().await;
    peer.stop().await;
}

async fn rejected_case() {
    let peer = FakePeer::start(PeerScript::Hang).await;
    let links = PeerLinks::new(LONG);
    // The test double doesn't implement this call, like a VM of an older version.
    let call = |client: Arc<WsClient>| async move { client.control_identity().await };
    let error = links.call(peer.address, LONG, call).await.unwrap_err();
    assert!(matches!(error, LinkError::Rejected(_)), "{error:?}");
    assert!(error.may_have_run());
    assert_eq!(ping(&links, peer.address, LONG).await, Ok(()));
    peer.stop().await;
}

async fn misdirected_case() {
    let peer = FakePeer::start(PeerScript::Hang).await;
    let links = PeerLinks::new(LONG);
    let announcement = Arc::new(EndpointAnnouncement {
        started_ms: 0,
        sequence: 1,
        group: "cases".into(),
        instance: "cases-1".into(),
        domain: "windhoek-a".into(),
        data_address: UNREACHABLE_ADDRESS,
        agent_address: UNREACHABLE_ADDRESS,
        slots: 2,
        connections: 16,
        status: InstanceStatus {
            role: InstanceRole::Replica,
            fenced_term: GroupTerm(1),
            position: LogPosition::default(),
            leaving: true,
        },
    });
    assert!(!pass_announcement(&links, peer.address, Arc::clone(&announcement)).await);
    peer.set_leading(true);
    assert!(pass_announcement(&links, peer.address, announcement).await);
    peer.stop().await;
}
