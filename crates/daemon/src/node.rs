//! The whole daemon: starts every task, and joins them all at the end.

use crate::callers::CallerEdge;
use crate::callers::CallerLimits;
use crate::clock::NodeClock;
use crate::control::ControlEvent;
use crate::control::ControlFault;
use crate::control::ControlTask;
use crate::gateway::Gateway;
use crate::group::GroupContext;
use crate::leaseholders::LeaseholderEvent;
use crate::leaseholders::LeaseholderManager;
use crate::log_event;
use crate::member::MemberTask;
use crate::member::MemberView;
use crate::member::create_member_id;
use crate::metrics::DaemonMetrics;
use crate::peers::PeerLinks;
use crate::platform::DumpRequest;
use crate::platform::PlatformView;
use crate::platform::start_platform;
use crate::server::ServerRoutes;
use crate::server::start_server;
use crate::service::GatewayService;
use crate::settings::DaemonSettings;
use crate::standby::StandbyEvent;
use crate::standby::spawn_standby;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::MemberLease;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::interval;
use tokio::time::timeout;

/// How often readiness and the lease's metrics are brought up to date.
const READINESS_EVERY: Duration = Duration::from_millis(50);

/// How long the platform's balancer is given to see that the VM isn't ready any more, before
/// sessions are closed. Platforms commonly probe once a second.
const READINESS_LEAD: Duration = Duration::from_millis(500);

/// Why the daemon could not start, or ended other than by a drain.
#[derive(Debug)]
pub enum NodeFault {
    /// An address can't be listened on.
    Listen(&'static str, io::Error),
    /// The control role failed.
    Control(ControlFault),
    /// Another process has joined under this VM's name.
    Superseded,
}

impl fmt::Display for NodeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(what, error) => write!(formatter, "can't listen for {what}: {error}"),
            Self::Control(fault) => fault.fmt(formatter),
            Self::Superseded => formatter.write_str("another process runs under this VM's name"),
        }
    }
}

/// Collects the state of all tasks.
#[derive(Clone)]
pub struct NodeDump {
    settings: Arc<DaemonSettings>,
    clock: NodeClock,
    view: watch::Receiver<MemberView>,
    ready: watch::Receiver<bool>,
    control: Option<mpsc::Sender<ControlEvent>>,
    leaseholders: mpsc::Sender<LeaseholderEvent>,
    standby: mpsc::Sender<StandbyEvent>,
}

impl NodeDump {
    /// Says whether the VM takes work.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Asks every task for its state.
    pub async fn collect(&self) -> serde_json::Value {
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        let control = match &self.control {
            Some(control) => ask(control, ControlEvent::Dump).await,
            None => None,
        };
        serde_json::json!({
            "vm": self.settings.vm.to_string(),
            "domain": self.settings.domain.to_string(),
            "ready": self.is_ready(),
            "draining": view.draining,
            "lease_ms": view.lease.remaining(now).as_millis() as u64,
            "revision": view.copy.revision().0,
            "contracts": view.copy.contracts().count(),
            "members": view.copy.members().collect::<Vec<_>>(),
            "groups": view.copy.groups().collect::<Vec<_>>(),
            "control": control,
            "leaseholder": ask(&self.leaseholders, LeaseholderEvent::Dump).await,
            "standby": ask(&self.standby, StandbyEvent::Dump).await,
            "broken_invariants": ragwort_control::broken_invariants(),
        })
    }
}

async fn ask<Event>(
    task: &mpsc::Sender<Event>,
    event: impl FnOnce(oneshot::Sender<serde_json::Value>) -> Event,
) -> Option<serde_json::Value> {
    let (reply, answer) = oneshot::channel();
    task.send(event(reply)).await.ok()?;
    answer.await.ok()
}

/// The switches by which the parent ends its tasks, in this order.
struct StopSwitches {
    drain: watch::Sender<bool>,
    leaseholders: watch::Sender<bool>,
    member: watch::Sender<bool>,
    rest: watch::Sender<bool>,
}

impl StopSwitches {
    fn new() -> Self {
        let switch = || watch::channel(false).0;
        Self {
            drain: switch(),
            leaseholders: switch(),
            member: switch(),
            rest: switch(),
        }
    }
}

/// Runs the daemon until it's drained or can't go on.
///
/// # Errors
///
/// Returns a fault if an address can't be listened on, the data folder can't be used, or another
/// process has joined under this VM's name.
pub async fn run_node(settings: Arc<DaemonSettings>) -> Result<(), NodeFault> {
    let clock = NodeClock::start();
    let metrics = DaemonMetrics::new();
    let connect_timeout = Duration::from_millis(settings.timing.connect_timeout_ms);
    let links = PeerLinks::new(connect_timeout);
    let id = create_member_id(&settings);
    let switches = StopSwitches::new();
    let (view_sender, view) = watch::channel(MemberView {
        copy: Arc::new(CatalogCopy::new()),
        lease: MemberLease::new(),
        draining: false,
    });
    let (unplaced_sender, unplaced) = watch::channel(Vec::new());
    let (ready_sender, ready) = watch::channel(false);

    let platform = bind("the platform", settings.listen.platform).await?;
    let callers = match settings.roles.gateway {
        true => Some(bind("callers", settings.listen.callers).await?),
        false => None,
    };

    let control = start_control(&settings, clock, &links, &switches, id.incarnation)?;
    let (control_sender, control_task) = match control {
        Some((sender, task)) => (Some(sender), Some(task)),
        None => (None, None),
    };
    let lease = Duration::from_millis(settings.timing.lease_ms);
    let gateway = Arc::new(Gateway::new(clock, links.clone(), view.clone(), lease));
    let (standby, standby_task) = spawn_standby(view.clone());
    let (leaseholders, leaseholder_events) = mpsc::channel(8_192);
    let dump = NodeDump {
        settings: Arc::clone(&settings),
        clock,
        view: view.clone(),
        ready: ready.clone(),
        control: control_sender.clone(),
        leaseholders: leaseholders.clone(),
        standby: standby.clone(),
    };
    let routes = ServerRoutes {
        settings: Arc::clone(&settings),
        control: control_sender,
        leaseholders,
        standby: standby.clone(),
        gateway: Arc::clone(&gateway),
        links: links.clone(),
        view: view.clone(),
        drain: switches.drain.clone(),
        dump: dump.clone(),
    };
    let server = start_server(routes).await;
    let server = server.map_err(|error| NodeFault::Listen("other VMs", error))?;

    let context = Arc::new(GroupContext {
        settings: Arc::clone(&settings),
        clock,
        links: links.clone(),
        standby,
        metrics: metrics.clone(),
    });
    let manager = LeaseholderManager::new(context, view.clone(), unplaced_sender);
    let manager = tokio::spawn(manager.run(leaseholder_events, switches.leaseholders.subscribe()));
    let member = MemberTask {
        settings: Arc::clone(&settings),
        clock,
        links: links.clone(),
        view: view_sender,
        unplaced,
        draining: switches.drain.subscribe(),
        stop: switches.member.subscribe(),
    };
    let mut member = tokio::spawn(member.run(id));
    let watcher = ReadinessTask {
        clock,
        metrics: metrics.clone(),
        view: view.clone(),
        ready: ready_sender,
        stop: switches.rest.subscribe(),
    };
    let watcher = tokio::spawn(watcher.run());
    let (dump_sender, dump_requests) = mpsc::channel(16);
    let dumper = tokio::spawn(answer_dumps(dump, dump_requests));
    let platform_view = PlatformView {
        ready,
        metrics: metrics.clone(),
        dump: dump_sender,
    };
    let platform = start_platform(platform, platform_view, switches.rest.subscribe());
    let callers = callers.map(|listener| {
        start_callers(
            &settings,
            clock,
            listener,
            gateway,
            &view,
            metrics,
            &switches.drain,
        )
    });
    log_event!(
        Level::Info,
        "started",
        vm = settings.vm,
        peers = settings.listen.peers
    );

    let ended = wait_for_end(&switches.drain, &mut member).await;
    if let EndCause::Drain = ended {
        log_event!(Level::Info, "drain_started", vm = settings.vm);
        tokio::time::sleep(READINESS_LEAD).await;
    }
    switches.drain.send_replace(true);
    if let Some(callers) = callers {
        let _ = callers.await;
    }
    await_handover(&settings, &view, &ended).await;
    switches.leaseholders.send_replace(true);
    let _ = manager.await;
    switches.member.send_replace(true);
    if !member.is_finished() {
        let _ = member.await;
    }
    switches.rest.send_replace(true);
    let _ = server.stop();
    server.stopped().await;
    let _ = standby_task.await;
    let _ = watcher.await;
    let _ = platform.await;
    let _ = dumper.await;
    let control_end = match control_task {
        Some(task) => task.await.unwrap_or(Ok(())),
        None => Ok(()),
    };
    log_event!(Level::Info, "stopped", vm = settings.vm);
    control_end.map_err(NodeFault::Control)?;
    match ended {
        EndCause::Drain => Ok(()),
        EndCause::Superseded => Err(NodeFault::Superseded),
    }
}

enum EndCause {
    Drain,
    Superseded,
}

async fn bind(what: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, NodeFault> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| NodeFault::Listen(what, error))
}

type ControlHandle = (
    mpsc::Sender<ControlEvent>,
    JoinHandle<Result<(), ControlFault>>,
);

fn start_control(
    settings: &Arc<DaemonSettings>,
    clock: NodeClock,
    links: &PeerLinks,
    switches: &StopSwitches,
    fresh: ragwort_types::VmIncarnation,
) -> Result<Option<ControlHandle>, NodeFault> {
    let Some(folder) = settings
        .data_folder
        .as_ref()
        .filter(|_| settings.roles.control)
    else {
        return Ok(None);
    };
    let opened = ControlTask::open(Arc::clone(settings), clock, links.clone(), folder, fresh);
    let (task, sender) = opened.map_err(NodeFault::Control)?;
    let stop = switches.rest.subscribe();
    Ok(Some((sender, tokio::spawn(task.run(stop)))))
}

fn start_callers(
    settings: &DaemonSettings,
    clock: NodeClock,
    listener: TcpListener,
    gateway: Arc<Gateway>,
    view: &watch::Receiver<MemberView>,
    metrics: DaemonMetrics,
    drain: &watch::Sender<bool>,
) -> JoinHandle<()> {
    let limits = CallerLimits::from_settings(&settings.limits, settings.timing.drain_ms);
    let (service, cancels) = GatewayService::start(gateway, clock, view.clone());
    let edge = CallerEdge::new(listener, limits, Arc::new(service), metrics);
    let drain = drain.subscribe();
    tokio::spawn(async move {
        edge.run(drain).await;
        let _ = cancels.await;
    })
}

/// Waits for a signal or an operator's drain, or for the membership to end by itself.
async fn wait_for_end(drain: &watch::Sender<bool>, member: &mut JoinHandle<bool>) -> EndCause {
    let mut drained = drain.subscribe();
    let terminate = async {
        match signal(SignalKind::terminate()) {
            Ok(mut signals) => {
                signals.recv().await;
            }
            Err(_) => std::future::pending::<()>().await,
        }
    };
    tokio::select! {
        () = terminate => {
            // The VM says at once that it isn't ready; callers are closed a little later.
            drain.send_replace(true);
            EndCause::Drain
        }
        _ = drained.wait_for(|set| *set) => EndCause::Drain,
        _ = member => EndCause::Superseded,
    }
}

/// Waits until no group is placed here, at most the drain time.
async fn await_handover(
    settings: &DaemonSettings,
    view: &watch::Receiver<MemberView>,
    ended: &EndCause,
) {
    if matches!(ended, EndCause::Superseded) {
        return;
    }
    let mut view = view.clone();
    let limit = Duration::from_millis(settings.timing.drain_ms);
    let moved = view.wait_for(|view| {
        let mut groups = view.copy.groups();
        let others = view
            .copy
            .members()
            .any(|one| one.id.vm != settings.vm && !one.draining);
        !others || groups.all(|record| record.placement.leaseholder != settings.vm)
    });
    let _ = timeout(limit, moved).await;
}

async fn answer_dumps(dump: NodeDump, mut requests: mpsc::Receiver<DumpRequest>) {
    while let Some(reply) = requests.recv().await {
        let _ = reply.send(dump.collect().await);
    }
}

/// Keeps readiness and the lease's metrics up to date.
struct ReadinessTask {
    clock: NodeClock,
    metrics: DaemonMetrics,
    view: watch::Receiver<MemberView>,
    ready: watch::Sender<bool>,
    stop: watch::Receiver<bool>,
}

impl ReadinessTask {
    async fn run(mut self) {
        let mut ticker = interval(READINESS_EVERY);
        loop {
            tokio::select! {
                _ = ticker.tick() => {}
                _ = self.stop.wait_for(|set| *set) => break,
            }
            let view = self.view.borrow().clone();
            let held = view.may_serve(self.clock.now());
            let ready = held && !view.draining;
            self.metrics.set_lease_held(held);
            self.metrics.set_catalog_revision(view.copy.revision());
            if self.ready.send_replace(ready) != ready {
                log_event!(Level::Info, "readiness", ready = ready);
            }
        }
    }
}
