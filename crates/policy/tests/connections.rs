//! How many connections an endpoint's load holds open.

#[expect(dead_code, reason = "this load has no reads")]
mod fixture;

use fixture::PRIMARY;
use fixture::create_group;
use fixture::endpoint;
use fixture::write;
use ragwort_policy::ClockTime;
use ragwort_policy::ConnectionAllowance;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::ExcessRule;
use ragwort_policy::FinishOutcome;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::InstanceName;
use std::time::Duration;

/// How long the endpoint takes to open a connection.
const OPENING: Duration = Duration::from_millis(12);

/// How long it takes for a statement.
const RUN: Duration = Duration::from_millis(10);

/// The step of the replayed time.
const STEP: Duration = Duration::from_millis(1);

macro_rules! load_cases {
    ($($(#[$doc:meta])* $name:ident => $case:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $case;
        }
    )*};
}

load_cases! {
    /// Endpoints can run ninety statements at once, and callers send a few a second. A VM that leads some
    /// groups held a connection for each slot, thousands together: each took memory and was asked every
    /// other second whether it still answers, until the VM had no descriptor left for its own kind, lost its
    /// lease with all its groups, or was killed for its memory.
    few_statements_hold_few_connections => quiet_case();
    /// Sixty callers ask at the same moment where two did before. Connections are opened for them within
    /// some steps; two at a time, the last would wait for 360 ms.
    burst_has_its_connections_soon => burst_case();
    /// After the burst, the connections that it needed are given back: left open, those of each peak
    /// would stay for good.
    connections_of_a_burst_are_given_back => return_case();
    /// The load comes in waves of some seconds. What a wave needs isn't closed in its trough: each new
    /// connection takes a slot for as long as a statement does.
    waves_keep_their_connections => wave_case();
    /// Two of five VMs are lost, and each of the others leads the groups of many: hundreds of endpoints that
    /// hardly anybody calls. With some connections for each, as where a VM has few endpoints, the VM had no
    /// descriptor left, and nobody was served.
    many_endpoints_share_what_is_kept_open => shared_case();
    /// Connections that prove that they still answer were replaced ahead, and the replacements closed when they
    /// had: a VM with many endpoints opened hundreds of connections a second that no load needed.
    connections_in_doubt_are_not_opened_and_closed_in_turn => doubt_case();
    /// The connections of a VM are near the most that it may hold. Those that nothing uses are given up, and
    /// none is opened but for requests that wait for one.
    scarce_connections_serve_what_waits => scarce_case();
    /// What was closed as scarce was opened ahead at the next moment, and closed again: the VM opened hundreds of
    /// connections a second.
    scarcity_lasts_until_there_is_room => lasting_case();
    /// Each connection belongs to one account, and a VM leads dozens of groups that hardly anybody calls.
    /// Opened ahead as for callers that share them, eight for each endpoint, they were of no use to the
    /// account that called next, and their upkeep took the VM's descriptors and most of its processor.
    connections_of_accounts_are_not_opened_for_slots => account_case();
}

/// A primary of many slots, with time that the test moves.
struct ReplayedLoad {
    scheduler: GroupScheduler,
    now: ClockTime,
    last_ticket: u64,
    openings: Vec<ClockTime>,
    runs: Vec<(ClockTime, RequestTicket)>,
    opened: usize,
    openings_begun: usize,
    served: usize,
}

impl ReplayedLoad {
    fn start() -> Self {
        let mut scheduler = create_group(1_000, "north", ExcessRule::Forbidden);
        let now = ClockTime(1_000_000);
        let wide = EndpointState {
            slots: 90,
            connections: 88,
            ..endpoint(PRIMARY, EndpointRole::Primary)
        };
        scheduler.set_endpoint(now, wide);
        Self {
            scheduler,
            now,
            last_ticket: 0,
            openings: Vec::new(),
            runs: Vec::new(),
            opened: 0,
            openings_begun: 0,
            served: 0,
        }
    }

    fn arrive(&mut self, count: usize) {
        for _ in 0..count {
            self.last_ticket += 1;
            let request = write(self.last_ticket, self.now);
            self.scheduler.arrive(self.now, request);
        }
    }

    /// Lets time pass; requests arrive `count` at once every `pause`.
    fn pass(&mut self, time: Duration, count: usize, pause: Duration) {
        let end = self.now + time;
        let mut due = self.now;
        while self.now < end {
            if self.now >= due {
                self.arrive(count);
                due = due + pause;
            }
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let primary = InstanceName::from(PRIMARY);
        let (done, opening) = self.openings.iter().partition(|moment| **moment <= now);
        self.openings = opening;
        let done: Vec<ClockTime> = done;
        for _ in done {
            self.scheduler.connection_opened(&primary);
            self.opened += 1;
        }
        let ended = self.runs.extract_if(.., |(moment, _)| *moment <= now);
        for (_, ticket) in ended.collect::<Vec<_>>() {
            self.scheduler
                .finished(now, ticket, FinishOutcome::Answered);
            self.served += 1;
        }
        for decision in self.scheduler.poll(now) {
            match decision {
                SchedulerDecision::Dispatch(order) => self.runs.push((now + RUN, order.ticket)),
                SchedulerDecision::OpenConnection(instance) if instance == primary => {
                    self.openings.push(now + OPENING);
                    self.openings_begun += 1;
                }
                SchedulerDecision::OpenConnection(_) | SchedulerDecision::Refuse(_) => {}
            }
        }
        self.now = now + STEP;
    }

    fn surplus(&self) -> u32 {
        self.scheduler.surplus_connections(&PRIMARY.into())
    }

    /// Closes what can be closed.
    fn close_surplus(&mut self) {
        while self.surplus() > 0 {
            self.scheduler.connection_closed(&PRIMARY.into());
            self.opened -= 1;
        }
    }
}

fn quiet_case() {
    let mut load = ReplayedLoad::start();
    load.pass(Duration::from_secs(20), 2, Duration::from_millis(100));
    assert!(load.served >= 398, "{}", load.served);
    // Some for what runs at once, not one for each of ninety slots.
    assert!(load.opened <= 16, "{}", load.opened);
}

fn burst_case() {
    let mut load = ReplayedLoad::start();
    load.pass(Duration::from_secs(1), 2, Duration::from_millis(100));
    let before = load.served;
    load.arrive(60);
    let begun = load.now;
    while load.served < before + 60 {
        load.step();
    }
    // As many run at once as connections are open; it takes a fraction of what two at a time would.
    let took = load.now.since(begun);
    assert!(took <= Duration::from_millis(60), "{took:?}");
}

fn return_case() {
    let mut load = ReplayedLoad::start();
    load.arrive(60);
    load.pass(Duration::from_secs(1), 2, Duration::from_millis(100));
    let most = load.opened;
    assert!(most > 30, "{most}");
    assert_eq!(load.surplus(), 0, "the burst has just been");
    load.pass(Duration::from_secs(20), 2, Duration::from_millis(100));
    load.close_surplus();
    assert!(load.opened <= 16, "{} of {most}", load.opened);
    load.pass(Duration::from_secs(20), 2, Duration::from_millis(100));
    assert!(load.opened <= 16, "they were opened again: {}", load.opened);
}

fn shared_case() {
    let mut load = ReplayedLoad::start();
    let allowance = ConnectionAllowance {
        most: 2_048,
        held: 700,
        endpoints: 339,
        scarce: false,
    };
    load.scheduler.set_allowance(allowance);
    load.pass(Duration::from_secs(20), 1, Duration::from_secs(5));
    load.close_surplus();
    let all = load.opened * 339;
    assert!(all <= 2_048 * 3 / 4, "{all}");
    assert_eq!(load.served, 4);
}

fn doubt_case() {
    let mut load = ReplayedLoad::start();
    let primary = InstanceName::from(PRIMARY);
    load.scheduler.set_allowance(ConnectionAllowance {
        most: 2_048,
        held: 700,
        endpoints: 204,
        scarce: false,
    });
    load.pass(Duration::from_secs(1), 0, Duration::from_secs(1));
    let before = load.openings_begun;
    for _ in 0..100 {
        let doubted = load.opened;
        for _ in 0..doubted {
            load.scheduler.connection_doubted(&primary);
        }
        load.pass(Duration::from_millis(50), 0, Duration::from_secs(1));
        for _ in 0..doubted {
            load.scheduler.doubt_ended(&primary);
        }
        load.close_surplus();
        load.pass(Duration::from_millis(150), 0, Duration::from_secs(1));
    }
    let opened = load.openings_begun - before;
    assert!(opened <= 2, "{opened} opened");
}

fn scarce_case() {
    let mut load = ReplayedLoad::start();
    load.pass(Duration::from_secs(2), 4, Duration::from_millis(20));
    let allowance = ConnectionAllowance {
        most: 2_048,
        held: 1_700,
        endpoints: 60,
        scarce: true,
    };
    load.scheduler.set_allowance(allowance);
    load.pass(Duration::from_secs(1), 0, Duration::from_secs(5));
    load.close_surplus();
    assert_eq!(load.opened, 1);
    let before = load.served;
    load.pass(Duration::from_secs(1), 10, Duration::from_secs(5));
    assert_eq!(load.served, before + 10);
    load.close_surplus();
    assert_eq!(load.opened, 1);
}

fn lasting_case() {
    let mut allowance = ConnectionAllowance {
        most: 2_000,
        ..ConnectionAllowance::default()
    };
    let mut scarce_at = |held| {
        allowance.held = held;
        allowance.scarce = allowance.is_scarce_after(allowance.scarce);
        allowance.scarce
    };
    assert!(!scarce_at(1_400));
    assert!(scarce_at(1_500));
    assert!(scarce_at(1_400));
    assert!(!scarce_at(900));
    assert!(!scarce_at(1_400));
}

fn account_case() {
    let mut load = ReplayedLoad::start();
    let primary = InstanceName::from(PRIMARY);
    load.scheduler
        .set_idle_accounts(&primary, std::iter::empty());
    load.pass(Duration::from_secs(20), 0, Duration::from_secs(1));
    assert_eq!(load.opened, 1, "one to ask the endpoint about itself");
    assert_eq!(load.surplus(), 0);
}

fn wave_case() {
    let mut load = ReplayedLoad::start();
    let mut most = 0;
    for _ in 0..10 {
        load.pass(Duration::from_secs(2), 30, Duration::from_millis(40));
        load.close_surplus();
        most = most.max(load.opened);
        load.pass(Duration::from_secs(2), 1, Duration::from_millis(40));
        load.close_surplus();
        assert!(load.opened + 1 >= most, "{} of {most}", load.opened);
    }
}
