//! A group of three endpoints whose connections are bound to accounts, in simulated time.
//!
//! The scheduler and the decisions about connections are the product's, except where a replay
//! compares them with former ones.

use crate::fixture::OTHER_REPLICA;
use crate::fixture::PRIMARY;
use crate::fixture::REPLICA;
use crate::fixture::endpoint;
use crate::fixture::read;
use crate::fixture::write;
use ragwort_policy::AccountDemand;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::ConnectionAllowance;
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointDemand;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::FinishOutcome;
use ragwort_policy::GroupScheduler;
use ragwort_policy::HeldConnection;
use ragwort_policy::PoolLimits;
use ragwort_policy::PoolMissAction;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_policy::SchedulerSettings;
use ragwort_policy::choose_pool_miss_action;
use ragwort_policy::is_worth_keeping;
use ragwort_types::AccountName;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

const NAMES: [&str; 3] = [PRIMARY, REPLICA, OTHER_REPLICA];
pub const ACCOUNTS: usize = 74;
pub const CONNECTIONS: u32 = 60;
pub const SLOTS: u32 = 6;
const CONNECT_TIME: Duration = Duration::from_millis(12);
const VALIDATION_TIME: Duration = Duration::from_millis(1);
/// The time in which an endpoint refuses a connection beyond its limit.
const REFUSAL_TIME: Duration = Duration::from_millis(1);
/// How long a refusal for the connection limit is remembered.
const FULL_ENDPOINT_TTL: Duration = Duration::from_millis(500);
/// How long an endpoint counts the connections of a lost leaseholder.
const LOST_TIME: Duration = Duration::from_secs(3);
/// The time between two statements of a transaction.
const CALLER_PAUSE: Duration = Duration::from_millis(3);
/// The most statements of a transaction; each number from two on is equally frequent.
const MAX_TRANSACTION: u32 = 12;
const TICK: Duration = Duration::from_millis(50);
const MAINTENANCE_TICKS: u64 = 4;
const IDLE_LIMIT: Duration = Duration::from_secs(1);
const VALIDATION_ROUNDS: usize = 4;
const DEADLINE: Duration = Duration::from_millis(1_200);
/// A burst of one account begins at this interval, and lasts half of it.
const BURST_INTERVAL: Duration = Duration::from_secs(10);
const BURST_FACTOR: f64 = 5.0;

/// The rules that a replay runs with.
#[derive(Clone, Copy, Debug)]
pub struct PoolRules {
    /// Whether accounts prefer endpoints.
    pub preference: bool,
    /// Whether connections are replaced and kept by demand, or by the time of their last use.
    pub by_demand: bool,
    /// The number of connections up to which they are opened without closing another one, where
    /// this isn't decided by demand.
    pub kept: u32,
}

/// The rules before demand and preference: the least recently used connection is replaced beyond
/// half of the endpoint's connections, and closed after six seconds.
pub const FORMER: PoolRules = PoolRules {
    preference: false,
    by_demand: false,
    kept: CONNECTIONS / 2,
};

/// The rules of the product.
pub const PRESENT: PoolRules = PoolRules {
    preference: true,
    by_demand: true,
    ..FORMER
};

/// The load of a replay, outside of bursts.
#[derive(Clone, Copy, Debug)]
pub struct ReplayLoad {
    /// Statements a second, those within transactions included.
    pub statements: f64,
    /// The part of the operations that are transactions.
    pub transactions: f64,
    /// The part of the other operations that write.
    pub writes: f64,
}

impl ReplayLoad {
    fn operations(&self) -> f64 {
        let further = f64::from(MAX_TRANSACTION) / 2.0;
        self.statements / (1.0 + self.transactions * further)
    }
}

/// Counts of a replay.
#[derive(Clone, Debug, Default)]
pub struct ReplayCounts {
    pub arrived: usize,
    pub served: usize,
    pub refused: usize,
    /// Statements for which a connection was opened.
    pub opened: usize,
    pub opened_by_endpoint: [usize; 3],
    pub replaced: usize,
    pub closed: usize,
    pub validated: usize,
    /// Connections that an endpoint refused because of its limit.
    pub full: usize,
    /// The sum over all arrivals of the connections held.
    held_sum: usize,
    /// The fewest free connections of any endpoint.
    pub fewest_free: u32,
    /// Transactions that were opened.
    pub transactions: usize,
    /// Arrivals, refusals and openings by account.
    pub accounts: Vec<[usize; 3]>,
    pub longest_wait: Duration,
}

impl ReplayCounts {
    fn new() -> Self {
        Self {
            fewest_free: CONNECTIONS,
            accounts: vec![[0; 3]; ACCOUNTS],
            ..Self::default()
        }
    }

    /// Returns how many of a hundred statements opened a connection.
    pub fn opened_percent(&self) -> f64 {
        self.opened as f64 * 100.0 / self.arrived as f64
    }

    /// Returns the mean number of connections held to all endpoints.
    pub fn mean_held(&self) -> usize {
        self.held_sum / self.arrived.max(1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionWork {
    Opening,
    Idle,
    Running(RequestTicket),
    Pinned,
    Validating,
}

struct SimulatedConnection {
    endpoint: usize,
    account: Option<usize>,
    work: ConnectionWork,
    last_used: ClockTime,
    last_statement: ClockTime,
}

#[derive(Clone, Copy, Debug)]
enum ReplayEvent {
    Tick,
    Arrival,
    Opened(u64),
    Validated(u64),
    Ended(u64),
    Full(u64),
    Continued(TransactionState),
}

/// An open transaction and the number of statements that it still runs.
#[derive(Clone, Copy, Debug)]
struct TransactionState {
    connection: u64,
    opener: RequestTicket,
    account: usize,
    left: u32,
}

struct WaitingStatement {
    account: usize,
    arrived: ClockTime,
    /// The further statements of the transaction that it opens.
    opens: u32,
    /// The open transaction that it belongs to.
    within: Option<TransactionState>,
}

/// The group, its leaseholder and its load.
pub struct AccountReplay {
    rules: PoolRules,
    scheduler: GroupScheduler,
    demand: AccountDemand,
    endpoint_demand: [EndpointDemand; 3],
    full: [Option<(ClockTime, u32)>; 3],
    connections: BTreeMap<u64, SimulatedConnection>,
    statements: HashMap<RequestTicket, WaitingStatement>,
    events: BTreeMap<(ClockTime, u64), (u64, ReplayEvent)>,
    names: Vec<AccountName>,
    pub now: ClockTime,
    /// Counts the leaseholders; events of earlier ones are dropped.
    leader: u64,
    lost: ([u32; 3], ClockTime),
    removed: Option<usize>,
    burst: (usize, ClockTime),
    last_id: u64,
    ticks: u64,
    load: ReplayLoad,
    random: StdRng,
    pub counts: ReplayCounts,
}

impl AccountReplay {
    /// Starts a group without connections.
    pub fn start(rules: PoolRules, load: ReplayLoad, seed: u64) -> Self {
        let mut replay = Self {
            rules,
            scheduler: create_scheduler(rules),
            demand: AccountDemand::default(),
            endpoint_demand: Default::default(),
            full: [None; 3],
            connections: BTreeMap::new(),
            statements: HashMap::new(),
            events: BTreeMap::new(),
            names: (0..ACCOUNTS)
                .map(|number| AccountName::from(format!("account-{number}").as_str()))
                .collect(),
            now: ClockTime(1_000_000),
            leader: 1,
            lost: ([0; 3], ClockTime::default()),
            removed: None,
            burst: (0, ClockTime::default()),
            last_id: 0,
            ticks: 0,
            load,
            random: StdRng::seed_from_u64(seed),
            counts: ReplayCounts::new(),
        };
        replay.add_endpoints();
        replay.schedule(TICK, ReplayEvent::Tick);
        replay
            .events
            .insert((replay.now, 0), (0, ReplayEvent::Arrival));
        replay
    }

    /// Advances the time and returns the counts of that time.
    pub fn pass(&mut self, time: Duration) -> ReplayCounts {
        self.counts = ReplayCounts::new();
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            let (due, _) = *entry.key();
            if due > end {
                break;
            }
            let (leader, event) = entry.remove();
            self.now = due;
            if leader == 0 || leader == self.leader {
                self.handle(event);
                self.run_scheduler();
                self.note_free();
            }
        }
        self.now = end;
        std::mem::replace(&mut self.counts, ReplayCounts::new())
    }

    /// Replaces the leaseholder by one that has no connection and has learned nothing. The
    /// endpoints count its connections for some seconds.
    pub fn lose_leaseholder(&mut self) {
        let held = [0, 1, 2].map(|endpoint| self.held(endpoint));
        self.lost = (held, self.now + LOST_TIME);
        self.leader += 1;
        self.connections.clear();
        self.statements.clear();
        self.demand = AccountDemand::default();
        self.endpoint_demand = Default::default();
        self.full = [None; 3];
        self.scheduler = create_scheduler(self.rules);
        self.add_endpoints();
        self.schedule(TICK, ReplayEvent::Tick);
    }

    /// Removes a replica with its connections.
    pub fn lose_replica(&mut self) {
        self.removed = Some(2);
        self.scheduler
            .remove_endpoint(self.now, &OTHER_REPLICA.into());
        self.endpoint_demand[2] = EndpointDemand::default();
        let lost = self.connections.iter();
        let lost = lost.filter(|(_, one)| one.endpoint == 2);
        let lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(SimulatedConnection {
                work: ConnectionWork::Running(ticket),
                ..
            }) = self.connections.remove(&id)
            {
                self.scheduler
                    .finished(self.now, ticket, FinishOutcome::NotRun);
            }
        }
    }

    fn add_endpoints(&mut self) {
        for (index, name) in NAMES.into_iter().enumerate() {
            if self.removed == Some(index) {
                continue;
            }
            let role = match index {
                0 => EndpointRole::Primary,
                _ => EndpointRole::Replica,
            };
            let state = EndpointState {
                slots: SLOTS,
                connections: CONNECTIONS,
                ..endpoint(name, role)
            };
            self.scheduler.set_endpoint(self.now, state);
        }
        self.report_positions();
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Tick => self.tick(),
            ReplayEvent::Arrival => self.arrive(),
            ReplayEvent::Opened(id) => {
                if let Some(one) = self.connections.get(&id) {
                    self.scheduler
                        .connection_opened(&NAMES[one.endpoint].into());
                    self.set_work(id, ConnectionWork::Idle);
                }
            }
            ReplayEvent::Validated(id) => {
                if let Some(one) = self.connections.get(&id) {
                    self.scheduler
                        .connection_validation_ended(&NAMES[one.endpoint].into());
                    self.set_work(id, ConnectionWork::Idle);
                }
            }
            ReplayEvent::Ended(id) => self.finish_statement(id),
            ReplayEvent::Full(id) => self.finish_refused_opening(id),
            ReplayEvent::Continued(transaction) => self.continue_transaction(transaction),
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.report_positions();
        if self.ticks.is_multiple_of(MAINTENANCE_TICKS) {
            for endpoint in 0..NAMES.len() {
                self.validate_idle(endpoint);
            }
        }
        self.schedule(TICK, ReplayEvent::Tick);
    }

    fn report_positions(&mut self) {
        let newest = LogPosition::new(GroupTerm(1), 0);
        for name in NAMES {
            self.scheduler
                .report_position(self.now, &name.into(), newest, Duration::ZERO);
        }
    }

    fn validate_idle(&mut self, endpoint: usize) {
        let now = self.now;
        let due = self.connections.iter().filter(|(_, one)| {
            let idle = one.endpoint == endpoint && one.work == ConnectionWork::Idle;
            idle && now.since(one.last_used) >= IDLE_LIMIT
        });
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        let asked = due.len().div_ceil(VALIDATION_ROUNDS);
        for id in due.into_iter().take(asked) {
            self.close_or_validate(endpoint, id);
        }
    }

    fn close_or_validate(&mut self, endpoint: usize, id: u64) {
        let instance = InstanceName::from(NAMES[endpoint]);
        let surplus = self.scheduler.surplus_connections(&instance) > 0;
        let unused = self.now.since(self.connections[&id].last_statement);
        let kept = match self.rules.by_demand {
            true => {
                let held = self.list_held(endpoint);
                let demand = &self.endpoint_demand[endpoint];
                is_worth_keeping(self.now, &held, id, demand, &self.allowance())
            }
            false => unused < Duration::from_secs(6),
        };
        if surplus && !kept {
            self.connections.remove(&id);
            self.scheduler.connection_closed(&instance);
            self.counts.closed += 1;
            return;
        }
        self.counts.validated += 1;
        self.scheduler.connection_validation_started(&instance);
        self.set_work(id, ConnectionWork::Validating);
        self.schedule(VALIDATION_TIME, ReplayEvent::Validated(id));
    }

    fn run_scheduler(&mut self) {
        for (endpoint, name) in NAMES.into_iter().enumerate() {
            let idle = self.connections.values();
            let idle = idle.filter(|one| one.endpoint == endpoint);
            let idle = idle.filter(|one| one.work == ConnectionWork::Idle);
            let idle: Vec<u64> = idle.filter_map(|one| one.account).map(digest).collect();
            self.scheduler
                .set_idle_accounts(&name.into(), idle.into_iter());
        }
        let allowance = self.allowance();
        self.scheduler.set_allowance(allowance);
        for decision in self.scheduler.poll(self.now) {
            match decision {
                SchedulerDecision::Dispatch(order) => {
                    self.dispatch(order.ticket, find_endpoint(&order.instance));
                }
                SchedulerDecision::OpenConnection(instance) => {
                    let endpoint = find_endpoint(&instance);
                    let account = self.demand.choose(self.now, &self.list_held(endpoint));
                    let account = account.and_then(|name| self.find_account(&name));
                    if self.is_full(endpoint) {
                        self.counts.full += 1;
                        self.scheduler.connection_failed(self.now, &instance);
                        continue;
                    }
                    let id = self.open(endpoint, account);
                    self.schedule(CONNECT_TIME, ReplayEvent::Opened(id));
                }
                SchedulerDecision::Refuse(order) => self.refuse(order.ticket),
            }
        }
    }

    fn dispatch(&mut self, ticket: RequestTicket, endpoint: usize) {
        let statement = &self.statements[&ticket];
        if let Some(transaction) = statement.within {
            self.run_statement(transaction.connection, ticket, Duration::ZERO);
            return;
        }
        let account = statement.account;
        let name = self.names[account].clone();
        self.demand.note(self.now, Some(&name));
        let own = self.connections.iter();
        let own = own.filter(|(_, one)| one.endpoint == endpoint && one.account == Some(account));
        let (idle, used): (Vec<_>, Vec<_>) =
            own.partition(|(_, one)| one.work == ConnectionWork::Idle);
        let in_use = used.iter().filter(|(_, one)| {
            matches!(
                one.work,
                ConnectionWork::Running(_) | ConnectionWork::Pinned
            )
        });
        self.endpoint_demand[endpoint].note(self.now, Some(&name), in_use.count());
        if let Some((id, _)) = idle.into_iter().max_by_key(|(_, one)| one.last_used) {
            let id = *id;
            self.run_statement(id, ticket, Duration::ZERO);
            return;
        }
        let held = self.list_held(endpoint);
        let full =
            self.full[endpoint].filter(|(since, _)| self.now.since(*since) < FULL_ENDPOINT_TTL);
        let room = full.map_or(CONNECTIONS, |(_, held)| held);
        let action = match self.rules.by_demand {
            true => {
                let limits = PoolLimits {
                    connections: CONNECTIONS,
                    slots: SLOTS,
                    room,
                };
                let demand = &self.endpoint_demand[endpoint];
                choose_pool_miss_action(self.now, &held, demand, limits)
            }
            false => choose_by_recency(&held, self.rules.kept, room),
        };
        match action {
            Some(PoolMissAction::Open) => {
                self.scheduler.connection_added(&NAMES[endpoint].into());
            }
            Some(PoolMissAction::Replace(id)) => {
                self.connections.remove(&id);
                self.counts.replaced += 1;
            }
            None => {
                self.scheduler
                    .finished(self.now, ticket, FinishOutcome::NotRun);
                return;
            }
        }
        self.counts.opened += 1;
        self.counts.opened_by_endpoint[endpoint] += 1;
        let full = self.is_full(endpoint);
        let id = self.open(endpoint, Some(account));
        if full {
            self.counts.full += 1;
            self.set_work(id, ConnectionWork::Running(ticket));
            self.schedule(REFUSAL_TIME, ReplayEvent::Full(id));
            return;
        }
        self.run_statement(id, ticket, CONNECT_TIME);
    }

    fn run_statement(&mut self, id: u64, ticket: RequestTicket, opening: Duration) {
        let waited = self.now.since(self.statements[&ticket].arrived);
        self.counts.longest_wait = self.counts.longest_wait.max(waited);
        self.set_work(id, ConnectionWork::Running(ticket));
        let run = Duration::from_millis(self.random.random_range(16..=50));
        self.schedule(opening + run, ReplayEvent::Ended(id));
    }

    fn open(&mut self, endpoint: usize, account: Option<usize>) -> u64 {
        self.last_id += 1;
        let connection = SimulatedConnection {
            endpoint,
            account,
            work: ConnectionWork::Opening,
            last_used: self.now,
            last_statement: self.now,
        };
        self.connections.insert(self.last_id, connection);
        self.last_id
    }

    fn finish_refused_opening(&mut self, id: u64) {
        let Some(refused) = self.connections.remove(&id) else {
            return;
        };
        let ConnectionWork::Running(ticket) = refused.work else {
            return;
        };
        self.full[refused.endpoint] = Some((self.now, self.held(refused.endpoint)));
        self.scheduler
            .finished(self.now, ticket, FinishOutcome::NotRun);
        self.scheduler
            .added_connection_failed(self.now, &NAMES[refused.endpoint].into());
    }

    fn finish_statement(&mut self, id: u64) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let ConnectionWork::Running(ticket) = connection.work else {
            return;
        };
        self.scheduler
            .finished(self.now, ticket, FinishOutcome::Answered);
        let statement = self.statements.remove(&ticket);
        self.counts.served += 1;
        let transaction = statement.and_then(|statement| match statement.opens {
            0 => statement.within,
            left => Some(TransactionState {
                connection: id,
                opener: ticket,
                account: statement.account,
                left,
            }),
        });
        match transaction {
            Some(transaction) if transaction.left > 0 => {
                self.counts.transactions += usize::from(transaction.opener == ticket);
                self.set_work(id, ConnectionWork::Pinned);
                self.schedule(CALLER_PAUSE, ReplayEvent::Continued(transaction));
            }
            Some(transaction) => self.end_transaction(transaction),
            None => {
                self.set_work(id, ConnectionWork::Idle);
                self.note_statement_end(id);
            }
        }
    }

    fn continue_transaction(&mut self, transaction: TransactionState) {
        if !self.connections.contains_key(&transaction.connection) {
            return;
        }
        self.last_id += 1;
        let mut profile = write(self.last_id, self.now);
        profile.deadline = self.now + DEADLINE;
        profile.account = Some(digest(transaction.account));
        profile.step = RequestStep::Within(transaction.opener);
        let statement = WaitingStatement {
            account: transaction.account,
            arrived: self.now,
            opens: 0,
            within: Some(TransactionState {
                left: transaction.left - 1,
                ..transaction
            }),
        };
        self.admit(profile, statement);
    }

    fn end_transaction(&mut self, transaction: TransactionState) {
        self.scheduler.unpin(self.now, transaction.opener);
        self.set_work(transaction.connection, ConnectionWork::Idle);
        self.note_statement_end(transaction.connection);
    }

    fn admit(&mut self, profile: RequestProfile, statement: WaitingStatement) {
        self.counts.arrived += 1;
        self.counts.held_sum += self.connections.len();
        self.counts.accounts[statement.account][0] += 1;
        let ticket = profile.ticket;
        self.statements.insert(ticket, statement);
        if let ArrivalDecision::Refused(_) = self.scheduler.arrive(self.now, profile) {
            self.refuse(ticket);
        }
    }

    fn refuse(&mut self, ticket: RequestTicket) {
        let Some(statement) = self.statements.remove(&ticket) else {
            return;
        };
        self.counts.refused += 1;
        self.counts.accounts[statement.account][1] += 1;
        if let Some(transaction) = statement.within {
            self.end_transaction(transaction);
        }
    }

    fn arrive(&mut self) {
        self.last_id += 1;
        let account = self.draw_account();
        let number = self.last_id;
        let kind = self.random.random_range(0.0..1.0);
        let opens = match self.random.random_bool(self.load.transactions) {
            true => self.random.random_range(1..MAX_TRANSACTION),
            false => 0,
        };
        let writes = opens > 0 || kind < self.load.writes;
        let mut profile = match writes {
            true => write(number, self.now),
            false => read(number, self.now, 0),
        };
        // A third of the reads ask for the newest data.
        let primary = writes || kind < self.load.writes + (1.0 - self.load.writes) / 3.0;
        profile.needs_primary = primary;
        profile.max_age = match primary {
            true => Duration::ZERO,
            false => Duration::from_secs(1),
        };
        profile.deadline = self.now + DEADLINE;
        profile.account = Some(digest(account));
        if opens > 0 {
            profile.step = RequestStep::Opens;
        }
        let statement = WaitingStatement {
            account,
            arrived: self.now,
            opens,
            within: None,
        };
        self.admit(profile, statement);
        let pause = -self.random.random_range(1e-9..1.0_f64).ln() / self.present_rate();
        let due = self.now + Duration::from_secs_f64(pause);
        self.last_id += 1;
        self.events
            .insert((due, self.last_id), (0, ReplayEvent::Arrival));
    }

    fn present_rate(&self) -> f64 {
        let extra = match self.is_burst() {
            true => (BURST_FACTOR - 1.0) * weight(self.burst.0) / total_weight(),
            false => 0.0,
        };
        self.load.operations() * (1.0 + extra)
    }

    fn is_burst(&self) -> bool {
        self.now.since(self.burst.1) < BURST_INTERVAL / 2
    }

    fn draw_account(&mut self) -> usize {
        if self.now.since(self.burst.1) >= BURST_INTERVAL {
            self.burst = (self.random.random_range(0..ACCOUNTS), self.now);
        }
        let bursting = self.is_burst().then_some(self.burst.0);
        let factor = |account| match bursting == Some(account) {
            true => BURST_FACTOR,
            false => 1.0,
        };
        let total: f64 = (0..ACCOUNTS).map(|one| weight(one) * factor(one)).sum();
        let mut left = self.random.random_range(0.0..total);
        for account in 0..ACCOUNTS {
            left -= weight(account) * factor(account);
            if left < 0.0 {
                return account;
            }
        }
        ACCOUNTS - 1
    }

    fn list_held(&self, endpoint: usize) -> Vec<HeldConnection<'_>> {
        let own = self.connections.iter();
        let own = own.filter(|(_, one)| one.endpoint == endpoint);
        let held = own.map(|(id, one)| HeldConnection {
            id: *id,
            account: one.account.map(|account| &self.names[account]),
            idle: one.work == ConnectionWork::Idle,
            last_used: one.last_statement,
        });
        held.collect()
    }

    fn held(&self, endpoint: usize) -> u32 {
        let own = self.connections.values();
        own.filter(|one| one.endpoint == endpoint).count() as u32
    }

    /// Returns whether an endpoint refuses a further connection.
    fn is_full(&self, endpoint: usize) -> bool {
        self.held(endpoint) + self.held_by_lost(endpoint) >= CONNECTIONS
    }

    fn held_by_lost(&self, endpoint: usize) -> u32 {
        match self.now < self.lost.1 {
            true => self.lost.0[endpoint],
            false => 0,
        }
    }

    fn note_free(&mut self) {
        for endpoint in 0..NAMES.len() {
            let free = CONNECTIONS.saturating_sub(self.held(endpoint));
            self.counts.fewest_free = self.counts.fewest_free.min(free);
        }
    }

    fn allowance(&self) -> ConnectionAllowance {
        ConnectionAllowance {
            most: 2_048,
            held: self.connections.len() as u32,
            endpoints: 3,
            scarce: false,
        }
    }

    fn find_account(&self, name: &AccountName) -> Option<usize> {
        self.names.iter().position(|one| one == name)
    }

    fn set_work(&mut self, id: u64, work: ConnectionWork) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.work = work;
            connection.last_used = self.now;
        }
    }

    fn note_statement_end(&mut self, id: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_statement = self.now;
        }
    }

    fn schedule(&mut self, after: Duration, event: ReplayEvent) {
        self.last_id += 1;
        self.events
            .insert((self.now + after, self.last_id), (self.leader, event));
    }
}

/// The former rule: open up to `kept` connections, then replace the least recently used idle one.
fn choose_by_recency(held: &[HeldConnection<'_>], kept: u32, room: u32) -> Option<PoolMissAction> {
    let count = held.len() as u32;
    if count < room.min(kept) {
        return Some(PoolMissAction::Open);
    }
    let idle = held.iter().filter(|one| one.idle);
    match idle.min_by_key(|one| one.last_used) {
        Some(oldest) => Some(PoolMissAction::Replace(oldest.id)),
        None => (count < room.min(CONNECTIONS - 3)).then_some(PoolMissAction::Open),
    }
}

fn create_scheduler(rules: PoolRules) -> GroupScheduler {
    let mut settings = SchedulerSettings::new(7, "north".into());
    settings.modules.account_preference = rules.preference;
    let mut scheduler = GroupScheduler::new(settings);
    scheduler.set_contracts(&[CustomerTerms {
        customer: "directorate".into(),
        slot_share: 1,
        queue_limit: 1_000,
        connection_limit: 1_000,
        share_group: None,
    }]);
    scheduler
}

fn find_endpoint(instance: &InstanceName) -> usize {
    let found = NAMES.iter().position(|name| instance.as_str() == *name);
    found.expect("the group has these endpoints only")
}

fn weight(account: usize) -> f64 {
    ((account + 1) as f64).powf(-1.2)
}

fn total_weight() -> f64 {
    (0..ACCOUNTS).map(weight).sum()
}

fn digest(account: usize) -> u64 {
    (account as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
