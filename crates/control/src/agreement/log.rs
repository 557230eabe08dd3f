//! One node's copy of the log: a snapshot, the entries after it, and the voter configurations that
//! these contain.

use super::entry::ElectionTerm;
use super::entry::EntryMark;
use super::entry::EntryPayload;
use super::entry::LogEntry;
use super::entry::LogIndex;
use super::entry::SnapshotData;
use super::entry::VoterConfiguration;

/// A configuration and the index of the entry that contains it.
#[derive(Clone, Debug)]
struct ConfigurationMark {
    index: LogIndex,
    configuration: VoterConfiguration,
}

/// One node's copy of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaLog {
    snapshot: Option<SnapshotData>,
    entries: Vec<LogEntry>,
    configurations: Vec<ConfigurationMark>,
}

impl ReplicaLog {
    /// Returns the mark of the last entry before `entries`: the snapshot's, or zero without one.
    pub(crate) fn base(&self) -> EntryMark {
        self.snapshot
            .as_ref()
            .map(|snapshot| snapshot.mark)
            .unwrap_or_default()
    }

    /// Returns the mark of the last entry, or of the snapshot when no entry follows it.
    pub(crate) fn last(&self) -> EntryMark {
        self.entries
            .last()
            .map_or_else(|| self.base(), |entry| entry.mark)
    }

    /// Returns the snapshot, if there is one.
    pub(crate) fn snapshot(&self) -> Option<&SnapshotData> {
        self.snapshot.as_ref()
    }

    /// Returns all entries after the snapshot.
    pub(crate) fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Returns whether the log has neither a snapshot nor an entry.
    pub(crate) fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Returns the term of the entry at `index`; `None` if it was compacted or doesn't exist.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<ElectionTerm> {
        let base = self.base();
        if index == base.index {
            return Some(base.term);
        }
        let position = self.position_of(index)?;
        self.entries.get(position).map(|entry| entry.mark.term)
    }

    /// Returns the entries from `from` up to and including `to`, as far as the log has them.
    pub(crate) fn range(&self, from: LogIndex, to: LogIndex) -> &[LogEntry] {
        let start = self.position_of(from).unwrap_or(0);
        let end = self
            .position_of(to)
            .map_or(0, |position| position + 1)
            .min(self.entries.len());
        self.entries.get(start..end).unwrap_or_default()
    }

    /// Returns the latest configuration, committed or not.
    pub(crate) fn configuration(&self) -> Option<&VoterConfiguration> {
        self.configurations.last().map(|mark| &mark.configuration)
    }

    /// Returns the index of the latest configuration, or zero.
    pub(crate) fn configuration_index(&self) -> LogIndex {
        self.configurations
            .last()
            .map(|mark| mark.index)
            .unwrap_or_default()
    }

    /// Returns the configuration that was in force at `index`.
    pub(crate) fn configuration_at(&self, index: LogIndex) -> Option<&VoterConfiguration> {
        let earlier = self.configurations.iter().rev();
        let mut earlier = earlier.skip_while(|mark| mark.index > index);
        earlier.next().map(|mark| &mark.configuration)
    }

    /// Returns the first uncompacted index with the same term as `index`.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base().index.next() && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Appends an entry and drops earlier ones at its index and after it.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        if entry.mark.index <= self.last().index {
            self.truncate(entry.mark.index);
        }
        if let EntryPayload::Configuration(configuration) = &entry.payload {
            self.configurations.push(ConfigurationMark {
                index: entry.mark.index,
                configuration: configuration.as_ref().clone(),
            });
        }
        self.entries.push(entry);
    }

    /// Replaces the entries that a snapshot includes by that snapshot.
    ///
    /// Entries after it are kept only if the log has the snapshot's last entry; otherwise they
    /// belong to a diverging log and are dropped.
    pub(crate) fn install(&mut self, snapshot: SnapshotData) {
        let mark = snapshot.mark;
        if self.term_at(mark.index) == Some(mark.term) {
            let included = self.position_of(mark.index).map_or(0, |index| index + 1);
            self.entries.drain(..included);
        } else {
            self.entries.clear();
        }
        let last = self.entries.last().map_or(mark, |entry| entry.mark).index;
        self.configurations
            .retain(|known| known.index > mark.index && known.index <= last);
        self.configurations.insert(
            0,
            ConfigurationMark {
                index: mark.index,
                configuration: snapshot.configuration.clone(),
            },
        );
        self.snapshot = Some(snapshot);
    }

    fn truncate(&mut self, from: LogIndex) {
        let kept = self.position_of(from).unwrap_or(0);
        self.entries.truncate(kept);
        self.configurations.retain(|mark| mark.index < from);
    }

    /// Returns the position in `entries` that belongs to `index`; `None` if it was compacted.
    fn position_of(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base().index.0)?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }
}
