//! Positions in a database group's replicated log.

use crate::GroupTerm;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// A position in a database group's log: the term of an entry and its index.
///
/// Positions are ordered by term first. A position of a later term is after every *acknowledged*
/// position of an earlier one, because a promotion starts from an instance that holds all of them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term in which the entry was written.
    pub term: GroupTerm,
    /// The number of entries up to and including this one.
    pub index: u64,
}

impl LogPosition {
    /// Creates a position from a term and an index.
    pub fn new(term: GroupTerm, index: u64) -> Self {
        Self { term, index }
    }

    /// Returns whether an instance at `self` holds all entries up to `wanted`.
    pub fn covers(self, wanted: LogPosition) -> bool {
        self >= wanted
    }

    /// Returns whether a log that reaches `self` is known to hold a position of the same term. A log
    /// of a later term may lack the end of an earlier one.
    pub fn covers_in_term(self, wanted: LogPosition) -> bool {
        self.term == wanted.term && self.index >= wanted.index
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.index)
    }
}

/// Serializes a position as a pair of numbers, without field names, for the messages that are sent
/// for each statement.
pub(crate) mod brief_position {
    use super::LogPosition;
    use crate::GroupTerm;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    pub(crate) fn serialize<S: Serializer>(
        position: &LogPosition,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        (position.term, position.index).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<LogPosition, D::Error> {
        let (term, index) = <(GroupTerm, u64)>::deserialize(deserializer)?;
        Ok(LogPosition::new(term, index))
    }

    /// Serializes an optional position in the same way.
    pub(crate) mod optional {
        use super::super::LogPosition;
        use crate::GroupTerm;
        use serde::Deserialize;
        use serde::Deserializer;
        use serde::Serialize;
        use serde::Serializer;

        pub(crate) fn serialize<S: Serializer>(
            position: &Option<LogPosition>,
            serializer: S,
        ) -> Result<S::Ok, S::Error> {
            let pair = position.map(|position| (position.term, position.index));
            pair.serialize(serializer)
        }

        pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
            deserializer: D,
        ) -> Result<Option<LogPosition>, D::Error> {
            let pair = <Option<(GroupTerm, u64)>>::deserialize(deserializer)?;
            Ok(pair.map(|(term, index)| LogPosition::new(term, index)))
        }
    }
}
