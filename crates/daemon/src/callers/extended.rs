//! The prepared statements and portals of one session, kept in the gateway.
//!
//! They are not prepared on endpoints, since a session's statements run on changing connections.

use crate::callers::StatementShape;
use crate::callers::answers::CallerError;
use crate::callers::parameters::to_text_parameters;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::Parse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of prepared statements and portals, together, that a session may hold.
const MAX_STORED_ITEMS: usize = 1_000;

/// The memory limit of a session's prepared statements and portals, in multiples of the longest
/// message.
///
/// Without it one caller could fill the gateway's memory with statements that it never runs.
const MAX_STORED_MESSAGES: usize = 4;

/// A prepared statement.
#[derive(Clone, Debug)]
pub(crate) struct PreparedStatement {
    pub(crate) text: Arc<str>,
    pub(crate) types: Vec<u32>,
    /// The shape that was described to the caller, if it has asked for one.
    pub(crate) shape: Option<StatementShape>,
}

/// A portal: a prepared statement with its parameters bound.
#[derive(Clone, Debug)]
pub(crate) struct BoundPortal {
    pub(crate) statement: String,
    pub(crate) prepared: PreparedStatement,
    pub(crate) parameters: Vec<Option<String>>,
    bytes: usize,
}

/// The prepared statements and portals of a session, by name.
#[derive(Debug)]
pub(crate) struct PreparedStore {
    statements: BTreeMap<String, PreparedStatement>,
    portals: BTreeMap<String, BoundPortal>,
    max_bytes: usize,
}

impl PreparedStore {
    pub(crate) fn new(message_bytes: usize) -> Self {
        Self {
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            max_bytes: message_bytes.saturating_mul(MAX_STORED_MESSAGES),
        }
    }

    pub(crate) fn parse(&mut self, parse: Parse) -> Result<(), CallerError> {
        let name = parse.name.unwrap_or_default();
        if name.is_empty() {
            self.statements.remove("");
        } else if self.statements.contains_key(&name) {
            let message = format!("prepared statement {name} exists already");
            return Err(CallerError::not_run("42P05", message));
        }
        self.check_room(parse.query.len())?;
        let prepared = PreparedStatement {
            text: Arc::from(parse.query),
            types: parse.type_oids,
            shape: None,
        };
        self.statements.insert(name, prepared);
        Ok(())
    }

    pub(crate) fn bind(&mut self, bind: Bind) -> Result<(), CallerError> {
        let statement = bind.statement_name.unwrap_or_default();
        let prepared = self.statement(&statement)?.clone();
        let parameters = to_text_parameters(
            &bind.parameters,
            &bind.parameter_format_codes,
            &prepared.types,
        )?;
        let name = bind.portal_name.unwrap_or_default();
        if name.is_empty() {
            self.portals.remove("");
        } else if self.portals.contains_key(&name) {
            let message = format!("portal {name} exists already");
            return Err(CallerError::not_run("42P03", message));
        }
        let bytes = parameters.iter().flatten().map(String::len).sum();
        self.check_room(bytes)?;
        let portal = BoundPortal {
            statement,
            prepared,
            parameters,
            bytes,
        };
        self.portals.insert(name, portal);
        Ok(())
    }

    fn check_room(&self, more: usize) -> Result<(), CallerError> {
        let texts: usize = self.statements.values().map(|kept| kept.text.len()).sum();
        let values: usize = self.portals.values().map(|kept| kept.bytes).sum();
        let count = self.statements.len() + self.portals.len();
        if count >= MAX_STORED_ITEMS || texts + values + more > self.max_bytes {
            let message = "session holds too many prepared statements";
            return Err(CallerError::not_run("53400", message));
        }
        Ok(())
    }

    pub(crate) fn statement(&self, name: &str) -> Result<&PreparedStatement, CallerError> {
        self.statements.get(name).ok_or_else(|| {
            CallerError::not_run("26000", format!("prepared statement {name} doesn't exist"))
        })
    }

    pub(crate) fn portal(&self, name: &str) -> Result<&BoundPortal, CallerError> {
        self.portals
            .get(name)
            .ok_or_else(|| CallerError::not_run("34000", format!("portal {name} doesn't exist")))
    }

    /// Records the shape that was described to the caller, for portals bound from now on.
    pub(crate) fn set_shape(&mut self, name: &str, shape: &StatementShape) {
        if let Some(prepared) = self.statements.get_mut(name) {
            prepared.shape = Some(shape.clone());
        }
    }

    pub(crate) fn close_statement(&mut self, name: &str) {
        self.statements.remove(name);
    }

    pub(crate) fn close_portal(&mut self, name: &str) {
        self.portals.remove(name);
    }

    /// Closes all portals, as PostgreSQL does at the end of a transaction.
    pub(crate) fn close_portals(&mut self) {
        self.portals.clear();
    }
}
