//! The groups that one VM leads, with their connections to endpoints, in simulated time.
//!
//! Each group runs its checks, its scheduler and the results of its connections in the order in
//! which the leaseholder's task does.

use crate::fixture::OTHER_REPLICA;
use crate::fixture::PRIMARY;
use crate::fixture::REPLICA;
use crate::fixture::create_group;
use crate::fixture::endpoint;
use crate::fixture::read;
use crate::fixture::write;
use ragwort_policy::AccountDemand;
use ragwort_policy::ClockTime;
use ragwort_policy::ConnectionAllowance;
use ragwort_policy::EndpointDemand;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::ExcessRule;
use ragwort_policy::FinishOutcome;
use ragwort_policy::GroupScheduler;
use ragwort_policy::HeldConnection;
use ragwort_policy::PoolLimits;
use ragwort_policy::PoolMissAction;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_policy::choose_pool_miss_action;
use ragwort_policy::is_worth_keeping;
use ragwort_types::AccountName;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

/// The number of endpoints of a group.
pub const ENDPOINTS_OF_GROUP: usize = 3;

const NAMES: [&str; ENDPOINTS_OF_GROUP] = [PRIMARY, REPLICA, OTHER_REPLICA];

/// The time in which an endpoint opens a connection.
const CONNECT_TIME: Duration = Duration::from_millis(12);

/// The time in which an endpoint answers a validation.
const VALIDATION_TIME: Duration = Duration::from_millis(1);

/// The run time of a statement.
const RUN_TIME: Duration = Duration::from_millis(10);

/// The time for which a transaction holds its connection after its first statement.
const TRANSACTION_TIME: Duration = Duration::from_millis(40);

/// Interval of the checks of a group.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two checks of idle connections.
const MAINTENANCE_TICKS: u64 = 4;

/// Idle time after which a connection is due for validation.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Number of rounds over which validations that are due at the same time are spread.
const VALIDATION_ROUNDS: usize = 4;

/// Properties of a simulated VM and its load.
#[derive(Clone, Copy, Debug)]
pub struct FleetCase {
    /// The number of endpoints.
    pub endpoints: usize,
    /// The number of slots of each endpoint.
    pub slots: u32,
    /// The number of accounts; without any, all callers share the connections.
    pub accounts: u64,
    /// The number of requests a minute for each endpoint.
    pub requests_a_minute: u64,
    /// Whether requests are transactions.
    pub transactions: bool,
}

impl FleetCase {
    /// Endpoints of two slots that nobody calls.
    pub fn idle(endpoints: usize) -> Self {
        Self {
            endpoints,
            slots: 2,
            accounts: 0,
            requests_a_minute: 0,
            transactions: false,
        }
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

#[derive(Clone, Debug)]
struct SimulatedConnection {
    endpoint: usize,
    account: Option<AccountName>,
    work: ConnectionWork,
    last_used: ClockTime,
    last_statement: ClockTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Tick,
    Opened(u64),
    Validated(u64),
    Ended(u64),
    TransactionEnded(u64, RequestTicket),
    Arrival,
}

struct SimulatedGroup {
    scheduler: GroupScheduler,
    demand: AccountDemand,
    endpoint_demand: [EndpointDemand; ENDPOINTS_OF_GROUP],
    connections: BTreeMap<u64, SimulatedConnection>,
    accounts: HashMap<RequestTicket, u64>,
    ticks: u64,
}

/// All groups of one VM.
pub struct SimulatedFleet {
    case: FleetCase,
    groups: Vec<SimulatedGroup>,
    events: BTreeMap<(ClockTime, u64), (usize, FleetEvent)>,
    now: ClockTime,
    allowance: ConnectionAllowance,
    last_id: u64,
    random: u64,
    /// The number of connections that were opened.
    pub opened: usize,
    /// The number of connections that were closed.
    pub closed: usize,
    /// The number of changes between scarce and ample connections.
    pub scarcity_changes: usize,
    /// The number of requests that arrived.
    pub arrived: usize,
    /// The number of requests that were answered.
    pub served: usize,
}

impl SimulatedFleet {
    /// Creates a VM with 4,096 descriptors, half of which are for connections to endpoints.
    pub fn start(case: FleetCase) -> Self {
        let mut fleet = Self {
            case,
            groups: Vec::new(),
            events: BTreeMap::new(),
            now: ClockTime(1_000_000),
            allowance: ConnectionAllowance {
                most: 2_048,
                ..ConnectionAllowance::default()
            },
            last_id: 0,
            random: 7,
            opened: 0,
            closed: 0,
            scarcity_changes: 0,
            arrived: 0,
            served: 0,
        };
        fleet.add_groups(case.endpoints / ENDPOINTS_OF_GROUP);
        fleet
    }

    /// Adds groups whose endpoints have no connection yet.
    pub fn add_groups(&mut self, count: usize) {
        for _ in 0..count {
            let group = self.groups.len();
            let excess = ExcessRule::Forbidden;
            let mut scheduler = create_group(1_000, "north", excess);
            for (index, name) in NAMES.into_iter().enumerate() {
                let role = match index {
                    0 => EndpointRole::Primary,
                    _ => EndpointRole::Replica,
                };
                let state = EndpointState {
                    slots: self.case.slots,
                    connections: self.case.slots.max(16),
                    ..endpoint(name, role)
                };
                scheduler.set_endpoint(self.now, state);
            }
            self.groups.push(SimulatedGroup {
                scheduler,
                demand: AccountDemand::default(),
                endpoint_demand: Default::default(),
                connections: BTreeMap::new(),
                accounts: HashMap::new(),
                ticks: 0,
            });
            self.allowance.endpoints += ENDPOINTS_OF_GROUP as u32;
            let offset = Duration::from_micros(self.draw(TICK.as_micros() as u64));
            self.schedule(self.now + offset, group, FleetEvent::Tick);
            if self.case.requests_a_minute > 0 {
                let pause = self.draw_pause();
                self.schedule(self.now + pause, group, FleetEvent::Arrival);
            }
        }
    }

    /// Advances the time.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            let (due, _) = *entry.key();
            if due > end {
                break;
            }
            let (group, event) = entry.remove();
            self.now = due;
            self.handle(group, event);
        }
        self.now = end;
    }

    /// Returns the number of connections that are open or being opened.
    pub fn held(&self) -> u32 {
        self.allowance.held
    }

    fn handle(&mut self, group: usize, event: FleetEvent) {
        match event {
            FleetEvent::Tick => self.tick(group),
            FleetEvent::Opened(id) => self.finish_opening(group, id),
            FleetEvent::Validated(id) => self.finish_validation(group, id),
            FleetEvent::Ended(id) => self.finish_statement(group, id),
            FleetEvent::TransactionEnded(id, opener) => self.finish_transaction(group, id, opener),
            FleetEvent::Arrival => self.arrive(group),
        }
        self.run_scheduler(group);
    }

    fn tick(&mut self, group: usize) {
        let own = &mut self.groups[group];
        own.ticks += 1;
        let newest = LogPosition::new(GroupTerm(1), 0);
        for name in NAMES {
            let (now, age) = (self.now, Duration::ZERO);
            own.scheduler
                .report_position(now, &name.into(), newest, age);
        }
        if own.ticks.is_multiple_of(MAINTENANCE_TICKS) {
            for endpoint in 0..ENDPOINTS_OF_GROUP {
                self.validate_idle(group, endpoint);
            }
        }
        self.schedule(self.now + TICK, group, FleetEvent::Tick);
    }

    fn validate_idle(&mut self, group: usize, endpoint: usize) {
        let now = self.now;
        let own = self.groups[group].connections.iter();
        let due = own.filter(|(_, one)| {
            let idle = one.endpoint == endpoint && one.work == ConnectionWork::Idle;
            idle && now.since(one.last_used) >= IDLE_LIMIT
        });
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        let asked = due.len().div_ceil(VALIDATION_ROUNDS);
        for id in due.into_iter().take(asked) {
            self.close_or_validate(group, endpoint, id);
        }
    }

    fn close_or_validate(&mut self, group: usize, endpoint: usize, id: u64) {
        let allowance = self.read_allowance();
        let kept = self.case.accounts > 0 && {
            let held = self.list_held(group, endpoint);
            let demand = &self.groups[group].endpoint_demand[endpoint];
            is_worth_keeping(self.now, &held, id, demand, &allowance)
        };
        let instance = InstanceName::from(NAMES[endpoint]);
        let own = &mut self.groups[group];
        let surplus = own.scheduler.surplus_connections(&instance) > 0;
        if surplus && !kept {
            own.connections.remove(&id);
            own.scheduler.connection_closed(&instance);
            self.count_closed();
            return;
        }
        own.scheduler.connection_validation_started(&instance);
        self.set_work(group, id, ConnectionWork::Validating);
        self.schedule(self.now + VALIDATION_TIME, group, FleetEvent::Validated(id));
    }

    fn run_scheduler(&mut self, group: usize) {
        let allowance = self.read_allowance();
        let own = &mut self.groups[group];
        if self.case.accounts > 0 {
            for (endpoint, name) in NAMES.into_iter().enumerate() {
                let idle = own
                    .connections
                    .values()
                    .filter(|one| one.endpoint == endpoint && one.work == ConnectionWork::Idle);
                let idle: Vec<u64> = idle
                    .filter_map(|one| one.account.as_ref().map(digest_account))
                    .collect();
                own.scheduler
                    .set_idle_accounts(&name.into(), idle.into_iter());
            }
        }
        own.scheduler.set_allowance(allowance);
        for decision in own.scheduler.poll(self.now) {
            match decision {
                SchedulerDecision::Dispatch(order) => {
                    self.dispatch(group, order.ticket, find_endpoint(&order.instance));
                }
                SchedulerDecision::OpenConnection(instance) => {
                    let endpoint = find_endpoint(&instance);
                    let held = self.list_held(group, endpoint);
                    let account = self.groups[group].demand.choose(self.now, &held);
                    self.open(group, endpoint, account, false);
                }
                SchedulerDecision::Refuse(_) => {}
            }
        }
    }

    fn dispatch(&mut self, group: usize, ticket: RequestTicket, endpoint: usize) {
        let own = &mut self.groups[group];
        let account = own
            .accounts
            .get(&ticket)
            .map(|number| name_account(*number));
        own.demand.note(self.now, account.as_ref());
        let in_use = own.connections.values().filter(|one| {
            let running = matches!(
                one.work,
                ConnectionWork::Running(_) | ConnectionWork::Pinned
            );
            running && one.endpoint == endpoint && one.account == account
        });
        let in_use = in_use.count();
        own.endpoint_demand[endpoint].note(self.now, account.as_ref(), in_use);
        let idle = own.connections.iter().filter(|(_, one)| {
            let fits = one.endpoint == endpoint && one.account == account;
            fits && one.work == ConnectionWork::Idle
        });
        let last_used = idle.max_by_key(|(_, one)| one.last_used);
        if let Some((id, _)) = last_used {
            let id = *id;
            self.run_statement(group, id, ticket);
            return;
        }
        let left = self.read_allowance().room();
        let held = self.list_held(group, endpoint);
        let connections = self.case.slots.max(16);
        let limits = PoolLimits {
            connections,
            slots: self.case.slots,
            room: connections.min(held.len() as u32 + left),
        };
        let demand = &self.groups[group].endpoint_demand[endpoint];
        let action = choose_pool_miss_action(self.now, &held, demand, limits);
        let scheduler = &mut self.groups[group].scheduler;
        match action {
            Some(PoolMissAction::Open) => scheduler.connection_added(&NAMES[endpoint].into()),
            Some(PoolMissAction::Replace(id)) => {
                self.groups[group].connections.remove(&id);
                self.count_closed();
            }
            None => {
                scheduler.finished(self.now, ticket, FinishOutcome::NotRun);
                return;
            }
        }
        let id = self.open(group, endpoint, account, true);
        self.set_work(group, id, ConnectionWork::Running(ticket));
        let ends = self.now + CONNECT_TIME + RUN_TIME;
        self.schedule(ends, group, FleetEvent::Ended(id));
    }

    fn run_statement(&mut self, group: usize, id: u64, ticket: RequestTicket) {
        self.set_work(group, id, ConnectionWork::Running(ticket));
        self.schedule(self.now + RUN_TIME, group, FleetEvent::Ended(id));
    }

    /// Begins to open a connection; one that is `added` already counts as open at the scheduler.
    fn open(
        &mut self,
        group: usize,
        endpoint: usize,
        account: Option<AccountName>,
        added: bool,
    ) -> u64 {
        self.last_id += 1;
        let id = self.last_id;
        let connection = SimulatedConnection {
            endpoint,
            account,
            work: ConnectionWork::Opening,
            last_used: self.now,
            last_statement: self.now,
        };
        self.groups[group].connections.insert(id, connection);
        self.allowance.held += 1;
        self.opened += 1;
        if !added {
            self.schedule(self.now + CONNECT_TIME, group, FleetEvent::Opened(id));
        }
        id
    }

    fn finish_opening(&mut self, group: usize, id: u64) {
        let own = &mut self.groups[group];
        let endpoint = own.connections[&id].endpoint;
        own.scheduler.connection_opened(&NAMES[endpoint].into());
        self.set_work(group, id, ConnectionWork::Idle);
    }

    fn finish_validation(&mut self, group: usize, id: u64) {
        let own = &mut self.groups[group];
        let endpoint = own.connections[&id].endpoint;
        own.scheduler
            .connection_validation_ended(&NAMES[endpoint].into());
        self.set_work(group, id, ConnectionWork::Idle);
    }

    fn finish_statement(&mut self, group: usize, id: u64) {
        let own = &mut self.groups[group];
        let Some(connection) = own.connections.get_mut(&id) else {
            return;
        };
        let ConnectionWork::Running(ticket) = connection.work else {
            return;
        };
        connection.last_statement = self.now;
        own.scheduler
            .finished(self.now, ticket, FinishOutcome::Answered);
        own.accounts.remove(&ticket);
        self.served += 1;
        if self.case.transactions {
            self.set_work(group, id, ConnectionWork::Pinned);
            let ended = FleetEvent::TransactionEnded(id, ticket);
            self.schedule(self.now + TRANSACTION_TIME, group, ended);
            return;
        }
        self.set_work(group, id, ConnectionWork::Idle);
    }

    fn finish_transaction(&mut self, group: usize, id: u64, opener: RequestTicket) {
        self.groups[group].scheduler.unpin(self.now, opener);
        self.set_work(group, id, ConnectionWork::Idle);
    }

    fn arrive(&mut self, group: usize) {
        self.arrived += 1;
        let number = self.arrived as u64;
        let mut profile = match number % 3 {
            0 => write(number, self.now),
            _ => read(number, self.now, 0),
        };
        if self.case.transactions {
            profile.step = RequestStep::Opens;
        }
        let own = &mut self.groups[group];
        if self.case.accounts > 0 {
            let account = number % self.case.accounts;
            profile.account = Some(digest_account(&name_account(account)));
            own.accounts.insert(profile.ticket, account);
        }
        own.scheduler.arrive(self.now, profile);
        let pause = self.draw_pause();
        self.schedule(self.now + pause, group, FleetEvent::Arrival);
    }

    fn list_held(&self, group: usize, endpoint: usize) -> Vec<HeldConnection<'_>> {
        let own = self.groups[group].connections.iter();
        let own = own.filter(|(_, one)| one.endpoint == endpoint);
        let held = own.map(|(id, one)| HeldConnection {
            id: *id,
            account: one.account.as_ref(),
            idle: one.work == ConnectionWork::Idle,
            last_used: one.last_statement,
        });
        held.collect()
    }

    fn set_work(&mut self, group: usize, id: u64, work: ConnectionWork) {
        if let Some(connection) = self.groups[group].connections.get_mut(&id) {
            connection.work = work;
            connection.last_used = self.now;
        }
    }

    fn count_closed(&mut self) {
        self.allowance.held -= 1;
        self.closed += 1;
    }

    /// Returns the allowance, with the scarcity that follows from the present counts.
    fn read_allowance(&mut self) -> ConnectionAllowance {
        let scarce = self.allowance.is_scarce_after(self.allowance.scarce);
        self.scarcity_changes += usize::from(scarce != self.allowance.scarce);
        self.allowance.scarce = scarce;
        self.allowance
    }

    fn schedule(&mut self, due: ClockTime, group: usize, event: FleetEvent) {
        self.last_id += 1;
        self.events.insert((due, self.last_id), (group, event));
    }

    /// Draws the time until the next request of a group, between nothing and twice the mean.
    fn draw_pause(&mut self) -> Duration {
        let a_minute = self.case.requests_a_minute * ENDPOINTS_OF_GROUP as u64;
        let mean = Duration::from_secs(60).as_micros() as u64 / a_minute;
        Duration::from_micros(self.draw(mean * 2))
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }
}

fn find_endpoint(instance: &InstanceName) -> usize {
    let found = NAMES.iter().position(|name| instance.as_str() == *name);
    found.expect("each group has these endpoints only")
}

fn name_account(number: u64) -> AccountName {
    AccountName::from(format!("account-{number}").as_str())
}

fn digest_account(account: &AccountName) -> u64 {
    let bytes = account.as_str().bytes();
    bytes.fold(7, |digest, byte| digest * 31 % (1 << 40) + u64::from(byte))
}
