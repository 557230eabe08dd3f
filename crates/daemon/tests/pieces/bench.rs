//! A group's leaseholder with three stand-in endpoints, two standbys and a hand-made catalog.

use crate::cases::wait_until;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use ragwort_control::CatalogCopy;
use ragwort_control::MemberLease;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::faults::FaultRequest;
use ragwort_lab::instance::FollowTarget;
use ragwort_lab::relay::CutRelay;
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

/// A deadline that is meant to run out, in milliseconds.
pub const SHORT_MS: u64 = 400;

/// The kinds of the bench's contract.
pub const GRANT: &str = "grant";
pub const UPDATE: &str = "update";
pub const STATUS: &str = "status";
pub const FRESH: &str = "fresh";

/// An address at which nobody answers.
pub const NOWHERE: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    1,
));

pub const FIRST_TERM: GroupTerm = GroupTerm(1);

/// Creates the contract: writes that are never repeated by default.
pub fn create_contract() -> CustomerContract {
    let read = KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 0,
        deadline_ms: LONG_MS,
        target_ms: None,
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
    }
}

/// Creates the record of the group as it stands in its first term.
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
    }
}

/// Creates what a VM knows: the contract, three members at these addresses, the group's record.
pub fn create_view(addresses: [SocketAddr; 3], record: &GroupRecord, lease: bool) -> MemberView {
    create_view_with(addresses, [None; 3], record, lease)
}

/// The same, and the addresses at which the members take statements.
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
        caller_changes: 0,
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

/// Creates the settings of `vm-1` with a control VM that commits confirmations of journals only.
///
/// Endpoints announce themselves only when a test says so; in most they may be silent for the whole
/// case.
fn create_settings(timing: &str, control: SocketAddr) -> DaemonSettings {
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

/// What is asked of the leaseholder.
#[derive(Clone, Debug)]
pub struct Ask {
    pub text: String,
    pub session: SessionName,
    pub marks: RequestMarks,
    pub step: TransactionStep,
}

impl Ask {
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

/// The running leaseholder `vm-1` and all around it.
pub struct GroupBench {
    pub endpoints: Vec<LabEndpoint>,
    pub data_relay: Option<CutRelay>,
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
    pub async fn start() -> Self {
        Self::start_with("announce_lost_ms: 60000").await
    }

    /// Starts with these settings of the times.
    pub async fn start_with(timing: &str) -> Self {
        let mut endpoints = Vec::new();
        for index in 1..=3 {
            let settings = EndpointSettings::quick(&format!("cases-{index}"), index == 1);
            endpoints.push(LabEndpoint::start(&settings).await.unwrap());
        }
        form_first_term(&endpoints).await;
        let relay = CutRelay::start(endpoints[0].data_address(), Duration::ZERO);
        let relay = relay.await.unwrap();

        let record = create_record("vm-1", 1);
        let nobody = create_view([NOWHERE; 3], &record, true);
        let (view, _) = watch::channel(nobody);
        let (own, own_task) = spawn_standby("vm-1".into(), view.subscribe());
        let mut standbys = Vec::new();
        let mut standby_tasks = vec![own_task];
        for vm in ["vm-2", "vm-3"] {
            let (sender, task) = spawn_standby(vm.into(), view.subscribe());
            standbys.push(FakePeer::start_standby(sender).await);
            standby_tasks.push(task);
        }
        let addresses = [NOWHERE, standbys[0].address, standbys[1].address];
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
            standby: own,
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

    /// Ends the leaseholder without a word, as when its process is killed, and starts its
    /// successor under the next epoch.
    pub async fn replace_leaseholder(&mut self) {
        self.task.abort();
        // Until it has ended it could still see that its inbox closes, and answer what it has.
        let _ = (&mut self.task).await;
        let previous = self.record.placement.clone();
        self.record = create_record("vm-1", previous.epoch.0 + 1);
        let addresses = [NOWHERE, self.standbys[0].address, self.standbys[1].address];
        let view = create_view(addresses, &self.record, true);
        self.view.send_replace(view);
        let (inbox, events) = mpsc::channel(64);
        self.inbox = inbox;
        let (context, record) = (self.context.clone(), self.record.clone());
        let receiver = self.view.subscribe();
        self.task = spawn_group(context, record, Some(previous), receiver, events);
        self.wait_serving().await;
    }

    /// Lets all endpoints announce themselves once.
    pub async fn announce_all(&self) {
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            self.announce_at(index, endpoint.agent_address()).await;
        }
    }

    /// Lets an endpoint announce itself with this address of its agent.
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

    /// Waits until the journal is recovered and the primary serves.
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

    pub async fn dump(&self) -> serde_json::Value {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(GroupEvent::Dump(reply)).await.unwrap();
        answer.await.unwrap()
    }

    /// Hands a statement to the leaseholder; the reply comes by itself.
    pub async fn send(&self, ask: Ask) -> oneshot::Receiver<StatementReply> {
        self.send_request(ask.into_request()).await
    }

    pub async fn send_request(
        &self,
        request: StatementRequest,
    ) -> oneshot::Receiver<StatementReply> {
        let (reply, answer) = oneshot::channel();
        let event = GroupEvent::Statement(Box::new(request), reply);
        self.inbox.send(event).await.unwrap();
        answer
    }

    /// Hands a statement to the leaseholder as the manager of its VM does; `None` if it takes no more.
    pub fn try_send(&self, request: StatementRequest) -> Option<oneshot::Receiver<StatementReply>> {
        let (reply, answer) = oneshot::channel();
        let event = GroupEvent::Statement(Box::new(request), reply);
        self.inbox.try_send(event).ok().map(|()| answer)
    }

    /// Returns what leaseholders of the VM work with.
    pub fn context(&self) -> Arc<GroupContext> {
        Arc::clone(&self.context)
    }

    /// Shows the leaseholder that another VM leads the group.
    pub fn place_elsewhere(&self) {
        let addresses = [NOWHERE, self.standbys[0].address, self.standbys[1].address];
        let record = create_record("vm-2", self.record.placement.epoch.0 + 1);
        self.view
            .send_replace(create_view(addresses, &record, true));
    }

    /// Cancels a statement.
    pub async fn cancel(&self, id: StatementId) {
        self.inbox.send(GroupEvent::Cancel(id)).await.unwrap();
    }

    pub async fn ask(&self, ask: Ask) -> StatementReply {
        self.send(ask).await.await.unwrap()
    }

    pub async fn set_fault(&self, index: usize, fault: FaultRequest) {
        self.endpoints[index].shared().set_fault(fault).await;
    }

    /// Ends replication: nothing that the primary writes from now on reaches a replica.
    pub async fn cut_replication(&self, cut: bool) {
        for replica in [1, 2] {
            let fault = FaultRequest::CutReplication(cut);
            self.set_fault(replica, fault).await;
        }
    }

    /// Waits until so many statements run at the primary.
    pub async fn wait_running(&self, count: usize) {
        let slots = &self.endpoints[0].shared().slots;
        wait_until(|| slots.available_permits() == 2 - count).await;
    }

    /// Returns how often the primary has committed writes.
    pub async fn count_commits(&self) -> usize {
        let log = self.endpoints[0].shared().instance.read_log().await;
        let commits = log.iter().filter(|entry| !entry.writes.is_empty());
        commits.count()
    }

    /// Breaks the connections to the primary for good.
    pub async fn lose_connections(&mut self) {
        self.data_relay.take().unwrap().stop().await;
    }

    /// Lets each standby be expected where the other one answers.
    pub fn exchange_standbys(&self) {
        let addresses = [NOWHERE, self.standbys[1].address, self.standbys[0].address];
        let mut record = self.record.clone();
        record.placement.epoch = PlacementEpoch(self.record.placement.epoch.0 + 1);
        self.view
            .send_replace(create_view(addresses, &record, true));
    }

    /// Ends this VM's lease.
    pub fn end_lease(&self) {
        self.view.send_modify(|view| view.lease.supersede());
    }

    /// Stops everything and joins it.
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

/// Brings the endpoints to where the record says that they are.
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

/// Returns the answer of one row and one column.
pub fn one_value(column: &str, value: &str) -> StatementAnswer {
    StatementAnswer::Rows(RowSet {
        columns: vec![column.to_owned()],
        rows: vec![vec![Some(value.to_owned())]],
    })
}

/// Returns a gateway's links over which all statements go as remote calls.
pub fn plain_links(peers: PeerLinks) -> GatewayLinks {
    GatewayLinks {
        peers,
        statements: StatementLinks::new(NodeClock::start(), Duration::from_secs(5)),
        vm: "gateway".into(),
        domain: "windhoek-a".into(),
    }
}
