//! Discrete-event simulation in virtual time.
//!
//! Arrivals, run times and positions are drawn from the seed before the policy sees anything, so
//! that two policies meet the same load.

use super::draw::CONNECT_TIME;
use super::draw::DrawnRequest;
use super::draw::EndpointModel;
use super::draw::INSTANCE_NAMES;
use super::draw::INSTANCES;
use super::draw::PolicyModel;
use super::draw::REPORT_INTERVAL;
use super::draw::RunnerEvent;
use super::draw::SLOTS;
use super::draw::create_plain;
use super::draw::create_scheduler;
use super::draw::draw_requests;
use super::draw::find_instance;
use super::faults::FaultModel;
use super::faults::REFUSED_OPEN_TIME;
use super::outcome::LoadOutcome;
use super::outcome::SourceName;
use super::patterns::LoadPattern;
use super::patterns::LoadSource;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::ExcessRule;
use ragwort_policy::FinishOutcome;
use ragwort_policy::ModuleSwitches;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_types::AccessMode;
use ragwort_types::CustomerName;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::KindName;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::RepeatRule;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The policy of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The baseline: first come first served, least connections.
    Plain,
    /// The crate's scheduler with these modules in use.
    Scheduler(ModuleSwitches),
    /// The crate's scheduler, sending statements ahead to endpoints that queue them.
    Ahead,
}

/// Runs a pattern and returns the outcomes for its callers.
pub fn run_pattern(pattern: &LoadPattern, policy: PolicyChoice, seed: u64) -> LoadOutcome {
    let mut runner = LoadRunner::new(pattern, policy, seed);
    runner.run();
    runner.outcome
}

pub(super) struct LoadRunner<'a> {
    pub(super) pattern: &'a LoadPattern,
    pub(super) requests: Vec<DrawnRequest>,
    profiles: BTreeMap<RequestTicket, RequestProfile>,
    pub(super) endpoints: Vec<EndpointModel>,
    choice: PolicyChoice,
    pub(super) policy: PolicyModel,
    events: BinaryHeap<Reverse<(ClockTime, u64, RunnerEvent)>>,
    sequence: u64,
    pub(super) now: ClockTime,
    /// The completion time of each write, in order: the primary's log.
    log: Vec<ClockTime>,
    sessions: HashMap<(usize, u64), u64>,
    reported: (ClockTime, u64),
    next_wake: Option<ClockTime>,
    pub(super) outcome: LoadOutcome,
    pub(super) faults: FaultModel,
}

impl<'a> LoadRunner<'a> {
    fn new(pattern: &'a LoadPattern, choice: PolicyChoice, seed: u64) -> Self {
        let open = if pattern.warm { SLOTS + 1 } else { 0 };
        let endpoints = (0..INSTANCES).map(|_| EndpointModel {
            held: 0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            key_free: HashMap::new(),
            open,
        });
        let policy = match choice {
            PolicyChoice::Plain => PolicyModel::Plain(create_plain(pattern, open)),
            PolicyChoice::Scheduler(modules) => {
                let rule = ExcessRule::Forbidden;
                let scheduler = create_scheduler(pattern, modules, rule, seed, open);
                PolicyModel::Scheduler(Box::new(scheduler))
            }
            PolicyChoice::Ahead => {
                let (modules, rule) = (ModuleSwitches::default(), ExcessRule::Waits);
                let scheduler = create_scheduler(pattern, modules, rule, seed, open);
                PolicyModel::Scheduler(Box::new(scheduler))
            }
        };
        let mut runner = Self {
            pattern,
            requests: draw_requests(pattern, seed),
            profiles: BTreeMap::new(),
            endpoints: endpoints.collect(),
            choice,
            policy,
            events: BinaryHeap::new(),
            sequence: 0,
            now: ClockTime::default(),
            log: Vec::new(),
            sessions: HashMap::new(),
            reported: (ClockTime::default(), 0),
            next_wake: None,
            outcome: LoadOutcome::default(),
            faults: FaultModel::new(seed),
        };
        if let Some(instance) = pattern.flapping {
            let first = ClockTime::from_millis(1_000);
            runner.schedule(first, RunnerEvent::Down(instance));
        }
        runner.schedule(ClockTime::default(), RunnerEvent::Report);
        for index in 0..runner.requests.len() {
            runner.schedule(runner.requests[index].at, RunnerEvent::Arrive(index));
        }
        runner
    }

    pub(super) fn schedule(&mut self, at: ClockTime, event: RunnerEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(&mut self) {
        let end = ClockTime::default() + self.pattern.length + Duration::from_secs(6);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
            self.poll();
        }
        for ticket in self.profiles.keys().copied().collect::<Vec<_>>() {
            self.settle_late(ticket);
        }
        if let PolicyModel::Scheduler(scheduler) = &self.policy {
            self.outcome.trials = scheduler.snapshot(self.now).counts.trials;
        }
    }

    fn handle(&mut self, event: RunnerEvent) {
        match event {
            RunnerEvent::Arrive(index) => self.arrive(index),
            RunnerEvent::Reach(ticket, instance) if self.refuses(ticket, instance) => {
                let back = self.now + self.delay_to(instance);
                self.schedule(back, RunnerEvent::Reject(ticket, instance));
            }
            RunnerEvent::Reject(ticket, instance) => self.reject(ticket, instance),
            RunnerEvent::Down(instance) => self.go_down(instance),
            RunnerEvent::Up(instance) => self.come_up(instance),
            RunnerEvent::ConnectFailed(instance) => self.fail_connection(instance),
            RunnerEvent::Reach(ticket, instance) => {
                self.endpoints[instance].waiting.push_back(ticket);
                self.start_runs(instance);
            }
            RunnerEvent::End(ticket, instance) => self.end_run(ticket, instance),
            RunnerEvent::Answer(ticket, instance) => self.answer(ticket, instance),
            RunnerEvent::Connected(instance) if self.faults.is_down(instance) => {
                self.fail_connection(instance);
            }
            RunnerEvent::Connected(instance) => {
                self.endpoints[instance].open += 1;
                let open = self.endpoints[instance].open;
                self.outcome.max_connections = self.outcome.max_connections.max(open);
                if let PolicyModel::Scheduler(scheduler) = &mut self.policy {
                    scheduler.connection_opened(&InstanceName::from(INSTANCE_NAMES[instance]));
                }
            }
            RunnerEvent::Report => self.report(),
            RunnerEvent::Wake => self.next_wake = None,
        }
    }

    pub(super) fn source(&self, ticket: RequestTicket) -> &LoadSource {
        &self.pattern.sources[self.requests[ticket.0 as usize].source]
    }

    fn arrive(&mut self, index: usize) {
        let drawn = &self.requests[index];
        let source = &self.pattern.sources[drawn.source];
        let ticket = RequestTicket(index as u64);
        let customer = CustomerName::from(source.customer);
        let session = (drawn.source, drawn.session);
        let position = self.sessions.get(&session).copied().unwrap_or(0);
        let step = match drawn.opener {
            Some(opener) => RequestStep::Within(opener),
            None if drawn.statements > 0 => RequestStep::Opens,
            None => RequestStep::Single,
        };
        let profile = RequestProfile {
            ticket,
            customer,
            kind: KindName::from(source.kind),
            session: drawn.session,
            account: None,
            key: drawn.key,
            access: source.access,
            repeat: RepeatRule::Idempotent,
            urgency: source.urgency,
            length: source.length,
            needs_primary: source.max_age.is_zero(),
            min_position: LogPosition::new(GroupTerm(1), position),
            max_age: source.max_age,
            deadline: self.now + source.deadline,
            target: source.target.map(|target| self.now + target),
            step,
            priority: source.priority,
        };
        let name = SourceName {
            customer: source.customer,
            kind: source.kind,
        };
        let outcome = self.outcome.sources.entry(name).or_default();
        outcome.offered += 1;
        outcome.operations += u64::from(drawn.opener.is_none());
        self.profiles.insert(ticket, profile.clone());
        match &mut self.policy {
            PolicyModel::Plain(plain) => plain.arrive(profile),
            PolicyModel::Scheduler(scheduler) => {
                if let ArrivalDecision::Refused(refusal) = scheduler.arrive(self.now, profile) {
                    let text = format!("{} {ticket:?} {refusal:?}", self.now.0);
                    self.outcome.decisions.add(&text);
                    self.settle_refused(ticket);
                }
            }
        }
    }

    fn poll(&mut self) {
        let now = self.now;
        let (reported, index) = self.reported;
        let age = self.pattern.lag + now.since(reported);
        let position = LogPosition::new(GroupTerm(1), index);
        let decisions = match &mut self.policy {
            PolicyModel::Plain(plain) => {
                let expired = plain.drop_expired(now);
                let dispatches = plain.poll(|profile, instance| {
                    instance == 0
                        || profile.allows_replica()
                            && age <= profile.max_age
                            && position.covers(profile.min_position)
                });
                for ticket in expired {
                    self.settle_late(ticket);
                }
                for dispatch in dispatches {
                    let open = &mut self.endpoints[dispatch.instance].open;
                    *open += u32::from(dispatch.connect);
                    self.outcome.max_connections = self.outcome.max_connections.max(*open);
                    let connect = if dispatch.connect {
                        CONNECT_TIME
                    } else {
                        Duration::ZERO
                    };
                    self.send(dispatch.ticket, dispatch.instance, connect);
                }
                return;
            }
            PolicyModel::Scheduler(scheduler) => scheduler.poll(now),
        };
        for decision in decisions {
            self.carry_out(decision);
        }
        self.check_long_jobs();
        self.plan_wake();
    }

    fn carry_out(&mut self, decision: SchedulerDecision) {
        let text = format!("{} {decision:?}", self.now.0);
        self.outcome.decisions.add(&text);
        match decision {
            SchedulerDecision::Dispatch(order) => {
                let instance = find_instance(&order.instance);
                self.check_dispatch(order.ticket, instance);
                self.send(order.ticket, instance, Duration::ZERO);
            }
            SchedulerDecision::Refuse(order) => self.settle_refused(order.ticket),
            SchedulerDecision::OpenConnection(name) => {
                let instance = find_instance(&name);
                let (after, event) = match self.faults.is_down(instance) {
                    true => (REFUSED_OPEN_TIME, RunnerEvent::ConnectFailed(instance)),
                    false => (CONNECT_TIME, RunnerEvent::Connected(instance)),
                };
                self.schedule(self.now + after, event);
            }
        }
    }

    /// Checks a dispatch against the rules that hold under any load.
    fn check_dispatch(&mut self, ticket: RequestTicket, instance: usize) {
        let Some(profile) = self.profiles.get(&ticket) else {
            panic!("a request that was settled is dispatched");
        };
        assert!(profile.deadline > self.now, "dispatched after its deadline");
        if instance == 0 {
            return;
        }
        let lagged = self.now.before(self.pattern.lag);
        let held = self.log.partition_point(|done| *done <= lagged) as u64;
        assert!(
            held >= profile.min_position.index,
            "the replica lacks the session's last write"
        );
        assert!(
            profile.max_age >= self.pattern.lag,
            "older than the contract allows"
        );
    }

    fn plan_wake(&mut self) {
        let PolicyModel::Scheduler(scheduler) = &self.policy else {
            return;
        };
        let Some(wake) = scheduler.next_wakeup(self.now) else {
            return;
        };
        if self.next_wake.is_none_or(|planned| wake < planned) {
            self.next_wake = Some(wake);
            self.schedule(wake, RunnerEvent::Wake);
        }
    }

    pub(super) fn delay_to(&self, instance: usize) -> Duration {
        if instance == 0 {
            return Duration::ZERO;
        }
        self.pattern.user.domain_delay()
    }

    fn send(&mut self, ticket: RequestTicket, instance: usize, connect: Duration) {
        let reach = self.now + connect + self.delay_to(instance);
        self.outcome.sent[instance] += 1;
        self.schedule(reach, RunnerEvent::Reach(ticket, instance));
        if self.now + Duration::from_secs(1) > ClockTime::default() + self.pattern.length {
            self.outcome.dispatched_at_end[instance] += 1;
        }
        for slow_period in &self.pattern.slow_periods {
            if slow_period.instance == instance
                && (slow_period.from..slow_period.until).contains(&self.now)
            {
                let tenth = self.now.since(slow_period.from).as_millis() as usize / 100;
                let counts = &mut self.outcome.slow_dispatches;
                counts.resize(counts.len().max(tenth + 1), 0);
                counts[tenth] += 1;
            }
        }
    }

    fn slow_factor(&self, instance: usize) -> u32 {
        let slow_periods = self.pattern.slow_periods.iter();
        let present = slow_periods.filter(|slow_period| {
            slow_period.instance == instance
                && (slow_period.from..slow_period.until).contains(&self.now)
        });
        present
            .map(|slow_period| slow_period.factor)
            .max()
            .unwrap_or(1)
    }

    fn start_runs(&mut self, instance: usize) {
        let factor = self.slow_factor(instance);
        while self.endpoints[instance].held < SLOTS {
            let Some(ticket) = self.endpoints[instance].waiting.pop_front() else {
                return;
            };
            let drawn = &self.requests[ticket.0 as usize];
            let endpoint = &mut self.endpoints[instance];
            endpoint.held += 1;
            endpoint.running.push(ticket);
            let mut end = self.now + drawn.run * factor;
            if let Some(key) = drawn.key {
                let free = endpoint.key_free.entry(key).or_default();
                end = (*free).max(self.now) + drawn.run * factor;
                *free = end;
            }
            self.outcome.max_slots = self.outcome.max_slots.max(self.endpoints[instance].held);
            self.schedule(end, RunnerEvent::End(ticket, instance));
        }
        let most_waiting = match self.choice {
            PolicyChoice::Plain => usize::MAX,
            PolicyChoice::Scheduler(_) => 0,
            PolicyChoice::Ahead => SLOTS as usize,
        };
        assert!(
            self.endpoints[instance].waiting.len() <= most_waiting,
            "more statements than slots"
        );
    }

    fn end_run(&mut self, ticket: RequestTicket, instance: usize) {
        if !self.endpoints[instance].running.contains(&ticket) {
            return;
        }
        let endpoint = &mut self.endpoints[instance];
        endpoint.held -= 1;
        endpoint.running.retain(|running| *running != ticket);
        if self.source(ticket).access == AccessMode::Write {
            self.log.push(self.now);
        }
        let back = self.now + self.delay_to(instance);
        self.schedule(back, RunnerEvent::Answer(ticket, instance));
        self.start_runs(instance);
    }

    fn answer(&mut self, ticket: RequestTicket, instance: usize) {
        if self.fails(ticket, instance) {
            return self.fail(ticket);
        }
        match &mut self.policy {
            PolicyModel::Plain(plain) => plain.finished(instance),
            PolicyModel::Scheduler(scheduler) => {
                scheduler.finished(self.now, ticket, FinishOutcome::Answered);
            }
        }
        let drawn = &self.requests[ticket.0 as usize];
        if self.source(ticket).access == AccessMode::Write {
            let session = (drawn.source, drawn.session);
            self.sessions.insert(session, self.log.len() as u64);
        }
        self.continue_transaction(ticket);
        self.settle_answer(ticket, instance);
    }

    fn continue_transaction(&mut self, ticket: RequestTicket) {
        let drawn = &self.requests[ticket.0 as usize];
        let opener = drawn.opener.unwrap_or(ticket);
        if drawn.statements == 0 {
            self.end_transaction(ticket);
            return;
        }
        let next = DrawnRequest {
            source: drawn.source,
            session: drawn.session,
            key: drawn.key,
            run: drawn.run,
            at: self.now + Duration::from_millis(3),
            opener: Some(opener),
            statements: drawn.statements - 1,
        };
        self.schedule(next.at, RunnerEvent::Arrive(self.requests.len()));
        self.requests.push(next);
    }

    fn end_transaction(&mut self, ticket: RequestTicket) {
        let opener = self.requests[ticket.0 as usize].opener;
        if let (Some(opener), PolicyModel::Scheduler(scheduler)) = (opener, &mut self.policy) {
            scheduler.unpin(self.now, opener);
        }
    }

    fn settle_answer(&mut self, ticket: RequestTicket, instance: usize) {
        let slow = self.slow_factor(instance) > 1;
        let Some(profile) = self.profiles.remove(&ticket) else {
            return;
        };
        if profile.allows_replica() {
            self.outcome.permitted_reads += 1;
            self.outcome.replica_reads += u64::from(instance != 0);
        }
        let late = self.now > profile.deadline;
        self.outcome.late_from_slow += u64::from(late && slow);
        let drawn = &self.requests[ticket.0 as usize];
        let (wait, run, opens) = (self.now.since(drawn.at), drawn.run, drawn.opener.is_none());
        let outcome = self.outcome_of(ticket);
        outcome.slot_time += run;
        if late {
            outcome.lost_operations += u64::from(opens);
        } else {
            outcome.slot_time_in_time += run;
        }
        outcome.waits.push(wait);
        outcome.late += u64::from(late);
        outcome.in_time += u64::from(!late);
    }

    fn settle_late(&mut self, ticket: RequestTicket) {
        if self.profiles.remove(&ticket).is_some() {
            let opens = self.requests[ticket.0 as usize].opener.is_none();
            let outcome = self.outcome_of(ticket);
            outcome.late += 1;
            outcome.lost_operations += u64::from(opens);
        }
    }

    pub(super) fn settle_refused(&mut self, ticket: RequestTicket) {
        let Some(profile) = self.profiles.remove(&ticket) else {
            panic!("a request is settled twice");
        };
        let time_left = profile.deadline.since(self.now);
        let short = time_left * 4 < self.source(ticket).deadline;
        let opens = self.requests[ticket.0 as usize].opener.is_none();
        let outcome = self.outcome_of(ticket);
        outcome.refused += 1;
        outcome.lost_operations += u64::from(opens);
        outcome.time_left += time_left;
        outcome.late_refusals += u64::from(short);
        let least = outcome.min_time_left.unwrap_or(time_left);
        outcome.min_time_left = Some(least.min(time_left));
        self.end_transaction(ticket);
    }

    fn outcome_of(&mut self, ticket: RequestTicket) -> &mut super::SourceOutcome {
        let source = self.source(ticket);
        let name = SourceName {
            customer: source.customer,
            kind: source.kind,
        };
        self.outcome.sources.entry(name).or_default()
    }

    fn report(&mut self) {
        let lagged = self.now.before(self.pattern.lag);
        let held = self.log.partition_point(|done| *done <= lagged) as u64;
        self.reported = (self.now, held);
        if let PolicyModel::Scheduler(scheduler) = &mut self.policy {
            let position = LogPosition::new(GroupTerm(1), held);
            for name in &INSTANCE_NAMES[1..] {
                let instance = InstanceName::from(*name);
                scheduler.report_position(self.now, &instance, position, self.pattern.lag);
            }
        }
        self.schedule(self.now + REPORT_INTERVAL, RunnerEvent::Report);
    }

    fn check_long_jobs(&mut self) {
        let long = |ticket: &RequestTicket| self.source(*ticket).length == LengthClass::Long;
        let running = self.endpoints.iter().flat_map(|endpoint| &endpoint.running);
        let long_running = running.filter(|ticket| long(ticket)).count();
        if long_running < INSTANCES * SLOTS as usize {
            return;
        }
        let waits = self.profiles.keys().any(|ticket| !long(ticket));
        self.outcome.all_slots_long += u64::from(waits);
    }
}
