//! Periodic checks of the leaseholder: idle transactions and connections, silent endpoints, a
//! failed primary, handover, recorded endpoints and metrics.

use super::CATALOG_INTERVAL;
use super::METRICS_INTERVAL;
use super::NativeTask;
use super::TICK;
use super::link::CloseCause;
use super::link::LinkId;
use super::pool::ConnectionWork;
use ragwort_control::ReplacementState;
use ragwort_policy::GroupCheck;
use ragwort_policy::is_worth_keeping;
use ragwort_policy::next_lapse;
use ragwort_types::InstanceName;
use ragwort_types::TransactionId;
use std::time::Duration;

/// Interval of the report requests to an instance whose promotion was ordered.
const PROMOTION_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the report requests to claimed primaries whose term isn't known.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between two rounds of connection validations.
const VALIDATION_INTERVAL: Duration = Duration::from_millis(200);

/// Number of rounds over which the connection validations are spread that are due at the same time.
const VALIDATION_ROUNDS: usize = 4;

impl NativeTask {
    /// Makes the checks due that request their next run themselves, or have to run once.
    pub(super) fn request_initial_checks(&mut self) {
        let now = self.now();
        for check in [
            GroupCheck::Silence,
            GroupCheck::Handover,
            GroupCheck::Records,
            GroupCheck::Connections,
            GroupCheck::Metrics,
        ] {
            self.checks.request(check, now);
        }
    }

    /// Makes the checks due whose result may differ after a change of the catalog view, and passes
    /// a changed connection limit to the scheduler.
    pub(super) fn request_checks_of_view(&mut self) {
        let terms = self.seen_copy.group_terms(&self.group);
        let connection_limit = terms.map(|terms| terms.connections);
        let interval = match self.requests.is_empty() {
            true => CATALOG_INTERVAL,
            false => TICK,
        };
        self.checks.request_after(GroupCheck::Handover, interval);
        self.checks
            .request_after(GroupCheck::Records, CATALOG_INTERVAL);
        if connection_limit != self.connection_limit {
            self.refresh_endpoints();
        }
    }

    /// Runs the checks that are due.
    pub(super) fn run_due_checks(&mut self) {
        for check in self.checks.take_due(self.now()) {
            match check {
                GroupCheck::Activity => self.check_activity(),
                GroupCheck::Silence => self.drop_silent_endpoints(),
                GroupCheck::Handover => self.check_handover(),
                GroupCheck::Records => self.check_notes(),
                GroupCheck::Promotion => self.poll_promotion(),
                GroupCheck::Reports => self.request_needed_reports(),
                GroupCheck::Connections => self.validate_long_idle_connections(),
                GroupCheck::Metrics => self.update_metrics(),
            }
        }
    }

    fn check_activity(&mut self) {
        let now = self.now();
        self.end_idle_transactions();
        self.report_positions();
        self.watch_primary();
        self.update_primary_forecast();
        if self.handover.is_begun() {
            self.advance_handover();
        }
        if self.replacement.state() == ReplacementState::Watching {
            let due = now + PROMOTION_INTERVAL;
            self.checks.request(GroupCheck::Promotion, due);
        }
        if self.roles.needs_any_report() {
            let due = now + REPORT_INTERVAL;
            self.checks.request(GroupCheck::Reports, due);
        }
    }

    fn drop_silent_endpoints(&mut self) {
        let now = self.now();
        let lost = Duration::from_millis(self.context.settings.timing.announce_lost_ms);
        for instance in self.pool.find_silent(now, lost) {
            self.drop_endpoint(&instance);
        }
        let heard = self.pool.endpoints().map(|one| one.last_heard_at());
        let due = next_lapse(now, heard.min(), lost);
        self.checks.request(GroupCheck::Silence, due);
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
        let allowance = self.context.descriptors.allowance();
        self.scheduler.set_allowance(allowance);
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
        let idle = self.pool.connections().filter(|(_, one)| one.is_idle());
        let oldest = idle.map(|(_, one)| one.last_used).min();
        let due = next_lapse(now, oldest, limit).max(now + VALIDATION_INTERVAL);
        self.checks.request(GroupCheck::Connections, due);
    }

    fn close_or_validate(&mut self, id: LinkId, instance: &InstanceName) {
        let surplus = self.scheduler.surplus_connections(instance) > 0;
        if surplus && !self.is_kept_for_account(id, instance) {
            if self.by_account {
                self.context.metrics.count_closed_unused();
            }
            self.handle_closed(id, CloseCause::Released);
        } else if self.start_validation(id) {
            self.scheduler.connection_validation_started(instance);
        }
    }

    /// Returns whether a connection that the total load doesn't need is kept, because its account
    /// may be the next to call.
    fn is_kept_for_account(&self, id: LinkId, instance: &InstanceName) -> bool {
        let Some(endpoint) = self.pool.endpoint(instance).filter(|_| self.by_account) else {
            return false;
        };
        let held = self.pool.list_held(instance);
        let allowance = self.context.descriptors.allowance();
        is_worth_keeping(self.now(), &held, id.0, &endpoint.demand, &allowance)
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

    fn update_metrics(&mut self) {
        let due = self.now() + METRICS_INTERVAL;
        self.checks.request(GroupCheck::Metrics, due);
        let now = self.now();
        let metrics = &self.context.metrics;
        self.scarcity
            .note_change(now, &self.group, &self.scheduler, metrics);
        self.scarcity
            .update_metrics(now, &self.group, &self.scheduler, metrics);
        let state = self.scheduler.snapshot(now);
        let waiting = state.waiting_urgent + state.waiting_ordinary + state.waiting_pinned;
        metrics.set_queue_length(&self.group, waiting);
        self.counted_faults.update(&self.group, &state, metrics);
        metrics.set_endpoint_connections(&self.group, self.pool.connection_count());
        if let Some((_, term)) = &self.leading {
            metrics.set_group_term(&self.group, *term);
        }
    }
}
