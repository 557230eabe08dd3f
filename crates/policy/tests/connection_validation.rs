//! Scheduling while connections are validated.

use ragwort_policy::ArrivalDecision;
use ragwort_policy::ClockTime;
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerDecision;
use ragwort_policy::SchedulerSettings;
use ragwort_types::AccessMode;
use ragwort_types::InstanceName;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;
use std::time::Duration;

macro_rules! validation_cases {
    ($($(#[$doc:meta])* $name:ident => $case:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            $case(ValidationBench::start());
        }
    )*};
}

validation_cases! {
    /// One connection has gone silent, and the path may have dropped the state of the others as
    /// well. A duty officer's write must wait for a new connection, which takes 12 ms, and not
    /// behind a ping that may never be answered.
    write_waits_for_a_new_connection => new_connection_case;
    /// The connections answer: the write must be sent at once.
    write_is_sent_when_validation_ends => validation_end_case;
    /// Connections are validated again and again. Those under validation must count towards the
    /// endpoint's budget, so that the next leaseholder finds room.
    validation_stays_within_the_budget => budget_case;
}

/// The endpoint's connections, less those that a leaseholder leaves for its successor.
const BUDGET: usize = 13;

struct ValidationBench {
    scheduler: GroupScheduler,
    primary: InstanceName,
    now: ClockTime,
    open: usize,
}

impl ValidationBench {
    /// Starts with a primary and the connections that are opened ahead.
    fn start() -> Self {
        let settings = SchedulerSettings::new(7, "windhoek-a".into());
        let mut scheduler = GroupScheduler::new(settings);
        scheduler.set_contracts(&[CustomerTerms {
            customer: "omuti".into(),
            slot_share: 1,
            queue_limit: 64,
            connection_limit: 4,
            share_group: None,
        }]);
        let now = ClockTime::default();
        let primary = InstanceName::from("cases-1");
        let state = EndpointState {
            instance: primary.clone(),
            domain: "windhoek-a".into(),
            slots: 2,
            connections: 16,
            role: EndpointRole::Primary,
            leaving: false,
        };
        scheduler.set_endpoint(now, state);
        let mut bench = Self {
            scheduler,
            primary,
            now,
            open: 0,
        };
        while bench.open_wanted() > 0 {}
        assert_eq!(bench.open, 3);
        bench
    }

    fn poll(&mut self) -> Vec<SchedulerDecision> {
        self.now = self.now + Duration::from_millis(1);
        self.scheduler.poll(self.now)
    }

    /// Opens the connections that the scheduler asks for and returns their number.
    fn open_wanted(&mut self) -> usize {
        let decisions = self.poll();
        let opened = decisions
            .iter()
            .filter(|one| matches!(one, SchedulerDecision::OpenConnection(_)))
            .count();
        for _ in 0..opened {
            self.scheduler.connection_opened(&self.primary);
        }
        self.open += opened;
        opened
    }

    fn start_validations(&mut self) {
        for _ in 0..self.open {
            self.scheduler.connection_validation_started(&self.primary);
        }
    }

    fn arrive(&mut self) {
        let profile = RequestProfile {
            ticket: RequestTicket(1),
            customer: "omuti".into(),
            kind: "grant".into(),
            session: 99,
            account: None,
            key: None,
            access: AccessMode::Write,
            repeat: RepeatRule::Never,
            urgency: UrgencyClass::Urgent,
            length: LengthClass::Short,
            needs_primary: true,
            min_position: LogPosition::default(),
            max_age: Duration::ZERO,
            deadline: self.now + Duration::from_millis(500),
            target: None,
            step: RequestStep::Single,
            priority: None,
        };
        let arrival = self.scheduler.arrive(self.now, profile);
        assert_eq!(arrival, ArrivalDecision::Queued);
    }
}

fn is_dispatched(decisions: &[SchedulerDecision]) -> bool {
    let mut decisions = decisions.iter();
    decisions.any(|one| matches!(one, SchedulerDecision::Dispatch(_)))
}

fn new_connection_case(mut bench: ValidationBench) {
    bench.start_validations();
    bench.arrive();
    let decisions = bench.poll();
    assert!(!is_dispatched(&decisions), "{decisions:?}");
    let opening = SchedulerDecision::OpenConnection(bench.primary.clone());
    assert!(decisions.contains(&opening), "{decisions:?}");
    bench.scheduler.connection_opened(&bench.primary);
    assert!(is_dispatched(&bench.poll()));
}

fn validation_end_case(mut bench: ValidationBench) {
    bench.start_validations();
    bench.arrive();
    assert!(!is_dispatched(&bench.poll()));
    bench.scheduler.connection_validation_ended(&bench.primary);
    assert!(is_dispatched(&bench.poll()));
}

fn budget_case(mut bench: ValidationBench) {
    for _ in 0..20 {
        bench.start_validations();
        while bench.open_wanted() > 0 {}
        assert!(bench.open <= BUDGET, "{}", bench.open);
    }
    assert_eq!(bench.open, BUDGET);
}
