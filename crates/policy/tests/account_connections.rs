//! Connections that belong to accounts, replayed in virtual time: who calls, and how many are opened.

use ragwort_policy::AccountDemand;
use ragwort_policy::ClockTime;
use ragwort_policy::HeldConnection;
use ragwort_policy::MissChoice;
use ragwort_policy::choose_on_miss;
use ragwort_types::AccountName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Connections that the endpoint takes from all VMs.
const CONNECTIONS: u32 = 60;

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

/// One endpoint and the connections to it.
struct ReplayedEndpoint {
    now: ClockTime,
    connections: Vec<SimulatedConnection>,
    room: u32,
    next_id: u64,
    opened: u32,
    refused: u32,
}

impl ReplayedEndpoint {
    fn new() -> Self {
        Self {
            now: ClockTime::from_millis(1),
            connections: Vec::new(),
            room: CONNECTIONS,
            next_id: 0,
            opened: 0,
            refused: 0,
        }
    }

    /// Runs a statement of an account that takes this long.
    fn run(&mut self, account: &str, run: Duration) {
        let (now, until) = (self.now, self.now + run);
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
        match choose_on_miss(&held, CONNECTIONS, self.room) {
            Some(MissChoice::Open) => {}
            Some(MissChoice::Replace(id)) => self.connections.retain(|one| one.id != id),
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
    /// Four accounts call all the time, and two hundred once in a while. The four keep their connections:
    /// given to those that call once, they would be opened again for most statements.
    busy_accounts_keep_their_connections {
        let mut random = StdRng::seed_from_u64(5);
        let mut endpoint = ReplayedEndpoint::new();
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

    /// A thousand accounts call once each. Half of what the endpoint takes stays free, for transactions and
    /// for a successor, and nobody is refused.
    accounts_that_call_once_leave_half_of_the_endpoint_free {
        let mut endpoint = ReplayedEndpoint::new();
        for number in 0..1_000 {
            endpoint.pass(Duration::from_millis(10));
            endpoint.run(&format!("once-{number}"), RUN);
            assert!(endpoint.connections.len() <= CONNECTIONS as usize / 2);
        }
        assert_eq!(endpoint.refused, 0);
    }

    /// One account turns hot: forty of its statements run at once. It gets a connection for each, beyond
    /// the half that is kept, as long as the endpoint takes more.
    account_that_turns_hot_gets_what_it_needs {
        let mut endpoint = ReplayedEndpoint::new();
        for _ in 0..40 {
            endpoint.run("hot", Duration::from_secs(1));
        }
        assert_eq!((endpoint.opened, endpoint.refused), (40, 0));
    }

    /// The endpoint takes five of ours at present, since it still counts those of a lost leaseholder. More
    /// accounts than that are served by turns, and one more is opened for none.
    full_endpoint_is_shared_by_turns {
        let mut endpoint = ReplayedEndpoint::new();
        endpoint.room = 5;
        for number in 0..100 {
            endpoint.pass(Duration::from_millis(10));
            endpoint.run(&format!("account-{}", number % 20), RUN);
            assert!(endpoint.connections.len() <= 5);
        }
        assert_eq!(endpoint.refused, 0);
    }

    /// A connection is opened ahead for the account that calls most for each one that it has, and for
    /// nobody while nobody calls.
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
