//! Accepts callers' connections, joins their tasks, and routes cancel requests to sessions.
//!
//! PostgreSQL's drivers send a cancel request on a connection of its own, with the process id and
//! secret key of the session. The task of that connection passes it to the edge, which checks the
//! secret and signals the session's task.

use crate::callers::SessionRefusal;
use crate::callers::StatementService;
use crate::callers::answers::CallerError;
use crate::callers::answers::ErrorScope;
use crate::callers::session::ConnectionTask;
use crate::callers::wire::CallerStream;
use crate::callers::wire::StreamLimits;
use crate::log_event;
use crate::metrics::DaemonMetrics;
use crate::settings::LimitSettings;
use crate::sockets::tune_stream;
use log::Level;
use pgwire::messages::cancel::CancelRequest;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::Id;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// The pause after a failed accept.
///
/// In a process without free file descriptors every accept fails at once; without a pause the loop
/// would occupy a core and fill the log.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The maximum number of refused connections that are being sent an error at one time; further ones
/// are closed without one.
const MAX_REFUSALS: usize = 64;

/// The capacity of the queue of cancel requests to the edge.
const CANCEL_QUEUE_CAPACITY: usize = 64;

/// Limits of the caller edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum length of a message, in bytes.
    pub message_bytes: usize,
    /// The time limit of a start-up, from the accepted connection to the complete start-up message.
    pub startup: Duration,
    /// The time limit for the rest of a message to arrive after its first byte, and for the caller
    /// to receive a part of an answer.
    pub statement: Duration,
    /// The time that an open transaction may continue after the start of a drain.
    pub drain: Duration,
}

impl CallerLimits {
    /// Creates the limits from the daemon's settings; `drain_ms` is in milliseconds.
    pub fn from_settings(settings: &LimitSettings, drain_ms: u64) -> Self {
        let clamp = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        Self {
            connections: clamp(settings.connections),
            message_bytes: clamp(settings.message_bytes),
            startup: Duration::from_millis(settings.startup_ms),
            statement: Duration::from_millis(settings.statement_ms),
            drain: Duration::from_millis(drain_ms),
        }
    }

    pub(crate) fn stream_limits(&self) -> StreamLimits {
        StreamLimits {
            message_bytes: self.message_bytes,
            statement: self.statement,
        }
    }
}

/// The stage of a drain, in ascending order. Each session acts on it by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// No drain: sessions continue.
    #[default]
    Serve,
    /// Sessions end when no transaction is open.
    EndIdle,
    /// Sessions end after the statement in flight; open transactions are rolled back.
    EndAll,
}

/// A cancel request with the time at which its connection was accepted.
pub(crate) struct QueuedCancel {
    pub(crate) request: CancelRequest,
    pub(crate) accepted: Instant,
}

/// The process id and secret that a caller must present to cancel a statement of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CancelKey {
    pub(crate) pid: i32,
    pub(crate) secret: i32,
}

struct SessionHandle {
    secret: i32,
    cancel: watch::Sender<Option<Instant>>,
}

/// Accepts callers on one address and runs a task for each connection.
pub struct CallerEdge {
    listener: TcpListener,
    limits: CallerLimits,
    service: Arc<dyn StatementService>,
    metrics: DaemonMetrics,
}

impl CallerEdge {
    /// Creates an edge on a bound listener.
    pub fn new(
        listener: TcpListener,
        limits: CallerLimits,
        service: Arc<dyn StatementService>,
        metrics: DaemonMetrics,
    ) -> Self {
        Self {
            listener,
            limits,
            service,
            metrics,
        }
    }

    /// Serves callers until `drain` holds true and every connection's task is joined.
    ///
    /// During the drain sessions are closed when they have no open transaction, and the service
    /// refuses new ones. A transaction still open at the drain's time limit is rolled back between
    /// two statements. A statement in flight is always waited for.
    pub async fn run(self, drain: watch::Receiver<bool>) {
        let (drain_stage, _) = watch::channel(DrainStage::Serve);
        let (cancels, cancel_queue) = mpsc::channel(CANCEL_QUEUE_CAPACITY);
        let state = EdgeState {
            edge: self,
            tasks: JoinSet::new(),
            refusals: JoinSet::new(),
            sessions: HashMap::new(),
            pids: HashMap::new(),
            next_pid: 1,
            cancels,
            drain_stage,
        };
        state.run(cancel_queue, drain).await;
    }
}

struct EdgeState {
    edge: CallerEdge,
    tasks: JoinSet<()>,
    refusals: JoinSet<()>,
    sessions: HashMap<i32, SessionHandle>,
    pids: HashMap<Id, i32>,
    next_pid: i32,
    cancels: mpsc::Sender<QueuedCancel>,
    drain_stage: watch::Sender<DrainStage>,
}

impl EdgeState {
    async fn run(
        mut self,
        mut cancel_queue: mpsc::Receiver<QueuedCancel>,
        drain: watch::Receiver<bool>,
    ) {
        let mut drain = std::pin::pin!(crate::platform::wait_until_true(drain));
        let mut drain_limit = std::pin::pin!(sleep(Duration::MAX));
        loop {
            let stage = *self.drain_stage.borrow();
            if stage > DrainStage::Serve && self.tasks.is_empty() {
                break;
            }
            tokio::select! {
                accepted = self.edge.listener.accept() => {
                    self.accept_connection(accepted.map(|(socket, _)| socket)).await;
                }
                Some(ended) = self.tasks.join_next_with_id(), if !self.tasks.is_empty() => {
                    self.remove_connection(ended);
                }
                Some(_) = self.refusals.join_next(), if !self.refusals.is_empty() => {}
                Some(cancel) = cancel_queue.recv() => self.route_cancel(cancel),
                () = &mut drain, if stage == DrainStage::Serve => {
                    log_event!(Level::Info, "callers_draining", connections = self.tasks.len());
                    self.drain_stage.send_replace(DrainStage::EndIdle);
                    drain_limit.as_mut().reset(Instant::now() + self.edge.limits.drain);
                }
                () = &mut drain_limit, if stage == DrainStage::EndIdle => {
                    log_event!(Level::Warn, "drain_limit_met", connections = self.tasks.len());
                    self.drain_stage.send_replace(DrainStage::EndAll);
                }
            }
        }
        while self.refusals.join_next().await.is_some() {}
        log_event!(Level::Info, "callers_drained");
    }

    async fn accept_connection(&mut self, accepted: io::Result<TcpStream>) {
        let accepted = accepted.and_then(|socket| {
            tune_stream(&socket, self.edge.limits.statement)?;
            Ok(socket)
        });
        let socket = match accepted {
            Ok(socket) => socket,
            Err(error) => {
                log_event!(Level::Warn, "accept_failed", error = error);
                return sleep(ACCEPT_PAUSE).await;
            }
        };
        let stream = CallerStream::new(socket, self.edge.limits.stream_limits());
        if *self.drain_stage.borrow() == DrainStage::EndAll {
            return self.refuse(stream, CallerError::from(SessionRefusal::Draining));
        }
        if self.tasks.len() >= self.edge.limits.connections {
            let error = CallerError::not_run("53300", "gateway has too many connections");
            return self.refuse(stream, error);
        }
        self.start(stream);
    }

    /// Sends an error to a connection and closes it, without reading its start-up message.
    fn refuse(&mut self, mut stream: CallerStream, error: CallerError) {
        self.edge.metrics.count_caller_fault("turned_away");
        if self.refusals.len() >= MAX_REFUSALS {
            return;
        }
        self.refusals.spawn(async move {
            let response = error.to_response(ErrorScope::Connection);
            if stream.send(response).await.is_ok() {
                stream.close().await;
            }
        });
    }

    fn start(&mut self, stream: CallerStream) {
        let key = self.make_key();
        let (cancel, cancelled) = watch::channel(None);
        let task = ConnectionTask {
            stream,
            limits: self.edge.limits,
            service: Arc::clone(&self.edge.service),
            metrics: self.edge.metrics.clone(),
            key,
            accepted: Instant::now(),
            cancelled,
            cancels: self.cancels.clone(),
            drain_stage: self.drain_stage.subscribe(),
        };
        let handle = self.tasks.spawn(task.run());
        self.pids.insert(handle.id(), key.pid);
        let session = SessionHandle {
            secret: key.secret,
            cancel,
        };
        self.sessions.insert(key.pid, session);
    }

    fn make_key(&mut self) -> CancelKey {
        while self.sessions.contains_key(&self.next_pid) {
            self.next_pid = self.next_pid.wrapping_add(1).max(1);
        }
        let pid = self.next_pid;
        self.next_pid = pid.wrapping_add(1).max(1);
        CancelKey {
            pid,
            secret: rand::random(),
        }
    }

    fn remove_connection(&mut self, ended: Result<(Id, ()), JoinError>) {
        let id = match &ended {
            Ok((id, ())) => *id,
            Err(error) => error.id(),
        };
        if let Some(pid) = self.pids.remove(&id) {
            self.sessions.remove(&pid);
        }
        if let Err(error) = ended {
            self.edge.metrics.count_caller_fault("panic");
            log_event!(Level::Error, "caller_task_failed", error = error);
        }
    }

    fn route_cancel(&mut self, queued: QueuedCancel) {
        let Some(session) = self.sessions.get(&queued.request.pid) else {
            return;
        };
        if queued.request.secret_key.as_i32() != Some(session.secret) {
            return log_event!(Level::Warn, "cancel_refused", pid = queued.request.pid);
        }
        session.cancel.send_replace(Some(queued.accepted));
    }
}
