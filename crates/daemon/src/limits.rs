//! Accounts' limits on this VM: lets operations begin, asks the ledgers, and keeps those of the groups
//! that are led here.
//!
//! What is decided stands in `ragwort_policy`. A group is found for each account by a digest, so that all
//! VMs agree where its ledger is kept; most operations begin without a question.

use crate::clock::NodeClock;
use crate::log_event;
use crate::member::MemberView;
use crate::peers::PeerLinks;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_control::digest_text;
use ragwort_policy::LedgerBook;
use ragwort_policy::LedgerQuestion;
use ragwort_policy::LimitShares;
use ragwort_policy::LimitTolerance;
use ragwort_policy::TakeDecision;
use ragwort_policy::WaitersEnd;
use ragwort_rpc::PeerApiClient;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountNeed;
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

/// How often it is looked which shares are to be renewed.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// How long a ledger may take to answer. It answers within a round trip; a caller whose operation waits
/// for it has some hundred milliseconds.
const ANSWER_LIMIT: Duration = Duration::from_millis(200);

/// Spreads the weights of groups for an account: an odd number without a pattern in its bits. All VMs must
/// have the same.
const WEIGHT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The accounts' limits, as this VM applies them.
pub struct AccountLimiter {
    clock: NodeClock,
    /// When this process started.
    started: ClockTime,
    id: MemberId,
    /// Its own links: a question that is given up on closes its link.
    links: PeerLinks,
    view: watch::Receiver<MemberView>,
    tolerance: LimitTolerance,
    state: Mutex<LimiterState>,
    wake: Notify,
}

#[derive(Default)]
struct LimiterState {
    shares: LimitShares,
    book: LedgerBook,
    waiting: HashMap<AccountName, VecDeque<oneshot::Sender<bool>>>,
    /// The leaseholders that were told what is held of the accounts whose ledgers they keep.
    told: BTreeMap<GroupName, LedgerPlace>,
    /// The VMs that owe an answer.
    asked: BTreeSet<VmName>,
    /// The VMs that took no declaration lately, and when to declare to them again.
    declare_after: BTreeMap<VmName, ClockTime>,
}

/// Who keeps the ledgers of a group's accounts.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LedgerPlace {
    vm: VmName,
    epoch: PlacementEpoch,
}

impl From<&GroupRecord> for LedgerPlace {
    fn from(record: &GroupRecord) -> Self {
        Self {
            vm: record.placement.leaseholder.clone(),
            epoch: record.placement.epoch,
        }
    }
}

/// A question to one VM, and what came of it.
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
            book: LedgerBook::new(tolerance),
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

    /// Lets an operation of an account begin.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the account has begun as many as it may.
    pub async fn begin(&self, account: &AccountName) -> Result<(), Refusal> {
        let Some(limit) = self.find_limit(account) else {
            return Ok(());
        };
        let answer = {
            let mut state = self.state();
            match state.shares.take(self.clock.now(), account, limit) {
                TakeDecision::Taken => return Ok(()),
                TakeDecision::Waits => {
                    let (sender, answer) = oneshot::channel();
                    let waiting = state.waiting.entry(account.clone()).or_default();
                    waiting.push_back(sender);
                    answer
                }
            }
        };
        self.wake.notify_one();
        // Without an answer this VM is stopping.
        match answer.await.unwrap_or(false) {
            true => Ok(()),
            false => Err(self.refuse(account, limit)),
        }
    }

    /// Gives an operation back that has not reached an endpoint.
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
        let come_back_after_ms = state.shares.return_after(limit);
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

    /// Answers what another VM asks of the ledgers that are kept here.
    pub fn lend(&self, request: &LimitRequest) -> LimitReply {
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        // A successor may keep the ledgers by now.
        if !view.may_serve(now) {
            return LimitReply::default();
        }
        let mut state = self.state();
        state.book.follow_homes(now, &self.list_led(&view.copy));
        lend_from(&mut state.book, now, &view.copy, request)
    }

    fn list_led(&self, copy: &CatalogCopy) -> BTreeMap<GroupName, PlacementEpoch> {
        let led = copy.groups().map(|record| &record.placement);
        let led = led.filter(|placement| placement.leaseholder == self.id.vm);
        led.map(|placement| (placement.group.clone(), placement.epoch))
            .collect()
    }

    /// Asks the ledgers until told to stop; all that wait then are refused.
    pub async fn run(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut view = self.view.clone();
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep(LOOK_EVERY) => {}
                Some(done) = calls.join_next(), if !calls.is_empty() => {
                    if let Ok(call) = done {
                        self.take_call(call);
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

    /// Asks what is due, at most one question to a VM at a time.
    fn ask_ledgers(&self, calls: &mut JoinSet<LedgerCall>) {
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        let mut state = self.state();
        let mut accounts = view.copy.accounts().iter();
        if accounts.all(|terms| terms.limit.is_none()) && state.waiting.is_empty() {
            return;
        }
        let homes = LedgerHomes::new(&view.copy);
        let holders = list_holders(&view.copy);
        state.shares.set_holders(self.tolerance, holders.len());
        let mut requests = BTreeMap::new();
        let homeless = self.request_needs(&mut state, now, &homes, &mut requests);
        self.declare_held(&mut state, now, &homes, &mut requests);
        for account in homeless {
            let end = state.shares.give_up(now, &account);
            state.answer_waiting(now, &account, end);
        }
        for (vm, request) in requests {
            let call = LedgerCall {
                vm,
                sent: now,
                request,
                reply: None,
            };
            self.make_call(&mut state, &view, call, calls);
        }
    }

    /// Writes down what is to be asked for, by the VM that keeps the ledger. Returns the accounts whose
    /// ledgers nobody keeps.
    fn request_needs(
        &self,
        state: &mut LimiterState,
        now: ClockTime,
        homes: &LedgerHomes<'_>,
        requests: &mut BTreeMap<VmName, LimitRequest>,
    ) -> Vec<AccountName> {
        let LimiterState { shares, asked, .. } = state;
        let needs = shares.due_needs(now, |account| {
            homes
                .find_keeper(account)
                .is_none_or(|vm| !asked.contains(vm))
        });
        let mut homeless = Vec::new();
        for need in needs {
            match homes.find_keeper(&need.account).cloned() {
                Some(vm) => self.request_to(requests, vm).accounts.push(need),
                None => homeless.push(need.account),
            }
        }
        homeless
    }

    /// Writes down what is held of the accounts whose ledgers have come to another VM.
    fn declare_held(
        &self,
        state: &mut LimiterState,
        now: ClockTime,
        homes: &LedgerHomes<'_>,
        requests: &mut BTreeMap<VmName, LimitRequest>,
    ) {
        state.declare_after.retain(|_, after| now < *after);
        for (group, record) in &homes.records {
            let place = LedgerPlace::from(*record);
            let waits =
                state.asked.contains(&place.vm) || state.declare_after.contains_key(&place.vm);
            if waits || state.told.get(*group) == Some(&place) {
                continue;
            }
            let is_home = |account: &AccountName| homes.find(account) == Some(*group);
            let held = state.shares.list_held(now, is_home);
            let request = self.request_to(requests, place.vm.clone());
            for need in held {
                if request
                    .accounts
                    .iter()
                    .all(|one| one.account != need.account)
                {
                    request.accounts.push(need);
                }
            }
            request.declared.push((*group).clone());
            state.told.insert((*group).clone(), place);
        }
        let records = &homes.records;
        state.told.retain(|group, _| records.contains_key(group));
    }

    /// Asks the VM that keeps the ledgers: over a link, or at once if it is this one.
    fn make_call(
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
                state.book.follow_homes(now, &led);
                lend_from(&mut state.book, now, &view.copy, &call.request)
            });
            return state.take_reply(now, call);
        }
        let Some(member) = view.copy.member(&call.vm) else {
            return state.take_reply(now, call);
        };
        state.asked.insert(call.vm.clone());
        let links = self.links.clone();
        let address = member.peer_address;
        let sent = call.request.clone();
        calls.spawn(async move {
            let ask = |client: Arc<WsClient>| async move { client.lend_limits(sent).await };
            call.reply = links.call(address, ANSWER_LIMIT, ask).await.ok();
            call
        });
    }

    fn request_to<'r>(
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

    fn take_call(&self, call: LedgerCall) {
        let mut state = self.state();
        state.asked.remove(&call.vm);
        state.take_reply(self.clock.now(), call);
    }
}

impl LimiterState {
    fn take_reply(&mut self, now: ClockTime, call: LedgerCall) {
        let LedgerCall {
            vm,
            sent,
            request,
            reply,
        } = call;
        let silent = reply.is_none();
        let LimitReply { grants, declared } = reply.unwrap_or_default();
        // What wasn't taken, or may not have arrived, is declared again: the ledger lends next to nothing
        // until it knows what all VMs hold.
        let untaken = request.declared.iter();
        for group in untaken.filter(|group| !declared.contains(group)) {
            self.told.remove(group);
            self.declare_after.insert(vm.clone(), now + LOOK_EVERY);
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
        for AccountNeed { account, .. } in &request.accounts {
            let end = match grants.get(account) {
                Some(grant) => self.shares.take_grant(now, sent, grant),
                None => self.shares.give_up(now, account),
            };
            self.answer_waiting(now, account, end);
        }
    }

    fn answer_waiting(&mut self, now: ClockTime, account: &AccountName, end: WaitersEnd) {
        let Some(waiting) = self.waiting.get_mut(account) else {
            return;
        };
        for turn in 0..end.begun + end.refused {
            let Some(waiter) = waiting.pop_front() else {
                break;
            };
            let begins = turn < end.begun;
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
    book: &mut LedgerBook,
    now: ClockTime,
    copy: &CatalogCopy,
    request: &LimitRequest,
) -> LimitReply {
    let homes = LedgerHomes::new(copy);
    let holders = list_holders(copy);
    let started = now.before(Duration::from_millis(request.age_ms));
    let lent = request.accounts.iter().filter_map(|need| {
        let limit = copy.accounts().get(&need.account)?.limit?;
        let question = LedgerQuestion {
            holder: &request.holder.vm,
            started,
            home: homes.find(&need.account)?,
            limit,
            holders: &holders,
        };
        book.lend(now, question, need)
    });
    let grants = lent.collect();
    let declared = request.declared.iter();
    let declared = declared.filter(|group| book.note_declared(group, &request.holder.vm, started));
    LimitReply {
        grants,
        declared: declared.cloned().collect(),
    }
}

/// Lists the VMs that may lead groups, and so hold something of accounts' limits.
fn list_holders(copy: &CatalogCopy) -> Vec<VmName> {
    let members = copy.members().filter(|member| member.traits.leaseholder);
    members.map(|member| member.id.vm.clone()).collect()
}

/// Finds for each account the group whose leaseholder keeps its ledger. Where a group comes or goes, only
/// the accounts that it takes or leaves change their place.
struct LedgerHomes<'a> {
    records: BTreeMap<&'a GroupName, &'a GroupRecord>,
    digests: Vec<(&'a GroupName, u64)>,
}

impl<'a> LedgerHomes<'a> {
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
        let weight = |digest: u64| (own ^ digest).wrapping_mul(WEIGHT_FACTOR);
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
