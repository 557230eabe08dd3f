//! Runs the control role of a VM: the replicated log of the control VMs, the catalog that results
//! from its committed entries, and the ledger of leases that the leader grants.
//!
//! One task owns all three and the log file. Every input reaches it as a [`ControlEvent`]; calls to
//! other VMs run in child tasks. No message or reply leaves the task before the log writes that it
//! depends on are synced to the disk, so that a crash can't take back what a peer or member was
//! told.

mod commands;
mod compaction;
mod documents;
mod entry_text;
mod event;
mod heartbeats;
mod leadership;
mod peers;
mod pieces;
mod voters;

pub use entry_text::decode_command;
pub use entry_text::encode_command;
pub use event::ControlEvent;
pub use event::ControlFault;
pub use event::DocumentRequest;

use crate::clock::NodeClock;
use crate::disk::LogFile;
use crate::disk::LogWriter;
use crate::log_event;
use crate::peers::PeerLinks;
use crate::settings::DaemonSettings;
use compaction::RunningCompaction;
use event::HeldReply;
use event::PlacementInput;
use event::UnconfirmedBatch;
use event::UnconfirmedRead;
use event::WaitingCommand;
use event::WaitingHeartbeat;
use heartbeats::refuse_batch;
use log::Level;
use peers::PeerTable;
use ragwort_control::AgreementNode;
use ragwort_control::AgreementOutput;
use ragwort_control::AgreementSettings;
use ragwort_control::CatalogState;
use ragwort_control::DurableState;
use ragwort_control::LeaseLedger;
use ragwort_control::MemberSurvey;
use ragwort_control::PieceCache;
use ragwort_control::ReadTicket;
use ragwort_control::VoterId;
use ragwort_control::encode_record;
use ragwort_control::plan_placements;
use ragwort_types::CatalogCommand;
use ragwort_types::CommandReply;
use ragwort_types::ControlIdentity;
use ragwort_types::DocumentReadReply;
use ragwort_types::GroupName;
use ragwort_types::MemberId;
use ragwort_types::VmIncarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// The maximum number of events that are handled before their writes are synced together. One sync
/// then serves them all.
const MAX_EVENT_BATCH: usize = 256;

/// The interval, in ticks, at which the leader checks members and placements.
const MEMBER_CHECK_TICKS: u64 = 2;

/// The interval, in ticks, at which a follower forwards the heartbeats that it has gathered.
const HEARTBEAT_FORWARD_TICKS: u64 = 1;

/// The state of a VM's control role.
pub struct ControlTask {
    settings: Arc<DaemonSettings>,
    clock: NodeClock,
    links: PeerLinks,
    writer: LogWriter,
    /// The log file's length, in bytes.
    log_bytes: u64,
    node: AgreementNode,
    catalog: CatalogState,
    /// The leases; `None` unless this VM leads the replicated log.
    ledger: Option<LeaseLedger>,
    ticks: u64,
    /// The data folder.
    folder: PathBuf,
    /// The last log index that the snapshot covers.
    compacted_index: u64,
    compaction: Option<RunningCompaction>,
    /// The tick before which no compaction is begun.
    next_compaction_tick: u64,
    /// The proposed commands whose outcome is open, by log index.
    waiting_commands: BTreeMap<u64, WaitingCommand>,
    /// The log indexes of the open commands that this leader proposed itself.
    own_proposals: BTreeSet<u64>,
    /// The groups that members have reported as not placed yet.
    unplaced: BTreeSet<GroupName>,
    /// Whether a process that is not a member yet has sent a heartbeat since admissions were last
    /// proposed.
    admission_due: bool,
    /// The last input for which no placement was planned; the same input needs no new planning.
    /// Planning takes 1.7 ms with 630 VMs and 710 groups, and would run 25 times a second
    /// otherwise.
    last_input_without_plans: Option<PlacementInput>,
    /// The survey of the log's members that was last logged.
    logged_survey: Option<MemberSurvey>,
    /// The heartbeats that wait to be granted here or to be forwarded to the leader.
    gathered_heartbeats: Vec<WaitingHeartbeat>,
    /// The heartbeats for which no confirmation of the leadership has been requested yet.
    unconfirmed_batches: Vec<UnconfirmedBatch>,
    /// The reads that wait for a requested confirmation of the leadership.
    pending_reads: BTreeMap<ReadTicket, UnconfirmedRead>,
    /// The tick in which a confirmation of the leadership was last requested.
    last_confirmation_tick: u64,
    /// The granted heartbeats whose replies are held for changes of the catalog.
    held_replies: Vec<HeldReply>,
    piece_cache: PieceCache,
    /// The callers that wait until this VM has transferred the leadership.
    waiting_transfers: Vec<oneshot::Sender<()>>,
    events: mpsc::Sender<ControlEvent>,
    inbox: mpsc::Receiver<ControlEvent>,
    peers: PeerTable,
    children: JoinSet<()>,
}

impl ControlTask {
    /// Opens the log under `folder` and restores its state.
    ///
    /// # Errors
    ///
    /// Returns a fault if the folder can't be used, the log is damaged other than by a torn tail,
    /// or the log belongs to another VM.
    pub fn open(
        settings: Arc<DaemonSettings>,
        clock: NodeClock,
        links: PeerLinks,
        folder: &Path,
        fresh: VmIncarnation,
    ) -> Result<(Self, mpsc::Sender<ControlEvent>), ControlFault> {
        let (mut file, bytes) = LogFile::open(folder).map_err(ControlFault::Disk)?;
        let restored = DurableState::from_records(&bytes);
        let restored = restored.map_err(|error| ControlFault::Damaged(error.to_string()))?;
        if (restored.valid_length as u64) < file.length() {
            log_event!(
                Level::Warn,
                "torn_tail_cut",
                bytes = file.length() - restored.valid_length as u64,
            );
            let length = restored.valid_length as u64;
            file.truncate(length).map_err(ControlFault::Disk)?;
        }
        let snapshot = restored.state.snapshot();
        let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.mark.index.0);
        let mut peers = PeerTable::new(&settings);
        peers.learn_from_log(&restored.state);
        let node = start_node(&settings, &peers, restored.state, fresh)?;
        let log_bytes = file.length();
        let writer = LogWriter::start(file).map_err(ControlFault::Disk)?;
        let (events, inbox) = mpsc::channel(4_096);
        let task = Self {
            settings,
            clock,
            links,
            writer,
            log_bytes,
            node,
            catalog: CatalogState::new(),
            ledger: None,
            ticks: 0,
            folder: folder.to_path_buf(),
            compacted_index: snapshot_index,
            compaction: None,
            next_compaction_tick: 0,
            waiting_commands: BTreeMap::new(),
            own_proposals: BTreeSet::new(),
            unplaced: BTreeSet::new(),
            admission_due: false,
            last_input_without_plans: None,
            logged_survey: None,
            gathered_heartbeats: Vec::new(),
            unconfirmed_batches: Vec::new(),
            pending_reads: BTreeMap::new(),
            last_confirmation_tick: 0,
            held_replies: Vec::new(),
            piece_cache: PieceCache::default(),
            waiting_transfers: Vec::new(),
            events: events.clone(),
            inbox,
            peers,
            children: JoinSet::new(),
        };
        Ok((task, events))
    }

    /// Runs until `stop` is set or closed.
    ///
    /// # Errors
    ///
    /// Returns a fault if the log file can't be written, since a control VM that can't persist what
    /// it acknowledges must stop, or if a committed entry or snapshot can't be read.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) -> Result<(), ControlFault> {
        let mut ticker = interval(Duration::from_millis(self.settings.timing.tick_ms));
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(MAX_EVENT_BATCH);
        self.process_outputs().await?;
        loop {
            tokio::select! {
                _ = ticker.tick() => self.handle_tick(),
                _ = self.inbox.recv_many(&mut events, MAX_EVENT_BATCH) => {
                    for event in events.drain(..) {
                        self.handle_event(event);
                    }
                }
                prepared = RunningCompaction::wait(&mut self.compaction) => {
                    self.finish_compaction(prepared).await?;
                }
                Some(_) = self.children.join_next(), if !self.children.is_empty() => {}
                changed = stop.changed() => {
                    if changed.is_err() || *stop.borrow() {
                        break;
                    }
                }
            }
            self.process_outputs().await?;
        }
        self.peers.close();
        self.children.shutdown().await;
        Ok(())
    }

    /// Advances the replicated log's timers, forwards heartbeats and proposes due changes.
    fn handle_tick(&mut self) {
        self.ticks += 1;
        self.node.tick();
        if self.ticks.is_multiple_of(HEARTBEAT_FORWARD_TICKS) {
            self.forward_heartbeats();
        }
        if self.ticks.is_multiple_of(MEMBER_CHECK_TICKS) {
            self.propose_due_changes();
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::PeerMessage(envelope) => self.handle_envelope(&envelope),
            ControlEvent::Propose(request, reply) => self.handle_command(request, reply),
            ControlEvent::Heartbeat(request, reply) => self.gather_heartbeat(request, reply),
            ControlEvent::ForwardedHeartbeats(batch, reply) => {
                for request in &batch.heartbeats {
                    self.note_nonmember(request);
                }
                self.unconfirmed_batches
                    .push(UnconfirmedBatch::Forwarded(batch, reply));
            }
            ControlEvent::InForceQuery(acceptance, reply) => {
                let _ = reply.send(self.in_force_status(acceptance));
            }
            ControlEvent::Identity(reply) => {
                let _ = reply.send(self.control_identity());
            }
            ControlEvent::ReadCatalog(request, reply) => {
                if let Some(piece) = self.read_catalog(request) {
                    let _ = reply.send(piece);
                }
            }
            ControlEvent::PeersLearned(known) => self.learn_peers(known),
            ControlEvent::ReadDocument(request, reply) => self.read_document(request, reply),
            ControlEvent::Form(voters, reply) => {
                let _ = reply.send(self.form(&voters));
            }
            ControlEvent::TransferLeadership(reply) => self.begin_transfer(reply),
            ControlEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            ControlEvent::ForwardedReplies(waiting, replies) => {
                self.handle_heartbeat_replies(waiting, replies)
            }
        }
    }

    /// Persists the replicated log's output and carries it out until there is none left; then
    /// begins a compaction of the log if it is due, and sends the replies that are due.
    async fn process_outputs(&mut self) -> Result<(), ControlFault> {
        loop {
            self.propose_due_admissions();
            self.confirm_leadership();
            let output = self.node.take_output();
            if output.is_empty() {
                break;
            }
            self.persist_writes(&output).await?;
            self.apply_output(output)?;
        }
        self.handle_role_change();
        self.finish_transfer();
        self.begin_compaction();
        self.send_due_replies();
        Ok(())
    }

    /// Waits until the output's writes are synced. Only this task waits; the rest of the daemon
    /// continues.
    async fn persist_writes(&mut self, output: &AgreementOutput) -> Result<(), ControlFault> {
        if output.writes.is_empty() {
            return Ok(());
        }
        let length = self.writer.append(encode_record(&output.writes)).await;
        self.log_bytes = length.ok_or_else(writer_ended)?;
        Ok(())
    }

    /// Carries out an output of the replicated log: messages, snapshots, committed entries, and
    /// confirmed or lost reads.
    ///
    /// # Errors
    ///
    /// Returns a fault if a committed entry or snapshot can't be read. The catalog would be wrong
    /// from there on, and this VM would report contracts that no other VM has.
    fn apply_output(&mut self, output: AgreementOutput) -> Result<(), ControlFault> {
        for outbound in output.messages {
            self.send_message(&outbound.to, &outbound.message);
        }
        if let Some(snapshot) = output.install {
            self.compacted_index = snapshot.mark.index.0;
            let catalog = CatalogState::from_snapshot(&snapshot.data);
            self.catalog = catalog.map_err(|error| ControlFault::Damaged(error.to_string()))?;
            self.learn_members();
        }
        for entry in output.committed {
            self.apply_entry(entry.mark, entry.data.as_deref())?;
        }
        for ticket in output.confirmed_reads {
            match self.pending_reads.remove(&ticket) {
                Some(UnconfirmedRead::Heartbeats(batches)) => {
                    for batch in batches {
                        self.answer_batch(batch);
                    }
                }
                Some(UnconfirmedRead::Document(reply)) => {
                    let _ = reply.send(self.document_read_reply());
                }
                None => {}
            }
        }
        for ticket in output.lost_reads {
            match self.pending_reads.remove(&ticket) {
                Some(UnconfirmedRead::Heartbeats(batches)) => {
                    batches.into_iter().for_each(refuse_batch);
                }
                Some(UnconfirmedRead::Document(reply)) => {
                    let _ = reply.send(DocumentReadReply::Unsure);
                }
                None => {}
            }
        }
        Ok(())
    }

    /// As leader, proposes the admissions, removals and placements that are due, unless earlier
    /// proposals of its own are open.
    fn propose_due_changes(&mut self) {
        if !self.node.is_leader() || !self.own_proposals.is_empty() {
            return;
        }
        self.admission_due = false;
        let now = self.clock.now();
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let mut commands = ledger.due_commands(now, &self.catalog);
        let presence = ledger.presence(now, &self.catalog);
        let led_for = ledger.led_for(now);
        self.propose_voter_change(&presence.live);
        self.unplaced
            .retain(|group| self.catalog.group(group).is_none());
        let unplaced: Vec<GroupName> = self.unplaced.iter().cloned().collect();
        let input = PlacementInput {
            revision: self.catalog.revision(),
            presence,
            unplaced,
        };
        if self.last_input_without_plans.as_ref() != Some(&input) {
            let plans = plan_placements(&self.catalog, &input.presence, &input.unplaced);
            let without_plans = plans.is_empty();
            if !without_plans {
                log_event!(
                    Level::Info,
                    "placements_planned",
                    plans = plans.len(),
                    unplaced = input.unplaced.len(),
                    live = input.presence.live.len(),
                    expected = input.presence.expected.len(),
                    members = self.catalog.members().count(),
                    led_for_ms = led_for.as_millis(),
                );
            }
            commands.extend(plans.into_iter().map(CatalogCommand::PlaceGroup));
            self.last_input_without_plans = without_plans.then_some(input);
        }
        for command in commands {
            self.propose(&command, None);
        }
    }

    /// Creates a lease ledger on becoming leader; on losing the leadership drops it and answers the
    /// waiting commands as unknown.
    fn handle_role_change(&mut self) {
        let timing = &self.settings.timing;
        if self.node.is_leader() {
            if self.ledger.is_none() {
                log_event!(
                    Level::Info,
                    "leader_elected",
                    vm = self.settings.vm,
                    term = self.node.term()
                );
                let lease = Duration::from_millis(timing.lease_ms);
                self.ledger = Some(LeaseLedger::new(self.clock.now(), lease));
            }
        } else if self.ledger.take().is_some() {
            log_event!(
                Level::Info,
                "leader_stepped_down",
                vm = self.settings.vm,
                term = self.node.term()
            );
            self.own_proposals.clear();
            for (_, waiting) in std::mem::take(&mut self.waiting_commands) {
                if let Some(reply) = waiting.reply {
                    let _ = reply.send(CommandReply::Unknown);
                }
            }
        }
    }

    /// Returns which voter this VM is and which control VMs it knows.
    fn control_identity(&self) -> ControlIdentity {
        let id = self.node.id();
        ControlIdentity {
            id: MemberId {
                vm: id.vm.clone(),
                incarnation: id.incarnation,
            },
            empty: self.node.voters().is_empty(),
            known: self.peers.known(),
            voters: self.node.voters().iter().map(to_member_id).collect(),
            led: self.node.leader().is_some(),
        }
    }

    /// Forms the first voter set; returns false if the replicated log refuses it.
    fn form(&mut self, voters: &[MemberId]) -> bool {
        let voters = voters.iter().map(|id| VoterId {
            vm: id.vm.clone(),
            incarnation: id.incarnation,
        });
        self.node.form(voters.collect()).is_ok()
    }

    /// Returns the role's state as it appears in an operator's dump.
    fn dump(&self) -> serde_json::Value {
        let leader = self.node.leader().map(|leader| leader.vm.to_string());
        let names = |ids: &[VoterId]| ids.iter().map(ToString::to_string).collect::<Vec<_>>();
        let repairs = self.node.repairs_pending().into_iter();
        let repairs = repairs.map(|repair| format!("{repair:?}"));
        serde_json::json!({
            "leader": leader,
            "term": self.node.term().0,
            "commit_index": self.node.commit_index().0,
            "entries": self.node.entry_count(),
            "log_bytes": self.log_bytes,
            "voters": names(self.node.voters()),
            "learners": names(self.node.learners()),
            "catalog_revision": self.catalog.revision().0,
            "contracts": self.catalog.contracts().count(),
            "answered_changes": self.catalog.answered_changes(),
            "members": self.catalog.members().count(),
            "groups": self.catalog.groups().count(),
            "commands_waiting": self.waiting_commands.len(),
            "repairs_pending": repairs.collect::<Vec<_>>(),
            "outdated_by": self.node.outdated_by().map(|incarnation| incarnation.0),
        })
    }
}

fn to_member_id(voter: &VoterId) -> MemberId {
    MemberId {
        vm: voter.vm.clone(),
        incarnation: voter.incarnation,
    }
}

fn writer_ended() -> ControlFault {
    ControlFault::Disk(io::Error::other("the log writer's thread has ended"))
}

fn start_node(
    settings: &DaemonSettings,
    peers: &PeerTable,
    state: DurableState,
    fresh: VmIncarnation,
) -> Result<AgreementNode, ControlFault> {
    let id = VoterId {
        vm: settings.vm.clone(),
        incarnation: fresh,
    };
    let mut agreement = AgreementSettings::new(id, peers.names(), fresh.0);
    agreement.election_ticks = settings.timing.election_ticks as u32;
    agreement.heartbeat_ticks = settings.timing.agreement_heartbeat_ticks as u32;
    AgreementNode::start(agreement, state).map_err(|error| ControlFault::OtherVm(error.to_string()))
}
