//! The account limiter's requests to the VM that keeps the accounts' ledgers.

use crate::bench::create_record;
use crate::bench::create_view;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use ragwort_policy::LimitTolerance;
use ragwort_types::AccountLimit;
use ragwort_types::AccountTerms;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::LimitReply;
use ragwort_types::LimitRequest;
use ragwort_types::MemberId;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::limits::AccountLimiter;
use ragwortgated::metrics::DaemonMetrics;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

failure_cases! {
    /// All VMs restart at once, and one of them learns that another VM leads a group before that VM
    /// itself does. The other VM doesn't accept the declaration then. When declarations were sent
    /// once only, the ledger lent almost nothing for two seconds, and most requests below their
    /// accounts' limits were refused.
    declaration_that_was_not_taken_is_made_again => declaration_case();
}

async fn declaration_case() {
    let received: Arc<Mutex<Vec<LimitRequest>>> = Arc::default();
    let mut module = RpcModule::new(Arc::clone(&received));
    module
        .register_method(
            "peer_lendLimits",
            |params, received, _| -> RpcResult<serde_json::Value> {
                let request: LimitRequest = params.one()?;
                let mut received = received.lock().unwrap();
                let declared = match received.len() {
                    0 => Vec::new(),
                    _ => request.declared.clone(),
                };
                received.push(request);
                let reply = LimitReply {
                    grants: Vec::new(),
                    declared,
                    undeclared: Vec::new(),
                };
                Ok(serde_json::to_value(reply).unwrap())
            },
        )
        .unwrap();
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let ledger_address = server.local_addr().unwrap();
    let _server = server.start(module);
    let mut view = create_view([ledger_address; 3], &create_record("vm-2", 1), true);
    let account = AccountTerms {
        name: "directorate".into(),
        seal: Default::default(),
        keys: Default::default(),
        limit: Some(AccountLimit {
            per_thousand_seconds: 5_000,
            burst: 5,
        }),
    };
    let revision = view.copy.revision();
    let delta = CatalogDelta {
        from: Some(revision),
        to: revision.next(),
        items: vec![CatalogItem::Account(Box::new(account))],
    };
    Arc::make_mut(&mut view.copy).apply_delta(&delta).unwrap();
    let (view, receiver) = watch::channel(view);
    let member = MemberId {
        vm: "vm-of-the-asker".into(),
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
    while received.lock().unwrap().len() < 2 {
        sleep(Duration::from_millis(5)).await;
    }
    let requests = received.lock().unwrap().clone();
    assert_eq!(requests[0].declared, requests[1].declared);
    assert_eq!(requests[0].declared.len(), 1);
    stop.send_replace(true);
    task.await.unwrap();
    drop(view);
}
