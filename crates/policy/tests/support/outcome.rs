//! The outcomes for callers in a run.

use std::collections::BTreeMap;
use std::time::Duration;

/// The outcomes for the callers of one source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceOutcome {
    pub offered: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    /// The total time that refused callers had left.
    pub time_left: Duration,
    /// The shortest time that a refused caller had left.
    pub min_time_left: Option<Duration>,
    /// Refusals that left the caller less than a quarter of its time.
    pub late_refusals: u64,
    /// The times to each answer, in time or not.
    pub waits: Vec<Duration>,
    /// Requests outside of transactions, and those that open one.
    pub operations: u64,
    /// Those among them that were refused or answered late.
    pub lost_operations: u64,
    /// The slot time of all answers, and that of answers in time.
    pub slot_time: Duration,
    pub slot_time_in_time: Duration,
}

impl SourceOutcome {
    pub fn in_time_share(&self) -> f64 {
        ratio(self.in_time, self.offered)
    }

    pub fn late_share(&self) -> f64 {
        ratio(self.late, self.offered)
    }

    /// Returns the fraction of operations that weren't answered in time.
    pub fn lost_share(&self) -> f64 {
        ratio(self.lost_operations, self.operations)
    }

    /// Returns the fraction of slot time that was spent on requests that ended in time.
    pub fn useful_slot_share(&self) -> f64 {
        self.slot_time_in_time.as_secs_f64() / self.slot_time.as_secs_f64().max(1e-9)
    }

    /// Returns the fraction of all requests that were answered within `time`.
    pub fn share_within(&self, time: Duration) -> f64 {
        let within = self.waits.iter().filter(|wait| **wait <= time).count();
        ratio(within as u64, self.offered)
    }

    pub fn add(&mut self, other: &SourceOutcome) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.time_left += other.time_left;
        self.late_refusals += other.late_refusals;
        self.operations += other.operations;
        self.lost_operations += other.lost_operations;
        self.slot_time += other.slot_time;
        self.slot_time_in_time += other.slot_time_in_time;
        self.min_time_left = match (self.min_time_left, other.min_time_left) {
            (Some(mine), Some(theirs)) => Some(mine.min(theirs)),
            (mine, theirs) => mine.or(theirs),
        };
        self.waits.extend_from_slice(&other.waits);
    }
}

/// Identifies a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceName {
    pub customer: &'static str,
    pub kind: &'static str,
}

/// A digest of a sequence of decisions (FNV-1a, so that it is the same with every toolchain).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionDigest(pub u64);

impl Default for DecisionDigest {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl DecisionDigest {
    pub fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// The outcomes for all callers in a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadOutcome {
    pub sources: BTreeMap<SourceName, SourceOutcome>,
    /// A digest of all dispatches and refusals with their times.
    pub decisions: DecisionDigest,
    /// The number of answered reads of kinds that replicas may serve.
    pub permitted_reads: u64,
    /// The number of those that a replica answered.
    pub replica_reads: u64,
    /// The maximum number of slots and connections held at the same time on one instance.
    pub max_slots: u32,
    pub max_connections: u32,
    /// Requests sent to a cut-off endpoint as trials of its recovery.
    pub trials: u64,
    /// Statements that an instance rejected, failed, or lost when it went down.
    pub rejected: u64,
    pub failed: u64,
    pub lost: u64,
    /// The greatest number of statements that an instance lost at once when it went down.
    pub most_lost: u64,
    /// Statements sent to each instance.
    pub sent: [u64; 3],
    /// Requests sent to each instance in the last second.
    pub dispatched_at_end: [u64; 3],
    /// Late answers that came from a slow instance.
    pub late_from_slow: u64,
    /// Dispatches to a slow instance, by tenths of a second since it became slow.
    pub slow_dispatches: Vec<u64>,
    /// The number of moments at which long jobs held every slot of the group while a short request
    /// waited.
    pub all_slots_long: u64,
}

impl LoadOutcome {
    /// Sums the outcomes of the sources that `chosen` accepts.
    pub fn sum(&self, chosen: impl Fn(&SourceName) -> bool) -> SourceOutcome {
        let mut sum = SourceOutcome::default();
        for (name, outcome) in &self.sources {
            if chosen(name) {
                sum.add(outcome);
            }
        }
        sum
    }

    pub fn all(&self) -> SourceOutcome {
        self.sum(|_| true)
    }

    pub fn replica_share(&self) -> f64 {
        ratio(self.replica_reads, self.permitted_reads)
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
