//! Sessions of callers whose protocol is a [`CallerProtocol`](crate::edges::CallerProtocol), for
//! databases that keep terms of their own.
//!
//! Sessions share the connections to endpoints, so a session's state is kept in the gateway: its
//! values, its prepared statements, its transaction, and the position of its last write. [`state`]
//! holds it and decides how each statement is executed, without I/O. [`edge`] accepts connections
//! and runs one task for each.

pub mod edge;
mod session;
pub mod state;

use crate::callers::DrainStage;
use crate::callers::SessionRefusal;
use crate::member::CatalogStanding;
use async_trait::async_trait;
use ragwort_types::AccountKey;
use ragwort_types::AccountName;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::KeyDigest;
use ragwort_types::Refusal;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use std::time::Duration;

/// The kind of statements that read, in contracts whose kinds are derived from the statement.
pub const READ_KIND: &str = "read";

/// The kind of statements that write, in the same contracts.
pub const WRITE_KIND: &str = "write";

/// The kind of statements that end a transaction, in the same contracts.
pub const END_KIND: &str = "end";

/// The caller that a session was admitted for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionCaller {
    /// The account; `None` if the caller showed no key and the contract requires none.
    pub account: Option<AccountName>,
    /// The digest of the caller's key, if the key belongs to an account.
    pub digest: Option<KeyDigest>,
}

/// The signals from the edge to its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionSignals {
    /// The stage of the drain, which decides when sessions end.
    pub drain: DrainStage,
    /// The number of changes of accounts and contracts so far. On each change every session checks
    /// whether its caller would still be admitted.
    pub admission_changes: u64,
}

/// Admits sessions and runs their statements. The daemon implements it by its gateway.
#[async_trait]
pub trait SessionService: Send + Sync + 'static {
    /// Admits a session to a database, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the session is not admitted.
    fn admit(
        &self,
        database: &CustomerName,
        key: &AccountKey,
    ) -> Result<SessionCaller, SessionRefusal>;

    /// Returns whether the accounts and keys in force still allow a caller that was admitted
    /// earlier.
    fn still_admits(&self, database: &CustomerName, caller: &SessionCaller) -> bool;

    /// Returns the number of changes so far of the accounts and contracts that decide on admission.
    fn admission_changes(&self) -> u64;

    /// Returns what admissions are based on at present.
    fn standing(&self) -> CatalogStanding;

    /// Records the end of an admitted session; called exactly once for each.
    fn release(&self, database: &CustomerName);

    /// Returns whether this gateway has been isolated for `notice`, without a lease and without a
    /// way to any other gateway, so that sessions should move to another one.
    fn should_move_sessions(&self, notice: Duration) -> bool;

    /// Returns the group that serves a database at present.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a statement if no contract is known for the database.
    fn find_group(&self, database: &CustomerName) -> Result<GroupName, Refusal>;

    /// Runs a statement to its final verdict.
    async fn run(&self, request: StatementRequest) -> StatementReply;
}
