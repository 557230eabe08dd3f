//! A test bench: a running leaseholder task with scripted endpoints, a constructed catalog view,
//! and stand-ins for the control VM and the promotion service.

use crate::cases::wait_until;
use crate::catalog::KNOWN_ACCOUNT;
use crate::catalog::KNOWN_KEY;
use crate::catalog::create_contract;
use crate::catalog::create_record;
use crate::catalog::create_synchronous_terms;
use crate::catalog::create_terms;
use crate::catalog::create_view;
use crate::catalog::create_view_at;
use crate::codec::LineProtocol;
use crate::endpoint::SLOTS;
use crate::endpoint::ScriptedEndpoint;
use async_trait::async_trait;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use ragwort_control::MemberLease;
use ragwort_types::AccessMode;
use ragwort_types::AccountName;
use ragwort_types::AccountTerms;
use ragwort_types::CallerRule;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerName;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::GroupTerms;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::KeyDigest;
use ragwort_types::LogPosition;
use ragwort_types::PlacementEpoch;
use ragwort_types::RecordedEndpoints;
use ragwort_types::RecordedOrder;
use ragwort_types::RequestMarks;
use ragwort_types::RequestVerdict;
use ragwort_types::SessionContext;
use ragwort_types::SessionValues;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementOperation;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionMode;
use ragwort_types::TransactionStep;
use ragwort_types::VersionedContract;
use ragwortgated::clock::NodeClock;
use ragwortgated::descriptors::DescriptorBudget;
use ragwortgated::descriptors::DescriptorUse;
use ragwortgated::directory::ControlDirectory;
use ragwortgated::edges::CallerAnswer;
use ragwortgated::edges::CallerMessage;
use ragwortgated::edges::CallerProtocol;
use ragwortgated::edges::NativeEdges;
use ragwortgated::edges::NodeServices;
use ragwortgated::edges::PromotionOrder;
use ragwortgated::edges::PromotionReply;
use ragwortgated::edges::PromotionService;
use ragwortgated::edges::ProtocolFault;
use ragwortgated::edges::ServiceEdge;
use ragwortgated::group::GroupContext;
use ragwortgated::group::GroupEvent;
use ragwortgated::handover_plans::HandoverPlanner;
use ragwortgated::member::MemberView;
use ragwortgated::metrics::DaemonMetrics;
use ragwortgated::native::spawn_native_group;
use ragwortgated::peers::PeerLinks;
use ragwortgated::settings::DaemonSettings;
use ragwortgated::standby::spawn_standby;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Deadline of statements in milliseconds, far beyond the time that a working leaseholder needs.
pub const LONG_MS: u64 = 30_000;

/// Settings with which no endpoint counts as silent and no connection as idle during a case.
pub const LONG_TIMING: &str = "announce_lost_ms: 60000, idle_ping_ms: 60000";

/// The kinds of the contract: reads that allow old data, reads that see all acknowledged writes,
/// and writes.
pub const AGED: &str = "aged";
pub const FRESH: &str = "fresh";
pub const WRITE: &str = "write";

/// A promotion service that records its orders. It replies with the last of `replies`, or accepts
/// the order if there is none.
#[derive(Default)]
pub struct ScriptedPromotions {
    pub orders: Mutex<Vec<PromotionOrder>>,
    pub replies: Mutex<Vec<PromotionReply>>,
}

#[async_trait]
impl PromotionService for ScriptedPromotions {
    async fn promote(&self, order: &PromotionOrder) -> PromotionReply {
        self.orders.lock().unwrap().push(order.clone());
        let reply = self.replies.lock().unwrap().pop();
        reply.unwrap_or(PromotionReply::Accepted)
    }
}

/// Stand-in for the edges that the leaseholder task doesn't use.
struct UnusedEdges;

impl CallerProtocol for UnusedEdges {
    fn decode(&self, _: &mut bytes::BytesMut) -> Result<Option<CallerMessage>, ProtocolFault> {
        Ok(None)
    }

    fn encode(&self, _: &CallerAnswer, _: &mut bytes::BytesMut) {}
}

#[async_trait]
impl ServiceEdge for UnusedEdges {
    async fn serve(&self, _: NodeServices, _: watch::Receiver<bool>) -> io::Result<()> {
        Ok(())
    }

    fn read_seeds(&self) -> Option<Vec<SocketAddr>> {
        None
    }
}

/// A statement to be sent to the leaseholder.
#[derive(Clone, Debug)]
pub struct TestStatement {
    customer: CustomerName,
    kind: &'static str,
    text: String,
    act: StatementOperation,
    step: TransactionStep,
    opens: Option<TransactionMode>,
    values: SessionValues,
    last_write: Option<LogPosition>,
    account: Option<AccountName>,
    proof: Option<KeyDigest>,
}

impl TestStatement {
    pub fn new(kind: &'static str, text: &str) -> Self {
        let access = match kind {
            WRITE => AccessMode::Write,
            _ => AccessMode::Read,
        };
        Self {
            customer: "omuti".into(),
            kind,
            text: text.to_owned(),
            act: StatementOperation::Text(access),
            step: TransactionStep::Single,
            opens: None,
            values: SessionValues::new(),
            last_write: None,
            account: None,
            proof: None,
        }
    }

    pub fn customer(mut self, name: &str) -> Self {
        self.customer = name.into();
        self
    }

    pub fn account(mut self, name: &str) -> Self {
        self.account = Some(name.into());
        self
    }

    pub fn proof(mut self, proof: KeyDigest) -> Self {
        self.proof = Some(proof);
        self
    }

    pub fn last_write(mut self, position: LogPosition) -> Self {
        self.last_write = Some(position);
        self
    }

    pub fn value(mut self, name: &str, value: &str) -> Self {
        self.values.insert(name.to_owned(), value.to_owned());
        self
    }

    pub fn step(mut self, step: TransactionStep) -> Self {
        self.step = step;
        if matches!(step, TransactionStep::Begin(_)) {
            self.opens = Some(TransactionMode::ReadWrite);
        }
        if matches!(step, TransactionStep::Commit(_)) {
            self.act = StatementOperation::Commit;
        }
        self
    }

    /// Lets the transaction that the statement opens be read-only.
    pub fn read_only(mut self) -> Self {
        self.opens = Some(TransactionMode::ReadOnly);
        self
    }

    /// Returns whether the statement belongs to a transaction that is open already.
    pub fn is_within_transaction(&self) -> bool {
        !matches!(
            self.step,
            TransactionStep::Single | TransactionStep::Begin(_)
        )
    }

    fn into_request(self) -> StatementRequest {
        StatementRequest {
            id: StatementId::fresh(),
            customer: self.customer,
            session: "clerk".into(),
            group: "cases".into(),
            marks: RequestMarks {
                kind: Some(self.kind.into()),
                ..RequestMarks::default()
            },
            text: self.text,
            parameters: None,
            step: self.step,
            spent_ms: 0,
            waited_ms: 0,
            account: self.account,
            proof: self.proof,
            context: Some(Box::new(SessionContext {
                caller_id: "a1".to_owned(),
                act: self.act,
                opens: self.opens,
                values: self.values,
                last_write: self.last_write,
            })),
        }
    }
}

/// The recorded endpoints that were proposed to the control VM.
type ProposedEndpoints = Arc<Mutex<Vec<RecordedEndpoints>>>;

/// The running leaseholder task and its surroundings.
pub struct NativeBench {
    pub endpoints: Vec<ScriptedEndpoint>,
    pub promotions: Arc<ScriptedPromotions>,
    pub view: watch::Sender<MemberView>,
    pub metrics: DaemonMetrics,
    descriptors: DescriptorBudget,
    notes: ProposedEndpoints,
    /// Whether the control VM withholds its replies to requests for fencing tokens.
    withholds_tokens: Arc<AtomicBool>,
    terms: GroupTerms,
    inbox: mpsc::Sender<GroupEvent>,
    sequence: u64,
    _control: ServerHandle,
    task: JoinHandle<()>,
    _standby: JoinHandle<()>,
}

pub fn position(index: u64) -> LogPosition {
    LogPosition::new(GroupTerm(1), index)
}

impl NativeBench {
    /// Starts with a primary and two replicas whose logs have these lengths. None is announced yet.
    pub async fn start(lengths: [u64; 3]) -> Self {
        Self::start_after(lengths, u32::MAX, LONG_TIMING, |_| create_record()).await
    }

    /// Starts as [`start`](Self::start) does, with these settings of `timing`.
    pub async fn start_with_timing(lengths: [u64; 3], timing: &str) -> Self {
        Self::start_after(lengths, u32::MAX, timing, |_| create_record()).await
    }

    /// Starts as [`start`](Self::start) does, in a process with this limit of descriptors.
    pub async fn start_with_descriptors(lengths: [u64; 3], limit: u32) -> Self {
        Self::start_after(lengths, limit, LONG_TIMING, |_| create_record()).await
    }

    /// Starts with a primary and two replicas that a former leaseholder noted in the catalog, in
    /// `term`.
    pub async fn start_with_notes(lengths: [u64; 3], term: u64) -> Self {
        Self::start_after(lengths, u32::MAX, LONG_TIMING, |endpoints| {
            note_endpoints(endpoints, term)
        })
        .await
    }

    /// Starts with noted endpoints, of which the primary has failed together with the former
    /// leaseholder.
    pub async fn start_with_dead_primary(lengths: [u64; 3]) -> Self {
        Self::start_after(lengths, u32::MAX, LONG_TIMING, note_dead_primary).await
    }

    /// Starts as [`start`](Self::start) does, with one synchronous replica and these settings of
    /// `timing`.
    pub async fn start_synchronous(lengths: [u64; 3], timing: &str) -> Self {
        let terms = create_synchronous_terms();
        Self::start_in(terms, lengths, u32::MAX, timing, |_| create_record()).await
    }

    /// Starts as [`start_with_dead_primary`](Self::start_with_dead_primary) does, with one
    /// synchronous replica, after the endpoints were prepared.
    pub async fn start_synchronous_with_dead_primary(
        lengths: [u64; 3],
        prepare: impl FnOnce(&[ScriptedEndpoint]),
    ) -> Self {
        let terms = create_synchronous_terms();
        Self::start_in(terms, lengths, u32::MAX, LONG_TIMING, |endpoints| {
            prepare(endpoints);
            note_dead_primary(endpoints)
        })
        .await
    }

    /// Starts with endpoints that a former leaseholder has noted. It has ordered the promotion of
    /// the second one with this fencing token, and the outcome isn't known.
    pub async fn start_after_an_order(
        lengths: [u64; 3],
        synchronous_replicas: u32,
        token: u64,
    ) -> Self {
        let terms = GroupTerms {
            synchronous_replicas,
            ..create_terms()
        };
        Self::start_in(terms, lengths, u32::MAX, LONG_TIMING, |endpoints| {
            let mut record = note_endpoints(endpoints, 1);
            record.orders.push(RecordedOrder {
                instance: "cases-2".into(),
                token,
            });
            record
        })
        .await
    }

    /// Starts with the two replicas that a former leaseholder noted in the catalog before it found
    /// a primary.
    pub async fn start_with_noted_replicas(lengths: [u64; 3]) -> Self {
        Self::start_after(lengths, u32::MAX, LONG_TIMING, |endpoints| {
            let mut record = note_endpoints(endpoints, 0);
            record.endpoints.remove(0);
            record
        })
        .await
    }

    async fn start_after(
        lengths: [u64; 3],
        limit: u32,
        timing: &str,
        create: impl FnOnce(&[ScriptedEndpoint]) -> GroupRecord,
    ) -> Self {
        Self::start_in(create_terms(), lengths, limit, timing, create).await
    }

    async fn start_in(
        terms: GroupTerms,
        lengths: [u64; 3],
        limit: u32,
        timing: &str,
        create: impl FnOnce(&[ScriptedEndpoint]) -> GroupRecord,
    ) -> Self {
        let mut endpoints = Vec::new();
        for (index, length) in lengths.into_iter().enumerate() {
            let role = match index {
                0 => InstanceRole::Primary,
                _ => InstanceRole::Replica,
            };
            let name = format!("cases-{}", index + 1);
            endpoints.push(ScriptedEndpoint::start(&name, role, position(length)).await);
        }
        let notes = ProposedEndpoints::default();
        let withholds_tokens = Arc::new(AtomicBool::new(false));
        let (control_address, control) =
            start_control(Arc::clone(&notes), Arc::clone(&withholds_tokens)).await;
        let settings = Arc::new(create_settings(control_address, timing));
        let record = create(&endpoints);
        let (view, _) = watch::channel(create_view(&terms, &record));
        let (_, seeds) = watch::channel(Vec::new());
        let metrics = DaemonMetrics::new();
        let descriptors = DescriptorBudget::new(limit, &metrics);
        let (standby, standby_task) = spawn_standby("vm-1".into(), view.subscribe());
        let context = Arc::new(GroupContext {
            directory: ControlDirectory::new(Arc::clone(&settings), seeds, view.subscribe()),
            settings,
            clock: NodeClock::start(),
            links: PeerLinks::new(Duration::from_secs(5)),
            standby,
            handovers: HandoverPlanner::default(),
            descriptors: descriptors.clone(),
            metrics: metrics.clone(),
        });
        let promotions = Arc::new(ScriptedPromotions::default());
        let edges = NativeEdges {
            callers: Arc::new(UnusedEdges),
            endpoints: Arc::new(LineProtocol),
            promotions: promotions.clone(),
            services: Arc::new(UnusedEdges),
        };
        let (inbox, events) = mpsc::channel(64);
        let task = spawn_native_group(context, edges, record, view.subscribe(), events);
        Self {
            endpoints,
            promotions,
            view,
            metrics,
            descriptors,
            notes,
            withholds_tokens,
            terms,
            inbox,
            sequence: 0,
            _control: control,
            task,
            _standby: standby_task,
        }
    }

    /// Announces an endpoint in its present state.
    pub async fn announce(&mut self, index: usize, leaving: bool) {
        let address = self.endpoints[index].address;
        self.announce_at(index, leaving, address).await;
    }

    /// Announces an endpoint at an address, which may be another endpoint's.
    pub async fn announce_at(&mut self, index: usize, leaving: bool, address: SocketAddr) {
        self.sequence += 1;
        let mut announcement = describe(&self.endpoints[index], leaving, self.sequence);
        announcement.data_address = address;
        announcement.agent_address = address;
        self.announce_as(announcement).await;
    }

    /// Sends an announcement to the leaseholder.
    pub async fn announce_as(&self, announcement: EndpointAnnouncement) {
        let event = GroupEvent::Announced(Box::new(announcement));
        self.inbox.send(event).await.unwrap();
    }

    /// Returns the announcement number `sequence` of an endpoint's process that started at
    /// `started_ms`.
    pub fn describe_process(
        &self,
        index: usize,
        started_ms: u64,
        sequence: u64,
    ) -> EndpointAnnouncement {
        EndpointAnnouncement {
            started_ms,
            ..describe(&self.endpoints[index], false, sequence)
        }
    }

    /// Announces all endpoints and waits until a write is served.
    pub async fn settle(&mut self) {
        self.settle_without(usize::MAX).await;
    }

    /// Announces all endpoints but one and waits until a write is served.
    pub async fn settle_without(&mut self, left_out: usize) {
        for index in (0..self.endpoints.len()).filter(|index| *index != left_out) {
            self.announce(index, false).await;
        }
        let reply = self.ask(TestStatement::new(WRITE, "write settled")).await;
        assert!(matches!(reply.verdict, RequestVerdict::Ran(_)), "{reply:?}");
    }

    /// Sends a statement and returns the receiver of its reply.
    pub async fn send(&self, statement: TestStatement) -> oneshot::Receiver<StatementReply> {
        let (reply, answer) = oneshot::channel();
        let event = GroupEvent::Statement(Box::new(statement.into_request()), reply);
        self.inbox.send(event).await.unwrap();
        answer
    }

    /// Sends a statement without waiting for room in the queue. Returns `None` if the queue is full
    /// or closed.
    pub fn try_send(&self, statement: TestStatement) -> Option<oneshot::Receiver<StatementReply>> {
        let (reply, answer) = oneshot::channel();
        let event = GroupEvent::Statement(Box::new(statement.into_request()), reply);
        self.inbox.try_send(event).ok().map(|()| answer)
    }

    /// Returns the leaseholder's dump.
    pub async fn dump(&self) -> serde_json::Value {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(GroupEvent::Dump(reply)).await.unwrap();
        answer.await.unwrap()
    }

    /// Sends a statement and waits for its reply.
    pub async fn ask(&self, statement: TestStatement) -> StatementReply {
        self.send(statement).await.await.unwrap()
    }

    /// Polls the leaseholder's dump until a condition holds for it.
    pub async fn wait_for(&self, condition: impl Fn(&serde_json::Value) -> bool) {
        loop {
            if condition(&self.dump().await) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until an endpoint has answered a command that starts with `start`.
    pub async fn wait_for_command(&self, index: usize, start: &str) {
        wait_until(|| {
            let script = self.endpoints[index].script();
            script
                .commands
                .iter()
                .any(|(_, line)| line.starts_with(start))
        })
        .await;
    }

    /// Waits until an endpoint withholds the answer to a command.
    pub async fn wait_for_withheld(&self, index: usize, line: &str) {
        wait_until(|| {
            let script = self.endpoints[index].script();
            script.withheld.iter().any(|held| held == line)
        })
        .await;
    }

    /// Waits until any endpoint withholds the answer to a command that contains this text, and
    /// returns the endpoint's index.
    pub async fn wait_for_any_withheld(&self, text: &str) -> usize {
        let mut found = None;
        wait_until(|| {
            let scripts = self.endpoints.iter().map(ScriptedEndpoint::script);
            let mut held = scripts.map(|script| script.withheld.join("\n"));
            found = held.position(|held| held.contains(text));
            found.is_some()
        })
        .await;
        found.unwrap()
    }

    /// Waits for the first promotion order, and returns its instance's index.
    pub async fn wait_for_order(&self) -> usize {
        let mut found = None;
        wait_until(|| {
            let orders = self.promotions.orders.lock().unwrap();
            found = orders.first().map(|order| order.instance.clone());
            found.is_some()
        })
        .await;
        let found = found.unwrap();
        let scripts = self.endpoints.iter().map(ScriptedEndpoint::script);
        let mut names = scripts.map(|script| script.name.clone());
        names.position(|name| name == found.as_str()).unwrap()
    }

    /// Makes an instance the primary of the next term, and announces it.
    pub async fn promote(&mut self, index: usize) {
        self.lead(index);
        self.announce(index, false).await;
    }

    /// Makes an instance the primary of the next term.
    ///
    /// Its position keeps the term of its last entry until it commits a write.
    pub fn lead(&self, index: usize) {
        let terms = self.endpoints.iter().map(|one| one.script().term);
        let term = terms.max().unwrap().next();
        let mut script = self.endpoints[index].script();
        script.role = InstanceRole::Primary;
        script.term = term;
    }

    /// Places the group at another VM in the leaseholder's view.
    pub fn place_elsewhere(&self) {
        let mut record = create_record();
        record.placement.leaseholder = "vm-2".into();
        record.placement.epoch = PlacementEpoch(2);
        self.view.send_replace(create_view(&self.terms, &record));
    }

    /// Changes the contract so that only callers with an account's key are admitted.
    pub fn require_keys(&self) {
        let mut contract = create_contract();
        contract.callers = CallerRule::KeyHolders;
        let contract = VersionedContract {
            version: ContractVersion(2),
            change_id: ChangeId::fresh(),
            contract,
        };
        let account = AccountTerms {
            name: KNOWN_ACCOUNT.into(),
            seal: Default::default(),
            keys: [KNOWN_KEY].into_iter().collect(),
            limit: None,
        };
        let delta = CatalogDelta {
            from: Some(CatalogRevision(1)),
            to: CatalogRevision(2),
            items: vec![
                CatalogItem::Contract(Box::new(contract)),
                CatalogItem::Account(Box::new(account)),
            ],
        };
        self.view.send_modify(|view| {
            Arc::make_mut(&mut view.copy).apply_delta(&delta).unwrap();
        });
    }

    /// Adds a customer with the bench's contract.
    pub fn add_customer(&self, name: &str) {
        let mut contract = create_contract();
        contract.customer = name.into();
        let contract = VersionedContract {
            version: ContractVersion(1),
            change_id: ChangeId::fresh(),
            contract,
        };
        self.view.send_modify(|view| {
            let revision = view.copy.revision();
            let delta = CatalogDelta {
                from: Some(revision),
                to: revision.next(),
                items: vec![CatalogItem::Contract(Box::new(contract))],
            };
            Arc::make_mut(&mut view.copy).apply_delta(&delta).unwrap();
        });
    }

    /// Changes the configured connection limit of the group's endpoints.
    pub fn limit_connections(&self, connections: u32) {
        self.change_terms(GroupTerms {
            connections,
            ..create_terms()
        });
    }

    /// Changes the configured number of synchronous replicas.
    pub fn require_replicas(&self, synchronous_replicas: u32) {
        self.change_terms(GroupTerms {
            synchronous_replicas,
            ..create_terms()
        });
    }

    fn change_terms(&self, terms: GroupTerms) {
        let delta = CatalogDelta {
            from: Some(CatalogRevision(1)),
            to: CatalogRevision(2),
            items: vec![CatalogItem::GroupTerms(terms)],
        };
        self.view.send_modify(|view| {
            Arc::make_mut(&mut view.copy).apply_delta(&delta).unwrap();
        });
    }

    /// Adds a member that leads no groups.
    pub fn add_gateway(&self, number: u64) {
        self.view.send_modify(|view| {
            let revision = view.copy.revision();
            let mut gateway = view.copy.members().next().unwrap().clone();
            gateway.id.vm = format!("vm-{number}").into();
            gateway.traits.leaseholder = false;
            let delta = CatalogDelta {
                from: Some(revision),
                to: revision.next(),
                items: vec![CatalogItem::Member(gateway)],
            };
            Arc::make_mut(&mut view.copy).apply_delta(&delta).unwrap();
        });
    }

    /// Places the group at the same VM in a later epoch.
    pub fn change_epoch(&self, epoch: u64) {
        let mut record = create_record();
        record.placement.epoch = PlacementEpoch(epoch);
        let view = create_view_at(&self.terms, &record, CatalogRevision(epoch), false);
        self.view.send_replace(view);
    }

    /// Returns whether the leaseholder's task has ended.
    pub fn is_ended(&self) -> bool {
        self.task.is_finished()
    }

    /// Ends the VM's lease.
    pub fn end_lease(&self) {
        self.view
            .send_modify(|view| view.lease = MemberLease::new());
    }

    /// Lets the control VM withhold its replies to requests for fencing tokens, or send them.
    pub fn withhold_tokens(&self, withheld: bool) {
        self.withholds_tokens.store(withheld, Ordering::Relaxed);
    }

    /// Grants the VM a new lease.
    pub fn renew_lease(&self) {
        self.view
            .send_replace(create_view(&self.terms, &create_record()));
    }

    /// Makes the VM drain, so that it hands its groups over.
    pub fn drain(&self) {
        let view = create_view_at(&self.terms, &create_record(), CatalogRevision(2), true);
        self.view.send_replace(view);
    }

    /// Waits until `count` different notes were proposed, and applies the last one to the view.
    pub async fn wait_for_notes(&self, count: usize) {
        wait_until(|| self.count_notes() >= count).await;
        let last = self.notes.lock().unwrap().last().cloned().unwrap();
        let mut record = create_record();
        record.term = last.term;
        record.primary = last.primary;
        record.endpoints = last.endpoints;
        self.view.send_replace(create_view(&self.terms, &record));
    }

    /// Counts the connections to endpoints, open or opening.
    pub fn count_connections(&self) -> u32 {
        self.descriptors.count(DescriptorUse::Endpoints)
    }

    /// Returns the names of the endpoints in the last proposed note.
    pub fn list_noted(&self) -> Vec<String> {
        let notes = self.notes.lock().unwrap();
        let endpoints = notes.last().map(|note| note.endpoints.as_slice());
        let names = endpoints.unwrap_or_default().iter();
        names.map(|one| one.instance.to_string()).collect()
    }

    /// Returns the fencing token up to which the catalog may forget orders, by the last proposed
    /// note.
    pub fn settled_token(&self) -> u64 {
        let notes = self.notes.lock().unwrap();
        notes.last().map_or(0, |note| note.settled_token)
    }

    /// Counts the proposed notes, without those that equal the one before.
    pub fn count_notes(&self) -> usize {
        let mut notes = self.notes.lock().unwrap().clone();
        notes.dedup();
        notes.len()
    }

    /// Counts the runs of a statement on all endpoints together.
    pub fn count_runs(&self, text: &str) -> usize {
        let scripts = self.endpoints.iter().map(ScriptedEndpoint::script);
        scripts
            .map(|script| script.ran.iter().filter(|ran| ran.text == text).count())
            .sum()
    }
}

/// Returns an endpoint's announcement of its present state.
fn describe(endpoint: &ScriptedEndpoint, leaving: bool, sequence: u64) -> EndpointAnnouncement {
    let script = endpoint.script();
    EndpointAnnouncement {
        group: "cases".into(),
        instance: script.name.as_str().into(),
        domain: "north".into(),
        data_address: endpoint.address,
        agent_address: endpoint.address,
        slots: SLOTS as u32,
        connections: 16,
        status: InstanceStatus {
            role: script.role,
            fenced_term: GroupTerm(0),
            position: LogPosition::default(),
            leaving,
        },
        started_ms: 0,
        sequence,
    }
}

/// Creates a group's record in which a former leaseholder has noted the endpoints in `term`.
fn note_endpoints(endpoints: &[ScriptedEndpoint], term: u64) -> GroupRecord {
    let mut record = create_record();
    record.term = GroupTerm(term);
    let noted = endpoints.iter().map(|one| describe(one, false, 0));
    record.endpoints = noted.collect();
    record
}

/// Creates a group's record in which a former leaseholder has noted the endpoints and a primary
/// that is out of reach by now.
fn note_dead_primary(endpoints: &[ScriptedEndpoint]) -> GroupRecord {
    let mut record = note_endpoints(endpoints, 1);
    // No process listens on port 1.
    record.endpoints[0].data_address = "127.0.0.1:1".parse().unwrap();
    record.primary = Some("cases-1".into());
    record
}

/// Returns whether a verdict is the endpoint's own answer.
pub fn is_served(reply: &StatementReply) -> bool {
    matches!(
        reply.verdict,
        RequestVerdict::Ran(StatementAnswer::Tagged(_))
    )
}

/// Starts a stand-in for the control VM that commits every command at the next revision.
async fn start_control(
    notes: ProposedEndpoints,
    withholds_tokens: Arc<AtomicBool>,
) -> (SocketAddr, ServerHandle) {
    let mut module = RpcModule::new(AtomicU64::new(100));
    module
        .register_async_method("peer_propose", move |params, revision, _| {
            let (notes, withholds_tokens) = (Arc::clone(&notes), Arc::clone(&withholds_tokens));
            async move {
                let request: CommandRequest = params.one()?;
                match request.command {
                    CatalogCommand::RecordEndpoints(note) => notes.lock().unwrap().push(*note),
                    CatalogCommand::IssueToken(_) => {
                        wait_until(|| !withholds_tokens.load(Ordering::Relaxed)).await;
                    }
                    _ => {}
                }
                let next = revision.fetch_add(1, Ordering::Relaxed);
                let outcome = CatalogOutcome::Done(CatalogRevision(next));
                RpcResult::Ok(serde_json::to_value(CommandReply::Committed(outcome)).unwrap())
            }
        })
        .unwrap();
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    (address, server.start(module))
}

fn create_settings(control: SocketAddr, timing: &str) -> DaemonSettings {
    let text = format!(
        "
vm: vm-1
domain: north
roles: {{ gateway: false }}
listen: {{ peers: 127.0.0.1:2, platform: 127.0.0.1:3 }}
control:
  - {{ vm: vm-9, address: {control} }}
timing: {{ connect_timeout_ms: 400, {timing} }}
"
    );
    DaemonSettings::from_yaml(&text).unwrap()
}
