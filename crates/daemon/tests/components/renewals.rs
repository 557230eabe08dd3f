//! A member that renews its lease while the catalog stays the same.

use crate::bench::create_record;
use crate::bench::create_settings;
use crate::bench::create_view;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use ragwortgated::clock::NodeClock;
use ragwortgated::directory::ControlDirectory;
use ragwortgated::member::MemberTask;
use ragwortgated::member::create_member_id;
use ragwortgated::member::initial_requested_lease;
use ragwortgated::peers::PeerLinks;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;

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
    let settings = Arc::new(create_settings("heartbeat_ms: 20", control));
    let clock = NodeClock::start();
    let view = create_view([control; 3], &create_record("vm-1", 1), false);
    let copy = Arc::clone(&view.copy);
    let (view, mut receiver) = watch::channel(view);
    let (_seeds, seeds) = watch::channel(vec![control]);
    let (_unplaced, unplaced) = watch::channel(Vec::new());
    let (_drain, draining) = watch::channel(false);
    let (stop, stopped) = watch::channel(false);
    let member = MemberTask {
        settings: Arc::clone(&settings),
        clock,
        links: PeerLinks::new(Duration::from_secs(5)),
        directory: ControlDirectory::new(Arc::clone(&settings), seeds, receiver.clone()),
        view,
        unplaced,
        draining,
        stop: stopped,
        requested_lease: initial_requested_lease(&settings),
        pending_grant: None,
    };
    let task = tokio::spawn(member.run(create_member_id(&settings)));
    receiver.changed().await.unwrap();
    assert!(receiver.borrow_and_update().may_serve(clock.now()));
    // The reply of each heartbeat but the last one was taken before the next one was sent.
    for _ in 0..=RENEWALS + 1 {
        grants.recv().await.unwrap();
    }
    assert!(Arc::ptr_eq(&receiver.borrow().copy, &copy));
    assert!(!receiver.has_changed().unwrap());
    stop.send_replace(true);
    task.await.unwrap();
}
