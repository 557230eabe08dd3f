//! Minimum shares, share groups and late service at a primary that is always busy.

mod fixture;

use fixture::OTHER_REPLICA;
use fixture::PRIMARY;
use fixture::REPLICA;
use fixture::create_group;
use fixture::read;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::CustomerTerms;
use ragwort_policy::ExcessRule;
use ragwort_policy::FinishOutcome;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::CustomerName;
use ragwort_types::InstanceName;
use ragwort_types::KindName;
use ragwort_types::PriorityLevel;
use ragwort_types::ShareGroupName;
use std::collections::BTreeMap;
use std::time::Duration;

/// A kind of requests to the primary that always wait.
#[derive(Clone, Copy)]
struct SteadyKind {
    customer: &'static str,
    name: &'static str,
    level: Option<u8>,
    run: Duration,
}

/// A primary with two slots, and kinds of which a number of requests always waits.
struct BusyPrimary {
    scheduler: GroupScheduler,
    now: ClockTime,
    next_ticket: u64,
    /// The kind of each request by ticket.
    kinds: BTreeMap<u64, SteadyKind>,
    ends: Vec<(ClockTime, u64)>,
    served: BTreeMap<&'static str, Duration>,
}

impl BusyPrimary {
    fn new(groups: [Option<&str>; 3]) -> Self {
        let mut scheduler = create_group(400, "north", ExcessRule::Forbidden);
        let customers = ["directorate", "clinics", "intake"];
        let terms = customers
            .into_iter()
            .zip(groups)
            .map(|(customer, group)| CustomerTerms {
                customer: CustomerName::from(customer),
                slot_share: 1,
                queue_limit: 400,
                connection_limit: 4,
                share_group: group.map(ShareGroupName::from),
            });
        scheduler.set_contracts(&terms.collect::<Vec<_>>());
        for replica in [REPLICA, OTHER_REPLICA] {
            scheduler.remove_endpoint(ClockTime(0), &InstanceName::from(replica));
        }
        for _ in 0..3 {
            scheduler.connection_opened(&InstanceName::from(PRIMARY));
        }
        Self {
            scheduler,
            now: ClockTime(1_000_000),
            next_ticket: 0,
            kinds: BTreeMap::new(),
            ends: Vec::new(),
            served: BTreeMap::new(),
        }
    }

    fn profile(&mut self, kind: SteadyKind, target: u64, deadline: u64) -> RequestProfile {
        self.next_ticket += 1;
        self.kinds.insert(self.next_ticket, kind);
        RequestProfile {
            customer: CustomerName::from(kind.customer),
            kind: KindName::from(kind.name),
            priority: kind.level.map(PriorityLevel),
            target: Some(self.now + Duration::from_millis(target)),
            deadline: self.now + Duration::from_millis(deadline),
            max_age: Duration::ZERO,
            ..read(self.next_ticket, self.now, 0)
        }
    }

    /// Lets a request arrive; returns its ticket.
    fn arrive(&mut self, kind: SteadyKind, target: u64, deadline: u64) -> u64 {
        let profile = self.profile(kind, target, deadline);
        let ticket = profile.ticket.0;
        if self.scheduler.arrive(self.now, profile) != ArrivalDecision::Queued {
            self.kinds.remove(&ticket);
        }
        ticket
    }

    /// Carries out what is due now, then passes to the next end of a run, or by a millisecond.
    /// Returns the tickets that were refused.
    fn step(&mut self) -> Vec<u64> {
        let mut refused = Vec::new();
        for decision in self.scheduler.poll(self.now) {
            match decision {
                SchedulerDecision::Dispatch(order) => {
                    let kind = self.kinds.remove(&order.ticket.0).unwrap();
                    self.ends.push((self.now + kind.run, order.ticket.0));
                    *self.served.entry(kind.name).or_default() += kind.run;
                }
                SchedulerDecision::Refuse(order) => {
                    self.kinds.remove(&order.ticket.0);
                    refused.push(order.ticket.0);
                }
                SchedulerDecision::OpenConnection(_) => {}
            }
        }
        self.ends.sort_unstable();
        let next = self.now + Duration::from_millis(1);
        match self.ends.first().copied() {
            Some((end, ticket)) if end <= next => {
                self.ends.remove(0);
                self.now = end;
                self.scheduler
                    .finished(end, RequestTicket(ticket), FinishOutcome::Answered);
            }
            _ => self.now = next,
        }
        refused
    }

    /// Keeps ten requests of each kind waiting for a time. Returns each kind's share of slot time.
    fn saturate(&mut self, kinds: &[SteadyKind], length: Duration) -> Vec<f64> {
        let end = self.now + length;
        self.served.clear();
        while self.now < end {
            for kind in kinds {
                let waiting = self.kinds.values().filter(|known| known.name == kind.name);
                for _ in waiting.count()..10 {
                    self.arrive(*kind, 300, 1_200);
                }
            }
            self.step();
        }
        let total: Duration = self.served.values().sum();
        let served = kinds.iter().map(|kind| {
            let served = self.served.get(kind.name).copied().unwrap_or_default();
            served.as_secs_f64() / total.as_secs_f64()
        });
        served.collect()
    }
}

const fn steady(name: &'static str, level: Option<u8>, millis: u64) -> SteadyKind {
    SteadyKind {
        customer: "directorate",
        name,
        level,
        run: Duration::from_millis(millis),
    }
}

/// The first level alone asks for more than all slots. The lower ones must keep their minimum
/// shares of 5 %, and no more than these.
#[test]
fn lower_levels_keep_their_minimum_shares() {
    let mut primary = BusyPrimary::new([None; 3]);
    let kinds = [
        steady("checkout", Some(0), 10),
        steady("holds", Some(1), 30),
        steady("browse", Some(2), 50),
    ];
    let shares = primary.saturate(&kinds, Duration::from_secs(20));
    for share in &shares[1..] {
        assert!((0.045..0.065).contains(share), "{shares:?}");
    }
}

/// Cheap operations alone ask for more than all slots while slots are scarce. Costlier ones must
/// keep their minimum shares of 3 %, and no more than these.
#[test]
fn costlier_kinds_keep_their_minimum_shares() {
    let mut primary = BusyPrimary::new([Some("callers"), None, None]);
    let kinds = [
        steady("status", None, 5),
        steady("update", None, 20),
        steady("statement", None, 80),
    ];
    primary.saturate(&kinds, Duration::from_secs(5));
    let shares = primary.saturate(&kinds, Duration::from_secs(20));
    for share in &shares[1..] {
        assert!((0.025..0.045).contains(share), "{shares:?}");
    }
}

/// Two contracts of a share group and one without compete for all slots. The group must get one
/// share; two would take from the third customer what it has paid for.
#[test]
fn share_group_has_one_share() {
    let group = Some("callers");
    let mut primary = BusyPrimary::new([group, group, None]);
    let kinds = ["directorate", "clinics", "intake"].map(|customer| SteadyKind {
        customer,
        ..steady(customer, None, 10)
    });
    let shares = primary.saturate(&kinds, Duration::from_secs(5));
    assert!((0.48..0.52).contains(&shares[2]), "{shares:?}");
}

/// A request that misses its target must be served late while a slot is idle before its deadline.
/// With the margin for requests that may overtake it, its caller was refused although the slots
/// were idle half a second later.
#[test]
fn late_request_is_served_from_idle_slots() {
    for level in [None, Some(1)] {
        let mut primary = BusyPrimary::new([None; 3]);
        let kind = steady("update", level, 8);
        let mut refused = Vec::new();
        for _ in 0..60 {
            primary.arrive(kind, 40, 400);
        }
        for _ in 0..200 {
            refused.extend(primary.step());
        }
        // 60 runs of 8 ms take 240 ms in two slots.
        assert_eq!(refused.is_empty(), level.is_some());
    }
}

/// When no room is left before the deadline, refusals must come at once, and only for the
/// requests that find none.
#[test]
fn request_without_room_is_refused_at_once() {
    let mut primary = BusyPrimary::new([None; 3]);
    let kind = steady("update", Some(1), 8);
    primary.saturate(&[kind], Duration::from_millis(500));
    for _ in 0..50 {
        primary.step();
    }
    let tickets: Vec<u64> = (0..60).map(|_| primary.arrive(kind, 40, 120)).collect();
    let refused = primary.step();
    let served = tickets.len() - refused.len();
    assert!((22..=30).contains(&served), "{served} find room");
    for _ in 0..100 {
        assert_eq!(primary.step(), [], "a request that found room was refused");
    }
}

/// A customer's queue is full of requests of a low level. One of the first level must displace the
/// last of them; refused, its caller would wait for those that it goes before.
#[test]
fn first_level_enters_a_full_queue() {
    let mut primary = BusyPrimary::new([None; 3]);
    let low = steady("browse", Some(2), 50);
    for _ in 0..402 {
        primary.arrive(low, 60_000, 60_000);
        if primary.ends.len() < 2 {
            primary.step();
        }
    }
    let first = primary.arrive(steady("checkout", Some(0), 10), 300, 1_200);
    assert!(primary.kinds.contains_key(&first), "refused at its arrival");
    let refused = primary.step();
    assert_eq!(refused.len(), 1);
    assert_ne!(refused[0], first);
    let last = primary.arrive(low, 60_000, 60_000);
    assert!(!primary.kinds.contains_key(&last), "the queue is full");
}

/// Scarcity must begin with the first request that misses its target, and end a second after the
/// last one: operators are told of it, and operations are ordered by cost until then.
#[test]
fn scarcity_begins_and_ends() {
    let mut primary = BusyPrimary::new([Some("callers"), None, None]);
    let kind = steady("update", None, 8);
    let scarcity = |primary: &BusyPrimary| primary.scheduler.scarcity(primary.now);
    primary.arrive(kind, 40, 400);
    primary.step();
    assert_eq!(scarcity(&primary).periods, 0);
    for _ in 0..60 {
        primary.arrive(kind, 40, 400);
    }
    primary.step();
    assert!(scarcity(&primary).lasts_micros.is_some());
    for _ in 0..1_500 {
        primary.step();
    }
    let after = scarcity(&primary);
    assert_eq!((after.lasts_micros, after.periods), (None, 1));
    let levels = primary.scheduler.snapshot(primary.now).levels;
    assert!(levels[1].counts.dispatched_late > 0);
}

/// Runs of a lower level end far sooner than expected while it has used more than its share. The
/// time that is returned must not lift it above its share, where it would go before the first
/// level.
#[test]
fn shorter_runs_lift_no_level_above_its_share() {
    let mut primary = BusyPrimary::new([None; 3]);
    let low = steady("holds", Some(1), 60);
    primary.saturate(&[low], Duration::from_secs(3));
    for _ in 0..6 {
        primary.arrive(low, 1_000, 1_200);
        for end in &mut primary.ends {
            end.0 = primary.now;
        }
        primary.step();
    }
    let first = steady("checkout", Some(0), 10);
    for _ in 0..40 {
        primary.arrive(first, 1_000, 1_200);
        primary.arrive(low, 1_000, 1_200);
    }
    primary.served.clear();
    for _ in 0..4 {
        primary.step();
    }
    assert_eq!(primary.served.keys().collect::<Vec<_>>(), [&"checkout"]);
}
