//! The load patterns and the group sizes of the two users.

use super::faults::FaultReports;
use ragwort_policy::ClockTime;
use ragwort_policy::CustomerTerms;
use ragwort_types::AccessMode;
use ragwort_types::CustomerName;
use ragwort_types::LengthClass;
use ragwort_types::PriorityLevel;
use ragwort_types::ShareGroupName;
use ragwort_types::UrgencyClass;
use std::time::Duration;

/// The length of every run.
const RUN_LENGTH: Duration = Duration::from_secs(5);

/// The rate of reads of 6 ms that keeps the primary's two slots busy, per second.
const PRIMARY_READS: f64 = 333.0;

/// The sizes of a user's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserSize {
    /// 0.5 ms between failure domains, 16 connections for each instance.
    Omuti,
    /// 1.5 ms between failure domains, 30 connections for each instance.
    Sabarmati,
}

impl UserSize {
    pub fn domain_delay(self) -> Duration {
        match self {
            Self::Omuti => Duration::from_micros(500),
            Self::Sabarmati => Duration::from_micros(1_500),
        }
    }

    pub fn connections(self) -> u32 {
        match self {
            Self::Omuti => 16,
            Self::Sabarmati => 30,
        }
    }

    /// Returns the rate of the plain mix that keeps all six slots busy, in requests per second.
    ///
    /// The mix takes 6.36 ms in a slot; four of the slots are one round trip away.
    pub fn capacity(self) -> f64 {
        let near = 6.36;
        let far = near + self.domain_delay().as_secs_f64() * 2_000.0;
        2_000.0 / near + 4_000.0 / far
    }
}

/// A stream of requests of one customer and kind.
#[derive(Clone, Debug)]
pub struct LoadSource {
    pub customer: &'static str,
    pub kind: &'static str,
    pub rate: f64,
    pub from: Duration,
    pub until: Duration,
    pub sessions: u64,
    pub keys: Option<u64>,
    pub access: AccessMode,
    pub urgency: UrgencyClass,
    pub length: LengthClass,
    pub max_age: Duration,
    pub deadline: Duration,
    /// The time within which the answer is most useful.
    pub target: Option<Duration>,
    pub shortest: Duration,
    pub longest: Duration,
    /// The number of further statements in the transaction that each request opens.
    pub statements: u32,
    pub priority: Option<PriorityLevel>,
}

/// A period in which an instance is slower by a factor.
#[derive(Clone, Copy, Debug)]
pub struct SlowPeriod {
    pub instance: usize,
    pub from: ClockTime,
    pub until: ClockTime,
    pub factor: u32,
}

/// An instance that rejects or fails a part of what it gets, for the whole run.
#[derive(Clone, Copy, Debug)]
pub struct FaultyInstance {
    pub instance: usize,
    /// The share of statements that it rejects.
    pub rejects: f64,
    /// The share of reads that it runs and fails.
    pub fails: f64,
}

/// The load and the disturbances of a run.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    pub user: UserSize,
    pub sources: Vec<LoadSource>,
    pub slow_periods: Vec<SlowPeriod>,
    pub terms: Vec<CustomerTerms>,
    pub length: Duration,
    /// Whether connections are open at the start.
    pub warm: bool,
    /// The replication lag of the replicas.
    pub lag: Duration,
    pub faulty: Option<FaultyInstance>,
    /// The instance that goes down each second for half a second.
    pub flapping: Option<usize>,
    pub reports: FaultReports,
}

/// The patterns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatternName {
    /// The plain mix at this percentage of capacity.
    Mix(u32),
    /// Half of capacity, and twice capacity for half a second, with no connection open.
    Burst,
    /// One session sends as much as the group can serve, besides seven tenths of capacity.
    HotCaller,
    /// Writes to one record, as many as its endpoint can run one by one, besides half of capacity.
    HotKey,
    /// One replica slower by this factor for two seconds, at seven tenths of capacity.
    SlowReplica(u32),
    /// The primary ten times slower for two seconds, at half of capacity.
    SlowPrimary,
    /// All instances five times slower for two seconds, at a tenth of capacity.
    AllSlow,
    /// Reports of 200 to 500 ms, six a second, besides half of capacity.
    LongJobs,
    /// Reports that their contract declares as short.
    Mislabelled,
    /// One customer sends twice the group's capacity; the others stay within their shares.
    Abuse,
    /// Urgent requests alone exceed the primary's capacity.
    UrgentFlood,
    /// Transactions of four statements besides half of capacity.
    Transactions,
    /// Replicas too far behind for any read, so that all reads of a plain mix come to the primary:
    /// two thirds more than it can serve, each with a target of a fifth of a second.
    ReplicasBehind,
    /// An instance that rejects this percentage of its statements, at this percentage of capacity.
    Rejecting(usize, u32, u32),
    /// A replica that fails this percentage of its reads, at this percentage of capacity.
    Failing(u32, u32),
    /// A replica that goes down each second for half a second, at this percentage of capacity.
    Flapping(u32),
    /// Twice capacity, reports, a hot caller and a slow replica at once.
    Everything,
    /// Requests of three priority levels from one share group, at this percentage of capacity.
    Levels(u32),
    /// The same requests without levels and share group.
    Unlevelled(u32),
    /// Replicas too far behind for any read, and two routes of one share group, both with
    /// transactions, that ask for twice what the primary can do.
    PrimaryAlone,
    /// The same routes as customers of their own.
    SeparateRoutes,
}

impl PatternName {
    /// Creates the pattern for a user.
    pub fn create(self, user: UserSize) -> LoadPattern {
        let mut pattern = match self {
            Self::Mix(percent)
            | Self::Rejecting(_, _, percent)
            | Self::Failing(_, percent)
            | Self::Flapping(percent) => plain_mix(user, f64::from(percent) / 100.0),
            Self::Burst => plain_mix(user, 0.5),
            Self::HotCaller | Self::SlowReplica(_) => plain_mix(user, 0.7),
            Self::AllSlow => plain_mix(user, 0.1),
            Self::HotKey | Self::SlowPrimary | Self::LongJobs | Self::Mislabelled => {
                plain_mix(user, 0.5)
            }
            Self::Abuse | Self::UrgentFlood | Self::Transactions => plain_mix(user, 0.5),
            Self::Everything => plain_mix(user, 2.0),
            Self::ReplicasBehind => targeted_reads(user),
            Self::Levels(percent) => levels(user, f64::from(percent) / 100.0, true),
            Self::Unlevelled(percent) => levels(user, f64::from(percent) / 100.0, false),
            Self::PrimaryAlone => primary_alone(user, true),
            Self::SeparateRoutes => primary_alone(user, false),
        };
        self.add_disturbance(&mut pattern);
        pattern
    }

    fn add_disturbance(self, pattern: &mut LoadPattern) {
        let capacity = pattern.user.capacity();
        match self {
            Self::Mix(_) | Self::ReplicasBehind => {}
            Self::Rejecting(instance, percent, _) => {
                pattern.faulty = Some(FaultyInstance {
                    instance,
                    rejects: f64::from(percent) / 100.0,
                    fails: 0.0,
                });
            }
            Self::Failing(percent, _) => {
                pattern.faulty = Some(FaultyInstance {
                    instance: 1,
                    rejects: 0.0,
                    fails: f64::from(percent) / 100.0,
                });
            }
            Self::Flapping(_) => pattern.flapping = Some(1),
            Self::Levels(_) | Self::Unlevelled(_) => {}
            Self::PrimaryAlone | Self::SeparateRoutes => {}
            Self::Burst => {
                pattern.warm = false;
                let burst = LoadSource {
                    from: Duration::from_secs(1),
                    until: Duration::from_millis(1_500),
                    ..status_reads("clinics", capacity * 2.0)
                };
                pattern.sources.push(burst);
            }
            Self::HotCaller => pattern.sources.push(LoadSource {
                kind: "loop",
                sessions: 1,
                ..status_reads("intake", capacity)
            }),
            Self::HotKey => pattern.sources.push(LoadSource {
                kind: "counter",
                keys: Some(1),
                ..updates("clinics", 120.0)
            }),
            Self::SlowReplica(factor) => pattern.slow_periods.push(slow_period(2, factor)),
            Self::SlowPrimary => pattern.slow_periods.push(slow_period(0, 10)),
            Self::AllSlow => {
                let slow_periods = (0..3).map(|instance| slow_period(instance, 5));
                pattern.slow_periods.extend(slow_periods);
            }
            Self::LongJobs => pattern.sources.push(reports("directorate", 6.0)),
            Self::Mislabelled => pattern.sources.push(LoadSource {
                length: LengthClass::Short,
                ..reports("directorate", 6.0)
            }),
            Self::Abuse => {
                pattern.sources.push(LoadSource {
                    kind: "scrape",
                    ..status_reads("abuser", capacity * 1.6)
                });
                pattern.sources.push(LoadSource {
                    kind: "hammer",
                    ..updates("abuser", capacity * 0.4)
                });
            }
            Self::UrgentFlood => pattern.sources.push(LoadSource {
                kind: "flood",
                urgency: UrgencyClass::Urgent,
                ..updates("directorate", 400.0)
            }),
            Self::Transactions => pattern.sources.push(LoadSource {
                kind: "transfer",
                statements: 3,
                ..updates("directorate", 15.0)
            }),
            Self::Everything => {
                pattern.slow_periods.push(slow_period(2, 10));
                pattern.sources.push(reports("directorate", 6.0));
                pattern.sources.push(LoadSource {
                    kind: "loop",
                    sessions: 1,
                    ..status_reads("intake", capacity)
                });
            }
        }
    }
}

fn plain_mix(user: UserSize, load: f64) -> LoadPattern {
    let rate = user.capacity() * load;
    LoadPattern {
        user,
        sources: vec![
            status_reads("directorate", rate * 0.37),
            status_reads("clinics", rate * 0.15),
            status_reads("intake", rate * 0.25),
            fresh_reads("clinics", rate * 0.05),
            updates("directorate", rate * 0.10),
            updates("intake", rate * 0.05),
            determinations("directorate", rate * 0.03),
        ],
        slow_periods: Vec::new(),
        terms: vec![
            terms("directorate", 3),
            terms("clinics", 1),
            terms("intake", 2),
            terms("abuser", 1),
        ],
        length: RUN_LENGTH,
        warm: true,
        lag: Duration::from_millis(30),
        faulty: None,
        flapping: None,
        reports: FaultReports::Told,
    }
}

/// Reads that need the primary, with a target of a quarter of their deadline, and urgent writes.
fn targeted_reads(user: UserSize) -> LoadPattern {
    let reads = LoadSource {
        target: Some(Duration::from_millis(200)),
        deadline: Duration::from_millis(800),
        ..status_reads("clinics", PRIMARY_READS * 5.0 / 3.0)
    };
    LoadPattern {
        sources: vec![reads, determinations("directorate", 20.0)],
        lag: Duration::from_secs(3),
        ..plain_mix(user, 0.0)
    }
}

/// The length of runs with priority levels or share groups: several times the longest deadline.
const LONG_RUN_LENGTH: Duration = Duration::from_secs(20);

/// The proportions, run times, targets and deadlines of a lending library's three levels.
fn levels(user: UserSize, load: f64, levelled: bool) -> LoadPattern {
    let mean = 0.13 * 11.0 + 0.64 * 33.0 + 0.23 * 55.0;
    let round_trip = user.domain_delay().as_secs_f64() * 2_000.0;
    let rate = (2_000.0 / mean + 4_000.0 / (mean + round_trip)) * load;
    let level = |number| levelled.then_some(PriorityLevel(number));
    let checkouts = LoadSource {
        kind: "checkout",
        priority: level(0),
        target: Some(Duration::from_millis(200)),
        deadline: Duration::from_millis(1_200),
        until: LONG_RUN_LENGTH,
        shortest: Duration::from_millis(8),
        longest: Duration::from_millis(14),
        ..updates("library", rate * 0.13)
    };
    let holds = LoadSource {
        kind: "holds",
        priority: level(1),
        target: Some(Duration::from_millis(400)),
        deadline: Duration::from_millis(1_200),
        until: LONG_RUN_LENGTH,
        shortest: Duration::from_millis(23),
        longest: Duration::from_millis(43),
        ..status_reads("library", rate * 0.64)
    };
    let browse = LoadSource {
        kind: "browse",
        priority: level(2),
        target: Some(Duration::from_millis(1_500)),
        deadline: Duration::from_secs(5),
        shortest: Duration::from_millis(40),
        longest: Duration::from_millis(70),
        rate: rate * 0.23,
        ..holds.clone()
    };
    LoadPattern {
        sources: vec![checkouts, holds, browse],
        terms: vec![grouped(terms("library", 1), levelled)],
        length: LONG_RUN_LENGTH,
        ..plain_mix(user, 0.0)
    }
}

/// The proportions, run times, targets and deadlines of a marketplace's two frequent routes, each a
/// customer of its own. A tenth or an eighth of their operations are transactions.
fn primary_alone(user: UserSize, share_group: bool) -> LoadPattern {
    let desk = LoadSource {
        kind: "seller-desk",
        max_age: Duration::from_millis(500),
        target: Some(Duration::from_millis(250)),
        deadline: Duration::from_millis(1_500),
        until: LONG_RUN_LENGTH,
        shortest: Duration::from_millis(10),
        longest: Duration::from_millis(20),
        ..status_reads("seller-desk", 1.0)
    };
    let browse = LoadSource {
        kind: "browse",
        target: Some(Duration::from_millis(500)),
        deadline: Duration::from_secs(5),
        shortest: Duration::from_millis(18),
        longest: Duration::from_millis(34),
        customer: "browse",
        ..desk.clone()
    };
    let statements = 6;
    let cost = 0.8 * 15.0 * (1.0 + 0.125 * f64::from(statements))
        + 0.2 * 26.0 * (1.0 + 0.1 * f64::from(statements));
    let rate = 2_000.0 / cost * 2.0;
    let part = |source: &LoadSource, rate, statements| LoadSource {
        rate,
        statements,
        ..source.clone()
    };
    let customers = [terms("seller-desk", 1), terms("browse", 1)];
    LoadPattern {
        sources: vec![
            part(&desk, rate * 0.8 * 0.875, 0),
            part(&desk, rate * 0.8 * 0.125, statements),
            part(&browse, rate * 0.2 * 0.9, 0),
            part(&browse, rate * 0.2 * 0.1, statements),
        ],
        terms: customers.map(|terms| grouped(terms, share_group)).to_vec(),
        length: LONG_RUN_LENGTH,
        lag: Duration::from_secs(3),
        ..plain_mix(user, 0.0)
    }
}

fn grouped(terms: CustomerTerms, share_group: bool) -> CustomerTerms {
    CustomerTerms {
        share_group: share_group.then(|| ShareGroupName::from("callers")),
        ..terms
    }
}

fn slow_period(instance: usize, factor: u32) -> SlowPeriod {
    SlowPeriod {
        instance,
        from: ClockTime::from_millis(1_000),
        until: ClockTime::from_millis(3_000),
        factor,
    }
}

fn terms(customer: &str, slot_share: u32) -> CustomerTerms {
    CustomerTerms {
        customer: CustomerName::from(customer),
        slot_share,
        queue_limit: 400,
        connection_limit: 8,
        share_group: None,
    }
}

fn status_reads(customer: &'static str, rate: f64) -> LoadSource {
    LoadSource {
        customer,
        kind: "status",
        rate,
        from: Duration::ZERO,
        until: RUN_LENGTH,
        sessions: 200,
        keys: None,
        access: AccessMode::Read,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age: Duration::from_millis(500),
        deadline: Duration::from_millis(300),
        target: None,
        shortest: Duration::from_millis(4),
        longest: Duration::from_millis(8),
        statements: 0,
        priority: None,
    }
}

fn fresh_reads(customer: &'static str, rate: f64) -> LoadSource {
    LoadSource {
        kind: "balance",
        max_age: Duration::ZERO,
        ..status_reads(customer, rate)
    }
}

fn updates(customer: &'static str, rate: f64) -> LoadSource {
    LoadSource {
        kind: "update",
        access: AccessMode::Write,
        max_age: Duration::ZERO,
        deadline: Duration::from_millis(400),
        shortest: Duration::from_millis(6),
        longest: Duration::from_millis(10),
        ..status_reads(customer, rate)
    }
}

fn determinations(customer: &'static str, rate: f64) -> LoadSource {
    LoadSource {
        kind: "urgent",
        urgency: UrgencyClass::Urgent,
        deadline: Duration::from_millis(200),
        ..updates(customer, rate)
    }
}

fn reports(customer: &'static str, rate: f64) -> LoadSource {
    LoadSource {
        kind: "report",
        length: LengthClass::Long,
        max_age: Duration::from_secs(5),
        deadline: Duration::from_secs(5),
        shortest: Duration::from_millis(200),
        longest: Duration::from_millis(500),
        ..status_reads(customer, rate)
    }
}
