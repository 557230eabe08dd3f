//! Serves the calls of other VMs, endpoints' agents and operators.
//!
//! Each call is sent as a message to the task that owns the state in question, and waits for its
//! answer.

use crate::announcements::AnnouncementRelay;
use crate::control::ControlEvent;
use crate::control::DocumentRequest;
use crate::directory::ControlDirectory;
use crate::dump::NodeDump;
use crate::gateway::Gateway;
use crate::gateway::reply_with;
use crate::leaseholders::LeaseholderEvent;
use crate::limits::AccountLimiter;
use crate::log_event;
use crate::member::MemberView;
use crate::peers::LinkError;
use crate::peers::PeerLinks;
use crate::settings::DaemonSettings;
use crate::standby::StandbyEvent;
use crate::statements::server::StatementRunner;
use async_trait::async_trait;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_rpc::AgentApiClient;
use ragwort_rpc::AnnounceApiServer;
use ragwort_rpc::CompactJson;
use ragwort_rpc::OperatorApiServer;
use ragwort_rpc::PeerApiClient;
use ragwort_rpc::PeerApiServer;
use ragwort_rpc::compact_text;
use ragwort_rpc::expand_text;
use ragwort_types::AgreementEnvelope;
use ragwort_types::AnnouncementReply;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::ContractAcceptance;
use ragwort_types::ContractChange;
use ragwort_types::ContractDocument;
use ragwort_types::ControlIdentity;
use ragwort_types::CustomerName;
use ragwort_types::DigestSecret;
use ragwort_types::DocumentCopy;
use ragwort_types::DocumentReadReply;
use ragwort_types::DocumentReply;
use ragwort_types::DocumentVersion;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::FormReply;
use ragwort_types::GroupName;
use ragwort_types::HeartbeatBatch;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::InForceStatus;
use ragwort_types::InstanceIdentity;
use ragwort_types::JournalAppend;
use ragwort_types::JournalCopy;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use ragwort_types::LimitReply;
use ragwort_types::LimitRequest;
use ragwort_types::MemberId;
use ragwort_types::NodeStatus;
use ragwort_types::PieceRequest;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::VersionedContract;
use std::borrow::Cow;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

/// The maximum number of connections that this VM serves: other VMs, endpoints' agents, operators.
/// At 630 VMs each of them may hold one link for statements and one for control, and an agent per
/// instance one more.
const SERVER_CONNECTIONS: u32 = 8_192;

/// JSON-RPC error code of a call that this daemon can't answer now.
const UNAVAILABLE: i32 = -32_000;

/// Time limit for each call to another VM or task on behalf of an operator.
const OPERATOR_LIMIT: Duration = Duration::from_secs(5);

/// Channels and handles to the tasks that answer calls.
#[derive(Clone)]
pub struct ServerRoutes {
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// The control role, if this VM has it.
    pub control: Option<mpsc::Sender<ControlEvent>>,
    /// The leaseholders' manager.
    pub leaseholders: mpsc::Sender<LeaseholderEvent>,
    /// The task that holds journals as a standby.
    pub standby: mpsc::Sender<StandbyEvent>,
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// The accounts' limits.
    pub limits: Arc<AccountLimiter>,
    /// Links to other VMs.
    pub links: PeerLinks,
    /// The addresses of the control VMs.
    pub directory: ControlDirectory,
    /// This VM's catalog copy and lease.
    pub view: watch::Receiver<MemberView>,
    /// Starts the drain.
    pub drain: watch::Sender<bool>,
    /// Collects the state of all tasks, for operators.
    pub dump: NodeDump,
    /// Relays endpoints' announcements.
    pub announcements: AnnouncementRelay,
}

/// Starts to serve calls on the daemon's address for peers.
///
/// # Errors
///
/// Returns the operating system's error if the daemon can't listen on the address.
pub async fn start_server(routes: ServerRoutes) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(SERVER_CONNECTIONS)
        .max_request_body_size(64 * 1024 * 1024)
        .max_response_body_size(64 * 1024 * 1024)
        .build();
    let address = routes.settings.listen.peers;
    let server = Server::builder().set_config(config).build(address).await?;
    let mut module = RpcModule::new(());
    let merged = module
        .merge(PeerApiServer::into_rpc(routes.clone()))
        .and_then(|()| module.merge(OperatorApiServer::into_rpc(routes.clone())))
        .and_then(|()| module.merge(AnnounceApiServer::into_rpc(routes)));
    merged.map_err(io::Error::other)?;
    Ok(server.start(module))
}

impl ServerRoutes {
    async fn ask_control<Answer>(
        &self,
        event: impl FnOnce(oneshot::Sender<Answer>) -> ControlEvent,
    ) -> RpcResult<Answer> {
        let control = self.control.as_ref().ok_or_else(not_control)?;
        let (reply, answer) = oneshot::channel();
        control.send(event(reply)).await.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }

    async fn ask_leaseholders<Answer>(
        &self,
        event: impl FnOnce(oneshot::Sender<Answer>) -> LeaseholderEvent,
    ) -> RpcResult<Answer> {
        let (reply, answer) = oneshot::channel();
        let sent = self.leaseholders.send(event(reply)).await;
        sent.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }

    async fn send_to_leaseholder(&self, request: StatementRequest) -> Option<StatementReply> {
        let (reply, answer) = oneshot::channel();
        let refused = reply_with(
            &request,
            RequestVerdict::refused(RefusalCause::NoLeaseholder, 0),
        );
        let event = LeaseholderEvent::Statement(Box::new(request), reply);
        if self.leaseholders.send(event).await.is_err() {
            return Some(refused);
        }
        answer.await.ok()
    }

    async fn ask_standby<Answer>(
        &self,
        event: impl FnOnce(oneshot::Sender<Answer>) -> StandbyEvent,
    ) -> RpcResult<Answer> {
        let (reply, answer) = oneshot::channel();
        self.standby
            .send(event(reply))
            .await
            .map_err(|_| stopping())?;
        // The standby task leaves calls that are meant for another VM unanswered.
        let unanswered = || unavailable("this VM is stopping, or another one is meant");
        answer.await.map_err(|_| unanswered())
    }

    /// Proposes a command to the control VMs in turn, starting with this one if it has the role.
    ///
    /// A lost answer is reported as unknown: the command may be committed, and a resend under the
    /// same change id gets the first answer.
    pub async fn propose_to_control_vms(&self, command: &CatalogCommand) -> CommandReply {
        let mut worst = CommandReply::NoLeader;
        for address in self.directory.addresses() {
            let request = CommandRequest {
                forwarded: false,
                command: command.clone(),
            };
            let call = |client: Arc<WsClient>| async move { client.propose(request).await };
            match self.links.call(address, OPERATOR_LIMIT, call).await {
                Ok(CommandReply::NoLeader) | Err(LinkError::Unreachable | LinkError::Exhausted) => {
                }
                Ok(CommandReply::Committed(outcome)) => return CommandReply::Committed(outcome),
                Ok(CommandReply::Unknown) | Err(LinkError::Lost | LinkError::Rejected(_)) => {
                    worst = CommandReply::Unknown;
                }
            }
        }
        worst
    }

    /// Proposes a whole configuration document.
    pub async fn replace_document(&self, document: ContractDocument) -> DocumentReply {
        let version = document.version;
        let reply = self.propose_document(document).await;
        let (outcome, in_force) = match &reply {
            DocumentReply::Accepted(acceptance) => ("accepted", acceptance.in_force),
            DocumentReply::Invalid(_) => ("invalid", DocumentVersion::default()),
            DocumentReply::Unknown => ("unknown", DocumentVersion::default()),
        };
        log_event!(
            Level::Info,
            "document_answered",
            version = version,
            outcome = outcome,
            in_force = in_force,
        );
        reply
    }

    async fn propose_document(&self, mut document: ContractDocument) -> DocumentReply {
        // A faulty document needs no entry in the log, since its faults follow from its content
        // alone.
        let faults = document.find_faults();
        if !faults.is_empty() {
            return DocumentReply::Invalid(faults.iter().map(ToString::to_string).collect());
        }
        document.seal = Some(DigestSecret(rand::random()));
        document.source = compact_text(document.source.to_string()).into();
        let copy = Arc::clone(&self.view.borrow().copy);
        let update = copy.compare_document(&document);
        if let Some(update) = update {
            let command = CatalogCommand::UpdateDocument(Box::new(update));
            let reply = self.propose_to_control_vms(&command).await;
            // The configuration has changed since the copy's revision.
            if reply != CommandReply::Committed(CatalogOutcome::Stale) {
                return to_document_reply(reply);
            }
        }
        let command = CatalogCommand::ApplyDocument(Box::new(document));
        to_document_reply(self.propose_to_control_vms(&command).await)
    }

    /// Returns the whole configuration document, as confirmed by a majority.
    pub async fn find_document(&self) -> DocumentReadReply {
        match self.find_stored_document().await {
            DocumentReadReply::Newest(stored) => DocumentReadReply::Newest(expand_source(stored)),
            reply @ (DocumentReadReply::Empty | DocumentReadReply::Unsure) => reply,
        }
    }

    async fn find_stored_document(&self) -> DocumentReadReply {
        if self.control.is_none() {
            return self.ask_for_document().await;
        }
        let request = DocumentRequest::Direct;
        let asking = self.ask_control(|reply| ControlEvent::ReadDocument(request, reply));
        match timeout(OPERATOR_LIMIT, asking).await {
            Ok(Ok(reading)) => reading,
            Ok(Err(_)) | Err(_) => DocumentReadReply::Unsure,
        }
    }

    async fn ask_for_document(&self) -> DocumentReadReply {
        for address in self.directory.addresses() {
            let call = |client: Arc<WsClient>| async move { client.leader_document().await };
            match self.links.call(address, OPERATOR_LIMIT, call).await {
                Ok(DocumentReadReply::Unsure) | Err(_) => {}
                Ok(reading) => return reading,
            }
        }
        DocumentReadReply::Unsure
    }

    async fn form_voters_everywhere(&self) -> FormReply {
        let mut voters = Vec::new();
        for control in &self.settings.control {
            let call = |client: Arc<WsClient>| async move { client.control_identity().await };
            match self.links.call(control.address, OPERATOR_LIMIT, call).await {
                Ok(Some(identity)) if identity.empty => voters.push(identity.id),
                Ok(Some(_)) => return FormReply::AlreadyFormed,
                Ok(None) => {
                    return FormReply::Refused(format!("{} is no control VM", control.vm));
                }
                Err(error) => return FormReply::Refused(format!("{}: {error}", control.vm)),
            }
        }
        let mut formed = 0;
        for control in &self.settings.control {
            let voters = voters.clone();
            let call = |client: Arc<WsClient>| async move { client.form_voters(voters).await };
            let reply = self.links.call(control.address, OPERATOR_LIMIT, call).await;
            formed += u32::from(matches!(reply, Ok(true)));
        }
        match formed {
            0 => FormReply::Refused("no control VM wrote the first voter set".to_string()),
            // A voter set that one VM has written reaches the others through the replicated log.
            _ => FormReply::Formed,
        }
    }
}

#[async_trait]
impl StatementRunner for ServerRoutes {
    async fn run_locally(&self, mut request: StatementRequest) -> Option<StatementReply> {
        let account = match self.limits.admit(&mut request).await {
            Ok(account) => account,
            Err(refusal) => {
                return Some(reply_with(&request, RequestVerdict::NotRun(refusal)));
            }
        };
        let reply = self.send_to_leaseholder(request).await;
        let not_run = |reply: &StatementReply| matches!(reply.verdict, RequestVerdict::NotRun(_));
        if let Some(account) = &account
            && reply.as_ref().is_some_and(not_run)
        {
            self.limits.give_back(account);
        }
        reply
    }

    async fn relay_statement(&self, request: StatementRequest) -> StatementReply {
        self.gateway.relay(request).await
    }
}

#[async_trait]
impl PeerApiServer for ServerRoutes {
    async fn execute(&self, request: StatementRequest) -> RpcResult<StatementReply> {
        self.run_locally(request).await.ok_or_else(stopping)
    }

    async fn relay(&self, request: StatementRequest) -> RpcResult<StatementReply> {
        Ok(self.gateway.relay(request).await)
    }

    async fn describe(&self, request: ShapeRequest) -> RpcResult<ShapeReply> {
        if request.relay {
            return Ok(self.gateway.relay_describe(request).await);
        }
        let id = request.id;
        let (reply, answer) = oneshot::channel();
        let event = LeaseholderEvent::Describe(Box::new(request), reply);
        let outcome = ShapeOutcome::refused(RefusalCause::NoLeaseholder, 0);
        let refused = ShapeReply { id, outcome };
        if self.leaseholders.send(event).await.is_err() {
            return Ok(refused);
        }
        Ok(answer.await.unwrap_or(refused))
    }

    async fn cancel(&self, group: GroupName, id: StatementId) -> RpcResult<()> {
        let event = LeaseholderEvent::Cancel(group, id);
        self.leaseholders.send(event).await.map_err(|_| stopping())
    }

    async fn append_journal(&self, append: JournalAppend) -> RpcResult<JournalReply> {
        self.ask_standby(|reply| StandbyEvent::Append(append, reply))
            .await
    }

    async fn read_journal(&self, request: JournalRequest) -> RpcResult<JournalCopy> {
        self.ask_standby(|reply| StandbyEvent::Read(request, reply))
            .await
    }

    async fn heartbeat(&self, request: HeartbeatRequest) -> RpcResult<CompactJson<HeartbeatReply>> {
        let reply = self.ask_control(|reply| ControlEvent::Heartbeat(request, reply));
        reply.await.map(CompactJson)
    }

    async fn read_catalog(&self, request: PieceRequest) -> RpcResult<Arc<str>> {
        self.ask_control(|reply| ControlEvent::ReadCatalog(request, reply))
            .await
    }

    async fn heartbeat_batch(&self, batch: HeartbeatBatch) -> RpcResult<Vec<HeartbeatReply>> {
        self.ask_control(|reply| ControlEvent::ForwardedHeartbeats(batch, reply))
            .await
    }

    async fn propose(&self, request: CommandRequest) -> RpcResult<CommandReply> {
        self.ask_control(|reply| ControlEvent::Propose(request, reply))
            .await
    }

    async fn agree(&self, envelope: AgreementEnvelope) -> RpcResult<()> {
        self.agree_all(vec![envelope]).await
    }

    async fn agree_all(&self, envelopes: Vec<AgreementEnvelope>) -> RpcResult<()> {
        let control = self.control.as_ref().ok_or_else(not_control)?;
        for envelope in envelopes {
            let sent = control.send(ControlEvent::PeerMessage(envelope)).await;
            sent.map_err(|_| stopping())?;
        }
        Ok(())
    }

    async fn control_identity(&self) -> RpcResult<Option<ControlIdentity>> {
        if self.control.is_none() {
            return Ok(None);
        }
        self.ask_control(ControlEvent::Identity).await.map(Some)
    }

    async fn leader_document(&self) -> RpcResult<DocumentReadReply> {
        self.ask_control(|reply| ControlEvent::ReadDocument(DocumentRequest::Forwarded, reply))
            .await
    }

    async fn pass_announcement(&self, announcement: Arc<EndpointAnnouncement>) -> RpcResult<bool> {
        let received = self.pass_announcements(vec![announcement]).await?;
        Ok(received == [true])
    }

    async fn pass_announcements(
        &self,
        announcements: Vec<Arc<EndpointAnnouncement>>,
    ) -> RpcResult<Vec<bool>> {
        self.ask_leaseholders(|reply| LeaseholderEvent::AnnounceBatch(announcements, reply))
            .await
    }

    async fn lend_limits(&self, request: LimitRequest) -> RpcResult<LimitReply> {
        Ok(self.limits.lend(&request))
    }

    async fn form_voters(&self, voters: Vec<MemberId>) -> RpcResult<bool> {
        self.ask_control(|reply| ControlEvent::Form(voters, reply))
            .await
    }

    async fn leader_in_force_status(
        &self,
        acceptance: ContractAcceptance,
    ) -> RpcResult<Option<InForceStatus>> {
        self.ask_control(|reply| ControlEvent::InForceQuery(acceptance, reply))
            .await
    }

    async fn probe_instance(
        &self,
        agent_address: SocketAddr,
        expected: InstanceIdentity,
    ) -> RpcResult<bool> {
        let limit = Duration::from_millis(self.settings.timing.probe_timeout_ms);
        let call = |client: Arc<WsClient>| async move { AgentApiClient::status(&*client).await };
        let answer = self
            .links
            .call_instance(agent_address, &expected, limit, call);
        match answer.await {
            // Nothing is known about the instance; false would count against the primary.
            Err(LinkError::Exhausted) => Err(unavailable(&LinkError::Exhausted.to_string())),
            reply => Ok(reply.is_ok()),
        }
    }

    async fn ping(&self) -> RpcResult<()> {
        Ok(())
    }
}

#[async_trait]
impl OperatorApiServer for ServerRoutes {
    async fn apply_contract(&self, change: ContractChange) -> RpcResult<CommandReply> {
        Ok(self
            .propose_to_control_vms(&CatalogCommand::ApplyContract(change))
            .await)
    }

    async fn apply_document(&self, document: ContractDocument) -> RpcResult<DocumentReply> {
        Ok(self.replace_document(document).await)
    }

    async fn read_document(&self) -> RpcResult<DocumentReadReply> {
        Ok(self.find_document().await)
    }

    async fn in_force_status(&self, acceptance: ContractAcceptance) -> RpcResult<InForceStatus> {
        if self.control.is_some()
            && let Some(status) = self
                .ask_control(|reply| ControlEvent::InForceQuery(acceptance, reply))
                .await?
        {
            return Ok(status);
        }
        // Only the leader knows the status. It answers `leader_in_force_status` without asking
        // other VMs, so the calls can't form a loop.
        let own = self.settings.listen.peers;
        let others = self.directory.addresses().into_iter();
        for address in others.filter(|address| *address != own) {
            let call = |client: Arc<WsClient>| async move {
                client.leader_in_force_status(acceptance).await
            };
            let reply = self.links.call(address, OPERATOR_LIMIT, call).await;
            if let Ok(Some(status)) = reply {
                return Ok(status);
            }
        }
        Err(unavailable("no control leader is known; ask again"))
    }

    async fn get_contract(&self, customer: CustomerName) -> RpcResult<Option<VersionedContract>> {
        Ok(self.view.borrow().copy.contract(&customer).cloned())
    }

    async fn list_contracts(&self) -> RpcResult<Vec<VersionedContract>> {
        Ok(self.view.borrow().copy.contracts().cloned().collect())
    }

    async fn status(&self) -> RpcResult<NodeStatus> {
        let leader = match &self.control {
            Some(_) => self.ask_control(ControlEvent::Dump).await.ok(),
            None => None,
        };
        let leader = leader.and_then(|dump| dump["leader"].as_str().map(Into::into));
        let view = self.view.borrow().clone();
        Ok(NodeStatus {
            vm: self.settings.vm.clone(),
            revision: view.copy.revision(),
            ready: self.dump.is_ready(),
            draining: *self.drain.borrow(),
            control_leader: leader,
            groups: view.copy.groups().cloned().collect(),
            members: view.copy.members().cloned().collect(),
        })
    }

    async fn dump(&self) -> RpcResult<String> {
        Ok(self.dump.collect().await.to_string())
    }

    async fn drain(&self) -> RpcResult<()> {
        self.drain.send_replace(true);
        Ok(())
    }

    async fn form(&self) -> RpcResult<FormReply> {
        Ok(self.form_voters_everywhere().await)
    }
}

#[async_trait]
impl AnnounceApiServer for ServerRoutes {
    async fn announce(&self, announcement: EndpointAnnouncement) -> RpcResult<AnnouncementReply> {
        self.ask_leaseholders(|reply| LeaseholderEvent::Announce(Arc::new(announcement), reply))
            .await
    }
}

fn to_document_reply(reply: CommandReply) -> DocumentReply {
    match reply {
        CommandReply::Committed(CatalogOutcome::DocumentAccepted(acceptance)) => {
            DocumentReply::Accepted(acceptance)
        }
        CommandReply::Committed(CatalogOutcome::DocumentInvalid(faults)) => {
            DocumentReply::Invalid(faults)
        }
        CommandReply::Committed(_) | CommandReply::NoLeader | CommandReply::Unknown => {
            DocumentReply::Unknown
        }
    }
}

/// Returns a document with its text as the operator wrote it. A text that was stored without
/// compression is returned as it is.
fn expand_source(stored: DocumentCopy) -> DocumentCopy {
    match expand_text(&stored.source) {
        Ok(Cow::Owned(text)) => DocumentCopy {
            source: text.into(),
            ..stored
        },
        Ok(Cow::Borrowed(_)) | Err(_) => stored,
    }
}

fn unavailable(text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAVAILABLE, text, None::<()>)
}

fn not_control() -> ErrorObjectOwned {
    unavailable("this VM has no control role")
}

fn stopping() -> ErrorObjectOwned {
    unavailable("this VM is stopping")
}
