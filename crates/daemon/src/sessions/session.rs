//! The task of one caller's connection: opening, admission, statements, and the end of the session.

use crate::callers::CallerLimits;
use crate::callers::DrainStage;
use crate::callers::SessionRefusal;
use crate::edges::CallerAnswer;
use crate::edges::CallerError;
use crate::edges::CallerErrorSort;
use crate::edges::CallerMessage;
use crate::edges::CallerProtocol;
use crate::edges::ProtocolFault;
use crate::edges::SessionState;
use crate::log_event;
use crate::metrics::DaemonMetrics;
use crate::sessions::SessionCaller;
use crate::sessions::SessionService;
use crate::sessions::SessionSignals;
use crate::sessions::state::CallerSession;
use crate::sessions::state::SessionStep;
use crate::sessions::state::StatementDraft;
use bytes::BytesMut;
use log::Level;
use ragwort_types::AccountKey;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::Refusal;
use ragwort_types::RequestMarks;
use ragwort_types::RequestVerdict;
use ragwort_types::SessionName;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// The buffer space reserved for one read, in bytes. Statements take a few hundred bytes.
const READ_BYTES: usize = 1_024;

/// The maximum time that a new session waits for a starting gateway. First leases arrive after 0.5
/// s; callers give up an opening after 2 s, or earlier by deadlines of their own.
const START_WAIT_LIMIT: Duration = Duration::from_millis(800);

/// The interval at which a waiting session retries its admission.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of one connection's task.
pub(super) struct SessionTask {
    pub(super) socket: SessionSocket,
    pub(super) limits: CallerLimits,
    pub(super) service: Arc<dyn SessionService>,
    pub(super) metrics: DaemonMetrics,
    pub(super) signals: watch::Receiver<SessionSignals>,
    /// The session's name, unique among this gateway's sessions.
    pub(super) name: SessionName,
    /// The time that the caller waited for admission; zero after the answer to its first statement.
    pub(super) waited: Duration,
}

/// The reason for which a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SocketEnd {
    /// The caller closed the connection, or it broke.
    Closed,
    /// The caller exceeded the time limit for sending or receiving a message.
    Slow,
    /// The received bytes are not a message of the protocol.
    Fault(ProtocolFault),
}

impl SessionTask {
    /// Serves the connection to its end.
    pub(super) async fn run(mut self) {
        let _count = self.metrics.open_caller_connection();
        let opening = timeout(self.limits.startup, self.socket.read()).await;
        let (database, key) = match opening {
            Ok(Ok(CallerMessage::Open { database, key })) => (CustomerName::from(database), key),
            Ok(Ok(CallerMessage::Close) | Err(SocketEnd::Closed)) => return,
            Ok(Ok(CallerMessage::Statement { .. })) => {
                return self
                    .turn_away(CallerErrorSort::Malformed, 0, "session isn't open")
                    .await;
            }
            Ok(Err(end)) => return self.end_with_fault(end).await,
            Err(_) => {
                self.metrics.count_caller_fault("slow_startup");
                return;
            }
        };
        let began = Instant::now();
        let caller = match self.admit(&database, &key).await {
            Ok(caller) => caller,
            Err(refusal) => return self.refuse(&database, refusal).await,
        };
        drop(key);
        self.waited = began.elapsed();
        let admitted = AdmittedSession {
            service: Arc::clone(&self.service),
            database,
            caller,
        };
        self.serve_session(&admitted).await;
    }

    /// Admits the session, and retries while the gateway is starting.
    ///
    /// After a power loss of all gateways, callers reconnect as soon as the gateways listen, which
    /// is some hundred milliseconds before the first leases. If they were refused then, they would
    /// use up their attempts on every gateway shortly before they could be served.
    async fn admit(
        &self,
        database: &CustomerName,
        key: &AccountKey,
    ) -> Result<SessionCaller, SessionRefusal> {
        let deadline = Instant::now() + START_WAIT_LIMIT;
        loop {
            match self.service.admit(database, key) {
                Err(SessionRefusal::Starting { .. }) if Instant::now() < deadline => {
                    sleep(START_POLL_INTERVAL).await;
                }
                admitted => return admitted,
            }
        }
    }

    async fn refuse(&mut self, database: &CustomerName, refusal: SessionRefusal) {
        self.metrics.count_caller_fault("refused");
        let standing = self.service.standing();
        log_event!(
            Level::Info,
            "session_refused",
            customer = database,
            cause = format!("{refusal:?}"),
            revision = standing.revision,
            lease_left_ms = standing.lease_left.as_millis(),
        );
        let (sort, after, text) = match refusal {
            SessionRefusal::NoContract | SessionRefusal::UnknownGroup => {
                (CallerErrorSort::NoDatabase, 0, "no such database")
            }
            SessionRefusal::UnknownKey => {
                (CallerErrorSort::Unauthorized, 0, "no account has this key")
            }
            SessionRefusal::TooManySessions { come_back_after_ms } => (
                CallerErrorSort::Busy,
                come_back_after_ms,
                "too many sessions are open",
            ),
            SessionRefusal::Draining => (CallerErrorSort::Busy, 0, "gateway is shutting down"),
            SessionRefusal::Starting { come_back_after_ms } => (
                CallerErrorSort::Busy,
                come_back_after_ms,
                "gateway is starting",
            ),
            SessionRefusal::NotReady { come_back_after_ms } => (
                CallerErrorSort::Busy,
                come_back_after_ms,
                "gateway has no lease",
            ),
        };
        self.turn_away(sort, after, text).await;
    }

    async fn turn_away(&mut self, sort: CallerErrorSort, come_back_after_ms: u64, text: &str) {
        let error = CallerError {
            sort,
            come_back_after_ms,
            text: text.to_owned(),
        };
        // The connection ends whether or not the caller receives the reason.
        let _ = self.socket.send(&CallerAnswer::Fatal(error)).await;
        self.socket.close().await;
    }

    async fn end_with_fault(&mut self, end: SocketEnd) {
        match end {
            SocketEnd::Closed => {}
            SocketEnd::Slow => self.metrics.count_caller_fault("slow_sender"),
            SocketEnd::Fault(fault) => {
                self.metrics.count_caller_fault("malformed");
                let sort = match fault {
                    ProtocolFault::TooLong => CallerErrorSort::TooLong,
                    ProtocolFault::NotText | ProtocolFault::Malformed => CallerErrorSort::Malformed,
                };
                self.turn_away(sort, 0, &fault.to_string()).await;
            }
        }
    }

    async fn serve_session(&mut self, admitted: &AdmittedSession) {
        let mut session = CallerSession::default();
        if self.socket.send(&CallerAnswer::Opened).await.is_err() {
            return;
        }
        let end = self.serve_statements(admitted, &mut session).await;
        // A transaction left open by the session would hold its connection until the idle limit.
        if let Some(draft) = session.take_abandoned(true) {
            self.execute(admitted, &draft).await;
        }
        match end {
            Some(end) => self.end_with_fault(end).await,
            None => self.socket.close().await,
        }
    }

    /// Serves statements until the session ends; `None` if it ended normally.
    async fn serve_statements(
        &mut self,
        admitted: &AdmittedSession,
        session: &mut CallerSession,
    ) -> Option<SocketEnd> {
        loop {
            let message = match self.next_message(admitted, session.state()).await {
                Ok(Some(message)) => message,
                Ok(None) => return None,
                Err(end) => return Some(end),
            };
            let (id, statement) = match message {
                CallerMessage::Statement { id, statement } => (id, statement),
                CallerMessage::Close => return None,
                CallerMessage::Open { .. } => {
                    return Some(SocketEnd::Fault(ProtocolFault::Malformed));
                }
            };
            if !admitted.is_still_admitted() {
                return self.end_unauthorized(admitted, session).await;
            }
            let answer = match session.handle(id, statement) {
                SessionStep::Answer(answer) => answer,
                SessionStep::Run(draft) => {
                    let reply = self.execute(admitted, &draft).await;
                    let cleanup = draft.cleanup_draft(&reply.verdict);
                    self.waited = Duration::ZERO;
                    let answer = session.finish(&draft, reply);
                    if let Some(draft) = cleanup {
                        self.execute(admitted, &draft).await;
                    }
                    answer
                }
            };
            if self.socket.send(&answer).await.is_err() {
                return Some(SocketEnd::Closed);
            }
        }
    }

    /// Ends a session whose caller's key is no longer valid, in response to a statement.
    ///
    /// An open transaction is rolled back before the caller is told that it was aborted.
    async fn end_unauthorized(
        &mut self,
        admitted: &AdmittedSession,
        session: &mut CallerSession,
    ) -> Option<SocketEnd> {
        let state = session.state();
        let open = state != SessionState::Idle;
        if let Some(draft) = session.take_abandoned(true) {
            self.execute(admitted, &draft).await;
        }
        let sort = match open {
            true => CallerErrorSort::Aborted,
            false => CallerErrorSort::Unauthorized,
        };
        let error = CallerError {
            sort,
            come_back_after_ms: 0,
            text: "the key is no account's any more".to_owned(),
        };
        let state = match open {
            true => SessionState::Failed,
            false => SessionState::Idle,
        };
        let answer = CallerAnswer::Failed { error, state };
        self.socket.send(&answer).await.err()
    }

    /// Waits for the next message; `None` if the session must end before another statement.
    async fn next_message(
        &mut self,
        admitted: &AdmittedSession,
        state: SessionState,
    ) -> Result<Option<CallerMessage>, SocketEnd> {
        let idle = state == SessionState::Idle;
        loop {
            // A message that has arrived already precedes the signal to end, so it is served first.
            if let Some(message) = self.socket.take_buffered()? {
                return Ok(Some(message));
            }
            let stage = self.signals.borrow_and_update().drain;
            if stage == DrainStage::EndAll || (stage == DrainStage::EndIdle && idle) {
                return Ok(None);
            }
            if idle && !admitted.is_still_admitted() {
                log_event!(
                    Level::Info,
                    "session_ended",
                    customer = admitted.database,
                    account = admitted.account_label(),
                    cause = "key taken away",
                );
                return Ok(None);
            }
            tokio::select! {
                message = self.socket.read() => return message.map(Some),
                changed = self.signals.changed() => {
                    if changed.is_err() {
                        return Ok(None);
                    }
                }
            }
        }
    }

    async fn execute(&self, admitted: &AdmittedSession, draft: &StatementDraft) -> StatementReply {
        let id = StatementId::fresh();
        let group = match self.service.find_group(&admitted.database) {
            Ok(group) => group,
            Err(refusal) => {
                self.log_unknown_database(admitted, draft, refusal);
                return StatementReply {
                    id,
                    verdict: RequestVerdict::NotRun(refusal),
                    served_by: None,
                };
            }
        };
        let request = self.make_request(id, admitted, group, draft);
        self.service.run(request).await
    }

    /// Logs a statement whose database was removed after the session was admitted.
    fn log_unknown_database(
        &self,
        admitted: &AdmittedSession,
        draft: &StatementDraft,
        refusal: Refusal,
    ) {
        let standing = self.service.standing();
        log_event!(
            Level::Info,
            "request_failed",
            id = draft.context.caller_id,
            customer = admitted.database,
            outcome = "refused",
            cause = refusal.cause,
            revision = standing.revision,
            lease_left_ms = standing.lease_left.as_millis(),
        );
    }

    fn make_request(
        &self,
        id: StatementId,
        admitted: &AdmittedSession,
        group: GroupName,
        draft: &StatementDraft,
    ) -> StatementRequest {
        StatementRequest {
            id,
            customer: admitted.database.clone(),
            session: self.name.clone(),
            group,
            marks: RequestMarks {
                kind: Some(draft.kind.into()),
                ..RequestMarks::default()
            },
            text: draft.text.clone(),
            parameters: None,
            step: draft.step,
            spent_ms: 0,
            waited_ms: self.waited.as_millis() as u64,
            account: admitted.caller.account.clone(),
            proof: admitted.caller.digest,
            context: Some(Box::new(draft.context.clone())),
        }
    }
}

/// A caller's socket with its read and write buffers.
pub(super) struct SessionSocket {
    stream: TcpStream,
    protocol: Arc<dyn CallerProtocol>,
    limits: CallerLimits,
    received: BytesMut,
    sent: BytesMut,
}

impl SessionSocket {
    pub(super) fn new(
        stream: TcpStream,
        protocol: Arc<dyn CallerProtocol>,
        limits: CallerLimits,
    ) -> Self {
        Self {
            stream,
            protocol,
            limits,
            received: BytesMut::new(),
            sent: BytesMut::new(),
        }
    }

    /// Decodes the next message if all of it has been received.
    fn take_buffered(&mut self) -> Result<Option<CallerMessage>, SocketEnd> {
        let message = self.protocol.decode(&mut self.received);
        message.map_err(SocketEnd::Fault)
    }

    /// Reads the next message. Cancel safe: received bytes stay buffered.
    async fn read(&mut self) -> Result<CallerMessage, SocketEnd> {
        loop {
            if let Some(message) = self.take_buffered()? {
                return Ok(message);
            }
            if self.received.is_empty() {
                self.fill().await?;
                continue;
            }
            // The rest of a message has a time limit, as an incomplete one occupies a connection
            // and memory.
            let limit = self.limits.statement;
            let filled = timeout(limit, self.fill()).await;
            filled.map_err(|_| SocketEnd::Slow)??;
        }
    }

    async fn fill(&mut self) -> Result<(), SocketEnd> {
        self.received.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.received).await {
            Ok(count) if count > 0 => Ok(()),
            Ok(_) | Err(_) => Err(SocketEnd::Closed),
        }
    }

    async fn send(&mut self, answer: &CallerAnswer) -> Result<(), SocketEnd> {
        self.sent.clear();
        self.protocol.encode(answer, &mut self.sent);
        let writing = self.stream.write_all(&self.sent);
        match timeout(self.limits.statement, writing).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(SocketEnd::Closed),
            Err(_) => Err(SocketEnd::Slow),
        }
    }

    async fn close(&mut self) {
        // An error means that the caller has closed the connection first.
        let _ = self.stream.shutdown().await;
    }
}

/// A session that the service has admitted. Dropping it reports its end to the service, even if the
/// task panics.
struct AdmittedSession {
    service: Arc<dyn SessionService>,
    database: CustomerName,
    caller: SessionCaller,
}

impl AdmittedSession {
    /// Returns whether the caller would still be admitted.
    fn is_still_admitted(&self) -> bool {
        self.service.still_admits(&self.database, &self.caller)
    }

    fn account_label(&self) -> &str {
        self.caller
            .account
            .as_ref()
            .map_or("none", |account| account.as_str())
    }
}

impl Drop for AdmittedSession {
    fn drop(&mut self) {
        self.service.release(&self.database);
    }
}
