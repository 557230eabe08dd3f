//! Starts all tasks of the daemon and shuts them down in dependency order.
//!
//! On a drain the VM first reports that it isn't ready and still accepts callers for
//! `drain_notice_ms`, until the balancer has seen it. Then the caller edges stop, the groups are
//! handed over, the VM leaves the membership and transfers the leadership of the replicated log,
//! and the remaining tasks end.

use crate::announcements::AnnouncementRelay;
use crate::announcements::RelayContext;
use crate::callers::CallerEdge;
use crate::callers::CallerLimits;
use crate::clock::NodeClock;
use crate::control::ControlEvent;
use crate::control::ControlFault;
use crate::control::ControlTask;
use crate::descriptors::DescriptorBudget;
use crate::descriptors::find_descriptor_limit;
use crate::directory::ControlDirectory;
use crate::dump::NodeDump;
use crate::dump::answer_dumps;
use crate::edges::NodeEdges;
use crate::edges::NodeServices;
use crate::formation::FormationTask;
use crate::gateway::Gateway;
use crate::gateway::GatewayLinks;
use crate::group::GroupContext;
use crate::handover_plans::HandoverPlanner;
use crate::leaseholders::LeaseholderEvent;
use crate::leaseholders::LeaseholderManager;
use crate::limits::AccountLimiter;
use crate::log_event;
use crate::member::MemberTask;
use crate::member::MemberView;
use crate::member::create_member_id;
use crate::member::initial_requested_lease;
use crate::metrics::DaemonMetrics;
use crate::peers::PeerLinks;
use crate::platform::PlatformView;
use crate::platform::start_platform;
use crate::readiness::ReadinessTask;
use crate::server::ServerRoutes;
use crate::server::start_server;
use crate::service::GatewayService;
use crate::sessions::edge::SessionEdge;
use crate::settings::DaemonSettings;
use crate::standby::StandbyEvent;
use crate::standby::spawn_standby;
use crate::statements::links::StatementLinks;
use crate::statements::server::serve_statements;
use jsonrpsee::server::ServerHandle;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::MemberLease;
use ragwort_policy::LimitTolerance;
use ragwort_types::BuildInfo;
use ragwort_types::GroupName;
use ragwort_types::MemberId;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time limit for the services to answer open requests at shutdown. It is an estimate of what a
/// commit on a slow disk needs, far below the time after which a platform kills the process.
const SERVICES_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Capacity of the queue of the leaseholders' manager, in messages. The manager handles a message
/// as soon as it arrives.
const LEASEHOLDER_QUEUE_CAPACITY: usize = 8_192;

/// Time limit for another control VM to take the leadership of the replicated log at shutdown. An
/// election takes two round trips and the sync of two records.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the seeds in the settings are read again without a signal. They matter only to
/// a VM that can reach no other known control VM.
const SEED_READ_INTERVAL: Duration = Duration::from_secs(5);

/// How long a gateway may reach no other VM before its sessions are closed. The network fault has
/// lasted longer by then, because the gateway's lease had to end first.
const ISOLATION_LIMIT: Duration = Duration::from_millis(100);

/// Capacity of the queue of dump requests.
const DUMP_QUEUE_CAPACITY: usize = 16;

/// The reason why the daemon could not start, or ended other than by a drain.
#[derive(Debug)]
pub enum NodeFault {
    /// The daemon can't listen on an address.
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

/// Stop signals of the tasks, in the order in which shutdown sets them.
struct StopSwitches {
    /// The VM reports that it isn't ready, but still accepts callers.
    drain: watch::Sender<bool>,
    callers: watch::Sender<bool>,
    leaseholders: watch::Sender<bool>,
    member: watch::Sender<bool>,
    rest: watch::Sender<bool>,
}

impl StopSwitches {
    fn new() -> Self {
        let switch = || watch::channel(false).0;
        Self {
            drain: switch(),
            callers: switch(),
            leaseholders: switch(),
            member: switch(),
            rest: switch(),
        }
    }
}

/// State shared by all tasks.
struct NodeBase {
    settings: Arc<DaemonSettings>,
    clock: NodeClock,
    metrics: DaemonMetrics,
    descriptors: DescriptorBudget,
    links: PeerLinks,
    statement_links: Arc<StatementLinks>,
    id: MemberId,
    switches: StopSwitches,
    view: watch::Receiver<MemberView>,
    directory: ControlDirectory,
    edges: NodeEdges,
}

/// The listeners that are bound before any task starts.
struct NodeListeners {
    platform: TcpListener,
    statements: Option<TcpListener>,
    callers: Option<TcpListener>,
}

impl NodeListeners {
    async fn bind(settings: &DaemonSettings) -> Result<Self, NodeFault> {
        let address = settings.listen.callers;
        let callers = match address.filter(|_| settings.roles.gateway) {
            Some(address) => Some(bind("callers", address).await?),
            None => None,
        };
        let statements = match settings.listen.statements {
            Some(address) => Some(bind("statements", address).await?),
            None => None,
        };
        Ok(Self {
            statements,
            platform: bind("the platform", settings.listen.platform).await?,
            callers,
        })
    }
}

/// The running tasks, which are joined at shutdown.
struct NodeTasks {
    server: ServerHandle,
    control: Option<ControlHandle>,
    manager: JoinHandle<()>,
    member: JoinHandle<bool>,
    callers: Option<JoinHandle<()>>,
    /// Services of a native edge beside its callers.
    services: Option<JoinHandle<()>>,
    /// Tasks that end only after all others.
    helpers: JoinSet<()>,
}

/// Runs the daemon until it is drained or can't go on.
///
/// # Errors
///
/// Returns a fault if the daemon can't listen on an address, the data folder can't be used, or
/// another process has joined under this VM's name.
pub async fn run_node(settings: Arc<DaemonSettings>, edges: NodeEdges) -> Result<(), NodeFault> {
    let listeners = NodeListeners::bind(&settings).await?;
    let (seed_sender, seeds) = watch::channel(settings.seeds().to_vec());
    let (view_sender, view) = watch::channel(MemberView {
        copy: Arc::new(CatalogCopy::new()),
        lease: MemberLease::new(),
        draining: false,
        admission_changes: 0,
    });
    let clock = NodeClock::start();
    let connect_timeout = Duration::from_millis(settings.timing.connect_timeout_ms);
    let metrics = DaemonMetrics::new();
    let descriptors = create_budget(&settings, &metrics);
    let base = NodeBase {
        clock,
        links: PeerLinks::new(connect_timeout).with_descriptor_budget(descriptors.clone()),
        descriptors,
        metrics,
        statement_links: StatementLinks::new(clock, connect_timeout),
        id: create_member_id(&settings),
        switches: StopSwitches::new(),
        directory: ControlDirectory::new(Arc::clone(&settings), seeds, view.clone()),
        settings,
        view,
        edges,
    };
    let mut tasks = NodeTasks::start(&base, listeners, view_sender).await?;
    start_seed_watch(&base, seed_sender, &mut tasks.helpers);
    let build = BuildInfo::of_program();
    log_event!(
        Level::Info,
        "started",
        vm = base.settings.vm,
        peers = base.settings.listen.peers,
        version = build.version,
        sources = build.sources,
    );
    let ended = wait_for_end(&base.switches.drain, &mut tasks.member).await;
    let control_end = tasks.shut_down(&base, &ended).await;
    log_event!(Level::Info, "stopped", vm = base.settings.vm);
    control_end.map_err(NodeFault::Control)?;
    match ended {
        EndCause::Drain => Ok(()),
        EndCause::Superseded => Err(NodeFault::Superseded),
    }
}

impl NodeTasks {
    async fn start(
        base: &NodeBase,
        listeners: NodeListeners,
        view_sender: watch::Sender<MemberView>,
    ) -> Result<Self, NodeFault> {
        let mut helpers = JoinSet::new();
        let control = start_control(base)?;
        let control_sender = control.as_ref().map(|(sender, _)| sender.clone());
        if let Some(control) = &control_sender {
            start_formation(base, control.clone(), &mut helpers);
        }
        let gateway = Gateway::new(
            base.clock,
            GatewayLinks {
                peers: base.links.clone(),
                statements: Arc::clone(&base.statement_links),
                vm: base.settings.vm.clone(),
                domain: base.settings.domain.clone(),
            },
            base.view.clone(),
            Duration::from_millis(base.settings.timing.lease_ms),
        );
        let gateway = Arc::new(gateway.with_metrics(base.metrics.clone()));
        let (standby, standby_task) = spawn_standby(base.settings.vm.clone(), base.view.clone());
        helpers.spawn(join_quietly(standby_task));
        let (leaseholders, leaseholder_events) = mpsc::channel(LEASEHOLDER_QUEUE_CAPACITY);
        let (ready_sender, ready) = watch::channel(false);
        let dump = NodeDump {
            settings: Arc::clone(&base.settings),
            clock: base.clock,
            view: base.view.clone(),
            ready: ready.clone(),
            control: control_sender.clone(),
            leaseholders: leaseholders.clone(),
            standby: standby.clone(),
            descriptors: base.descriptors.clone(),
        };
        let limits = start_limits(base, &mut helpers);
        let routes = ServerRoutes {
            limits,
            settings: Arc::clone(&base.settings),
            control: control_sender,
            leaseholders: leaseholders.clone(),
            standby: standby.clone(),
            gateway: Arc::clone(&gateway),
            links: base.links.clone(),
            directory: base.directory.clone(),
            view: base.view.clone(),
            drain: base.switches.drain.clone(),
            dump: dump.clone(),
            announcements: start_relay(base, leaseholders, &mut helpers),
        };
        let services = start_services(
            base,
            NodeServices::new(routes.clone(), ready.clone(), base.metrics.clone()),
        );
        if let Some(listener) = listeners.statements {
            let runner = Arc::new(routes.clone());
            let stop = base.switches.rest.subscribe();
            let descriptors = base.descriptors.clone();
            helpers.spawn(serve_statements(listener, runner, descriptors, stop));
        }
        let server = start_server(routes).await;
        let server = server.map_err(|error| NodeFault::Listen("other VMs", error))?;
        let (unplaced_sender, unplaced) = watch::channel(Vec::new());
        let manager = start_manager(base, standby, unplaced_sender, leaseholder_events);
        let member = start_member(base, view_sender, unplaced);
        start_readiness(base, ready_sender, &mut helpers);
        start_platform_view(base, listeners.platform, ready, dump, &mut helpers);
        let callers = listeners
            .callers
            .map(|listener| start_callers(base, listener, gateway));
        Ok(Self {
            server,
            control,
            manager,
            member,
            callers,
            services,
            helpers,
        })
    }

    /// Stops the tasks in an order that interrupts no work: callers first, then the groups, the
    /// membership, and last what the others need until they end.
    async fn shut_down(mut self, base: &NodeBase, ended: &EndCause) -> Result<(), ControlFault> {
        if let EndCause::Drain = ended {
            log_event!(Level::Info, "drain_started", vm = base.settings.vm);
        }
        base.switches.drain.send_replace(true);
        if let Some(callers) = self.callers {
            if let EndCause::Drain = ended {
                wait_for_balancer(&base.settings).await;
            }
            base.switches.callers.send_replace(true);
            join_quietly(callers).await;
        }
        await_handover(&base.settings, &base.view, ended).await;
        base.switches.leaseholders.send_replace(true);
        join_quietly(self.manager).await;
        base.switches.member.send_replace(true);
        if !self.member.is_finished() {
            let _ = self.member.await;
        }
        if let Some((control, _)) = &self.control {
            transfer_leadership(control).await;
        }
        base.switches.rest.send_replace(true);
        let services_finished = match self.services {
            Some(services) => end_services(services).await,
            None => true,
        };
        base.statement_links.shut_down().await;
        let _ = self.server.stop();
        self.server.stopped().await;
        if !services_finished {
            // An aborted service may still hold senders that the helpers wait for to be dropped.
            self.helpers.abort_all();
        }
        while self.helpers.join_next().await.is_some() {}
        match self.control {
            Some((_, task)) => task.await.unwrap_or(Ok(())),
            None => Ok(()),
        }
    }
}

fn start_relay(
    base: &NodeBase,
    leaseholders: mpsc::Sender<LeaseholderEvent>,
    helpers: &mut JoinSet<()>,
) -> AnnouncementRelay {
    let context = RelayContext {
        vm: base.settings.vm.clone(),
        clock: base.clock,
        links: base.links.clone(),
        view: base.view.clone(),
        leaseholders,
    };
    let lost_after = Duration::from_millis(base.settings.timing.announce_lost_ms);
    let (relay, task) = AnnouncementRelay::start(context, lost_after);
    helpers.spawn(join_quietly(task));
    relay
}

fn create_budget(settings: &DaemonSettings, metrics: &DaemonMetrics) -> DescriptorBudget {
    let limit = match settings.limits.descriptors {
        0 => find_descriptor_limit(),
        limit => u32::try_from(limit).unwrap_or(u32::MAX),
    };
    DescriptorBudget::new(limit, metrics)
}

/// Keeps accepting callers until the platform's balancer has seen that the VM isn't ready.
///
/// Until then the balancer sends new callers here. Without this wait they would find no listener,
/// and where this is the only gateway of a failure domain, none of the domain's callers could
/// connect for seconds.
async fn wait_for_balancer(settings: &DaemonSettings) {
    sleep(Duration::from_millis(settings.timing.drain_notice_ms)).await;
}

/// Waits until another control VM leads the replicated log, if this one does, for at most
/// [`LEADERSHIP_TRANSFER_TIMEOUT`].
async fn transfer_leadership(control: &mpsc::Sender<ControlEvent>) {
    let (reply, transferred) = oneshot::channel();
    let transferring = async {
        if control
            .send(ControlEvent::TransferLeadership(reply))
            .await
            .is_ok()
        {
            // The control task has ended by a fault if it drops the reply.
            let _ = transferred.await;
        }
    };
    if timeout(LEADERSHIP_TRANSFER_TIMEOUT, transferring)
        .await
        .is_err()
    {
        let limit_ms = LEADERSHIP_TRANSFER_TIMEOUT.as_millis();
        log_event!(Level::Warn, "leadership_transfer_cut", limit_ms = limit_ms);
    }
}

/// Waits at most [`SERVICES_STOP_TIMEOUT`] for the services to answer open requests; returns false
/// if they had to be aborted.
///
/// A client that has sent half a request and then stops would otherwise delay the shutdown until
/// the platform kills the process, before the remaining tasks have ended.
async fn end_services(mut services: JoinHandle<()>) -> bool {
    if timeout(SERVICES_STOP_TIMEOUT, &mut services).await.is_ok() {
        return true;
    }
    let limit_ms = SERVICES_STOP_TIMEOUT.as_millis();
    log_event!(Level::Warn, "services_cut", limit_ms = limit_ms);
    services.abort();
    // The abort shows as a cancellation error.
    let _ = services.await;
    false
}

/// Waits for a task to end; a panic was already logged by the panic hook.
async fn join_quietly(task: JoinHandle<()>) {
    let _ = task.await;
}

fn start_limits(base: &NodeBase, helpers: &mut JoinSet<()>) -> Arc<AccountLimiter> {
    let settings = &base.settings;
    let limits = Arc::new(AccountLimiter::new(
        base.clock,
        base.id.clone(),
        Duration::from_millis(settings.timing.connect_timeout_ms),
        base.view.clone(),
        LimitTolerance {
            operations: u32::try_from(settings.limits.account_slack).unwrap_or(u32::MAX),
            per_mille: u32::try_from(settings.limits.account_overshoot).unwrap_or(u32::MAX),
        },
        base.metrics.clone(),
    ));
    // Account limits are applied only where groups may be led.
    if settings.roles.leaseholder {
        helpers.spawn(Arc::clone(&limits).run(base.switches.rest.subscribe()));
    }
    limits
}

fn start_manager(
    base: &NodeBase,
    standby: mpsc::Sender<StandbyEvent>,
    unplaced: watch::Sender<Vec<GroupName>>,
    events: mpsc::Receiver<LeaseholderEvent>,
) -> JoinHandle<()> {
    let context = Arc::new(GroupContext {
        settings: Arc::clone(&base.settings),
        clock: base.clock,
        links: base.links.clone(),
        directory: base.directory.clone(),
        standby,
        metrics: base.metrics.clone(),
        descriptors: base.descriptors.clone(),
        handovers: HandoverPlanner::default(),
    });
    let edges = base.edges.clone();
    let manager = LeaseholderManager::new(context, edges, base.view.clone(), unplaced);
    tokio::spawn(manager.run(events, base.switches.leaseholders.subscribe()))
}

fn start_member(
    base: &NodeBase,
    view: watch::Sender<MemberView>,
    unplaced: watch::Receiver<Vec<GroupName>>,
) -> JoinHandle<bool> {
    let member = MemberTask {
        settings: Arc::clone(&base.settings),
        clock: base.clock,
        links: base.links.clone(),
        directory: base.directory.clone(),
        view,
        unplaced,
        draining: base.switches.drain.subscribe(),
        stop: base.switches.member.subscribe(),
        requested_lease: initial_requested_lease(&base.settings),
        pending_grant: None,
    };
    tokio::spawn(member.run(base.id.clone()))
}

fn start_readiness(base: &NodeBase, ready: watch::Sender<bool>, helpers: &mut JoinSet<()>) {
    let watcher = ReadinessTask {
        clock: base.clock,
        metrics: base.metrics.clone(),
        view: base.view.clone(),
        ready,
        stop: base.switches.rest.subscribe(),
        broken_invariants: 0,
    };
    helpers.spawn(watcher.run());
}

fn start_platform_view(
    base: &NodeBase,
    listener: TcpListener,
    ready: watch::Receiver<bool>,
    dump: NodeDump,
    helpers: &mut JoinSet<()>,
) {
    let (dump_sender, dump_requests) = mpsc::channel(DUMP_QUEUE_CAPACITY);
    helpers.spawn(answer_dumps(dump, dump_requests));
    let view = PlatformView {
        ready,
        metrics: base.metrics.clone(),
        dump: dump_sender,
    };
    let platform = start_platform(listener, view, base.switches.rest.subscribe());
    helpers.spawn(async move {
        let _ = platform.await;
    });
}

enum EndCause {
    Drain,
    Superseded,
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, NodeFault> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| NodeFault::Listen(what, error))
}

type ControlHandle = (
    mpsc::Sender<ControlEvent>,
    JoinHandle<Result<(), ControlFault>>,
);

fn start_control(base: &NodeBase) -> Result<Option<ControlHandle>, NodeFault> {
    let settings = &base.settings;
    let Some(folder) = settings
        .data_folder
        .as_ref()
        .filter(|_| settings.roles.control)
    else {
        return Ok(None);
    };
    let incarnation = base.id.incarnation;
    let opened = ControlTask::open(
        Arc::clone(settings),
        base.clock,
        base.links.clone(),
        folder,
        incarnation,
    );
    let (task, sender) = opened.map_err(NodeFault::Control)?;
    let stop = base.switches.rest.subscribe();
    Ok(Some((sender, tokio::spawn(task.run(stop)))))
}

fn start_callers(base: &NodeBase, listener: TcpListener, gateway: Arc<Gateway>) -> JoinHandle<()> {
    let timing = &base.settings.timing;
    let limits = CallerLimits::from_settings(&base.settings.limits, timing.drain_ms);
    let closing = base.switches.callers.subscribe();
    let (service, cancels) = GatewayService::start(gateway, base.clock, base.view.clone(), closing);
    let service = Arc::new(service);
    let metrics = base.metrics.clone();
    let drain = base.switches.callers.subscribe();
    match base.edges.clone() {
        NodeEdges::Postgres => tokio::spawn(async move {
            CallerEdge::new(listener, limits, service, metrics)
                .run(drain)
                .await;
            let _ = cancels.await;
        }),
        NodeEdges::Native(edges) => {
            let edge = SessionEdge {
                listener,
                limits,
                protocol: edges.callers,
                service,
                metrics,
                vm: base.settings.vm.clone(),
                isolation_limit: ISOLATION_LIMIT,
            };
            tokio::spawn(async move {
                edge.run(drain).await;
                let _ = cancels.await;
            })
        }
    }
}

/// Starts the services of a native edge; the PostgreSQL edge has none.
fn start_services(base: &NodeBase, services: NodeServices) -> Option<JoinHandle<()>> {
    let NodeEdges::Native(edges) = base.edges.clone() else {
        return None;
    };
    let stop = base.switches.rest.subscribe();
    Some(tokio::spawn(async move {
        if let Err(error) = edges.services.serve(services, stop).await {
            log_event!(Level::Error, "services_failed", error = error);
        }
    }))
}

fn start_formation(
    base: &NodeBase,
    control: mpsc::Sender<ControlEvent>,
    helpers: &mut JoinSet<()>,
) {
    if base.settings.formation.is_none() {
        return;
    }
    let formation = FormationTask {
        settings: Arc::clone(&base.settings),
        links: base.links.clone(),
        directory: base.directory.clone(),
        control,
        stop: base.switches.rest.subscribe(),
    };
    helpers.spawn(formation.run());
}

/// Reads the seeds of a native edge again at an interval and on SIGHUP, and publishes changes.
fn start_seed_watch(
    base: &NodeBase,
    seeds: watch::Sender<Vec<SocketAddr>>,
    helpers: &mut JoinSet<()>,
) {
    let edges = base.edges.clone();
    let mut stop = base.switches.rest.subscribe();
    helpers.spawn(async move {
        let NodeEdges::Native(edges) = edges else {
            let _ = stop.wait_for(|set| *set).await;
            return;
        };
        let mut reloads = signal(SignalKind::hangup()).ok();
        loop {
            let hangup = async {
                match &mut reloads {
                    Some(signals) => signals.recv().await.is_some(),
                    None => std::future::pending().await,
                }
            };
            let by_signal = tokio::select! {
                hangup = hangup => hangup,
                () = sleep(SEED_READ_INTERVAL) => false,
                _ = stop.wait_for(|set| *set) => return,
            };
            let read = edges.services.read_seeds();
            let changed = read.is_some_and(|fresh| {
                seeds.send_if_modified(|known| {
                    let changed = *known != fresh;
                    *known = fresh;
                    changed
                })
            });
            if by_signal || changed {
                log_event!(Level::Info, "settings_reloaded", seeds_changed = changed);
            }
        }
    });
}

/// Waits for SIGTERM, an operator's drain, or the end of the membership task.
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
            // The VM reports at once that it isn't ready; its callers' connections are closed
            // later.
            drain.send_replace(true);
            EndCause::Drain
        }
        _ = drained.wait_for(|set| *set) => EndCause::Drain,
        _ = member => EndCause::Superseded,
    }
}

/// Waits until this VM leads no group, or no other VM could take one over, for at most the drain
/// time.
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
