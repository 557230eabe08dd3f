//! Accepts callers' connections and joins their tasks.

use crate::callers::CallerLimits;
use crate::callers::DrainOrder;
use crate::edges::CallerProtocol;
use crate::log_event;
use crate::metrics::DaemonMetrics;
use crate::platform::wait_until_true;
use crate::sessions::SessionOrder;
use crate::sessions::SessionService;
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

/// How long to wait after a failed accept. A process without free descriptors fails each accept at
/// once; trying again at once would keep a core busy and the log full.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often it's looked whether sessions are better served elsewhere, and whether accounts changed.
const SESSION_LOOK: Duration = Duration::from_millis(100);

/// Accepts callers on one address and runs a task for each connection.
pub struct SessionEdge {
    /// The bound listener.
    pub listener: TcpListener,
    /// The edge's limits.
    pub limits: CallerLimits,
    /// How callers speak.
    pub protocol: Arc<dyn CallerProtocol>,
    /// What runs their statements.
    pub service: Arc<dyn SessionService>,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// This VM, for sessions' names.
    pub vm: VmName,
    /// How long this VM reaches nobody before its sessions are closed.
    pub isolation_limit: Duration,
}

impl SessionEdge {
    /// Serves callers until `drain` holds true and every connection's task is joined.
    ///
    /// From the drain on sessions are closed between transactions. A transaction that is still open
    /// after the drain's limit is rolled back between two statements; a statement in flight is
    /// always waited for.
    ///
    /// While this gateway reaches nobody, sessions are closed between transactions as well: their
    /// callers would be refused for as long as the cut lasts. Each that comes back by a gateway that isn't
    /// cut off stays there, whether or not the balancer has noticed.
    pub async fn run(self, drain: watch::Receiver<bool>) {
        let (order, _) = watch::channel(SessionOrder {
            drain: DrainOrder::Serve,
            caller_changes: self.service.caller_changes(),
        });
        let mut tasks = JoinSet::new();
        let mut drain = std::pin::pin!(wait_until_true(drain));
        let mut last_call = std::pin::pin!(sleep(Duration::MAX));
        let mut accepted_count = 0_u64;
        let mut draining = false;
        let mut look = interval(SESSION_LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let present = order.borrow().drain;
            if draining && tasks.is_empty() {
                break;
            }
            tokio::select! {
                accepted = self.listener.accept() => {
                    accepted_count += 1;
                    let accepted = accepted.map(|(stream, _)| stream);
                    self.take_connection(accepted, accepted_count, &order, &mut tasks).await;
                }
                Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
                _ = look.tick() => {
                    self.follow_callers(&order);
                    if !draining {
                        self.send_away(&order, tasks.len());
                    }
                }
                () = &mut drain, if !draining => {
                    draining = true;
                    log_event!(Level::Info, "callers_draining", connections = tasks.len());
                    order.send_modify(|order| order.drain = DrainOrder::EndIdle);
                    last_call.as_mut().reset(Instant::now() + self.limits.drain);
                }
                () = &mut last_call, if draining && present == DrainOrder::EndIdle => {
                    log_event!(Level::Warn, "drain_limit_met", connections = tasks.len());
                    order.send_modify(|order| order.drain = DrainOrder::EndAll);
                }
            }
        }
        log_event!(Level::Info, "callers_drained");
    }

    /// Lets sessions look whether their callers are still taken, if accounts or contracts changed.
    fn follow_callers(&self, order: &watch::Sender<SessionOrder>) {
        let present = self.service.caller_changes();
        order.send_if_modified(|order| {
            std::mem::replace(&mut order.caller_changes, present) != present
        });
    }

    /// Closes idle sessions while this gateway reaches nobody, and stops when it does again.
    fn send_away(&self, order: &watch::Sender<SessionOrder>, connections: usize) {
        let wanted = match self.service.sends_sessions_away(self.isolation_limit) {
            true => DrainOrder::EndIdle,
            false => DrainOrder::Serve,
        };
        let ordered = order
            .send_if_modified(|present| std::mem::replace(&mut present.drain, wanted) != wanted);
        if ordered {
            let away = wanted == DrainOrder::EndIdle;
            log_event!(
                Level::Warn,
                "callers_sent_away",
                away = away,
                connections = connections,
            );
        }
    }

    async fn take_connection(
        &self,
        accepted: io::Result<TcpStream>,
        number: u64,
        order: &watch::Sender<SessionOrder>,
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
            order: order.subscribe(),
            name: SessionName::from(format!("{}-{number}", self.vm)),
            waited: Duration::ZERO,
        };
        tasks.spawn(task.run());
    }
}
