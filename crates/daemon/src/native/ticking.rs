//! Periodic checks of the leaseholder: idle transactions and connections, silent endpoints, a
//! failed primary, handover, recorded endpoints and metrics.

use super::NativeTask;
use super::TICK;
use super::link::CloseCause;
use super::link::LinkId;
use super::pool::ConnectionWork;
use ragwort_types::InstanceName;
use ragwort_types::TransactionId;
use std::time::Duration;

/// Ticks between two updates of the metrics.
const METRICS_TICKS: u64 = 100;

/// Ticks between two report requests to an instance whose promotion was ordered.
const PROMOTION_TICKS: u64 = 5;

/// Ticks between two checks of idle connections and of primaries whose term isn't known.
const MAINTENANCE_TICKS: u64 = 20;

/// Number of rounds over which the connection validations are spread that are due at the same time.
const VALIDATION_ROUNDS: usize = 4;

/// How long an account's unused connection is kept beyond what the load needs. Its repeated
/// validations cost the endpoint as much as a few statements in that time.
const ACCOUNT_KEEP_TIME: Duration = Duration::from_secs(6);

impl NativeTask {
    /// Runs the periodic checks. `passed` is the time since the last run.
    pub(super) fn handle_tick(&mut self, passed: Duration) {
        let before = self.ticks;
        self.ticks += count_ticks(passed);
        let crosses = |step: u64| before / step != self.ticks / step;
        let promotion_due = crosses(PROMOTION_TICKS);
        let maintenance_due = crosses(MAINTENANCE_TICKS);
        let metrics_due = crosses(METRICS_TICKS);
        self.end_idle_transactions();
        self.drop_silent_endpoints();
        self.report_positions();
        self.watch_primary();
        self.update_primary_forecast();
        self.tick_handover();
        self.tick_notes();
        if promotion_due {
            self.poll_promotion();
        }
        if maintenance_due {
            self.request_needed_reports();
            self.validate_long_idle_connections();
        }
        if metrics_due {
            self.update_metrics();
        }
    }

    fn drop_silent_endpoints(&mut self) {
        let lost = Duration::from_millis(self.context.settings.timing.announce_lost_ms);
        for instance in self.pool.find_silent(self.now(), lost) {
            self.drop_endpoint(&instance);
        }
    }

    /// Requests the reports of claimed primaries again whose term isn't known, as a request may be
    /// lost.
    fn request_needed_reports(&mut self) {
        for instance in self.pool.names() {
            self.request_report_if_needed(&instance);
        }
    }

    /// Starts the validation of connections that were idle for long, and closes those that the load
    /// doesn't need any more.
    ///
    /// A device on the path, such as a firewall, may have dropped the state of an idle connection,
    /// which then looks open and never answers. The validation finds that before a caller's
    /// statement does.
    fn validate_long_idle_connections(&mut self) {
        let now = self.now();
        let limit = Duration::from_millis(self.context.settings.timing.idle_ping_ms);
        for instance in self.pool.names() {
            let own = self.pool.connections();
            let idle = own.filter(|(_, one)| one.instance == instance && one.is_idle());
            let idle = idle.filter(|(_, one)| now.since(one.last_used) >= limit);
            let idle: Vec<LinkId> = idle.map(|(id, _)| id).collect();
            // Statements can't use a connection under validation, so only a part is validated at
            // once.
            let asked = idle.len().div_ceil(VALIDATION_ROUNDS);
            for id in idle.into_iter().take(asked) {
                self.close_or_validate(id, &instance);
            }
        }
    }

    fn close_or_validate(&mut self, id: LinkId, instance: &InstanceName) {
        let surplus = self.scheduler.surplus_connections(instance) > 0;
        // Any account may be the next to call, and each needs a connection of its own, so
        // connections are kept for longer than the total load requires.
        let unused = self
            .pool
            .connection(id)
            .map_or(Duration::ZERO, |one| self.now().since(one.last_statement));
        let scarce = self.context.descriptors.allowance().scarce;
        let kept = self.by_account && unused < ACCOUNT_KEEP_TIME && !scarce;
        if surplus && !kept {
            self.handle_closed(id, CloseCause::Released);
        } else if self.start_validation(id) {
            self.scheduler.connection_validation_started(instance);
        }
    }

    /// Ends the transactions that were idle for longer than the limit. Each holds one of the
    /// endpoint's few connections, and its caller may be gone.
    fn end_idle_transactions(&mut self) {
        let now = self.now();
        let limit = self.idle_transaction_limit();
        let idle = self.transactions.iter().filter(|(_, transaction)| {
            let running = self
                .pool
                .connection(transaction.link)
                .is_some_and(|one| one.work != ConnectionWork::Nothing);
            now.since(transaction.last_used) > limit && !running
        });
        let idle: Vec<TransactionId> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.end_transaction(id);
        }
    }

    fn idle_transaction_limit(&self) -> Duration {
        let default = self.context.settings.timing.idle_transaction_ms;
        let view = self.view.borrow();
        let terms = view.copy.group_terms(&self.group);
        Duration::from_millis(terms.map_or(default, |terms| terms.idle_transaction_ms))
    }

    fn update_metrics(&self) {
        let metrics = &self.context.metrics;
        let state = self.scheduler.snapshot(self.now());
        let waiting = state.waiting_urgent + state.waiting_ordinary + state.waiting_pinned;
        metrics.set_queue_length(&self.group, waiting);
        metrics.set_endpoint_connections(&self.group, self.pool.connection_count());
        if let Some((_, term)) = &self.leading {
            metrics.set_group_term(&self.group, *term);
        }
    }
}

/// Converts a time to a number of ticks, rounded down, at least one.
fn count_ticks(passed: Duration) -> u64 {
    let ticks = passed.as_millis() / TICK.as_millis();
    u64::try_from(ticks).unwrap_or(u64::MAX).max(1)
}
