//! Statement links between VMs: whether a failed call may have run, and how soon it fails.

use crate::bench::RequestBuilder;
use crate::bench::UNREACHABLE_ADDRESS;
use crate::bench::create_record;
use crate::bench::create_view_with;
use crate::bench::plain_links;
use crate::cases::wait_until;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use async_trait::async_trait;
use bytes::BytesMut;
use ragwort_lab::relay::FaultRelay;
use ragwort_lab::relay::RelayMode;
use ragwort_policy::MAX_FORWARDED;
use ragwort_rpc::FrameCodec;
use ragwort_rpc::StatementFrame;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwortgated::clock::NodeClock;
use ragwortgated::descriptors::DescriptorBudget;
use ragwortgated::gateway::Gateway;
use ragwortgated::gateway::GatewayLinks;
use ragwortgated::member::MemberView;
use ragwortgated::metrics::DaemonMetrics;
use ragwortgated::peers::LinkError;
use ragwortgated::peers::PeerLinks;
use ragwortgated::statements::links::CallKind;
use ragwortgated::statements::links::LinkReadiness;
use ragwortgated::statements::links::StatementLinks;
use ragwortgated::statements::server::StatementRunner;
use ragwortgated::statements::server::serve_statements;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A limit that no healthy call comes near.
const LONG: Duration = Duration::from_secs(50);

/// A limit that no test lasts for.
const HOUR: Duration = Duration::from_secs(3_600);

/// A limit that a test lets expire.
const SHORT: Duration = Duration::from_millis(200);

/// The text of a statement to which [`LengthRunner`] never replies.
const HANGS: &str = "hangs";

/// The text of a statement that a gateway can forward to its leaseholder.
const FORWARDED: &str = "detour";

/// The text of a statement whose group has no leaseholder.
const NO_LEASEHOLDER: &str = "unled";

/// The text of a statement whose group's leaseholder has no contract of the customer.
const NO_CONTRACT: &str = "gone";

/// The text of a statement whose reply is lost at the leaseholder.
const LOST_REPLY: &str = "loses";

failure_cases! {
    /// A hundred calls run concurrently on one link, and short statements overtake long ones. Each
    /// call gets the reply to its own statement; a mix-up would show one customer's rows to
    /// another.
    replies_are_matched_to_their_calls => concurrent_calls_case();
    /// Nothing listens at the leaseholder's address. The statement has not run, and the error says
    /// so.
    unreachable_leaseholder_has_not_run_the_call => unreachable_case();
    /// The leaseholder's process hangs: its kernel accepts connections, and nothing answers on
    /// them. The statement has not run, and its caller isn't left in doubt.
    hanging_process_has_not_run_the_call => hanging_case();
    /// Statements keep arriving while a leaseholder is unreachable. Each is refused at once:
    /// waiting for a connection attempt to time out would leave their callers no time for the
    /// successor.
    calls_are_refused_while_a_leaseholder_is_out_of_reach => outage_case();
    /// The connection breaks while the leaseholder runs a statement, which may have taken effect.
    link_lost_during_a_call_leaves_doubt => lost_case();
    /// The leaseholder's VM loses power while it runs statements. Their callers learn that the
    /// outcome is unknown long before their limit of an hour, and the next statement uses a new
    /// connection.
    silence_ends_a_call_before_its_limit => silent_case();
    /// One slow statement is the only traffic on the link. The leaseholder answers the link's
    /// pings, so the call goes on waiting for its reply.
    slow_statement_is_waited_for => slow_case();
    /// The leaseholder's task ends without a reply to one statement. Only that statement is in
    /// doubt.
    lost_reply_leaves_the_link_alone => lost_reply_case();
    /// A leaseholder's VM shuts down while statements still arrive, because gateways learn of the
    /// handover a heartbeat later. Each statement is answered or was never sent. If the connection
    /// were closed with unread statements in it, callers would be in doubt about writes that were
    /// never run.
    stopping_leaseholder_answers_all_that_was_sent_to_it => stopping_case();
    /// A leaseholder's VM shuts down while it runs a statement. The reply is sent before the
    /// connection closes.
    stopping_leaseholder_sends_replies_in_progress => last_reply_case();
    /// A client that doesn't speak the protocol connects and sends other bytes. Only its own
    /// connection is closed.
    malformed_bytes_close_only_their_own_connection => malformed_bytes_case();
    /// A gateway takes a leaseholder's address for statement links from the catalog and uses it.
    gateway_uses_the_link => gateway_case();
    /// A gateway has been cut off from every control VM and leaseholder until its lease has ended.
    /// Instead of refusing its callers, it forwards their statements through another gateway. Where
    /// that one is cut off too, the next one is tried; if none is left, the statement is refused.
    isolated_gateway_forwards_through_another => isolated_gateway_case();
    /// A gateway is cut off, and another one reports that one group has no leaseholder. Statements
    /// for other groups must still be forwarded; if the gateway took itself for isolated, it would
    /// refuse them all.
    group_without_a_leaseholder_does_not_isolate_the_gateway => no_leaseholder_case();
    /// A gateway that is cut off sends a statement to the group that its outdated catalog names. The
    /// database has moved to another group, so that the leaseholder has no contract for it; that
    /// doesn't show that the database doesn't exist.
    cut_off_gateway_reports_no_missing_database => unknown_contract_case();
    /// The gateway through which a write was forwarded is lost before the reply. The write may have
    /// run: sent through the next gateway, it could take effect twice.
    write_lost_with_its_relay_is_not_sent_again => lost_relay_case("grant", 0);
    /// The same with a read, which changes nothing. It goes to the next gateway at once; after the
    /// second loss, nobody is left.
    read_lost_with_its_relay_goes_to_the_next_one => lost_relay_case("fresh", 1);
    /// Connections to one gateway hang, as when its VM is cut off. Its callers' statements go
    /// through another one long before an attempt to connect times out, which takes an hour here.
    hanging_connection_is_not_waited_for => hanging_relay_case();
    /// The leaseholder is cut off with a write under way. While its link is still being probed,
    /// further statements go through a standby and none is written to the silent link, where a
    /// write would end in doubt.
    silent_leaseholder_is_sent_nothing_more => silent_leaseholder_case();
    /// The gateway that forwarded statements is cut off in turn while the link to it is idle. A
    /// write must not be sent on the silent link, where it would end in doubt, but go through the
    /// other gateway.
    idle_link_is_verified_before_a_write => idle_link_case();
    /// A driver prepares a statement at a cut-off gateway. Its description goes through a gateway
    /// that forwarded a statement before; refused, the driver could run nothing.
    description_goes_through_a_working_gateway => relayed_description_case();
    /// Other gateways ask this one to forward more statements than its bound allows, all to a
    /// leaseholder that doesn't answer. Those above the bound are refused at once with the cause
    /// that sends the asking gateway elsewhere; its own callers' statements go on.
    forwarding_for_others_is_bounded => bounded_forwarding_case();
}

/// A runner that answers each statement with the length of its text. The shorter the text, the
/// later the reply: 100 ms less a millisecond for each byte.
#[derive(Default)]
struct LengthRunner {
    received: AtomicUsize,
}

#[async_trait]
impl StatementRunner for LengthRunner {
    async fn run_locally(&self, request: StatementRequest) -> Option<StatementReply> {
        self.received.fetch_add(1, Ordering::SeqCst);
        match request.text.as_str() {
            HANGS => std::future::pending().await,
            LOST_REPLY => None,
            text => {
                let length = text.len() as u64;
                tokio::time::sleep(Duration::from_millis(100 - length.min(100))).await;
                Some(answer(&request, length))
            }
        }
    }

    async fn relay_statement(&self, request: StatementRequest) -> StatementReply {
        self.received.fetch_add(1, Ordering::SeqCst);
        let mut reply = answer(&request, request.text.len() as u64);
        match request.text.as_str() {
            FORWARDED => {}
            HANGS => std::future::pending().await,
            NO_LEASEHOLDER => {
                reply.verdict = RequestVerdict::refused(RefusalCause::NoLeaseholder, 7)
            }
            NO_CONTRACT => reply.verdict = RequestVerdict::refused(RefusalCause::Contract, 0),
            // The refusal by a gateway that is cut off too.
            _ => reply.verdict = RequestVerdict::refused(RefusalCause::NoLease, 7),
        }
        reply
    }
}

/// Creates a reply that reports `length` changed rows.
fn answer(request: &StatementRequest, length: u64) -> StatementReply {
    StatementReply {
        id: request.id,
        verdict: RequestVerdict::Ran(StatementAnswer::Done(length)),
        served_by: None,
    }
}

/// Creates a write with this text.
fn request(text: &str) -> StatementRequest {
    RequestBuilder::new("grant", text).into_request()
}

/// A VM that serves statement links with a [`LengthRunner`].
struct TestLeaseholder {
    address: SocketAddr,
    runner: Arc<LengthRunner>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl TestLeaseholder {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runner = Arc::new(LengthRunner::default());
        let (stop, stopping) = watch::channel(false);
        let serving = serve_statements(
            listener,
            Arc::clone(&runner) as _,
            DescriptorBudget::new(u32::MAX, &DaemonMetrics::new()),
            stopping,
        );
        Self {
            address,
            runner,
            stop,
            task: tokio::spawn(serving),
        }
    }

    async fn wait_received(&self, count: usize) {
        wait_until(|| self.runner.received.load(Ordering::SeqCst) >= count).await;
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }
}

fn links(connect_timeout: Duration) -> Arc<StatementLinks> {
    StatementLinks::new(NodeClock::start(), connect_timeout)
}

/// Calls with a limit of an hour.
async fn call(
    links: &StatementLinks,
    address: SocketAddr,
    text: &str,
) -> Result<StatementReply, LinkError> {
    links
        .call(address, CallKind::Execute, request(text), HOUR)
        .await
}

/// Starts a leaseholder behind a relay by which the test breaks its connections.
async fn start_relayed() -> (TestLeaseholder, FaultRelay) {
    let leaseholder = TestLeaseholder::start().await;
    let relay = FaultRelay::start(leaseholder.address, Duration::ZERO).await;
    (leaseholder, relay.unwrap())
}

async fn concurrent_calls_case() {
    let leaseholder = TestLeaseholder::start().await;
    let links = links(LONG);
    let calls = (1..=100).map(|length| {
        let links = &links;
        let address = leaseholder.address;
        async move {
            let request = request(&"x".repeat(length));
            let id = request.id;
            let reply = links
                .call(address, CallKind::Execute, request, HOUR)
                .await
                .unwrap();
            assert_eq!(reply.id, id);
            let done = StatementAnswer::Done(length as u64);
            assert_eq!(reply.verdict, RequestVerdict::Ran(done));
        }
    });
    futures::future::join_all(calls).await;
    let relayed = links
        .call(leaseholder.address, CallKind::Relay, request("x"), HOUR)
        .await;
    assert!(matches!(
        relayed.unwrap().verdict,
        RequestVerdict::NotRun(_)
    ));
    links.shut_down().await;
    leaseholder.stop().await;
}

async fn unreachable_case() {
    let links = links(LONG);
    let error = call(&links, UNREACHABLE_ADDRESS, "x").await.unwrap_err();
    assert_eq!(error, LinkError::Unreachable);
    assert!(!error.may_have_run());
    links.shut_down().await;
}

async fn hanging_case() {
    let (leaseholder, relay) = start_relayed().await;
    relay.set_mode(RelayMode::Hang);
    let links = links(SHORT);
    let error = call(&links, relay.address(), "x").await.unwrap_err();
    assert_eq!(error, LinkError::Unreachable);
    links.shut_down().await;
    relay.stop().await;
    leaseholder.stop().await;
}

async fn outage_case() {
    let (leaseholder, relay) = start_relayed().await;
    relay.set_mode(RelayMode::Hang);
    // A connection attempt that hangs would outlast the case.
    let links = links(HOUR);
    let first = call(&links, UNREACHABLE_ADDRESS, "x").await;
    assert_eq!(first.unwrap_err(), LinkError::Unreachable);
    for _ in 0..50 {
        let next = call(&links, UNREACHABLE_ADDRESS, "x").await;
        assert_eq!(next.unwrap_err(), LinkError::Unreachable);
    }
    relay.set_mode(RelayMode::Open);
    assert!(call(&links, relay.address(), "x").await.is_ok());
    relay.set_mode(RelayMode::Hang);
    let lost = call(&links, relay.address(), "x").await;
    assert_eq!(lost.unwrap_err(), LinkError::Lost);
    for _ in 0..50 {
        let next = call(&links, relay.address(), "x").await;
        assert_eq!(next.unwrap_err(), LinkError::Unreachable);
    }
    links.shut_down().await;
    relay.stop().await;
    leaseholder.stop().await;
}

async fn lost_case() {
    let (leaseholder, relay) = start_relayed().await;
    let links = links(LONG);
    let address = relay.address();
    let (ended, ()) = tokio::join!(call(&links, address, HANGS), async {
        leaseholder.wait_received(1).await;
        relay.stop().await;
    });
    let error = ended.unwrap_err();
    assert_eq!(error, LinkError::Lost);
    assert!(error.may_have_run());
    links.shut_down().await;
    leaseholder.stop().await;
}

async fn silent_case() {
    let (leaseholder, relay) = start_relayed().await;
    let links = links(LONG);
    let address = relay.address();
    let (ended, ()) = tokio::join!(call(&links, address, HANGS), async {
        leaseholder.wait_received(1).await;
        relay.silence_connections();
    });
    assert_eq!(ended.unwrap_err(), LinkError::Lost);
    // Calls are refused until the new connection is established.
    while call(&links, address, "x").await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    links.shut_down().await;
    relay.stop().await;
    leaseholder.stop().await;
}

async fn slow_case() {
    let leaseholder = TestLeaseholder::start().await;
    let links = links(LONG);
    let waits = ragwort_policy::LINK_PROBE_AFTER + ragwort_policy::LINK_PROBE_TIMEOUT;
    let slow = call(&links, leaseholder.address, HANGS);
    let waited = tokio::time::timeout(waits * 3, slow).await;
    assert!(waited.is_err(), "the call ended without a reply");
    assert!(call(&links, leaseholder.address, "x").await.is_ok());
    links.shut_down().await;
    leaseholder.stop().await;
}

async fn lost_reply_case() {
    let leaseholder = TestLeaseholder::start().await;
    let links = links(LONG);
    let (lost, fine) = tokio::join!(
        call(&links, leaseholder.address, LOST_REPLY),
        call(&links, leaseholder.address, "x"),
    );
    assert_eq!(lost.unwrap_err(), LinkError::Lost);
    assert!(fine.is_ok());
    links.shut_down().await;
    leaseholder.stop().await;
}

async fn stopping_case() {
    let leaseholder = TestLeaseholder::start().await;
    let links = links(LONG);
    let address = leaseholder.address;
    assert!(call(&links, address, "x").await.is_ok());
    // A text of 100 bytes or more is answered without a delay.
    let text = "x".repeat(100);
    let calls = (0..64).map(|_| async {
        let mut answered = 0;
        loop {
            match call(&links, address, &text).await {
                Ok(_) => answered += 1,
                Err(LinkError::Unreachable) => return answered,
                Err(error) => panic!("{error:?} after {answered} replies"),
            }
        }
    });
    let (answered, ()) = tokio::join!(futures::future::join_all(calls), async {
        leaseholder.wait_received(1_000).await;
        leaseholder.stop().await;
    });
    assert!(answered.iter().sum::<usize>() >= 900);
    links.shut_down().await;
}

async fn last_reply_case() {
    let leaseholder = TestLeaseholder::start().await;
    let links = links(LONG);
    // A text of one byte is answered after 99 ms.
    let (reply, ()) = tokio::join!(call(&links, leaseholder.address, "x"), async {
        leaseholder.wait_received(1).await;
        leaseholder.stop().await;
    });
    assert!(reply.is_ok(), "{reply:?}");
    links.shut_down().await;
}

async fn malformed_bytes_case() {
    let leaseholder = TestLeaseholder::start().await;
    let links = links(LONG);
    assert!(call(&links, leaseholder.address, "x").await.is_ok());
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 1, 7],
        &[0, 0, 0, 2, 0, 0xc1],
    ] {
        let mut stream = TcpStream::connect(leaseholder.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut rest = Vec::new();
        // The server closes the connection, or resets it if it left bytes unread.
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty());
    }
    let mut late = TcpStream::connect(leaseholder.address).await.unwrap();
    let mut reply = BytesMut::new();
    FrameCodec::new()
        .unwrap()
        .encode(&StatementFrame::Pong, &mut reply)
        .unwrap();
    late.write_all(&reply).await.unwrap();
    assert_eq!(late.read(&mut [0]).await.unwrap_or(0), 0);
    assert!(call(&links, leaseholder.address, "x").await.is_ok());
    links.shut_down().await;
    leaseholder.stop().await;
}

async fn gateway_case() {
    let leaseholder = TestLeaseholder::start().await;
    let links = plain_links(PeerLinks::new(LONG));
    let record = create_record("vm-1", 1);
    let statements = [Some(leaseholder.address), None, None];
    let view = create_view_with([UNREACHABLE_ADDRESS; 3], statements, &record, true);
    let (_view, views) = watch::channel(view);
    let gateway = Gateway::new(NodeClock::start(), links.clone(), views, LONG);
    let reply = gateway.execute(request("xyz")).await;
    assert_eq!(reply.verdict, RequestVerdict::Ran(StatementAnswer::Done(3)));
    links.statements.shut_down().await;
    leaseholder.stop().await;
}

/// A gateway whose lease has ended and which reaches no other VM but one more gateway.
struct IsolatedGateway {
    gateway: Gateway,
    other: TestLeaseholder,
    links: GatewayLinks,
    _view: watch::Sender<MemberView>,
}

impl IsolatedGateway {
    async fn start() -> Self {
        let other = TestLeaseholder::start().await;
        let statements = [UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS, other.address];
        let links = plain_links(PeerLinks::new(LONG));
        Self::with_links(other, statements, links, false)
    }

    /// Creates a gateway, with a lease or without one, that knows the leaseholder and two more
    /// gateways, its standbys, at these addresses for statement links.
    fn with_links(
        other: TestLeaseholder,
        statements: [SocketAddr; 3],
        links: GatewayLinks,
        lease: bool,
    ) -> Self {
        let record = create_record("vm-1", 1);
        let statements = statements.map(Some);
        let view = create_view_with([UNREACHABLE_ADDRESS; 3], statements, &record, lease);
        let (sender, views) = watch::channel(view);
        // With a lease of an hour no takeover can end before a statement's deadline.
        let gateway = Gateway::new(NodeClock::start(), links.clone(), views, HOUR);
        Self {
            gateway,
            other,
            links,
            _view: sender,
        }
    }

    /// Executes a statement that must be refused, and returns the refusal.
    async fn expect_refusal(&self, text: &str) -> Refusal {
        let reply = self.gateway.execute(request(text)).await;
        match reply.verdict {
            RequestVerdict::NotRun(refusal) => refusal,
            verdict => panic!("{verdict:?}"),
        }
    }

    async fn stop(self) {
        self.links.statements.shut_down().await;
        self.other.stop().await;
    }
}

async fn no_leaseholder_case() {
    let isolated = IsolatedGateway::start().await;
    let refusal = isolated.expect_refusal(NO_LEASEHOLDER).await;
    assert_eq!(refusal.cause, RefusalCause::NoLeaseholder);
    assert!(!isolated.gateway.is_isolated());
    isolated.stop().await;
}

async fn isolated_gateway_case() {
    let isolated = IsolatedGateway::start().await;
    let gateway = &isolated.gateway;
    let reply = gateway.execute(request(FORWARDED)).await;
    let done = StatementAnswer::Done(FORWARDED.len() as u64);
    assert_eq!(reply.verdict, RequestVerdict::Ran(done));
    let refusal = isolated.expect_refusal("x").await;
    assert_eq!(refusal.cause, RefusalCause::NoLease);
    assert!(refusal.come_back_after_ms > 0);
    assert!(gateway.is_isolated());
    let received = isolated.other.runner.received.load(Ordering::SeqCst);
    // The other gateway is tried again after a pause, not with every statement.
    while gateway.is_isolated() {
        gateway.execute(request(FORWARDED)).await;
    }
    assert!(isolated.other.runner.received.load(Ordering::SeqCst) <= received + 2);
    isolated.stop().await;
}

/// Runs a statement of this kind that two gateways take in turn and lose, unless it is sent to one
/// only.
async fn lost_relay_case(kind: &str, resent: usize) {
    let (first, first_relay) = start_relayed().await;
    let (second, second_relay) = start_relayed().await;
    let addresses = [
        UNREACHABLE_ADDRESS,
        first_relay.address(),
        second_relay.address(),
    ];
    let links = plain_links(PeerLinks::new(LONG));
    let runners = [Arc::clone(&first.runner), Arc::clone(&second.runner)];
    let count = |index: usize| runners[index].received.load(Ordering::SeqCst);
    let isolated = IsolatedGateway::with_links(second, addresses, links, false);
    let request = RequestBuilder::new(kind, HANGS).into_request();
    let (reply, ()) = tokio::join!(isolated.gateway.execute(request), async {
        wait_until(|| count(0) + count(1) == 1).await;
        let (chosen, next) = match count(0) {
            1 => (first_relay, second_relay),
            _ => (second_relay, first_relay),
        };
        chosen.stop().await;
        if resent > 0 {
            wait_until(|| count(0) + count(1) == 2).await;
        }
        next.stop().await;
    });
    assert_eq!(count(0) + count(1), 1 + resent);
    match reply.verdict {
        RequestVerdict::MayHaveRun(_) => assert_eq!(resent, 0),
        RequestVerdict::NotRun(_) => assert_eq!(resent, 1),
        verdict @ RequestVerdict::Ran(_) => panic!("{verdict:?}"),
    }
    isolated.stop().await;
    first.stop().await;
}

async fn unknown_contract_case() {
    let other = TestLeaseholder::start().await;
    let addresses = [UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS, other.address];
    let links = plain_links(PeerLinks::new(LONG));
    let isolated = IsolatedGateway::with_links(other, addresses, links, false);
    let reply = isolated.gateway.execute(request(NO_CONTRACT)).await;
    let RequestVerdict::NotRun(refusal) = reply.verdict else {
        panic!("{reply:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoLease);
    assert!(refusal.come_back_after_ms > 0);
    isolated.stop().await;
}

async fn hanging_relay_case() {
    let (hanging, relay) = start_relayed().await;
    relay.set_mode(RelayMode::Hang);
    let other = TestLeaseholder::start().await;
    let addresses = [relay.address(), relay.address(), other.address];
    let mut links = plain_links(PeerLinks::new(LONG));
    links.statements = StatementLinks::new(NodeClock::start(), HOUR);
    let isolated = IsolatedGateway::with_links(other, addresses, links, false);
    let reply = isolated.gateway.execute(request(FORWARDED)).await;
    let done = StatementAnswer::Done(FORWARDED.len() as u64);
    assert_eq!(reply.verdict, RequestVerdict::Ran(done));
    // The links' tasks end with their attempts to connect.
    relay.stop().await;
    isolated.stop().await;
    hanging.stop().await;
}

async fn silent_leaseholder_case() {
    let (leaseholder, relay) = start_relayed().await;
    let other = TestLeaseholder::start().await;
    let addresses = [relay.address(), UNREACHABLE_ADDRESS, other.address];
    let links = plain_links(PeerLinks::new(LONG));
    let gateway = IsolatedGateway::with_links(other, addresses, links, true);
    let lost = gateway.gateway.execute(request(HANGS));
    let (lost, ()) = tokio::join!(lost, async {
        leaseholder.wait_received(1).await;
        relay.set_mode(RelayMode::Hang);
        relay.silence_connections();
        let now = Some(Duration::ZERO);
        let links = &gateway.links.statements;
        while links.check_readiness(relay.address(), false, now).await == LinkReadiness::Ready {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let reply = gateway.gateway.execute(request(FORWARDED)).await;
        let done = StatementAnswer::Done(FORWARDED.len() as u64);
        assert_eq!(reply.verdict, RequestVerdict::Ran(done));
    });
    assert!(matches!(lost.verdict, RequestVerdict::MayHaveRun(_)));
    assert_eq!(leaseholder.runner.received.load(Ordering::SeqCst), 1);
    gateway.stop().await;
    relay.stop().await;
    leaseholder.stop().await;
}

async fn bounded_forwarding_case() {
    let leaseholder = TestLeaseholder::start().await;
    let other = TestLeaseholder::start().await;
    let addresses = [leaseholder.address, UNREACHABLE_ADDRESS, other.address];
    let links = plain_links(PeerLinks::new(LONG));
    let gateway = IsolatedGateway::with_links(other, addresses, links, true);
    let busy = (0..MAX_FORWARDED).map(|_| gateway.gateway.relay(request(HANGS)));
    let busy = futures::future::select_all(busy.map(Box::pin));
    let refused = async {
        leaseholder.wait_received(MAX_FORWARDED).await;
        let refused = gateway.gateway.relay(request("x")).await;
        assert!(matches!(
            refused.verdict,
            RequestVerdict::NotRun(refusal) if refusal.cause == RefusalCause::NoLease
        ));
        let own = gateway.gateway.execute(request("x")).await;
        assert!(matches!(own.verdict, RequestVerdict::Ran(_)));
    };
    tokio::select! {
        (reply, _, _) = busy => panic!("{reply:?}"),
        () = refused => {}
    }
    let reply = gateway.gateway.relay(request("x")).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)));
    gateway.stop().await;
    leaseholder.stop().await;
}

async fn idle_link_case() {
    let (first, first_relay) = start_relayed().await;
    let (second, second_relay) = start_relayed().await;
    let relays = [&first_relay, &second_relay];
    let addresses = relays.map(FaultRelay::address);
    let addresses = [UNREACHABLE_ADDRESS, addresses[0], addresses[1]];
    let runners = [Arc::clone(&first.runner), Arc::clone(&second.runner)];
    let count = |index: usize| runners[index].received.load(Ordering::SeqCst);
    let links = plain_links(PeerLinks::new(LONG));
    let isolated = IsolatedGateway::with_links(second, addresses, links, false);
    let done = RequestVerdict::Ran(StatementAnswer::Done(FORWARDED.len() as u64));
    let reply = isolated.gateway.execute(request(FORWARDED)).await;
    assert_eq!(reply.verdict, done);
    let chosen = if count(0) == 1 { 0 } else { 1 };
    relays[chosen].set_mode(RelayMode::Hang);
    relays[chosen].silence_connections();
    tokio::time::sleep(SHORT).await;
    let reply = isolated.gateway.execute(request(FORWARDED)).await;
    assert_eq!(reply.verdict, done);
    assert_eq!((count(chosen), count(1 - chosen)), (1, 1));
    first_relay.stop().await;
    second_relay.stop().await;
    isolated.stop().await;
    first.stop().await;
}

async fn relayed_description_case() {
    let peer = FakePeer::start(PeerScript::Reply(RequestVerdict::Ran(
        StatementAnswer::Done(0),
    )))
    .await;
    let other = TestLeaseholder::start().await;
    let links = plain_links(PeerLinks::new(LONG));
    let peers = [UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS, peer.address];
    let statements = [UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS, other.address];
    let record = create_record("vm-1", 1);
    let view = create_view_with(peers, statements.map(Some), &record, false);
    let (_view, views) = watch::channel(view);
    let gateway = Gateway::new(NodeClock::start(), links.clone(), views, HOUR);
    let describe = || {
        gateway.describe(ShapeRequest {
            id: StatementId::fresh(),
            customer: "omuti".into(),
            session: "clerk".into(),
            group: "cases".into(),
            text: "get $1".to_owned(),
            transaction: None,
            spent_ms: 0,
            relay: false,
        })
    };
    let early = describe().await;
    assert!(matches!(early.outcome, ShapeOutcome::Refused(_)));
    let reply = gateway.execute(request(FORWARDED)).await;
    assert!(matches!(reply.verdict, RequestVerdict::Ran(_)));
    let late = describe().await;
    assert!(matches!(late.outcome, ShapeOutcome::Known(_)), "{late:?}");
    assert!(peer.received().iter().all(|call| call.relayed));
    links.statements.shut_down().await;
    peer.stop().await;
    other.stop().await;
}
