//! Positions in a database group's replicated log.

use crate::GroupTerm;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;

/// A place in a database group's log: the term that wrote the entry and its log position.
///
/// Positions order by term first. A position of a later term lies after every *acknowledged*
/// position of an earlier one, because a promotion starts from an instance that holds them all.
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

    /// Says whether an instance at `self` holds everything up to `wanted`.
    pub fn covers(self, wanted: LogPosition) -> bool {
        self >= wanted
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.index)
    }
}

/// The form of a position in messages that travel for each statement: its two numbers alone.
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

    /// The same for a position that may be missing.
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
