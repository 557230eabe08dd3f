//! What must hold of a scheduler's decisions whatever happens, over random events.

mod fixture;

use fixture::OTHER_REPLICA;
use fixture::PRIMARY;
use fixture::REPLICA;
use fixture::create_group;
use fixture::endpoint;
use fixture::read;
use fixture::write;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use ragwort_policy::AbandonEffect;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::FinishDecision;
use ragwort_policy::FinishOutcome;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::CustomerName;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::UrgencyClass;
use std::collections::BTreeMap;
use std::time::Duration;

const NAMES: [&str; 3] = [PRIMARY, REPLICA, OTHER_REPLICA];
const ROLES: [EndpointRole; 3] = [
    EndpointRole::Primary,
    EndpointRole::Replica,
    EndpointRole::Unusable,
];

#[derive(Clone, Debug)]
enum GroupEvent {
    Pass(u16),
    Arrive(u8, u16),
    Begin(),
    Continue(u8),
    Unpin(u8),
    Finish(u8, u8),
    Abandon(u8),
    Connect(u8),
    FailConnect(u8),
    Disconnect(u8),
    Report(u8, u8, u16),
    Change(u8, u8, bool),
    Remove(u8),
}

impl Arbitrary for GroupEvent {
    fn arbitrary(random: &mut Gen) -> Self {
        let (first, second) = (u8::arbitrary(random), u8::arbitrary(random));
        let number = u16::arbitrary(random);
        match u8::arbitrary(random) % 40 {
            0..6 => Self::Pass(number % 20_000),
            6..17 => Self::Arrive(first, number),
            17 => Self::Begin(),
            18 => Self::Continue(first),
            19 => Self::Unpin(first),
            20..29 => Self::Finish(first, second),
            29 => Self::Abandon(first),
            30..33 => Self::Connect(first % 3),
            33 => Self::FailConnect(first % 3),
            34 => Self::Disconnect(first % 3),
            35..38 => Self::Report(first % 3, second % 8, number % 800),
            38 => Self::Change(first % 3, second % 3, bool::arbitrary(random)),
            _ => Self::Remove(first % 3),
        }
    }
}

/// An endpoint as the test remembers it.
#[derive(Clone, Debug)]
struct KnownEndpoint {
    role: Option<EndpointRole>,
    leaving: bool,
    position: LogPosition,
    age: Option<(ClockTime, Duration)>,
    running: Vec<RequestTicket>,
    open: u32,
    opening: u32,
}

/// A scheduler, and what the test knows without asking it.
struct GroupModel {
    scheduler: GroupScheduler,
    now: ClockTime,
    next: u64,
    waiting: BTreeMap<RequestTicket, RequestProfile>,
    running: Vec<(RequestTicket, RequestProfile, usize)>,
    endpoints: Vec<KnownEndpoint>,
    pins: BTreeMap<RequestTicket, usize>,
}

impl GroupModel {
    fn new() -> Self {
        let endpoints = ROLES[..2]
            .iter()
            .chain(&ROLES[1..2])
            .map(|role| KnownEndpoint {
                role: Some(*role),
                leaving: false,
                position: LogPosition::default(),
                age: None,
                running: Vec::new(),
                open: 0,
                opening: 0,
            });
        Self {
            scheduler: create_group(20),
            now: ClockTime(1_000_000),
            next: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            endpoints: endpoints.collect(),
            pins: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: &GroupEvent) {
        match *event {
            GroupEvent::Pass(micros) => {
                self.now = self.now + Duration::from_micros(u64::from(micros));
            }
            GroupEvent::Arrive(shape, millis) => self.arrive_single(shape, millis),
            GroupEvent::Begin() => self.arrive_step(RequestStep::Opens),
            GroupEvent::Continue(which) => {
                if let Some(opener) = pick(self.pins.keys().copied(), which) {
                    self.arrive_step(RequestStep::Within(opener));
                }
            }
            GroupEvent::Unpin(which) => {
                if let Some(opener) = pick(self.pins.keys().copied(), which) {
                    self.pins.remove(&opener);
                    self.scheduler.unpin(self.now, opener);
                }
            }
            GroupEvent::Finish(which, outcome) => self.finish(which, outcome),
            GroupEvent::Abandon(which) => {
                if let Some(ticket) = pick(self.waiting.keys().copied(), which) {
                    self.waiting.remove(&ticket);
                    let effect = self.scheduler.abandon(ticket);
                    assert_eq!(effect, AbandonEffect::Removed);
                }
            }
            GroupEvent::Connect(index) => self.connect(usize::from(index)),
            GroupEvent::FailConnect(index) => {
                let endpoint = &mut self.endpoints[usize::from(index)];
                if endpoint.opening > 0 {
                    endpoint.opening -= 1;
                    self.scheduler.connection_failed(self.now, &name(index));
                }
            }
            GroupEvent::Disconnect(index) => {
                let used = self.used_connections(usize::from(index));
                let endpoint = &mut self.endpoints[usize::from(index)];
                if endpoint.open as usize > used {
                    endpoint.open -= 1;
                    self.scheduler.connection_closed(&name(index));
                }
            }
            GroupEvent::Report(index, position, millis) => self.report(index, position, millis),
            GroupEvent::Change(index, role, leaving) => self.change(index, role, leaving),
            GroupEvent::Remove(index) => self.remove(usize::from(index)),
        }
        self.poll();
    }

    fn arrive_single(&mut self, shape: u8, millis: u16) {
        let time = Duration::from_millis(u64::from(millis % 600));
        let base = match shape & 1 {
            0 => write(self.next, self.now),
            _ => read(self.next, self.now, u64::from(shape >> 5)),
        };
        let profile = RequestProfile {
            customer: CustomerName::from(["directorate", "clinics"][usize::from(shape >> 1 & 1)]),
            session: u64::from(shape >> 2 & 3),
            key: (shape & 16 != 0).then_some(u64::from(shape >> 6)),
            urgency: match shape >> 2 & 3 {
                0 => UrgencyClass::Urgent,
                _ => UrgencyClass::Ordinary,
            },
            length: match shape >> 4 & 3 {
                0 => LengthClass::Long,
                _ => LengthClass::Short,
            },
            max_age: match shape & 1 {
                0 => Duration::ZERO,
                _ => Duration::from_millis(u64::from(shape) * 4),
            },
            deadline: self.now + time,
            ..base
        };
        self.arrive(profile);
    }

    fn arrive_step(&mut self, step: RequestStep) {
        let base = write(self.next, self.now);
        self.arrive(RequestProfile { step, ..base });
    }

    fn arrive(&mut self, profile: RequestProfile) {
        self.next += 1;
        let decision = self.scheduler.arrive(self.now, profile.clone());
        if decision == ArrivalDecision::Queued {
            self.waiting.insert(profile.ticket, profile);
        }
    }

    fn finish(&mut self, which: u8, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let place = usize::from(which) % self.running.len();
        let (ticket, profile, index) = self.running.remove(place);
        self.endpoints[index]
            .running
            .retain(|running| *running != ticket);
        let outcome = match outcome % 8 {
            0 => FinishOutcome::NotRun,
            1 => FinishOutcome::Lost,
            _ => FinishOutcome::Answered,
        };
        if outcome != FinishOutcome::Answered {
            self.pins.remove(&ticket);
        }
        match self.scheduler.finished(self.now, ticket, outcome) {
            FinishDecision::Requeued => {
                assert_ne!(outcome, FinishOutcome::Answered);
                assert!(profile.deadline > self.now);
                self.waiting.insert(ticket, profile);
            }
            FinishDecision::Refused(_) => assert_eq!(outcome, FinishOutcome::NotRun),
            FinishDecision::Settled => assert_ne!(outcome, FinishOutcome::NotRun),
            FinishDecision::Unknown => panic!("a running request is unknown"),
        }
    }

    fn connect(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.opening > 0 {
            endpoint.opening -= 1;
            endpoint.open += 1;
            let instance = InstanceName::from(NAMES[index]);
            self.scheduler.connection_opened(&instance);
        }
    }

    fn report(&mut self, index: u8, position: u8, millis: u16) {
        let endpoint = &mut self.endpoints[usize::from(index)];
        if endpoint.role.is_none() {
            return;
        }
        let age = Duration::from_millis(u64::from(millis));
        endpoint.position = LogPosition::new(GroupTerm(1), u64::from(position));
        endpoint.age = Some((self.now, age));
        self.scheduler
            .report_position(self.now, &name(index), endpoint.position, age);
    }

    fn change(&mut self, index: u8, role: u8, leaving: bool) {
        let role = ROLES[usize::from(role)];
        let endpoint_model = &mut self.endpoints[usize::from(index)];
        endpoint_model.role = Some(role);
        endpoint_model.leaving = leaving;
        let state = EndpointState {
            leaving,
            ..endpoint(NAMES[usize::from(index)], role)
        };
        self.scheduler.set_endpoint(self.now, state);
    }

    fn remove(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.role = None;
        endpoint.open = 0;
        endpoint.opening = 0;
        endpoint.age = None;
        self.pins.retain(|_, pinned| *pinned != index);
        let instance = InstanceName::from(NAMES[index]);
        self.scheduler.remove_endpoint(self.now, &instance);
    }

    fn poll(&mut self) {
        for decision in self.scheduler.poll(self.now) {
            self.check(decision);
        }
        let again = self.scheduler.poll(self.now);
        assert_eq!(again, [], "a poll leaves undecided what it could decide");
        self.check_waiting();
    }

    fn check(&mut self, decision: SchedulerDecision) {
        match decision {
            SchedulerDecision::Dispatch(order) => {
                let Some(profile) = self.waiting.remove(&order.ticket) else {
                    panic!("dispatched without waiting");
                };
                self.check_dispatch(profile, index_of(&order.instance));
            }
            SchedulerDecision::Refuse(order) => {
                let waited = self.waiting.remove(&order.ticket);
                assert!(waited.is_some(), "refused without waiting");
            }
            SchedulerDecision::OpenConnection(instance) => {
                let endpoint = &mut self.endpoints[index_of(&instance)];
                assert!(endpoint.role.is_some() && !endpoint.leaving);
                endpoint.opening += 1;
                assert!(endpoint.open + endpoint.opening <= 13, "over the budget");
            }
        }
    }

    fn check_dispatch(&mut self, profile: RequestProfile, index: usize) {
        assert!(profile.deadline > self.now, "dispatched after its deadline");
        let endpoint = &mut self.endpoints[index];
        endpoint.running.push(profile.ticket);
        assert!(endpoint.running.len() <= 2, "more statements than slots");
        match profile.step {
            RequestStep::Within(opener) => assert_eq!(self.pins.get(&opener), Some(&index)),
            RequestStep::Opens => {
                assert!(!endpoint.leaving && endpoint.role == Some(EndpointRole::Primary));
                self.pins.insert(profile.ticket, index);
            }
            RequestStep::Single => check_fitness(&profile, endpoint, self.now),
        }
        self.running.push((profile.ticket, profile, index));
        self.check_connections(index);
    }

    fn check_connections(&self, index: usize) {
        let used = self.used_connections(index);
        assert!(
            used <= self.endpoints[index].open as usize,
            "more than the open connections"
        );
    }

    fn used_connections(&self, index: usize) -> usize {
        let single = self
            .running
            .iter()
            .filter(|(_, profile, at)| *at == index && profile.step == RequestStep::Single);
        let pinned = self.pins.values().filter(|pinned| **pinned == index);
        single.count() + pinned.count()
    }

    /// Checks that nothing waits that the scheduler's own estimate gives no chance.
    fn check_waiting(&self) {
        let snapshot = self.scheduler.snapshot(self.now);
        let waiting = snapshot.waiting_ordinary + snapshot.waiting_urgent + snapshot.waiting_pinned;
        assert_eq!(waiting, self.waiting.len());
        for profile in self.waiting.values() {
            let kind = snapshot
                .kinds
                .iter()
                .find(|kind| kind.customer == profile.customer && kind.kind == profile.kind);
            let expected = kind.map_or(0, |kind| kind.expected_micros);
            let stranded = !self
                .endpoints
                .iter()
                .any(|known| known.role == Some(EndpointRole::Primary) && !known.leaving);
            let end = self.now + Duration::from_micros(expected);
            assert!(
                stranded || end <= profile.deadline,
                "waits without a chance"
            );
        }
    }
}

fn check_fitness(profile: &RequestProfile, endpoint: &KnownEndpoint, now: ClockTime) {
    assert!(!endpoint.leaving, "fresh work for an endpoint that leaves");
    match endpoint.role {
        Some(EndpointRole::Primary) => {}
        Some(EndpointRole::Replica) => {
            assert!(profile.allows_replica());
            assert!(
                endpoint.position.covers(profile.min_position),
                "misses a write"
            );
            let Some((reported, age)) = endpoint.age else {
                panic!("a replica of unknown age");
            };
            assert!(age + now.since(reported) <= profile.max_age, "too old");
        }
        Some(EndpointRole::Unusable) | None => panic!("an unusable endpoint"),
    }
}

fn name(index: u8) -> InstanceName {
    InstanceName::from(NAMES[usize::from(index)])
}

fn index_of(instance: &InstanceName) -> usize {
    let index = NAMES.iter().position(|known| *known == instance.as_str());
    index.unwrap_or_else(|| panic!("an unknown instance"))
}

fn pick<T>(mut items: impl ExactSizeIterator<Item = T>, which: u8) -> Option<T> {
    let count = items.len().max(1);
    items.nth(usize::from(which) % count)
}

fn keeps_all_invariants(events: Vec<GroupEvent>) -> bool {
    let mut model = GroupModel::new();
    for event in &events {
        model.apply(event);
    }
    true
}

macro_rules! seeded_cases {
    ($($name:ident($seed:expr, $size:expr, $runs:expr);)*) => {$(
        /// Random requests, ends, losses, reports and changes of endpoints. No order of them may lead to
        /// a slot or connection used twice, a read of missing or old data, a run after the deadline, two
        /// answers for one request, or a refusal that comes later than it could.
        #[test]
        fn $name() {
            QuickCheck::new()
                .rng(Gen::from_size_and_seed($size, $seed))
                .tests($runs)
                .quickcheck(keeps_all_invariants as fn(Vec<GroupEvent>) -> bool);
        }
    )*};
}

seeded_cases! {
    short_histories(1, 60, 4_000);
    middle_histories(2, 300, 2_000);
    long_histories(3, 2_000, 400);
}

macro_rules! found_cases {
    ($($(#[$doc:meta])* $name:ident($($event:ident($($value:expr),*)),* $(,)?);)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let events = vec![$(GroupEvent::$event($($value),*)),*];
            assert!(keeps_all_invariants(events));
        }
    )*};
}

found_cases! {
    /// A replica falls behind after the primary is gone. The read that waited for the replica was
    /// refused only at the next review, because its lane was still the replicas'.
    read_is_stranded_at_once(
        Arrive(125, 32219), Report(1, 6, 275), Remove(0), Report(1, 2, 111),
    );

    /// A replica is removed while a request runs on it and comes back at once. Its position from before
    /// was taken for the present one.
    position_is_forgotten_with_its_endpoint(
        Arrive(1, 47090), Connect(1), Arrive(183, 414), Report(1, 3, 1), Arrive(79, 42995),
        Remove(1), Change(1, 1, false), Connect(1), Finish(132, 97),
    );

    /// A transaction takes the only open connection. The plan still counted on it, so a request that
    /// had to wait for another connection was refused later than could be known.
    transaction_takes_the_connection(
        Arrive(1, 33155), Connect(0), Arrive(241, 49699), Finish(181, 62), Arrive(1, 41956),
        Finish(243, 58), Arrive(161, 19671), Arrive(242, 63686), Finish(175, 106), Remove(0),
        Finish(167, 116), Change(0, 1, false), Connect(2), Report(0, 7, 55), Report(2, 3, 292),
        Arrive(127, 58990), Finish(136, 13), Change(2, 2, true), Arrive(97, 31045),
        Arrive(79, 24224), Pass(10658), Pass(13990), Change(0, 0, false), Pass(16038),
        Arrive(98, 14553), Pass(5535), Arrive(49, 45915), Pass(13212), Pass(5535), Connect(0),
        Begin(), Finish(206, 161), Pass(10521), Finish(115, 20), Finish(232, 0),
    );

    /// A new request was refused after the plan had been made with it. The plan without it gave another
    /// request no chance, which learned so one poll too late.
    refused_newcomer_is_not_planned(
        FailConnect(2), Connect(0), Connect(0), Arrive(203, 260), Arrive(115, 13753),
        Arrive(221, 46236), Arrive(210, 57715), Pass(9965), Pass(9977), Pass(3656),
        Finish(137, 170), Finish(48, 255), Finish(147, 245), Begin(), Change(2, 2, true),
        Pass(14526), Finish(168, 226), Arrive(45, 52386), Pass(8587), Pass(15678), Pass(10675),
        Arrive(9, 50878), Pass(7475), Finish(90, 20), Remove(0), Connect(1), Report(1, 7, 141),
        Finish(60, 144), Arrive(133, 55825), Arrive(135, 12398), Pass(16372), Remove(1),
        Arrive(20, 17089), Begin(), Arrive(33, 4261), Pass(12221), Arrive(224, 8665),
        Arrive(144, 5006), Finish(218, 93), Arrive(113, 22997), Change(2, 0, false),
        Arrive(1, 11921), Arrive(240, 22486), Pass(12278), Arrive(29, 49467), Pass(18267),
        Pass(4788), Pass(10223), Pass(5535), Pass(5535), Pass(13981), Pass(11197),
        Arrive(194, 9500), Pass(7249), Pass(7950), Pass(9116), Pass(13408), Arrive(43, 458),
        Pass(10362), Pass(5992), Pass(3969), Pass(8417), Pass(8727), Connect(2), Pass(2468),
        Pass(10368), Pass(4448), Finish(45, 80), Arrive(160, 28289), Pass(3133), Pass(5222),
        Arrive(208, 54805), Pass(12781), Arrive(97, 18441), Finish(40, 200),
    );
}
