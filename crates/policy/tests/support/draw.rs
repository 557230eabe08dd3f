//! The endpoints and policies of a run, and the requests drawn from its seed.

use super::patterns::LoadPattern;
use super::plain::PlainEndpoint;
use super::plain::PlainScheduler;
use ragwort_policy::ClockTime;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::ExcessRule;
use ragwort_policy::GroupScheduler;
use ragwort_policy::ModuleSwitches;
use ragwort_policy::RequestTicket;
use ragwort_policy::SchedulerSettings;
use ragwort_types::DomainName;
use ragwort_types::InstanceName;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

pub const INSTANCES: usize = 3;
pub const SLOTS: u32 = 2;
pub const CONNECT_TIME: Duration = Duration::from_millis(12);
pub const REPORT_INTERVAL: Duration = Duration::from_millis(10);
pub const INSTANCE_NAMES: [&str; INSTANCES] = ["cases-1", "cases-2", "cases-3"];
pub const DOMAIN_NAMES: [&str; INSTANCES] = ["north", "east", "west"];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunnerEvent {
    Arrive(usize),
    Reach(RequestTicket, usize),
    End(RequestTicket, usize),
    Answer(RequestTicket, usize),
    Reject(RequestTicket, usize),
    Down(usize),
    Up(usize),
    ConnectFailed(usize),
    Connected(usize),
    Report,
    Wake,
}

pub struct EndpointModel {
    pub held: u32,
    pub waiting: VecDeque<RequestTicket>,
    pub running: Vec<RequestTicket>,
    pub key_free: HashMap<u64, ClockTime>,
    pub open: u32,
}

pub enum PolicyModel {
    Plain(PlainScheduler),
    Scheduler(Box<GroupScheduler>),
}

/// A request drawn from the seed.
pub struct DrawnRequest {
    pub source: usize,
    pub session: u64,
    pub key: Option<u64>,
    pub run: Duration,
    pub at: ClockTime,
    /// The request that opened the transaction, and the number of statements that remain in it.
    pub opener: Option<RequestTicket>,
    pub statements: u32,
}

pub fn find_instance(name: &InstanceName) -> usize {
    match INSTANCE_NAMES
        .iter()
        .position(|known| *known == name.as_str())
    {
        Some(index) => index,
        None => panic!("an unknown instance"),
    }
}

pub fn create_plain(pattern: &LoadPattern, open: u32) -> PlainScheduler {
    let endpoint = PlainEndpoint {
        connections: pattern.user.connections(),
        open,
        used: 0,
    };
    PlainScheduler::new(vec![endpoint; INSTANCES])
}

pub fn create_scheduler(
    pattern: &LoadPattern,
    modules: ModuleSwitches,
    excess: ExcessRule,
    seed: u64,
    open: u32,
) -> GroupScheduler {
    let home = DomainName::from(DOMAIN_NAMES[0]);
    let mut scheduler = GroupScheduler::new(SchedulerSettings {
        domain_delay: pattern.user.domain_delay(),
        connect_time: CONNECT_TIME,
        excess,
        modules,
        ..SchedulerSettings::new(seed, home)
    });
    scheduler.set_contracts(&pattern.terms);
    for index in 0..INSTANCES {
        let instance = InstanceName::from(INSTANCE_NAMES[index]);
        let role = match index {
            0 => EndpointRole::Primary,
            _ => EndpointRole::Replica,
        };
        let state = EndpointState {
            instance: instance.clone(),
            domain: DomainName::from(DOMAIN_NAMES[index]),
            slots: SLOTS,
            connections: pattern.user.connections(),
            role,
            leaving: false,
        };
        scheduler.set_endpoint(ClockTime::default(), state);
        for _ in 0..open {
            scheduler.connection_opened(&instance);
        }
    }
    scheduler
}

pub fn draw_requests(pattern: &LoadPattern, seed: u64) -> Vec<DrawnRequest> {
    let mut requests = Vec::new();
    for (index, source) in pattern.sources.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed ^ (index as u64) << 32);
        let mut at = source.from;
        loop {
            let part: f64 = random.random_range(1e-9..1.0);
            at += Duration::from_secs_f64(-part.ln() / source.rate);
            if at >= source.until.min(pattern.length) {
                break;
            }
            let run = random.random_range(source.shortest..source.longest);
            requests.push(DrawnRequest {
                source: index,
                session: random.random_range(0..source.sessions),
                key: source.keys.map(|keys| random.random_range(0..keys)),
                run,
                at: ClockTime::default() + at,
                opener: None,
                statements: source.statements,
            });
        }
    }
    requests
}
