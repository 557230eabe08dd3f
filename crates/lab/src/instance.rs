//! The state machine of one database instance: replicated log, role, term and key-value data,
//! without I/O.
//!
//! It gives the guarantees that the platform gives for a database group. Once fenced at a term, an
//! instance refuses every earlier term. A promoted instance begins its term with an empty log
//! entry. A follower truncates its log to the prefix that it shares with its primary before it
//! appends the primary's entries, so that all logs of a group converge.

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

/// A write to one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyWrite {
    /// Replaces the value of a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Appends an element to a comma-separated list.
    Append {
        /// The key.
        key: String,
        /// The element.
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

    /// Returns the key's value after this write, given its value before.
    pub fn apply_to(&self, before: Option<&str>) -> String {
        match (self, before) {
            (Self::Append { value, .. }, Some(list)) => format!("{list},{value}"),
            (Self::Append { value, .. } | Self::Put { value, .. }, _) => value.clone(),
        }
    }
}

/// An entry of the replicated log: the writes of one transaction, applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the primary that wrote the entry.
    pub term: GroupTerm,
    /// The time at which the primary wrote the entry, in microseconds since the Unix epoch. A
    /// replica's configured lag counts from it.
    pub written_us: u64,
    /// The writes, in order; empty for the entry that begins a term.
    pub writes: Vec<KeyWrite>,
}

/// The mode of an instance, which decides which statements it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceMode {
    /// Accepts reads and writes.
    Primary,
    /// Accepts reads only.
    Replica,
    /// A fenced former primary: refuses all statements until it follows a primary or is promoted.
    Fenced,
}

/// The reason for which an instance refused a statement. A refused statement has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementFault {
    /// The instance was fenced at this term, at present or since the connection was opened.
    Fenced(GroupTerm),
    /// The statement writes and the instance is a replica.
    ReadOnly,
}

impl StatementFault {
    /// Returns the SQLSTATE with which the statement fails.
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

/// The primary that a replica pulls log entries from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTarget {
    /// The primary's term.
    pub term: GroupTerm,
    /// The address of the primary's agent.
    pub primary_agent: SocketAddr,
}

/// A follower's request for log entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The follower's term.
    pub term: GroupTerm,
    /// The position of the follower's last entry.
    pub after: LogPosition,
    /// The time to wait for new entries if there are none, in milliseconds.
    pub wait_ms: u64,
}

/// A primary's reply to a [`FetchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchReply {
    /// The entries after the follower's last one, which means that the follower's log is a prefix
    /// of the primary's.
    Entries(Vec<LogEntry>),
    /// The follower's last entry isn't in the primary's log; the follower truncates its log to this
    /// index and fetches again.
    Mismatch(u64),
    /// The instance isn't the primary of the requested term.
    NotPrimary,
}

/// The maximum number of entries in one reply to a fetch, which bounds the size of the message.
const MAX_FETCH_ENTRIES: usize = 512;

/// The state of one instance of a database group.
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
    /// Creates an empty instance: the primary of term 0 if `primary` is set, else a replica.
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

    /// Returns the status that the agent reports for the instance.
    pub fn status(&self) -> InstanceStatus {
        InstanceStatus {
            role: self.role(),
            fenced_term: self.fenced_term,
            position: self.position(),
            leaving: self.leaving,
        }
    }

    /// Returns the primary that the instance follows, if any.
    pub fn target(&self) -> Option<FollowTarget> {
        self.target
    }

    /// Returns the log's entries.
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    /// Returns the generation, a counter that is incremented whenever a primary is fenced.
    ///
    /// A connection keeps the generation in which it was opened, and all its statements are refused
    /// once the instance is in a later one. Otherwise a position queried after the instance has
    /// joined a later term would appear to cover a write that the truncation dropped, and the proxy
    /// would acknowledge a lost write.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets whether the status announces that the instance is about to shut down.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Checks that a connection of this generation may run a statement, which writes if `writes` is
    /// set.
    ///
    /// # Errors
    ///
    /// Returns a [`StatementFault`] if the statement must be refused.
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

    /// Returns the value of a key, if it has one.
    ///
    /// # Errors
    ///
    /// Returns a [`StatementFault`] if the statement must be refused.
    pub fn read(&self, generation: u64, key: &str) -> Result<Option<String>, StatementFault> {
        self.check(generation, false)?;
        Ok(self.values.get(key).cloned())
    }

    /// Appends the writes to the log as one entry, applies them and returns the entry's position.
    ///
    /// # Errors
    ///
    /// Returns a [`StatementFault`] if the statement must be refused; nothing is applied then.
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

    /// Fences the instance: it refuses every term before `term` from now on.
    ///
    /// Fencing is idempotent; an instance that is already in `term` stays as it is.
    pub fn fence(&mut self, term: GroupTerm) -> FenceReply {
        if term < self.fenced_term {
            return FenceReply::Refused(self.fenced_term);
        }
        if term > self.fenced_term {
            self.enter_term(term);
        }
        FenceReply::Fenced(self.position())
    }

    /// Makes the instance the primary of `term`, at which it must have been fenced.
    ///
    /// The reply holds the position of the term's first entry, which is empty. Before that entry,
    /// the last `lose_tail` entries are dropped: an injected loss of data, which the proxy has to
    /// detect.
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

    /// Makes the instance a follower of a term's primary.
    ///
    /// Entries that the primary lacks are dropped when its first entries arrive.
    pub fn follow(&mut self, target: FollowTarget) -> FenceReply {
        let is_primary = self.mode == InstanceMode::Primary && target.term == self.fenced_term;
        if target.term < self.fenced_term || is_primary {
            return FenceReply::Refused(self.fenced_term);
        }
        if target.term > self.fenced_term {
            self.enter_term(target.term);
        }
        self.mode = InstanceMode::Replica;
        self.target = Some(target);
        FenceReply::Fenced(self.position())
    }

    /// Returns the entries after a follower's last one, or the reason why there are none to return.
    pub fn fetch(&self, request: FetchRequest) -> FetchReply {
        if self.mode != InstanceMode::Primary || request.term != self.fenced_term {
            return FetchReply::NotPrimary;
        }
        let after = request.after;
        if self.holds(after) {
            let start = after.index as usize;
            let end = self.log.len().min(start + MAX_FETCH_ENTRIES);
            return FetchReply::Entries(self.log[start..end].to_vec());
        }
        FetchReply::Mismatch(self.common_prefix_bound(after))
    }

    /// Truncates the log to `after` entries and appends the entries that the primary of `term`
    /// sent.
    ///
    /// The call has no effect unless the instance follows that primary, so late entries from the
    /// primary of an earlier term are ignored.
    pub fn append(&mut self, term: GroupTerm, after: u64, entries: Vec<LogEntry>) {
        if !self.follows(term) || after > self.log.len() as u64 {
            return;
        }
        self.truncate(after);
        for entry in entries {
            self.push(entry);
        }
    }

    /// Drops the entries after `index`, which the primary of `term` has reported as missing from
    /// its log.
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

    /// Enters a later term. A primary becomes fenced, which begins a new generation.
    fn enter_term(&mut self, term: GroupTerm) {
        if self.mode == InstanceMode::Primary {
            self.mode = InstanceMode::Fenced;
            self.generation += 1;
        }
        self.fenced_term = term;
        self.target = None;
    }

    /// Returns the position of the entry with this index, counted from 1; index 0 is the empty log.
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

    /// Returns an upper bound, below the mismatch, on the length of the logs' common prefix.
    /// Entries above it belong to a later term than the follower's last entry or lie beyond this
    /// log's end.
    fn common_prefix_bound(&self, after: LogPosition) -> u64 {
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

    /// Keeps the first `kept` entries and rebuilds the key-value data from them.
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
