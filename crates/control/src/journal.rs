//! The journal of a group, as its leaseholder keeps and replicates it.
//!
//! Load: a leaseholder dies while requests that must not repeat are running, and callers resend
//! them to its successor. Without the journal the successor would run them a second time, and a
//! grant would stand twice. So the key of each such request is held by *all* standbys of the epoch
//! before the request is dispatched; any one survivor then knows every key.
//!
//! Waiting for a majority of the standbys only was ruled out: with two standbys a majority is one
//! of them with the leaseholder, and the loss of those two would lose the key.

use crate::keys::CLOCK_TOLERANCE_MS;
use crate::keys::KEY_WINDOW_MS;
use crate::keys::KeyState;
use crate::keys::KeyTable;
use crate::keys::keep_verdict;
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

/// The most entries in one append.
pub const LARGEST_APPEND: usize = 512;

/// The most entries that are kept for a standby that lags behind; past it, the standby is sent the
/// whole journal instead. A group's 300 keys a second fill it in half a minute, by when control has
/// replaced a dead standby.
pub const LONGEST_BACKLOG: usize = 8_192;

/// What the journal says of a request key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The key is new. The request may be dispatched once this entry is replicated.
    Fresh(u64),
    /// The request runs now; its verdict will come.
    Running,
    /// The request has this verdict.
    Decided(RequestVerdict),
    /// The request may have been dispatched by a former leaseholder.
    MayHaveRun,
    /// The key is older than the window.
    Expired,
    /// The key carries no readable time, or one in the future.
    Malformed,
}

/// The journal of a group at its leaseholder.
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
    /// The standby has to be sent the whole journal.
    Lacking,
    /// The whole journal was sent; it stands for the entries below this number.
    Resetting(u64),
    /// The standby holds all entries below this number.
    Holding(u64),
}

impl StandbyProgress {
    fn held(&self) -> u64 {
        match self.state {
            StandbyState::Holding(held) => held,
            StandbyState::Lacking | StandbyState::Resetting(_) => 0,
        }
    }

    /// Returns the number of the first entry that has to be kept for this standby.
    fn needed_from(&self) -> Option<u64> {
        match self.state {
            StandbyState::Lacking => None,
            StandbyState::Resetting(sequence) | StandbyState::Holding(sequence) => Some(sequence),
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
        journal.take_standbys(placement);
        journal
    }

    /// Goes on under a new placement with the same leaseholder.
    ///
    /// Every standby gets the whole journal under the new epoch before anything more counts as
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
            self.take_standbys(placement);
        }
    }

    fn take_standbys(&mut self, placement: &GroupPlacement) {
        let fresh = |vm: &VmName| StandbyProgress {
            vm: vm.clone(),
            state: StandbyState::Lacking,
        };
        self.standbys = placement.standbys.iter().map(fresh).collect();
        self.trim_backlog();
    }

    /// Returns the epoch that the journal is written under.
    pub fn epoch(&self) -> PlacementEpoch {
        self.epoch
    }

    /// Says whether a later leaseholder has read the journal; nothing may be dispatched any more.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns the number of keys that are held.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the positions of sessions.
    pub fn sessions(&self) -> &SessionPositions {
        &self.sessions
    }

    /// Decides about a request with a key; `unix_ms` is the wall clock.
    pub fn begin(
        &mut self,
        customer: &CustomerName,
        key: RequestKey,
        unix_ms: u64,
    ) -> KeyAdmission {
        let Some(made) = key.to_unix_millis() else {
            return KeyAdmission::Malformed;
        };
        // A known key is answered even past the window, as long as it is known.
        match self.keys.get(customer, key) {
            Some(KeyState::Running(_)) => return KeyAdmission::Running,
            Some(KeyState::Doubtful) => return KeyAdmission::MayHaveRun,
            Some(KeyState::Decided(verdict)) => return KeyAdmission::Decided(verdict.clone()),
            None => {}
        }
        // The time that a key was forgotten at is kept, because a wall clock that is set back would
        // otherwise let a forgotten key pass for a fresh one.
        let expired = made + KEY_WINDOW_MS < unix_ms || made < self.keys.forgotten_before();
        if expired {
            return KeyAdmission::Expired;
        }
        // A key from the future would pass for fresh after a loss of the journal, though it was
        // dispatched before.
        if made > unix_ms + CLOCK_TOLERANCE_MS {
            return KeyAdmission::Malformed;
        }
        if made < self.keys.lost_before() {
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

    /// Says whether a running request's entry is replicated, so that it may be dispatched.
    pub fn is_dispatchable(&self, customer: &CustomerName, key: RequestKey) -> bool {
        match self.keys.get(customer, key) {
            Some(KeyState::Running(sequence)) => self.is_replicated(*sequence),
            _ => false,
        }
    }

    /// Says once more, right before a request is sent, whether it may be.
    ///
    /// # Panics
    ///
    /// Panics in a debug build if the request isn't dispatchable: the caller had to wait for
    /// [`is_replicated`](Self::is_replicated). A deposed journal only says no.
    pub fn confirm_dispatch(&self, customer: &CustomerName, key: RequestKey) -> bool {
        let ready = self.is_dispatchable(customer, key);
        invariant!(
            ready || self.deposed,
            "key {key} dispatched before its entry was replicated"
        );
        ready
    }

    /// Notes the verdict of a request that had a key.
    ///
    /// A request that did not run is forgotten, so that the caller may come back with the same key.
    pub fn decide(&mut self, customer: &CustomerName, key: RequestKey, verdict: &RequestVerdict) {
        let verdict = match keep_verdict(verdict) {
            Some(KeyState::Doubtful) => {
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

    /// Notes a session's write; it may be acknowledged once the returned entry is replicated.
    pub fn note_session(
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

    /// Forgets what is no longer needed: keys past the window, and sessions at positions that all
    /// of the group's replicas have passed.
    pub fn prune(&mut self, unix_ms: u64, passed_by_all: LogPosition) {
        self.keys.forget_expired(unix_ms);
        // While the floor isn't known, what the replicas passed says nothing of lost sessions.
        let floor = self.sessions.floor();
        if floor.is_some_and(|floor| passed_by_all > floor) && !self.sessions.is_empty() {
            self.raise_session_floor(passed_by_all);
        }
    }

    /// Raises the position that all sessions' reads must cover.
    ///
    /// After a loss of the journal the caller passes the primary's position, asked for after the
    /// takeover; see [`SessionPositions::required`].
    pub fn raise_session_floor(&mut self, position: LogPosition) {
        self.sessions.raise_floor(position);
        self.push_entry(JournalEntry::SessionFloor(position));
    }

    /// Says whether every standby of the epoch has got the whole journal in it.
    ///
    /// The leaseholder then confirms the epoch in the agreed log, and dispatches only from then on:
    /// its successor knows by that which copies are whole.
    pub fn is_established(&self) -> bool {
        let holds = |standby: &StandbyProgress| matches!(standby.state, StandbyState::Holding(_));
        !self.deposed && self.standbys.iter().all(holds)
    }

    /// Says whether all standbys of the epoch hold an entry.
    pub fn is_replicated(&self, sequence: u64) -> bool {
        let holds = |standby: &StandbyProgress| standby.held() > sequence;
        !self.deposed && self.standbys.iter().all(holds)
    }

    /// Returns the number below which all entries are replicated.
    pub fn replicated_below(&self) -> u64 {
        let held = self.standbys.iter().map(StandbyProgress::held);
        held.min().unwrap_or(self.next_sequence())
    }

    /// Returns the append to send to a standby, or `None` if it holds everything.
    ///
    /// The caller sends one append at a time to each standby and passes the reply to
    /// [`receive_reply`](Self::receive_reply). An append without a reply is asked for again.
    pub fn next_append(&mut self, vm: &VmName) -> Option<JournalAppend> {
        let end = self.next_sequence();
        let standby = self.standbys.iter_mut().find(|standby| standby.vm == *vm)?;
        if self.deposed {
            return None;
        }
        let StandbyState::Holding(held) = standby.state else {
            standby.state = StandbyState::Resetting(end);
            return Some(self.append(vm, end, true, self.to_entries()));
        };
        let skipped = usize::try_from(held - self.backlog_start).ok()?;
        let lacking = self.backlog.iter().skip(skipped).take(LARGEST_APPEND);
        let entries: Vec<JournalEntry> = lacking.cloned().collect();
        (!entries.is_empty()).then(|| self.append(vm, held, false, entries))
    }

    /// Takes a standby's reply to an append that was sent under `epoch`.
    pub fn receive_reply(&mut self, vm: &VmName, epoch: PlacementEpoch, reply: JournalReply) {
        if let JournalReply::StaleEpoch(known) = reply {
            self.deposed |= known > self.epoch;
            return;
        }
        // A reply from before the present epoch says nothing of what the standby holds in it.
        if epoch != self.epoch {
            return;
        }
        let range = self.backlog_start..=self.next_sequence();
        let Some(standby) = self.standbys.iter_mut().find(|standby| standby.vm == *vm) else {
            return;
        };
        standby.state = match reply {
            JournalReply::Held(held) if range.contains(&held) => StandbyState::Holding(held),
            // What follows the standby's last entry isn't kept any more.
            JournalReply::Held(_) | JournalReply::Gap => StandbyState::Lacking,
            JournalReply::StaleEpoch(_) => standby.state,
        };
        self.trim_backlog();
    }

    /// Hands the journal to a later leaseholder and stops serving.
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
        if self.backlog.len() > LONGEST_BACKLOG {
            self.give_up_backlog();
        }
        self.trim_backlog();
        sequence
    }

    /// Marks the standbys that are furthest behind for a reset, so that the backlog stays bounded.
    fn give_up_backlog(&mut self) {
        let half = self.backlog_start + (LONGEST_BACKLOG / 2) as u64;
        for standby in &mut self.standbys {
            if standby.needed_from().is_some_and(|needed| needed < half) {
                standby.state = StandbyState::Lacking;
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
