//! The replicated log: Raft consensus as a state machine without I/O.
//!
//! A driver feeds an [`AgreementNode`] with ticks, messages and proposals, and carries out its
//! [`AgreementOutput`] after each of them. Time is measured in ticks, whose length the driver sets.
//!
//! The log carries infrequent changes (contracts, members, placement, terms). They must survive the
//! loss of any minority of the control VMs, the loss of their disks one after the other, and
//! network partitions of any length. Without consensus, two VMs could act on different contracts or
//! primaries, and a change that was acknowledged to an operator could be reverted.
//!
//! Each module states its rules and the failure that each rule prevents: `election` has elections,
//! pre-vote and the quorum check; `replication` has log replication and the commit rule; `reads`
//! has linearizable reads; `leadership` has leadership transfer; `snapshot` has log compaction and
//! snapshot transfer; `membership` has the replacement of lost disks and changes of voters.

mod durable;
mod election;
mod entry;
mod leadership;
mod log;
mod membership;
mod message;
mod output;
mod progress;
mod reads;
mod replication;
mod role;
mod settings;
mod snapshot;
mod start;

pub use durable::DiskWrite;
pub use durable::DurableState;
pub use durable::HardState;
pub use durable::WriteMismatch;
pub use entry::ElectionTerm;
pub use entry::EntryMark;
pub use entry::EntryPayload;
pub use entry::FormationId;
pub use entry::LogEntry;
pub use entry::LogIndex;
pub use entry::SnapshotData;
pub use entry::VoterConfiguration;
pub use entry::VoterId;
pub use entry::VoterList;
pub use membership::MembershipError;
pub use membership::PendingRepair;
pub use membership::RepairStage;
pub use message::AgreementMessage;
pub use message::AppendAnswer;
pub use message::AppendOutcome;
pub use message::AppendRejection;
pub use message::EntryBatch;
pub use message::HeartbeatRound;
pub use message::MessageBody;
pub use message::MessageError;
pub use message::MessageRecipient;
pub use message::OutdatedNotice;
pub use message::SnapshotAnswer;
pub use message::SnapshotChunk;
pub use message::VoteAnswer;
pub use message::VoteQuestion;
pub use output::AgreementOutput;
pub use output::CommittedEntry;
pub use output::OutboundMessage;
pub use output::ReadTicket;
pub use role::AgreementRole;
pub use role::MemberProgress;
pub use role::NotLeader;
pub use settings::AgreementGuard;
pub use settings::AgreementSettings;
pub use settings::GuardSet;
pub use snapshot::CompactError;
pub use snapshot::CompactionPlan;
pub use start::FormError;
pub use start::StartError;

use log::ReplicaLog;
use ragwort_types::VmIncarnation;
use rand::RngExt;
use rand::rngs::StdRng;
use role::RoleState;
use snapshot::IncomingSnapshot;
use std::mem;

/// Divides the election timeout of a node that has had no contact with a leader since its start.
/// At the usual 500 ms that leaves 170 ms for a round trip and a sync to disk.
const STARTUP_ELECTION_DIVISOR: u64 = 3;

/// The minimum number of ticks between two pre-vote requests of a node that has had no contact with
/// a leader since its start. At the usual tick of about 25 ms, an answer from another region
/// arrives before the next request.
const MIN_PRE_VOTE_INTERVAL_TICKS: u64 = 3;

/// One node of the replicated log: a Raft peer with its log, term, vote and role.
///
/// # Examples
///
/// A log with a single voter commits on its own:
///
/// ```
/// use ragwort_control::AgreementNode;
/// use ragwort_control::AgreementSettings;
/// use ragwort_control::DurableState;
/// use ragwort_control::VoterId;
/// use ragwort_types::VmIncarnation;
///
/// let id = VoterId::new("vm-1".into(), VmIncarnation(1));
/// let settings = AgreementSettings::new(id.clone(), Vec::new(), 7);
/// let mut node = AgreementNode::start(settings, DurableState::default())?;
/// node.form(vec![id])?;
/// while !node.is_leader() {
///     node.tick();
/// }
/// let mark = node.propose("a command".to_owned())?;
/// let output = node.take_output();
/// assert_eq!(output.committed.last().map(|entry| entry.mark), Some(mark));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct AgreementNode {
    settings: AgreementSettings,
    id: VoterId,
    hard_state: HardState,
    log: ReplicaLog,
    role: RoleState,
    leader: Option<VoterId>,
    leader_contact_tick: Option<u64>,
    commit: LogIndex,
    delivered: LogIndex,
    tick: u64,
    election_due_at: u64,
    random: StdRng,
    next_ticket: u64,
    incoming: Option<IncomingSnapshot>,
    outdated_by: Option<VmIncarnation>,
    output: AgreementOutput,
}

impl AgreementNode {
    /// Advances the node's clock by one tick.
    pub fn tick(&mut self) {
        self.tick += 1;
        if self.is_leader() {
            self.tick_leader();
        } else if self.tick >= self.election_due_at {
            self.handle_election_timeout();
        }
    }

    /// Processes a message from another node.
    ///
    /// A message to another incarnation of this VM, or from another formation, is dropped.
    pub fn receive(&mut self, message: AgreementMessage) {
        if !self.accepts(&message) {
            return;
        }
        let AgreementMessage {
            from, term, body, ..
        } = message;
        match body {
            MessageBody::PreVoteRequest(question) => self.handle_pre_vote_request(&from, question),
            MessageBody::PreVoteReply(answer) => self.handle_pre_vote_answer(&from, term, answer),
            MessageBody::VoteRequest(question) => self.handle_vote_request(&from, question),
            MessageBody::VoteReply(answer) => self.handle_vote_answer(&from, term, answer),
            MessageBody::Append(batch) => self.handle_append(&from, term, batch),
            MessageBody::AppendReply(answer) => self.handle_append_answer(&from, term, answer),
            MessageBody::Snapshot(chunk) => self.handle_snapshot_chunk(&from, term, *chunk),
            MessageBody::SnapshotReply(answer) => self.handle_snapshot_answer(&from, term, answer),
            MessageBody::Join => self.handle_join(&from),
            MessageBody::Outdated(notice) => self.handle_outdated_notice(notice),
            MessageBody::StartElection => self.handle_start_election(&from, term),
        }
    }

    /// Appends a command to the log and returns its mark.
    ///
    /// The command is accepted once an entry with this mark appears among the committed entries.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`], with the leader if one is known, when this node isn't the leader or
    /// is transferring the leadership. The command was not appended.
    pub fn propose(&mut self, data: String) -> Result<EntryMark, NotLeader> {
        if !self.is_leader() || self.is_transferring_leadership() {
            return Err(self.not_leader_error());
        }
        Ok(self.append_as_leader(EntryPayload::Data(data)))
    }

    /// Returns the work that the driver has to carry out; see [`AgreementOutput`] for the order.
    pub fn take_output(&mut self) -> AgreementOutput {
        if self.is_leader() {
            self.advance_commit();
            self.begin_read_round();
            self.confirm_answered_reads();
            self.send_due_messages();
            self.send_due_election_request();
        }
        self.deliver_committed();
        mem::take(&mut self.output)
    }

    /// Returns the node's identity.
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub fn term(&self) -> ElectionTerm {
        self.hard_state.term
    }

    /// Returns the highest index that this node knows to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the term and index of the last entry.
    pub fn last_entry(&self) -> EntryMark {
        self.log.last()
    }

    /// Returns the number of entries after the snapshot.
    pub fn entry_count(&self) -> usize {
        self.log.entries().len()
    }

    /// Returns the voters of the latest configuration, committed or not.
    pub fn voters(&self) -> &[VoterId] {
        self.log
            .configuration()
            .map(|configuration| configuration.voters.as_slice())
            .unwrap_or_default()
    }

    /// Returns the learners of the latest configuration, committed or not.
    pub fn learners(&self) -> &[VoterId] {
        self.log
            .configuration()
            .map(|configuration| configuration.learners.as_slice())
            .unwrap_or_default()
    }

    /// Returns the whole durable state, with which the driver can replace a long log file.
    ///
    /// Right after [`take_output`](Self::take_output), the state includes that output's writes: the
    /// driver may write and sync a new file with this state and rename it over the old one, in
    /// place of appending the writes.
    pub fn durable_state(&self) -> DurableState {
        DurableState {
            id: Some(self.id.clone()),
            hard_state: self.hard_state.clone(),
            log: self.log.clone(),
        }
    }

    /// Returns the formation that the log belongs to; `None` while the node's log is empty.
    pub fn formation(&self) -> Option<FormationId> {
        self.log
            .configuration()
            .map(|configuration| configuration.formation)
    }

    /// Returns whether a message is addressed to this node and isn't from another formation.
    fn accepts(&self, message: &AgreementMessage) -> bool {
        let addressed = match &message.to {
            MessageRecipient::Voter(id) => *id == self.id,
            MessageRecipient::Vm(vm) => *vm == self.id.vm,
        };
        let formation_matches = match (message.formation, self.formation()) {
            (Some(theirs), Some(ours)) => theirs == ours,
            (None, _) | (_, None) => true,
        };
        addressed && formation_matches && message.from != self.id
    }

    fn enforces(&self, guard: AgreementGuard) -> bool {
        self.settings.guards.enforces(guard)
    }

    /// Enters a later term without voting in it.
    fn enter_term(&mut self, term: ElectionTerm) {
        self.write_hard_state(HardState { term, vote: None });
    }

    fn write_hard_state(&mut self, hard_state: HardState) {
        let same_term = hard_state.term == self.hard_state.term;
        invariant!(
            hard_state.term >= self.hard_state.term,
            "{} would decrease its term from {} to {}",
            self.id,
            self.hard_state.term,
            hard_state.term
        );
        invariant!(
            !same_term || self.hard_state.vote.is_none() || self.hard_state.vote == hard_state.vote,
            "{} voted twice in term {}",
            self.id,
            hard_state.term
        );
        self.hard_state = hard_state.clone();
        self.output.writes.push(DiskWrite::HardState(hard_state));
    }

    fn append_entry(&mut self, entry: LogEntry) {
        invariant!(
            entry.mark.index > self.commit,
            "{} would replace the committed entry {}",
            self.id,
            entry.mark.index
        );
        invariant!(
            !self.is_leader() || entry.mark.index > self.log.last().index,
            "{} would replace its own entry {} as a leader",
            self.id,
            entry.mark.index
        );
        self.output.writes.push(DiskWrite::Entry(entry.clone()));
        self.log.append(entry);
    }

    fn set_commit(&mut self, commit: LogIndex) {
        invariant!(
            commit >= self.commit,
            "{} would decrease its commit index from {} to {commit}",
            self.id,
            self.commit
        );
        self.commit = commit;
    }

    fn deliver_committed(&mut self) {
        let entries = self.log.range(self.delivered.next(), self.commit);
        let committed = entries.iter().map(|entry| CommittedEntry {
            mark: entry.mark,
            data: match &entry.payload {
                EntryPayload::Data(data) => Some(data.clone()),
                EntryPayload::Empty | EntryPayload::Configuration(_) => None,
            },
        });
        self.output.committed.extend(committed);
        self.delivered = self.commit;
    }

    fn send(&mut self, to: MessageRecipient, body: MessageBody) {
        let message = AgreementMessage {
            from: self.id.clone(),
            formation: self.formation(),
            term: self.hard_state.term,
            to,
            body,
        };
        self.output.messages.push(OutboundMessage {
            to: message.to.vm().clone(),
            message,
        });
    }

    fn send_to(&mut self, to: &VoterId, body: MessageBody) {
        self.send(MessageRecipient::Voter(to.clone()), body);
    }

    /// Draws a random election timeout and restarts the timer.
    ///
    /// After a power loss of all VMs there is no leader, and until one is elected no lease is
    /// granted and every caller is refused. A node that has had no contact with a leader since its
    /// start can't have missed any heartbeats, so its timeout is only a fraction of the usual one.
    /// If there is a leader after all, the other voters refuse the pre-vote and the leader stays.
    fn reset_election_timer(&mut self) {
        let usual = u64::from(self.settings.election_ticks.max(1));
        let least = match self.leader_contact_tick {
            Some(_) => usual,
            None => usual.div_ceil(STARTUP_ELECTION_DIVISOR),
        };
        let wait = self.random.random_range(least..2 * least);
        self.election_due_at = self.tick + wait;
    }

    /// Schedules the first pre-vote request after a start.
    ///
    /// When power returns to all VMs, there is no service until a leader is elected, so the first
    /// voter requests pre-votes at its first tick. The voters follow one another in the order of
    /// their names, one tick apart: two simultaneous candidates could split the votes, which would
    /// cost an election timeout.
    fn schedule_first_pre_vote(&mut self) {
        self.reset_election_timer();
        if let Some(rank) = self.startup_rank() {
            self.election_due_at = self.tick + 1 + rank;
        }
    }

    /// Schedules the next pre-vote request, in case the current one collects no majority.
    ///
    /// A node that has had no contact with a leader since its start repeats the request after as
    /// many ticks as there are voters, or [`MIN_PRE_VOTE_INTERVAL_TICKS`] if that is more: other
    /// voters may start at any moment and complete a majority, and a pre-vote costs one message to
    /// each voter and no disk write. A node that has requested actual votes waits for a random
    /// election timeout instead, because a slow disk may need that long.
    fn schedule_next_pre_vote(&mut self) {
        self.reset_election_timer();
        if self.startup_rank().is_some() {
            self.election_due_at =
                self.tick + (self.voters().len() as u64).max(MIN_PRE_VOTE_INTERVAL_TICKS);
        }
    }

    /// Returns this voter's rank among the voters in the order of their names; `None` for a node
    /// that isn't a voter or has had contact with a leader since its start.
    fn startup_rank(&self) -> Option<u64> {
        if self.leader_contact_tick.is_some() {
            return None;
        }
        let is_voter = self.voters().contains(&self.id);
        let before = self.voters().iter().filter(|voter| voter.vm < self.id.vm);
        is_voter.then(|| before.count() as u64)
    }
}
