//! Keys of requests that run at most once.
//!
//! A key contains the time at which its caller made it. Keys older than the window are refused, so
//! the table holds only the window's keys, and a key whose record was discarded can't run a second
//! time.

use ragwort_types::CustomerName;
use ragwort_types::DoubtCause;
use ragwort_types::JournalEntry;
use ragwort_types::KeyDecision;
use ragwort_types::KeyRecord;
use ragwort_types::RequestKey;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
use std::collections::BTreeMap;

/// Retention time of keys, in milliseconds.
///
/// It equals the longest deadline that a contract may set, so a request can't outlive its key.
pub const KEY_WINDOW_MS: u64 = 600_000;

/// Maximum tolerated difference between the wall clocks of callers and VMs, in milliseconds.
///
/// Clocks kept by the platform differ by milliseconds; two seconds also cover a leap second and a
/// VM that was just resumed. A request from a caller whose clock is further ahead is refused.
pub const CLOCK_TOLERANCE_MS: u64 = 2_000;

/// Maximum size of an answer that is kept for resends, in bytes of text.
///
/// Requests with keys usually return a few values. A resend of a request with a larger answer is
/// told that it may have run, because part of an answer must not pass for the whole.
pub const MAX_KEPT_ANSWER_BYTES: usize = 4_096;

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// This process runs the request; its journal entry has this number.
    Running(u64),
    /// An earlier leaseholder dispatched the request, or its answer isn't kept.
    MayHaveRun,
    /// The request has its final verdict.
    Decided(RequestVerdict),
}

/// A key of one customer. Keys are ordered by their time first, like UUIDv7.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QualifiedKey {
    key: RequestKey,
    customer: CustomerName,
}

/// The keys of one group within the window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyTable {
    keys: BTreeMap<QualifiedKey, KeyState>,
    /// Keys made before this time were forgotten, in milliseconds since the Unix epoch. It never
    /// falls, even if the wall clock is set back.
    forgotten_before_ms: u64,
    /// Keys made before this time may be missing, in milliseconds since the Unix epoch.
    lost_before_ms: u64,
}

impl KeyTable {
    pub(crate) fn get(&self, customer: &CustomerName, key: RequestKey) -> Option<&KeyState> {
        self.keys.get(&QualifiedKey::new(customer, key))
    }

    pub(crate) fn set(&mut self, customer: &CustomerName, key: RequestKey, state: KeyState) {
        self.keys.insert(QualifiedKey::new(customer, key), state);
    }

    pub(crate) fn forget(&mut self, customer: &CustomerName, key: RequestKey) {
        self.keys.remove(&QualifiedKey::new(customer, key));
    }

    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(crate) fn lost_before_ms(&self) -> u64 {
        self.lost_before_ms
    }

    pub(crate) fn note_loss(&mut self, before_ms: u64) {
        self.lost_before_ms = self.lost_before_ms.max(before_ms);
    }

    pub(crate) fn forgotten_before_ms(&self) -> u64 {
        self.forgotten_before_ms
    }

    /// Records what a decision means for later resends.
    pub(crate) fn decide(&mut self, decision: &KeyDecision) {
        match retained_state(&decision.verdict) {
            Some(state) => self.set(&decision.customer, decision.key, state),
            None => self.forget(&decision.customer, decision.key),
        }
    }

    /// Discards the keys that every leaseholder now refuses as too old, whatever its clock.
    pub(crate) fn forget_expired(&mut self, unix_ms: u64) {
        let horizon = unix_ms.saturating_sub(KEY_WINDOW_MS + 2 * CLOCK_TOLERANCE_MS);
        if horizon <= self.forgotten_before_ms {
            return;
        }
        self.forgotten_before_ms = horizon;
        while let Some(entry) = self.keys.first_entry() {
            let made = entry.key().key.to_unix_millis().unwrap_or(0);
            if made >= horizon {
                return;
            }
            entry.remove();
        }
    }

    /// Applies an entry as a standby does, and returns whether it is an entry about keys.
    pub(crate) fn apply_entry(&mut self, entry: &JournalEntry) -> bool {
        match entry {
            JournalEntry::KeyDispatched(record) => {
                self.set(&record.customer, record.key, KeyState::MayHaveRun);
                // The leaseholder refuses keys from the future, so the present time is at least the
                // time of a dispatched key less the tolerance.
                let made = record.key.to_unix_millis().unwrap_or(0);
                self.forget_expired(made.saturating_sub(CLOCK_TOLERANCE_MS));
                true
            }
            JournalEntry::KeyDecided(decision) => {
                self.decide(decision);
                true
            }
            JournalEntry::KeysLost(before_ms) => {
                self.note_loss(*before_ms);
                true
            }
            JournalEntry::SessionPosition(_) | JournalEntry::SessionFloor(_) => false,
        }
    }

    /// Converts the table to journal entries.
    pub(crate) fn to_entries(&self) -> Vec<JournalEntry> {
        let lost = (self.lost_before_ms > 0).then_some(JournalEntry::KeysLost(self.lost_before_ms));
        let mut entries: Vec<JournalEntry> = lost.into_iter().collect();
        entries.extend(self.keys.iter().map(|(name, state)| name.to_entry(state)));
        entries
    }

    /// Merges another copy; a decision takes precedence over a dispatch.
    pub(crate) fn merge(&mut self, other: KeyTable) {
        self.note_loss(other.lost_before_ms);
        for (name, state) in other.keys {
            let decided = matches!(self.keys.get(&name), Some(KeyState::Decided(_)));
            if !decided {
                self.keys.insert(name, state);
            }
        }
    }
}

impl QualifiedKey {
    fn new(customer: &CustomerName, key: RequestKey) -> Self {
        Self {
            key,
            customer: customer.clone(),
        }
    }

    fn to_entry(&self, state: &KeyState) -> JournalEntry {
        match state {
            KeyState::Running(_) | KeyState::MayHaveRun => JournalEntry::KeyDispatched(KeyRecord {
                customer: self.customer.clone(),
                key: self.key,
            }),
            KeyState::Decided(verdict) => JournalEntry::KeyDecided(KeyDecision {
                customer: self.customer.clone(),
                key: self.key,
                verdict: verdict.clone(),
            }),
        }
    }
}

/// Returns the state that is kept for a verdict; `None` if the request did not run and so may still
/// run.
pub(crate) fn retained_state(verdict: &RequestVerdict) -> Option<KeyState> {
    match verdict {
        RequestVerdict::NotRun(_) => None,
        RequestVerdict::MayHaveRun(DoubtCause::EarlierAttempt) => Some(KeyState::MayHaveRun),
        RequestVerdict::Ran(answer) if text_size(answer) > MAX_KEPT_ANSWER_BYTES => {
            Some(KeyState::MayHaveRun)
        }
        RequestVerdict::Ran(_) | RequestVerdict::MayHaveRun(_) => {
            Some(KeyState::Decided(verdict.clone()))
        }
    }
}

fn text_size(answer: &StatementAnswer) -> usize {
    match answer {
        StatementAnswer::Done(_) => 0,
        StatementAnswer::Faulted(fault) => fault.text.len(),
        StatementAnswer::Tagged(rows) => {
            let texts = rows.rows.iter().map(String::len);
            texts.sum::<usize>() + rows.tag.len()
        }
        StatementAnswer::Failed(error) => error.sqlstate.len() + error.message.len(),
        StatementAnswer::Rows(set) => {
            let columns: usize = set.columns.iter().map(String::len).sum();
            let values = set.rows.iter().flatten().flatten();
            columns + values.map(String::len).sum::<usize>() + set.rows.len()
        }
    }
}
