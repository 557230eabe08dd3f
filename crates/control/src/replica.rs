//! A standby's copy of a group's journal.

use crate::keys::KeyTable;
use crate::sessions::SessionPositions;
use ragwort_types::GroupName;
use ragwort_types::JournalAppend;
use ragwort_types::JournalCopy;
use ragwort_types::JournalEntry;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use ragwort_types::PlacementEpoch;

/// A standby's copy of a group's journal.
#[derive(Clone, Debug)]
pub struct JournalReplica {
    group: GroupName,
    /// The lowest epoch of which appends are accepted.
    promised: PlacementEpoch,
    /// The epoch under which the entries were written.
    held_epoch: PlacementEpoch,
    complete: bool,
    next: u64,
    keys: KeyTable,
    sessions: SessionPositions,
}

impl JournalReplica {
    /// Creates an empty copy on a VM whose catalog shows the group at an epoch.
    ///
    /// Appends of earlier epochs, which may have been sent to a former process on this VM, are
    /// refused: they would make the copy look complete when it isn't.
    pub fn new(group: GroupName, epoch: PlacementEpoch) -> Self {
        Self {
            group,
            promised: epoch,
            held_epoch: PlacementEpoch(0),
            complete: false,
            next: 0,
            keys: KeyTable::default(),
            sessions: SessionPositions::new(),
        }
    }

    /// Returns the group.
    pub fn group(&self) -> &GroupName {
        &self.group
    }

    /// Applies an append.
    pub fn append(&mut self, append: &JournalAppend) -> JournalReply {
        if append.epoch < self.promised {
            return JournalReply::StaleEpoch(self.promised);
        }
        self.promised = append.epoch;
        let same_epoch = self.complete && append.epoch == self.held_epoch;
        match append.reset {
            // A delayed duplicate of a reset would discard the entries after it, which the
            // leaseholder counts as held.
            true if same_epoch && append.sequence <= self.next => {}
            true => self.replace(append),
            false if !same_epoch || append.sequence > self.next => return JournalReply::Gap,
            false => self.extend(append),
        }
        JournalReply::Held(self.next)
    }

    /// Returns the copy to a leaseholder of a later epoch and refuses earlier epochs from then on.
    pub fn read(&mut self, request: &JournalRequest) -> JournalCopy {
        self.promised = self.promised.max(request.epoch);
        let mut entries = self.keys.to_entries();
        entries.extend(self.sessions.to_entries());
        JournalCopy {
            epoch: self.held_epoch,
            complete: self.complete,
            entries,
        }
    }

    fn replace(&mut self, append: &JournalAppend) {
        let (keys, sessions) = load_entries(&append.entries);
        self.keys = keys;
        self.sessions = sessions;
        self.held_epoch = append.epoch;
        self.complete = true;
        self.next = append.sequence;
    }

    fn extend(&mut self, append: &JournalAppend) {
        let known = usize::try_from(self.next - append.sequence).unwrap_or(usize::MAX);
        for entry in append.entries.iter().skip(known) {
            apply_entry(&mut self.keys, &mut self.sessions, entry);
            self.next += 1;
        }
    }
}

/// Builds the tables from the entries of a whole journal.
pub(crate) fn load_entries(entries: &[JournalEntry]) -> (KeyTable, SessionPositions) {
    let mut keys = KeyTable::default();
    let lost = entries
        .iter()
        .any(|entry| matches!(entry, JournalEntry::KeysLost(_)));
    let mut sessions = match lost {
        true => SessionPositions::with_unknown_floor(),
        false => SessionPositions::new(),
    };
    for entry in entries {
        apply_entry(&mut keys, &mut sessions, entry);
    }
    (keys, sessions)
}

fn apply_entry(keys: &mut KeyTable, sessions: &mut SessionPositions, entry: &JournalEntry) {
    if keys.apply_entry(entry) {
        return;
    }
    match entry {
        JournalEntry::SessionPosition(record) => {
            sessions.note(record);
        }
        JournalEntry::SessionFloor(position) => sessions.raise_floor(*position),
        JournalEntry::KeyDispatched(_)
        | JournalEntry::KeyDecided(_)
        | JournalEntry::KeysLost(_) => {}
    }
}
