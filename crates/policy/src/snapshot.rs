//! Snapshot of a scheduler's state for dumps and metrics.

use crate::ClockTime;
use crate::EndpointRole;
use crate::GroupScheduler;
use crate::HealthLevel;
use crate::endpoints::EndpointRecord;
use crate::time::to_micros;
use ragwort_types::CustomerName;
use ragwort_types::InstanceName;
use ragwort_types::KindName;
use ragwort_types::RefusalCause;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of a scheduler at one moment, and its counts since the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerSnapshot {
    /// The endpoints, by name.
    pub endpoints: Vec<EndpointSnapshot>,
    /// The customers, by name.
    pub customers: Vec<CustomerSnapshot>,
    /// The estimates of run time, by customer and kind.
    pub kinds: Vec<KindSnapshot>,
    /// The number of waiting urgent requests.
    pub waiting_urgent: usize,
    /// The number of waiting ordinary requests.
    pub waiting_ordinary: usize,
    /// The number of waiting statements of open transactions.
    pub waiting_pinned: usize,
    /// The age of the oldest waiting request, in microseconds.
    pub oldest_wait_micros: u64,
    /// The number of retries that the budget allows.
    pub retries_left: u32,
    /// The number of waiting requests that were rejected and pause before their next dispatch.
    pub paused: usize,
    /// The number of endpoints that get less than their full work.
    pub reduced_endpoints: usize,
    /// Counts since the start.
    pub counts: SchedulerCounts,
    /// The scarcity of slots.
    #[serde(default)]
    pub scarcity: ScarcitySnapshot,
    /// The priority levels, from the first one on.
    #[serde(default)]
    pub levels: Vec<LevelSnapshot>,
}

/// The scarcity of a group's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScarcitySnapshot {
    /// How long slots have been scarce, in microseconds; `None` if they aren't.
    pub lasts_micros: Option<u64>,
    /// The number of periods of scarcity since the start.
    pub periods: u64,
    /// The total time of scarcity since the start, in microseconds.
    pub total_micros: u64,
}

/// The requests of one priority level. Requests without a level count as level 0 if they are
/// urgent and as level 1 otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelSnapshot {
    /// The number of waiting requests outside of transactions.
    pub waiting: usize,
    /// The number of those that can no longer meet their target.
    pub waiting_late: usize,
    /// Counts since the start.
    pub counts: LevelCounts,
}

/// Counts of the requests of one priority level since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelCounts {
    /// Requests that were sent to an instance, retries included.
    pub dispatched: u64,
    /// Those among them that could no longer meet their target.
    pub dispatched_late: u64,
    /// Requests that were refused because they couldn't end before their deadline or the queue was
    /// full.
    pub refused_for_slots: u64,
    /// The slot time used, in microseconds.
    pub slot_micros: u64,
}

/// Counts of a scheduler's decisions since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests sent to an instance, retries included.
    pub dispatched: u64,
    /// Reads sent to replicas.
    pub replica_reads: u64,
    /// Reads that the contract allowed a replica to serve.
    pub permitted_reads: u64,
    /// Requests sent to a cut-off endpoint as trials of its recovery.
    pub trials: u64,
    /// Requests that were queued again after a dispatch, unless their connection was found dead
    /// before they were sent.
    pub retried: u64,
    /// Statements that an instance rejected, which did not run.
    pub rejected: u64,
    /// Statements that ran, failed and may run again.
    pub failed: u64,
    /// Requests that were rejected or failed and were sent to another instance.
    pub retried_elsewhere: u64,
    /// Final refusals by cause.
    pub refused: BTreeMap<RefusalCause, u64>,
    /// The total waiting time of dispatched requests, in microseconds.
    pub waited_micros: u64,
    /// Reports of the accounts that have an idle connection to an instance.
    pub idle_reports: u64,
    /// Requests that were placed behind those that can still meet their target.
    #[serde(default)]
    pub targets_missed: u64,
}

/// The state of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The instance.
    pub instance: InstanceName,
    /// The work that it accepts.
    pub role: EndpointRole,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The number of statements that it runs concurrently.
    pub slots: u32,
    /// The number of statements that run now.
    pub slots_held: u32,
    /// The number of long jobs among them.
    pub long_running: u32,
    /// The number of open connections.
    pub open: u32,
    /// The number of connections being opened.
    pub opening: u32,
    /// The number of connections held by transactions.
    pub pinned: u32,
    /// The part of its slots that it gets work for that others could do.
    pub health: HealthLevel,
    /// Whether its load grows after an outage.
    pub restarted: bool,
    /// The factor by which its runs are longer than expected.
    pub slowdown: f64,
    /// The share of statements that it has rejected recently.
    pub rejected_share: f64,
    /// The share of reads that it has failed recently.
    pub failed_share: f64,
}

/// The state of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSnapshot {
    /// The customer.
    pub customer: CustomerName,
    /// Its weight.
    pub slot_share: u32,
    /// The number of its waiting urgent requests.
    pub waiting_urgent: usize,
    /// The number of its waiting ordinary requests.
    pub waiting_ordinary: usize,
    /// The slot time that it has used since the start, in microseconds.
    pub slot_micros: u64,
    /// The number of connections that its transactions hold.
    pub pinned: u32,
}

/// The run time estimate of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindSnapshot {
    /// The customer.
    pub customer: CustomerName,
    /// The kind.
    pub kind: KindName,
    /// The expected run time, in microseconds.
    pub expected_micros: u64,
    /// The mean absolute deviation from it, in microseconds.
    pub deviation_micros: u64,
    /// Whether the kind counts as long.
    pub long: bool,
}

impl LevelCounts {
    /// Returns what was counted since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            dispatched: self.dispatched - earlier.dispatched,
            dispatched_late: self.dispatched_late - earlier.dispatched_late,
            refused_for_slots: self.refused_for_slots - earlier.refused_for_slots,
            slot_micros: self.slot_micros - earlier.slot_micros,
        }
    }

    /// Adds the counts of another level.
    pub fn add(&mut self, other: &Self) {
        self.dispatched += other.dispatched;
        self.dispatched_late += other.dispatched_late;
        self.refused_for_slots += other.refused_for_slots;
        self.slot_micros += other.slot_micros;
    }
}

impl SchedulerSnapshot {
    /// Collects the state of a scheduler.
    pub(crate) fn collect(scheduler: &GroupScheduler, now: ClockTime) -> Self {
        let queue = &scheduler.queue;
        let oldest = queue.iter().map(|request| request.arrived).min();
        let endpoints = scheduler.endpoints.records().iter();
        let paused = |pinned: bool, urgent: bool| {
            let requests = scheduler.paused.iter().map(|paused| &paused.request);
            let counted = requests.filter(|request| {
                request.pinned_to.is_some() == pinned && request.lane.urgent == urgent
            });
            counted.count()
        };
        let reduced = endpoints.clone();
        let reduced = reduced.filter(|record| record.level() != HealthLevel::Full);
        Self {
            endpoints: endpoints.map(EndpointSnapshot::collect).collect(),
            customers: collect_customers(scheduler),
            kinds: collect_kinds(scheduler),
            waiting_urgent: queue.count_urgency(true) + paused(false, true),
            waiting_ordinary: queue.count_urgency(false) + paused(false, false),
            waiting_pinned: queue.pinned().len() + paused(true, false) + paused(true, true),
            oldest_wait_micros: oldest.map_or(0, |oldest| to_micros(now.since(oldest))),
            retries_left: scheduler.retries.left(),
            paused: scheduler.paused.len(),
            reduced_endpoints: reduced.count(),
            counts: scheduler.counts.clone(),
            scarcity: scheduler.scarcity.snapshot(now),
            levels: collect_levels(scheduler),
        }
    }
}

impl EndpointSnapshot {
    pub(crate) fn collect(record: &EndpointRecord) -> Self {
        let long = record.running.iter().filter(|running| running.long);
        Self {
            instance: record.state.instance.clone(),
            role: record.state.role,
            leaving: record.state.leaving,
            slots: record.state.slots,
            slots_held: saturate(record.running.len()),
            long_running: saturate(long.count()),
            open: record.open,
            opening: record.opening,
            pinned: saturate(record.pins.len()),
            health: record.level(),
            restarted: record.restarts.is_active(),
            slowdown: record.health.slowdown(),
            rejected_share: record.faults.rejected_share(),
            failed_share: record.faults.failed_share(),
        }
    }
}

fn collect_customers(scheduler: &GroupScheduler) -> Vec<CustomerSnapshot> {
    let records = scheduler.customers.records().iter().enumerate();
    let snapshots = records.map(|(index, record)| {
        let queue = &scheduler.queue;
        CustomerSnapshot {
            customer: record.terms.customer.clone(),
            slot_share: record.terms.slot_share,
            waiting_urgent: queue.count(index, true),
            waiting_ordinary: queue.count(index, false),
            slot_micros: record.slot_micros,
            pinned: record.pins,
        }
    });
    snapshots.collect()
}

fn collect_levels(scheduler: &GroupScheduler) -> Vec<LevelSnapshot> {
    let mut levels = scheduler.level_counts.map(|counts| LevelSnapshot {
        counts,
        ..LevelSnapshot::default()
    });
    for lane in scheduler.queue.lanes() {
        let level = &mut levels[lane.kind.level.index()];
        level.waiting += lane.entries.len();
        if lane.kind.target_missed {
            level.waiting_late += lane.entries.len();
        }
    }
    levels.into()
}

fn collect_kinds(scheduler: &GroupScheduler) -> Vec<KindSnapshot> {
    let names = scheduler.estimates.names();
    let snapshots = names.map(|(customer, kind, index)| {
        let estimate = scheduler.estimates.get(index);
        KindSnapshot {
            customer: customer.clone(),
            kind: kind.clone(),
            expected_micros: to_micros(estimate.expected()),
            deviation_micros: to_micros(estimate.deviation()),
            long: estimate.is_long(),
        }
    });
    snapshots.collect()
}

fn saturate(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
