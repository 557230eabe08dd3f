//! The periodic work of a leaseholder: expires waits and idle transactions, removes silent
//! endpoints, refreshes data ages, and drives promotion, failure detection and handover.

use super::GroupTask;
use super::TICK_INTERVAL;
use super::intake::unix_millis;
use super::request::ActiveRequest;
use super::request::RequestStage;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_types::TransactionId;
use std::time::Duration;

/// The interval at which the journal is pruned and the metrics are updated.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

impl GroupTask {
    /// Returns when the periodic work is due next.
    pub(super) fn next_tick(&self) -> ClockTime {
        let next = self.ticked_at + TICK_INTERVAL;
        let probe = match self.tick_requested || self.is_active() {
            true => None,
            false => self.next_probe(),
        };
        let Some(probe) = probe else {
            return next;
        };
        let lost = Duration::from_millis(self.context.settings.timing.announce_lost_ms);
        let others = [
            self.promotion.retry_at(),
            self.pool.next_silence(lost),
            self.next_handover_check(),
        ];
        let due = others.into_iter().flatten().fold(probe, ClockTime::min);
        due.max(next)
    }

    /// Returns whether the group has requests, or its primary or leaseholder is being replaced.
    fn is_active(&self) -> bool {
        let used = !self.requests.is_empty()
            || !self.shapes.is_empty()
            || !self.transactions.is_empty()
            || !self.resend_waiters.is_empty()
            || self.running_round.is_some();
        used || !self.may_act() || !self.is_serving() || !self.promotion.is_settled()
    }

    /// Passes the endpoints' positions and data ages to the scheduler before a statement arrives,
    /// unless that was done within a tick.
    pub(super) fn refresh_for_arrivals(&mut self) {
        if self.context.clock.now().since(self.ticked_at) >= TICK_INTERVAL {
            for instance in self.record.instances.clone() {
                self.refresh_endpoint(&instance);
            }
        }
    }

    /// Does the periodic work.
    pub(super) fn handle_tick(&mut self) {
        let now = self.context.clock.now();
        self.ticks += 1;
        self.ticked_at = now;
        self.tick_requested = false;
        self.expire_overdue_waits();
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
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.prune_journal();
            self.update_metrics();
        }
    }

    /// Abandons a read round that got no majority in time, so that another can begin.
    fn restart_lost_round(&mut self) {
        let now = self.context.clock.now();
        let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms);
        let Some((_, begun)) = self.running_round else {
            return;
        };
        if now.since(begun) > limit {
            self.running_round = None;
            let waits = |active: &ActiveRequest| {
                matches!(active.stage, RequestStage::AwaitingRound(_)) || active.round.is_some()
            };
            if self.requests.values().any(waits) {
                // The confirmation of a later round also covers the reads of an earlier one.
                self.quorum.join_read();
            }
        }
    }

    /// Ends the transactions whose callers have sent nothing for too long, since each occupies one
    /// of the endpoint's few connections.
    ///
    /// A transaction with a running statement is not idle. If its connection were removed here, the
    /// statement's outcome would be discarded: the caller would get no answer, and the scheduler's
    /// slot would never be released.
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

    /// Removes journal entries that are no longer needed: keys past their window, and the positions
    /// of sessions that all instances have passed.
    fn prune_journal(&mut self) {
        let Some(journal) = &mut self.journal else {
            return;
        };
        if let Some(passed) = self.quorum.passed_by_all() {
            journal.prune(unix_millis(), passed);
        }
    }

    fn update_metrics(&mut self) {
        let now = self.context.clock.now();
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
        metrics.set_group_term(&self.group, self.record.term);
    }
}
