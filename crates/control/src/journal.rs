//! The journal of a group, kept and replicated by its leaseholder.
//!
//! A leaseholder may die while requests that must not repeat are running, and callers resend them
//! to its successor. Without the journal the successor would run them a second time. The key of
//! each such request is therefore held by *all* standbys of the epoch before the request is
//! dispatched, so that any one survivor knows every key.
//!
//! A majority of the standbys isn't enough: with two standbys it would be one of them and the
//! leaseholder, and the loss of these two would lose the key.

use crate::keys::CLOCK_TOLERANCE_MS;
use crate::keys::KEY_WINDOW_MS;
use crate::keys::KeyState;
use crate::keys::KeyTable;
use crate::keys::retained_state;
use crate::recovery::RecoveredJournal;
use crate::sessions::SessionPositions;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::GroupPlacement;
use ragwort_types::JournalAppend;
use ragwort_types::JournalCopy;
use ragwort_types::JournalEntry;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use ragwort_types::KeyDecision;
use ragwort_types::KeyRecord;
use ragwort_types::LogPosition;
use ragwort_types::PlacementEpoch;
use ragwort_types::RequestKey;
use ragwort_types::RequestVerdict;
use ragwort_types::SessionName;
use ragwort_types::SessionRecord;
use ragwort_types::VmName;
use smallvec::SmallVec;
use std::collections::VecDeque;

/// Maximum number of entries in one append.
pub const MAX_APPEND_ENTRIES: usize = 512;

/// Maximum number of entries that are kept for a standby that lags; one that falls further behind
/// is sent the whole journal. A group's 300 keys a second fill it in half a minute, by when control
/// has replaced a dead standby.
pub const MAX_BACKLOG_ENTRIES: usize = 8_192;

/// The journal's answer to a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The key is new. The request may be dispatched once the entry with this number is replicated.
    Fresh(u64),
    /// The request is running and has no verdict yet.
    Running,
    /// The request has already been decided.
    Decided(RequestVerdict),
    /// A former leaseholder may have dispatched the request.
    MayHaveRun,
    /// The key is older than the window.
    Expired,
    /// The key contains no readable time, or a time in the future.
    Malformed,
}

/// A group's journal at its leaseholder.
#[derive(Clone, Debug)]
pub struct GroupJournal {
    group: GroupName,
    epoch: PlacementEpoch,
    deposed: bool,
    keys: KeyTable,
    sessions: SessionPositions,
    /// Entries that some standby may lack; the first has the number `backlog_start`.
    backlog: VecDeque<JournalEntry>,
    backlog_start: u64,
    standbys: SmallVec<[StandbyProgress; 2]>,
}

#[derive(Clone, Debug)]
struct StandbyProgress {
    vm: VmName,
    state: StandbyState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StandbyState {
    /// The standby must be sent the whole journal.
    NeedsReset,
    /// The whole journal was sent; it contains all entries below this number.
    ResetSent(u64),
    /// The standby holds all entries below this number.
    HoldsBelow(u64),
}

impl StandbyProgress {
    fn held_below(&self) -> u64 {
        match self.state {
            StandbyState::HoldsBelow(held_below) => held_below,
            StandbyState::NeedsReset | StandbyState::ResetSent(_) => 0,
        }
    }

    /// Returns the number of the first entry that must be kept for this standby.
    fn needed_from(&self) -> Option<u64> {
        match self.state {
            StandbyState::NeedsReset => None,
            StandbyState::ResetSent(sequence) | StandbyState::HoldsBelow(sequence) => {
                Some(sequence)
            }
        }
    }
}

impl GroupJournal {
    /// Creates the journal of a leaseholder that takes over under a placement.
    pub fn resume(recovered: RecoveredJournal, placement: &GroupPlacement) -> Self {
        let mut journal = Self {
            group: placement.group.clone(),
            epoch: placement.epoch,
            deposed: false,
            keys: recovered.keys,
            sessions: recovered.sessions,
            backlog: VecDeque::new(),
            backlog_start: 0,
            standbys: SmallVec::new(),
        };
        journal.reset_standbys(placement);
        journal
    }

    /// Continues under a new placement with the same leaseholder.
    ///
    /// Every standby receives the whole journal under the new epoch before anything more counts as
    /// replicated.
    pub fn adopt_placement(&mut self, placement: &GroupPlacement) {
        invariant!(
            placement.epoch >= self.epoch,
            "the epoch of {} fell from {} to {}",
            self.group,
            self.epoch,
            placement.epoch
        );
        if placement.epoch > self.epoch {
            self.epoch = placement.epoch;
            self.reset_standbys(placement);
        }
    }

    fn reset_standbys(&mut self, placement: &GroupPlacement) {
        let fresh = |vm: &VmName| StandbyProgress {
            vm: vm.clone(),
            state: StandbyState::NeedsReset,
        };
        self.standbys = placement.standbys.iter().map(fresh).collect();
        self.trim_backlog();
    }

    /// Returns the epoch under which the journal is written.
    pub fn epoch(&self) -> PlacementEpoch {
        self.epoch
    }

    /// Returns whether a later leaseholder has read the journal; nothing may be dispatched from
    /// then on.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns the number of keys in the journal.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the positions that sessions' reads must cover.
    pub fn sessions(&self) -> &SessionPositions {
        &self.sessions
    }

    /// Admits or rejects a request with a key; `unix_ms` is the wall clock.
    pub fn begin(
        &mut self,
        customer: &CustomerName,
        key: RequestKey,
        unix_ms: u64,
    ) -> KeyAdmission {
        let Some(made) = key.to_unix_millis() else {
            return KeyAdmission::Malformed;
        };
        // A key that is still in the table is answered even past the window.
        match self.keys.get(customer, key) {
            Some(KeyState::Running(_)) => return KeyAdmission::Running,
            Some(KeyState::MayHaveRun) => return KeyAdmission::MayHaveRun,
            Some(KeyState::Decided(verdict)) => return KeyAdmission::Decided(verdict.clone()),
            None => {}
        }
        // The time limit of forgotten keys is kept, because a forgotten key would pass for a new
        // one after the wall clock is set back.
        let expired = made + KEY_WINDOW_MS < unix_ms || made < self.keys.forgotten_before_ms();
        if expired {
            return KeyAdmission::Expired;
        }
        // If a key from the future were dispatched and the journal then lost, the key would pass
        // for a new one.
        if made > unix_ms + CLOCK_TOLERANCE_MS {
            return KeyAdmission::Malformed;
        }
        if made < self.keys.lost_before_ms() {
            return KeyAdmission::MayHaveRun;
        }
        let record = KeyRecord {
            customer: customer.clone(),
            key,
        };
        let sequence = self.push_entry(JournalEntry::KeyDispatched(record));
        self.keys.set(customer, key, KeyState::Running(sequence));
        KeyAdmission::Fresh(sequence)
    }

    /// Returns whether a running request's entry is replicated, so that the request may be
    /// dispatched.
    pub fn is_dispatchable(&self, customer: &CustomerName, key: RequestKey) -> bool {
        match self.keys.get(customer, key) {
            Some(KeyState::Running(sequence)) => self.is_replicated(*sequence),
            _ => false,
        }
    }

    /// Checks again, right before a request is sent, that it may be dispatched.
    ///
    /// # Panics
    ///
    /// Panics in a debug build if the request isn't dispatchable: the caller must wait for
    /// [`is_replicated`](Self::is_replicated). If the journal is deposed, it returns `false`
    /// instead.
    pub fn confirm_dispatch(&self, customer: &CustomerName, key: RequestKey) -> bool {
        let ready = self.is_dispatchable(customer, key);
        invariant!(
            ready || self.deposed,
            "key {key} dispatched before its entry was replicated"
        );
        ready
    }

    /// Records the verdict of a request that had a key.
    ///
    /// A request that did not run is forgotten, so that the caller may resend it with the same key.
    pub fn decide(&mut self, customer: &CustomerName, key: RequestKey, verdict: &RequestVerdict) {
        let verdict = match retained_state(verdict) {
            Some(KeyState::MayHaveRun) => {
                RequestVerdict::MayHaveRun(ragwort_types::DoubtCause::EarlierAttempt)
            }
            _ => verdict.clone(),
        };
        let decision = KeyDecision {
            customer: customer.clone(),
            key,
            verdict,
        };
        self.keys.decide(&decision);
        self.push_entry(JournalEntry::KeyDecided(decision));
    }

    /// Records a session's write. The write may be acknowledged once the entry with the returned
    /// number is replicated.
    pub fn record_session(
        &mut self,
        customer: &CustomerName,
        session: &SessionName,
        position: LogPosition,
    ) -> u64 {
        let record = SessionRecord {
            customer: customer.clone(),
            session: session.clone(),
            position,
        };
        self.sessions.note(&record);
        self.push_entry(JournalEntry::SessionPosition(record))
    }

    /// Discards keys past the window, and sessions at positions that all of the group's replicas
    /// have passed.
    pub fn prune(&mut self, unix_ms: u64, passed_by_all: LogPosition) {
        self.keys.forget_expired(unix_ms);
        // While the floor is unknown, the replicas' positions don't bound the positions of lost
        // sessions.
        let floor = self.sessions.floor();
        if floor.is_some_and(|floor| passed_by_all > floor) && !self.sessions.is_empty() {
            self.raise_session_floor(passed_by_all);
        }
    }

    /// Raises the position that all sessions' reads must cover.
    ///
    /// After a loss of the journal, the caller passes the primary's position, requested after the
    /// takeover; see [`SessionPositions::required`].
    pub fn raise_session_floor(&mut self, position: LogPosition) {
        self.sessions.raise_floor(position);
        self.push_entry(JournalEntry::SessionFloor(position));
    }

    /// Returns whether every standby of the epoch has received the whole journal.
    ///
    /// The leaseholder then confirms the epoch in the replicated log, and dispatches only after
    /// that: the confirmation tells its successor which copies are complete.
    pub fn is_established(&self) -> bool {
        let holds =
            |standby: &StandbyProgress| matches!(standby.state, StandbyState::HoldsBelow(_));
        !self.deposed && self.standbys.iter().all(holds)
    }

    /// Returns whether all standbys of the epoch hold an entry.
    pub fn is_replicated(&self, sequence: u64) -> bool {
        let holds = |standby: &StandbyProgress| standby.held_below() > sequence;
        !self.deposed && self.standbys.iter().all(holds)
    }

    /// Returns the number below which all entries are replicated.
    pub fn replicated_below(&self) -> u64 {
        let held_below = self.standbys.iter().map(StandbyProgress::held_below);
        held_below.min().unwrap_or(self.next_sequence())
    }

    /// Returns the next append for a standby, or `None` if it holds everything.
    ///
    /// The caller sends one append at a time to each standby and passes the reply to
    /// [`receive_reply`](Self::receive_reply). An append without a reply is requested again.
    pub fn next_append(&mut self, vm: &VmName) -> Option<JournalAppend> {
        let end = self.next_sequence();
        let standby = self.standbys.iter_mut().find(|standby| standby.vm == *vm)?;
        if self.deposed {
            return None;
        }
        let StandbyState::HoldsBelow(held_below) = standby.state else {
            standby.state = StandbyState::ResetSent(end);
            return Some(self.append(vm, end, true, self.to_entries()));
        };
        let skipped = usize::try_from(held_below - self.backlog_start).ok()?;
        let missing = self.backlog.iter().skip(skipped).take(MAX_APPEND_ENTRIES);
        let entries: Vec<JournalEntry> = missing.cloned().collect();
        (!entries.is_empty()).then(|| self.append(vm, held_below, false, entries))
    }

    /// Processes a standby's reply to an append that was sent under `epoch`.
    pub fn receive_reply(&mut self, vm: &VmName, epoch: PlacementEpoch, reply: JournalReply) {
        if let JournalReply::StaleEpoch(known) = reply {
            self.deposed |= known > self.epoch;
            return;
        }
        // A reply under another epoch doesn't show what the standby holds in the present one.
        if epoch != self.epoch {
            return;
        }
        let range = self.backlog_start..=self.next_sequence();
        let Some(standby) = self.standbys.iter_mut().find(|standby| standby.vm == *vm) else {
            return;
        };
        standby.state = match reply {
            JournalReply::Held(held_below) if range.contains(&held_below) => {
                StandbyState::HoldsBelow(held_below)
            }
            // The entries after the standby's last one are no longer kept.
            JournalReply::Held(_) | JournalReply::Gap => StandbyState::NeedsReset,
            JournalReply::StaleEpoch(_) => standby.state,
        };
        self.trim_backlog();
    }

    /// Returns the journal's contents; if the request is of a later epoch, the journal is deposed.
    pub fn read(&mut self, request: &JournalRequest) -> JournalCopy {
        self.deposed |= request.epoch > self.epoch;
        JournalCopy {
            epoch: self.epoch,
            complete: true,
            entries: self.to_entries(),
        }
    }

    fn next_sequence(&self) -> u64 {
        self.backlog_start + self.backlog.len() as u64
    }

    fn push_entry(&mut self, entry: JournalEntry) -> u64 {
        let sequence = self.next_sequence();
        self.backlog.push_back(entry);
        if self.backlog.len() > MAX_BACKLOG_ENTRIES {
            self.reset_slowest_standbys();
        }
        self.trim_backlog();
        sequence
    }

    /// Marks the standbys that are furthest behind for a reset, which bounds the backlog.
    fn reset_slowest_standbys(&mut self) {
        let half = self.backlog_start + (MAX_BACKLOG_ENTRIES / 2) as u64;
        for standby in &mut self.standbys {
            if standby.needed_from().is_some_and(|needed| needed < half) {
                standby.state = StandbyState::NeedsReset;
            }
        }
    }

    fn trim_backlog(&mut self) {
        let needed = self
            .standbys
            .iter()
            .filter_map(StandbyProgress::needed_from);
        let oldest = needed.min();
        let oldest = oldest.unwrap_or(self.next_sequence());
        while self.backlog_start < oldest && self.backlog.pop_front().is_some() {
            self.backlog_start += 1;
        }
    }

    fn append(
        &self,
        vm: &VmName,
        sequence: u64,
        reset: bool,
        entries: Vec<JournalEntry>,
    ) -> JournalAppend {
        JournalAppend {
            to: vm.clone(),
            group: self.group.clone(),
            epoch: self.epoch,
            sequence,
            reset,
            entries,
        }
    }

    fn to_entries(&self) -> Vec<JournalEntry> {
        let mut entries = self.keys.to_entries();
        entries.extend(self.sessions.to_entries());
        entries
    }
}
