//! What a leaseholder looks at by time: waits, ages, silent endpoints, forgotten transactions.

use super::GroupTask;
use super::intake::unix_millis;
use super::request::ActiveRequest;
use super::request::RequestStage;
use crate::log_event;
use log::Level;
use ragwort_types::TransactionId;
use std::time::Duration;

/// How often the journal forgets what is no longer needed.
const PRUNE_TICKS: u64 = 100;

impl GroupTask {
    pub(super) fn take_tick(&mut self) {
        self.ticks += 1;
        self.end_overdue();
        self.end_idle_transactions();
        let lost = Duration::from_millis(self.context.settings.timing.announce_lost_ms);
        for instance in self.pool.remove_silent(lost) {
            log_event!(
                Level::Warn,
                "endpoint_silent",
                group = self.group,
                instance = instance,
            );
            self.refresh_endpoint(&instance);
            for transaction in self.pool.retire_connections(&instance) {
                self.end_transaction(transaction);
            }
        }
        for instance in self.record.instances.clone() {
            self.refresh_endpoint(&instance);
        }
        self.tick_promotion();
        self.tick_detector();
        self.tick_handover();
        self.restart_lost_round();
        if self.ticks.is_multiple_of(PRUNE_TICKS) {
            self.prune_journal();
            self.show_metrics();
        }
    }

    /// Lets a round of reads that got no majority begin again.
    fn restart_lost_round(&mut self) {
        let now = self.context.clock.now();
        let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms);
        let Some((_, begun)) = self.round_running else {
            return;
        };
        if now.since(begun) > limit {
            self.round_running = None;
            let waits = |active: &ActiveRequest| {
                matches!(active.stage, RequestStage::AwaitingRound(_)) || active.round.is_some()
            };
            if self.requests.values().any(waits) {
                // A confirmation of a later round also covers the reads of the lost one.
                self.quorum.join_read();
            }
        }
    }

    /// Ends the transactions whose callers have gone without a word: each holds one of the
    /// endpoint's few connections.
    ///
    /// A long statement is no idleness. If its connection were forgotten here, its end would find
    /// nobody: the caller would get no answer, and its slot would stay taken for good.
    fn end_idle_transactions(&mut self) {
        let now = self.context.clock.now();
        let limit = Duration::from_millis(self.context.settings.timing.idle_transaction_ms);
        let idle = self.transactions.iter().filter(|(_, open)| {
            now.since(open.last_used) > limit && !self.pool.is_running(open.connection)
        });
        let idle: Vec<TransactionId> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.end_transaction(id);
        }
    }

    fn prune_journal(&mut self) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        if let Some(passed) = self.quorum.passed_by_all() {
            journal.prune(unix_millis(), passed);
        }
    }

    fn show_metrics(&self) {
        let metrics = &self.context.metrics;
        let now = self.context.clock.now();
        let state = self.scheduler.snapshot(now);
        let waiting = state.waiting_urgent + state.waiting_ordinary + state.waiting_pinned;
        metrics.set_queue_length(&self.group, waiting);
        metrics.set_endpoint_connections(&self.group, self.pool.connection_count());
        metrics.set_group_term(&self.group, self.record.term);
    }
}
