//! A test double of another VM: serves the few peer calls that gateways and leaseholders make, and
//! answers them as the test sets.

use jsonrpsee::RpcModule;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::JournalAppend;
use ragwort_types::JournalRequest;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwortgated::group::GroupEvent;
use ragwortgated::standby::StandbyEvent;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// A peer's handling of statements.
#[derive(Clone, Debug)]
pub enum PeerScript {
    /// Replies with this verdict.
    Reply(RequestVerdict),
    /// Receives the statement and never replies.
    Hang,
    /// Passes statements and descriptions on to a group's task, as a leaseholder does.
    Forward(mpsc::Sender<GroupEvent>),
}

/// The state that a peer's calls share.
pub struct PeerState {
    script: Mutex<PeerScript>,
    received: watch::Sender<Vec<ReceivedCall>>,
    /// Whether journal appends are answered; they wait while it is unset.
    journaling: watch::Sender<bool>,
    /// The answer to passed announcements.
    leading: watch::Sender<bool>,
    /// Whether passed announcements are answered; they wait while it is unset.
    listening: watch::Sender<bool>,
    /// The numbers of announcements in the calls that passed them.
    passed: watch::Sender<Vec<usize>>,
    standby: Option<mpsc::Sender<StandbyEvent>>,
}

/// A statement or description that the peer received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedCall {
    /// Whether the peer was asked to relay it to the leaseholder.
    pub relayed: bool,
    /// The statement's text.
    pub text: String,
}

/// A running peer.
pub struct FakePeer {
    pub address: SocketAddr,
    pub state: Arc<PeerState>,
    server: ServerHandle,
}

impl FakePeer {
    /// Starts a peer that holds no journals.
    pub async fn start(script: PeerScript) -> Self {
        Self::start_with(script, None, true).await
    }

    /// Starts a peer whose journals are held by a standby's task.
    pub async fn start_standby(standby: mpsc::Sender<StandbyEvent>) -> Self {
        Self::start_with(PeerScript::Hang, Some(standby), true).await
    }

    /// Starts a peer of an earlier version, which takes announcements one by one.
    pub async fn start_earlier() -> Self {
        Self::start_with(PeerScript::Hang, None, false).await
    }

    async fn start_with(
        script: PeerScript,
        standby: Option<mpsc::Sender<StandbyEvent>>,
        batches: bool,
    ) -> Self {
        let state = Arc::new(PeerState {
            script: Mutex::new(script),
            received: watch::Sender::new(Vec::new()),
            journaling: watch::Sender::new(true),
            leading: watch::Sender::new(false),
            listening: watch::Sender::new(true),
            passed: watch::Sender::new(Vec::new()),
            standby,
        });
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let server = server.start(create_module(state.clone(), batches));
        Self {
            address,
            state,
            server,
        }
    }

    /// Sets whether the peer answers journal appends or leaves them waiting.
    pub fn set_journaling(&self, journaling: bool) {
        self.state.journaling.send_replace(journaling);
    }

    /// Sets whether the peer claims to lead the groups whose endpoints are announced to it.
    pub fn set_leading(&self, leading: bool) {
        self.state.leading.send_replace(leading);
    }

    /// Sets whether the peer answers passed announcements or leaves them waiting.
    pub fn set_listening(&self, listening: bool) {
        self.state.listening.send_replace(listening);
    }

    /// Returns the numbers of announcements in the calls so far that passed them.
    pub fn passed(&self) -> Vec<usize> {
        self.state.passed.borrow().clone()
    }

    /// Waits until the peer has received at least `count` calls that pass announcements.
    pub async fn wait_passed(&self, count: usize) {
        let mut passed = self.state.passed.subscribe();
        passed
            .wait_for(|passed| passed.len() >= count)
            .await
            .unwrap();
    }

    /// Sets the handling of statements that arrive from now on.
    pub fn set_script(&self, script: PeerScript) {
        *self.state.script.lock().unwrap() = script;
    }

    /// Returns the statements and descriptions received so far.
    pub fn received(&self) -> Vec<ReceivedCall> {
        self.state.received.borrow().clone()
    }

    /// Waits until the peer has received at least `count` statements and descriptions.
    pub async fn wait_received(&self, count: usize) {
        let mut received = self.state.received.subscribe();
        received
            .wait_for(|received| received.len() >= count)
            .await
            .unwrap();
    }

    pub async fn stop(self) {
        let _ = self.server.stop();
        self.server.stopped().await;
    }
}

type CallResult<Reply> = Result<Reply, ErrorObjectOwned>;

fn create_module(state: Arc<PeerState>, batches: bool) -> RpcModule<Arc<PeerState>> {
    let mut module = RpcModule::from_arc(Arc::new(state));
    module
        .register_async_method("peer_execute", |params, state, _| async move {
            state.execute(params.one()?, false).await
        })
        .unwrap();
    module
        .register_async_method("peer_relay", |params, state, _| async move {
            state.execute(params.one()?, true).await
        })
        .unwrap();
    module
        .register_async_method("peer_describe", |params, state, _| async move {
            state.describe(params.one()?).await
        })
        .unwrap();
    module
        .register_async_method("peer_appendJournal", |params, state, _| async move {
            state.append_journal(params).await
        })
        .unwrap();
    module
        .register_async_method("peer_readJournal", |params, state, _| async move {
            state.read_journal(params).await
        })
        .unwrap();
    module
        .register_async_method("peer_propose", |params, _, _| async move {
            CallResult::Ok(answer_command(&params.one()?))
        })
        .unwrap();
    module
        .register_async_method("peer_passAnnouncement", |_, state, _| async move {
            CallResult::Ok(state.pass_announcements(1).await)
        })
        .unwrap();
    if batches {
        module
            .register_async_method("peer_passAnnouncements", |params, state, _| async move {
                let announcements: Vec<EndpointAnnouncement> = params.one()?;
                let leading = state.pass_announcements(announcements.len()).await;
                CallResult::Ok(vec![leading; announcements.len()])
            })
            .unwrap();
    }
    module
        .register_async_method("peer_ping", |_, _, _| async move { CallResult::Ok(()) })
        .unwrap();
    module
}

/// Creates the error for a call that the standby's task dropped without an answer.
fn standby_dropped() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(-32_000, "the standby dropped the call", None::<()>)
}

/// Answers a command as a control VM: confirmations of journals are committed, everything else
/// finds no leader.
fn answer_command(request: &CommandRequest) -> CommandReply {
    match request.command {
        CatalogCommand::ConfirmJournal(_) => {
            CommandReply::Committed(CatalogOutcome::Done(CatalogRevision(1)))
        }
        _ => CommandReply::NoLeader,
    }
}

impl PeerState {
    /// Records a call and returns the current script.
    fn record_call(&self, relayed: bool, text: &str) -> PeerScript {
        let text = text.to_owned();
        self.received
            .send_modify(|received| received.push(ReceivedCall { relayed, text }));
        self.script.lock().unwrap().clone()
    }

    async fn execute(
        &self,
        request: StatementRequest,
        relayed: bool,
    ) -> CallResult<StatementReply> {
        match self.record_call(relayed, &request.text) {
            PeerScript::Reply(verdict) => Ok(StatementReply {
                id: request.id,
                verdict,
                served_by: None,
            }),
            PeerScript::Hang => std::future::pending().await,
            PeerScript::Forward(inbox) => {
                let (reply, answer) = oneshot::channel();
                let event = GroupEvent::Statement(Box::new(request), reply);
                inbox.send(event).await.unwrap();
                Ok(answer.await.unwrap())
            }
        }
    }

    async fn describe(&self, request: ShapeRequest) -> CallResult<ShapeReply> {
        match self.record_call(request.relay, &request.text) {
            PeerScript::Reply(RequestVerdict::NotRun(refusal)) => Ok(ShapeReply {
                id: request.id,
                outcome: ShapeOutcome::Refused(refusal),
            }),
            PeerScript::Reply(_) => Ok(ShapeReply {
                id: request.id,
                outcome: ShapeOutcome::Known(Default::default()),
            }),
            PeerScript::Hang => std::future::pending().await,
            PeerScript::Forward(inbox) => {
                let (reply, answer) = oneshot::channel();
                let event = GroupEvent::Describe(Box::new(request), reply);
                inbox.send(event).await.unwrap();
                Ok(answer.await.unwrap())
            }
        }
    }

    /// Records a call that passes announcements, and says whether the peer claims to lead.
    async fn pass_announcements(&self, count: usize) -> bool {
        self.passed.send_modify(|passed| passed.push(count));
        let mut listening = self.listening.subscribe();
        listening.wait_for(|listening| *listening).await.unwrap();
        *self.leading.borrow()
    }

    async fn append_journal(&self, params: Params<'static>) -> CallResult<serde_json::Value> {
        let append: JournalAppend = params.one()?;
        let mut journaling = self.journaling.subscribe();
        journaling.wait_for(|journaling| *journaling).await.unwrap();
        let (reply, answer) = oneshot::channel();
        self.send_to_standby(StandbyEvent::Append(append, reply))
            .await;
        let reply = answer.await.map_err(|_| standby_dropped())?;
        Ok(serde_json::to_value(reply).unwrap())
    }

    async fn read_journal(&self, params: Params<'static>) -> CallResult<serde_json::Value> {
        let request: JournalRequest = params.one()?;
        let (reply, answer) = oneshot::channel();
        self.send_to_standby(StandbyEvent::Read(request, reply))
            .await;
        let copy = answer.await.map_err(|_| standby_dropped())?;
        Ok(serde_json::to_value(copy).unwrap())
    }

    async fn send_to_standby(&self, event: StandbyEvent) {
        let standby = self.standby.as_ref().expect("the peer is a standby");
        standby.send(event).await.unwrap();
    }
}
