//! Replay of session state on shared connections, and the cost by which a connection is chosen.
//!
//! # Problem
//!
//! Hundreds of sessions share an endpoint's few connections. Each session has values and prepared
//! statements of its own and expects to find them wherever its next statement runs. Without replay,
//! a statement would run with another session's values. If each statement cleared its connection
//! and set everything again, each would take some round trips before its work starts.
//!
//! # Approach
//!
//! Each replayed step costs one round trip to the endpoint and no slot, so the connection with the
//! fewest steps is chosen. Prepared statements are identified by their content and stay on a
//! connection for all sessions. Only a value that the session hasn't set forces the connection to
//! be cleared, since there is no other way to unset one. A connection keeps at most
//! [`MAX_PREPARED_STATEMENTS`], because the endpoint holds them in its memory.

use ragwort_types::PreparedDefinition;
use ragwort_types::SessionValues;
use smallvec::SmallVec;
use std::collections::BTreeSet;

/// Maximum number of prepared statements that are kept on one connection.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// The session state that a connection holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionImage {
    values: SessionValues,
    prepared: BTreeSet<PreparedDefinition>,
    /// Whether an open transaction without an owner may have to be rolled back first.
    in_transaction: bool,
}

/// A step that brings a connection into a session's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplayStep {
    /// Roll back an open transaction.
    Rollback,
    /// Clear values and prepared statements.
    Reset,
    /// Set a value.
    Set {
        /// The name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepare a statement.
    Prepare(PreparedDefinition),
}

/// Steps in the order in which they must be carried out; most statements need none.
pub type ReplaySteps = SmallVec<[ReplayStep; 2]>;

impl ConnectionImage {
    /// Returns the steps to carry out before a statement of a session with these values can run.
    pub fn plan(
        &self,
        values: &SessionValues,
        prepared: Option<&PreparedDefinition>,
    ) -> ReplaySteps {
        let mut steps = ReplaySteps::new();
        if self.in_transaction {
            steps.push(ReplayStep::Rollback);
        }
        let foreign = self.values.keys().any(|name| !values.contains_key(name));
        let full = self.prepared.len() >= MAX_PREPARED_STATEMENTS
            && prepared.is_some_and(|definition| !self.prepared.contains(definition));
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
        let unprepared =
            prepared.filter(|definition| cleared || !self.prepared.contains(*definition));
        steps.extend(unprepared.cloned().map(ReplayStep::Prepare));
        steps
    }

    /// Returns the number of steps of a [`plan`](Self::plan), which in the usual cases isn't made.
    pub fn cost(&self, values: &SessionValues, prepared: Option<&PreparedDefinition>) -> usize {
        // Nearly all sessions set no values, and most statements aren't prepared.
        let plain = self.values.is_empty() && values.is_empty() && !self.in_transaction;
        if plain && prepared.is_none_or(|definition| self.prepared.contains(definition)) {
            return 0;
        }
        self.plan(values, prepared).len()
    }

    /// Records that a step was carried out.
    pub fn note_done(&mut self, step: &ReplayStep) {
        match step {
            ReplayStep::Rollback => self.in_transaction = false,
            ReplayStep::Reset => self.clear(),
            ReplayStep::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            ReplayStep::Prepare(definition) => {
                self.prepared.insert(definition.clone());
            }
        }
    }

    /// Records that values and prepared statements were cleared.
    pub fn clear(&mut self) {
        self.values.clear();
        self.prepared.clear();
    }

    /// Records that the endpoint doesn't know a statement that was prepared.
    pub fn forget_prepared(&mut self, definition: &PreparedDefinition) {
        self.prepared.remove(definition);
    }

    /// Returns whether a transaction without an owner may have to be rolled back first.
    pub fn is_in_transaction(&self) -> bool {
        self.in_transaction
    }

    /// Sets whether a transaction without an owner is open.
    pub fn set_in_transaction(&mut self, open: bool) {
        self.in_transaction = open;
    }
}
