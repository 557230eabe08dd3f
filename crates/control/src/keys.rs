//! The keys of requests that run at most once.
//!
//! A key carries the time at which its caller made it. Keys older than the window are refused, so
//! the table holds no more than the window's keys, and a refused key can't run a second time after
//! its record is gone.

use ragwort_types::CustomerName;
use ragwort_types::DoubtCause;
use ragwort_types::JournalEntry;
use ragwort_types::KeyDecision;
use ragwort_types::KeyRecord;
use ragwort_types::RequestKey;
use ragwort_types::RequestVerdict;
use ragwort_types::StatementAnswer;
use std::collections::BTreeMap;

/// How long a key is remembered, in milliseconds.
///
/// The longest deadline that a contract may set is as long, so a request can't outlive its key.
pub const KEY_WINDOW_MS: u64 = 600_000;

/// How far the wall clocks of callers and VMs may differ, in milliseconds.
///
/// Clocks that are kept by the platform differ by milliseconds; two seconds also cover a leap
/// second and a VM that was just resumed. A caller whose clock is further ahead is refused.
pub const CLOCK_TOLERANCE_MS: u64 = 2_000;

/// The largest answer that is kept for resends, in bytes of text.
///
/// A grant or an issue slip answers with a few values. A resend of a request whose answer was
/// larger is told that it may have run, because a part of an answer must not pass for the whole.
pub const LARGEST_KEPT_ANSWER: usize = 4_096;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// This process runs it; its journal entry has this number.
    Running(u64),
    /// It was dispatched by an earlier leaseholder, or its answer is not kept.
    Doubtful,
    /// It has its final verdict.
    Decided(RequestVerdict),
}

/// Keys order by their time first, as UUIDv7 does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyName {
    key: RequestKey,
    customer: CustomerName,
}

/// The keys of one group's window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyTable {
    keys: BTreeMap<KeyName, KeyState>,
    /// Keys made before this time were forgotten; it never falls, though a wall clock may.
    forgotten_before: u64,
    /// Keys made before this time may be missing.
    lost_before: u64,
}

impl KeyTable {
    pub(crate) fn get(&self, customer: &CustomerName, key: RequestKey) -> Option<&KeyState> {
        self.keys.get(&KeyName::new(customer, key))
    }

    pub(crate) fn set(&mut self, customer: &CustomerName, key: RequestKey, state: KeyState) {
        self.keys.insert(KeyName::new(customer, key), state);
    }

    pub(crate) fn forget(&mut self, customer: &CustomerName, key: RequestKey) {
        self.keys.remove(&KeyName::new(customer, key));
    }

    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(crate) fn lost_before(&self) -> u64 {
        self.lost_before
    }

    pub(crate) fn note_loss(&mut self, before_ms: u64) {
        self.lost_before = self.lost_before.max(before_ms);
    }

    pub(crate) fn forgotten_before(&self) -> u64 {
        self.forgotten_before
    }

    /// Takes over what a decision means for later resends.
    pub(crate) fn decide(&mut self, decision: &KeyDecision) {
        match keep_verdict(&decision.verdict) {
            Some(state) => self.set(&decision.customer, decision.key, state),
            None => self.forget(&decision.customer, decision.key),
        }
    }

    /// Forgets the keys that every leaseholder refuses by now as too old, whatever its clock.
    pub(crate) fn forget_expired(&mut self, unix_ms: u64) {
        let horizon = unix_ms.saturating_sub(KEY_WINDOW_MS + 2 * CLOCK_TOLERANCE_MS);
        if horizon <= self.forgotten_before {
            return;
        }
        self.forgotten_before = horizon;
        while let Some(entry) = self.keys.first_entry() {
            let made = entry.key().key.to_unix_millis().unwrap_or(0);
            if made >= horizon {
                return;
            }
            entry.remove();
        }
    }

    /// Applies an entry as a standby does, and says whether it belongs to this table.
    pub(crate) fn apply_entry(&mut self, entry: &JournalEntry) -> bool {
        match entry {
            JournalEntry::KeyDispatched(record) => {
                self.set(&record.customer, record.key, KeyState::Doubtful);
                // The leaseholder refuses keys from the future, so a dispatched key tells the time.
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

    /// Writes the table as journal entries.
    pub(crate) fn to_entries(&self) -> Vec<JournalEntry> {
        let lost = (self.lost_before > 0).then_some(JournalEntry::KeysLost(self.lost_before));
        let mut entries: Vec<JournalEntry> = lost.into_iter().collect();
        entries.extend(self.keys.iter().map(|(name, state)| name.to_entry(state)));
        entries
    }

    /// Takes over what another copy knows; a decision counts more than a dispatch.
    pub(crate) fn merge(&mut self, other: KeyTable) {
        self.note_loss(other.lost_before);
        for (name, state) in other.keys {
            let decided = matches!(self.keys.get(&name), Some(KeyState::Decided(_)));
            if !decided {
                self.keys.insert(name, state);
            }
        }
    }
}

impl KeyName {
    fn new(customer: &CustomerName, key: RequestKey) -> Self {
        Self {
            key,
            customer: customer.clone(),
        }
    }

    fn to_entry(&self, state: &KeyState) -> JournalEntry {
        match state {
            KeyState::Running(_) | KeyState::Doubtful => JournalEntry::KeyDispatched(KeyRecord {
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

/// Returns what is kept of a verdict; nothing if the request did not run and so may still run.
pub(crate) fn keep_verdict(verdict: &RequestVerdict) -> Option<KeyState> {
    match verdict {
        RequestVerdict::NotRun(_) => None,
        RequestVerdict::MayHaveRun(DoubtCause::EarlierAttempt) => Some(KeyState::Doubtful),
        RequestVerdict::Ran(answer) if text_size(answer) > LARGEST_KEPT_ANSWER => {
            Some(KeyState::Doubtful)
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
