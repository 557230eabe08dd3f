//! The instance itself: log, role, terms and key-value state, without I/O.
//!
//! Positions and terms follow what the platform promises of a database group: a fenced instance
//! refuses earlier terms for good, a promoted one begins its term with an empty entry, and a
//! follower drops what its primary lacks before it takes anything.

use ragwort_types::FenceReply;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use serde::Deserialize;
use serde::Serialize;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyWrite {
    /// Sets the value.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Appends to the list.
    Append {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
}

impl KeyWrite {
    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Append { key, .. } => key,
        }
    }

    /// Returns the key's value after the change, given the value before.
    pub fn apply_to(&self, before: Option<&str>) -> String {
        match (self, before) {
            (Self::Append { value, .. }, Some(list)) => format!("{list},{value}"),
            (Self::Append { value, .. } | Self::Put { value, .. }, _) => value.clone(),
        }
    }
}

/// One entry of the replicated log: the writes of one transaction, applied together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term that wrote it.
    pub term: GroupTerm,
    /// When the primary wrote it, in microseconds since the Unix epoch; replicas apply their lag
    /// from it.
    pub written_us: u64,
    /// The writes; none for the entry that begins a term.
    pub writes: Vec<KeyWrite>,
}

/// What the instance does with statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceMode {
    /// Takes reads and writes.
    Primary,
    /// Takes reads.
    Replica,
    /// Was a primary and was fenced: takes nothing until it follows or is promoted.
    Fenced,
}

/// Why the instance refused a statement; nothing of it was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementFault {
    /// The instance, or this connection's view of it, was fenced at this term.
    Fenced(GroupTerm),
    /// The instance is a replica and the statement writes.
    ReadOnly,
}

impl StatementFault {
    /// Returns the SQLSTATE of the fault.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::Fenced(_) => "57P01",
            Self::ReadOnly => "25006",
        }
    }
}

impl fmt::Display for StatementFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced(term) => write!(formatter, "fenced at term {term}"),
            Self::ReadOnly => formatter.write_str("cannot write: the instance is a replica"),
        }
    }
}

/// Whom a replica follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTarget {
    /// The term.
    pub term: GroupTerm,
    /// The agent of the term's primary.
    pub primary_agent: SocketAddr,
}

/// A follower's request for log entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The term that the follower is in.
    pub term: GroupTerm,
    /// The follower's last entry.
    pub after: LogPosition,
    /// How long to wait for entries if there are none, in milliseconds.
    pub wait_ms: u64,
}

/// A primary's reply to a [`FetchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchReply {
    /// The entries after the follower's last one; the follower's log up to there is a prefix.
    Entries(Vec<LogEntry>),
    /// The follower's last entry isn't in the primary's log; try again after this index.
    Mismatch(u64),
    /// The instance isn't the primary of that term.
    NotPrimary,
}

/// The most entries in one reply to a fetch; bounds the message.
const FETCH_LIMIT: usize = 512;

/// One instance of a database group.
#[derive(Debug)]
pub struct InstanceCore {
    log: Vec<LogEntry>,
    values: HashMap<String, String>,
    mode: InstanceMode,
    fenced_term: GroupTerm,
    target: Option<FollowTarget>,
    leaving: bool,
    generation: u64,
}

impl InstanceCore {
    /// Creates an empty instance; `primary` makes it the primary of term 0.
    pub fn new(primary: bool) -> Self {
        let mode = match primary {
            true => InstanceMode::Primary,
            false => InstanceMode::Replica,
        };
        Self {
            log: Vec::new(),
            values: HashMap::new(),
            mode,
            fenced_term: GroupTerm(0),
            target: None,
            leaving: false,
            generation: 0,
        }
    }

    /// Returns the position of the last entry.
    pub fn position(&self) -> LogPosition {
        self.position_before(self.log.len() as u64)
    }

    /// Returns what the agent says of the instance.
    pub fn status(&self) -> InstanceStatus {
        InstanceStatus {
            role: self.role(),
            fenced_term: self.fenced_term,
            position: self.position(),
            leaving: self.leaving,
        }
    }

    /// Returns whom the instance follows.
    pub fn target(&self) -> Option<FollowTarget> {
        self.target
    }

    /// Returns the log.
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    /// Returns the generation, which is raised whenever a primary is fenced.
    ///
    /// A connection remembers the generation in which it was opened and gets only refusals
    /// afterwards. Otherwise a position asked for after the instance has joined a later term would
    /// seem to cover a write that the truncation dropped, and a lost write would be acknowledged.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets whether the instance is leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Checks that a statement may run.
    ///
    /// # Errors
    ///
    /// Returns the [`StatementFault`] if it may not.
    pub fn check(&self, generation: u64, writes: bool) -> Result<(), StatementFault> {
        if generation != self.generation {
            return Err(StatementFault::Fenced(self.fenced_term));
        }
        match self.mode {
            InstanceMode::Primary => Ok(()),
            InstanceMode::Replica if writes => Err(StatementFault::ReadOnly),
            InstanceMode::Replica => Ok(()),
            InstanceMode::Fenced => Err(StatementFault::Fenced(self.fenced_term)),
        }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns the [`StatementFault`] if the instance may not answer.
    pub fn read(&self, generation: u64, key: &str) -> Result<Option<String>, StatementFault> {
        self.check(generation, false)?;
        Ok(self.values.get(key).cloned())
    }

    /// Applies writes as one entry.
    ///
    /// # Errors
    ///
    /// Returns the [`StatementFault`] if the instance may not write; nothing is applied then.
    pub fn commit(
        &mut self,
        generation: u64,
        writes: Vec<KeyWrite>,
        now_us: u64,
    ) -> Result<LogPosition, StatementFault> {
        self.check(generation, true)?;
        self.push(LogEntry {
            term: self.fenced_term,
            written_us: now_us,
            writes,
        });
        Ok(self.position())
    }

    /// Refuses every term before `term` from now on.
    ///
    /// Fencing at the term in which the instance already stands changes nothing.
    pub fn fence(&mut self, term: GroupTerm) -> FenceReply {
        if term < self.fenced_term {
            return FenceReply::Refused(self.fenced_term);
        }
        if term > self.fenced_term {
            self.enter(term);
        }
        FenceReply::Fenced(self.position())
    }

    /// Makes the instance the primary of `term`, at which it must be fenced.
    ///
    /// The reply's position is that of the term's first entry, which is empty. `lose_tail` drops so
    /// many entries before: a fault that the proxy is meant to notice.
    pub fn promote(&mut self, term: GroupTerm, lose_tail: u64, now_us: u64) -> FenceReply {
        if term != self.fenced_term {
            return FenceReply::Refused(self.fenced_term);
        }
        if self.mode == InstanceMode::Primary {
            return FenceReply::Fenced(self.position());
        }
        let kept = (self.log.len() as u64).saturating_sub(lose_tail);
        self.truncate(kept);
        self.mode = InstanceMode::Primary;
        self.target = None;
        self.push(LogEntry {
            term,
            written_us: now_us,
            writes: Vec::new(),
        });
        FenceReply::Fenced(self.position())
    }

    /// Makes the instance follow the primary of a term.
    ///
    /// What that primary lacks is dropped with the first entries that arrive from it.
    pub fn follow(&mut self, target: FollowTarget) -> FenceReply {
        let is_primary = self.mode == InstanceMode::Primary && target.term == self.fenced_term;
        if target.term < self.fenced_term || is_primary {
            return FenceReply::Refused(self.fenced_term);
        }
        if target.term > self.fenced_term {
            self.enter(target.term);
        }
        self.mode = InstanceMode::Replica;
        self.target = Some(target);
        FenceReply::Fenced(self.position())
    }

    /// Answers a follower.
    pub fn fetch(&self, request: FetchRequest) -> FetchReply {
        if self.mode != InstanceMode::Primary || request.term != self.fenced_term {
            return FetchReply::NotPrimary;
        }
        let after = request.after;
        if self.holds(after) {
            let start = after.index as usize;
            let end = self.log.len().min(start + FETCH_LIMIT);
            return FetchReply::Entries(self.log[start..end].to_vec());
        }
        FetchReply::Mismatch(self.common_bound(after))
    }

    /// Appends entries that the primary of `term` sent after index `after`, dropping what the
    /// primary lacks.
    ///
    /// Entries of an earlier term's primary that arrive late are ignored.
    pub fn append(&mut self, term: GroupTerm, after: u64, entries: Vec<LogEntry>) {
        if !self.follows(term) || after > self.log.len() as u64 {
            return;
        }
        self.truncate(after);
        for entry in entries {
            self.push(entry);
        }
    }

    /// Drops entries after `index` because the primary of `term` said that it lacks them.
    pub fn drop_after(&mut self, term: GroupTerm, index: u64) {
        if self.follows(term) {
            self.truncate(index);
        }
    }

    fn role(&self) -> InstanceRole {
        match self.mode {
            InstanceMode::Primary => InstanceRole::Primary,
            InstanceMode::Replica | InstanceMode::Fenced => InstanceRole::Replica,
        }
    }

    fn follows(&self, term: GroupTerm) -> bool {
        self.mode == InstanceMode::Replica && self.target.is_some_and(|target| target.term == term)
    }

    fn enter(&mut self, term: GroupTerm) {
        if self.mode == InstanceMode::Primary {
            self.mode = InstanceMode::Fenced;
            self.generation += 1;
        }
        self.fenced_term = term;
        self.target = None;
    }

    /// Returns the position after the first `index` entries.
    pub fn position_before(&self, index: u64) -> LogPosition {
        let last = (index as usize)
            .checked_sub(1)
            .and_then(|last| self.log.get(last));
        let term = last.map_or(GroupTerm(0), |entry| entry.term);
        LogPosition::new(term, index)
    }

    fn holds(&self, position: LogPosition) -> bool {
        position.index <= self.log.len() as u64 && self.position_before(position.index) == position
    }

    /// Returns an index below the mismatch up to which both logs may agree: entries above it are of
    /// a later term than the follower's last entry, or beyond this log's end.
    fn common_bound(&self, after: LogPosition) -> u64 {
        let mut bound = after.index.saturating_sub(1).min(self.log.len() as u64);
        while bound > 0 && self.position_before(bound).term > after.term {
            bound -= 1;
        }
        bound
    }

    fn push(&mut self, entry: LogEntry) {
        for write in &entry.writes {
            let before = self.values.get(write.key()).map(String::as_str);
            let after = write.apply_to(before);
            self.values.insert(write.key().to_owned(), after);
        }
        self.log.push(entry);
    }

    fn truncate(&mut self, kept: u64) {
        if kept >= self.log.len() as u64 {
            return;
        }
        let mut entries = std::mem::take(&mut self.log);
        entries.truncate(kept as usize);
        self.values.clear();
        for entry in entries {
            self.push(entry);
        }
    }
}
