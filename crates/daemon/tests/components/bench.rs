//! The test bench of a group: its leaseholder's task, three lab endpoints, two standbys and a
//! control VM as test doubles, and a catalog that the test publishes itself.

use crate::cases::wait_until;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use ragwort_control::CatalogCopy;
use ragwort_control::MemberLease;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::faults::FaultRequest;
use ragwort_lab::instance::FollowTarget;
use ragwort_lab::relay::FaultRelay;
use ragwort_types::AccessMode;
use ragwort_types::CallerRule;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::KindTerms;
use ragwort_types::LeaseGrant;
use ragwort_types::LengthClass;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::RepeatRule;
use ragwort_types::RequestKey;
use ragwort_types::RequestMarks;
use ragwort_types::RowSet;
use ragwort_types::SessionName;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionStep;
use ragwort_types::UrgencyClass;
use ragwort_types::VersionedContract;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::descriptors::DescriptorBudget;
use ragwortgated::directory::ControlDirectory;
use ragwortgated::gateway::GatewayLinks;
use ragwortgated::group::GroupContext;
use ragwortgated::group::GroupEvent;
use ragwortgated::group::spawn_group;
use ragwortgated::handover_plans::HandoverPlanner;
use ragwortgated::member::MemberView;
use ragwortgated::metrics::DaemonMetrics;
use ragwortgated::peers::PeerLinks;
use ragwortgated::settings::DaemonSettings;
use ragwortgated::standby::spawn_standby;
use ragwortgated::statements::links::StatementLinks;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A deadline that no healthy statement comes near, in milliseconds.
pub const LONG_MS: u64 = 50_000;

/// A deadline that a test lets expire, in milliseconds.
pub const SHORT_MS: u64 = 400;

/// The default kind: a write that must not be repeated.
pub const GRANT: &str = "grant";
/// The kind of idempotent writes.
pub const UPDATE: &str = "update";
/// The kind of reads that accept answers up to [`LONG_MS`] old, so that replicas may serve them.
pub const STATUS: &str = "status";
/// The kind of reads that accept no staleness.
pub const FRESH: &str = "fresh";

/// An address at which nothing listens.
pub const UNREACHABLE_ADDRESS: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    1,
));

/// The term in which the bench's group starts, with `cases-1` as its primary.
pub const FIRST_TERM: GroupTerm = GroupTerm(1);

/// Creates the customer's contract with the four kinds; requests without a kind are [`GRANT`]s.
pub fn create_contract() -> CustomerContract {
    let read = KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 0,
        deadline_ms: LONG_MS,
        target_ms: None,
        priority: None,
    };
    let write = KindTerms {
        access: AccessMode::Write,
        repeat: RepeatRule::Never,
        ..read
    };
    let update = KindTerms {
        repeat: RepeatRule::Idempotent,
        ..write
    };
    let status = KindTerms {
        max_age_ms: LONG_MS,
        ..read
    };
    let kinds = [
        (GRANT, write),
        (UPDATE, update),
        (STATUS, status),
        (FRESH, read),
    ];
    CustomerContract {
        customer: "omuti".into(),
        groups: vec!["cases".into()],
        kinds: kinds.map(|(name, terms)| (name.into(), terms)).into(),
        default_kind: GRANT.into(),
        slot_share: 1,
        connection_limit: 4,
        queue_limit: 64,
        session_limit: 64,
        callers: CallerRule::default(),
        share_group: None,
    }
}

/// Creates the group's catalog record in its first term, with the other two VMs as standbys.
pub fn create_record(leaseholder: &str, epoch: u64) -> GroupRecord {
    let others = ["vm-1", "vm-2", "vm-3"];
    let standbys = others.into_iter().filter(|vm| *vm != leaseholder);
    GroupRecord {
        placement: GroupPlacement {
            group: "cases".into(),
            epoch: PlacementEpoch(epoch),
            leaseholder: leaseholder.into(),
            standbys: standbys.map(Into::into).collect(),
        },
        term: FIRST_TERM,
        term_epoch: PlacementEpoch(1),
        primary: Some("cases-1".into()),
        start: LogPosition::new(FIRST_TERM, 0),
        instances: (1..=3).map(|one| format!("cases-{one}").into()).collect(),
        journal_epoch: PlacementEpoch(epoch.saturating_sub(1)),
        endpoints: Vec::new(),
        orders: Vec::new(),
    }
}

/// Creates a VM's view of the catalog: the contract, three members with these peer addresses and
/// the group's record. The VM holds a lease of an hour if `lease` is set.
pub fn create_view(addresses: [SocketAddr; 3], record: &GroupRecord, lease: bool) -> MemberView {
    create_view_with(addresses, [None; 3], record, lease)
}

/// Like [`create_view`], and sets the members' addresses for statement links.
pub fn create_view_with(
    addresses: [SocketAddr; 3],
    statements: [Option<SocketAddr>; 3],
    record: &GroupRecord,
    lease: bool,
) -> MemberView {
    let contract = VersionedContract {
        version: ContractVersion(1),
        change_id: ChangeId::fresh(),
        contract: create_contract(),
    };
    let mut items = vec![
        CatalogItem::Contract(Box::new(contract)),
        CatalogItem::Group(Box::new(record.clone())),
    ];
    for (index, address) in addresses.into_iter().enumerate() {
        let member = MemberRecord {
            id: MemberId {
                vm: format!("vm-{}", index + 1).into(),
                incarnation: VmIncarnation(1),
            },
            domain: "windhoek-a".into(),
            peer_address: address,
            statement_address: statements[index],
            lease_ms: 0,
            draining: false,
            traits: MemberTraits::default(),
        };
        items.push(CatalogItem::Member(member));
    }
    let revision = CatalogRevision(record.placement.epoch.0);
    let mut copy = CatalogCopy::new();
    let delta = CatalogDelta {
        from: None,
        to: revision,
        items,
    };
    copy.apply_delta(&delta).unwrap();
    let mut view = MemberView {
        copy: Arc::new(copy),
        lease: MemberLease::new(),
        draining: false,
        admission_changes: 0,
    };
    if lease {
        let grant = LeaseGrant {
            lease_ms: 3_600_000,
            revision,
            delta: None,
        };
        view.lease.renew(Default::default(), &grant, revision);
    }
    view
}

/// Creates the settings of `vm-1`, whose one control VM is at `control`.
///
/// Endpoints announce themselves only when a test calls for it. `timing` therefore usually sets an
/// announcement timeout that is longer than the whole case.
pub fn create_settings(timing: &str, control: SocketAddr) -> DaemonSettings {
    let text = "
vm: vm-1
domain: windhoek-a
roles: { gateway: true }
listen: { callers: 127.0.0.1:1, peers: 127.0.0.1:2, platform: 127.0.0.1:3 }
control:
  - { vm: vm-9, address: CONTROL }
timing: { TIMING }
";
    let text = text.replace("TIMING", timing);
    DaemonSettings::from_yaml(&text.replace("CONTROL", &control.to_string())).unwrap()
}

/// Builds a [`StatementRequest`] of the bench's customer to its group.
#[derive(Clone, Debug)]
pub struct RequestBuilder {
    pub text: String,
    pub session: SessionName,
    pub marks: RequestMarks,
    pub step: TransactionStep,
}

impl RequestBuilder {
    /// Starts with a single statement of session `clerk`, outside any transaction.
    pub fn new(kind: &str, text: &str) -> Self {
        Self {
            text: text.to_owned(),
            session: "clerk".into(),
            marks: RequestMarks {
                kind: Some(kind.into()),
                ..RequestMarks::default()
            },
            step: TransactionStep::Single,
        }
    }

    pub fn key(mut self, key: RequestKey) -> Self {
        self.marks.key = Some(key);
        self
    }

    pub fn deadline(mut self, millis: u64) -> Self {
        self.marks.deadline_ms = Some(millis);
        self
    }

    pub fn max_age(mut self, millis: u64) -> Self {
        self.marks.max_age_ms = Some(millis);
        self
    }

    pub fn session(mut self, session: &str) -> Self {
        self.session = session.into();
        self
    }

    pub fn step(mut self, step: TransactionStep) -> Self {
        self.step = step;
        self
    }

    pub fn into_request(self) -> StatementRequest {
        StatementRequest {
            context: None,
            id: StatementId::fresh(),
            customer: "omuti".into(),
            session: self.session,
            group: "cases".into(),
            marks: self.marks,
            text: self.text,
            parameters: None,
            step: self.step,
            spent_ms: 0,
            waited_ms: 0,
            account: None,
            proof: None,
        }
    }
}

/// A running leaseholder on `vm-1`, and the endpoints, standbys and control VM that it works with.
pub struct GroupBench {
    pub endpoints: Vec<LabEndpoint>,
    /// Relays the leaseholder's connections to the primary, so that a test can break them.
    pub data_relay: Option<FaultRelay>,
    pub standbys: Vec<FakePeer>,
    control: FakePeer,
    pub view: watch::Sender<MemberView>,
    pub inbox: mpsc::Sender<GroupEvent>,
    pub clock: NodeClock,
    pub links: PeerLinks,
    context: Arc<GroupContext>,
    record: GroupRecord,
    task: JoinHandle<()>,
    standby_tasks: Vec<JoinHandle<()>>,
}

impl GroupBench {
    /// Starts the bench with an announcement timeout of 60 s and waits until the leaseholder
    /// serves.
    pub async fn start() -> Self {
        Self::start_with("announce_lost_ms: 60000").await
    }

    /// Starts the bench with these entries of the `timing` section.
    pub async fn start_with(timing: &str) -> Self {
        let mut endpoints = Vec::new();
        for index in 1..=3 {
            let settings = EndpointSettings::quick(&format!("cases-{index}"), index == 1);
            endpoints.push(LabEndpoint::start(&settings).await.unwrap());
        }
        form_first_term(&endpoints).await;
        let relay = FaultRelay::start(endpoints[0].data_address(), Duration::ZERO);
        let relay = relay.await.unwrap();

        let record = create_record("vm-1", 1);
        let initial_view = create_view([UNREACHABLE_ADDRESS; 3], &record, true);
        let (view, _) = watch::channel(initial_view);
        let (own_standby, own_task) = spawn_standby("vm-1".into(), view.subscribe());
        let mut standbys = Vec::new();
        let mut standby_tasks = vec![own_task];
        for vm in ["vm-2", "vm-3"] {
            let (sender, task) = spawn_standby(vm.into(), view.subscribe());
            standbys.push(FakePeer::start_standby(sender).await);
            standby_tasks.push(task);
        }
        let addresses = [
            UNREACHABLE_ADDRESS,
            standbys[0].address,
            standbys[1].address,
        ];
        view.send_replace(create_view(addresses, &record, true));

        let clock = NodeClock::start();
        let links = PeerLinks::new(Duration::from_secs(5));
        let control = FakePeer::start(PeerScript::Hang).await;
        let settings = Arc::new(create_settings(timing, control.address));
        let (_, seeds) = watch::channel(Vec::new());
        let directory = ControlDirectory::new(settings.clone(), seeds, view.subscribe());
        let context = GroupContext {
            settings,
            directory,
            clock,
            links: links.clone(),
            standby: own_standby,
            handovers: HandoverPlanner::default(),
            descriptors: DescriptorBudget::new(u32::MAX, &DaemonMetrics::new()),
            metrics: DaemonMetrics::new(),
        };
        let context = Arc::new(context);
        let (inbox, events) = mpsc::channel(64);
        let receiver = view.subscribe();
        let task = spawn_group(context.clone(), record.clone(), None, receiver, events);
        let bench = Self {
            endpoints,
            data_relay: Some(relay),
            standbys,
            control,
            view,
            inbox,
            clock,
            links,
            context,
            record,
            task,
            standby_tasks,
        };
        bench.wait_serving().await;
        bench
    }

    /// Aborts the leaseholder's task, as when its process is killed, and starts its successor under
    /// the next epoch.
    pub async fn replace_leaseholder(&mut self) {
        self.task.abort();
        // An aborted task runs on to its next await point. It must be gone before its inbox closes,
        // or it could still answer its pending statements.
        let _ = (&mut self.task).await;
        let previous = self.record.placement.clone();
        self.record = create_record("vm-1", previous.epoch.0 + 1);
        let addresses = [
            UNREACHABLE_ADDRESS,
            self.standbys[0].address,
            self.standbys[1].address,
        ];
        let view = create_view(addresses, &self.record, true);
        self.view.send_replace(view);
        let (inbox, events) = mpsc::channel(64);
        self.inbox = inbox;
        let (context, record) = (self.context.clone(), self.record.clone());
        let receiver = self.view.subscribe();
        self.task = spawn_group(context, record, Some(previous), receiver, events);
        self.wait_serving().await;
    }

    /// Sends one announcement of each endpoint to the leaseholder.
    pub async fn announce_all(&self) {
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            self.announce_at(index, endpoint.agent_address()).await;
        }
    }

    /// Sends an announcement of an endpoint with this agent address to the leaseholder.
    pub async fn announce_at(&self, index: usize, agent_address: SocketAddr) {
        let endpoint = &self.endpoints[index];
        let data_address = match (index, &self.data_relay) {
            (0, Some(relay)) => relay.address(),
            _ => endpoint.data_address(),
        };
        let announcement = EndpointAnnouncement {
            started_ms: 0,
            sequence: 0,
            group: "cases".into(),
            instance: format!("cases-{}", index + 1).into(),
            domain: "windhoek-a".into(),
            data_address,
            agent_address,
            slots: 2,
            connections: 16,
            status: endpoint.shared().instance.status(),
        };
        let event = GroupEvent::Announced(Box::new(announcement));
        self.inbox.send(event).await.unwrap();
    }

    /// Waits until the journal is recovered, the leaseholder serves and a connection to the primary
    /// is open.
    pub async fn wait_serving(&self) {
        loop {
            self.announce_all().await;
            let dump = self.dump().await;
            if dump["serving"] == true && dump["connections"]["cases-1"].as_u64() > Some(0) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Returns the leaseholder's state dump.
    pub async fn dump(&self) -> serde_json::Value {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(GroupEvent::Dump(reply)).await.unwrap();
        answer.await.unwrap()
    }

    /// Sends a statement to the leaseholder; the receiver yields its reply.
    pub async fn send(&self, builder: RequestBuilder) -> oneshot::Receiver<StatementReply> {
        self.send_request(builder.into_request()).await
    }

    /// Like [`Self::send`], for a request whose id the test needs.
    pub async fn send_request(
        &self,
        request: StatementRequest,
    ) -> oneshot::Receiver<StatementReply> {
        let (reply, answer) = oneshot::channel();
        let event = GroupEvent::Statement(Box::new(request), reply);
        self.inbox.send(event).await.unwrap();
        answer
    }

    /// Sends a statement without waiting, as the VM's leaseholder manager does; `None` if the
    /// leaseholder's inbox is full or closed.
    pub fn try_send(&self, request: StatementRequest) -> Option<oneshot::Receiver<StatementReply>> {
        let (reply, answer) = oneshot::channel();
        let event = GroupEvent::Statement(Box::new(request), reply);
        self.inbox.try_send(event).ok().map(|()| answer)
    }

    /// Returns the resources that the VM's leaseholders share.
    pub fn context(&self) -> Arc<GroupContext> {
        Arc::clone(&self.context)
    }

    /// Publishes a catalog in which `vm-2` leads the group, under the next epoch.
    pub fn place_elsewhere(&self) {
        let addresses = [
            UNREACHABLE_ADDRESS,
            self.standbys[0].address,
            self.standbys[1].address,
        ];
        let record = create_record("vm-2", self.record.placement.epoch.0 + 1);
        self.view
            .send_replace(create_view(addresses, &record, true));
    }

    /// Cancels a statement.
    pub async fn cancel(&self, id: StatementId) {
        self.inbox.send(GroupEvent::Cancel(id)).await.unwrap();
    }

    /// Sends a statement and waits for its reply.
    pub async fn execute(&self, builder: RequestBuilder) -> StatementReply {
        self.send(builder).await.await.unwrap()
    }

    /// Sets a fault of one endpoint.
    pub async fn set_fault(&self, index: usize, fault: FaultRequest) {
        self.endpoints[index].shared().set_fault(fault).await;
    }

    /// Cuts or restores replication to both replicas.
    pub async fn cut_replication(&self, cut: bool) {
        for replica in [1, 2] {
            let fault = FaultRequest::CutReplication(cut);
            self.set_fault(replica, fault).await;
        }
    }

    /// Waits until exactly `count` statements run at the primary.
    pub async fn wait_running(&self, count: usize) {
        let slots = &self.endpoints[0].shared().slots;
        wait_until(|| slots.available_permits() == 2 - count).await;
    }

    /// Returns the number of commits with writes in the primary's log.
    pub async fn count_commits(&self) -> usize {
        let log = self.endpoints[0].shared().instance.read_log().await;
        let commits = log.iter().filter(|entry| !entry.writes.is_empty());
        commits.count()
    }

    /// Breaks the connections to the primary and refuses new ones.
    pub async fn break_connections(&mut self) {
        self.data_relay.take().unwrap().stop().await;
    }

    /// Publishes a catalog in which the addresses of the two standbys are swapped.
    pub fn swap_standby_addresses(&self) {
        let addresses = [
            UNREACHABLE_ADDRESS,
            self.standbys[1].address,
            self.standbys[0].address,
        ];
        let mut record = self.record.clone();
        record.placement.epoch = PlacementEpoch(self.record.placement.epoch.0 + 1);
        self.view
            .send_replace(create_view(addresses, &record, true));
    }

    /// Ends this VM's lease by superseding it.
    pub fn end_lease(&self) {
        self.view.send_modify(|view| view.lease.supersede());
    }

    /// Stops the leaseholder, the test doubles and the endpoints, and joins their tasks.
    pub async fn stop(self) {
        drop(self.inbox);
        self.task.await.unwrap();
        drop(self.context);
        for standby in self.standbys {
            standby.stop().await;
        }
        self.control.stop().await;
        for task in self.standby_tasks {
            task.await.unwrap();
        }
        if let Some(relay) = self.data_relay {
            relay.stop().await;
        }
        for endpoint in self.endpoints {
            endpoint.stop().await;
        }
    }
}

/// Makes the first endpoint the primary of the first term, and the others its replicas, as the
/// record says.
async fn form_first_term(endpoints: &[LabEndpoint]) {
    for endpoint in endpoints {
        endpoint.shared().instance.fence(FIRST_TERM).await;
    }
    let primary = &endpoints[0];
    primary.shared().instance.promote(FIRST_TERM, 0).await;
    let target = FollowTarget {
        term: FIRST_TERM,
        primary_agent: primary.agent_address(),
    };
    for replica in &endpoints[1..] {
        replica.shared().instance.follow(target).await;
    }
}

/// Returns an answer of one row with one column.
pub fn one_value(column: &str, value: &str) -> StatementAnswer {
    StatementAnswer::Rows(RowSet {
        columns: vec![column.to_owned()],
        rows: vec![vec![Some(value.to_owned())]],
    })
}

/// Returns a gateway's links. Statements to members without a statement address go as peer calls.
pub fn plain_links(peers: PeerLinks) -> GatewayLinks {
    GatewayLinks {
        peers,
        statements: StatementLinks::new(NodeClock::start(), Duration::from_secs(5)),
        vm: "gateway".into(),
        domain: "windhoek-a".into(),
    }
}
