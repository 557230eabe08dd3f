//! Holds answers back until they are confirmed: writes by a majority, fresh reads by a round.

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
    /// Lets a write wait until a majority of the group's instances holds it in the present term.
    ///
    /// A primary that was replaced, or dies right after its answer, would otherwise have
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
            journal.note_session(&request.customer, &request.session, position);
        }
        let (waiting, released) = self.quorum.await_majority(position);
        self.writes.insert(waiting, ticket);
        if let Some(active) = self.requests.get_mut(&ticket) {
            active.stage = RequestStage::AwaitingMajority(waiting);
        }
        self.take_progress(released);
    }

    /// Takes an agent's report into the quorum and the scheduler.
    pub(super) fn take_status(
        &mut self,
        instance: &InstanceName,
        asked: ClockTime,
        status: InstanceStatus,
    ) {
        let came = self.context.clock.now();
        let progress = self.quorum.report(asked, came, instance, status);
        self.take_progress(progress);
        self.report_position(instance);
        self.set_lost_floor(instance, asked);
    }

    /// Takes what the primary's answer to a statement shows of where it stands.
    ///
    /// This leaseholder can't know all that writes there: a write that it gave up on may still run, and
    /// so may its predecessor's. If the primary were taken to stand still meanwhile, replicas that lack
    /// such a write would pass for fresh, and a read that allows 50 ms would miss what was written long
    /// before. So only what the primary says counts, and under load it says so with each answer.
    pub(super) fn note_primary_answer(
        &mut self,
        dispatched: ClockTime,
        instance: &InstanceName,
        position: LogPosition,
    ) {
        let came = self.context.clock.now();
        let progress = self
            .quorum
            .note_answer(dispatched, came, instance, position);
        self.take_progress(progress);
        self.report_position(instance);
    }

    /// Sets the position that sessions of a lost journal must read from: the primary's, asked for
    /// after this leaseholder took over. Whatever they wrote before lies below it.
    fn set_lost_floor(&mut self, instance: &InstanceName, asked: ClockTime) {
        let primary = self.record.primary.as_ref() == Some(instance);
        let position = self.quorum.counted_position(instance);
        let (Some(journal), Some(position)) = (&mut self.journal, position) else {
            return;
        };
        let lost = journal.sessions().floor().is_none();
        if lost && primary && asked > self.journal_since && self.promotion.is_settled() {
            journal.raise_session_floor(position);
        }
    }

    /// Tells the scheduler what an instance holds and how old it can be.
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

    fn take_progress(&mut self, progress: QuorumProgress) {
        self.abandon_writes(&progress.abandoned);
        for waiting in progress.released {
            self.release_write(waiting);
        }
        if let Some(later) = progress.later_term {
            self.note_later_term(later);
        }
    }

    /// Records and then acknowledges a write that a majority holds.
    fn release_write(&mut self, waiting: WriteTicket) {
        let Some(ticket) = self.writes.remove(&waiting) else {
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
        let entry = journal.note_session(&request.customer, &request.session, served.position);
        active.stage = RequestStage::Recording(entry);
        self.answer_recorded();
    }

    /// Answers the writes whose session positions and verdicts all standbys hold.
    pub(super) fn answer_recorded(&mut self) {
        let recorded = self.requests.iter();
        let recorded = recorded.filter(|(_, active)| match active.stage {
            RequestStage::Recording(entry) => self.is_journaled(entry),
            _ => false,
        });
        let recorded: Vec<RequestTicket> = recorded.map(|(ticket, _)| *ticket).collect();
        for ticket in recorded {
            self.answer_now(ticket);
            self.note_write_landed();
        }
    }

    /// Begins a round of status requests if reads wait for one.
    pub(super) fn begin_read_round(&mut self) {
        if self.round_running.is_some() {
            return;
        }
        let Some(round) = self.quorum.begin_read_round() else {
            return;
        };
        self.round_running = Some((round, self.context.clock.now()));
        for instance in self.record.instances.clone() {
            let Some(entry) = self.pool.endpoint(&instance) else {
                continue;
            };
            let address = entry.announcement.agent_address;
            let links = self.context.links.clone();
            let notices = self.notices.clone();
            let asked = self.context.clock.now();
            let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms);
            let expected = self.identify(&instance);
            self.children.spawn(async move {
                let call = |client: Arc<WsClient>| async move { client.status().await };
                let status = links.call_instance(address, &expected, limit, call);
                let status = status.await.ok();
                let report = RoundReport {
                    round,
                    instance,
                    asked,
                    status,
                };
                let _ = notices.send(GroupNotice::ReadRound(report)).await;
            });
        }
    }

    /// Takes an instance's answer in a round of reads.
    pub(super) fn take_round_report(&mut self, report: RoundReport) {
        let Some(status) = report.status else {
            return;
        };
        self.take_status(&report.instance, report.asked, status);
        let progress = self
            .quorum
            .confirm(report.round, &report.instance, status.fenced_term);
        match progress {
            ReadProgress::Confirmed(round) => {
                self.confirmed_round = self.confirmed_round.max(round);
                if self
                    .round_running
                    .is_some_and(|(running, _)| running <= round)
                {
                    self.round_running = None;
                }
                self.release_reads();
            }
            ReadProgress::Pending => {}
            ReadProgress::TermOver(later) => self.note_later_term(later),
        }
    }

    /// Answers the reads whose round is confirmed.
    pub(super) fn release_reads(&mut self) {
        let confirmed: RoundId = self.confirmed_round;
        let ready = self.requests.iter().filter(|(_, active)| {
            matches!(active.stage, RequestStage::AwaitingRound(round) if round <= confirmed)
        });
        let ready: Vec<RequestTicket> = ready.map(|(ticket, _)| *ticket).collect();
        for ticket in ready {
            self.answer_now(ticket);
        }
    }

    /// Sends the answer that a request holds, if the lease still runs.
    pub(super) fn answer_now(&mut self, ticket: RequestTicket) {
        let deposed = self.journal_is_deposed();
        let leads = self.may_lead(self.context.clock.now());
        let Some(active) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some((verdict, served)) = active.answer.take() else {
            return;
        };
        // A leaseholder that was frozen wakes up with answers of a time when it led. Meanwhile a
        // successor may have promoted another instance that lacks what the answer says.
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
