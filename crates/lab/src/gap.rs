//! Measures the failover gap: the time from the last write that a primary acknowledged to the first
//! write that its successor acknowledged, as callers see it.

use crate::caller::CallerSettings;
use crate::caller::CallerVerdict;
use crate::caller::GatewayCaller;
use crate::caller::StatementMarks;
use crate::lab_contract::UPDATE_KIND;
use crate::lab_set::LabSet;
use crate::set_calls::SetFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// The number of concurrent writers. It is large enough that writers which still wait for an answer
/// of the lost primary don't noticeably reduce the rate of writes at the end of the gap.
const WRITERS: u32 = 40;

/// The interval between the writes of one writer; all writers together write every 10 ms.
const WRITE_PERIOD: Duration = Duration::from_millis(400);

/// The timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// The minimum time between the first write and the fault, in milliseconds.
const WARM_UP_MS: u64 = 800;

/// The upper bound of the random addition to [`WARM_UP_MS`], in milliseconds. It is drawn for each
/// run, so that faults occur at different phases of the periodic timers.
const MAX_JITTER_MS: u64 = 400;

/// The time within which a successor must acknowledge a write, or the run counts as failed.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout for the group to be whole again before the next run.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A fault of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryFault {
    /// The process is killed, which resets its connections.
    Kill,
    /// The process is stopped; its connections stay open but silent.
    Freeze,
    /// The endpoint is partitioned from all other processes and keeps running.
    Cut,
}

impl FromStr for PrimaryFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "kill" => Ok(Self::Kill),
            "freeze" => Ok(Self::Freeze),
            "cut" => Ok(Self::Cut),
            _ => Err(format!("expected kill, freeze or cut, found `{text}`")),
        }
    }
}

/// The measurements of one failover.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GapRun {
    /// The time from the old primary's last acknowledged write to the successor's first, in
    /// milliseconds.
    pub gap_ms: f64,
    /// The time from the fault to the successor's first acknowledged write, in milliseconds.
    pub from_fault_ms: f64,
    /// The durations of the promotion's phases, as the leaseholder logged them, in milliseconds.
    pub phases: BTreeMap<String, f64>,
}

/// The measurements of all failovers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GapReport {
    /// The successful runs.
    pub runs: Vec<GapRun>,
    /// The reasons of the failed runs.
    pub failed: Vec<String>,
}

impl GapReport {
    /// Returns the median gap in milliseconds, if there are runs.
    pub fn median_ms(&self) -> Option<f64> {
        let mut gaps: Vec<f64> = self.runs.iter().map(|run| run.gap_ms).collect();
        gaps.sort_by(f64::total_cmp);
        gaps.get(gaps.len() / 2).copied()
    }

    /// Returns the worst gap in milliseconds, if there are runs.
    pub fn worst_ms(&self) -> Option<f64> {
        self.runs
            .iter()
            .map(|run| run.gap_ms)
            .max_by(f64::total_cmp)
    }
}

impl fmt::Display for GapReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, run) in self.runs.iter().enumerate() {
            write!(
                formatter,
                "run {:>3}: gap {:>7.0} ms, from fault {:>7.0} ms,",
                number + 1,
                run.gap_ms,
                run.from_fault_ms,
            )?;
            for (phase, millis) in &run.phases {
                write!(formatter, " {phase} {millis:.0}")?;
            }
            writeln!(formatter)?;
        }
        for fault in &self.failed {
            writeln!(formatter, "failed: {fault}")?;
        }
        if let (Some(median), Some(worst)) = (self.median_ms(), self.worst_ms()) {
            writeln!(
                formatter,
                "{} runs, {} failed: median {median:.0} ms, worst {worst:.0} ms",
                self.runs.len(),
                self.failed.len(),
            )?;
        }
        Ok(())
    }
}

/// Measures failovers of the set's first group, one after the other.
///
/// # Errors
///
/// Returns the [`SetFault`] that prevents the next run. The set's processes are left as they are.
pub async fn measure_gaps(
    set: &mut LabSet,
    fault: PrimaryFault,
    runs: usize,
    seed: u64,
) -> Result<GapReport, SetFault> {
    let group = set.group_names()[0];
    let mut random = StdRng::seed_from_u64(seed);
    let mut report = GapReport::default();
    for number in 0..runs {
        set.wait_until_whole(group, WHOLE_TIMEOUT).await?;
        let warm_up = WARM_UP_MS + random.random_range(0..MAX_JITTER_MS);
        let warm_up = Duration::from_millis(warm_up);
        match measure_gap(set, group, fault, warm_up).await? {
            Ok(run) => {
                log::info!("event=gap run={number} gap_ms={:.0}", run.gap_ms);
                report.runs.push(run);
            }
            Err(reason) => {
                log::warn!("event=gap_failed run={number} reason=\"{reason}\"");
                report.failed.push(reason);
            }
        }
    }
    Ok(report)
}

/// Measures one failover. The inner error is the reason of a failed run, after which the next one
/// can start.
async fn measure_gap(
    set: &mut LabSet,
    group: &str,
    fault: PrimaryFault,
    warm_up: Duration,
) -> Result<Result<GapRun, String>, SetFault> {
    let Some(primary) = set.find_primary(group).await else {
        return Ok(Err("no primary before the fault".to_owned()));
    };
    let old = set.endpoints[primary].instance.clone();
    let log_starts = read_log_lengths(set);
    let (mut writers, mut acknowledged_writes) = start_writers(set, group);
    sleep(warm_up).await;
    let fault_at = Instant::now();
    begin_fault(set, primary, fault).await?;
    let found = timeout(
        SUCCESSOR_TIMEOUT,
        wait_for_successor_write(&mut acknowledged_writes, &old),
    )
    .await;
    writers.shutdown().await;
    end_fault(set, primary, fault).await?;
    let Ok(Some((last_old, first_new))) = found else {
        return Ok(Err(format!(
            "no write was acknowledged after the fault of {old}"
        )));
    };
    let Some(last_old) = last_old else {
        return Ok(Err(format!("{old} acknowledged no write before the fault")));
    };
    Ok(Ok(GapRun {
        gap_ms: to_millis(first_new.duration_since(last_old)),
        from_fault_ms: to_millis(first_new.duration_since(fault_at)),
        phases: read_phases(set, group, &log_starts),
    }))
}

async fn begin_fault(
    set: &mut LabSet,
    primary: usize,
    fault: PrimaryFault,
) -> Result<(), SetFault> {
    match fault {
        PrimaryFault::Kill => set.kill_endpoint(primary),
        PrimaryFault::Cut => set.set_cut(primary, true).await,
        PrimaryFault::Freeze => {
            if let Some(child) = set.endpoint_child(primary) {
                child.freeze()?;
            }
        }
    }
    Ok(())
}

async fn end_fault(set: &mut LabSet, primary: usize, fault: PrimaryFault) -> Result<(), SetFault> {
    match fault {
        PrimaryFault::Kill => set.replace_endpoint(primary).await?,
        PrimaryFault::Cut => set.set_cut(primary, false).await,
        PrimaryFault::Freeze => {
            if let Some(child) = set.endpoint_child(primary) {
                child.thaw()?;
            }
        }
    }
    Ok(())
}

/// An acknowledged write: its time and the instance that served it.
#[derive(Debug)]
struct AcknowledgedWrite {
    at: Instant,
    instance: String,
}

/// Waits for the first write of a successor. Returns the times of the old primary's last write, if
/// there was one, and of the successor's first.
///
/// The writers' messages may arrive slightly out of order, so the latest time of the old primary's
/// writes counts rather than the last one received.
async fn wait_for_successor_write(
    acknowledged_writes: &mut mpsc::UnboundedReceiver<AcknowledgedWrite>,
    old: &str,
) -> Option<(Option<Instant>, Instant)> {
    let mut last_old = None;
    loop {
        let write = acknowledged_writes.recv().await?;
        if write.instance != old {
            return Some((last_old, write.at));
        }
        last_old = last_old.max(Some(write.at));
    }
}

fn start_writers(
    set: &LabSet,
    group: &str,
) -> (JoinSet<()>, mpsc::UnboundedReceiver<AcknowledgedWrite>) {
    let (sender, acknowledged_writes) = mpsc::unbounded_channel();
    let gateways = set.gateways();
    let mut writers = JoinSet::new();
    for number in 0..WRITERS {
        let settings = CallerSettings {
            gateway: gateways[number as usize % gateways.len()],
            customer: set.size().customer.to_owned(),
            group: group.to_owned(),
            session: format!("writer-{number}"),
        };
        let first = Instant::now() + WRITE_PERIOD * number / WRITERS;
        writers.spawn(run_writer(settings, first, sender.clone()));
    }
    (writers, acknowledged_writes)
}

/// Writes every [`WRITE_PERIOD`] and sends acknowledged writes to the channel. If a write takes
/// longer, the missed ticks are skipped.
async fn run_writer(
    settings: CallerSettings,
    first: Instant,
    acknowledged_writes: mpsc::UnboundedSender<AcknowledgedWrite>,
) {
    let marks = StatementMarks {
        kind: Some(UPDATE_KIND),
        ..StatementMarks::default()
    };
    let statement = format!("{marks} put {} x", settings.session);
    let mut caller = None;
    let mut next = first;
    loop {
        sleep_until(next).await;
        while next <= Instant::now() {
            next += WRITE_PERIOD;
        }
        if caller.as_ref().is_none_or(GatewayCaller::is_closed) {
            caller = GatewayCaller::open(&settings).await.ok();
        }
        let Some(open) = caller.as_mut() else {
            continue;
        };
        match open.run(&statement, WRITE_TIMEOUT).await {
            CallerVerdict::Ran {
                served: Some(served),
                ..
            } => {
                let write = AcknowledgedWrite {
                    at: Instant::now(),
                    instance: served.instance,
                };
                // The receiver is dropped once the gap has been measured.
                let _ = acknowledged_writes.send(write);
            }
            CallerVerdict::Unanswered => caller = None,
            _ => {}
        }
    }
}

fn read_log_lengths(set: &mut LabSet) -> Vec<usize> {
    read_logs(set).iter().map(String::len).collect()
}

fn read_logs(set: &mut LabSet) -> Vec<String> {
    let indices = 0..set.daemons.len();
    indices
        .map(|index| {
            let child = set.daemon_child(index);
            child
                .and_then(|child| child.read_log().ok())
                .unwrap_or_default()
        })
        .collect()
}

/// Collects the promotion phases that the daemons have logged since their logs had these lengths.
fn read_phases(set: &mut LabSet, group: &str, starts: &[usize]) -> BTreeMap<String, f64> {
    let mut phases = BTreeMap::new();
    for (text, start) in read_logs(set).iter().zip(starts) {
        let lines = text.get(*start..).unwrap_or_default().lines();
        phases.extend(lines.filter_map(|line| parse_phase(line, group)));
    }
    phases
}

/// Parses a log line with `event=promotion_phase group=GROUP phase=PHASE ms=MILLIS` and returns
/// phase and duration; `None` for other lines and groups.
pub fn parse_phase(line: &str, group: &str) -> Option<(String, f64)> {
    let value = |key: &str| {
        line.split_whitespace()
            .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    };
    if value("event") != Some("promotion_phase") || value("group") != Some(group) {
        return None;
    }
    Some((value("phase")?.to_owned(), value("ms")?.parse().ok()?))
}

fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
