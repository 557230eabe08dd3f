//! The gateway as the caller edges use it: sessions, limits, statements and cancels.
//!
//! It counts the sessions of each customer and the statements in flight, and refuses those that
//! exceed the limits of the customer's contract on this gateway.

use crate::callers::DescribeReply;
use crate::callers::DescribeRequest;
use crate::callers::SessionIdentity;
use crate::callers::SessionRefusal;
use crate::callers::StatementService;
use crate::clock::NodeClock;
use crate::gateway::Gateway;
use crate::gateway::find_terms;
use crate::gateway::reply_with;
use crate::member::CatalogStanding;
use crate::member::MemberView;
use crate::sessions::SessionCaller;
use crate::sessions::SessionService;
use async_trait::async_trait;
use ragwort_policy::CustomerTerms;
use ragwort_policy::InFlightLimiter;
use ragwort_types::AccountKey;
use ragwort_types::CatalogRevision;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::RequestMarks;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Capacity of the queue of cancels. Cancels are best effort: one that finds the queue full is
/// dropped.
const CANCEL_QUEUE_CAPACITY: usize = 256;

/// The time after which a caller that was refused for want of a lease should come back, in
/// milliseconds.
const NO_LEASE_RETRY_MS: u64 = 500;

/// The time after which a caller whose contract has moved to another group should come back, in
/// milliseconds.
const MOVED_CONTRACT_RETRY_MS: u64 = 20;

/// The time after which a caller that exceeded its customer's session limit should come back, in
/// milliseconds.
const SESSION_LIMIT_RETRY_MS: u64 = 1_000;

/// Serves the caller edges through a gateway.
pub struct GatewayService {
    gateway: Arc<Gateway>,
    clock: NodeClock,
    view: watch::Receiver<MemberView>,
    /// Whether this VM refuses new sessions because it is shutting down.
    closing: watch::Receiver<bool>,
    tables: Mutex<ServiceTables>,
    cancels: mpsc::Sender<QueuedCancel>,
}

/// The sessions and statements that the service counts.
#[derive(Default)]
struct ServiceTables {
    sessions: HashMap<CustomerName, u32>,
    running: HashMap<StatementId, GroupName>,
    in_flight_limiter: InFlightLimiter,
}

/// A cancel that waits to be sent to a leaseholder.
struct QueuedCancel {
    group: GroupName,
    id: StatementId,
}

impl GatewayService {
    /// Creates the service and the task that sends cancels, which the caller joins.
    pub fn start(
        gateway: Arc<Gateway>,
        clock: NodeClock,
        view: watch::Receiver<MemberView>,
        closing: watch::Receiver<bool>,
    ) -> (Self, JoinHandle<()>) {
        let (cancels, mut queue) = mpsc::channel::<QueuedCancel>(CANCEL_QUEUE_CAPACITY);
        let cancel_gateway = Arc::clone(&gateway);
        let task = tokio::spawn(async move {
            while let Some(cancel) = queue.recv().await {
                cancel_gateway.cancel(cancel.group, cancel.id).await;
            }
        });
        let service = Self {
            gateway,
            clock,
            view,
            closing,
            tables: Mutex::default(),
            cancels,
        };
        (service, task)
    }

    fn tables(&self) -> MutexGuard<'_, ServiceTables> {
        self.tables.lock().expect("no holder of this lock panics")
    }

    /// Admits a statement under this gateway's limits on statements in flight.
    fn admit(
        &self,
        group: &GroupName,
        customer: &CustomerName,
        marks: &RequestMarks,
    ) -> Result<(), Refusal> {
        let view = self.view.borrow();
        let missing = || self.refuse_without_contract(&view);
        let contract = view.copy.contract(customer).ok_or_else(missing)?;
        let contract = &contract.contract;
        let kind = find_terms(contract, marks).ok_or_else(missing)?;
        let terms = CustomerTerms::from(contract);
        self.tables()
            .in_flight_limiter
            .admit(group, &terms, kind.urgency)
    }
}

impl GatewayService {
    /// Returns the refusal of a statement whose contract the catalog copy lacks.
    ///
    /// Without a lease the copy may be outdated. A caller that is told that its database doesn't
    /// exist gives up, although the database may have been added since.
    fn refuse_without_contract(&self, view: &MemberView) -> Refusal {
        match view.may_serve(self.clock.now()) {
            true => Refusal {
                cause: RefusalCause::Contract,
                come_back_after_ms: 0,
            },
            false => Refusal {
                cause: RefusalCause::NoLease,
                come_back_after_ms: NO_LEASE_RETRY_MS,
            },
        }
    }

    /// Returns the refusal of a statement that was refused for want of a contract, although the
    /// session was admitted.
    fn explain_missing_contract(&self, database: &CustomerName) -> Refusal {
        match self.find_group(database) {
            // The contract names another group by now; the next statement goes there.
            Ok(_) => Refusal {
                cause: RefusalCause::NoLeaseholder,
                come_back_after_ms: MOVED_CONTRACT_RETRY_MS,
            },
            Err(refusal) => refusal,
        }
    }

    /// Counts one more session of a customer if its contract allows it.
    fn count_session(&self, contract: &CustomerContract) -> Result<(), SessionRefusal> {
        let mut tables = self.tables();
        let open = tables
            .sessions
            .entry(contract.customer.clone())
            .or_default();
        if *open >= contract.session_limit {
            return Err(SessionRefusal::TooManySessions {
                come_back_after_ms: SESSION_LIMIT_RETRY_MS,
            });
        }
        *open += 1;
        Ok(())
    }

    /// Returns the contract under which a session may be opened.
    ///
    /// A gateway without a lease accepts sessions of the customers that it knows: it may still send
    /// their statements through another gateway, and the balancer sends callers here when few other
    /// VMs are ready. It never reports that a customer doesn't exist, because its catalog copy may
    /// be out of date.
    fn find_contract<'v>(
        &self,
        view: &'v MemberView,
        customer: &CustomerName,
    ) -> Result<&'v CustomerContract, SessionRefusal> {
        if *self.closing.borrow() {
            return Err(SessionRefusal::Draining);
        }
        match view.copy.contract(customer) {
            Some(held) if !self.gateway.is_isolated() => Ok(&held.contract),
            None if view.may_serve(self.clock.now()) => Err(SessionRefusal::NoContract),
            None if view.copy.revision() == CatalogRevision::default() => {
                Err(SessionRefusal::Starting {
                    come_back_after_ms: NO_LEASE_RETRY_MS,
                })
            }
            Some(_) | None => Err(SessionRefusal::NotReady {
                come_back_after_ms: NO_LEASE_RETRY_MS,
            }),
        }
    }

    fn uncount_session(&self, customer: &CustomerName) {
        let mut tables = self.tables();
        if let Some(open) = tables.sessions.get_mut(customer) {
            *open = open.saturating_sub(1);
        }
    }
}

/// Identifies the account that a caller's key belongs to.
fn identify_caller(view: &MemberView, key: &AccountKey) -> SessionCaller {
    let accounts = view.copy.accounts();
    let digest = accounts.digest(key);
    let account = digest.and_then(|digest| accounts.find_holder(&digest));
    match account {
        Some(account) => SessionCaller {
            account: Some(account.clone()),
            digest,
        },
        None => SessionCaller::default(),
    }
}

#[async_trait]
impl SessionService for GatewayService {
    fn admit(
        &self,
        database: &CustomerName,
        key: &AccountKey,
    ) -> Result<SessionCaller, SessionRefusal> {
        let view = self.view.borrow();
        let contract = self.find_contract(&view, database)?;
        let caller = identify_caller(&view, key);
        if caller.account.is_none() && !contract.callers.is_open() {
            // Without a lease the catalog copy may lack a new account.
            return Err(match view.may_serve(self.clock.now()) {
                true => SessionRefusal::UnknownKey,
                false => SessionRefusal::NotReady {
                    come_back_after_ms: NO_LEASE_RETRY_MS,
                },
            });
        }
        self.count_session(contract)?;
        Ok(caller)
    }

    fn still_admits(&self, database: &CustomerName, caller: &SessionCaller) -> bool {
        let view = self.view.borrow();
        // Without a lease the catalog copy may lack a key that was given back. The statements carry
        // its digest then, and the leaseholder checks it.
        if !view.may_serve(self.clock.now()) {
            return true;
        }
        match (&caller.account, &caller.digest) {
            (Some(account), Some(digest)) => {
                view.copy.accounts().find_holder(digest) == Some(account)
            }
            // If the contract was removed, the statement itself is refused for that reason.
            _ => view
                .copy
                .contract(database)
                .is_none_or(|held| held.contract.callers.is_open()),
        }
    }

    fn admission_changes(&self) -> u64 {
        self.view.borrow().admission_changes
    }

    fn standing(&self) -> CatalogStanding {
        self.view.borrow().standing(self.clock.now())
    }

    fn release(&self, database: &CustomerName) {
        self.uncount_session(database);
    }

    fn should_move_sessions(&self, notice: Duration) -> bool {
        self.gateway.is_isolated_for(notice)
    }

    fn find_group(&self, database: &CustomerName) -> Result<GroupName, Refusal> {
        let view = self.view.borrow();
        let contract = view.copy.contract(database);
        let group = contract.and_then(|held| held.contract.groups.first());
        group
            .cloned()
            .ok_or_else(|| self.refuse_without_contract(&view))
    }

    async fn run(&self, mut request: StatementRequest) -> StatementReply {
        // With a lease the catalog copy is current, and the key was checked against it.
        if self.view.borrow().may_serve(self.clock.now()) {
            request.proof = None;
        }
        let database = request.customer.clone();
        let mut reply = StatementService::execute(self, request).await;
        if let RequestVerdict::NotRun(refusal) = &mut reply.verdict
            && refusal.cause == RefusalCause::Contract
        {
            *refusal = self.explain_missing_contract(&database);
        }
        reply
    }
}

#[async_trait]
impl StatementService for GatewayService {
    fn open_session(&self, identity: &SessionIdentity) -> Result<(), SessionRefusal> {
        let view = self.view.borrow();
        let contract = self.find_contract(&view, &identity.customer)?;
        let contracts = view.copy.contract_table();
        let allowed = contracts.get_for_group(&identity.customer, &identity.group);
        // This protocol carries no account key.
        let refusal = match (allowed, contract.callers.is_open()) {
            (None, _) => Some(SessionRefusal::UnknownGroup),
            (Some(_), false) => Some(SessionRefusal::UnknownKey),
            (Some(_), true) => None,
        };
        if let Some(refusal) = refusal {
            // Without a lease the catalog copy may lack a change of the contract.
            return Err(match view.may_serve(self.clock.now()) {
                true => refusal,
                false => SessionRefusal::NotReady {
                    come_back_after_ms: NO_LEASE_RETRY_MS,
                },
            });
        }
        self.count_session(contract)
    }

    fn close_session(&self, identity: &SessionIdentity) {
        self.uncount_session(&identity.customer);
    }

    async fn execute(&self, request: StatementRequest) -> StatementReply {
        let (id, group, customer) = (request.id, request.group.clone(), request.customer.clone());
        if let Err(refusal) = self.admit(&group, &customer, &request.marks) {
            let reply = reply_with(&request, RequestVerdict::NotRun(refusal));
            // Refusals by the limits come by the hundred under overload, and are counted.
            if matches!(
                refusal.cause,
                RefusalCause::Contract | RefusalCause::NoLease
            ) {
                self.gateway.log_unforwarded(&request, &reply);
            }
            return reply;
        }
        self.tables().running.insert(id, group.clone());
        let reply = self.gateway.execute(request).await;
        let mut tables = self.tables();
        tables.running.remove(&id);
        tables.in_flight_limiter.release(&group, &customer);
        reply
    }

    async fn describe(&self, request: DescribeRequest) -> DescribeReply {
        let SessionIdentity {
            customer,
            group,
            session,
        } = request.identity;
        if let Err(refusal) = self.admit(&group, &customer, &RequestMarks::default()) {
            return DescribeReply::Refused(refusal);
        }
        let request = ShapeRequest {
            id: StatementId::fresh(),
            customer: customer.clone(),
            session,
            group: group.clone(),
            text: request.text,
            transaction: request.transaction,
            spent_ms: 0,
            relay: false,
        };
        let reply = self.gateway.describe(request).await;
        self.tables().in_flight_limiter.release(&group, &customer);
        match reply.outcome {
            ShapeOutcome::Known(shape) => DescribeReply::Shape(shape),
            ShapeOutcome::Failed(error) => DescribeReply::Failed(error),
            ShapeOutcome::Refused(refusal) => DescribeReply::Refused(refusal),
        }
    }

    fn cancel(&self, id: StatementId) {
        let group = self.tables().running.get(&id).cloned();
        if let Some(group) = group {
            let _ = self.cancels.try_send(QueuedCancel { group, id });
        }
    }
}
