//! The control role: drives the agreed log, the catalog and the lease ledger.
//!
//! One task owns all three and the log file. Everything reaches it as a [`ControlEvent`]; what
//! takes time (calls to other VMs) runs in tasks that it spawns and joins. Nothing leaves the task
//! before the writes that it was produced with are synced.

use crate::clock::NodeClock;
use crate::disk::LogFile;
use crate::log_event;
use crate::peers::LinkError;
use crate::peers::PeerLinks;
use crate::settings::DaemonSettings;
use jsonrpsee::ws_client::WsClient;
use log::Level;
use ragwort_control::AgreementMessage;
use ragwort_control::AgreementNode;
use ragwort_control::AgreementOutput;
use ragwort_control::AgreementSettings;
use ragwort_control::CatalogState;
use ragwort_control::ClockTime;
use ragwort_control::DurableState;
use ragwort_control::EntryMark;
use ragwort_control::LeaseDecision;
use ragwort_control::LeaseLedger;
use ragwort_control::ReadTicket;
use ragwort_control::VoterId;
use ragwort_control::encode_record;
use ragwort_control::plan_placements;
use ragwort_types::AgreementEnvelope;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::ContractAcceptance;
use ragwort_types::ControlIdentity;
use ragwort_types::ForceStatus;
use ragwort_types::GroupName;
use ragwort_types::HeartbeatBatch;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::LeaseGrant;
use ragwort_types::MemberId;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use ragwort_types::rpc::PeerApiClient;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// Events taken at once before their writes are synced together. One sync then serves them all.
const EVENTS_AT_ONCE: usize = 256;

/// Log entries after which the log is replaced by a snapshot. At 2,300 contract changes and some
/// thousand placement changes a day that is several times a day.
const COMPACT_ENTRIES: u64 = 1_000;

/// Commands that may wait to be committed. At the size of two years a storm of takeovers after the
/// loss of a failure domain proposes some hundred at once.
const UNCOMMITTED_COMMANDS: usize = 2_048;

/// Messages that may wait for one peer. Older ones are worthless once newer ones are due, and the
/// agreed log sends again what it needs.
const PEER_QUEUE: usize = 256;

/// How many ticks pass between two looks at members and placements.
const CARE_TICKS: u64 = 2;

/// How many ticks a follower gathers heartbeats before it passes them on.
const GATHER_TICKS: u64 = 1;

/// What the control task is asked or told.
#[derive(Debug)]
pub enum ControlEvent {
    /// A message of the agreed log.
    Agree(AgreementEnvelope),
    /// A command to commit.
    Propose(CommandRequest, oneshot::Sender<CommandReply>),
    /// A member's heartbeat.
    Heartbeat(HeartbeatRequest, oneshot::Sender<HeartbeatReply>),
    /// Heartbeats that a follower passes on.
    Batch(HeartbeatBatch, oneshot::Sender<Vec<HeartbeatReply>>),
    /// How far a contract change has come; `None` if this VM doesn't lead.
    Force(ContractAcceptance, oneshot::Sender<Option<ForceStatus>>),
    /// Which voter this is.
    Identity(oneshot::Sender<ControlIdentity>),
    /// Write the first voter set.
    Form(Vec<MemberId>, oneshot::Sender<bool>),
    /// The state, for operators.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The leader's answers to heartbeats that this follower passed on.
    BatchAnswered(Vec<WaitingHeartbeat>, Option<Vec<HeartbeatReply>>),
}

/// A heartbeat that waits for its reply.
#[derive(Debug)]
pub struct WaitingHeartbeat {
    request: HeartbeatRequest,
    reply: oneshot::Sender<HeartbeatReply>,
}

/// Heartbeats that wait until leadership is confirmed.
enum UnconfirmedBatch {
    Own(Vec<WaitingHeartbeat>),
    Passed(HeartbeatBatch, oneshot::Sender<Vec<HeartbeatReply>>),
}

/// A granted heartbeat that waits for its reply.
struct OwedReply {
    waiting: WaitingHeartbeat,
    grant: LeaseGrant,
    /// When the reply is sent even if the catalog has not changed.
    due: ClockTime,
}

/// A command that waits for its entry to be committed.
struct WaitingCommand {
    mark: EntryMark,
    reply: Option<oneshot::Sender<CommandReply>>,
}

/// Why the control role can't start or go on.
#[derive(Debug)]
pub enum ControlFault {
    /// The data folder can't be used.
    Disk(io::Error),
    /// The log file is damaged in the middle.
    Damaged(String),
    /// The disk belongs to another VM.
    Foreign(String),
}

impl fmt::Display for ControlFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(error) => write!(formatter, "data folder unusable: {error}"),
            Self::Damaged(text) => write!(formatter, "agreed log damaged: {text}"),
            Self::Foreign(text) => write!(formatter, "agreed log of another VM: {text}"),
        }
    }
}

/// All that the plan of placements follows from: a revision names one content of the catalog.
#[derive(PartialEq, Eq)]
struct PlacementInput {
    revision: CatalogRevision,
    live: BTreeSet<VmName>,
    unplaced: Vec<GroupName>,
}

/// The control role of one VM.
pub struct ControlTask {
    settings: Arc<DaemonSettings>,
    clock: NodeClock,
    links: PeerLinks,
    file: LogFile,
    node: AgreementNode,
    catalog: CatalogState,
    ledger: Option<LeaseLedger>,
    ticks: u64,
    compacted: u64,
    commands: BTreeMap<u64, WaitingCommand>,
    own_proposals: BTreeSet<u64>,
    unplaced: BTreeSet<GroupName>,
    /// What the last plan without any change was made from; the same again needs no plan. A plan
    /// takes 1.7 ms with 630 VMs and 710 groups, and one would be made 25 times a second.
    settled: Option<PlacementInput>,
    gathered: Vec<WaitingHeartbeat>,
    unconfirmed: Vec<UnconfirmedBatch>,
    confirming: BTreeMap<ReadTicket, Vec<UnconfirmedBatch>>,
    /// The tick in which leadership was last asked to be confirmed.
    confirmed_tick: u64,
    owed: Vec<OwedReply>,
    events: mpsc::Sender<ControlEvent>,
    inbox: mpsc::Receiver<ControlEvent>,
    peers: BTreeMap<VmName, mpsc::Sender<AgreementEnvelope>>,
    children: JoinSet<()>,
}

impl ControlTask {
    /// Opens the log under `folder` and restores what it holds.
    ///
    /// # Errors
    ///
    /// Returns a fault if the folder can't be used, or the log is damaged anywhere but in a torn
    /// tail.
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
        let restored_snapshot = snapshot.map_or(0, |snapshot| snapshot.mark.index.0);
        let node = start_node(&settings, restored.state, fresh)?;
        let (events, inbox) = mpsc::channel(4_096);
        let task = Self {
            settings,
            clock,
            links,
            file,
            node,
            catalog: CatalogState::new(),
            ledger: None,
            ticks: 0,
            compacted: restored_snapshot,
            commands: BTreeMap::new(),
            own_proposals: BTreeSet::new(),
            unplaced: BTreeSet::new(),
            settled: None,
            gathered: Vec::new(),
            unconfirmed: Vec::new(),
            confirming: BTreeMap::new(),
            confirmed_tick: 0,
            owed: Vec::new(),
            events: events.clone(),
            inbox,
            peers: BTreeMap::new(),
            children: JoinSet::new(),
        };
        Ok((task, events))
    }

    /// Runs until told to stop.
    ///
    /// # Errors
    ///
    /// Returns a fault if the log file can't be written: a control VM that can't keep what it
    /// acknowledges must not go on.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) -> Result<(), ControlFault> {
        self.start_senders();
        let mut ticker = interval(Duration::from_millis(self.settings.timing.tick_ms));
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(EVENTS_AT_ONCE);
        self.pump()?;
        loop {
            tokio::select! {
                _ = ticker.tick() => self.take_tick(),
                _ = self.inbox.recv_many(&mut events, EVENTS_AT_ONCE) => {
                    for event in events.drain(..) {
                        self.take_event(event);
                    }
                }
                Some(_) = self.children.join_next(), if !self.children.is_empty() => {}
                changed = stop.changed() => {
                    if changed.is_err() || *stop.borrow() {
                        break;
                    }
                }
            }
            self.pump()?;
        }
        self.peers.clear();
        self.children.shutdown().await;
        Ok(())
    }

    fn start_senders(&mut self) {
        for control in &self.settings.control {
            if control.vm == self.settings.vm {
                continue;
            }
            let (sender, queue) = mpsc::channel(PEER_QUEUE);
            self.peers.insert(control.vm.clone(), sender);
            let limit = Duration::from_millis(self.settings.timing.lease_ms);
            let links = self.links.clone();
            self.children
                .spawn(send_messages(links, control.address, limit, queue));
        }
    }

    fn take_tick(&mut self) {
        self.ticks += 1;
        self.node.tick();
        if self.ticks.is_multiple_of(GATHER_TICKS) {
            self.pass_heartbeats_on();
        }
        if self.ticks.is_multiple_of(CARE_TICKS) {
            self.care_for_members();
        }
    }

    fn take_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Agree(envelope) => match AgreementMessage::from_text(&envelope.payload) {
                Ok(message) => self.node.receive(message),
                Err(error) => log_event!(Level::Warn, "agreement_message_bad", error = error),
            },
            ControlEvent::Propose(request, reply) => self.take_command(request, reply),
            ControlEvent::Heartbeat(request, reply) => {
                self.gathered.push(WaitingHeartbeat { request, reply });
            }
            ControlEvent::Batch(batch, reply) => {
                self.unconfirmed
                    .push(UnconfirmedBatch::Passed(batch, reply));
            }
            ControlEvent::Force(acceptance, reply) => {
                let _ = reply.send(self.force_status(acceptance));
            }
            ControlEvent::Identity(reply) => {
                let _ = reply.send(self.identify());
            }
            ControlEvent::Form(voters, reply) => {
                let _ = reply.send(self.form(&voters));
            }
            ControlEvent::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            ControlEvent::BatchAnswered(waiting, replies) => self.take_answers(waiting, replies),
        }
    }

    fn take_command(&mut self, request: CommandRequest, reply: oneshot::Sender<CommandReply>) {
        if self.node.is_leader() {
            self.propose(&request.command, Some(reply));
            return;
        }
        let Some(address) = self.leader_address().filter(|_| !request.forwarded) else {
            let _ = reply.send(CommandReply::NoLeader);
            return;
        };
        let links = self.links.clone();
        let limit = Duration::from_millis(self.settings.timing.lease_ms * 2);
        self.children.spawn(async move {
            let forwarded = CommandRequest {
                forwarded: true,
                command: request.command,
            };
            let call = |client: Arc<WsClient>| async move { client.propose(forwarded).await };
            let answer = match links.call(address, limit, call).await {
                Ok(answer) => answer,
                Err(LinkError::Unreachable) => CommandReply::NoLeader,
                Err(LinkError::Lost | LinkError::Rejected(_)) => CommandReply::Unknown,
            };
            let _ = reply.send(answer);
        });
    }

    fn propose(&mut self, command: &CatalogCommand, reply: Option<oneshot::Sender<CommandReply>>) {
        // Without a bound a leader that is cut off would take in commands until its memory is full.
        if self.commands.len() >= UNCOMMITTED_COMMANDS {
            if let Some(reply) = reply {
                let _ = reply.send(CommandReply::NoLeader);
            }
            return;
        }
        let text = serde_json::to_string(command).expect("a command is plain data");
        match self.node.propose(text) {
            Ok(mark) => {
                if reply.is_none() {
                    self.own_proposals.insert(mark.index.0);
                }
                self.commands
                    .insert(mark.index.0, WaitingCommand { mark, reply });
            }
            Err(_) => {
                if let Some(reply) = reply {
                    let _ = reply.send(CommandReply::NoLeader);
                }
            }
        }
    }

    /// Does what the agreed log asks for, until it asks for nothing more.
    fn pump(&mut self) -> Result<(), ControlFault> {
        loop {
            self.confirm_leadership();
            let output = self.node.take_output();
            if output.is_empty() {
                break;
            }
            self.keep_writes(&output).map_err(ControlFault::Disk)?;
            self.take_output(output)?;
        }
        self.follow_role();
        self.compact()?;
        self.pay_owed_replies();
        Ok(())
    }

    fn keep_writes(&mut self, output: &AgreementOutput) -> io::Result<()> {
        if output.writes.is_empty() {
            return Ok(());
        }
        // The sync blocks this thread; the runtime moves its other tasks to another one meanwhile.
        tokio::task::block_in_place(|| {
            self.file.append(&encode_record(&output.writes))?;
            self.file.sync()
        })
    }

    /// Does what the agreed log hands out.
    ///
    /// # Errors
    ///
    /// Returns a fault if a committed entry or snapshot can't be read. The catalog would be wrong
    /// from there on: this VM would answer with contracts that no other VM has.
    fn take_output(&mut self, output: AgreementOutput) -> Result<(), ControlFault> {
        for outbound in output.messages {
            if let Some(queue) = self.peers.get(&outbound.to) {
                let _ = queue.try_send(AgreementEnvelope {
                    from: self.settings.vm.clone(),
                    to: outbound.to.clone(),
                    payload: outbound.message.to_text(),
                });
            }
        }
        if let Some(snapshot) = output.install {
            self.compacted = snapshot.mark.index.0;
            let catalog = CatalogState::from_snapshot(&snapshot.data);
            self.catalog = catalog.map_err(|error| ControlFault::Damaged(error.to_string()))?;
        }
        for entry in output.committed {
            self.apply_entry(entry.mark, entry.data.as_deref())?;
        }
        for ticket in output.confirmed_reads {
            for batch in self.confirming.remove(&ticket).unwrap_or_default() {
                self.answer_batch(batch);
            }
        }
        for ticket in output.lost_reads {
            for batch in self.confirming.remove(&ticket).unwrap_or_default() {
                refuse_batch(batch);
            }
        }
        Ok(())
    }

    fn apply_entry(&mut self, mark: EntryMark, data: Option<&str>) -> Result<(), ControlFault> {
        let waiting = self.commands.remove(&mark.index.0);
        self.own_proposals.remove(&mark.index.0);
        let Some(text) = data else {
            answer_command(waiting, mark, None);
            return Ok(());
        };
        let command: CatalogCommand = serde_json::from_str(text)
            .map_err(|error| ControlFault::Damaged(format!("entry {}: {error}", mark.index.0)))?;
        let revision = CatalogRevision(mark.index.0);
        let outcome = self.catalog.apply(revision, &command);
        log_event!(
            Level::Info,
            "committed",
            revision = revision,
            command = name_command(&command),
            outcome = name_outcome(&outcome),
        );
        answer_command(waiting, mark, Some(CommandReply::Committed(outcome)));
        Ok(())
    }

    /// Asks the agreed log to confirm that this VM still leads, for all waiting heartbeats at once.
    ///
    /// A leader that was cut off and replaced would otherwise go on granting leases while its
    /// successor already gives the groups to others.
    ///
    /// Each confirmation costs a message to every control VM and an answer. With one for each
    /// heartbeat they would grow with the members until they fill the queues to the followers,
    /// which pass one message a round trip; so there is at most one in a tick, and what arrives
    /// meanwhile shares the next.
    fn confirm_leadership(&mut self) {
        if self.confirmed_tick == self.ticks {
            return;
        }
        if self.node.is_leader() && !self.gathered.is_empty() {
            let own = std::mem::take(&mut self.gathered);
            self.unconfirmed.push(UnconfirmedBatch::Own(own));
        }
        if self.unconfirmed.is_empty() {
            return;
        }
        self.confirmed_tick = self.ticks;
        let batches = std::mem::take(&mut self.unconfirmed);
        match self.node.confirm_read() {
            Ok(ticket) => {
                self.confirming.insert(ticket, batches);
            }
            Err(_) => batches.into_iter().for_each(refuse_batch),
        }
    }

    fn answer_batch(&mut self, batch: UnconfirmedBatch) {
        match batch {
            UnconfirmedBatch::Own(waiting) => {
                let requests = waiting.iter().map(|one| &one.request);
                let replies: Vec<_> = requests.map(|request| self.grant(request)).collect();
                self.take_answers(waiting, Some(replies));
            }
            UnconfirmedBatch::Passed(batch, reply) => {
                let requests = batch.heartbeats.iter();
                let replies = requests.map(|request| self.grant(request)).collect();
                let _ = reply.send(replies);
            }
        }
    }

    fn grant(&mut self, request: &HeartbeatRequest) -> HeartbeatReply {
        let Some(ledger) = &mut self.ledger else {
            return HeartbeatReply::NotYet;
        };
        self.unplaced
            .extend(request.unplaced_groups.iter().cloned());
        match ledger.receive(self.clock.now(), request, &self.catalog) {
            LeaseDecision::Grant(lease) => HeartbeatReply::Granted(LeaseGrant {
                lease_ms: lease.as_millis() as u64,
                revision: self.catalog.revision(),
                delta: None,
            }),
            LeaseDecision::NotYet => HeartbeatReply::NotYet,
            LeaseDecision::Superseded => HeartbeatReply::Superseded,
        }
    }

    /// Passes the gathered heartbeats on to the leader.
    fn pass_heartbeats_on(&mut self) {
        if self.node.is_leader() || self.gathered.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.gathered);
        let Some(address) = self.leader_address() else {
            self.take_answers(waiting, None);
            return;
        };
        let batch = HeartbeatBatch {
            heartbeats: waiting.iter().map(|one| one.request.clone()).collect(),
        };
        let links = self.links.clone();
        let limit = Duration::from_millis(self.settings.timing.lease_ms / 2);
        let events = self.events.clone();
        self.children.spawn(async move {
            let call = |client: Arc<WsClient>| async move { client.heartbeat_batch(batch).await };
            let replies = links.call(address, limit, call).await.ok();
            let _ = events
                .send(ControlEvent::BatchAnswered(waiting, replies))
                .await;
        });
    }

    fn take_answers(
        &mut self,
        waiting: Vec<WaitingHeartbeat>,
        replies: Option<Vec<HeartbeatReply>>,
    ) {
        let mut replies = replies.unwrap_or_default().into_iter();
        let hold = Duration::from_millis(self.settings.timing.heartbeat_ms / 2);
        let due = self.clock.now() + hold;
        for one in waiting {
            match replies.next().unwrap_or(HeartbeatReply::NotYet) {
                HeartbeatReply::Granted(grant) => {
                    let waiting = one;
                    self.owed.push(OwedReply {
                        waiting,
                        grant,
                        due,
                    });
                }
                other => {
                    let _ = one.reply.send(other);
                }
            }
        }
    }

    /// Sends granted replies that bring something new, or have been held for long enough.
    ///
    /// A reply waits until this VM's catalog holds what the leader's held at the grant. One that
    /// would bring nothing is then held for half a heartbeat: a change that is committed meanwhile
    /// travels at once, instead of with the member's next heartbeat.
    fn pay_owed_replies(&mut self) {
        let revision = self.catalog.revision();
        let now = self.clock.now();
        let ready = self.owed.extract_if(.., |owed| {
            let caught_up = owed.grant.revision <= revision;
            caught_up && (owed.waiting.request.revision < revision || now >= owed.due)
        });
        for owed in ready {
            let mut grant = owed.grant;
            let held = owed.waiting.request.revision;
            if held < revision {
                grant.delta = Some(self.catalog.delta_since(held));
            }
            let _ = owed.waiting.reply.send(HeartbeatReply::Granted(grant));
        }
    }

    /// As leader: proposes admissions, removals and placements that are due.
    fn care_for_members(&mut self) {
        if !self.node.is_leader() || !self.own_proposals.is_empty() {
            return;
        }
        let now = self.clock.now();
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let mut commands = ledger.due_commands(now, &self.catalog);
        let live = ledger.live_members(now, &self.catalog);
        self.unplaced
            .retain(|group| self.catalog.group(group).is_none());
        let unplaced: Vec<GroupName> = self.unplaced.iter().cloned().collect();
        let present = PlacementInput {
            revision: self.catalog.revision(),
            live,
            unplaced,
        };
        if self.settled.as_ref() != Some(&present) {
            let plans = plan_placements(&self.catalog, &present.live, &present.unplaced);
            let is_settled = plans.is_empty();
            commands.extend(plans.into_iter().map(CatalogCommand::PlaceGroup));
            self.settled = is_settled.then_some(present);
        }
        for command in commands {
            self.propose(&command, None);
        }
    }

    /// Starts a ledger on becoming leader and drops it, with all that waits, on ceasing to be.
    fn follow_role(&mut self) {
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
                let election = timing.tick_ms * timing.election_ticks * 2;
                let election = Duration::from_millis(election);
                self.ledger = Some(LeaseLedger::new(self.clock.now(), lease, election));
            }
        } else if self.ledger.take().is_some() {
            log_event!(
                Level::Info,
                "leader_stepped_down",
                vm = self.settings.vm,
                term = self.node.term()
            );
            self.own_proposals.clear();
            for (_, waiting) in std::mem::take(&mut self.commands) {
                if let Some(reply) = waiting.reply {
                    let _ = reply.send(CommandReply::Unknown);
                }
            }
        }
    }

    fn compact(&mut self) -> Result<(), ControlFault> {
        let applied = self.node.commit_index();
        // Entries that aren't committed yet must stay, however many they are.
        let covered = applied.0.saturating_sub(self.compacted);
        if covered < COMPACT_ENTRIES {
            return Ok(());
        }
        let compacted = self.node.compact(applied, self.catalog.to_snapshot());
        if let Err(error) = compacted {
            log_event!(Level::Error, "compaction_refused", error = error);
            return Ok(());
        }
        self.compacted = applied.0;
        let output = self.node.take_output();
        let records = self.node.durable_state().to_records();
        let rewritten = tokio::task::block_in_place(|| self.file.rewrite(&records));
        rewritten.map_err(ControlFault::Disk)?;
        self.take_output(output)?;
        log_event!(Level::Info, "log_compacted", bytes = self.file.length());
        Ok(())
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.node.leader()?;
        let mut control = self.settings.control.iter();
        let found = control.find(|control| control.vm == leader.vm)?;
        Some(found.address).filter(|_| leader.vm != self.settings.vm)
    }

    fn force_status(&self, acceptance: ContractAcceptance) -> Option<ForceStatus> {
        let ledger = self.ledger.as_ref()?;
        Some(ledger.force_status(acceptance, self.clock.now(), &self.catalog))
    }

    fn identify(&self) -> ControlIdentity {
        let id = self.node.id();
        ControlIdentity {
            id: MemberId {
                vm: id.vm.clone(),
                incarnation: id.incarnation,
            },
            empty: self.node.voters().is_empty(),
        }
    }

    fn form(&mut self, voters: &[MemberId]) -> bool {
        let voters = voters.iter().map(|id| VoterId {
            vm: id.vm.clone(),
            incarnation: id.incarnation,
        });
        self.node.form(voters.collect()).is_ok()
    }

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
            "log_bytes": self.file.length(),
            "voters": names(self.node.voters()),
            "learners": names(self.node.learners()),
            "catalog_revision": self.catalog.revision().0,
            "contracts": self.catalog.contracts().count(),
            "answered_changes": self.catalog.answered_changes(),
            "members": self.catalog.members().count(),
            "groups": self.catalog.groups().count(),
            "commands_waiting": self.commands.len(),
            "repairs_pending": repairs.collect::<Vec<_>>(),
            "outdated_by": self.node.outdated_by().map(|incarnation| incarnation.0),
        })
    }
}

fn start_node(
    settings: &DaemonSettings,
    state: DurableState,
    fresh: VmIncarnation,
) -> Result<AgreementNode, ControlFault> {
    let id = VoterId {
        vm: settings.vm.clone(),
        incarnation: fresh,
    };
    let others = settings.control.iter().map(|control| control.vm.clone());
    let peers = others.filter(|vm| *vm != settings.vm).collect();
    let mut agreement = AgreementSettings::new(id, peers, fresh.0);
    agreement.election_ticks = settings.timing.election_ticks as u32;
    agreement.heartbeat_ticks = settings.timing.agreement_heartbeat_ticks as u32;
    AgreementNode::start(agreement, state).map_err(|error| ControlFault::Foreign(error.to_string()))
}

/// Sends one peer's messages in their order; a peer that doesn't answer costs only its own queue.
async fn send_messages(
    links: PeerLinks,
    address: SocketAddr,
    limit: Duration,
    mut queue: mpsc::Receiver<AgreementEnvelope>,
) {
    while let Some(envelope) = queue.recv().await {
        let call = |client: Arc<WsClient>| async move { client.agree(envelope).await };
        if links.call(address, limit, call).await.is_err() {
            // What has gathered meanwhile is out of date: the peer needs the present state, not a
            // replay of the time in which it was silent.
            while queue.try_recv().is_ok() {}
        }
    }
}

fn refuse_batch(batch: UnconfirmedBatch) {
    match batch {
        UnconfirmedBatch::Own(waiting) => {
            for one in waiting {
                let _ = one.reply.send(HeartbeatReply::NotYet);
            }
        }
        UnconfirmedBatch::Passed(batch, reply) => {
            let _ = reply.send(vec![HeartbeatReply::NotYet; batch.heartbeats.len()]);
        }
    }
}

fn answer_command(waiting: Option<WaitingCommand>, mark: EntryMark, reply: Option<CommandReply>) {
    let Some(waiting) = waiting else {
        return;
    };
    let Some(sender) = waiting.reply else {
        return;
    };
    // Another leader's entry stands where the command was proposed: the command is not committed
    // there, but may have been proposed again.
    let own = waiting.mark == mark;
    let _ = sender.send(reply.filter(|_| own).unwrap_or(CommandReply::Unknown));
}

fn name_command(command: &CatalogCommand) -> &'static str {
    match command {
        CatalogCommand::ApplyContract(_) => "apply_contract",
        CatalogCommand::AdmitMember(_) => "admit_member",
        CatalogCommand::RemoveMember(_) => "remove_member",
        CatalogCommand::PlaceGroup(_) => "place_group",
        CatalogCommand::AddInstance(_) => "add_instance",
        CatalogCommand::RemoveInstance(_) => "remove_instance",
        CatalogCommand::BeginTerm(_) => "begin_term",
        CatalogCommand::RecordPrimary(_) => "record_primary",
        CatalogCommand::ConfirmJournal(_) => "confirm_journal",
    }
}

fn name_outcome(outcome: &ragwort_types::CatalogOutcome) -> &'static str {
    match outcome {
        ragwort_types::CatalogOutcome::ContractAccepted(_) => "accepted",
        ragwort_types::CatalogOutcome::ContractConflict(_) => "conflict",
        ragwort_types::CatalogOutcome::ContractUnknown => "unknown_customer",
        ragwort_types::CatalogOutcome::ContractFaulty(_) => "faulty",
        ragwort_types::CatalogOutcome::ChangeIdReused => "change_id_reused",
        ragwort_types::CatalogOutcome::Done(_) => "done",
        ragwort_types::CatalogOutcome::Stale => "stale",
    }
}
