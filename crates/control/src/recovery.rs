//! What a new leaseholder makes of the journal copies that survived.

use crate::keys::CLOCK_TOLERANCE_MS;
use crate::keys::KeyTable;
use crate::replica::load_entries;
use crate::sessions::SessionPositions;
use ragwort_types::JournalCopy;
use ragwort_types::PlacementEpoch;
use ragwort_types::VmName;

/// A copy of the journal, and the VM that held it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalSource {
    /// The VM that answered.
    pub vm: VmName,
    /// What it held.
    pub copy: JournalCopy,
}

/// The journal that a new leaseholder starts from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredJournal {
    pub(crate) keys: KeyTable,
    pub(crate) sessions: SessionPositions,
    complete: bool,
}

impl RecoveredJournal {
    /// Says whether every dispatched key is known.
    ///
    /// If not, keys made before the takeover are answered as possibly run, and the leaseholder must
    /// set the sessions' floor before it serves reads from replicas.
    pub fn is_complete(&self) -> bool {
        self.complete
    }
}

/// Merges the copies that survived, for a leaseholder that takes over.
///
/// `confirmed` is the last epoch whose journal the agreed log shows as whole at every standby;
/// `takeover_ms` is the wall clock, in milliseconds since the Unix epoch, after the former
/// leaseholder's lease has ended.
///
/// The result is complete if one whole copy of the confirmed epoch or a later one survived. A
/// leaseholder dispatches nothing before its epoch is confirmed, and nothing in it before all its
/// standbys hold the key. So a whole copy of the confirmed epoch holds every dispatched key, and a
/// whole copy of a later epoch was made from such a one. An older copy proves nothing.
pub fn recover_journal(
    sources: &[JournalSource],
    confirmed: PlacementEpoch,
    takeover_ms: u64,
) -> RecoveredJournal {
    let nothing_dispatched = confirmed == PlacementEpoch(0);
    let proves = |source: &JournalSource| source.copy.complete && source.copy.epoch >= confirmed;
    let complete = nothing_dispatched || sources.iter().any(proves);
    let mut keys = KeyTable::default();
    let mut sessions = match complete {
        true => SessionPositions::new(),
        false => SessionPositions::new_lost(),
    };
    for source in sources {
        let (found, positions) = load_entries(&source.copy.entries);
        keys.merge(found);
        let floor_unknown = complete && proves(source) && positions.floor().is_none();
        if floor_unknown {
            sessions = SessionPositions::new_lost();
        }
    }
    for source in sources {
        merge_sessions(&mut sessions, source);
    }
    if !complete {
        keys.note_loss(takeover_ms + 2 * CLOCK_TOLERANCE_MS);
    }
    RecoveredJournal {
        keys,
        sessions,
        complete,
    }
}

fn merge_sessions(sessions: &mut SessionPositions, source: &JournalSource) {
    let (_, found) = load_entries(&source.copy.entries);
    for entry in found.to_entries() {
        match entry {
            ragwort_types::JournalEntry::SessionPosition(record) => {
                sessions.note(&record);
            }
            // A floor from a copy is a promise about replicas, and holds whatever else was lost;
            // but it can't stand for sessions that were lost after it.
            ragwort_types::JournalEntry::SessionFloor(position) if sessions.floor().is_some() => {
                sessions.raise_floor(position);
            }
            _ => {}
        }
    }
}
