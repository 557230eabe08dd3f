//! The agreed log: a replicated log with a leader, as a state machine without I/O.
//!
//! A driver feeds an [`AgreementNode`] with ticks, messages and proposals, and after each of these
//! carries out its [`AgreementOutput`]. Time is counted in ticks of the driver's choice.
//!
//! The load it answers: few changes (contracts, members, placement, terms), which must survive the
//! loss of any minority of the control VMs, of their disks one after the other, and cuts of any
//! length between them. Without it, two VMs could each believe in another contract or primary, and
//! a change that an operator was told is accepted could revert.
//!
//! The rules, each with the failure that it prevents, stand with the code: elections and pre-vote
//! in `election`, the leader's batches and the commit rule in `replication`, confirmed reads in
//! `reads`, snapshots in `snapshot`, lost disks and changes of voters in `membership`.

mod durable;
mod election;
mod entry;
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
pub use start::FormError;
pub use start::StartError;

use log::ReplicaLog;
use ragwort_types::VmIncarnation;
use rand::RngExt;
use rand::rngs::StdRng;
use role::RoleState;
use snapshot::IncomingSnapshot;
use std::mem;

/// A node that has heard of no leader since its start waits the usual election time divided by this.
/// At the usual 500 ms that leaves 170 ms for a round trip and a sync to disk.
const FIRST_WAIT_PART: u64 = 3;

/// The least ticks between two questions of a node that has heard of no leader since its start. At the
/// usual tick of some 25 ms an answer between regions comes before the next question.
const LEAST_TURNS: u64 = 3;

/// One node of the agreed log.
///
/// # Examples
///
/// A log of one voter needs nobody else:
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
    hard: HardState,
    log: ReplicaLog,
    role: RoleState,
    leader: Option<VoterId>,
    leader_heard_at: Option<u64>,
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
    /// Counts one tick of time.
    pub fn tick(&mut self) {
        self.tick += 1;
        if self.is_leader() {
            self.tick_leader();
        } else if self.tick >= self.election_due_at {
            self.end_leader_wait();
        }
    }

    /// Takes a message.
    ///
    /// A message for another incarnation or of another formation is dropped.
    pub fn receive(&mut self, message: AgreementMessage) {
        if !self.accepts(&message) {
            return;
        }
        let AgreementMessage {
            from, term, body, ..
        } = message;
        match body {
            MessageBody::PreVoteRequest(question) => self.answer_pre_vote(&from, question),
            MessageBody::PreVoteReply(answer) => self.count_pre_vote(&from, term, answer),
            MessageBody::VoteRequest(question) => self.answer_vote(&from, question),
            MessageBody::VoteReply(answer) => self.count_vote(&from, term, answer),
            MessageBody::Append(batch) => self.take_batch(&from, term, batch),
            MessageBody::AppendReply(answer) => self.take_append_answer(&from, term, answer),
            MessageBody::Snapshot(chunk) => self.take_chunk(&from, term, *chunk),
            MessageBody::SnapshotReply(answer) => self.take_snapshot_answer(&from, term, answer),
            MessageBody::Join => self.take_join(&from),
            MessageBody::Outdated(notice) => self.take_outdated_notice(notice),
        }
    }

    /// Proposes a command. It is accepted once its mark appears among the committed entries.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`], with the leader if one is known. The command was not appended.
    pub fn propose(&mut self, data: String) -> Result<EntryMark, NotLeader> {
        if !self.is_leader() {
            return Err(self.not_leader());
        }
        Ok(self.append_own(EntryPayload::Data(data)))
    }

    /// Returns what the driver has to do; see [`AgreementOutput`] for the order.
    pub fn take_output(&mut self) -> AgreementOutput {
        if self.is_leader() {
            self.advance_commit();
            self.begin_read_round();
            self.settle_reads();
            self.send_due_messages();
        }
        self.deliver_committed();
        mem::take(&mut self.output)
    }

    /// Returns the node's identity.
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// Returns the leader of the present term, if known.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// Returns the present term.
    pub fn term(&self) -> ElectionTerm {
        self.hard.term
    }

    /// Returns the last index that is known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last entry's place.
    pub fn last_entry(&self) -> EntryMark {
        self.log.last()
    }

    /// Returns the number of entries held after the snapshot.
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

    /// Returns the whole durable state, to replace a file that has grown long.
    ///
    /// Taken right after an output, it includes that output's writes: a new file with this state,
    /// synced and put in place of the old one, stands for appending them.
    pub fn durable_state(&self) -> DurableState {
        DurableState {
            id: Some(self.id.clone()),
            hard: self.hard.clone(),
            log: self.log.clone(),
        }
    }

    /// Returns the formation that the log belongs to; `None` while the node holds no log.
    pub fn formation(&self) -> Option<FormationId> {
        self.log
            .configuration()
            .map(|configuration| configuration.formation)
    }

    fn accepts(&self, message: &AgreementMessage) -> bool {
        let addressed = match &message.to {
            MessageRecipient::Voter(id) => *id == self.id,
            MessageRecipient::Vm(vm) => *vm == self.id.vm,
        };
        let related = match (message.formation, self.formation()) {
            (Some(theirs), Some(ours)) => theirs == ours,
            (None, _) | (_, None) => true,
        };
        addressed && related && message.from != self.id
    }

    fn holds(&self, guard: AgreementGuard) -> bool {
        self.settings.guards.holds(guard)
    }

    /// Enters a later term without a vote in it.
    fn enter_term(&mut self, term: ElectionTerm) {
        self.write_hard_state(HardState { term, vote: None });
    }

    fn write_hard_state(&mut self, hard: HardState) {
        let same_term = hard.term == self.hard.term;
        invariant!(
            hard.term >= self.hard.term,
            "{} went back from term {} to {}",
            self.id,
            self.hard.term,
            hard.term
        );
        invariant!(
            !same_term || self.hard.vote.is_none() || self.hard.vote == hard.vote,
            "{} voted twice in term {}",
            self.id,
            hard.term
        );
        self.hard = hard.clone();
        self.output.writes.push(DiskWrite::HardState(hard));
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
            "{} would take back its commit index {} to {commit}",
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
            term: self.hard.term,
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

    /// Draws the time until this node acts without a leader.
    ///
    /// After a loss of power of all VMs nobody leads, and until somebody does no lease is granted
    /// and every caller is refused. A node that has heard of no leader since its start can't have
    /// missed one's heartbeats, so it waits a part of the usual time only. If one does lead, the
    /// others refuse the pre-vote, and nothing is disturbed.
    fn reset_election_timer(&mut self) {
        let usual = u64::from(self.settings.election_ticks.max(1));
        let least = match self.leader_heard_at {
            Some(_) => usual,
            None => usual.div_ceil(FIRST_WAIT_PART),
        };
        let wait = self.random.random_range(least..2 * least);
        self.election_due_at = self.tick + wait;
    }

    /// Sets when this node asks for the first time whether it would be elected, if it has heard of no
    /// leader since its start.
    ///
    /// When power returns to all VMs, each moment until there is a leader is one without service, so
    /// the first question comes with the first tick. The voters ask in the order of their names, a
    /// tick apart: two that asked at once could split the votes, and an election time would pass.
    fn await_first_turn(&mut self) {
        self.reset_election_timer();
        if let Some(rank) = self.find_rank() {
            self.election_due_at = self.tick + 1 + rank;
        }
    }

    /// Sets when a node that has asked in vain asks again, if it has heard of no leader since its
    /// start: when all other voters have had their turn.
    ///
    /// Others may start at any moment and make a majority. A question costs a message to each voter and
    /// nothing on any disk. Once votes themselves are asked for, the usual wait holds, because a slow
    /// disk may need it.
    fn await_next_turn(&mut self) {
        self.reset_election_timer();
        if self.find_rank().is_some() {
            self.election_due_at = self.tick + (self.voters().len() as u64).max(LEAST_TURNS);
        }
    }

    /// Returns this node's place among the voters, by name, while it has heard of no leader.
    fn find_rank(&self) -> Option<u64> {
        if self.leader_heard_at.is_some() {
            return None;
        }
        let is_voter = self.voters().contains(&self.id);
        let before = self.voters().iter().filter(|voter| voter.vm < self.id.vm);
        is_voter.then(|| before.count() as u64)
    }
}
