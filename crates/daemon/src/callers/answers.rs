//! Maps verdicts, refusals and faults to error responses of PostgreSQL's protocol.
//!
//! SQLSTATE gives the kind of failure, DETAIL whether the request may have run, and HINT the time
//! after which a retry is worthwhile.

use crate::callers::MarkFault;
use crate::callers::SessionRefusal;
use crate::callers::parameters::ParameterFault;
use pgwire::error::ErrorInfo;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::NoticeResponse;
use ragwort_types::DatabaseError;
use ragwort_types::DoubtCause;
use ragwort_types::Refusal;
use ragwort_types::RefusalCause;
use ragwort_types::ServedBy;

/// The DETAIL of every error for a request that was not run.
pub const NOT_RUN_DETAIL: &str = "the request was not run";

/// The DETAIL of every error for a request with an unknown outcome.
pub const MAY_HAVE_RUN_DETAIL: &str = "the request may have run";

/// The DETAIL of an error found in the answer of a request that ran.
pub const HAS_RUN_DETAIL: &str = "the request has run";

/// What an error ends: the statement (severity ERROR) or the connection (severity FATAL).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorScope {
    Statement,
    Connection,
}

/// An error to be sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerError {
    pub(crate) sqlstate: String,
    pub(crate) message: String,
    pub(crate) detail: Option<&'static str>,
    pub(crate) hint: Option<String>,
}

impl CallerError {
    pub(crate) fn new(sqlstate: &str, message: impl Into<String>) -> Self {
        Self {
            sqlstate: sqlstate.to_owned(),
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    pub(crate) fn not_run(sqlstate: &str, message: impl Into<String>) -> Self {
        Self {
            detail: Some(NOT_RUN_DETAIL),
            ..Self::new(sqlstate, message)
        }
    }

    /// Returns the error for an answer whose columns differ from the described ones or from its
    /// rows.
    pub(crate) fn shape_mismatch() -> Self {
        Self {
            detail: Some(HAS_RUN_DETAIL),
            ..Self::new("XX000", "answer doesn't fit its description")
        }
    }

    /// Returns the error for a statement that can't be described without running it.
    pub(crate) fn not_describable() -> Self {
        let mut error = Self::not_run("0A000", "statement can't be described before it runs");
        error.hint = Some("send Describe and Execute together, or use a simple query".to_owned());
        error
    }

    fn with_retry_hint(mut self, after_ms: u64) -> Self {
        if after_ms > 0 {
            self.hint = Some(format!("come back after {after_ms} ms"));
        }
        self
    }

    pub(crate) fn to_response(&self, scope: ErrorScope) -> ErrorResponse {
        let severity = match scope {
            ErrorScope::Statement => "ERROR",
            ErrorScope::Connection => "FATAL",
        };
        let mut info = ErrorInfo::new(
            severity.to_owned(),
            self.sqlstate.clone(),
            self.message.clone(),
        );
        info.severity_nonlocalized = Some(severity.to_owned());
        info.detail = self.detail.map(str::to_owned);
        info.hint = self.hint.clone();
        ErrorResponse::from(info)
    }
}

impl From<Refusal> for CallerError {
    fn from(refusal: Refusal) -> Self {
        let message = format!("request refused: {}", refusal.cause);
        Self::not_run(sqlstate_of(refusal.cause), message)
            .with_retry_hint(refusal.come_back_after_ms)
    }
}

/// Returns the SQLSTATE of a refusal.
fn sqlstate_of(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::Overload => "53300",
        RefusalCause::Limit | RefusalCause::AccountLimit => "53400",
        RefusalCause::DeadlineOutOfReach
        | RefusalCause::DeadlinePassed
        | RefusalCause::Cancelled => "57014",
        RefusalCause::NoPrimary
        | RefusalCause::ReplicasBehind
        | RefusalCause::NoLeaseholder
        | RefusalCause::NoLease
        | RefusalCause::EndpointRefused => "57P03",
        RefusalCause::Draining => "57P01",
        RefusalCause::Contract => "42501",
        RefusalCause::UnknownKey => "28P01",
        RefusalCause::RequestKey => "22023",
        RefusalCause::TransactionLost => "40000",
    }
}

impl From<DoubtCause> for CallerError {
    fn from(cause: DoubtCause) -> Self {
        Self {
            detail: Some(MAY_HAVE_RUN_DETAIL),
            ..Self::new("08007", format!("outcome unknown: {cause}"))
        }
    }
}

impl From<&DatabaseError> for CallerError {
    fn from(error: &DatabaseError) -> Self {
        Self::new(&error.sqlstate, error.message.clone())
    }
}

impl From<MarkFault> for CallerError {
    fn from(fault: MarkFault) -> Self {
        Self::not_run("22023", fault.to_string())
    }
}

impl From<ParameterFault> for CallerError {
    fn from(fault: ParameterFault) -> Self {
        match fault {
            ParameterFault::Malformed(position) => {
                Self::not_run("22P03", format!("parameter ${position} is malformed"))
            }
            ParameterFault::Unsupported(position, type_id) => {
                let message =
                    format!("parameter ${position}: binary form of type {type_id} isn't supported");
                let mut error = Self::not_run("0A000", message);
                error.hint = Some("send the parameter in text form".to_owned());
                error
            }
            ParameterFault::FormatCount => {
                Self::not_run("08P01", "format codes don't fit the parameters")
            }
        }
    }
}

impl From<SessionRefusal> for CallerError {
    fn from(refusal: SessionRefusal) -> Self {
        match refusal {
            SessionRefusal::NoContract => Self::not_run("28000", "customer has no contract"),
            SessionRefusal::UnknownKey => Self::not_run("28P01", "no account has this key"),
            SessionRefusal::UnknownGroup => {
                Self::not_run("3D000", "database group isn't in the customer's contract")
            }
            SessionRefusal::TooManySessions { come_back_after_ms } => {
                Self::not_run("53300", "customer has too many sessions")
                    .with_retry_hint(come_back_after_ms)
            }
            SessionRefusal::Draining => Self::not_run("57P01", "gateway is shutting down"),
            SessionRefusal::Starting { come_back_after_ms }
            | SessionRefusal::NotReady { come_back_after_ms } => {
                Self::not_run("57P03", "gateway isn't ready").with_retry_hint(come_back_after_ms)
            }
        }
    }
}

/// Returns a notice or warning.
fn make_notice(severity: &str, sqlstate: &str, message: String) -> NoticeResponse {
    let mut info = ErrorInfo::new(severity.to_owned(), sqlstate.to_owned(), message);
    info.severity_nonlocalized = Some(severity.to_owned());
    NoticeResponse::from(info)
}

/// Returns the notice that names the instance that served a request.
pub(crate) fn make_served_notice(served: &ServedBy) -> NoticeResponse {
    let message = format!(
        "served by {} replica={} position={}",
        served.instance, served.replica, served.position
    );
    make_notice("NOTICE", "00000", message)
}

/// Returns the warning for a COMMIT or ROLLBACK outside of a transaction.
pub(crate) fn warn_no_transaction() -> NoticeResponse {
    let message = "there is no transaction in progress";
    make_notice("WARNING", "25P01", message.to_owned())
}
