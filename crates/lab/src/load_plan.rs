//! What the load tool sends and when: an open-loop schedule drawn from a seed.

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

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadClass {
    /// An urgent write that is never repeated: appends to a list.
    Urgent,
    /// An ordinary write that is never repeated: appends to a list.
    Grant,
    /// A write that may be repeated: puts the session's own cell.
    Update,
    /// A read of a list that accepts data of some age.
    Status,
    /// A read of a list that accepts no age.
    Fresh,
    /// A session's read of its own cell, of any age but its own writes.
    Own,
    /// A long read.
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

    /// Returns the class's name in a mix.
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

    /// Returns the contract's kind for the class.
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

    /// Returns the time in which the caller needs its answer; the contract says the same.
    pub fn deadline(self) -> Duration {
        match self {
            Self::Urgent => Duration::from_millis(500),
            Self::Report => Duration::from_secs(5),
            _ => Duration::from_secs(1),
        }
    }

    /// Returns whether the class only reads.
    pub fn is_read(self) -> bool {
        match self {
            Self::Urgent | Self::Grant | Self::Update => false,
            Self::Status | Self::Fresh | Self::Own | Self::Report => true,
        }
    }
}

/// How often each class occurs, relative to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadMix {
    weights: Vec<(LoadClass, u32)>,
}

/// A mix that can't be read.
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
    /// Returns many reads, some writes, few urgent ones, as in the users' workloads.
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

/// One request of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadArrival {
    /// The intended start, from the start of the load.
    pub at: Duration,
    /// The class.
    pub class: LoadClass,
    /// The customer's index.
    pub customer: usize,
    /// Which of the lists in use it is for.
    pub list: usize,
}

/// What the schedule is drawn from.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// The seed.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// How long the load lasts.
    pub duration: Duration,
    /// The number of customers.
    pub customers: usize,
    /// How many times more requests the first customer sends than any other.
    pub hot_factor: u32,
    /// The number of lists in use at a time.
    pub lists: usize,
    /// The mix.
    pub mix: LoadMix,
}

/// Draws the schedule: arrivals don't wait for answers (exponential gaps).
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

fn pick_customer(settings: &PlanSettings, random: &mut StdRng) -> usize {
    let hot = settings.hot_factor.max(1) as usize;
    let draw = random.random_range(0..settings.customers + hot - 1);
    draw.saturating_sub(hot - 1)
}
