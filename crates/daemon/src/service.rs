//! The gateway as the caller edge sees it: sessions, limits, statements and cancels.

use crate::callers::DescribeReply;
use crate::callers::DescribeRequest;
use crate::callers::SessionOpening;
use crate::callers::SessionRefusal;
use crate::callers::StatementService;
use crate::clock::NodeClock;
use crate::gateway::Gateway;
use crate::gateway::find_terms;
use crate::gateway::reply_with;
use crate::member::MemberView;
use crate::sessions::SessionCaller;
use crate::sessions::SessionService;
use async_trait::async_trait;
use ragwort_policy::CustomerTerms;
use ragwort_policy::FlightLimiter;
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

/// Cancels that may wait to be passed on; a cancel that finds no room is lost, as it may always be.
const CANCEL_QUEUE: usize = 256;

/// When a caller should come back that found this VM without a lease.
const LEASE_RETURN_MS: u64 = 500;

/// When a caller should come back that found all its customer's sessions taken.
const SESSION_RETURN_MS: u64 = 1_000;

/// The caller edge's way into the gateway.
pub struct GatewayService {
    gateway: Arc<Gateway>,
    clock: NodeClock,
    view: watch::Receiver<MemberView>,
    /// Whether callers are being turned away for good.
    closing: watch::Receiver<bool>,
    tables: Mutex<ServiceTables>,
    cancels: mpsc::Sender<CancelOrder>,
}

/// What the service counts.
#[derive(Default)]
struct ServiceTables {
    sessions: HashMap<CustomerName, u32>,
    running: HashMap<StatementId, GroupName>,
    flights: FlightLimiter,
}

/// A cancel on its way to a leaseholder.
struct CancelOrder {
    group: GroupName,
    id: StatementId,
}

impl GatewayService {
    /// Creates the service and the task that passes cancels on, which the caller joins.
    pub fn start(
        gateway: Arc<Gateway>,
        clock: NodeClock,
        view: watch::Receiver<MemberView>,
        closing: watch::Receiver<bool>,
    ) -> (Self, JoinHandle<()>) {
        let (cancels, mut orders) = mpsc::channel::<CancelOrder>(CANCEL_QUEUE);
        let carrier = Arc::clone(&gateway);
        let task = tokio::spawn(async move {
            while let Some(order) = orders.recv().await {
                carrier.cancel(order.group, order.id).await;
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

    /// Takes a statement in against the limits of this gateway.
    fn admit(
        &self,
        group: &GroupName,
        customer: &CustomerName,
        marks: &RequestMarks,
    ) -> Result<(), Refusal> {
        const NO_CONTRACT: Refusal = Refusal {
            cause: RefusalCause::Contract,
            come_back_after_ms: 0,
        };
        let view = self.view.borrow();
        let contract = view.copy.contract(customer).ok_or(NO_CONTRACT)?;
        let contract = &contract.contract;
        let kind = find_terms(contract, marks).ok_or(NO_CONTRACT)?;
        let terms = CustomerTerms::from(contract);
        self.tables().flights.admit(group, &terms, kind.urgency)
    }
}

impl GatewayService {
    /// Counts one more session of a customer, if its contract allows.
    fn count_session(&self, contract: &CustomerContract) -> Result<(), SessionRefusal> {
        let mut tables = self.tables();
        let open = tables
            .sessions
            .entry(contract.customer.clone())
            .or_default();
        if *open >= contract.session_limit {
            return Err(SessionRefusal::TooManySessions {
                come_back_after_ms: SESSION_RETURN_MS,
            });
        }
        *open += 1;
        Ok(())
    }

    /// Finds the contract of a session that is to be opened.
    ///
    /// A gateway without a lease takes the sessions of customers that it knows: it may still bring their
    /// statements to another gateway, and the balancer sends callers here when few others are ready. It
    /// never says that there is no such customer; that may have changed since.
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
                    come_back_after_ms: LEASE_RETURN_MS,
                })
            }
            Some(_) | None => Err(SessionRefusal::NotReady {
                come_back_after_ms: LEASE_RETURN_MS,
            }),
        }
    }

    fn discount_session(&self, customer: &CustomerName) {
        let mut tables = self.tables();
        if let Some(open) = tables.sessions.get_mut(customer) {
            *open = open.saturating_sub(1);
        }
    }
}

/// Finds the account whose key a caller shows.
fn find_caller(view: &MemberView, key: &AccountKey) -> SessionCaller {
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
        let caller = find_caller(&view, key);
        if caller.account.is_none() && !contract.callers.is_open() {
            // One without a lease may not have heard of the account yet.
            return Err(match view.may_serve(self.clock.now()) {
                true => SessionRefusal::UnknownKey,
                false => SessionRefusal::NotReady {
                    come_back_after_ms: LEASE_RETURN_MS,
                },
            });
        }
        self.count_session(contract)?;
        Ok(caller)
    }

    fn takes(&self, database: &CustomerName, caller: &SessionCaller) -> bool {
        let view = self.view.borrow();
        match (&caller.account, &caller.digest) {
            (Some(account), Some(digest)) => {
                view.copy.accounts().find_holder(digest) == Some(account)
            }
            // A statement under a contract that is gone is refused for that.
            _ => view
                .copy
                .contract(database)
                .is_none_or(|held| held.contract.callers.is_open()),
        }
    }

    fn caller_changes(&self) -> u64 {
        self.view.borrow().caller_changes
    }

    fn release(&self, database: &CustomerName) {
        self.discount_session(database);
    }

    fn sends_sessions_away(&self, notice: Duration) -> bool {
        self.gateway.is_isolated_for(notice)
    }

    fn find_group(&self, database: &CustomerName) -> Option<GroupName> {
        let view = self.view.borrow();
        let contract = view.copy.contract(database)?;
        contract.contract.groups.first().cloned()
    }

    async fn run(&self, mut request: StatementRequest) -> StatementReply {
        // With a lease the accounts are those in force, and the key was looked up in them.
        if self.view.borrow().may_serve(self.clock.now()) {
            request.proof = None;
        }
        StatementService::execute(self, request).await
    }
}

#[async_trait]
impl StatementService for GatewayService {
    fn open_session(&self, opening: &SessionOpening) -> Result<(), SessionRefusal> {
        let view = self.view.borrow();
        let contract = self.find_contract(&view, &opening.customer)?;
        if !contract.groups.contains(&opening.group) {
            return Err(SessionRefusal::UnknownGroup);
        }
        // Callers of this interface show no key.
        if !contract.callers.is_open() {
            return Err(SessionRefusal::UnknownKey);
        }
        self.count_session(contract)
    }

    fn close_session(&self, opening: &SessionOpening) {
        self.discount_session(&opening.customer);
    }

    async fn execute(&self, request: StatementRequest) -> StatementReply {
        let (id, group, customer) = (request.id, request.group.clone(), request.customer.clone());
        if let Err(refusal) = self.admit(&group, &customer, &request.marks) {
            return reply_with(&request, RequestVerdict::NotRun(refusal));
        }
        self.tables().running.insert(id, group.clone());
        let reply = self.gateway.execute(request).await;
        let mut tables = self.tables();
        tables.running.remove(&id);
        tables.flights.release(&group, &customer);
        reply
    }

    async fn describe(&self, request: DescribeRequest) -> DescribeReply {
        let SessionOpening {
            customer,
            group,
            session,
        } = request.opening;
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
        self.tables().flights.release(&group, &customer);
        match reply.outcome {
            ShapeOutcome::Known(shape) => DescribeReply::Shape(shape),
            ShapeOutcome::Failed(error) => DescribeReply::Failed(error),
            ShapeOutcome::Refused(refusal) => DescribeReply::Refused(refusal),
        }
    }

    fn cancel(&self, id: StatementId) {
        let group = self.tables().running.get(&id).cloned();
        if let Some(group) = group {
            let _ = self.cancels.try_send(CancelOrder { group, id });
        }
    }
}
