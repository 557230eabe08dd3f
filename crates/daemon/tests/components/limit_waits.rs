//! Operations that wait at the account limiter for a token of their account.

use crate::bench::FRESH;
use crate::bench::GRANT;
use crate::bench::RequestBuilder;
use crate::bench::create_contract;
use crate::bench::create_record;
use crate::bench::create_view;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use ragwort_policy::LimitTolerance;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountTerms;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::ChangeId;
use ragwort_types::ContractVersion;
use ragwort_types::LimitReply;
use ragwort_types::LimitRequest;
use ragwort_types::MemberId;
use ragwort_types::RateShare;
use ragwort_types::RefusalCause;
use ragwort_types::TransactionId;
use ragwort_types::TransactionStep;
use ragwort_types::VersionedContract;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::limits::AccountLimiter;
use ragwortgated::metrics::DaemonMetrics;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;

/// A wait that no case reaches.
const LONG_WAIT: Duration = Duration::from_secs(600);

failure_cases! {
    /// The ledger has nothing to lend when it is first asked, and lends at the second request. The
    /// operation must begin then; it was refused with the first answer before.
    operation_waits_for_the_next_token => waiting_case();
    /// A statement waits for a token. The wait must count as spent, or the leaseholder would take
    /// the time that is left of its deadline and target for longer than it is. Later statements of
    /// a transaction and callers without an account must not be counted.
    wait_counts_as_time_spent => spent_case();
    /// The ledger lends the next operation in twenty minutes, and the caller has ten. The caller
    /// must be told at once, not when its time is up.
    operation_whose_token_comes_late_is_refused_at_once => late_case();
    /// An account has no limit. Its operations begin as they did before there were limits: without
    /// a wait, a request or a count.
    account_without_limit_never_waits => unlimited_case();
    /// A ledger lacks this VM's declaration, because it accepted the former one before it led the
    /// group anew. The VM must declare again, or the ledger lends next to nothing for two seconds.
    lost_declaration_is_made_again => undeclared_case();
}

/// A limiter on `vm-1`, and the ledgers' VM that answers it.
struct LimitBench {
    limiter: Arc<AccountLimiter>,
    metrics: DaemonMetrics,
    received: Arc<Mutex<Vec<LimitRequest>>>,
    _ledger: ServerHandle,
    _view: watch::Sender<ragwortgated::member::MemberView>,
    _stop: watch::Sender<bool>,
}

impl LimitBench {
    /// Starts a limiter with an account of this limit. `answer` gets the number of the request.
    async fn start(
        limit: Option<AccountLimit>,
        answer: impl Fn(usize, &LimitRequest) -> LimitReply + Send + Sync + 'static,
    ) -> Self {
        let received: Arc<Mutex<Vec<LimitRequest>>> = Arc::default();
        let (_ledger, address) = start_ledger(Arc::clone(&received), answer).await;
        let mut view = create_view([address; 3], &create_record("vm-2", 1), true);
        let terms = AccountTerms {
            name: account(),
            seal: Default::default(),
            keys: Default::default(),
            limit,
        };
        let mut contract = create_contract();
        for (_, terms) in contract.kinds.iter_mut() {
            terms.target_ms = (terms.access == ragwort_types::AccessMode::Read).then_some(410);
        }
        let contract = VersionedContract {
            version: ContractVersion(2),
            change_id: ChangeId::fresh(),
            contract,
        };
        let revision = view.copy.revision();
        let delta = CatalogDelta {
            from: Some(revision),
            to: revision.next(),
            items: vec![
                CatalogItem::Account(Box::new(terms)),
                CatalogItem::Contract(Box::new(contract)),
            ],
        };
        Arc::make_mut(&mut view.copy).apply_delta(&delta).unwrap();
        let (_view, receiver) = watch::channel(view);
        let member = MemberId {
            vm: "vm-1".into(),
            incarnation: VmIncarnation(1),
        };
        let metrics = DaemonMetrics::new();
        let limiter = Arc::new(AccountLimiter::new(
            NodeClock::start(),
            member,
            Duration::from_secs(5),
            receiver,
            LimitTolerance::default(),
            metrics.clone(),
        ));
        let (_stop, stopped) = watch::channel(false);
        tokio::spawn(Arc::clone(&limiter).run(stopped));
        Self {
            limiter,
            metrics,
            received,
            _ledger,
            _view,
            _stop,
        }
    }

    fn counts(&self, outcome: &str) -> bool {
        let text = self.metrics.to_text();
        text.contains(&format!(
            "ragwort_account_operations_total{{outcome=\"{outcome}\"}} 1"
        ))
    }
}

fn account() -> AccountName {
    "library".into()
}

fn small_limit() -> Option<AccountLimit> {
    Some(AccountLimit {
        per_thousand_seconds: 2_000,
        burst: 2,
    })
}

fn reply(request: &LimitRequest, operations: u32, rest_after_ms: Option<u64>) -> LimitReply {
    let grants = request.accounts.iter().map(|one| AccountGrant {
        account: one.account.clone(),
        share: RateShare::default(),
        operations: operations.min(one.wants),
        rest_after_ms,
    });
    LimitReply {
        grants: grants.collect(),
        declared: request.declared.clone(),
        undeclared: Vec::new(),
    }
}

async fn start_ledger(
    received: Arc<Mutex<Vec<LimitRequest>>>,
    answer: impl Fn(usize, &LimitRequest) -> LimitReply + Send + Sync + 'static,
) -> (ServerHandle, SocketAddr) {
    let mut module = RpcModule::new((received, answer));
    module
        .register_method(
            "peer_lendLimits",
            |params, context, _| -> RpcResult<serde_json::Value> {
                let request: LimitRequest = params.one()?;
                let mut received = context.0.lock().unwrap();
                received.push(request.clone());
                let asking = received.iter().filter(|one| !one.accounts.is_empty());
                let reply = (context.1)(asking.count(), &request);
                Ok(serde_json::to_value(reply).unwrap())
            },
        )
        .unwrap();
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    (server.start(module), address)
}

async fn waiting_case() {
    let bench = LimitBench::start(small_limit(), |number, request| {
        let operations = u32::from(number > 1);
        reply(request, operations, (operations == 0).then_some(30))
    })
    .await;
    let waited = bench.limiter.begin(&account(), || LONG_WAIT).await.unwrap();
    assert!(!waited.is_zero());
    assert!(bench.counts("after_wait"), "{}", bench.metrics.to_text());
}

async fn spent_case() {
    let bench = LimitBench::start(small_limit(), |number, request| {
        let operations = u32::from(number > 1);
        reply(request, operations, (operations == 0).then_some(30))
    })
    .await;
    let mut request = RequestBuilder::new(GRANT, "s").into_request();
    request.spent_ms = 7;
    assert_eq!(bench.limiter.admit(&mut request).await, Ok(None));
    request.account = Some(account());
    let step = std::mem::replace(
        &mut request.step,
        TransactionStep::Within(TransactionId::fresh()),
    );
    assert_eq!(bench.limiter.admit(&mut request).await, Ok(None));
    assert_eq!(request.spent_ms, 7);
    request.step = step;
    let admitted = bench.limiter.admit(&mut request).await;
    assert_eq!(admitted, Ok(Some(account())));
    // The ledger isn't asked again before it expects to lend.
    assert!(request.spent_ms >= 7 + 30, "{}", request.spent_ms);
}

async fn late_case() {
    let bench = LimitBench::start(small_limit(), |_, request| {
        reply(request, 0, Some(1_200_000))
    })
    .await;
    let refusal = bench.limiter.begin(&account(), || LONG_WAIT).await;
    assert_eq!(refusal.unwrap_err().cause, RefusalCause::AccountLimit);
    assert!(bench.counts("refused"), "{}", bench.metrics.to_text());
}

async fn unlimited_case() {
    let bench = LimitBench::start(None, |_, request| reply(request, 0, None)).await;
    for _ in 0..1_000 {
        let waited = bench.limiter.begin(&account(), || Duration::ZERO).await;
        assert_eq!(waited, Ok(Duration::ZERO));
    }
    let text = bench.metrics.to_text();
    assert!(!text.contains("account_operations_total"), "{text}");
    assert!(bench.received.lock().unwrap().is_empty());
}

async fn undeclared_case() {
    let bench = LimitBench::start(small_limit(), |number, request| LimitReply {
        undeclared: match number {
            1 => vec!["cases".into()],
            _ => Vec::new(),
        },
        ..reply(request, 1, None)
    })
    .await;
    let declared = || {
        let received = bench.received.lock().unwrap();
        received
            .iter()
            .filter(|one| !one.declared.is_empty())
            .count()
    };
    crate::cases::wait_until(|| declared() == 1).await;
    bench.limiter.begin(&account(), || LONG_WAIT).await.unwrap();
    crate::cases::wait_until(|| declared() == 2).await;
}

/// A statement may wait for half of the time to its latency target, which counts from its arrival
/// at the gateway; without a target, or past it, for half of the time to its deadline. A longer
/// wait would leave too little time for its queue and its endpoint.
#[tokio::test]
async fn wait_is_half_of_the_time_that_is_left() {
    let bench = LimitBench::start(small_limit(), |_, request| reply(request, 0, None)).await;
    let find_wait = |kind: &str, spent_ms: u64| {
        let mut request = RequestBuilder::new(kind, "s")
            .deadline(2_000)
            .into_request();
        request.spent_ms = spent_ms;
        bench.limiter.find_wait(&request).as_millis()
    };
    assert_eq!(find_wait(FRESH, 0), 200);
    assert_eq!(find_wait(FRESH, 300), 50);
    assert_eq!(find_wait(FRESH, 1_000), 500);
    assert_eq!(find_wait(GRANT, 0), 1_000);
    assert_eq!(find_wait(GRANT, 1_500), 250);
}
