//! Links that carry statements: what a failed call says of whether it ran, and how long it takes.

use crate::bench::Ask;
use crate::bench::NOWHERE;
use crate::bench::create_record;
use crate::bench::create_view_with;
use crate::bench::plain_links;
use crate::cases::wait_until;
use async_trait::async_trait;
use bytes::BytesMut;
use ragwort_lab::relay::CutRelay;
use ragwort_lab::relay::RelayMode;
use ragwort_rpc::FrameCodec;
use ragwort_rpc::StatementFrame;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
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
use ragwortgated::statements::links::CallSort;
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

/// A limit that is meant to run out.
const SHORT: Duration = Duration::from_millis(200);

/// The text of a statement that the leaseholder never replies to.
const HANGS: &str = "hangs";

/// The text of a statement that the VM can bring to its leaseholder.
const DETOUR: &str = "detour";

/// A statement whose group nobody leads.
const UNLED: &str = "unled";

/// The text of a statement whose reply the leaseholder has lost.
const LOSES: &str = "loses";

failure_cases! {
    /// A hundred callers ask at once, and short statements overtake long ones. Each gets the reply to its
    /// own statement; with another's rows, it would show one applicant the file of another.
    replies_find_their_calls => crowd_case();
    /// No leaseholder listens there. The statement has not run, and its caller may be told so.
    unreachable_leaseholder_has_not_run_the_call => unreachable_case();
    /// The leaseholder's process hangs: its system accepts connections, and nothing answers on them. The
    /// statement has not run, and its caller isn't left in doubt.
    hanging_process_has_not_run_the_call => hanging_case();
    /// While a leaseholder is out of reach, statements keep coming. Each is refused at once: were they held
    /// until an attempt to connect has timed out, their callers would have no time left for the successor.
    calls_are_refused_while_a_leaseholder_is_out_of_reach => outage_case();
    /// The connection breaks while the leaseholder works on a statement: it may have run.
    link_lost_during_a_call_leaves_doubt => lost_case();
    /// The leaseholder's VM loses power with statements under way. Their callers hear that the outcome is
    /// unknown long before their limit of an hour, and the next statement goes over a new connection.
    silence_ends_a_call_before_its_limit => silent_case();
    /// A slow statement and nothing else is under way. The leaseholder answers the question whether it
    /// lives, so the caller waits for its reply.
    slow_statement_is_waited_for => slow_case();
    /// The leaseholder's task ends with a statement under way. Only that one is in doubt.
    lost_reply_leaves_the_link_alone => lost_reply_case();
    /// A leaseholder's VM is restarted, and statements reach it in its last moments: gateways learn of the
    /// handover a heartbeat later. Each is answered, or was never handed over. A connection that is closed
    /// upon what its gateway has sent leaves callers in doubt about writes that nobody has run.
    stopping_leaseholder_answers_all_that_was_sent_to_it => stopping_case();
    /// The same, and one statement is still under way: its reply is there before the connection ends.
    stopping_leaseholder_brings_the_replies_under_way => last_reply_case();
    /// Something that is no gateway connects and sends other bytes. Only its own connection ends.
    other_bytes_end_their_own_connection_only => garbage_case();
    /// A gateway finds a leaseholder's address for statements in the catalog and uses it.
    gateway_uses_the_link => gateway_case();
    /// A gateway is cut off from every control VM and leaseholder for seconds, and its lease has ended. Its
    /// callers would all be refused meanwhile. Another gateway brings their statements to the leaseholder;
    /// where that one is cut off too, the next one is asked, and if none is left the refusal is true.
    gateway_that_is_cut_off_goes_by_another => detour_case();
    /// A gateway is cut off, and one group has lost its leaseholder. Its neighbour says so. The statements
    /// for other groups still go by the neighbour; taken for isolated, the gateway would refuse them all.
    group_without_a_leaseholder_leaves_the_way_open => unled_case();
}

/// A leaseholder that answers each statement with the length of its text.
#[derive(Default)]
struct LengthRunner {
    taken: AtomicUsize,
}

#[async_trait]
impl StatementRunner for LengthRunner {
    async fn run_here(&self, request: StatementRequest) -> Option<StatementReply> {
        self.taken.fetch_add(1, Ordering::SeqCst);
        match request.text.as_str() {
            HANGS => std::future::pending().await,
            LOSES => None,
            text => {
                let length = text.len() as u64;
                tokio::time::sleep(Duration::from_millis(100 - length.min(100))).await;
                Some(answer(&request, length))
            }
        }
    }

    async fn bring_on(&self, request: StatementRequest) -> StatementReply {
        self.taken.fetch_add(1, Ordering::SeqCst);
        let mut reply = answer(&request, request.text.len() as u64);
        match request.text.as_str() {
            DETOUR => {}
            UNLED => reply.verdict = RequestVerdict::refused(RefusalCause::NoLeaseholder, 7),
            // What a gateway says that is cut off itself.
            _ => reply.verdict = RequestVerdict::refused(RefusalCause::NoLease, 7),
        }
        reply
    }
}

fn answer(request: &StatementRequest, length: u64) -> StatementReply {
    StatementReply {
        id: request.id,
        verdict: RequestVerdict::Ran(StatementAnswer::Done(length)),
        served_by: None,
    }
}

fn request(text: &str) -> StatementRequest {
    Ask::new("grant", text).into_request()
}

struct Leaseholder {
    address: SocketAddr,
    runner: Arc<LengthRunner>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Leaseholder {
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

    async fn wait_taken(&self, count: usize) {
        wait_until(|| self.runner.taken.load(Ordering::SeqCst) >= count).await;
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }
}

fn links(connect_timeout: Duration) -> Arc<StatementLinks> {
    StatementLinks::new(NodeClock::start(), connect_timeout)
}

async fn call(
    links: &StatementLinks,
    address: SocketAddr,
    text: &str,
) -> Result<StatementReply, LinkError> {
    links
        .call(address, CallSort::Execute, request(text), HOUR)
        .await
}

async fn start_relayed() -> (Leaseholder, CutRelay) {
    let leaseholder = Leaseholder::start().await;
    let relay = CutRelay::start(leaseholder.address, Duration::ZERO).await;
    (leaseholder, relay.unwrap())
}

async fn crowd_case() {
    let leaseholder = Leaseholder::start().await;
    let links = links(LONG);
    let calls = (1..=100).map(|length| {
        let links = &links;
        let address = leaseholder.address;
        async move {
            let request = request(&"x".repeat(length));
            let id = request.id;
            let reply = links
                .call(address, CallSort::Execute, request, HOUR)
                .await
                .unwrap();
            assert_eq!(reply.id, id);
            let done = StatementAnswer::Done(length as u64);
            assert_eq!(reply.verdict, RequestVerdict::Ran(done));
        }
    });
    futures::future::join_all(calls).await;
    let relayed = links
        .call(leaseholder.address, CallSort::Relay, request("x"), HOUR)
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
    let error = call(&links, NOWHERE, "x").await.unwrap_err();
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
    // An attempt to connect takes longer than the whole case may.
    let links = links(HOUR);
    let first = call(&links, NOWHERE, "x").await;
    assert_eq!(first.unwrap_err(), LinkError::Unreachable);
    for _ in 0..50 {
        let next = call(&links, NOWHERE, "x").await;
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
        leaseholder.wait_taken(1).await;
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
        leaseholder.wait_taken(1).await;
        relay.forget_connections();
    });
    assert_eq!(ended.unwrap_err(), LinkError::Lost);
    // It is refused while the new connection is on its way.
    while call(&links, address, "x").await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    links.shut_down().await;
    relay.stop().await;
    leaseholder.stop().await;
}

async fn slow_case() {
    let leaseholder = Leaseholder::start().await;
    let links = links(LONG);
    let waits = ragwort_policy::QUIET_TIME + ragwort_policy::ANSWER_TIME;
    let slow = call(&links, leaseholder.address, HANGS);
    let waited = tokio::time::timeout(waits * 3, slow).await;
    assert!(waited.is_err(), "the link was given up");
    assert!(call(&links, leaseholder.address, "x").await.is_ok());
    links.shut_down().await;
    leaseholder.stop().await;
}

async fn lost_reply_case() {
    let leaseholder = Leaseholder::start().await;
    let links = links(LONG);
    let (lost, fine) = tokio::join!(
        call(&links, leaseholder.address, LOSES),
        call(&links, leaseholder.address, "x"),
    );
    assert_eq!(lost.unwrap_err(), LinkError::Lost);
    assert!(fine.is_ok());
    links.shut_down().await;
    leaseholder.stop().await;
}

async fn stopping_case() {
    let leaseholder = Leaseholder::start().await;
    let links = links(LONG);
    let address = leaseholder.address;
    assert!(call(&links, address, "x").await.is_ok());
    // A text of a hundred letters or more is answered at once.
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
        leaseholder.wait_taken(1_000).await;
        leaseholder.stop().await;
    });
    assert!(answered.iter().sum::<usize>() >= 900);
    links.shut_down().await;
}

async fn last_reply_case() {
    let leaseholder = Leaseholder::start().await;
    let links = links(LONG);
    // It takes a tenth of a second.
    let (reply, ()) = tokio::join!(call(&links, leaseholder.address, "x"), async {
        leaseholder.wait_taken(1).await;
        leaseholder.stop().await;
    });
    assert!(reply.is_ok(), "{reply:?}");
    links.shut_down().await;
}

async fn garbage_case() {
    let leaseholder = Leaseholder::start().await;
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
        // It is closed, or reset if some of the bytes weren't read.
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
    let leaseholder = Leaseholder::start().await;
    let links = plain_links(PeerLinks::new(LONG));
    let record = create_record("vm-1", 1);
    let statements = [Some(leaseholder.address), None, None];
    let view = create_view_with([NOWHERE; 3], statements, &record, true);
    let (_view, views) = watch::channel(view);
    let gateway = Gateway::new(NodeClock::start(), links.clone(), views, LONG);
    let reply = gateway.execute(request("xyz")).await;
    assert_eq!(reply.verdict, RequestVerdict::Ran(StatementAnswer::Done(3)));
    links.statements.shut_down().await;
    leaseholder.stop().await;
}

/// A gateway that reaches one other gateway and nobody else, and whose lease has ended.
struct CutOffGateway {
    gateway: Gateway,
    other: Leaseholder,
    links: GatewayLinks,
    _view: watch::Sender<MemberView>,
}

impl CutOffGateway {
    async fn start() -> Self {
        let other = Leaseholder::start().await;
        let links = plain_links(PeerLinks::new(LONG));
        let record = create_record("vm-1", 1);
        let statements = [Some(NOWHERE), Some(NOWHERE), Some(other.address)];
        let view = create_view_with([NOWHERE; 3], statements, &record, false);
        let (sender, views) = watch::channel(view);
        // No takeover could end before a statement's deadline.
        let gateway = Gateway::new(NodeClock::start(), links.clone(), views, HOUR);
        Self {
            gateway,
            other,
            links,
            _view: sender,
        }
    }

    /// Returns how a statement is refused.
    async fn refuse(&self, text: &str) -> Refusal {
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

async fn unled_case() {
    let cut_off = CutOffGateway::start().await;
    let refusal = cut_off.refuse(UNLED).await;
    assert_eq!(refusal.cause, RefusalCause::NoLeaseholder);
    assert!(!cut_off.gateway.is_isolated());
    cut_off.stop().await;
}

async fn detour_case() {
    let cut_off = CutOffGateway::start().await;
    let gateway = &cut_off.gateway;
    let reply = gateway.execute(request(DETOUR)).await;
    let done = StatementAnswer::Done(DETOUR.len() as u64);
    assert_eq!(reply.verdict, RequestVerdict::Ran(done));
    let refusal = cut_off.refuse("x").await;
    assert_eq!(refusal.cause, RefusalCause::NoLease);
    assert!(refusal.come_back_after_ms > 0);
    assert!(gateway.is_isolated());
    let taken = cut_off.other.runner.taken.load(Ordering::SeqCst);
    // It isn't asked again and again, but is asked again.
    while gateway.is_isolated() {
        gateway.execute(request(DETOUR)).await;
    }
    assert!(cut_off.other.runner.taken.load(Ordering::SeqCst) <= taken + 2);
    cut_off.stop().await;
}
