//! Which of the idle connections a statement gets, and what is replayed on it first.
//!
//! # The load it answers
//!
//! Hundreds of sessions share an endpoint's few connections. Each session has values and prepared
//! statements of its own, and expects to find them wherever its next statement runs.
//!
//! # Without it
//!
//! A statement would run with another session's values. Or each statement would clear its connection
//! and set everything again: some round trips for each, before the first byte of work.
//!
//! # Grounds for its figures
//!
//! Each replayed step costs one round trip to the endpoint and no slot. So the connection with the
//! fewest steps is taken. Prepared statements are named by what they are and stay on a connection
//! for all sessions; only a value that a session hasn't set forces the connection to be cleared,
//! since there is no other way to unset one. A connection keeps [`MOST_PREPARED`] statements at
//! most: the endpoint holds them in its memory.

use ragwort_types::PreparedShape;
use ragwort_types::SessionValues;
use smallvec::SmallVec;
use std::collections::BTreeSet;

/// The most prepared statements that are kept on one connection.
const MOST_PREPARED: usize = 256;

/// What rests on a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionImage {
    values: SessionValues,
    prepared: BTreeSet<PreparedShape>,
    /// Whether an open transaction of somebody may have to be rolled back first.
    in_transaction: bool,
}

/// One step that brings a connection into a session's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayStep {
    /// Roll back what is open.
    Rollback,
    /// Clear values and prepared statements.
    Reset,
    /// Set a value.
    Set {
        /// Its name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepare a statement.
    Prepare(PreparedShape),
}

/// Steps in the order in which they are to be done; most statements need none.
pub type ReplaySteps = SmallVec<[ReplayStep; 2]>;

impl ConnectionImage {
    /// Returns what has to be done before a statement of a session with these values runs.
    pub fn plan(&self, values: &SessionValues, prepared: Option<&PreparedShape>) -> ReplaySteps {
        let mut steps = ReplaySteps::new();
        if self.in_transaction {
            steps.push(ReplayStep::Rollback);
        }
        let foreign = self.values.keys().any(|name| !values.contains_key(name));
        let full = self.prepared.len() >= MOST_PREPARED
            && prepared.is_some_and(|shape| !self.prepared.contains(shape));
        let cleared = foreign || full;
        if cleared {
            steps.push(ReplayStep::Reset);
        }
        let missing = values
            .iter()
            .filter(|(name, value)| cleared || self.values.get(*name) != Some(*value));
        steps.extend(missing.map(|(name, value)| ReplayStep::Set {
            name: name.clone(),
            value: value.clone(),
        }));
        let unprepared = prepared.filter(|shape| cleared || !self.prepared.contains(*shape));
        steps.extend(unprepared.cloned().map(ReplayStep::Prepare));
        steps
    }

    /// Returns how many steps a plan has, without making it.
    pub fn cost(&self, values: &SessionValues, prepared: Option<&PreparedShape>) -> usize {
        // Nearly all sessions set nothing, and most statements aren't prepared.
        let plain = self.values.is_empty() && values.is_empty() && !self.in_transaction;
        if plain && prepared.is_none_or(|shape| self.prepared.contains(shape)) {
            return 0;
        }
        self.plan(values, prepared).len()
    }

    /// Notes that a step was done.
    pub fn note_done(&mut self, step: &ReplayStep) {
        match step {
            ReplayStep::Rollback => self.in_transaction = false,
            ReplayStep::Reset => self.clear(),
            ReplayStep::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            ReplayStep::Prepare(shape) => {
                self.prepared.insert(shape.clone());
            }
        }
    }

    /// Notes that values and prepared statements were cleared.
    pub fn clear(&mut self) {
        self.values.clear();
        self.prepared.clear();
    }

    /// Notes that the endpoint doesn't know a statement that was prepared.
    pub fn forget_prepared(&mut self, shape: &PreparedShape) {
        self.prepared.remove(shape);
    }

    /// Notes whether a transaction is open that nobody holds.
    pub fn set_in_transaction(&mut self, open: bool) {
        self.in_transaction = open;
    }
}
