//! Accepts callers' connections, joins their tasks, and routes cancel requests between them.

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

/// How long to wait after a failed accept.
///
/// A process without free descriptors fails each accept at once; trying again at once would keep a
/// core busy and the log full.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How many connections over the limit are told so at once; more are closed without a word.
const MOST_REFUSED: usize = 64;

/// How many cancel requests may wait for the edge.
const CANCEL_QUEUE: usize = 64;

/// Limits of the caller edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The most connections at once.
    pub connections: usize,
    /// The longest message, in bytes.
    pub message_bytes: usize,
    /// How long a start-up may take.
    pub startup: Duration,
    /// How long a message may take to arrive, and a part of an answer to be received.
    pub statement: Duration,
    /// How long an open transaction may go on after the drain began.
    pub drain: Duration,
}

impl CallerLimits {
    /// Takes the limits from the daemon's settings; `drain_ms` is in milliseconds.
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

/// How far callers' sessions are asked to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainOrder {
    /// Sessions go on.
    #[default]
    Serve,
    /// Sessions end between two transactions.
    EndIdle,
    /// Sessions end between two statements; open transactions are rolled back.
    EndAll,
}

/// A request to cancel, with the time at which its connection was accepted.
pub(crate) struct CancelOrder {
    pub(crate) request: CancelRequest,
    pub(crate) accepted: Instant,
}

/// The key by which a session's statement can be cancelled.
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
    /// From the drain on, sessions are closed between transactions, and new ones are refused by the
    /// service. A transaction that is still open after the drain's limit is rolled back between
    /// two statements; a statement in flight is always waited for.
    pub async fn run(self, drain: watch::Receiver<bool>) {
        let (order, _) = watch::channel(DrainOrder::Serve);
        let (cancels, cancel_queue) = mpsc::channel(CANCEL_QUEUE);
        let state = EdgeState {
            edge: self,
            tasks: JoinSet::new(),
            refusals: JoinSet::new(),
            sessions: HashMap::new(),
            pids: HashMap::new(),
            next_pid: 1,
            cancels,
            order,
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
    cancels: mpsc::Sender<CancelOrder>,
    order: watch::Sender<DrainOrder>,
}

impl EdgeState {
    async fn run(
        mut self,
        mut cancel_queue: mpsc::Receiver<CancelOrder>,
        drain: watch::Receiver<bool>,
    ) {
        let mut drain = std::pin::pin!(crate::platform::wait_until_true(drain));
        let mut last_call = std::pin::pin!(sleep(Duration::MAX));
        loop {
            let order = *self.order.borrow();
            if order > DrainOrder::Serve && self.tasks.is_empty() {
                break;
            }
            tokio::select! {
                accepted = self.edge.listener.accept() => {
                    self.take_connection(accepted.map(|(socket, _)| socket)).await;
                }
                Some(ended) = self.tasks.join_next_with_id(), if !self.tasks.is_empty() => {
                    self.note_end(ended);
                }
                Some(_) = self.refusals.join_next(), if !self.refusals.is_empty() => {}
                Some(cancel) = cancel_queue.recv() => self.route_cancel(cancel),
                () = &mut drain, if order == DrainOrder::Serve => {
                    log_event!(Level::Info, "callers_draining", connections = self.tasks.len());
                    self.order.send_replace(DrainOrder::EndIdle);
                    last_call.as_mut().reset(Instant::now() + self.edge.limits.drain);
                }
                () = &mut last_call, if order == DrainOrder::EndIdle => {
                    log_event!(Level::Warn, "drain_limit_met", connections = self.tasks.len());
                    self.order.send_replace(DrainOrder::EndAll);
                }
            }
        }
        while self.refusals.join_next().await.is_some() {}
        log_event!(Level::Info, "callers_drained");
    }

    async fn take_connection(&mut self, accepted: io::Result<TcpStream>) {
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
        if *self.order.borrow() == DrainOrder::EndAll {
            return self.refuse(stream, CallerError::from(SessionRefusal::Draining));
        }
        if self.tasks.len() >= self.edge.limits.connections {
            let error = CallerError::not_run("53300", "gateway has too many connections");
            return self.refuse(stream, error);
        }
        self.start(stream);
    }

    /// Tells a connection at once that it isn't served, without reading what it wants.
    fn refuse(&mut self, mut stream: CallerStream, error: CallerError) {
        self.edge.metrics.count_caller_fault("turned_away");
        if self.refusals.len() >= MOST_REFUSED {
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
            order: self.order.subscribe(),
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

    fn note_end(&mut self, ended: Result<(Id, ()), JoinError>) {
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

    fn route_cancel(&mut self, order: CancelOrder) {
        let Some(session) = self.sessions.get(&order.request.pid) else {
            return;
        };
        if order.request.secret_key.as_i32() != Some(session.secret) {
            return log_event!(Level::Warn, "cancel_refused", pid = order.request.pid);
        }
        session.cancel.send_replace(Some(order.accepted));
    }
}
