//! The gateway: what it claims of statements whose leaseholder is out of reach or lost.

use crate::bench::Ask;
use crate::bench::FRESH;
use crate::bench::GRANT;
use crate::bench::NOWHERE;
use crate::bench::STATUS;
use crate::bench::UPDATE;
use crate::bench::create_record;
use crate::bench::create_view;
use crate::bench::plain_links;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use ragwort_lab::relay::CutRelay;
use ragwort_types::DoubtCause;
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

/// A lease so long that no takeover ends before a statement's deadline.
const ENDLESS_LEASE: Duration = Duration::from_secs(3_600);

/// A lease whose takeover ends well before a statement's deadline.
const USUAL_LEASE: Duration = Duration::from_secs(20);

/// A lease whose takeover ends after a statement's deadline of 50 s, and whose handover before it.
const LONG_LEASE: Duration = Duration::from_secs(40);

/// The verdict of a statement that ran.
const DONE: RequestVerdict = RequestVerdict::Ran(StatementAnswer::Done(1));

/// The verdict of a statement whose leaseholder was lost with it.
const DOUBT: RequestVerdict = RequestVerdict::MayHaveRun(DoubtCause::LeaseholderLost);

failure_cases! {
    /// The leaseholder's VM is down and its successor can't be there before the deadline. A duty
    /// officer is told so at once, and when to come back, instead of shortly before her deadline.
    refusal_comes_at_once_when_the_deadline_is_too_near => refuse_case();
    /// The leaseholder's VM is down and its successor takes over in time. The statement was not
    /// handed over, so it goes to the successor, and its caller notices a short wait.
    statement_goes_to_the_successor_within_its_deadline => successor_case();
    /// The group was handed over, and its next leaseholder hasn't learned of it yet. That takes a
    /// heartbeat, which the statement has time for; refusing it would make a planned change of
    /// leaseholder a public incident.
    handover_is_waited_for => handover_case();
    /// The leaseholder is lost while it has a grant without a key. It may have run, and nobody
    /// could know it again, so it isn't sent twice.
    lost_reply_of_an_unkeyed_write_leaves_doubt => unkeyed_case();
    /// The same for a read, which changes nothing: it is answered by the successor.
    lost_reply_of_a_read_is_asked_again => resend_case(Ask::new(FRESH, "get case-7"));
    /// The same for a write that has the same effect twice.
    lost_reply_of_an_idempotent_write_is_sent_again =>
        resend_case(Ask::new(UPDATE, "put case-7 open"));
    /// The same for a grant with a key, by which the successor knows it again.
    lost_reply_of_a_keyed_write_is_sent_again =>
        resend_case(Ask::new(GRANT, "append case-7 grant").key(RequestKey::fresh()));
    /// The successor refuses the resend of a grant. That says nothing of the first attempt, which
    /// may have run: a caller who was told otherwise would grant a second time.
    refused_resend_of_a_write_leaves_doubt => refused_resend_case(GRANT, true);
    /// A read that the successor refuses has left nothing behind: its caller may be told so.
    refused_resend_of_a_read_was_not_run => refused_resend_case(STATUS, false);
    /// The leaseholder that held the transaction is gone before its next statement. Nothing of the
    /// transaction lasts, and the caller learns that at once.
    transaction_of_an_unreachable_leaseholder_is_lost => lost_transaction_case();
    /// The leaseholder is lost while it commits.
    lost_reply_of_a_commit_leaves_doubt => lost_commit_case();
    /// The path between this VM and the leaseholder is cut, while a standby still reaches it.
    unreachable_leaseholder_is_reached_through_a_standby => relay_case();
    /// The standby that passes a grant on is lost with it: it may have passed it on.
    statement_lost_with_its_relay_leaves_doubt => lost_relay_case();
    /// This VM's lease has ended: its catalog may be replaced. It takes nothing.
    gateway_without_a_lease_refuses => no_lease_case();
    /// A driver prepares a statement while the leaseholder is being replaced. The description is
    /// asked for again; the caller notices a short wait.
    description_is_asked_of_the_successor => describe_successor_case();
}

/// A gateway with what it knows.
struct GatewayBench {
    gateway: Arc<Gateway>,
    view: watch::Sender<MemberView>,
}

impl GatewayBench {
    /// Creates a gateway that finds `vm-1`, `vm-2` and `vm-3` at these addresses; the first leads.
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

    /// Lets `vm-2` lead from now on, at this address.
    fn take_over(&self, address: SocketAddr) {
        let record = create_record("vm-2", 2);
        let view = create_view([NOWHERE, address, NOWHERE], &record, true);
        self.view.send_replace(view);
    }

    fn start(&self, ask: Ask) -> JoinHandle<StatementReply> {
        let gateway = Arc::clone(&self.gateway);
        let request = ask.into_request();
        tokio::spawn(async move { gateway.execute(request).await })
    }

    async fn execute(&self, ask: Ask) -> RequestVerdict {
        self.gateway.execute(ask.into_request()).await.verdict
    }
}

fn grant() -> Ask {
    Ask::new(GRANT, "append case-7 grant")
}

async fn refuse_case() {
    let bench = GatewayBench::new([NOWHERE; 3], ENDLESS_LEASE);
    let verdict = bench.execute(grant()).await;
    let RequestVerdict::NotRun(refusal) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoLeaseholder);
    // A takeover takes longer than the statement's 50 s, and the caller needn't come before.
    assert!(refusal.come_back_after_ms > 50_000, "{refusal:?}");
}

async fn successor_case() {
    let peer = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new([NOWHERE; 3], USUAL_LEASE);
    let running = bench.start(grant());
    bench.take_over(peer.address);
    assert_eq!(running.await.unwrap().verdict, DONE);
    assert_eq!(peer.taken().len(), 1);
    peer.stop().await;
}

async fn handover_case() {
    let refused = RequestVerdict::refused(RefusalCause::NoLeaseholder, 0);
    let peer = FakePeer::start(PeerScript::Reply(refused)).await;
    let bench = GatewayBench::new([peer.address, NOWHERE, NOWHERE], LONG_LEASE);
    let running = bench.start(grant());
    peer.wait_taken(2).await;
    peer.set_script(PeerScript::Reply(DONE));
    assert_eq!(running.await.unwrap().verdict, DONE);
    peer.stop().await;
}

/// A leaseholder that takes statements, never replies, and is lost when the test says so.
async fn start_doomed() -> (FakePeer, CutRelay) {
    let peer = FakePeer::start(PeerScript::Hang).await;
    let relay = CutRelay::start(peer.address, Duration::ZERO).await;
    (peer, relay.unwrap())
}

async fn unkeyed_case() {
    let (peer, relay) = start_doomed().await;
    let successor = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new([relay.address(), NOWHERE, NOWHERE], USUAL_LEASE);
    let running = bench.start(grant());
    peer.wait_taken(1).await;
    bench.take_over(successor.address);
    relay.stop().await;
    assert_eq!(running.await.unwrap().verdict, DOUBT);
    assert!(successor.taken().is_empty());
    peer.stop().await;
    successor.stop().await;
}

async fn resend_case(ask: Ask) {
    let (peer, relay) = start_doomed().await;
    let successor = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new([relay.address(), NOWHERE, NOWHERE], USUAL_LEASE);
    let running = bench.start(ask);
    peer.wait_taken(1).await;
    relay.stop().await;
    bench.take_over(successor.address);
    assert_eq!(running.await.unwrap().verdict, DONE);
    assert_eq!(peer.taken().len(), 1);
    assert_eq!(successor.taken().len(), 1);
    peer.stop().await;
    successor.stop().await;
}

async fn refused_resend_case(kind: &str, doubtful: bool) {
    let (peer, relay) = start_doomed().await;
    let overload = RequestVerdict::refused(RefusalCause::Overload, 40);
    let successor = FakePeer::start(PeerScript::Reply(overload.clone())).await;
    let bench = GatewayBench::new([relay.address(), NOWHERE, NOWHERE], USUAL_LEASE);
    let running = bench.start(Ask::new(kind, "append case-7 x").key(RequestKey::fresh()));
    peer.wait_taken(1).await;
    relay.stop().await;
    bench.take_over(successor.address);
    let expected = if doubtful { DOUBT } else { overload };
    assert_eq!(running.await.unwrap().verdict, expected);
    peer.stop().await;
    successor.stop().await;
}

async fn lost_transaction_case() {
    let bench = GatewayBench::new([NOWHERE; 3], USUAL_LEASE);
    let id = TransactionId::fresh();
    let steps = [TransactionStep::Within(id), TransactionStep::Commit(id)];
    for step in steps {
        let verdict = bench.execute(grant().step(step)).await;
        let lost = RequestVerdict::refused(RefusalCause::TransactionLost, 0);
        assert_eq!(verdict, lost, "{step:?}");
    }
}

async fn lost_commit_case() {
    let (peer, relay) = start_doomed().await;
    let bench = GatewayBench::new([relay.address(), NOWHERE, NOWHERE], USUAL_LEASE);
    let commit = TransactionStep::Commit(TransactionId::fresh());
    let running = bench.start(grant().step(commit));
    peer.wait_taken(1).await;
    relay.stop().await;
    assert_eq!(running.await.unwrap().verdict, DOUBT);
    peer.stop().await;
}

async fn relay_case() {
    let standby = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new([NOWHERE, NOWHERE, standby.address], ENDLESS_LEASE);
    assert_eq!(bench.execute(grant()).await, DONE);
    let taken = standby.taken();
    assert_eq!(taken.len(), 1);
    assert!(taken[0].relayed);
    standby.stop().await;
}

async fn lost_relay_case() {
    let (standby, relay) = start_doomed().await;
    let bench = GatewayBench::new([NOWHERE, relay.address(), NOWHERE], ENDLESS_LEASE);
    let running = bench.start(grant());
    standby.wait_taken(1).await;
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
    assert!(peer.taken().is_empty());
    peer.stop().await;
}

async fn describe_successor_case() {
    let (peer, relay) = start_doomed().await;
    let successor = FakePeer::start(PeerScript::Reply(DONE)).await;
    let bench = GatewayBench::new([relay.address(), NOWHERE, NOWHERE], USUAL_LEASE);
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
    peer.wait_taken(1).await;
    relay.stop().await;
    bench.take_over(successor.address);
    let reply = running.await.unwrap();
    assert!(matches!(reply.outcome, ShapeOutcome::Known(_)), "{reply:?}");
    peer.stop().await;
    successor.stop().await;
}
