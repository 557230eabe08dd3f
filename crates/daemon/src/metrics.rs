//! The daemon's metrics, for the platform's collector.
//!
//! No label holds a customer, session or endpoint: at the intended scale such labels would cost
//! more memory on each VM than the daemon itself.

use crate::descriptors::DescriptorUse;
use crate::shortage::count_shortages;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;
use ragwort_policy::LevelCounts;
use ragwort_policy::PoolMissAction;
use ragwort_policy::RelayOutcome;
use ragwort_types::BuildInfo;
use ragwort_types::CatalogRevision;
use ragwort_types::GroupName;
use ragwort_types::GroupTerm;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementAnswer;
use ragwort_types::UrgencyClass;
use std::sync::Arc;
use std::time::Duration;

/// The upper bound of the first bucket of waiting times, in seconds; each further bucket is twice
/// as wide.
///
/// Half a millisecond is below one hop between failure domains, and 16 doublings reach 16 s, above
/// any deadline that a caller is likely to have.
const FIRST_WAIT_BUCKET_SECONDS: f64 = 0.000_5;
const WAIT_BUCKETS: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    verdict: &'static str,
    cause: String,
    class: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabels {
    source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GroupLabels {
    group: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LevelLabels {
    level: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DispatchLabels {
    level: usize,
    target: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FaultLabels {
    fault: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabels {
    purpose: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ActionLabels {
    action: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PointLabels {
    point: String,
}

/// What an account's limit decided about an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitOutcome {
    /// It began at once.
    AtOnce,
    /// It began after it had waited for a token.
    AfterWait,
    /// It was refused.
    Refused,
}

/// The metrics of one daemon; clones share the same values.
///
/// # Examples
///
/// ```
/// use ragwortgated::metrics::DaemonMetrics;
///
/// let metrics = DaemonMetrics::new();
/// metrics.count_invariant_failure("one answer per request");
/// assert!(metrics.to_text().contains("ragwort_invariant_failures_total"));
/// ```
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    registry: Arc<Registry>,
    requests: Family<RequestLabels, Counter>,
    reads: Family<SourceLabels, Counter>,
    queue_length: Family<GroupLabels, Gauge>,
    queue_wait: Histogram,
    slots_scarce: Family<GroupLabels, Gauge>,
    scarcity_periods: Counter,
    level_dispatches: Family<DispatchLabels, Counter>,
    level_refusals: Family<LevelLabels, Counter>,
    level_slot_time: Family<LevelLabels, Counter>,
    caller_connections: Gauge,
    caller_faults: Family<FaultLabels, Counter>,
    refused_announcements: Counter,
    statement_connections: Family<ActionLabels, Counter>,
    endpoint_connections: Family<GroupLabels, Gauge>,
    reduced_endpoints: Family<GroupLabels, Gauge>,
    rejected_statements: Counter,
    failed_reads: Counter,
    retries_elsewhere: Counter,
    lease_held: Gauge,
    groups_led: Gauge,
    group_term: Family<GroupLabels, Gauge>,
    catalog_revision: Gauge,
    invariant_failures: Family<PointLabels, Counter>,
    descriptors: Family<PurposeLabels, Gauge>,
    descriptor_limit: Gauge,
    shortages: Counter,
    account_operations: Family<OutcomeLabels, Counter>,
    relay_tries: Family<OutcomeLabels, Counter>,
    relayed: Family<OutcomeLabels, Counter>,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let buckets = exponential_buckets(FIRST_WAIT_BUCKET_SECONDS, 2.0, WAIT_BUCKETS);
        let mut metrics = Self {
            registry: Arc::new(Registry::default()),
            requests: Family::default(),
            reads: Family::default(),
            queue_length: Family::default(),
            queue_wait: Histogram::new(buckets),
            slots_scarce: Family::default(),
            scarcity_periods: Counter::default(),
            level_dispatches: Family::default(),
            level_refusals: Family::default(),
            level_slot_time: Family::default(),
            caller_connections: Gauge::default(),
            caller_faults: Family::default(),
            refused_announcements: Counter::default(),
            statement_connections: Family::default(),
            endpoint_connections: Family::default(),
            reduced_endpoints: Family::default(),
            rejected_statements: Counter::default(),
            failed_reads: Counter::default(),
            retries_elsewhere: Counter::default(),
            lease_held: Gauge::default(),
            groups_led: Gauge::default(),
            group_term: Family::default(),
            catalog_revision: Gauge::default(),
            invariant_failures: Family::default(),
            descriptors: Family::default(),
            descriptor_limit: Gauge::default(),
            shortages: Counter::default(),
            account_operations: Family::default(),
            relay_tries: Family::default(),
            relayed: Family::default(),
        };
        metrics.registry = Arc::new(metrics.register_all());
        metrics
    }

    fn register_all(&self) -> Registry {
        let mut registry = Registry::with_prefix("ragwort");
        let build = BuildInfo::of_program();
        registry.register(
            "build",
            "Version and sources of this program",
            Info::new([("version", build.version), ("sources", build.sources)]),
        );
        registry.register("requests", "Requests by verdict", self.requests.clone());
        registry.register("reads", "Reads by who served them", self.reads.clone());
        registry.register(
            "queue_length",
            "Requests that wait at this leaseholder",
            self.queue_length.clone(),
        );
        registry.register(
            "reduced_endpoints",
            "Endpoints of the group that get less than their full work",
            self.reduced_endpoints.clone(),
        );
        registry.register(
            "rejected_statements",
            "Statements that an endpoint rejected without running them",
            self.rejected_statements.clone(),
        );
        registry.register(
            "failed_reads",
            "Reads that an endpoint ran and failed, and that may run again",
            self.failed_reads.clone(),
        );
        registry.register(
            "retries_elsewhere",
            "Rejected or failed statements that were sent to another endpoint",
            self.retries_elsewhere.clone(),
        );
        registry.register(
            "queue_wait_seconds",
            "Time from arrival to dispatch at this leaseholder",
            self.queue_wait.clone(),
        );
        self.register_levels(&mut registry);
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "caller_faults",
            "Callers' connections ended by a fault",
            self.caller_faults.clone(),
        );
        registry.register(
            "refused_announcements",
            "Announcements that name no endpoint to use",
            self.refused_announcements.clone(),
        );
        registry.register(
            "statement_connections",
            "Connections opened for statements that had none, and closed as unused by an account",
            self.statement_connections.clone(),
        );
        registry.register(
            "endpoint_connections",
            "Open connections to endpoints",
            self.endpoint_connections.clone(),
        );
        registry.register(
            "lease_held",
            "Whether this VM holds a lease",
            self.lease_held.clone(),
        );
        registry.register(
            "groups_led",
            "Groups of which this VM is the leaseholder",
            self.groups_led.clone(),
        );
        registry.register(
            "group_term",
            "Term of each group that this VM leads",
            self.group_term.clone(),
        );
        registry.register(
            "catalog_revision",
            "Catalog revision in force on this VM",
            self.catalog_revision.clone(),
        );
        registry.register(
            "invariant_failures",
            "Failed checks of what must always hold",
            self.invariant_failures.clone(),
        );
        registry.register(
            "descriptors",
            "Descriptors held, by what they are held for",
            self.descriptors.clone(),
        );
        registry.register(
            "descriptor_limit",
            "Descriptors that this process may hold",
            self.descriptor_limit.clone(),
        );
        registry.register(
            "resource_shortages",
            "Connections that failed for want of this VM's own resources",
            self.shortages.clone(),
        );
        registry.register(
            "account_operations",
            "Operations of accounts with a limit, by how the limit decided",
            self.account_operations.clone(),
        );
        registry.register(
            "relay_tries",
            "Tries to forward a statement through another gateway, by outcome",
            self.relay_tries.clone(),
        );
        registry.register(
            "relayed_statements",
            "Statements that other gateways asked this one to forward, by outcome",
            self.relayed.clone(),
        );
        registry
    }

    fn register_levels(&self, registry: &mut Registry) {
        registry.register(
            "slots_scarce",
            "Whether requests of a group miss their targets or are refused for want of slots",
            self.slots_scarce.clone(),
        );
        registry.register(
            "scarcity_periods",
            "Periods of scarcity of slots that have begun",
            self.scarcity_periods.clone(),
        );
        registry.register(
            "level_dispatches",
            "Dispatches by priority level and by whether the target could still be met",
            self.level_dispatches.clone(),
        );
        registry.register(
            "level_refusals",
            "Refusals for want of slots by priority level",
            self.level_refusals.clone(),
        );
        registry.register(
            "level_slot_microseconds",
            "Slot time by priority level",
            self.level_slot_time.clone(),
        );
    }

    /// Counts an announcement that names no usable endpoint; returns the number so far.
    pub fn count_refused_announcement(&self) -> u64 {
        self.refused_announcements.inc() + 1
    }

    /// Counts a connection that is opened for a statement because its account has no idle one.
    pub fn count_pool_miss(&self, action: PoolMissAction) {
        let action = match action {
            PoolMissAction::Open => "opened",
            PoolMissAction::Replace(_) => "replaced",
        };
        self.count_connection_action(action);
    }

    /// Counts a connection that is closed because its account hasn't used it.
    pub fn count_closed_unused(&self) {
        self.count_connection_action("closed_unused");
    }

    fn count_connection_action(&self, action: &'static str) {
        let labels = ActionLabels { action };
        self.statement_connections.get_or_create(&labels).inc();
    }

    /// Counts a request by its final verdict.
    pub fn count_request(&self, verdict: &RequestVerdict, class: UrgencyClass) {
        let (verdict, cause) = match verdict {
            RequestVerdict::Ran(StatementAnswer::Failed(_)) => ("failed", String::new()),
            RequestVerdict::Ran(_) => ("ran", String::new()),
            RequestVerdict::NotRun(refusal) => ("not_run", refusal.cause.to_string()),
            RequestVerdict::MayHaveRun(cause) => ("may_have_run", cause.to_string()),
        };
        let class = match class {
            UrgencyClass::Ordinary => "ordinary",
            UrgencyClass::Urgent => "urgent",
        };
        let labels = RequestLabels {
            verdict,
            cause: cause.replace(' ', "_"),
            class,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a read by the instance that served it.
    pub fn count_read(&self, served: &ServedBy) {
        let source = if served.replica { "replica" } else { "primary" };
        self.reads.get_or_create(&SourceLabels { source }).inc();
    }

    /// Counts an operation of an account with a limit.
    pub fn count_account_operation(&self, outcome: LimitOutcome) {
        let outcome = match outcome {
            LimitOutcome::AtOnce => "at_once",
            LimitOutcome::AfterWait => "after_wait",
            LimitOutcome::Refused => "refused",
        };
        let labels = OutcomeLabels { outcome };
        self.account_operations.get_or_create(&labels).inc();
    }

    /// Sets how many requests wait in a group's queue.
    pub fn set_queue_length(&self, group: &GroupName, length: usize) {
        set_group_gauge(&self.queue_length, group, length as i64);
    }

    /// Records how long a request waited in a queue.
    pub fn observe_queue_wait(&self, wait: Duration) {
        self.queue_wait.observe(wait.as_secs_f64());
    }

    /// Sets whether a group's slots are scarce.
    pub fn set_slots_scarce(&self, group: &GroupName, scarce: bool) {
        set_group_gauge(&self.slots_scarce, group, i64::from(scarce));
    }

    /// Counts periods of scarcity that have begun.
    pub fn count_scarcity(&self, periods: u64) {
        self.scarcity_periods.inc_by(periods);
    }

    /// Adds counts of one priority level. A level without requests gets no series.
    pub fn count_level(&self, level: usize, counts: &LevelCounts) {
        let timely = counts.dispatched - counts.dispatched_late;
        for (target, dispatches) in [("possible", timely), ("missed", counts.dispatched_late)] {
            if dispatches > 0 {
                let labels = DispatchLabels { level, target };
                let counter = self.level_dispatches.get_or_create(&labels);
                counter.inc_by(dispatches);
            }
        }
        let labels = LevelLabels { level };
        for (family, number) in [
            (&self.level_refusals, counts.refused_for_slots),
            (&self.level_slot_time, counts.slot_micros),
        ] {
            if number > 0 {
                family.get_or_create(&labels).inc_by(number);
            }
        }
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub fn open_caller_connection(&self) -> ConnectionCount {
        self.caller_connections.inc();
        ConnectionCount(self.caller_connections.clone())
    }

    /// Counts a caller's connection that a fault has ended.
    pub fn count_caller_fault(&self, fault: &'static str) {
        self.caller_faults
            .get_or_create(&FaultLabels { fault })
            .inc();
    }

    /// Sets how many connections are open to a group's endpoints.
    pub fn set_endpoint_connections(&self, group: &GroupName, count: usize) {
        set_group_gauge(&self.endpoint_connections, group, count as i64);
    }

    /// Sets how many endpoints of a group get less than their full work.
    pub fn set_reduced_endpoints(&self, group: &GroupName, count: usize) {
        set_group_gauge(&self.reduced_endpoints, group, count as i64);
    }

    /// Adds numbers of statements that endpoints rejected or failed, and of those that were sent to
    /// another endpoint because of it.
    pub fn count_endpoint_faults(&self, rejected: u64, failed: u64, elsewhere: u64) {
        self.rejected_statements.inc_by(rejected);
        self.failed_reads.inc_by(failed);
        self.retries_elsewhere.inc_by(elsewhere);
    }

    /// Sets whether this VM holds a lease.
    pub fn set_lease_held(&self, held: bool) {
        self.lease_held.set(i64::from(held));
    }

    /// Sets how many groups this VM leads.
    pub fn set_groups_led(&self, count: usize) {
        self.groups_led.set(count as i64);
    }

    /// Sets the term of a group that this VM leads.
    pub fn set_group_term(&self, group: &GroupName, term: GroupTerm) {
        set_group_gauge(&self.group_term, group, term.0 as i64);
    }

    /// Removes the values of a group that this VM doesn't lead any more.
    pub fn forget_group(&self, group: &GroupName) {
        let labels = GroupLabels {
            group: group.to_string(),
        };
        self.queue_length.remove(&labels);
        self.slots_scarce.remove(&labels);
        self.endpoint_connections.remove(&labels);
        self.reduced_endpoints.remove(&labels);
        self.group_term.remove(&labels);
    }

    /// Sets the catalog revision that is in force on this VM.
    pub fn set_catalog_revision(&self, revision: CatalogRevision) {
        self.catalog_revision.set(revision.0 as i64);
    }

    /// Returns the gauge of the descriptors held for a use.
    pub(crate) fn descriptor_gauge(&self, purpose: DescriptorUse) -> Gauge {
        if purpose == DescriptorUse::Callers {
            return self.caller_connections.clone();
        }
        let labels = PurposeLabels {
            purpose: purpose.as_str(),
        };
        self.descriptors.get_or_create(&labels).clone()
    }

    /// Sets how many descriptors this process may hold.
    pub(crate) fn set_descriptor_limit(&self, limit: u32) {
        self.descriptor_limit.set(i64::from(limit));
    }

    /// Counts a failed check of an invariant.
    pub fn count_invariant_failure(&self, point: &str) {
        let labels = PointLabels {
            point: point.replace(' ', "_"),
        };
        self.invariant_failures.get_or_create(&labels).inc();
    }

    /// Counts a try to forward a statement through another gateway.
    pub(crate) fn count_relay_outcome(&self, outcome: RelayOutcome) {
        let outcome = outcome.as_str();
        self.relay_tries
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a statement that another gateway asked this one to forward.
    pub(crate) fn count_relayed(&self, forwarded: bool) {
        let outcome = match forwarded {
            true => "forwarded",
            false => "refused",
        };
        self.relayed.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn to_text(&self) -> String {
        let seen = self.shortages.get();
        self.shortages
            .inc_by(count_shortages().saturating_sub(seen));
        let mut text = String::new();
        let encoded = encode(&mut text, &self.registry);
        debug_assert!(encoded.is_ok(), "writing to a string can't fail");
        text
    }
}

fn set_group_gauge(family: &Family<GroupLabels, Gauge>, group: &GroupName, value: i64) {
    let labels = GroupLabels {
        group: group.to_string(),
    };
    family.get_or_create(&labels).set(value);
}

/// Counts one open connection; dropping it counts the connection as closed.
#[derive(Debug)]
pub struct ConnectionCount(Gauge);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.dec();
    }
}
