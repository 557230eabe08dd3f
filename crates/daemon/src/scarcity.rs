//! Reports of a group's scarcity of slots and of its priority levels to the log and the metrics.

use crate::log_event;
use crate::metrics::DaemonMetrics;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_policy::GroupScheduler;
use ragwort_policy::LevelCounts;
use ragwort_types::GroupName;

/// What was last reported of a group's scheduler.
#[derive(Debug, Default)]
pub(crate) struct ScarcityReport {
    /// The period of scarcity whose begin was logged and whose end wasn't yet.
    period: Option<ReportedPeriod>,
    /// The number of periods that the metrics contain.
    counted_periods: u64,
    /// The counts of each level that the metrics contain.
    counted_levels: Vec<LevelCounts>,
}

#[derive(Debug)]
struct ReportedPeriod {
    since: ClockTime,
    counts: LevelCounts,
}

impl ScarcityReport {
    /// Logs the begin or end of scarcity since the last call, and updates the metrics if there was
    /// one.
    ///
    /// A period may be as short as the interval of the metrics, and would otherwise be missing in
    /// them.
    pub(crate) fn note_change(
        &mut self,
        now: ClockTime,
        group: &GroupName,
        scheduler: &GroupScheduler,
        metrics: &DaemonMetrics,
    ) {
        let scarce = scheduler.is_scarce(now);
        if scarce == self.period.is_some() {
            return;
        }
        match self.period.take() {
            Some(period) => log_end(now, group, &period, scheduler),
            None => {
                let counts = sum_levels(scheduler.level_counts());
                log_event!(
                    Level::Info,
                    "slots_scarce",
                    group = group,
                    waiting = scheduler.waiting(),
                    slots = scheduler.usable_slots(),
                );
                self.period = Some(ReportedPeriod { since: now, counts });
            }
        }
        self.update_metrics(now, group, scheduler, metrics);
    }

    /// Passes what has changed since the last call to the metrics.
    pub(crate) fn update_metrics(
        &mut self,
        now: ClockTime,
        group: &GroupName,
        scheduler: &GroupScheduler,
        metrics: &DaemonMetrics,
    ) {
        let scarcity = scheduler.scarcity(now);
        metrics.set_slots_scarce(group, scarcity.lasts_micros.is_some());
        metrics.count_scarcity(scarcity.periods.saturating_sub(self.counted_periods));
        self.counted_periods = scarcity.periods;
        let levels = scheduler.level_counts();
        self.counted_levels
            .resize(levels.len(), LevelCounts::default());
        for (level, (counts, counted)) in levels.iter().zip(&self.counted_levels).enumerate() {
            metrics.count_level(level, &counts.since(counted));
        }
        self.counted_levels = levels.to_vec();
    }
}

fn log_end(now: ClockTime, group: &GroupName, period: &ReportedPeriod, scheduler: &GroupScheduler) {
    let counts = sum_levels(scheduler.level_counts()).since(&period.counts);
    log_event!(
        Level::Info,
        "slots_sufficient",
        group = group,
        scarce_ms = now.since(period.since).as_millis(),
        dispatched = counts.dispatched,
        dispatched_late = counts.dispatched_late,
        refused = counts.refused_for_slots,
    );
}

fn sum_levels(levels: &[LevelCounts]) -> LevelCounts {
    let mut sum = LevelCounts::default();
    for counts in levels {
        sum.add(counts);
    }
    sum
}
