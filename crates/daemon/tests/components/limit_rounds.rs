//! The rounds of the account limiter, which sleeps until an account is due.

use crate::bench::create_record;
use crate::bench::create_view;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use ragwort_policy::LimitTolerance;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountTerms;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::LimitReply;
use ragwort_types::LimitRequest;
use ragwort_types::MemberId;
use ragwort_types::RateShare;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::limits::AccountLimiter;
use ragwortgated::metrics::DaemonMetrics;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;

failure_cases! {
    /// An account's callers pause after one operation, and nothing else wakes the limiter. If it
    /// slept past the time at which the share is due, the share would stay where nobody needs it.
    share_is_renewed_without_further_operations => renewal_case();
}

async fn renewal_case() {
    let account: AccountName = "directorate".into();
    let (requests, mut received) = mpsc::unbounded_channel();
    let (_server, ledger_address) = start_ledger(requests).await;
    let mut view = create_view([ledger_address; 3], &create_record("vm-2", 1), true);
    let terms = AccountTerms {
        name: account.clone(),
        seal: Default::default(),
        keys: Default::default(),
        limit: Some(AccountLimit {
            per_thousand_seconds: 100_000,
            burst: 100,
        }),
    };
    let revision = view.copy.revision();
    let delta = CatalogDelta {
        from: Some(revision),
        to: revision.next(),
        items: vec![CatalogItem::Account(Box::new(terms))],
    };
    Arc::make_mut(&mut view.copy).apply_delta(&delta).unwrap();
    let (_view, receiver) = watch::channel(view);
    let member = MemberId {
        vm: "vm-1".into(),
        incarnation: VmIncarnation(1),
    };
    let limiter = Arc::new(AccountLimiter::new(
        NodeClock::start(),
        member,
        Duration::from_secs(5),
        receiver,
        LimitTolerance::default(),
        DaemonMetrics::new(),
    ));
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(Arc::clone(&limiter).run(stopped));
    limiter
        .begin(&account, || Duration::from_millis(200))
        .await
        .unwrap();
    let mut shares = Vec::new();
    while shares.len() < 4 {
        let request: LimitRequest = received.recv().await.unwrap();
        let asked = request.accounts.iter();
        shares.extend(asked.map(|one| (one.holds, one.wants > 0)));
    }
    let half = RateShare::from_fraction(0.5);
    assert_eq!(shares[0], (RateShare::default(), true));
    assert_eq!(shares[1..], [(half, false); 3]);
    stop.send_replace(true);
    task.await.unwrap();
}

/// Starts a ledger that lends half of each account's rate, and each operation that is asked for.
async fn start_ledger(
    requests: mpsc::UnboundedSender<LimitRequest>,
) -> (jsonrpsee::server::ServerHandle, SocketAddr) {
    let mut module = RpcModule::new(requests);
    module
        .register_method(
            "peer_lendLimits",
            |params, requests, _| -> RpcResult<serde_json::Value> {
                let request: LimitRequest = params.one()?;
                let grants = request.accounts.iter().map(|one| AccountGrant {
                    account: one.account.clone(),
                    share: RateShare::from_fraction(0.5),
                    operations: one.wants,
                    rest_after_ms: None,
                });
                let reply = LimitReply {
                    grants: grants.collect(),
                    declared: request.declared.clone(),
                    undeclared: Vec::new(),
                };
                // The test may have ended.
                let _ = requests.send(request);
                Ok(serde_json::to_value(reply).unwrap())
            },
        )
        .unwrap();
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    (server.start(module), address)
}
