//! Accepts callers' connections, joins their tasks, and closes sessions in a drain or while the
//! gateway is isolated.

use crate::callers::CallerLimits;
use crate::callers::DrainStage;
use crate::edges::CallerProtocol;
use crate::log_event;
use crate::metrics::DaemonMetrics;
use crate::platform::wait_until_true;
use crate::sessions::SessionService;
use crate::sessions::SessionSignals;
use crate::sessions::session::SessionSocket;
use crate::sessions::session::SessionTask;
use crate::sockets::tune_stream;
use log::Level;
use ragwort_types::SessionName;
use ragwort_types::VmName;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

/// The pause after a failed accept. In a process without free file descriptors every accept fails
/// at once; without a pause the loop would occupy a core and fill the log.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The interval of the checks for isolation of this gateway and for changed accounts and contracts.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts callers on one address and runs a task for each connection.
pub struct SessionEdge {
    /// The bound listener.
    pub listener: TcpListener,
    /// The edge's limits.
    pub limits: CallerLimits,
    /// The codec of the callers' protocol.
    pub protocol: Arc<dyn CallerProtocol>,
    /// The service that admits sessions and runs their statements.
    pub service: Arc<dyn SessionService>,
    /// The daemon's metrics.
    pub metrics: DaemonMetrics,
    /// The name of this VM, a part of the sessions' names.
    pub vm: VmName,
    /// The time for which this gateway must be isolated before its idle sessions are closed.
    pub isolation_limit: Duration,
}

impl SessionEdge {
    /// Serves callers until `drain` holds true and every connection's task is joined.
    ///
    /// During the drain sessions are closed when they have no open transaction. A transaction still
    /// open at the drain's time limit is rolled back between two statements. A statement in flight
    /// is always waited for.
    ///
    /// While this gateway is isolated, without a lease and without a way to any other gateway,
    /// sessions without an open transaction are closed too, as their statements would be refused
    /// until the network heals. Callers that reconnect through another gateway stay there, even if
    /// the load balancer hasn't noticed yet.
    pub async fn run(self, drain: watch::Receiver<bool>) {
        let (signals, _) = watch::channel(SessionSignals {
            drain: DrainStage::Serve,
            admission_changes: self.service.admission_changes(),
        });
        let mut tasks = JoinSet::new();
        let mut drain = std::pin::pin!(wait_until_true(drain));
        let mut drain_limit = std::pin::pin!(sleep(Duration::MAX));
        let mut accepted_count = 0_u64;
        let mut draining = false;
        let mut check = interval(SESSION_CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let stage = signals.borrow().drain;
            if draining && tasks.is_empty() {
                break;
            }
            tokio::select! {
                accepted = self.listener.accept() => {
                    accepted_count += 1;
                    let accepted = accepted.map(|(stream, _)| stream);
                    self.accept_connection(accepted, accepted_count, &signals, &mut tasks).await;
                }
                Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
                _ = check.tick() => {
                    self.publish_admission_changes(&signals);
                    if !draining {
                        self.update_isolation(&signals, tasks.len());
                    }
                }
                () = &mut drain, if !draining => {
                    draining = true;
                    log_event!(Level::Info, "callers_draining", connections = tasks.len());
                    signals.send_modify(|signals| signals.drain = DrainStage::EndIdle);
                    drain_limit.as_mut().reset(Instant::now() + self.limits.drain);
                }
                () = &mut drain_limit, if draining && stage == DrainStage::EndIdle => {
                    log_event!(Level::Warn, "drain_limit_met", connections = tasks.len());
                    signals.send_modify(|signals| signals.drain = DrainStage::EndAll);
                }
            }
        }
        log_event!(Level::Info, "callers_drained");
    }

    /// Notifies sessions of changed accounts or contracts, so that each checks its caller's
    /// admission.
    fn publish_admission_changes(&self, signals: &watch::Sender<SessionSignals>) {
        let present = self.service.admission_changes();
        signals.send_if_modified(|signals| {
            std::mem::replace(&mut signals.admission_changes, present) != present
        });
    }

    /// Starts or stops closing idle sessions, as this gateway becomes isolated or reaches others
    /// again.
    fn update_isolation(&self, signals: &watch::Sender<SessionSignals>, connections: usize) {
        let wanted = match self.service.should_move_sessions(self.isolation_limit) {
            true => DrainStage::EndIdle,
            false => DrainStage::Serve,
        };
        let changed = signals
            .send_if_modified(|present| std::mem::replace(&mut present.drain, wanted) != wanted);
        if changed {
            let away = wanted == DrainStage::EndIdle;
            log_event!(
                Level::Warn,
                "callers_sent_away",
                away = away,
                connections = connections,
            );
        }
    }

    async fn accept_connection(
        &self,
        accepted: io::Result<TcpStream>,
        number: u64,
        signals: &watch::Sender<SessionSignals>,
        tasks: &mut JoinSet<()>,
    ) {
        let tuned = accepted.and_then(|stream| {
            tune_stream(&stream, self.limits.statement)?;
            Ok(stream)
        });
        let stream = match tuned {
            Ok(stream) => stream,
            Err(error) => {
                log_event!(Level::Warn, "accept_failed", error = error);
                return sleep(ACCEPT_PAUSE).await;
            }
        };
        if tasks.len() >= self.limits.connections {
            self.metrics.count_caller_fault("turned_away");
            return;
        }
        let task = SessionTask {
            socket: SessionSocket::new(stream, Arc::clone(&self.protocol), self.limits),
            limits: self.limits,
            service: Arc::clone(&self.service),
            metrics: self.metrics.clone(),
            signals: signals.subscribe(),
            name: SessionName::from(format!("{}-{number}", self.vm)),
            waited: Duration::ZERO,
        };
        tasks.spawn(task.run());
    }
}
