//! Logs and metrics of endpoints that get less than their full work.

use crate::log_event;
use crate::metrics::DaemonMetrics;
use log::Level;
use ragwort_policy::ClockTime;
use ragwort_policy::GroupScheduler;
use ragwort_policy::HealthLevel;
use ragwort_policy::SchedulerCounts;
use ragwort_policy::SchedulerSnapshot;
use ragwort_types::GroupName;

/// Logs the endpoints of a group that were reduced, were cut off or are back at full.
pub(crate) fn log_level_changes(now: ClockTime, group: &GroupName, scheduler: &mut GroupScheduler) {
    for endpoint in scheduler.take_level_changes(now) {
        let level = match endpoint.health {
            HealthLevel::Full => "full",
            HealthLevel::Half => "reduced",
            HealthLevel::Cut => "cut_off",
        };
        log_event!(
            Level::Warn,
            "endpoint_level",
            group = group,
            instance = endpoint.instance,
            level = level,
            rejected = format!("{:.2}", endpoint.rejected_share),
            failed = format!("{:.2}", endpoint.failed_share),
            slowdown = format!("{:.1}", endpoint.slowdown),
            restarted = endpoint.restarted,
        );
    }
}

/// The counts of a group's scheduler that the metrics contain already.
#[derive(Debug, Default)]
pub(crate) struct CountedFaults {
    counts: SchedulerCounts,
}

impl CountedFaults {
    /// Adds what was counted since the last call to the metrics.
    pub(crate) fn update(
        &mut self,
        group: &GroupName,
        state: &SchedulerSnapshot,
        metrics: &DaemonMetrics,
    ) {
        let counts = &state.counts;
        metrics.count_endpoint_faults(
            counts.rejected - self.counts.rejected,
            counts.failed - self.counts.failed,
            counts.retried_elsewhere - self.counts.retried_elsewhere,
        );
        metrics.set_reduced_endpoints(group, state.reduced_endpoints);
        self.counts = counts.clone();
    }
}
