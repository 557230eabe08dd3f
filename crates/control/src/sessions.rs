//! Positions of sessions' writes, which their reads must cover (read your writes).
//!
//! A session that moves to another gateway, or whose read goes to a lagging replica, must still see
//! its own writes. Its last position is kept until all replicas have passed it. It is then merged
//! into a floor that every read must cover; otherwise a replica that joins empty later would serve
//! the session without its writes.

use ragwort_types::CustomerName;
use ragwort_types::JournalEntry;
use ragwort_types::LogPosition;
use ragwort_types::SessionName;
use ragwort_types::SessionRecord;
use std::collections::BTreeMap;

/// The positions that sessions' reads must cover in one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionPositions {
    /// The position for sessions that are not listed; `None` while it is unknown because the
    /// journal was lost.
    floor: Option<LogPosition>,
    positions: BTreeMap<CustomerName, BTreeMap<SessionName, LogPosition>>,
}

impl Default for SessionPositions {
    fn default() -> Self {
        Self::new()
    }
}

impl SessionPositions {
    /// Creates an empty list for a group that has had no writes.
    pub fn new() -> Self {
        Self {
            floor: Some(LogPosition::default()),
            positions: BTreeMap::new(),
        }
    }

    /// Creates the list of a group whose journal was lost.
    pub fn with_unknown_floor() -> Self {
        Self {
            floor: None,
            positions: BTreeMap::new(),
        }
    }

    /// Returns the position that a session's reads must cover.
    ///
    /// `None` means that it is unknown: the session must read from the primary until
    /// [`raise_floor`](Self::raise_floor) was called.
    pub fn required(&self, customer: &CustomerName, session: &SessionName) -> Option<LogPosition> {
        // A listed position may be too low as well, if the entry that raised it was lost.
        let floor = self.floor?;
        let sessions = self.positions.get(customer);
        let listed = sessions.and_then(|sessions| sessions.get(session));
        Some(listed.map_or(floor, |position| floor.max(*position)))
    }

    /// Records a session's write and returns whether it raised the session's position.
    pub fn note(&mut self, record: &SessionRecord) -> bool {
        if self
            .floor
            .is_some_and(|floor| floor.covers(record.position))
        {
            return false;
        }
        let sessions = self.positions.entry(record.customer.clone()).or_default();
        let position = sessions.entry(record.session.clone()).or_default();
        let moved = record.position > *position;
        *position = record.position.max(*position);
        moved
    }

    /// Raises the floor and discards the sessions that it covers.
    ///
    /// After a loss of the journal, the first call sets the floor to the primary's position,
    /// requested after the takeover.
    pub fn raise_floor(&mut self, position: LogPosition) {
        let floor = self.floor.unwrap_or_default().max(position);
        self.floor = Some(floor);
        for sessions in self.positions.values_mut() {
            sessions.retain(|_, held| !floor.covers(*held));
        }
        self.positions.retain(|_, sessions| !sessions.is_empty());
    }

    /// Returns the floor, or `None` while it is unknown.
    pub fn floor(&self) -> Option<LogPosition> {
        self.floor
    }

    /// Returns the number of listed sessions.
    pub fn len(&self) -> usize {
        self.positions.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no session is listed.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Converts the list to journal entries.
    pub fn to_entries(&self) -> Vec<JournalEntry> {
        let mut entries: Vec<JournalEntry> = self
            .floor
            .map(JournalEntry::SessionFloor)
            .into_iter()
            .collect();
        for (customer, sessions) in &self.positions {
            let records = sessions.iter().map(|(session, position)| SessionRecord {
                customer: customer.clone(),
                session: session.clone(),
                position: *position,
            });
            entries.extend(records.map(JournalEntry::SessionPosition));
        }
        entries
    }
}
