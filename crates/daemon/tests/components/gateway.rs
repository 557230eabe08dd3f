//! The gateway's verdicts on statements whose leaseholder is unreachable or lost.

use crate::bench::FRESH;
use crate::bench::GRANT;
use crate::bench::RequestBuilder;
use crate::bench::STATUS;
use crate::bench::UNREACHABLE_ADDRESS;
use crate::bench::UPDATE;
use crate::bench::create_record;
use crate::bench::create_view;
use crate::bench::plain_links;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use ragwort_lab::relay::FaultRelay;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::DoubtCause;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::RequestKey;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use ragwortgated::clock::NodeClock;
use ragwortgated::gateway::Gateway;
use ragwortgated::member::MemberView;
use ragwortgated::peers::PeerLinks;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A lease so long that no takeover or handover ends before a statement's deadline of 50 s.
const ENDLESS_LEASE: Duration = Duration::from_secs(3_600);

/// A lease so short that a takeover ends well before a statement's deadline of 50 s.
const USUAL_LEASE: Duration = Duration::from_secs(20);

/// A lease with which a takeover ends after a statement's deadline of 50 s, but a handover before
/// it.
const LONG_LEASE: Duration = Duration::from_secs(40);

/// The verdict of a statement that ran.
const DONE: RequestVerdict = RequestVerdict::Ran(StatementAnswer::Done(1));

/// The verdict of a statement whose leaseholder was lost while it ran.
const DOUBT: RequestVerdict = RequestVerdict::MayHaveRun(DoubtCause::LeaseholderLost);

failure_cases! {
    /// The leaseholder's VM is down, and no successor can take over before the statement's
    /// deadline. The caller is refused at once and told when to retry, instead of waiting until the
    /// deadline.
    refusal_comes_at_once_when_the_deadline_is_too_near => refuse_case();
    /// The leaseholder's VM is down, and its successor takes over before the deadline. The
    /// statement was not handed over, so it goes to the successor after a short wait.
    statement_goes_to_the_successor_within_its_deadline => successor_case();
    /// The group was handed over, and its next leaseholder learns of it with its next heartbeat.
    /// The statement has time to wait for that; a refusal would make every planned handover visible
    /// to callers.
    handover_is_waited_for => handover_case();
    /// The leaseholder is lost while it runs a write without a key. The write may have run, and no
    /// successor could recognise a resend, so it isn't sent twice.
    lost_reply_of_an_unkeyed_write_leaves_doubt => unkeyed_case();
    /// The reply to a read is lost. Reads change nothing, so the successor is asked.
    lost_reply_of_a_read_is_asked_again => resend_case(RequestBuilder::new(FRESH, "get case-7"));
    /// The reply to an idempotent write is lost. The successor may run it again.
    lost_reply_of_an_idempotent_write_is_sent_again =>
        resend_case(RequestBuilder::new(UPDATE, "put case-7 open"));
    /// The reply to a keyed write is lost. The successor recognises the resend by its key.
    lost_reply_of_a_keyed_write_is_sent_again =>
        resend_case(RequestBuilder::new(GRANT, "append case-7 grant").key(RequestKey::fresh()));
    /// The successor refuses the resend of a write. The first attempt may have run all the same: a
    /// caller that is told otherwise would send the write again, and it would take effect twice.
    refused_resend_of_a_write_leaves_doubt => refused_resend_case(GRANT, true);
    /// The successor refuses the resend of a read. Reads have no effect, so the refusal may be
    /// passed on.
    refused_resend_of_a_read_was_not_run => refused_resend_case(STATUS, false);
    /// The leaseholder of an open transaction is gone before the next statement. The transaction is
    /// rolled back, and the caller is told at once.
    transaction_of_an_unreachable_leaseholder_is_lost => lost_transaction_case();
    /// The leaseholder is lost during a commit.
    lost_reply_of_a_commit_leaves_doubt => lost_commit_case();
    /// The path between this VM and the leaseholder is cut, but a standby still reaches the
    /// leaseholder.
    unreachable_leaseholder_is_reached_through_a_standby => relay_case();
    /// The standby that relays a write is lost; it may have passed the write on.
    statement_lost_with_its_relay_leaves_doubt => lost_relay_case();
    /// This VM's lease has ended, so its catalog may be outdated. It accepts no statements.
    gateway_without_a_lease_refuses => no_lease_case();
    /// A contract reaches the gateway before the leaseholder. The statement of a session that was
    /// admitted under it waits until the leaseholder has it too.
    leaseholder_that_lacks_a_new_contract_is_asked_again => lagging_leaseholder_case();
    /// A leaseholder goes on lacking a contract that the gateway has under a lease. One of them is
    /// outdated, so the statement isn't refused as one of an unknown database.
    contract_that_the_gateway_holds_is_not_reported_missing => doubted_contract_case();
    /// A contract is removed, and the leaseholder learns of it before the gateway. Once the gateway
    /// lacks the contract too, the caller is told.
    removed_contract_is_reported_once_the_gateway_lacks_it => removed_contract_case();
    /// A driver prepares a statement while the leaseholder is being replaced. The description is
    /// requested again from the successor after a short wait.
    description_is_asked_of_the_successor => describe_successor_case();
}

/// A gateway and the catalog view that the test publishes to it.
struct GatewayBench {
    gateway: Arc<Gateway>,
    view: watch::Sender<MemberView>,
}

impl GatewayBench {
    /// Creates a gateway whose catalog has `vm-1`, `vm-2` and `vm-3` at these peer addresses and
    /// `vm-1` as leaseholder.
    fn new(addresses: [SocketAddr; 3], lease: Duration) -> Self {
        let view = create_view(addresses, &create_record("vm-1", 1), true);
        let (view, receiver) = watch::channel(view);
        let links = PeerLinks::new(Duration::from_secs(5));
        let links = plain_links(links);
        let gateway = Gateway::new(NodeClock::start(), links, receiver, lease);
        Self {
            gateway: Arc::new(gateway),
            view,
        }
    }

    /// Publishes a catalog in which `vm-2`, at this peer address, leads the group.
    fn take_over(&self, address: SocketAddr) {
        let record = create_record("vm-2", 2);
        let view = create_view(
            [UNREACHABLE_ADDRESS, address, UNREACHABLE_ADDRESS],
            &record,
            true,
        );
        self.view.send_replace(view);
    }

    /// Starts a statement in a task of its own.
    fn start(&self, builder: RequestBuilder) -> JoinHandle<StatementReply> {
        let gateway = Arc::clone(&self.gateway);
        let request = builder.into_request();
        tokio::spawn(async move { gateway.execute(request).await })
    }

    /// Executes a statement and returns its verdict.
    async fn execute(&self, builder: RequestBuilder) -> RequestVerdict {
        self.gateway.execute(builder.into_request()).await.verdict
    }
}

fn grant() -> RequestBuilder {
    RequestBuilder::new(GRANT, "append case-7 grant")
}

async fn refuse_case() {
    let bench = GatewayBench::new([UNREACHABLE_ADDRESS; 3], ENDLESS_LEASE);
    let verdict = bench.execute(grant()).await;
    let RequestVerdict::NotRun(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoLeaseholder);
    // A takeover takes longer than the statement's 50 s, so an earlier retry is pointless.
    assert!(refusal.come_back_after_ms > 50_000, "{refusal:?}");
}

async fn successor_case() {
    let peer = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new([UNREACHABLE_ADDRESS; 3], USUAL_LEASE);
    let running = bench.start(grant());
    bench.take_over(peer.address);
    assert_eq!(running.await.unwrap().verdict, DONE);
    assert_eq!(peer.received().len(), 1);
    peer.stop().await;
}

async fn handover_case() {
    let refused = RequestVerdict::refused(RefusalCause::NoLeaseholder, 0);
    let peer = FakePeer::start(PeerScript::Reply(refused)).await;
    let bench = GatewayBench::new(
        [peer.address, UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS],
        LONG_LEASE,
    );
    let running = bench.start(grant());
    peer.wait_received(2).await;
    peer.set_script(PeerScript::Reply(DONE));
    assert_eq!(running.await.unwrap().verdict, DONE);
    peer.stop().await;
}

/// Starts a peer that never replies, behind a relay by which the test breaks its connections.
async fn start_breakable_peer() -> (FakePeer, FaultRelay) {
    let peer = FakePeer::start(PeerScript::Hang).await;
    let relay = FaultRelay::start(peer.address, Duration::ZERO).await;
    (peer, relay.unwrap())
}

async fn unkeyed_case() {
    let (peer, relay) = start_breakable_peer().await;
    let successor = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new(
        [relay.address(), UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS],
        USUAL_LEASE,
    );
    let running = bench.start(grant());
    peer.wait_received(1).await;
    bench.take_over(successor.address);
    relay.stop().await;
    assert_eq!(running.await.unwrap().verdict, DOUBT);
    assert!(successor.received().is_empty());
    peer.stop().await;
    successor.stop().await;
}

async fn resend_case(builder: RequestBuilder) {
    let (peer, relay) = start_breakable_peer().await;
    let successor = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new(
        [relay.address(), UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS],
        USUAL_LEASE,
    );
    let running = bench.start(builder);
    peer.wait_received(1).await;
    relay.stop().await;
    bench.take_over(successor.address);
    assert_eq!(running.await.unwrap().verdict, DONE);
    assert_eq!(peer.received().len(), 1);
    assert_eq!(successor.received().len(), 1);
    peer.stop().await;
    successor.stop().await;
}

async fn refused_resend_case(kind: &str, doubtful: bool) {
    let (peer, relay) = start_breakable_peer().await;
    let overload = RequestVerdict::refused(RefusalCause::Overload, 40);
    let successor = FakePeer::start(PeerScript::Reply(overload.clone())).await;
    let bench = GatewayBench::new(
        [relay.address(), UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS],
        USUAL_LEASE,
    );
    let running =
        bench.start(RequestBuilder::new(kind, "append case-7 x").key(RequestKey::fresh()));
    peer.wait_received(1).await;
    relay.stop().await;
    bench.take_over(successor.address);
    let expected = if doubtful { DOUBT } else { overload };
    assert_eq!(running.await.unwrap().verdict, expected);
    peer.stop().await;
    successor.stop().await;
}

async fn lost_transaction_case() {
    let bench = GatewayBench::new([UNREACHABLE_ADDRESS; 3], USUAL_LEASE);
    let id = TransactionId::fresh();
    let steps = [TransactionStep::Within(id), TransactionStep::Commit(id)];
    for step in steps {
        let verdict = bench.execute(grant().step(step)).await;
        let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
        assert_eq!(verdict, lost, "{step:?}");
    }
}

async fn lost_commit_case() {
    let (peer, relay) = start_breakable_peer().await;
    let bench = GatewayBench::new(
        [relay.address(), UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS],
        USUAL_LEASE,
    );
    let commit = TransactionStep::Commit(TransactionId::fresh());
    let running = bench.start(grant().step(commit));
    peer.wait_received(1).await;
    relay.stop().await;
    assert_eq!(running.await.unwrap().verdict, DOUBT);
    peer.stop().await;
}

async fn relay_case() {
    let standby = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new(
        [UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS, standby.address],
        ENDLESS_LEASE,
    );
    assert_eq!(bench.execute(grant()).await, DONE);
    let received = standby.received();
    assert_eq!(received.len(), 1);
    assert!(received[0].relayed);
    standby.stop().await;
}

async fn lost_relay_case() {
    let (standby, relay) = start_breakable_peer().await;
    let bench = GatewayBench::new(
        [UNREACHABLE_ADDRESS, relay.address(), UNREACHABLE_ADDRESS],
        ENDLESS_LEASE,
    );
    let running = bench.start(grant());
    standby.wait_received(1).await;
    relay.stop().await;
    assert_eq!(running.await.unwrap().verdict, DOUBT);
    standby.stop().await;
}

async fn no_lease_case() {
    let peer = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new([peer.address; 3], ENDLESS_LEASE);
    bench.view.send_modify(|view| view.lease.supersede());
    let verdict = bench.execute(grant()).await;
    let RequestVerdict::NotRun(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoLease);
    assert!(peer.received().is_empty());
    peer.stop().await;
}

const NO_CONTRACT: RequestVerdict = RequestVerdict::NotRun(Refusal {
    cause: RefusalCause::Contract,
    come_back_after_ms: 0,
});

async fn lagging_leaseholder_case() {
    let peer = FakePeer::start(PeerScript::Reply(NO_CONTRACT)).await;
    let bench = GatewayBench::new([peer.address; 3], USUAL_LEASE);
    let running = bench.start(grant());
    peer.wait_received(2).await;
    peer.set_script(PeerScript::Reply(DONE));
    assert_eq!(running.await.unwrap().verdict, DONE);
    peer.stop().await;
}

async fn doubted_contract_case() {
    let peer = FakePeer::start(PeerScript::Reply(NO_CONTRACT)).await;
    let bench = GatewayBench::new([peer.address; 3], Duration::from_millis(200));
    let verdict = bench.execute(grant()).await;
    let RequestVerdict::NotRun(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoLeaseholder);
    assert!(refusal.come_back_after_ms > 0);
    peer.stop().await;
}

async fn removed_contract_case() {
    let peer = FakePeer::start(PeerScript::Reply(NO_CONTRACT)).await;
    let bench = GatewayBench::new([peer.address; 3], USUAL_LEASE);
    let running = bench.start(grant());
    peer.wait_received(2).await;
    bench.view.send_modify(|view| {
        let revision = view.copy.revision();
        let gone = CatalogDelta {
            from: Some(revision),
            to: CatalogRevision(revision.0 + 1),
            items: vec![CatalogItem::ContractGone("omuti".into())],
        };
        Arc::make_mut(&mut view.copy).apply_delta(&gone).unwrap();
    });
    assert_eq!(running.await.unwrap().verdict, NO_CONTRACT);
    peer.stop().await;
}

async fn describe_successor_case() {
    let (peer, relay) = start_breakable_peer().await;
    let successor = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new(
        [relay.address(), UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS],
        USUAL_LEASE,
    );
    let request = ShapeRequest {
        id: StatementId::fresh(),
        customer: "omuti".into(),
        session: "clerk".into(),
        group: "cases".into(),
        text: "get $1".to_owned(),
        transaction: None,
        spent_ms: 0,
        relay: false,
    };
    let gateway = Arc::clone(&bench.gateway);
    let running = tokio::spawn(async move { gateway.describe(request).await });
    peer.wait_received(1).await;
    relay.stop().await;
    bench.take_over(successor.address);
    let reply = running.await.unwrap();
    assert!(matches!(reply.outcome, ShapeOutcome::Known(_)), "{reply:?}");
    peer.stop().await;
    successor.stop().await;
}
