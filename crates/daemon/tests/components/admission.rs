//! Sessions and statements of databases that the gateway's catalog copy lacks.

use crate::bench::FRESH;
use crate::bench::GroupBench;
use crate::bench::RequestBuilder;
use crate::bench::UNREACHABLE_ADDRESS;
use crate::bench::create_contract;
use crate::bench::create_record;
use crate::bench::create_view;
use crate::bench::plain_links;
use ragwort_types::AccountKey;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::ChangeId;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerName;
use ragwort_types::KeyDigest;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::VersionedContract;
use ragwortgated::callers::SessionIdentity;
use ragwortgated::callers::SessionRefusal;
use ragwortgated::callers::StatementService;
use ragwortgated::clock::NodeClock;
use ragwortgated::gateway::Gateway;
use ragwortgated::group::GroupEvent;
use ragwortgated::member::MemberView;
use ragwortgated::peers::PeerLinks;
use ragwortgated::service::GatewayService;
use ragwortgated::sessions::SessionCaller;
use ragwortgated::sessions::SessionService;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::sync::watch;

failure_cases! {
    /// A session was admitted, and the database was removed and added again while the gateway was
    /// cut off. Its copy lacks the database, but that is no reason to report it missing.
    statement_is_not_refused_by_an_outdated_copy => outdated_copy_case();
    /// A database was removed after a session was admitted. A gateway with a lease reports that at
    /// the next statement.
    statement_of_a_removed_database_is_refused => removed_database_case();
    /// A key was taken away and given back while the gateway was cut off. Its copy lacks the key,
    /// but the leaseholder checks it, so the session goes on.
    session_is_not_ended_by_an_outdated_copy => outdated_key_case();
    /// A contract is added, and its customer's first statement arrives before the group's task has
    /// handled the change of the catalog. If the scheduler didn't know the contract yet, it would
    /// refuse the statement.
    first_statement_under_a_new_contract_is_admitted => first_statement_case();
}

/// The database that the bench's catalog has no contract for.
const UNKNOWN: &str = "removed";

/// Creates the service of a gateway with or without a lease.
fn create_service(lease: bool) -> (GatewayService, watch::Sender<MemberView>) {
    let view = create_view([UNREACHABLE_ADDRESS; 3], &create_record("vm-1", 1), lease);
    let (sender, view) = watch::channel(view);
    let clock = NodeClock::start();
    let links = plain_links(PeerLinks::new(Duration::from_secs(5)));
    let gateway = Gateway::new(clock, links, view.clone(), Duration::from_secs(1));
    let (_, closing) = watch::channel(false);
    let (service, _) = GatewayService::start(Arc::new(gateway), clock, view, closing);
    (service, sender)
}

async fn outdated_copy_case() {
    let (service, _view) = create_service(false);
    let database = CustomerName::from(UNKNOWN);
    let refused = service.admit(&database, &AccountKey::new("")).unwrap_err();
    assert!(
        matches!(refused, SessionRefusal::NotReady { .. }),
        "{refused:?}"
    );
    let refusal = service.find_group(&database).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::NoLease);
    assert!(refusal.come_back_after_ms > 0);
    let identity = SessionIdentity {
        customer: "omuti".into(),
        group: "removed".into(),
        session: "clerk".into(),
    };
    let refused = service.open_session(&identity).unwrap_err();
    assert!(
        matches!(refused, SessionRefusal::NotReady { .. }),
        "{refused:?}"
    );
    let request = RequestBuilder::new("grant", "append case-7 grant");
    let mut request = request.into_request();
    request.customer = database;
    let reply = service.run(request).await;
    let RequestVerdict::NotRun(refusal) = reply.verdict else {
        panic!("{reply:?}");
    };
    assert_eq!(refusal.cause, RefusalCause::NoLease);
    assert!(refusal.come_back_after_ms > 0);
}

async fn removed_database_case() {
    let (service, _view) = create_service(true);
    let database = CustomerName::from(UNKNOWN);
    let refused = service.admit(&database, &AccountKey::new("")).unwrap_err();
    assert_eq!(refused, SessionRefusal::NoContract);
    let refusal = service.find_group(&database).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::Contract);
}

async fn outdated_key_case() {
    let database = CustomerName::from("omuti");
    let caller = SessionCaller {
        account: Some("directorate".into()),
        digest: Some(KeyDigest([7; 16])),
    };
    for (lease, admits) in [(true, false), (false, true)] {
        let (service, _view) = create_service(lease);
        assert_eq!(
            service.still_admits(&database, &caller),
            admits,
            "lease {lease}"
        );
    }
}

/// The number of contracts that are added; the task handles either event first.
const CONTRACTS: usize = 40;

async fn first_statement_case() {
    let bench = GroupBench::start().await;
    for number in 0..CONTRACTS {
        let mut contract = create_contract();
        contract.customer = format!("customer-{number}").into();
        let mut request = RequestBuilder::new(FRESH, "get case-7").into_request();
        request.customer = contract.customer.clone();
        let held = VersionedContract {
            version: ContractVersion(1),
            change_id: ChangeId::fresh(),
            contract,
        };
        bench.view.send_modify(|view| {
            let revision = view.copy.revision();
            let added = CatalogDelta {
                from: Some(revision),
                to: revision.next(),
                items: vec![CatalogItem::Contract(Box::new(held))],
            };
            Arc::make_mut(&mut view.copy).apply_delta(&added).unwrap();
        });
        let (reply, answer) = oneshot::channel();
        let event = GroupEvent::Statement(Box::new(request), reply);
        bench.inbox.try_send(event).unwrap();
        let verdict = answer.await.unwrap().verdict;
        let refused = RequestVerdict::refused(RefusalCause::Contract, 0);
        assert_ne!(verdict, refused, "statement {number}");
    }
    bench.stop().await;
}
