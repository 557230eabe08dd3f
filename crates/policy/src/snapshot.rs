//! A scheduler's state for dumps and metrics.

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
    /// Urgent requests that wait.
    pub waiting_urgent: usize,
    /// Ordinary requests that wait.
    pub waiting_ordinary: usize,
    /// Statements of open transactions that wait.
    pub waiting_pinned: usize,
    /// The age of the oldest waiting request, in microseconds.
    pub oldest_wait_micros: u64,
    /// Retries that the budget still allows.
    pub retries_left: u32,
    /// Counts since the start.
    pub counts: SchedulerCounts,
}

/// What a scheduler did since its start.
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
    /// Requests sent to an endpoint to see whether it has recovered.
    pub trials: u64,
    /// Requests that were queued a second time.
    pub retried: u64,
    /// Final refusals by cause.
    pub refused: BTreeMap<RefusalCause, u64>,
    /// The time that dispatched requests had waited, in microseconds.
    pub waited_micros: u64,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The instance.
    pub instance: InstanceName,
    /// What it is used for.
    pub role: EndpointRole,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How many statements it runs at once.
    pub slots: u32,
    /// How many run now.
    pub slots_held: u32,
    /// Long jobs among them.
    pub long_running: u32,
    /// Open connections.
    pub open: u32,
    /// Connections being opened.
    pub opening: u32,
    /// Connections held by transactions.
    pub pinned: u32,
    /// How much work it gets.
    pub health: HealthLevel,
    /// The factor by which its runs are longer than expected.
    pub slowdown: f64,
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerSnapshot {
    /// The customer.
    pub customer: CustomerName,
    /// Its weight.
    pub slot_share: u32,
    /// Its waiting urgent requests.
    pub waiting_urgent: usize,
    /// Its waiting ordinary requests.
    pub waiting_ordinary: usize,
    /// The slot time that it was given since the start, in microseconds.
    pub slot_micros: u64,
    /// Connections that its transactions hold.
    pub pinned: u32,
}

/// The estimate of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindSnapshot {
    /// The customer.
    pub customer: CustomerName,
    /// The kind.
    pub kind: KindName,
    /// The expected run, in microseconds.
    pub expected_micros: u64,
    /// The mean distance from it, in microseconds.
    pub deviation_micros: u64,
    /// Whether the kind is treated as long.
    pub long: bool,
}

impl SchedulerSnapshot {
    /// Reads a scheduler's state.
    pub(crate) fn collect(scheduler: &GroupScheduler, now: ClockTime) -> Self {
        let queue = &scheduler.queue;
        let oldest = queue.iter().map(|request| request.arrived).min();
        let endpoints = scheduler.endpoints.records().iter();
        Self {
            endpoints: endpoints.map(EndpointSnapshot::collect).collect(),
            customers: collect_customers(scheduler),
            kinds: collect_kinds(scheduler),
            waiting_urgent: queue.count_lanes(|lane| lane.urgent),
            waiting_ordinary: queue.count_lanes(|lane| !lane.urgent),
            waiting_pinned: queue.pinned().len(),
            oldest_wait_micros: oldest.map_or(0, |oldest| to_micros(now.since(oldest))),
            retries_left: scheduler.retries.left(),
            counts: scheduler.counts.clone(),
        }
    }
}

impl EndpointSnapshot {
    fn collect(record: &EndpointRecord) -> Self {
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
            health: record.health.level(),
            slowdown: record.health.slowdown(),
        }
    }
}

fn collect_customers(scheduler: &GroupScheduler) -> Vec<CustomerSnapshot> {
    let records = scheduler.customers.records().iter().enumerate();
    let snapshots = records.map(|(index, record)| {
        let queue = &scheduler.queue.customers()[index];
        CustomerSnapshot {
            customer: record.terms.customer.clone(),
            slot_share: record.terms.slot_share,
            waiting_urgent: queue.count(true),
            waiting_ordinary: queue.count(false),
            slot_micros: record.slot_micros,
            pinned: record.pins,
        }
    });
    snapshots.collect()
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
