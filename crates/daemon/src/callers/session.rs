//! The task of one caller's connection: start-up, admission, conversation and closing error.

use crate::callers::CallerLimits;
use crate::callers::DrainStage;
use crate::callers::SessionIdentity;
use crate::callers::SessionRefusal;
use crate::callers::StatementService;
use crate::callers::answers::CallerError;
use crate::callers::answers::ErrorScope;
use crate::callers::conversation::Conversation;
use crate::callers::conversation::SessionEnd;
use crate::callers::edge::CancelKey;
use crate::callers::edge::QueuedCancel;
use crate::callers::extended::PreparedStore;
use crate::callers::running::StatementRunner;
use crate::callers::startup::Opening;
use crate::callers::startup::SessionOptions;
use crate::callers::startup::read_opening;
use crate::callers::wire::CallerStream;
use crate::callers::wire::StreamFault;
use crate::log_event;
use crate::metrics::DaemonMetrics;
use log::Level;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

/// The server parameters reported to the caller's driver at start-up. Sessions can't change them.
const SERVER_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The state of one connection's task.
pub(crate) struct ConnectionTask {
    pub(crate) stream: CallerStream,
    pub(crate) limits: CallerLimits,
    pub(crate) service: Arc<dyn StatementService>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) key: CancelKey,
    pub(crate) accepted: Instant,
    pub(crate) cancelled: watch::Receiver<Option<Instant>>,
    pub(crate) cancels: mpsc::Sender<QueuedCancel>,
    pub(crate) drain_stage: watch::Receiver<DrainStage>,
}

impl ConnectionTask {
    /// Serves the connection to its end.
    pub(crate) async fn run(mut self) {
        let _count = self.metrics.open_caller_connection();
        let opening = timeout(self.limits.startup, read_opening(&mut self.stream)).await;
        match opening {
            Ok(Ok(Opening::Session(options))) => self.run_session(options).await,
            Ok(Ok(Opening::Cancel(request))) => {
                let accepted = self.accepted;
                // Sending fails if the edge has ended, which leaves no statement to cancel.
                let _ = self.cancels.send(QueuedCancel { request, accepted }).await;
                self.stream.close().await;
            }
            Ok(Ok(Opening::Refused(error))) => self.end_with(error).await,
            Ok(Err(fault)) => self.end_with_fault(fault).await,
            Err(_) => {
                self.metrics.count_caller_fault("slow_startup");
                self.stream.close().await;
            }
        }
    }

    async fn run_session(self, options: SessionOptions) {
        let identity = SessionIdentity {
            customer: options.customer,
            group: options.group,
            session: options.session,
        };
        let admitted = match AdmittedSession::open(&self.service, identity) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.metrics.count_caller_fault("refused");
                return self.end_with(CallerError::from(refusal)).await;
            }
        };
        let identity = admitted.identity.clone();
        let metrics = self.metrics.clone();
        let mut stream = self.stream;
        if let Err(fault) = complete_startup(&mut stream, self.key).await {
            return end_session(stream, &metrics, &identity, SessionEnd::Fault(fault), true).await;
        }
        let runner = StatementRunner::new(
            self.service,
            identity.clone(),
            self.cancelled,
            metrics.clone(),
        );
        let store = PreparedStore::new(self.limits.message_bytes);
        let mut conversation =
            Conversation::new(stream, runner, store, self.drain_stage, options.notice);
        let end = conversation.run().await;
        let (stream, outcomes_delivered) = conversation.into_stream();
        end_session(stream, &metrics, &identity, end, outcomes_delivered).await;
    }

    async fn end_with(self, error: CallerError) {
        end_stream(self.stream, error, true).await;
    }

    async fn end_with_fault(self, fault: StreamFault) {
        if let Some(name) = fault.name() {
            self.metrics.count_caller_fault(name);
        }
        if let Some(error) = closing_error(&fault) {
            end_stream(self.stream, error, true).await;
        }
    }
}

async fn end_session(
    stream: CallerStream,
    metrics: &DaemonMetrics,
    identity: &SessionIdentity,
    end: SessionEnd,
    outcomes_delivered: bool,
) {
    match end {
        SessionEnd::Terminated => stream.close().await,
        SessionEnd::Drained => {
            let error = CallerError::from(SessionRefusal::Draining);
            end_stream(stream, error, outcomes_delivered).await;
        }
        SessionEnd::Fault(fault) => {
            if let Some(name) = fault.name() {
                metrics.count_caller_fault(name);
                log_event!(
                    Level::Info,
                    "caller_fault",
                    customer = identity.customer,
                    group = identity.group,
                    fault = fault,
                );
            }
            if let Some(error) = closing_error(&fault) {
                end_stream(stream, error, outcomes_delivered).await;
            }
        }
    }
}

/// Returns the error to send for a fault; `None` if the caller can't receive it.
fn closing_error(fault: &StreamFault) -> Option<CallerError> {
    let sqlstate = match fault {
        StreamFault::Closed | StreamFault::Lost(_) | StreamFault::SlowReceiver => return None,
        StreamFault::TooLong(_) => "54000",
        StreamFault::SlowSender | StreamFault::Malformed(_) => "08P01",
        StreamFault::NotText => "22021",
    };
    Some(CallerError::not_run(sqlstate, fault.to_string()))
}

/// Sends a final error and closes the connection.
///
/// If the caller has not been sent the outcome of every statement that ran, the error's DETAIL is
/// removed: the caller would take "was not run" for the outcome of a statement that did run.
async fn end_stream(mut stream: CallerStream, mut error: CallerError, outcomes_delivered: bool) {
    if !outcomes_delivered {
        error.detail = None;
    }
    let response = error.to_response(ErrorScope::Connection);
    if stream.send(response).await.is_ok() {
        stream.close().await;
    }
}

/// A session that the service has admitted. Dropping it reports its end to the service, even if the
/// task panics. Otherwise the session would be counted for good, and the customer would in the end
/// be refused for too many sessions.
struct AdmittedSession {
    service: Arc<dyn StatementService>,
    identity: SessionIdentity,
}

impl AdmittedSession {
    fn open(
        service: &Arc<dyn StatementService>,
        identity: SessionIdentity,
    ) -> Result<Self, SessionRefusal> {
        service.open_session(&identity)?;
        Ok(Self {
            service: Arc::clone(service),
            identity,
        })
    }
}

impl Drop for AdmittedSession {
    fn drop(&mut self) {
        self.service.close_session(&self.identity);
    }
}

/// Completes the start-up: authentication OK, server parameters, cancel key and `ReadyForQuery`.
///
/// There is no password authentication: callers are trusted by their network.
async fn complete_startup(stream: &mut CallerStream, key: CancelKey) -> Result<(), StreamFault> {
    stream.finish_startup();
    stream.send(Authentication::Ok).await?;
    for (name, value) in SERVER_PARAMETERS {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        stream.send(status).await?;
    }
    let data = BackendKeyData::new(key.pid, SecretKey::I32(key.secret));
    stream.send(data).await?;
    stream
        .send(ReadyForQuery::new(TransactionStatus::Idle))
        .await?;
    stream.flush().await
}
