//! What the leaseholder looks at by time.

use super::NativeTask;
use super::TICK;
use super::link::CloseCause;
use super::link::LinkId;
use super::pool::ConnectionWork;
use ragwort_types::InstanceName;
use ragwort_types::TransactionId;
use std::time::Duration;

/// How many ticks pass between two looks at the metrics.
const METRICS_TICKS: u64 = 100;

/// How many ticks pass between two looks at a promotion that was ordered.
const PROMOTION_TICKS: u64 = 5;

/// How many ticks pass between two looks at idle connections and claims without a term.
const CARE_TICKS: u64 = 20;

/// In how many looks the connections are asked that are due at the same time.
const PROOF_ROUNDS: usize = 4;

/// How long an account's connection stays open that it doesn't use. While it does, the endpoint is asked
/// again and again whether it still answers, which costs as much as a few statements.
const ACCOUNT_MEMORY: Duration = Duration::from_secs(6);

impl NativeTask {
    /// Runs the periodic checks, `passed` after the last tick.
    pub(super) fn take_tick(&mut self, passed: Duration) {
        let before = self.ticks;
        self.ticks += count_ticks(passed);
        let crosses = |step: u64| before / step != self.ticks / step;
        let promotion_due = crosses(PROMOTION_TICKS);
        let care_due = crosses(CARE_TICKS);
        let metrics_due = crosses(METRICS_TICKS);
        self.end_idle_transactions();
        self.drop_silent_endpoints();
        self.report_positions();
        self.watch_primary();
        self.foresee_primary();
        self.tick_handover();
        self.tick_notes();
        if promotion_due {
            self.watch_promotion();
        }
        if care_due {
            self.ask_claimants();
            self.prove_idle_connections();
        }
        if metrics_due {
            self.show_metrics();
        }
    }

    fn drop_silent_endpoints(&mut self) {
        let lost = Duration::from_millis(self.context.settings.timing.announce_lost_ms);
        for instance in self.pool.find_silent(self.now(), lost) {
            self.drop_endpoint(&instance);
        }
    }

    /// Asks those that call themselves the primary and whose report was lost.
    fn ask_claimants(&mut self) {
        for instance in self.pool.names() {
            self.ask_claimant(&instance);
        }
    }

    /// Makes connections that were idle for long show that they still answer, and closes those that no
    /// load needs any more.
    ///
    /// Something on the path may have forgotten an idle connection: it looks open and never answers.
    /// This finds that before a caller's statement does.
    fn prove_idle_connections(&mut self) {
        let now = self.now();
        let limit = Duration::from_millis(self.context.settings.timing.idle_ping_ms);
        for instance in self.pool.names() {
            let own = self.pool.connections();
            let idle = own.filter(|(_, one)| one.instance == instance && one.is_idle());
            let idle = idle.filter(|(_, one)| now.since(one.last_used) >= limit);
            let idle: Vec<LinkId> = idle.map(|(id, _)| id).collect();
            // Asked all at once, they would all be in doubt when a statement comes.
            let asked = idle.len().div_ceil(PROOF_ROUNDS);
            for id in idle.into_iter().take(asked) {
                self.close_or_prove(id, &instance);
            }
        }
    }

    fn close_or_prove(&mut self, id: LinkId, instance: &InstanceName) {
        let surplus = self.scheduler.surplus_connections(instance) > 0;
        // Any account may be the next to call: its connection is of use for longer than the load of all
        // accounts together needs it.
        let unused = self
            .pool
            .connection(id)
            .map_or(Duration::ZERO, |one| self.now().since(one.last_statement));
        let scarce = self.context.descriptors.allowance().scarce;
        let kept = self.by_account && unused < ACCOUNT_MEMORY && !scarce;
        if surplus && !kept {
            self.take_closed(id, CloseCause::Released);
        } else if self.order_proof(id) {
            self.scheduler.connection_doubted(instance);
        }
    }

    /// Ends the transactions whose callers have gone without a word: each holds one of the
    /// endpoint's few connections.
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

    fn show_metrics(&self) {
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

/// Returns how many ticks a time amounts to, at least one.
fn count_ticks(passed: Duration) -> u64 {
    let ticks = passed.as_millis() / TICK.as_millis();
    u64::try_from(ticks).unwrap_or(u64::MAX).max(1)
}
