//! Applies account limits on this VM: admits operations, borrows shares of limits from their
//! ledgers, and keeps the ledgers of the groups that are led here.
//!
//! The shares and ledgers themselves are in `ragwort_policy`. The ledger of an account is kept by
//! the leaseholder of one group, which all VMs find by rendezvous hashing of the names of account
//! and groups; [`LedgerIndex`](crate::ledger_index::LedgerIndex) remembers it. Most operations
//! begin without a call.

use crate::clock::NodeClock;
use crate::gateway::find_deadline;
use crate::gateway::find_latency_target;
use crate::gateway::find_terms;
use crate::ledger_index::IndexWork;
use crate::ledger_index::LedgerIndex;
use crate::log_event;
use crate::member::MemberView;
use crate::metrics::DaemonMetrics;
use crate::metrics::LimitOutcome;
use crate::peers::PeerLinks;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_policy::LedgerRequest;
use ragwort_policy::LedgerTable;
use ragwort_policy::LimitShares;
use ragwort_policy::LimitTolerance;
use ragwort_policy::TakeDecision;
use ragwort_policy::WaitTicket;
use ragwort_policy::WaitersOutcome;
use ragwort_rpc::PeerApiClient;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::GroupName;
use ragwort_types::LimitReply;
use ragwort_types::LimitRequest;
use ragwort_types::MemberId;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionStep;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Shortest time between rounds in which shares are renewed, so that one call renews several, and
/// the pause before a declaration that failed is repeated.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The same while operations wait, so that a ledger is asked again as soon as it expects to lend.
const WAITING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for a call to a ledger. A ledger answers within a round trip; the caller whose
/// operation waits for it has a few hundred milliseconds.
const LEDGER_CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Applies the limits of accounts on this VM.
pub struct AccountLimiter {
    clock: NodeClock,
    /// The start time of this process.
    started: ClockTime,
    id: MemberId,
    /// Separate links, because a call that runs out of time closes its link.
    links: PeerLinks,
    view: watch::Receiver<MemberView>,
    tolerance: LimitTolerance,
    metrics: DaemonMetrics,
    state: Mutex<LimiterState>,
    wake: Notify,
}

struct LimiterState {
    index: LedgerIndex,
    shares: LimitShares,
    ledgers: LedgerTable,
    /// Whether the groups that are led here have changed since the ledgers were told.
    led_changed: bool,
    waiting: HashMap<WaitTicket, oneshot::Sender<bool>>,
    /// The groups to whose leaseholders this VM has yet to declare its shares of the accounts whose
    /// ledgers they keep.
    undeclared: BTreeSet<GroupName>,
    /// The VMs with a call in flight.
    in_flight: BTreeSet<VmName>,
    /// The VMs that did not accept a declaration, with the time of the next attempt.
    declare_after: BTreeMap<VmName, ClockTime>,
}

/// A call to a VM that keeps ledgers, and its reply, if any.
struct LedgerCall {
    vm: VmName,
    sent: ClockTime,
    request: LimitRequest,
    reply: Option<LimitReply>,
}

impl AccountLimiter {
    /// Creates the limiter of one process.
    pub fn new(
        clock: NodeClock,
        id: MemberId,
        connect_timeout: Duration,
        view: watch::Receiver<MemberView>,
        tolerance: LimitTolerance,
        metrics: DaemonMetrics,
    ) -> Self {
        let state = LimiterState {
            index: LedgerIndex::new(id.vm.clone()),
            shares: LimitShares::new(clock.now()),
            ledgers: LedgerTable::new(tolerance),
            led_changed: false,
            waiting: HashMap::new(),
            undeclared: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            declare_after: BTreeMap::new(),
        };
        Self {
            clock,
            started: clock.now(),
            id,
            links: PeerLinks::new(connect_timeout),
            view,
            tolerance,
            metrics,
            state: Mutex::new(state),
            wake: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Admits a statement, which may wait for a token of its account, and adds the wait to its
    /// spent time: the leaseholder counts its deadline and target from the arrival there. Returns
    /// the account whose operation it begins.
    ///
    /// A transaction counts as one operation of its account, however many statements it has.
    ///
    /// # Errors
    ///
    /// Returns the refusal of [`begin`](Self::begin).
    pub async fn admit(
        &self,
        request: &mut StatementRequest,
    ) -> Result<Option<AccountName>, Refusal> {
        let begins = matches!(
            request.step,
            TransactionStep::Single | TransactionStep::Begin(_)
        );
        let Some(account) = request.account.clone().filter(|_| begins) else {
            return Ok(None);
        };
        let waited = self.begin(&account, || self.find_wait(request)).await?;
        request.spent_ms += waited.as_millis() as u64;
        Ok(Some(account))
    }

    /// Returns how long a statement may wait for a token of its account: half of the time to its
    /// latency target, so that the rest is left for its queue and its endpoint. Without a target,
    /// or past it, half of the time to its deadline.
    pub fn find_wait(&self, request: &StatementRequest) -> Duration {
        let view = self.view.borrow();
        let contract = view.copy.contract(&request.customer);
        let terms = contract.and_then(|held| find_terms(&held.contract, &request.marks));
        // The leaseholder refuses the statement, or has a newer contract.
        let Some(terms) = terms else {
            return LEDGER_CALL_TIMEOUT;
        };
        let now = self.clock.now();
        let target = find_latency_target(now, &terms, request);
        let target = target.map(|target| target.since(now));
        let deadline = find_deadline(&terms, &request.marks);
        let deadline = deadline.saturating_sub(Duration::from_millis(request.spent_ms));
        target.filter(|left| !left.is_zero()).unwrap_or(deadline) / 2
    }

    /// Admits one operation of an account, which may wait for a token for what `find_wait` returns.
    /// Returns how long it has waited.
    ///
    /// # Errors
    ///
    /// Returns a refusal, with the time to come back, if no token comes in time or this VM is
    /// stopping.
    pub async fn begin(
        &self,
        account: &AccountName,
        find_wait: impl FnOnce() -> Duration,
    ) -> Result<Duration, Refusal> {
        let Some(limit) = self.find_limit(account) else {
            return Ok(Duration::ZERO);
        };
        let arrived = self.clock.now();
        let latest = arrived + find_wait();
        let answer = {
            let mut state = self.state();
            match state.shares.take(arrived, account, limit, latest) {
                TakeDecision::Admitted => {
                    self.metrics.count_account_operation(LimitOutcome::AtOnce);
                    return Ok(Duration::ZERO);
                }
                TakeDecision::Waits(ticket) => {
                    let (sender, answer) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    Some(answer)
                }
                TakeDecision::Refused => None,
            }
        };
        self.wake.notify_one();
        let admitted = match answer {
            // The channel is dropped without an answer when this VM stops.
            Some(answer) => answer.await.unwrap_or(false),
            None => false,
        };
        let waited = self.clock.now().since(arrived);
        if !admitted {
            self.metrics.count_account_operation(LimitOutcome::Refused);
            return Err(self.refuse(account, limit, waited));
        }
        self.metrics
            .count_account_operation(LimitOutcome::AfterWait);
        Ok(waited)
    }

    /// Gives an operation that has not reached an endpoint back to the account's share.
    pub fn give_back(&self, account: &AccountName) {
        self.state().shares.give_back(self.clock.now(), account);
        self.wake.notify_one();
    }

    fn find_limit(&self, account: &AccountName) -> Option<AccountLimit> {
        let view = self.view.borrow();
        view.copy.accounts().get(account)?.limit
    }

    fn refuse(&self, account: &AccountName, limit: AccountLimit, waited: Duration) -> Refusal {
        let mut state = self.state();
        let status = state.shares.describe(self.clock.now(), account);
        let come_back_after_ms = state.shares.retry_after_ms(limit);
        drop(state);
        log_event!(
            Level::Info,
            "account_limited",
            account = account,
            per_thousand_seconds = limit.per_thousand_seconds,
            burst = limit.burst,
            share_millionths = status.share.0,
            share_age_ms = status.age.as_millis(),
            demand_per_thousand_seconds = status.demand,
            waiting = status.waiting,
            waited_ms = waited.as_millis(),
            come_back_after_ms = come_back_after_ms,
        );
        Refusal {
            cause: RefusalCause::AccountLimit,
            come_back_after_ms,
        }
    }

    /// Answers a request of another VM to the ledgers that are kept here.
    pub fn lend(&self, request: &LimitRequest) -> LimitReply {
        let mut state = self.state();
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        // Without a lease, a successor may keep the ledgers by now.
        if !view.may_serve(now) {
            return LimitReply::default();
        }
        state.refresh(&view.copy);
        state.lend(now, &view.copy, request)
    }

    /// Returns how much has been derived from the catalog.
    pub fn index_work(&self) -> IndexWork {
        self.state().index.work()
    }

    /// Borrows from the ledgers until `stop` is set; then refuses all operations that wait.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut view = self.view.clone();
        let mut calls = JoinSet::new();
        let mut next_round = Some(self.clock.now() + RENEWAL_CHECK_INTERVAL);
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = self.sleep_until(next_round) => {}
                Some(done) = calls.join_next(), if !calls.is_empty() => {
                    if let Ok(call) = done {
                        self.finish_call(call);
                    }
                }
                changed = view.changed() => if changed.is_err() {
                    break;
                },
                _ = stop.wait_for(|set| *set) => break,
            }
            view.borrow_and_update();
            next_round = self.ask_ledgers(&mut calls);
        }
        calls.shutdown().await;
        self.state().waiting.clear();
    }

    async fn sleep_until(&self, time: Option<ClockTime>) {
        match time {
            Some(time) => sleep(self.clock.until(time)).await,
            None => pending().await,
        }
    }

    /// Sends the requests that are due, with at most one call in flight to each VM. Returns the
    /// time of the next round, unless an operation, an answer or a change of the view calls for an
    /// earlier one.
    fn ask_ledgers(&self, calls: &mut JoinSet<LedgerCall>) -> Option<ClockTime> {
        let mut state = self.state();
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        state.refresh(&view.copy);
        if !state.index.has_limits() && state.waiting.is_empty() {
            return None;
        }
        let holders = state.index.holders().len();
        state.shares.set_holders(self.tolerance, holders);
        for (account, outcome) in state.shares.settle_due(now) {
            state.resolve_waiting(now, &account, outcome);
        }
        let mut requests = BTreeMap::new();
        let without_keeper = self.add_due_requests(&mut state, now, &mut requests);
        self.declare_held(&mut state, now, &mut requests);
        for account in without_keeper {
            let end = state.shares.note_unanswered(now, &account);
            state.resolve_waiting(now, &account, end);
        }
        for (vm, request) in requests {
            let call = LedgerCall {
                vm,
                sent: now,
                request,
                reply: None,
            };
            self.send_request(&mut state, &view, call, calls);
        }
        state.next_round(now)
    }

    /// Adds the share requests that are due to `requests`, which are grouped by the VM that keeps
    /// the ledger. Returns the accounts whose ledgers no VM keeps.
    fn add_due_requests(
        &self,
        state: &mut LimiterState,
        now: ClockTime,
        requests: &mut BTreeMap<VmName, LimitRequest>,
    ) -> Vec<AccountName> {
        let LimiterState {
            index,
            shares,
            in_flight,
            ..
        } = state;
        let due = shares.due_share_requests(now, |account| {
            index
                .find_keeper(account)
                .is_none_or(|vm| !in_flight.contains(vm))
        });
        let mut without_keeper = Vec::new();
        for share_request in due {
            match index.find_keeper(&share_request.account).cloned() {
                Some(vm) => self.request_for(requests, vm).accounts.push(share_request),
                None => without_keeper.push(share_request.account),
            }
        }
        without_keeper
    }

    /// Declares this VM's shares to the VMs to which ledgers have moved.
    fn declare_held(
        &self,
        state: &mut LimiterState,
        now: ClockTime,
        requests: &mut BTreeMap<VmName, LimitRequest>,
    ) {
        let groups = state.take_undeclared(now);
        if groups.is_empty() {
            return;
        }
        let LimiterState { index, shares, .. } = state;
        let held = shares.list_held(now, |account| {
            index
                .find_home(account)
                .is_some_and(|home| groups.contains(home))
        });
        let due = requests.values().flat_map(|request| &request.accounts);
        let due: BTreeSet<AccountName> = due.map(|one| one.account.clone()).collect();
        for share_request in held {
            let keeper = index.find_keeper(&share_request.account);
            if let Some(vm) = keeper.filter(|_| !due.contains(&share_request.account)) {
                let request = self.request_for(requests, vm.clone());
                request.accounts.push(share_request);
            }
        }
        for group in groups {
            if let Some(vm) = index.keeper(&group) {
                let request = self.request_for(requests, vm.clone());
                request.declared.push(group);
            }
        }
    }

    /// Sends a request to the VM that keeps the ledgers, or answers it directly if that is this VM.
    fn send_request(
        &self,
        state: &mut LimiterState,
        view: &MemberView,
        mut call: LedgerCall,
        calls: &mut JoinSet<LedgerCall>,
    ) {
        let now = call.sent;
        if call.vm == self.id.vm {
            call.reply = view
                .may_serve(now)
                .then(|| state.lend(now, &view.copy, &call.request));
            return state.apply_reply(now, call);
        }
        let Some(member) = view.copy.member(&call.vm) else {
            return state.apply_reply(now, call);
        };
        state.in_flight.insert(call.vm.clone());
        let links = self.links.clone();
        let address = member.peer_address;
        let sent = call.request.clone();
        calls.spawn(async move {
            let ask = |client: Arc<WsClient>| async move { client.lend_limits(sent).await };
            call.reply = links.call(address, LEDGER_CALL_TIMEOUT, ask).await.ok();
            call
        });
    }

    fn request_for<'r>(
        &self,
        requests: &'r mut BTreeMap<VmName, LimitRequest>,
        vm: VmName,
    ) -> &'r mut LimitRequest {
        requests.entry(vm).or_insert_with(|| LimitRequest {
            holder: self.id.clone(),
            age_ms: self.clock.now().since(self.started).as_millis() as u64,
            declared: Vec::new(),
            accounts: Vec::new(),
        })
    }

    fn finish_call(&self, call: LedgerCall) {
        let mut state = self.state();
        state.in_flight.remove(&call.vm);
        state.apply_reply(self.clock.now(), call);
    }
}

impl LimiterState {
    /// Follows the catalog to a copy.
    fn refresh(&mut self, copy: &Arc<CatalogCopy>) {
        let moved = self.index.refresh(copy);
        self.led_changed |= !moved.is_empty();
        self.undeclared.extend(moved);
    }

    fn lend(&mut self, now: ClockTime, copy: &CatalogCopy, request: &LimitRequest) -> LimitReply {
        if std::mem::take(&mut self.led_changed) {
            self.ledgers.set_led_groups(now, self.index.led_groups());
        }
        let started = now.before(Duration::from_millis(request.age_ms));
        let mut grants = Vec::new();
        for share_request in &request.accounts {
            let terms = copy.accounts().get(&share_request.account);
            let Some(limit) = terms.and_then(|terms| terms.limit) else {
                continue;
            };
            let Some(home) = self.index.find_home(&share_request.account).cloned() else {
                continue;
            };
            let ledger_request = LedgerRequest {
                holder: &request.holder.vm,
                started,
                home: &home,
                limit,
                holders: self.index.holders(),
                leaders: self.index.leaders(),
            };
            grants.extend(self.ledgers.lend(now, ledger_request, share_request));
        }
        let holder = &request.holder.vm;
        let ledgers = &mut self.ledgers;
        let declared = request.declared.iter();
        let declared = declared.filter(|group| ledgers.note_declared(group, holder, started));
        let declared = declared.cloned().collect();
        let asked = request.accounts.iter();
        let homes: BTreeSet<&GroupName> = asked
            .filter_map(|one| self.index.known_home(&one.account))
            .collect();
        let undeclared = homes.into_iter();
        let undeclared = undeclared.filter(|home| self.ledgers.awaits_declaration(home, holder));
        LimitReply {
            grants,
            declared,
            undeclared: undeclared.cloned().collect(),
        }
    }

    /// Removes the groups to whose leaseholders the shares can be declared now from those that wait
    /// for it, and returns them.
    fn take_undeclared(&mut self, now: ClockTime) -> BTreeSet<GroupName> {
        self.declare_after.retain(|_, after| now < *after);
        let mut taken = BTreeSet::new();
        let index = &self.index;
        let (in_flight, declare_after) = (&self.in_flight, &self.declare_after);
        self.undeclared.retain(|group| {
            let Some(keeper) = index.keeper(group) else {
                return false;
            };
            let waits = in_flight.contains(keeper) || declare_after.contains_key(keeper);
            if !waits {
                taken.insert(group.clone());
            }
            waits
        });
        taken
    }

    fn next_round(&self, now: ClockTime) -> Option<ClockTime> {
        let settling = self.shares.next_settling();
        let due = match self.undeclared.is_empty() {
            true => self.shares.next_due(),
            false => Some(now),
        };
        let pause = match settling {
            Some(_) => WAITING_CHECK_INTERVAL,
            None => RENEWAL_CHECK_INTERVAL,
        };
        let due = due.map(|due| due.max(now + pause));
        due.into_iter().chain(settling).min()
    }

    fn apply_reply(&mut self, now: ClockTime, call: LedgerCall) {
        let LedgerCall {
            vm,
            sent,
            request,
            reply,
        } = call;
        let silent = reply.is_none();
        let LimitReply {
            grants,
            declared,
            undeclared,
        } = reply.unwrap_or_default();
        self.undeclared.extend(undeclared);
        // Declarations that were not accepted, or may not have arrived, are repeated: a ledger
        // lends next to nothing until it knows the shares of all VMs.
        let requested = request.declared.iter();
        for group in requested.filter(|group| !declared.contains(group)) {
            self.undeclared.insert(group.clone());
            self.declare_after
                .insert(vm.clone(), now + RENEWAL_CHECK_INTERVAL);
        }
        if silent {
            log_event!(
                Level::Info,
                "ledger_silent",
                vm = vm,
                accounts = request.accounts.len(),
                waited_ms = now.since(sent).as_millis(),
            );
        }
        let grants: BTreeMap<AccountName, AccountGrant> = grants
            .into_iter()
            .map(|grant| (grant.account.clone(), grant))
            .collect();
        for AccountShareRequest { account, .. } in &request.accounts {
            let end = match grants.get(account) {
                Some(grant) => self.shares.take_grant(now, sent, grant),
                None => self.shares.note_unanswered(now, account),
            };
            self.resolve_waiting(now, account, end);
        }
    }

    fn resolve_waiting(&mut self, now: ClockTime, account: &AccountName, outcome: WaitersOutcome) {
        for ticket in outcome.refused {
            if let Some(waiter) = self.waiting.remove(&ticket) {
                // The caller may be gone.
                let _ = waiter.send(false);
            }
        }
        for ticket in outcome.admitted {
            let waiter = self.waiting.remove(&ticket);
            if waiter.is_none_or(|waiter| waiter.send(true).is_err()) {
                self.shares.give_back(now, account);
            }
        }
    }
}
