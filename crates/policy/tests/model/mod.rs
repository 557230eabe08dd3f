//! A scheduler and a model of its state, checked against each other over random events.

use crate::fixture::OTHER_REPLICA;
use crate::fixture::PRIMARY;
use crate::fixture::REPLICA;
use crate::fixture::create_group;
use crate::fixture::endpoint;
use crate::fixture::read;
use crate::fixture::write;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_policy::AbandonEffect;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::ExcessRule;
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
use ragwort_types::PriorityLevel;
use ragwort_types::ShareGroupName;
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
pub enum GroupEvent {
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

/// The expected state of an endpoint.
#[derive(Clone, Debug)]
struct ExpectedEndpoint {
    role: Option<EndpointRole>,
    leaving: bool,
    position: LogPosition,
    age: Option<(ClockTime, Duration)>,
    running: Vec<RequestTicket>,
    open: u32,
    opening: u32,
}

/// A scheduler, and its expected state as tracked by the test.
pub struct GroupModel {
    scheduler: GroupScheduler,
    now: ClockTime,
    next_ticket: u64,
    /// The maximum number of statements in flight to one endpoint.
    max_running: usize,
    /// Whether requests have priority levels.
    levelled: bool,
    waiting: BTreeMap<RequestTicket, RequestProfile>,
    running: Vec<(RequestTicket, RequestProfile, usize)>,
    endpoints: Vec<ExpectedEndpoint>,
    pins: BTreeMap<RequestTicket, usize>,
    /// Whether a part of the requests is rejected or fails.
    uneven: bool,
}

impl GroupModel {
    pub fn new(home: &str, excess: ExcessRule) -> Self {
        let endpoints = ROLES[..2]
            .iter()
            .chain(&ROLES[1..2])
            .map(|role| ExpectedEndpoint {
                role: Some(*role),
                leaving: false,
                position: LogPosition::default(),
                age: None,
                running: Vec::new(),
                open: 0,
                opening: 0,
            });
        Self {
            scheduler: create_group(20, home, excess),
            max_running: match excess {
                ExcessRule::Forbidden => 2,
                ExcessRule::Waits => 4,
            },
            levelled: false,
            now: ClockTime(1_000_000),
            next_ticket: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            endpoints: endpoints.collect(),
            pins: BTreeMap::new(),
            uneven: false,
        }
    }

    /// Lets endpoints reject and fail a part of the requests.
    pub fn with_uneven_endpoints(self) -> Self {
        Self {
            uneven: true,
            ..self
        }
    }

    /// Puts both customers into one share group and gives most requests a priority level.
    pub fn with_levels(mut self) -> Self {
        let terms = ["directorate", "clinics"].map(|customer| CustomerTerms {
            customer: CustomerName::from(customer),
            slot_share: 1,
            queue_limit: 20,
            connection_limit: 4,
            share_group: Some(ShareGroupName::from("callers")),
        });
        self.scheduler.set_contracts(&terms);
        self.levelled = true;
        self
    }

    pub fn apply(&mut self, event: &GroupEvent) {
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
            0 => write(self.next_ticket, self.now),
            _ => read(self.next_ticket, self.now, u64::from(shape >> 5)),
        };
        let profile = RequestProfile {
            customer: CustomerName::from(["directorate", "clinics"][usize::from(shape >> 1 & 1)]),
            session: u64::from(shape >> 2 & 3),
            account: None,
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
            priority: (self.levelled && shape >> 2 & 3 != 3)
                .then_some(PriorityLevel(shape >> 2 & 3)),
            deadline: self.now + time,
            target: (shape & 8 != 0).then_some(self.now + time / 3),
            ..base
        };
        self.arrive(profile);
    }

    fn arrive_step(&mut self, step: RequestStep) {
        let base = write(self.next_ticket, self.now);
        self.arrive(RequestProfile { step, ..base });
    }

    fn arrive(&mut self, profile: RequestProfile) {
        self.next_ticket += 1;
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
            2 => FinishOutcome::NotSent,
            3 => FinishOutcome::Behind,
            4 | 5 if self.uneven => FinishOutcome::Rejected,
            6 if self.uneven => FinishOutcome::Failed,
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
            FinishDecision::Refused(_) => {
                assert!(matches!(
                    outcome,
                    FinishOutcome::NotRun
                        | FinishOutcome::Rejected
                        | FinishOutcome::Behind
                        | FinishOutcome::NotSent
                ));
            }
            FinishDecision::Settled => {
                assert!(matches!(
                    outcome,
                    FinishOutcome::Answered | FinishOutcome::Failed | FinishOutcome::Lost
                ));
            }
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
        assert_eq!(
            again,
            [],
            "a second poll at the same time returned decisions"
        );
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
        let sent = endpoint.running.len();
        assert!(sent <= self.max_running, "more statements than slots");
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

    /// Checks that no request waits that can't end in time by the scheduler's own estimate.
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
            let no_primary = !self
                .endpoints
                .iter()
                .any(|known| known.role == Some(EndpointRole::Primary) && !known.leaving);
            let end = self.now + Duration::from_micros(expected);
            assert!(
                no_primary || end <= profile.deadline,
                "a waiting request can no longer end in time"
            );
        }
    }
}

fn check_fitness(profile: &RequestProfile, endpoint: &ExpectedEndpoint, now: ClockTime) {
    assert!(!endpoint.leaving, "new work for a leaving endpoint");
    match endpoint.role {
        Some(EndpointRole::Primary) => {}
        Some(EndpointRole::Replica) => {
            assert!(profile.allows_replica());
            assert!(
                endpoint.position.covers(profile.min_position),
                "the replica lacks the session's last write"
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
