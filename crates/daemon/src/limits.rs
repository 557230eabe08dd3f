//! Applies account limits on this VM: admits operations, borrows shares of limits from their
//! ledgers, and keeps the ledgers of the groups that are led here.
//!
//! The shares and ledgers themselves are in `ragwort_policy`. The ledger of an account is kept by
//! the leaseholder of one group, which all VMs find by rendezvous hashing of the names of account
//! and groups. Most operations begin without a call.

use crate::clock::NodeClock;
use crate::log_event;
use crate::member::MemberView;
use crate::peers::PeerLinks;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_control::digest_text;
use ragwort_policy::LedgerRequest;
use ragwort_policy::LedgerTable;
use ragwort_policy::LimitShares;
use ragwort_policy::LimitTolerance;
use ragwort_policy::TakeDecision;
use ragwort_policy::WaitersOutcome;
use ragwort_rpc::PeerApiClient;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::LimitReply;
use ragwort_types::LimitRequest;
use ragwort_types::MemberId;
use ragwort_types::PlacementEpoch;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval at which shares are checked for renewal, and the pause before a declaration that failed
/// is repeated.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for a call to a ledger. A ledger answers within a round trip; the caller whose
/// operation waits for it has a few hundred milliseconds.
const LEDGER_CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Multiplier that mixes the hashes of an account and a group into the group's weight: an odd
/// number without a pattern in its bits. All VMs must use the same value.
const WEIGHT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

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
    state: Mutex<LimiterState>,
    wake: Notify,
}

#[derive(Default)]
struct LimiterState {
    shares: LimitShares,
    ledgers: LedgerTable,
    waiting: HashMap<AccountName, VecDeque<oneshot::Sender<bool>>>,
    /// The leaseholders to which this VM has declared its shares of the accounts whose ledgers they
    /// keep.
    declared_to: BTreeMap<GroupName, LedgerKeeper>,
    /// The VMs with a call in flight.
    in_flight: BTreeSet<VmName>,
    /// The VMs that did not accept a declaration, with the time of the next attempt.
    declare_after: BTreeMap<VmName, ClockTime>,
}

/// The leaseholder that keeps the ledgers of a group's accounts, with the epoch of its placement.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LedgerKeeper {
    vm: VmName,
    epoch: PlacementEpoch,
}

impl From<&GroupRecord> for LedgerKeeper {
    fn from(record: &GroupRecord) -> Self {
        Self {
            vm: record.placement.leaseholder.clone(),
            epoch: record.placement.epoch,
        }
    }
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
    ) -> Self {
        let state = LimiterState {
            shares: LimitShares::new(clock.now()),
            ledgers: LedgerTable::new(tolerance),
            ..LimiterState::default()
        };
        Self {
            clock,
            started: clock.now(),
            id,
            links: PeerLinks::new(connect_timeout),
            view,
            tolerance,
            state: Mutex::new(state),
            wake: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Admits one operation of an account, waiting for a larger share if necessary.
    ///
    /// # Errors
    ///
    /// Returns a refusal, with the time to come back, if the account has used up its limit or this
    /// VM is stopping.
    pub async fn begin(&self, account: &AccountName) -> Result<(), Refusal> {
        let Some(limit) = self.find_limit(account) else {
            return Ok(());
        };
        let answer = {
            let mut state = self.state();
            match state.shares.take(self.clock.now(), account, limit) {
                TakeDecision::Admitted => return Ok(()),
                TakeDecision::Waits => {
                    let (sender, answer) = oneshot::channel();
                    let waiting = state.waiting.entry(account.clone()).or_default();
                    waiting.push_back(sender);
                    answer
                }
            }
        };
        self.wake.notify_one();
        // The channel is dropped without an answer when this VM stops.
        match answer.await.unwrap_or(false) {
            true => Ok(()),
            false => Err(self.refuse(account, limit)),
        }
    }

    /// Gives an operation that has not reached an endpoint back to the account's share.
    pub fn give_back(&self, account: &AccountName) {
        self.state().shares.give_back(self.clock.now(), account);
    }

    fn find_limit(&self, account: &AccountName) -> Option<AccountLimit> {
        let view = self.view.borrow();
        view.copy.accounts().get(account)?.limit
    }

    fn refuse(&self, account: &AccountName, limit: AccountLimit) -> Refusal {
        let mut state = self.state();
        let (share, runs) = state.shares.describe(self.clock.now(), account);
        let come_back_after_ms = state.shares.retry_after_ms(limit);
        drop(state);
        log_event!(
            Level::Info,
            "account_limited",
            account = account,
            per_thousand_seconds = limit.per_thousand_seconds,
            burst = limit.burst,
            share_millionths = share.0,
            share_runs_ms = runs.as_millis(),
            come_back_after_ms = come_back_after_ms,
        );
        Refusal {
            cause: RefusalCause::AccountLimit,
            come_back_after_ms,
        }
    }

    /// Answers a request of another VM to the ledgers that are kept here.
    pub fn lend(&self, request: &LimitRequest) -> LimitReply {
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        // Without a lease, a successor may keep the ledgers by now.
        if !view.may_serve(now) {
            return LimitReply::default();
        }
        let mut state = self.state();
        state
            .ledgers
            .set_led_groups(now, &self.list_led(&view.copy));
        lend_from(&mut state.ledgers, now, &view.copy, request)
    }

    fn list_led(&self, copy: &CatalogCopy) -> BTreeMap<GroupName, PlacementEpoch> {
        let led = copy.groups().map(|record| &record.placement);
        let led = led.filter(|placement| placement.leaseholder == self.id.vm);
        led.map(|placement| (placement.group.clone(), placement.epoch))
            .collect()
    }

    /// Borrows from the ledgers until `stop` is set; then refuses all operations that wait.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut view = self.view.clone();
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep(RENEWAL_CHECK_INTERVAL) => {}
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
            self.ask_ledgers(&mut calls);
        }
        calls.shutdown().await;
        self.state().waiting.clear();
    }

    /// Sends the requests that are due, with at most one call in flight to each VM.
    fn ask_ledgers(&self, calls: &mut JoinSet<LedgerCall>) {
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        let mut state = self.state();
        let mut accounts = view.copy.accounts().iter();
        if accounts.all(|terms| terms.limit.is_none()) && state.waiting.is_empty() {
            return;
        }
        let locator = LedgerLocator::new(&view.copy);
        let holders = list_holders(&view.copy);
        state.shares.set_holders(self.tolerance, holders.len());
        let mut requests = BTreeMap::new();
        let without_keeper = self.add_due_requests(&mut state, now, &locator, &mut requests);
        self.declare_held(&mut state, now, &locator, &mut requests);
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
    }

    /// Adds the share requests that are due to `requests`, which are grouped by the VM that keeps
    /// the ledger. Returns the accounts whose ledgers no VM keeps.
    fn add_due_requests(
        &self,
        state: &mut LimiterState,
        now: ClockTime,
        locator: &LedgerLocator<'_>,
        requests: &mut BTreeMap<VmName, LimitRequest>,
    ) -> Vec<AccountName> {
        let LimiterState {
            shares, in_flight, ..
        } = state;
        let due = shares.due_share_requests(now, |account| {
            locator
                .find_keeper(account)
                .is_none_or(|vm| !in_flight.contains(vm))
        });
        let mut without_keeper = Vec::new();
        for share_request in due {
            match locator.find_keeper(&share_request.account).cloned() {
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
        locator: &LedgerLocator<'_>,
        requests: &mut BTreeMap<VmName, LimitRequest>,
    ) {
        state.declare_after.retain(|_, after| now < *after);
        for (group, record) in &locator.records {
            let keeper = LedgerKeeper::from(*record);
            let waits = state.in_flight.contains(&keeper.vm)
                || state.declare_after.contains_key(&keeper.vm);
            if waits || state.declared_to.get(*group) == Some(&keeper) {
                continue;
            }
            let keeps_ledger = |account: &AccountName| locator.find(account) == Some(*group);
            let held = state.shares.list_held(now, keeps_ledger);
            let request = self.request_for(requests, keeper.vm.clone());
            for share_request in held {
                if request
                    .accounts
                    .iter()
                    .all(|one| one.account != share_request.account)
                {
                    request.accounts.push(share_request);
                }
            }
            request.declared.push((*group).clone());
            state.declared_to.insert((*group).clone(), keeper);
        }
        let records = &locator.records;
        state
            .declared_to
            .retain(|group, _| records.contains_key(group));
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
            call.reply = view.may_serve(now).then(|| {
                let led = self.list_led(&view.copy);
                state.ledgers.set_led_groups(now, &led);
                lend_from(&mut state.ledgers, now, &view.copy, &call.request)
            });
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
    fn apply_reply(&mut self, now: ClockTime, call: LedgerCall) {
        let LedgerCall {
            vm,
            sent,
            request,
            reply,
        } = call;
        let silent = reply.is_none();
        let LimitReply { grants, declared } = reply.unwrap_or_default();
        // Declarations that were not accepted, or may not have arrived, are repeated: a ledger
        // lends next to nothing until it knows the shares of all VMs.
        let requested = request.declared.iter();
        for group in requested.filter(|group| !declared.contains(group)) {
            self.declared_to.remove(group);
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

    fn resolve_waiting(&mut self, now: ClockTime, account: &AccountName, end: WaitersOutcome) {
        let Some(waiting) = self.waiting.get_mut(account) else {
            return;
        };
        for turn in 0..end.admitted + end.refused {
            let Some(waiter) = waiting.pop_front() else {
                break;
            };
            let begins = turn < end.admitted;
            if waiter.send(begins).is_err() && begins {
                self.shares.give_back(now, account);
            }
        }
        if waiting.is_empty() {
            self.waiting.remove(account);
        }
    }
}

fn lend_from(
    ledgers: &mut LedgerTable,
    now: ClockTime,
    copy: &CatalogCopy,
    request: &LimitRequest,
) -> LimitReply {
    let locator = LedgerLocator::new(copy);
    let holders = list_holders(copy);
    let started = now.before(Duration::from_millis(request.age_ms));
    let lent = request.accounts.iter().filter_map(|share_request| {
        let limit = copy.accounts().get(&share_request.account)?.limit?;
        let ledger_request = LedgerRequest {
            holder: &request.holder.vm,
            started,
            home: locator.find(&share_request.account)?,
            limit,
            holders: &holders,
        };
        ledgers.lend(now, ledger_request, share_request)
    });
    let grants = lent.collect();
    let declared = request.declared.iter();
    let declared =
        declared.filter(|group| ledgers.note_declared(group, &request.holder.vm, started));
    LimitReply {
        grants,
        declared: declared.cloned().collect(),
    }
}

/// Lists the VMs that may lead groups, and so may hold shares of accounts' limits.
fn list_holders(copy: &CatalogCopy) -> Vec<VmName> {
    let members = copy.members().filter(|member| member.traits.leaseholder);
    members.map(|member| member.id.vm.clone()).collect()
}

/// Finds the group whose leaseholder keeps an account's ledger, by rendezvous hashing. When a group
/// is added or removed, only the accounts that it takes or leaves change their keeper.
struct LedgerLocator<'a> {
    records: BTreeMap<&'a GroupName, &'a GroupRecord>,
    digests: Vec<(&'a GroupName, u64)>,
}

impl<'a> LedgerLocator<'a> {
    fn new(copy: &'a CatalogCopy) -> Self {
        let records = copy.groups();
        let records: BTreeMap<_, _> = records
            .map(|record| (&record.placement.group, record))
            .collect();
        let groups = records.keys().copied();
        let digests = groups.map(|group| (group, digest_text(group.as_str())));
        Self {
            digests: digests.collect(),
            records,
        }
    }

    fn find(&self, account: &AccountName) -> Option<&'a GroupName> {
        let own = digest_text(account.as_str());
        let weight = |digest: u64| (own ^ digest).wrapping_mul(WEIGHT_MULTIPLIER);
        let digests = self.digests.iter();
        digests
            .max_by_key(|(group, digest)| (weight(*digest), *group))
            .map(|(group, _)| *group)
    }

    /// Returns the VM that keeps an account's ledger.
    fn find_keeper(&self, account: &AccountName) -> Option<&'a VmName> {
        let record = self.records.get(self.find(account)?)?;
        Some(&record.placement.leaseholder)
    }
}
