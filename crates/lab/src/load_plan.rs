//! The schedule of a load run: request classes and arrival times, drawn from a seeded generator.
//!
//! Arrivals are a Poisson process, independent of answers (open loop).

use crate::lab_contract::FRESH_KIND;
use crate::lab_contract::GRANT_KIND;
use crate::lab_contract::REPORT_KIND;
use crate::lab_contract::STATUS_KIND;
use crate::lab_contract::UPDATE_KIND;
use crate::lab_contract::URGENT_KIND;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A class of requests, which determines the statement, the contract's kind and the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadClass {
    /// An urgent append to a list, which must not be repeated.
    Urgent,
    /// An ordinary append to a list, which must not be repeated.
    Grant,
    /// A put to the session's own cell, which is idempotent.
    Update,
    /// A read of a list that accepts stale data up to the contract's age.
    Status,
    /// A read of a list that accepts no stale data.
    Fresh,
    /// A read of the session's own cell. It accepts stale data up to the contract's age, but must
    /// reflect the session's last acknowledged write.
    Own,
    /// A long-running read.
    Report,
}

impl LoadClass {
    /// All classes.
    pub const ALL: [Self; 7] = [
        Self::Urgent,
        Self::Grant,
        Self::Update,
        Self::Status,
        Self::Fresh,
        Self::Own,
        Self::Report,
    ];

    /// Returns the name of the class in a mix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Grant => "grant",
            Self::Update => "update",
            Self::Status => "status",
            Self::Fresh => "fresh",
            Self::Own => "own",
            Self::Report => "report",
        }
    }

    /// Returns the contract's kind under which the class is sent.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Urgent => URGENT_KIND,
            Self::Grant => GRANT_KIND,
            Self::Update => UPDATE_KIND,
            Self::Status | Self::Own => STATUS_KIND,
            Self::Fresh => FRESH_KIND,
            Self::Report => REPORT_KIND,
        }
    }

    /// Returns the deadline of the class's requests, which equals the contract's.
    pub fn deadline(self) -> Duration {
        match self {
            Self::Urgent => Duration::from_millis(500),
            Self::Report => Duration::from_secs(5),
            _ => Duration::from_secs(1),
        }
    }

    /// Returns whether the class consists of reads.
    pub fn is_read(self) -> bool {
        match self {
            Self::Urgent | Self::Grant | Self::Update => false,
            Self::Status | Self::Fresh | Self::Own | Self::Report => true,
        }
    }
}

/// The relative frequencies of the classes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadMix {
    weights: Vec<(LoadClass, u32)>,
}

/// An error in the text of a mix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MixFault {
    /// A part isn't of the form `class=weight`.
    Part(String),
    /// All weights are zero.
    Empty,
}

impl fmt::Display for MixFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(
                formatter,
                "expected class=weight with a class such as grant, found `{part}`",
            ),
            Self::Empty => formatter.write_str("expected a weight above zero"),
        }
    }
}

impl Default for LoadMix {
    /// Returns a mix of 70 % reads, 27 % ordinary writes and 3 % urgent writes, similar to the
    /// users' workloads.
    fn default() -> Self {
        Self {
            weights: vec![
                (LoadClass::Urgent, 3),
                (LoadClass::Grant, 12),
                (LoadClass::Update, 15),
                (LoadClass::Status, 40),
                (LoadClass::Fresh, 15),
                (LoadClass::Own, 15),
            ],
        }
    }
}

impl FromStr for LoadMix {
    type Err = MixFault;

    fn from_str(text: &str) -> Result<Self, MixFault> {
        let part = |part: &str| {
            let (name, weight) = part.split_once('=')?;
            let class = LoadClass::ALL
                .into_iter()
                .find(|class| class.name() == name)?;
            Some((class, weight.parse().ok()?))
        };
        let weights: Result<Vec<(LoadClass, u32)>, MixFault> = text
            .split(',')
            .map(|text| part(text).ok_or_else(|| MixFault::Part(text.to_owned())))
            .collect();
        let weights = weights?;
        match weights.iter().any(|(_, weight)| *weight > 0) {
            true => Ok(Self { weights }),
            false => Err(MixFault::Empty),
        }
    }
}

impl LoadMix {
    fn pick(&self, random: &mut StdRng) -> LoadClass {
        let total: u32 = self.weights.iter().map(|(_, weight)| weight).sum();
        let mut draw = random.random_range(0..total);
        for (class, weight) in &self.weights {
            if draw < *weight {
                return *class;
            }
            draw -= weight;
        }
        LoadClass::Status
    }
}

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadArrival {
    /// The scheduled start, as the time since the start of the load.
    pub at: Duration,
    /// The class.
    pub class: LoadClass,
    /// The index of the customer.
    pub customer: usize,
    /// The index of the list that a list request uses.
    pub list: usize,
}

/// The parameters of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// The seed of the random generator.
    pub seed: u64,
    /// The mean number of requests per second.
    pub rate: f64,
    /// The duration of the load.
    pub duration: Duration,
    /// The number of customers.
    pub customers: usize,
    /// The ratio between the first customer's request rate and that of any other customer.
    pub hot_factor: u32,
    /// The number of lists in use at a time.
    pub lists: usize,
    /// The mix of request classes.
    pub mix: LoadMix,
}

/// Returns the schedule's requests in order of time. The intervals are exponentially distributed,
/// and the same settings give the same schedule.
pub fn plan_arrivals(settings: &PlanSettings) -> impl Iterator<Item = LoadArrival> {
    let mut random = StdRng::seed_from_u64(settings.seed);
    let settings = settings.clone();
    let mut at = 0.0;
    std::iter::from_fn(move || {
        let uniform: f64 = random.random();
        at += -(1.0 - uniform).ln() / settings.rate;
        let arrival = LoadArrival {
            at: Duration::from_secs_f64(at),
            class: settings.mix.pick(&mut random),
            customer: pick_customer(&settings, &mut random),
            list: random.random_range(0..settings.lists.max(1)),
        };
        (arrival.at < settings.duration).then_some(arrival)
    })
}

/// Draws a customer, the first one `hot_factor` times as often as any other.
fn pick_customer(settings: &PlanSettings, random: &mut StdRng) -> usize {
    let first_weight = settings.hot_factor.max(1) as usize;
    let draw = random.random_range(0..settings.customers + first_weight - 1);
    draw.saturating_sub(first_weight - 1)
}
