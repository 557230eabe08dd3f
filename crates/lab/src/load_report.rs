//! The report of a load run: outcome counts and latencies for each class, as callers observed them.

use crate::caller::CallerVerdict;
use crate::load_plan::LoadClass;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The upper bound of the latency histograms, in microseconds; longer latencies count as this
/// value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// The outcome of a request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The class.
    pub class: LoadClass,
    /// The time from the scheduled start to the verdict.
    pub latency: Duration,
    /// The verdict.
    pub verdict: CallerVerdict,
}

/// Accumulates the outcomes of requests.
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

/// The numbers of requests of a class, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassCounts {
    /// All requests.
    pub sent: u64,
    /// Requests that ran and were answered within the deadline.
    pub in_time: u64,
    /// Requests that ran and were answered after the deadline.
    pub late: u64,
    /// Requests that were answered "not run".
    pub refused: u64,
    /// Requests that were answered "may have run".
    pub maybe_run: u64,
    /// Requests that failed with an error of the database.
    pub failed: u64,
    /// Requests without an answer.
    pub unanswered: u64,
    /// Requests that a replica served.
    pub by_replica: u64,
    /// Requests that the primary served.
    pub by_primary: u64,
}

/// Quantiles of a latency, in microseconds since the scheduled start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LatencyQuantiles {
    /// The median.
    pub p50_us: u64,
    /// The 90th percentile.
    pub p90_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The maximum.
    pub max_us: u64,
}

/// The report of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassReport {
    /// The numbers of requests, by outcome.
    pub counts: ClassCounts,
    /// The latency of requests that ran.
    pub answered: LatencyQuantiles,
    /// The latency of requests that were answered "not run". It matters because a refusal helps the
    /// caller only if it comes early.
    pub refused: LatencyQuantiles,
}

/// The requests that were not answered with rows for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReasonReport {
    /// The number of requests.
    pub count: u64,
    /// The latency of their verdicts.
    pub told: LatencyQuantiles,
}

/// The report of a load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// The reports of the classes that occurred.
    pub classes: BTreeMap<LoadClass, ClassReport>,
    /// The fraction of the reads that were served by replicas; `None` if the gateways didn't report
    /// who served them.
    pub replica_share: Option<f64>,
    /// The requests that weren't answered with rows, by the text of the verdict.
    pub reasons: BTreeMap<String, ReasonReport>,
    /// The number of acknowledged appends that were checked at the end.
    pub checked_appends: usize,
    /// The violated consistency guarantees; empty in a correct run.
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

    /// Adds the outcome of a request.
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

    /// Returns the report so far, without the results of the consistency check.
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
                .map(|(reason, latencies)| (reason.clone(), summarize_reason(latencies)))
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
            answered: compute_quantiles(&self.answered),
            refused: compute_quantiles(&self.refused),
        }
    }
}

fn empty_histogram() -> Histogram<u64> {
    // The arguments are constants within the bounds of the library.
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("constant bounds")
}

fn summarize_reason(latencies: &Histogram<u64>) -> ReasonReport {
    ReasonReport {
        count: latencies.len(),
        told: compute_quantiles(latencies),
    }
}

fn compute_quantiles(histogram: &Histogram<u64>) -> LatencyQuantiles {
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
