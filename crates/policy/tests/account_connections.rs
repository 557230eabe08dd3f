//! Simulation in virtual time of a pool whose connections are bound to accounts.

use ragwort_policy::AccountDemand;
use ragwort_policy::ClockTime;
use ragwort_policy::ConnectionAllowance;
use ragwort_policy::EndpointDemand;
use ragwort_policy::HeldConnection;
use ragwort_policy::PoolLimits;
use ragwort_policy::PoolMissAction;
use ragwort_policy::choose_pool_miss_action;
use ragwort_policy::is_worth_keeping;
use ragwort_types::AccountName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Number of connections that the endpoint takes from all VMs.
const CONNECTIONS: u32 = 60;

/// Number of statements that the endpoint runs at the same time.
const SLOTS: u32 = 6;

macro_rules! account_cases {
    ($($(#[$doc:meta])* $name:ident $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

struct SimulatedConnection {
    id: u64,
    account: AccountName,
    busy_until: ClockTime,
    last_used: ClockTime,
}

/// A simulated endpoint and the connections to it.
struct SimulatedEndpoint {
    now: ClockTime,
    connections: Vec<SimulatedConnection>,
    demand: EndpointDemand,
    room: u32,
    next_id: u64,
    opened: u32,
    refused: u32,
}

impl SimulatedEndpoint {
    fn new() -> Self {
        Self {
            now: ClockTime::from_millis(1),
            connections: Vec::new(),
            demand: EndpointDemand::default(),
            room: CONNECTIONS,
            next_id: 0,
            opened: 0,
            refused: 0,
        }
    }

    /// Runs a statement of an account that takes `run`.
    fn run(&mut self, account: &str, run: Duration) {
        let (now, until) = (self.now, self.now + run);
        let name = AccountName::from(account);
        let busy = |one: &&SimulatedConnection| one.account == name && one.busy_until > now;
        let in_use = self.connections.iter().filter(busy).count();
        self.demand.note(now, Some(&name), in_use);
        let idle = |one: &&mut SimulatedConnection| one.busy_until <= now;
        let mut own = self.connections.iter_mut().filter(idle);
        if let Some(found) = own.find(|one| one.account.as_str() == account) {
            found.busy_until = until;
            found.last_used = until;
            return;
        }
        let held: Vec<HeldConnection<'_>> = self
            .connections
            .iter()
            .map(|one| HeldConnection {
                id: one.id,
                account: Some(&one.account),
                idle: one.busy_until <= now,
                last_used: one.last_used,
            })
            .collect();
        let limits = PoolLimits {
            connections: CONNECTIONS,
            slots: SLOTS,
            room: self.room,
        };
        match choose_pool_miss_action(now, &held, &self.demand, limits) {
            Some(PoolMissAction::Open) => {}
            Some(PoolMissAction::Replace(id)) => self.connections.retain(|one| one.id != id),
            None => {
                self.refused += 1;
                return;
            }
        }
        self.opened += 1;
        self.next_id += 1;
        self.connections.push(SimulatedConnection {
            id: self.next_id,
            account: account.into(),
            busy_until: until,
            last_used: until,
        });
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
    }
}

const RUN: Duration = Duration::from_millis(33);

account_cases! {
    /// Four accounts call all the time, and two hundred once in a while. The four must keep their
    /// connections: given to accounts that call once, they would be opened again for most
    /// statements.
    busy_accounts_keep_their_connections {
        let mut random = StdRng::seed_from_u64(5);
        let mut endpoint = SimulatedEndpoint::new();
        let (mut busy, mut busy_opened) = (0, 0);
        for _ in 0..4_000 {
            endpoint.pass(Duration::from_millis(20));
            let before = endpoint.opened;
            if random.random_bool(0.8) {
                endpoint.run(&format!("busy-{}", random.random_range(0..4)), RUN);
                busy += 1;
                busy_opened += endpoint.opened - before;
            } else {
                endpoint.run(&format!("rare-{}", random.random_range(0..200)), RUN);
            }
        }
        assert!(busy_opened * 50 < busy, "{busy_opened} opened for {busy} statements");
        assert_eq!(endpoint.refused, 0);
    }

    /// A thousand accounts call once each. Half of the endpoint's connections must stay free, for
    /// transactions and for a successor, and nobody may be refused.
    accounts_that_call_once_leave_half_of_the_endpoint_free {
        let mut endpoint = SimulatedEndpoint::new();
        for number in 0..1_000 {
            endpoint.pass(Duration::from_millis(10));
            endpoint.run(&format!("once-{number}"), RUN);
            assert!(endpoint.connections.len() <= CONNECTIONS as usize / 2);
        }
        assert_eq!(endpoint.refused, 0);
    }

    /// Forty statements of one account run at the same time. Each must get a connection, beyond the
    /// half that is kept for accounts, as long as the endpoint takes more.
    concurrent_statements_of_one_account_get_a_connection_each {
        let mut endpoint = SimulatedEndpoint::new();
        for _ in 0..40 {
            endpoint.run("hot", Duration::from_secs(1));
        }
        assert_eq!((endpoint.opened, endpoint.refused), (40, 0));
    }

    /// The endpoint takes only five connections at present, since it still counts those of a lost
    /// leaseholder. More accounts than that must be served in turn, without a sixth connection.
    full_endpoint_is_shared_by_turns {
        let mut endpoint = SimulatedEndpoint::new();
        endpoint.room = 5;
        for number in 0..100 {
            endpoint.pass(Duration::from_millis(10));
            endpoint.run(&format!("account-{}", number % 20), RUN);
            assert!(endpoint.connections.len() <= 5);
        }
        assert_eq!(endpoint.refused, 0);
    }

    /// An account calls often, one statement at a time, another one seldom. The second connection
    /// of the first, used a moment ago, must make way before the only one of the other: it would
    /// save no opening.
    connection_without_use_makes_way_first {
        let now = ClockTime::from_millis(60_000);
        let (often, seldom): (AccountName, AccountName) = ("often".into(), "seldom".into());
        let mut demand = EndpointDemand::default();
        for second in 0..60 {
            demand.note(ClockTime::from_millis(second * 1_000), Some(&often), 0);
            if second % 10 == 0 {
                demand.note(ClockTime::from_millis(second * 1_000), Some(&seldom), 0);
            }
        }
        let of = |id, account, age| HeldConnection {
            id,
            account: Some(account),
            idle: true,
            last_used: now.before(Duration::from_millis(age)),
        };
        let held = [of(1, &often, 0), of(2, &often, 500), of(3, &seldom, 9_000)];
        let limits = PoolLimits { connections: 6, slots: 2, room: 6 };
        let action = choose_pool_miss_action(now, &held, &demand, limits);
        assert_eq!(action, Some(PoolMissAction::Replace(2)));
    }

    /// A connection is kept as long as its use pays for its validations. It must not be on a VM
    /// that holds many connections, whose processor they used up, nor when connections are scarce.
    connections_are_kept_by_their_expected_use {
        let account: AccountName = "account".into();
        let mut demand = EndpointDemand::default();
        for second in 0..20 {
            demand.note(ClockTime::from_millis(second * 1_000), Some(&account), 0);
        }
        let used = ClockTime::from_millis(19_000);
        let held = [HeldConnection { id: 1, account: Some(&account), idle: true, last_used: used }];
        let kept = |after, held_by_vm, scarce| {
            let allowance = ConnectionAllowance { held: held_by_vm, scarce, ..Default::default() };
            let now = used + Duration::from_secs(after);
            is_worth_keeping(now, &held, 1, &demand, &allowance)
        };
        assert!(kept(5, 100, false) && kept(30, 100, false));
        assert!(!kept(150, 100, false), "it hasn't been used for long");
        assert!(kept(5, 2_000, false) && !kept(7, 2_000, false), "the VM holds many");
        assert!(!kept(1, 100, true), "connections are scarce");
    }

    /// Ten thousand accounts call once each. What is recorded of them must stay bounded, and the
    /// accounts that call often must stay in the record.
    recorded_demand_is_bounded {
        let mut demand = EndpointDemand::default();
        let now = ClockTime::from_millis(1_000);
        let often: AccountName = "often".into();
        demand.note(now, Some(&often), 0);
        demand.note(now, Some(&often), 0);
        let names = (0..10_000).map(|number| AccountName::from(format!("once-{number}").as_str()));
        let names: Vec<AccountName> = names.collect();
        for name in &names {
            demand.note(now, Some(name), 0);
        }
        let recorded = names.iter().filter(|name| demand.rate_of_use(now, Some(name), 1) > 0.0);
        assert!(recorded.count() < 1_024);
        assert!(demand.rate_of_use(now, Some(&often), 1) > 0.0);
    }

    /// A connection is opened ahead for the account with the most statements for each of its
    /// connections, and for none while no account calls.
    connections_are_opened_ahead_for_those_that_call {
        let now = ClockTime::from_millis(5_000);
        let (often, seldom): (AccountName, AccountName) = ("often".into(), "seldom".into());
        let mut demand = AccountDemand::default();
        assert_eq!(demand.choose(now, &[]), None);
        for _ in 0..9 {
            demand.note(now, Some(&often));
        }
        demand.note(now, Some(&seldom));
        demand.note(now, None);
        assert_eq!(demand.choose(now, &[]), Some(often.clone()));
        let of = |account| HeldConnection { id: 1, account: Some(account), idle: true, last_used: now };
        let held = [of(&often); 12];
        assert_eq!(demand.choose(now, &held), Some(seldom));
        let later = now + Duration::from_secs(60);
        demand.note(later, Some(&often));
        assert_eq!(demand.choose(later, &held), Some(often));
    }
}
