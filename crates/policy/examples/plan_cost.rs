//! Prints the time that the plans of a queue take.
//!
//! Usage: `plan_cost [plain|levels|scarce]`: requests without levels and share groups, requests of
//! three levels from a share group of four contracts, or the same while slots are scarce.

use ragwort_policy::ClockTime;
use ragwort_policy::CustomerTerms;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::GroupScheduler;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerSettings;
use ragwort_types::AccessMode;
use ragwort_types::CustomerName;
use ragwort_types::DomainName;
use ragwort_types::InstanceName;
use ragwort_types::KindName;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::PriorityLevel;
use ragwort_types::RepeatRule;
use ragwort_types::ShareGroupName;
use ragwort_types::UrgencyClass;
use std::env;
use std::time::Duration;
use std::time::Instant;

const CUSTOMERS: [&str; 4] = ["checkout", "desk", "browse", "report"];

/// The number of timed plans of each queue.
const PLANS: u32 = 400;

/// Between two plans passes more time than the longest interval between complete plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq, Eq)]
enum LoadSort {
    Plain,
    Levels,
    Scarce,
}

fn main() {
    let argument = env::args().nth(1);
    let sort = match argument.as_deref() {
        None | Some("plain") => LoadSort::Plain,
        Some("levels") => LoadSort::Levels,
        Some("scarce") => LoadSort::Scarce,
        Some(other) => panic!("unknown load {other}"),
    };
    for waiting in [16, 64, 1_024, 4_096] {
        let mut times: Vec<Duration> = time_plans(sort, waiting);
        times.sort_unstable();
        let median = times[times.len() / 2];
        let least = times[0];
        println!("{waiting:5} waiting: median {median:9.1?} least {least:9.1?}");
    }
}

fn time_plans(sort: LoadSort, waiting: u64) -> Vec<Duration> {
    let mut scheduler = create_scheduler(sort);
    let mut now = ClockTime::from_millis(1_000);
    if sort == LoadSort::Scarce {
        scarce_request(&mut scheduler, now);
    }
    for ticket in 0..waiting {
        scheduler.arrive(now, profile(sort, now, ticket));
    }
    scheduler.poll(now);
    let mut times = Vec::new();
    for round in 0..PLANS {
        now = now + PLAN_INTERVAL;
        if sort == LoadSort::Scarce && round % 10 == 0 {
            scarce_request(&mut scheduler, now);
            scheduler.poll(now);
            now = now + PLAN_INTERVAL;
        }
        let begin = Instant::now();
        scheduler.poll(now);
        times.push(begin.elapsed());
    }
    times
}

/// Lets a request arrive that is refused at its first plan.
fn scarce_request(scheduler: &mut GroupScheduler, now: ClockTime) {
    let ticket = 1_000_000 + now.0;
    scheduler.arrive(
        now,
        RequestProfile {
            deadline: now + Duration::from_millis(12),
            ..profile(LoadSort::Scarce, now, ticket)
        },
    );
}

fn create_scheduler(sort: LoadSort) -> GroupScheduler {
    let home = DomainName::from("north");
    let mut scheduler = GroupScheduler::new(SchedulerSettings::new(7, home.clone()));
    let terms = CUSTOMERS.map(|customer| CustomerTerms {
        customer: CustomerName::from(customer),
        slot_share: 1,
        queue_limit: 5_000,
        connection_limit: 100,
        share_group: (sort != LoadSort::Plain).then(|| ShareGroupName::from("callers")),
    });
    scheduler.set_contracts(&terms);
    for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
        let instance = InstanceName::from(name);
        let state = EndpointState {
            instance: instance.clone(),
            domain: home.clone(),
            slots: 4,
            connections: 40,
            role: match index {
                0 => EndpointRole::Primary,
                _ => EndpointRole::Replica,
            },
            leaving: false,
        };
        scheduler.set_endpoint(ClockTime::default(), state);
        for _ in 0..12 {
            scheduler.connection_opened(&instance);
        }
        let age = Duration::from_millis(10);
        let position = LogPosition::default();
        scheduler.report_position(ClockTime::default(), &instance, position, age);
    }
    scheduler
}

/// Returns a request with a deadline after all plans; a third of the requests needs the primary.
fn profile(sort: LoadSort, now: ClockTime, ticket: u64) -> RequestProfile {
    let write = ticket.is_multiple_of(3);
    let customer = CUSTOMERS[(ticket % 4) as usize];
    let level = PriorityLevel((ticket % 5 % 3) as u8);
    RequestProfile {
        ticket: RequestTicket(ticket),
        customer: CustomerName::from(customer),
        kind: KindName::from(if write { "update" } else { "status" }),
        session: ticket,
        account: None,
        key: None,
        access: match write {
            true => AccessMode::Write,
            false => AccessMode::Read,
        },
        repeat: RepeatRule::Idempotent,
        urgency: match ticket % 10 {
            0 => UrgencyClass::Urgent,
            _ => UrgencyClass::Ordinary,
        },
        priority: (sort != LoadSort::Plain).then_some(level),
        length: LengthClass::Short,
        needs_primary: write,
        min_position: LogPosition::default(),
        max_age: match write {
            true => Duration::ZERO,
            false => Duration::from_secs(3_600),
        },
        deadline: now + Duration::from_secs(200 + ticket % 100),
        target: None,
        step: match ticket % 8 {
            5 => RequestStep::Opens,
            _ => RequestStep::Single,
        },
    }
}
