//! Invariants across all nodes.

use super::vm::TestVm;
use ragwort_control::agreement::AgreementNode;
use ragwort_control::agreement::CommittedEntry;
use ragwort_control::agreement::DiskWrite;
use ragwort_control::agreement::ElectionTerm;
use ragwort_control::agreement::EntryMark;
use ragwort_control::agreement::EntryPayload;
use ragwort_control::agreement::LogEntry;
use ragwort_control::agreement::LogIndex;
use ragwort_control::agreement::SnapshotData;
use ragwort_control::agreement::VoterConfiguration;
use ragwort_control::agreement::VoterId;
use ragwort_types::VmName;
use std::collections::BTreeMap;

/// The state that a VM has computed from committed entries: a checksum over all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedState {
    pub applied: LogIndex,
    checksum: u32,
}

impl AppliedState {
    pub fn to_text(&self) -> String {
        format!("{} {} {}", self.applied, self.checksum, "x".repeat(150))
    }

    pub fn install(&mut self, snapshot: &SnapshotData) {
        assert!(
            snapshot.mark.index >= self.applied,
            "the applied index would fall from {} to {}",
            self.applied,
            snapshot.mark.index
        );
        let mut parts = snapshot.data.split(' ');
        let mut number = || parts.next().and_then(|part| part.parse::<u64>().ok());
        self.applied = LogIndex(number().expect("the snapshot begins with its index"));
        let checksum = number().expect("the snapshot has a checksum");
        self.checksum = u32::try_from(checksum).expect("a checksum has 32 bits");
        assert_eq!(
            self.applied, snapshot.mark.index,
            "the snapshot's state matches its mark"
        );
    }

    pub fn apply(&mut self, name: &VmName, entry: &CommittedEntry) {
        let next = self.applied.next();
        assert_eq!(
            entry.mark.index, next,
            "{name} applies entries in order, without gaps"
        );
        self.applied = next;
        let text = format!("{} {} {:?}", self.checksum, entry.mark, entry.data);
        self.checksum = crc32fast::hash(text.as_bytes());
    }
}

/// The entries, states and leaders observed on any node.
#[derive(Default)]
pub struct LogChecker {
    committed: BTreeMap<LogIndex, AppliedState>,
    marks: BTreeMap<LogIndex, EntryMark>,
    written: BTreeMap<EntryMark, EntryPayload>,
    leaders: BTreeMap<ElectionTerm, VoterId>,
}

impl LogChecker {
    /// Records entries written to a disk, and checks that entries with the same mark are equal.
    pub fn record_writes(&mut self, writes: &[DiskWrite]) {
        for write in writes {
            if let DiskWrite::Entry(entry) = write {
                let known = self.written.entry(entry.mark);
                let known = known.or_insert_with(|| entry.payload.clone());
                assert_eq!(*known, entry.payload, "two entries at {}", entry.mark);
            }
        }
    }

    /// Records a committed entry, and checks that all nodes commit the same entry at its index and
    /// reach the same state.
    pub fn record_committed(
        &mut self,
        name: &VmName,
        entry: &CommittedEntry,
        state: &AppliedState,
    ) {
        let mark = *self.marks.entry(entry.mark.index).or_insert(entry.mark);
        assert_eq!(
            mark, entry.mark,
            "{name} commits another entry at {}",
            mark.index
        );
        let known = self.committed.entry(entry.mark.index);
        let known = known.or_insert_with(|| state.clone());
        assert_eq!(known, state, "{name} has another state at {}", mark.index);
    }

    /// Checks that an installed snapshot equals the state that a node computed from the entries up
    /// to its index.
    pub fn record_install(&mut self, name: &VmName, state: &AppliedState) {
        let known = self.committed.get(&state.applied);
        assert_eq!(
            known,
            Some(state),
            "{name} installs a state that no node has had"
        );
    }

    /// Records a leader, and checks that its term has no other one.
    pub fn record_leader(&mut self, node: Option<&AgreementNode>) {
        let Some(node) = node.filter(|node| node.is_leader()) else {
            return;
        };
        let known = self.leaders.entry(node.term());
        let known = known.or_insert_with(|| node.id().clone());
        assert_eq!(known, node.id(), "two leaders in term {}", node.term());
    }

    pub fn is_committed(&self, mark: EntryMark) -> bool {
        self.marks.get(&mark.index) == Some(&mark)
    }

    pub fn last_committed(&self) -> LogIndex {
        self.marks.keys().last().copied().unwrap_or_default()
    }

    pub fn leader_count(&self) -> usize {
        self.leaders.len()
    }

    /// Checks that each VM's state equals the committed state at its applied index.
    pub fn expect_consistent(&self, vms: &[TestVm]) {
        let last = self.last_committed();
        for vm in vms {
            assert!(vm.state.applied <= last, "{} is ahead of the log", vm.name);
            let known = self.committed.get(&vm.state.applied);
            assert_eq!(known, Some(&vm.state), "{} has another state", vm.name);
        }
    }
}

/// Returns the configuration that an entry contains.
pub fn configuration_of(entry: &LogEntry) -> Option<&VoterConfiguration> {
    match &entry.payload {
        EntryPayload::Configuration(configuration) => Some(configuration),
        EntryPayload::Empty | EntryPayload::Data(_) => None,
    }
}
