//! What a load run has shown, judged by what callers received.

use crate::caller::CallerVerdict;
use crate::load_plan::LoadClass;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The longest latency that is told apart, in microseconds.
const LONGEST_LATENCY_US: u64 = 120_000_000;

/// The outcome of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The class.
    pub class: LoadClass,
    /// The time from the intended start to the verdict.
    pub latency: Duration,
    /// The verdict.
    pub verdict: CallerVerdict,
}

/// Gathers outcomes.
#[derive(Clone, Debug)]
pub struct LoadRecorder {
    classes: BTreeMap<LoadClass, ClassRecorder>,
    reasons: BTreeMap<String, Histogram<u64>>,
}

#[derive(Clone, Debug)]
struct ClassRecorder {
    counts: ClassCounts,
    answered: Histogram<u64>,
    refused: Histogram<u64>,
}

/// How often each outcome occurred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassCounts {
    /// Requests sent.
    pub sent: u64,
    /// Ran and answered within the deadline.
    pub in_time: u64,
    /// Ran and answered after the deadline.
    pub late: u64,
    /// Answered "not run".
    pub refused: u64,
    /// Answered "may have run".
    pub maybe_run: u64,
    /// The database's own error.
    pub failed: u64,
    /// Not answered at all.
    pub unanswered: u64,
    /// Served by a replica.
    pub by_replica: u64,
    /// Served by the primary.
    pub by_primary: u64,
}

/// The quantiles of a latency, in microseconds from the intended start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LatencyQuantiles {
    /// Half of the requests took no longer.
    pub p50_us: u64,
    /// Nine in ten took no longer.
    pub p90_us: u64,
    /// 99 in 100 took no longer.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// The report of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassReport {
    /// The counts.
    pub counts: ClassCounts,
    /// The latency of answers.
    pub answered: LatencyQuantiles,
    /// The latency of refusals: a refusal is only of use if it comes at once.
    pub refused: LatencyQuantiles,
}

/// How often a reason was given, and how late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReasonReport {
    /// The number of requests.
    pub count: u64,
    /// The latency of these verdicts.
    pub told: LatencyQuantiles,
}

/// The report of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Each class that occurred.
    pub classes: BTreeMap<LoadClass, ClassReport>,
    /// The share of served reads that replicas served, if the gateways said who served.
    pub replica_share: Option<f64>,
    /// Why requests weren't answered with rows, in the words of the verdicts.
    pub reasons: BTreeMap<String, ReasonReport>,
    /// The number of acknowledged appends that were checked at the end.
    pub checked_appends: usize,
    /// Broken promises; must be empty.
    pub violations: Vec<String>,
}

impl Default for LoadRecorder {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadRecorder {
    /// Creates an empty recorder.
    pub fn new() -> Self {
        Self {
            classes: BTreeMap::new(),
            reasons: BTreeMap::new(),
        }
    }

    /// Takes one outcome.
    pub fn record(&mut self, record: &RequestRecord) {
        let class = self
            .classes
            .entry(record.class)
            .or_insert_with(ClassRecorder::new);
        class.record(record);
        let reason = match &record.verdict {
            CallerVerdict::Ran { .. } => return,
            CallerVerdict::NotRun {
                sqlstate, message, ..
            } => format!("not run: {sqlstate} {message}"),
            CallerVerdict::MayHaveRun { message } => format!("may have run: {message}"),
            CallerVerdict::Failed { sqlstate, message } => format!("failed: {sqlstate} {message}"),
            CallerVerdict::Unanswered => "unanswered".to_owned(),
        };
        self.reasons
            .entry(reason)
            .or_insert_with(empty_histogram)
            .saturating_record(record.latency.as_micros() as u64);
    }

    /// Returns the report so far, without what the oracle says.
    pub fn to_report(&self) -> LoadReport {
        let classes: BTreeMap<LoadClass, ClassReport> = self
            .classes
            .iter()
            .map(|(class, recorder)| (*class, recorder.to_report()))
            .collect();
        LoadReport {
            replica_share: replica_share(&classes),
            classes,
            reasons: self
                .reasons
                .iter()
                .map(|(reason, told)| (reason.clone(), read_reason(told)))
                .collect(),
            ..LoadReport::default()
        }
    }
}

impl ClassRecorder {
    fn new() -> Self {
        Self {
            counts: ClassCounts::default(),
            answered: empty_histogram(),
            refused: empty_histogram(),
        }
    }

    fn record(&mut self, record: &RequestRecord) {
        let latency_us = record.latency.as_micros() as u64;
        let counts = &mut self.counts;
        counts.sent += 1;
        match &record.verdict {
            CallerVerdict::Ran { served, .. } => {
                match record.latency <= record.class.deadline() {
                    true => counts.in_time += 1,
                    false => counts.late += 1,
                }
                match served.as_ref().map(|served| served.replica) {
                    Some(true) => counts.by_replica += 1,
                    Some(false) => counts.by_primary += 1,
                    None => {}
                }
                self.answered.saturating_record(latency_us);
            }
            CallerVerdict::NotRun { .. } => {
                counts.refused += 1;
                self.refused.saturating_record(latency_us);
            }
            CallerVerdict::MayHaveRun { .. } => counts.maybe_run += 1,
            CallerVerdict::Failed { .. } => counts.failed += 1,
            CallerVerdict::Unanswered => counts.unanswered += 1,
        }
    }

    fn to_report(&self) -> ClassReport {
        ClassReport {
            counts: self.counts,
            answered: read_quantiles(&self.answered),
            refused: read_quantiles(&self.refused),
        }
    }
}

fn empty_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_max(LONGEST_LATENCY_US, 3).expect("constant bounds")
}

fn read_reason(told: &Histogram<u64>) -> ReasonReport {
    ReasonReport {
        count: told.len(),
        told: read_quantiles(told),
    }
}

fn read_quantiles(histogram: &Histogram<u64>) -> LatencyQuantiles {
    LatencyQuantiles {
        p50_us: histogram.value_at_quantile(0.5),
        p90_us: histogram.value_at_quantile(0.9),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}

fn replica_share(classes: &BTreeMap<LoadClass, ClassReport>) -> Option<f64> {
    let reads = classes.iter().filter(|(class, _)| class.is_read());
    let (replica, all) = reads.fold((0, 0), |(replica, all), (_, report)| {
        let counts = &report.counts;
        let served = counts.by_replica + counts.by_primary;
        (replica + counts.by_replica, all + served)
    });
    (all > 0).then(|| replica as f64 / all as f64)
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<8} {:>7} {:>7} {:>6} {:>7} {:>6} {:>6} {:>6}  {:>9} {:>9} {:>9} {:>12}",
            "class",
            "sent",
            "in time",
            "late",
            "refused",
            "maybe",
            "failed",
            "silent",
            "p50 ms",
            "p99 ms",
            "max ms",
            "refused p99",
        )?;
        for (class, report) in &self.classes {
            let counts = &report.counts;
            writeln!(
                formatter,
                "{:<8} {:>7} {:>7} {:>6} {:>7} {:>6} {:>6} {:>6}  {:>9.1} {:>9.1} {:>9.1} {:>12.1}",
                class.name(),
                counts.sent,
                counts.in_time,
                counts.late,
                counts.refused,
                counts.maybe_run,
                counts.failed,
                counts.unanswered,
                to_millis(report.answered.p50_us),
                to_millis(report.answered.p99_us),
                to_millis(report.answered.max_us),
                to_millis(report.refused.p99_us),
            )?;
        }
        if let Some(share) = self.replica_share {
            writeln!(
                formatter,
                "reads served by replicas: {:.1} %",
                share * 100.0
            )?;
        }
        for (reason, report) in &self.reasons {
            writeln!(
                formatter,
                "{:>7} x {reason} (p50 {:.1} ms, p99 {:.1} ms)",
                report.count,
                to_millis(report.told.p50_us),
                to_millis(report.told.p99_us),
            )?;
        }
        writeln!(
            formatter,
            "oracle: {} acknowledged appends checked, {} violations",
            self.checked_appends,
            self.violations.len(),
        )?;
        for violation in &self.violations {
            writeln!(formatter, "  {violation}")?;
        }
        Ok(())
    }
}

fn to_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
