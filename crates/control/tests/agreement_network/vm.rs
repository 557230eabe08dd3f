//! One VM of the simulated network: its process, disk and applied state.

use super::checker::AppliedState;
use super::checker::LogChecker;
use ragwort_control::agreement::AgreementNode;
use ragwort_control::agreement::AgreementOutput;
use ragwort_control::agreement::AgreementSettings;
use ragwort_control::agreement::DurableState;
use ragwort_control::agreement::GuardSet;
use ragwort_control::agreement::LogIndex;
use ragwort_control::agreement::MessageBody;
use ragwort_control::agreement::OutboundMessage;
use ragwort_control::agreement::ReadTicket;
use ragwort_control::agreement::VoterId;
use ragwort_control::encode_record;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::collections::BTreeMap;

/// The point at which a process crashes while it carries out an output with writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the record is written.
    BeforeWrite,
    /// With this percentage of the record written.
    InWrite(u8),
    /// With this percentage of the record written, and zeros in place of the rest.
    InWriteZeros(u8),
    /// After the sync, before any message is sent.
    AfterSync,
}

/// Limits of the leader's messages: entries and bytes per message, and unacknowledged entries.
#[derive(Clone, Copy, Debug)]
pub struct BatchLimits {
    pub entries: usize,
    pub bytes: usize,
    pub in_flight: u64,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self {
            entries: 4,
            bytes: 64,
            in_flight: 16,
        }
    }
}

/// A simulated VM.
pub struct TestVm {
    pub name: VmName,
    pub disk: Vec<u8>,
    /// The VM's disk while it isn't mounted.
    pub unmounted_disk: Option<Vec<u8>>,
    pub state: AppliedState,
    pub crash_at: Option<CrashPoint>,
    /// The incarnation that the next empty disk gets.
    pub next_incarnation: VmIncarnation,
    /// Whether an empty disk gets the previous incarnation again, which is a fault.
    reuses_incarnation: bool,
    pub confirmed_reads: usize,
    pub lost_reads: usize,
    node: Option<AgreementNode>,
    frozen: bool,
    reads: BTreeMap<ReadTicket, LogIndex>,
    peers: Vec<VmName>,
    seed: u64,
    pub limits: BatchLimits,
    guards: GuardSet,
    rewrite_next: bool,
}

impl TestVm {
    pub fn new(name: &str, names: &[String], seed: u64, guards: GuardSet) -> Self {
        let mut vm = Self {
            name: name.into(),
            disk: Vec::new(),
            unmounted_disk: None,
            state: AppliedState::default(),
            crash_at: None,
            next_incarnation: VmIncarnation(1),
            reuses_incarnation: false,
            confirmed_reads: 0,
            lost_reads: 0,
            node: None,
            frozen: false,
            reads: BTreeMap::new(),
            peers: names.iter().map(|name| name.as_str().into()).collect(),
            seed,
            limits: BatchLimits::default(),
            guards,
            rewrite_next: false,
        };
        vm.start();
        vm
    }

    pub fn is_running(&self) -> bool {
        self.node.is_some() && !self.frozen
    }

    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    pub fn freeze(&mut self) {
        self.frozen = self.node.is_some();
    }

    pub fn thaw(&mut self) {
        self.frozen = false;
    }

    pub fn node(&self) -> &AgreementNode {
        self.node.as_ref().expect("the VM is running")
    }

    pub fn node_mut(&mut self) -> &mut AgreementNode {
        self.node.as_mut().expect("the VM is running")
    }

    pub fn stop(&mut self) {
        self.node = None;
        self.frozen = false;
        self.crash_at = None;
        self.rewrite_next = false;
        self.reads.clear();
    }

    /// Starts the process from the disk, after truncating a torn tail.
    pub fn start(&mut self) {
        if self.node.is_some() {
            return;
        }
        let restored = DurableState::from_records(&self.disk).expect("the disk is intact");
        self.disk.truncate(restored.valid_length);
        let id = VoterId::new(self.name.clone(), self.next_incarnation);
        if restored.state.id().is_none() && !self.reuses_incarnation {
            self.next_incarnation = self.next_incarnation.next();
        }
        let mut settings = AgreementSettings::new(id, self.peers.clone(), self.seed);
        settings.max_batch_entries = self.limits.entries;
        settings.max_batch_bytes = self.limits.bytes;
        settings.max_entries_in_flight = self.limits.in_flight;
        settings.guards = self.guards.clone();
        self.state = AppliedState::default();
        self.node = Some(AgreementNode::start(settings, restored.state).expect("the disk is ours"));
    }

    /// Makes every empty disk get the first incarnation again.
    pub fn reuse_incarnation(&mut self) {
        self.reuses_incarnation = true;
        self.next_incarnation = VmIncarnation(1);
    }

    /// Returns the durable state on the disk.
    pub fn read_disk(&self) -> DurableState {
        let restored = DurableState::from_records(&self.disk);
        restored.expect("the disk is intact").state
    }

    /// Returns the identity on the disk.
    pub fn disk_id(&self) -> Option<VoterId> {
        self.read_disk().id().cloned()
    }

    /// Begins a read, whose answer must include every entry that is committed on any node by now.
    pub fn begin_read(&mut self, checker: &LogChecker) {
        let covered = checker.last_committed();
        let ticket = self.node_mut().confirm_read();
        self.reads
            .insert(ticket.expect("the node is the leader"), covered);
    }

    /// Compacts the log at the applied state; with `rewrite`, the next sync replaces the whole
    /// file.
    pub fn compact(&mut self, rewrite: bool) {
        let applied = self.state.applied;
        let text = self.state.to_text();
        let Some(node) = &mut self.node else {
            return;
        };
        let compacted = node.compact(applied, text).is_ok();
        self.rewrite_next = compacted && rewrite;
    }

    /// Carries out one output: the writes and their sync, then the rest. Returns the messages to
    /// send.
    pub fn process_output(&mut self, checker: &mut LogChecker) -> Vec<OutboundMessage> {
        let Some(node) = &mut self.node else {
            return Vec::new();
        };
        let output = node.take_output();
        if !output.writes.is_empty() && !self.sync(&output, checker) {
            self.stop();
            return Vec::new();
        }
        self.apply(output, checker)
    }

    /// Writes and syncs; returns `false` if the process crashes.
    fn sync(&mut self, output: &AgreementOutput, checker: &mut LogChecker) -> bool {
        if self.rewrite_next && self.crash_at.is_none() {
            // A new file with the whole state replaces the old one.
            self.rewrite_next = false;
            self.disk = self.node().durable_state().to_records();
            checker.record_writes(&output.writes);
            return true;
        }
        let record = encode_record(&output.writes);
        let part = |percent: u8| record.len() * usize::from(percent.min(99)) / 100;
        match self.crash_at.take() {
            None => {}
            Some(CrashPoint::BeforeWrite) => return false,
            Some(CrashPoint::InWrite(percent)) => {
                self.disk.extend_from_slice(&record[..part(percent)]);
                return false;
            }
            Some(CrashPoint::InWriteZeros(percent)) => {
                let written = part(percent);
                self.disk.extend_from_slice(&record[..written]);
                self.disk
                    .resize(self.disk.len() + record.len() - written, 0);
                return false;
            }
            Some(CrashPoint::AfterSync) => {
                self.disk.extend_from_slice(&record);
                checker.record_writes(&output.writes);
                return false;
            }
        }
        self.disk.extend_from_slice(&record);
        checker.record_writes(&output.writes);
        true
    }

    fn apply(&mut self, output: AgreementOutput, checker: &mut LogChecker) -> Vec<OutboundMessage> {
        if let Some(snapshot) = &output.install {
            self.state.install(snapshot);
            checker.record_install(&self.name, &self.state);
        }
        for entry in &output.committed {
            self.state.apply(&self.name, entry);
            checker.record_committed(&self.name, entry, &self.state);
        }
        for ticket in &output.confirmed_reads {
            let covered = self.reads.remove(ticket).expect("the ticket was asked for");
            self.confirmed_reads += 1;
            assert!(
                self.state.applied >= covered,
                "{} answers a stale read: applied {}, committed before the read {covered}",
                self.name,
                self.state.applied
            );
        }
        for ticket in &output.lost_reads {
            self.reads.remove(ticket).expect("the ticket was asked for");
            self.lost_reads += 1;
        }
        checker.record_leader(self.node.as_ref());
        let outbound = output.messages.iter();
        outbound.for_each(|outbound| self.expect_bounded(&outbound.message.body));
        output.messages
    }

    /// Expects a message to be within the limits, however far its receiver is behind.
    fn expect_bounded(&self, body: &MessageBody) {
        match body {
            MessageBody::Append(batch) => {
                assert!(
                    batch.entries.len() <= self.limits.entries,
                    "a batch is bounded"
                );
            }
            MessageBody::Snapshot(chunk) => {
                assert!(chunk.data.len() <= self.limits.bytes, "a part is bounded");
            }
            _ => {}
        }
    }

    pub fn describe(&self) -> String {
        match &self.node {
            None => format!("{}: stopped", self.name),
            Some(node) => format!(
                "{}: {:?} term {} commit {} last {} voters {:?} learners {:?} outdated {:?}",
                node.id(),
                node.role(),
                node.term(),
                node.commit_index(),
                node.last_entry(),
                node.voters()
                    .iter()
                    .map(VoterId::to_string)
                    .collect::<Vec<_>>(),
                node.learners()
                    .iter()
                    .map(VoterId::to_string)
                    .collect::<Vec<_>>(),
                node.outdated_by(),
            ),
        }
    }
}
