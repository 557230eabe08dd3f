//! Withholds answers until they are confirmed.
//!
//! A write is acknowledged when a majority of the group's instances holds it in the present term. A
//! fresh read, whose answer must reflect every acknowledged write, is answered when a majority
//! reports, after the read was dispatched, that it knows no later term.
//! Without either check, a replaced primary could acknowledge writes that its successor lacks, or
//! return data that its successor has already changed.

use super::GroupTask;
use super::notice::GroupNotice;
use super::notice::RoundReport;
use super::request::RequestStage;
use jsonrpsee_ws_client::WsClient;
use ragwort_control::ClockTime;
use ragwort_control::QuorumProgress;
use ragwort_control::ReadProgress;
use ragwort_control::RoundId;
use ragwort_control::WriteTicket;
use ragwort_policy::RequestTicket;
use ragwort_rpc::AgentApiClient;
use ragwort_types::AccessMode;
use ragwort_types::DoubtCause;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwort_types::RequestVerdict;
use std::sync::Arc;
use std::time::Duration;

impl GroupTask {
    /// Makes a write wait until a majority of the group's instances holds it in the present term.
    ///
    /// Otherwise a primary that is replaced, or fails right after its answer, would have
    /// acknowledged a write that its successor lacks: the caller's work would be lost.
    pub(super) fn await_majority(&mut self, ticket: RequestTicket, position: Option<LogPosition>) {
        let Some(position) = position.filter(|one| one.term == self.quorum.term()) else {
            self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::NotConfirmed));
            return;
        };
        if let Some(active) = self.requests.get(&ticket)
            && let Some(journal) = &mut self.journal
        {
            let request = &active.request;
            journal.record_session(&request.customer, &request.session, position);
        }
        let (waiting, released) = self.quorum.await_majority(position);
        self.unconfirmed_writes.insert(waiting, ticket);
        if let Some(active) = self.requests.get_mut(&ticket) {
            active.stage = RequestStage::AwaitingMajority(waiting);
        }
        self.apply_quorum_progress(released);
    }

    /// Passes an agent's status to the quorum and the scheduler.
    pub(super) fn handle_status(
        &mut self,
        instance: &InstanceName,
        sent_at: ClockTime,
        status: InstanceStatus,
    ) {
        let received_at = self.context.clock.now();
        let progress = self.quorum.report(sent_at, received_at, instance, status);
        self.apply_quorum_progress(progress);
        self.report_position(instance);
        self.set_floor_after_journal_loss(instance, sent_at);
    }

    /// Records the primary's position as reported with a statement's answer.
    ///
    /// This leaseholder doesn't know every write at the primary: a write that it gave up on, or one
    /// of its predecessor, may still run. If the primary's position were assumed constant between
    /// reports, replicas that lack such a write would count as up to date, and a read with a
    /// maximum age of 50 ms could miss an older write. Only reported positions count, and under
    /// load each answer brings one.
    pub(super) fn record_primary_position(
        &mut self,
        dispatched: ClockTime,
        instance: &InstanceName,
        position: LogPosition,
    ) {
        let received_at = self.context.clock.now();
        let progress = self
            .quorum
            .note_answer(dispatched, received_at, instance, position);
        self.apply_quorum_progress(progress);
        self.report_position(instance);
    }

    /// Sets the minimum read position of all sessions after the journal was lost.
    ///
    /// It is the primary's position, requested after this leaseholder recovered its journal: every
    /// earlier write of a session lies at or below it.
    fn set_floor_after_journal_loss(&mut self, instance: &InstanceName, sent_at: ClockTime) {
        let primary = self.record.primary.as_ref() == Some(instance);
        let position = self.quorum.counted_position(instance);
        let (Some(journal), Some(position)) = (&mut self.journal, position) else {
            return;
        };
        let lost = journal.sessions().floor().is_none();
        if lost && primary && sent_at > self.journal_recovered_at && self.promotion.has_primary() {
            journal.raise_session_floor(position);
        }
    }

    /// Reports an instance's position and an upper bound of its data's age to the scheduler.
    pub(super) fn report_position(&mut self, instance: &InstanceName) {
        let now = self.context.clock.now();
        let Some(position) = self.quorum.counted_position(instance) else {
            return;
        };
        let age = match self.record.primary.as_ref() == Some(instance) {
            true => Some(Duration::ZERO),
            false => self.quorum.age_bound(instance, now),
        };
        if let Some(age) = age {
            self.scheduler.report_position(now, instance, position, age);
        }
    }

    /// Journals the writes that the quorum has released, settles those that it has abandoned, and
    /// reacts to a later term.
    fn apply_quorum_progress(&mut self, progress: QuorumProgress) {
        self.abandon_writes(&progress.abandoned);
        for waiting in progress.released {
            self.release_write(waiting);
        }
        if let Some(later) = progress.later_term {
            self.handle_later_term(later);
        }
    }

    /// Journals the session position and verdict of a write that a majority holds; the write is
    /// acknowledged when the standbys hold them too.
    fn release_write(&mut self, waiting: WriteTicket) {
        let Some(ticket) = self.unconfirmed_writes.remove(&waiting) else {
            return;
        };
        let (Some(active), Some(journal)) = (self.requests.get_mut(&ticket), &mut self.journal)
        else {
            return;
        };
        let Some((verdict, served)) = &active.answer else {
            return;
        };
        let request = &active.request;
        if let Some(key) = request.marks.key.filter(|_| active.key_entry.is_some()) {
            journal.decide(&request.customer, key, verdict);
        }
        let entry = journal.record_session(&request.customer, &request.session, served.position);
        active.stage = RequestStage::Recording(entry);
        self.answer_recorded();
    }

    /// Acknowledges the writes whose session positions and verdicts every standby holds.
    pub(super) fn answer_recorded(&mut self) {
        let recorded = self.requests.iter();
        let recorded = recorded.filter(|(_, active)| match active.stage {
            RequestStage::Recording(entry) => self.is_journaled(entry),
            _ => false,
        });
        let recorded: Vec<RequestTicket> = recorded.map(|(ticket, _)| *ticket).collect();
        for ticket in recorded {
            self.send_answer(ticket);
            self.log_first_write();
        }
    }

    /// Starts a read round if reads wait for one: asks every instance for its status, which shows
    /// whether it knows a later term.
    pub(super) fn begin_read_round(&mut self) {
        if self.running_round.is_some() {
            return;
        }
        let Some(round) = self.quorum.begin_read_round() else {
            return;
        };
        self.running_round = Some((round, self.context.clock.now()));
        for instance in self.record.instances.clone() {
            let Some(entry) = self.pool.endpoint(&instance) else {
                continue;
            };
            let address = entry.announcement.agent_address;
            let links = self.context.links.clone();
            let notices = self.notices.clone();
            let sent_at = self.context.clock.now();
            let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms);
            let expected = self.expected_identity(&instance);
            self.children.spawn(async move {
                let call = |client: Arc<WsClient>| async move { client.status().await };
                let status = links.call_instance(address, &expected, limit, call);
                let status = status.await.ok();
                let report = RoundReport {
                    round,
                    instance,
                    sent_at,
                    status,
                };
                let _ = notices.send(GroupNotice::ReadRound(report)).await;
            });
        }
    }

    /// Counts an instance's answer in a read round.
    pub(super) fn handle_round_report(&mut self, report: RoundReport) {
        let Some(status) = report.status else {
            return;
        };
        self.handle_status(&report.instance, report.sent_at, status);
        let progress = self
            .quorum
            .confirm(report.round, &report.instance, status.fenced_term);
        match progress {
            ReadProgress::Confirmed(round) => {
                self.confirmed_round = self.confirmed_round.max(round);
                if self
                    .running_round
                    .is_some_and(|(running, _)| running <= round)
                {
                    self.running_round = None;
                }
                self.release_reads();
            }
            ReadProgress::Pending => {}
            ReadProgress::TermOver(later) => self.handle_later_term(later),
        }
    }

    /// Answers the reads whose read round is confirmed.
    pub(super) fn release_reads(&mut self) {
        let confirmed: RoundId = self.confirmed_round;
        let ready = self.requests.iter().filter(|(_, active)| {
            matches!(active.stage, RequestStage::AwaitingRound(round) if round <= confirmed)
        });
        let ready: Vec<RequestTicket> = ready.map(|(ticket, _)| *ticket).collect();
        for ticket in ready {
            self.send_answer(ticket);
        }
    }

    /// Sends a request's withheld answer if the lease is still valid, and reports doubt otherwise.
    pub(super) fn send_answer(&mut self, ticket: RequestTicket) {
        let deposed = self.journal_is_deposed();
        let leads = self.may_lead(self.context.clock.now());
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some((verdict, served)) = active.answer.take() else {
            return;
        };
        // A leaseholder that was frozen may hold answers from before its lease ended. A successor
        // may have promoted another instance since, which lacks the writes that these answers show.
        if !leads || deposed {
            self.settle(ticket, RequestVerdict::MayHaveRun(DoubtCause::LeaseLost));
            return;
        }
        if active.terms.access == AccessMode::Read {
            self.context.metrics.count_read(&served);
        }
        self.settle_served(ticket, verdict, Some(served));
    }
}
