//! The log as one node holds it: a snapshot and the entries after it.

use super::entry::ElectionTerm;
use super::entry::EntryMark;
use super::entry::EntryPayload;
use super::entry::LogEntry;
use super::entry::LogIndex;
use super::entry::SnapshotData;
use super::entry::VoterConfiguration;

/// A configuration and the entry that brought it.
#[derive(Clone, Debug)]
struct ConfigurationMark {
    index: LogIndex,
    configuration: VoterConfiguration,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaLog {
    snapshot: Option<SnapshotData>,
    entries: Vec<LogEntry>,
    configurations: Vec<ConfigurationMark>,
}

impl ReplicaLog {
    /// Returns the place that the entries follow on: the snapshot's, or zero.
    pub(crate) fn base(&self) -> EntryMark {
        self.snapshot
            .as_ref()
            .map(|snapshot| snapshot.mark)
            .unwrap_or_default()
    }

    /// Returns the place of the last entry.
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

    /// Says whether the node has never held anything.
    pub(crate) fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Returns the term of an entry, if the log reaches that far and hasn't been compacted there.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<ElectionTerm> {
        let base = self.base();
        if index == base.index {
            return Some(base.term);
        }
        let position = self.position_of(index)?;
        self.entries.get(position).map(|entry| entry.mark.term)
    }

    /// Returns the entries from `from` up to and including `to`.
    ///
    /// Both are cut to what the log holds.
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

    /// Returns the configuration that held at an index.
    pub(crate) fn configuration_at(&self, index: LogIndex) -> Option<&VoterConfiguration> {
        let earlier = self.configurations.iter().rev();
        let mut earlier = earlier.skip_while(|mark| mark.index > index);
        earlier.next().map(|mark| &mark.configuration)
    }

    /// Returns the first index whose term is that of `index`, as far as the log reaches back.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base().index.next() && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Appends an entry, dropping the entries at its index and after it.
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
    /// Entries after it stay only if they follow on it; otherwise they belong to another history.
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

    fn position_of(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base().index.0)?.checked_sub(1)?;
        usize::try_from(offset).ok()
    }
}
