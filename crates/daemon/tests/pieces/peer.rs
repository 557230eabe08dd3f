//! Another VM, as far as a gateway or a leaseholder meets it: a few calls, answered as told.

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

/// What a peer does with statements.
#[derive(Clone, Debug)]
pub enum PeerScript {
    /// Replies with this verdict.
    Reply(RequestVerdict),
    /// Takes the statement and never replies.
    Hang,
    /// Passes statements and descriptions on to a group's task, as a leaseholder does.
    Lead(mpsc::Sender<GroupEvent>),
}

/// What a peer is made of.
pub struct PeerState {
    script: Mutex<PeerScript>,
    taken: watch::Sender<Vec<TakenCall>>,
    holds: watch::Sender<bool>,
    leads: watch::Sender<bool>,
    standby: Option<mpsc::Sender<StandbyEvent>>,
}

/// A call that the peer took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenCall {
    /// Whether it was to be passed on.
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
    pub async fn start(script: PeerScript) -> Self {
        Self::start_with(script, None).await
    }

    /// Starts a peer that holds journals in a standby's task.
    pub async fn start_standby(standby: mpsc::Sender<StandbyEvent>) -> Self {
        Self::start_with(PeerScript::Hang, Some(standby)).await
    }

    async fn start_with(script: PeerScript, standby: Option<mpsc::Sender<StandbyEvent>>) -> Self {
        let state = Arc::new(PeerState {
            script: Mutex::new(script),
            taken: watch::Sender::new(Vec::new()),
            holds: watch::Sender::new(true),
            leads: watch::Sender::new(false),
            standby,
        });
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let server = server.start(create_module(state.clone()));
        Self {
            address,
            state,
            server,
        }
    }

    /// Lets the peer answer to journal entries, or be silent.
    pub fn set_holding(&self, holds: bool) {
        self.state.holds.send_replace(holds);
    }

    /// Lets the peer say of itself that it leads the groups whose endpoints are announced to it.
    pub fn set_leading(&self, leads: bool) {
        self.state.leads.send_replace(leads);
    }

    /// Changes what the peer does with statements from now on.
    pub fn set_script(&self, script: PeerScript) {
        *self.state.script.lock().unwrap() = script;
    }

    pub fn taken(&self) -> Vec<TakenCall> {
        self.state.taken.borrow().clone()
    }

    /// Waits until the peer has taken so many statements.
    pub async fn wait_taken(&self, count: usize) {
        let mut taken = self.state.taken.subscribe();
        taken.wait_for(|taken| taken.len() >= count).await.unwrap();
    }

    pub async fn stop(self) {
        let _ = self.server.stop();
        self.server.stopped().await;
    }
}

type CallResult<Reply> = Result<Reply, ErrorObjectOwned>;

fn create_module(state: Arc<PeerState>) -> RpcModule<Arc<PeerState>> {
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
            CallResult::Ok(*state.leads.borrow())
        })
        .unwrap();
    module
        .register_async_method("peer_ping", |_, _, _| async move { CallResult::Ok(()) })
        .unwrap();
    module
}

fn untaken() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(-32_000, "the call was not taken", None::<()>)
}

/// Commits the confirmation of a journal, as a control VM does; leaves everything else open.
fn answer_command(request: &CommandRequest) -> CommandReply {
    match request.command {
        CatalogCommand::ConfirmJournal(_) => {
            CommandReply::Committed(CatalogOutcome::Done(CatalogRevision(1)))
        }
        _ => CommandReply::NoLeader,
    }
}

impl PeerState {
    fn note(&self, relayed: bool, text: &str) -> PeerScript {
        let text = text.to_owned();
        self.taken
            .send_modify(|taken| taken.push(TakenCall { relayed, text }));
        self.script.lock().unwrap().clone()
    }

    async fn execute(
        &self,
        request: StatementRequest,
        relayed: bool,
    ) -> CallResult<StatementReply> {
        match self.note(relayed, &request.text) {
            PeerScript::Reply(verdict) => Ok(StatementReply {
                id: request.id,
                verdict,
                served_by: None,
            }),
            PeerScript::Hang => std::future::pending().await,
            PeerScript::Lead(inbox) => {
                let (reply, answer) = oneshot::channel();
                let event = GroupEvent::Statement(Box::new(request), reply);
                inbox.send(event).await.unwrap();
                Ok(answer.await.unwrap())
            }
        }
    }

    async fn describe(&self, request: ShapeRequest) -> CallResult<ShapeReply> {
        match self.note(request.relay, &request.text) {
            PeerScript::Reply(RequestVerdict::NotRun(refusal)) => Ok(ShapeReply {
                id: request.id,
                outcome: ShapeOutcome::Refused(refusal),
            }),
            PeerScript::Reply(_) => Ok(ShapeReply {
                id: request.id,
                outcome: ShapeOutcome::Known(Default::default()),
            }),
            PeerScript::Hang => std::future::pending().await,
            PeerScript::Lead(inbox) => {
                let (reply, answer) = oneshot::channel();
                let event = GroupEvent::Describe(Box::new(request), reply);
                inbox.send(event).await.unwrap();
                Ok(answer.await.unwrap())
            }
        }
    }

    async fn append_journal(&self, params: Params<'static>) -> CallResult<serde_json::Value> {
        let append: JournalAppend = params.one()?;
        let mut holds = self.holds.subscribe();
        holds.wait_for(|holds| *holds).await.unwrap();
        let (reply, answer) = oneshot::channel();
        self.ask(StandbyEvent::Append(append, reply)).await;
        let reply = answer.await.map_err(|_| untaken())?;
        Ok(serde_json::to_value(reply).unwrap())
    }

    async fn read_journal(&self, params: Params<'static>) -> CallResult<serde_json::Value> {
        let request: JournalRequest = params.one()?;
        let (reply, answer) = oneshot::channel();
        self.ask(StandbyEvent::Read(request, reply)).await;
        let copy = answer.await.map_err(|_| untaken())?;
        Ok(serde_json::to_value(copy).unwrap())
    }

    async fn ask(&self, event: StandbyEvent) {
        let standby = self.standby.as_ref().expect("the peer is a standby");
        standby.send(event).await.unwrap();
    }
}
