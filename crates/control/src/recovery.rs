//! What a new leaseholder makes of the journal copies that survived.

use crate::keys::CLOCK_TOLERANCE_MS;
use crate::keys::KeyTable;
use crate::replica::load_entries;
use crate::sessions::SessionPositions;
use ragwort_types::GroupPlacement;
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

/// Merges the copies that survived, for a leaseholder that takes over under `present`.
///
/// `previous` is the placement before it, if the asker knew it; `takeover_ms` is the wall clock, in
/// milliseconds since the Unix epoch, after the former leaseholder's lease has ended.
///
/// The result is complete if one whole copy is sure to hold every key that was dispatched:
///
/// - one that was written in the epoch just before the present one, because its holder was a
///   standby or the leaseholder in that epoch;
/// - one from the epoch before that, if its holder was also a standby in the epoch between: as
///   that epoch's journal never reached it, nothing was dispatched there.
///
/// An older copy proves nothing: its holder may have been left out of an epoch in between.
pub fn recover_journal(
    sources: &[JournalSource],
    previous: Option<&GroupPlacement>,
    present: &GroupPlacement,
    takeover_ms: u64,
) -> RecoveredJournal {
    let first_placement = present.epoch <= PlacementEpoch(1);
    let proves = |source: &JournalSource| holds_everything(source, previous, present);
    let complete = first_placement || sources.iter().any(proves);
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

fn holds_everything(
    source: &JournalSource,
    previous: Option<&GroupPlacement>,
    present: &GroupPlacement,
) -> bool {
    if !source.copy.complete {
        return false;
    }
    if source.copy.epoch.next() == present.epoch {
        return true;
    }
    previous.is_some_and(|previous| {
        let adjacent = previous.epoch.next() == present.epoch;
        let just_before = source.copy.epoch.next() == previous.epoch;
        adjacent && just_before && previous.standbys.contains(&source.vm)
    })
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
