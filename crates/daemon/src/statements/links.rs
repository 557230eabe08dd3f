//! The client side of statement links: a gateway's connections to leaseholders.
//!
//! A call that was never written to a connection has not run, and its statement can be sent again.
//! A call whose connection ended before the reply may have run. The module therefore avoids writing
//! to a peer that doesn't respond: a new connection must answer a ping before it carries calls,
//! calls are refused at once while there is no connection, and a connection that owes replies is
//! pinged and closed if nothing arrives.

use super::MAX_FRAMES_PER_BATCH;
use super::MAX_UNSENT_BYTES;
use super::READ_BYTES;
use crate::clock::NodeClock;
use crate::connecting::connect_stream;
use crate::log_event;
use crate::peers::LinkError;
use crate::sockets::tune_stream;
use bytes::BytesMut;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_policy::LinkFailureDetector;
use ragwort_policy::LinkStep;
use ragwort_rpc::FrameCodec;
use ragwort_rpc::StatementFrame;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// The capacity of the queue of calls to one link's task.
const CALL_QUEUE_CAPACITY: usize = 16_384;

/// The age of unacknowledged bytes at which a connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause between two attempts to connect to an unreachable VM. A killed process is back after
/// about a second; until then each attempt costs two packets.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// How long after the last call the link keeps trying to connect to an unreachable VM. By the end
/// of this time statements go to another VM.
const RECONNECT_WINDOW: Duration = Duration::from_secs(5);

/// How long a failed attempt to connect in advance counts as evidence that the VM is unreachable.
/// It is shorter than the pause after which a failed gateway is tried again.
const FAILURE_VALIDITY: Duration = Duration::from_millis(150);

/// How long ago a link must have received something to count as good without a ping: a round trip
/// and a short statement.
const RECENT_RECEIPT: Duration = Duration::from_millis(20);

/// How long after a link fell silent all quiet links are pinged before a statement is written to
/// them. A VM that is cut off notices it at one link after the other: without this, the first
/// write on each of them would end in doubt.
const VERIFY_AFTER_SILENCE: Duration = Duration::from_secs(2);

/// The result of a call.
type CallReply = Result<StatementReply, LinkError>;

/// Whether the called VM runs a statement itself or relays it to the leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The called VM is the leaseholder of the statement's group.
    Execute,
    /// The called VM can reach the leaseholder, which this VM can't.
    Relay,
}

/// A message to a link's task.
enum LinkCall {
    /// Makes a call.
    Statement {
        kind: CallKind,
        request: Box<StatementRequest>,
        reply: oneshot::Sender<CallReply>,
    },
    /// Connects ahead of the first call; if `lasting`, again and again like after a call.
    Prepare { lasting: bool },
    /// Confirms that the other side has sent something lately, and pings it if it hasn't.
    Verify(oneshot::Sender<()>),
}

/// Whether calls can be sent on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// There is no connection, and none is being opened.
    Idle,
    /// An attempt to connect in advance failed at this time, and none is being made now.
    Failed(ClockTime),
    /// The first connection is being opened since this time.
    Connecting(ClockTime),
    /// Calls can be sent.
    Open,
    /// A ping on the connection is unanswered, so calls are held back from it.
    Suspect,
    /// There is no connection; new ones are attempted and calls are refused meanwhile.
    Down,
}

/// Whether a call on a link would be sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkReadiness {
    /// It would be sent.
    Ready,
    /// It would wait for a connection, or for the other side to break its silence.
    Pending,
    /// It would be refused.
    Down,
}

/// The sender's end of a link.
#[derive(Clone)]
struct LinkHandle {
    calls: mpsc::Sender<LinkCall>,
    state: watch::Sender<LinkState>,
}

/// The links of one gateway, by the leaseholders' addresses for statement links.
pub struct StatementLinks {
    links: Mutex<HashMap<SocketAddr, LinkHandle>>,
    tasks: Mutex<JoinSet<()>>,
    clock: NodeClock,
    connect_timeout: Duration,
    last_silence: watch::Sender<Option<ClockTime>>,
}

impl StatementLinks {
    /// Creates an empty set of links; `connect_timeout` bounds each attempt to connect.
    pub fn new(clock: NodeClock, connect_timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            links: Mutex::default(),
            tasks: Mutex::default(),
            clock,
            connect_timeout,
            last_silence: watch::Sender::new(None),
        })
    }

    /// Makes one call and waits for its reply, at most for `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Unreachable`] if the call was not written to any connection, and
    /// [`LinkError::Lost`] if the connection ended or the time ran out after that.
    pub async fn call(
        &self,
        address: SocketAddr,
        kind: CallKind,
        request: StatementRequest,
        limit: Duration,
    ) -> CallReply {
        let (reply, answer) = oneshot::channel();
        let call = LinkCall::Statement {
            kind,
            request: Box::new(request),
            reply,
        };
        if self.link(address).calls.try_send(call).is_err() {
            return Err(LinkError::Unreachable);
        }
        match timeout(limit, answer).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Err(LinkError::Lost),
        }
    }

    /// Starts to connect to a VM ahead of the first call, unless there is a connection already.
    ///
    /// If this fails and `lasting` is set, the link goes on trying as it does after a call.
    pub fn prepare(&self, address: SocketAddr, lasting: bool) {
        self.link(address).prepare(self.clock.now(), lasting);
    }

    /// Waits until a call to a VM would be sent or refused at once, but no longer than until the
    /// attempt to connect has lasted for `wait_limit`. Nothing is sent but what opens a connection.
    ///
    /// A link that is silent counts as pending at once; `None` waits for the end of its silence and
    /// for the end of the attempt to connect.
    pub async fn check_readiness(
        &self,
        address: SocketAddr,
        lasting: bool,
        wait_limit: Option<Duration>,
    ) -> LinkReadiness {
        let link = self.link(address);
        if *link.state.borrow() == LinkState::Open {
            return LinkReadiness::Ready;
        }
        link.prepare(self.clock.now(), lasting);
        let mut state = link.state.subscribe();
        loop {
            let seen = *state.borrow_and_update();
            let wait = match (seen, wait_limit) {
                (LinkState::Open, _) => return LinkReadiness::Ready,
                (LinkState::Down | LinkState::Idle | LinkState::Failed(_), _) => {
                    return LinkReadiness::Down;
                }
                (LinkState::Suspect, Some(_)) => return LinkReadiness::Pending,
                (LinkState::Connecting(since), Some(wait_limit)) => {
                    wait_limit.saturating_sub(self.clock.now().since(since))
                }
                (LinkState::Connecting(_) | LinkState::Suspect, None) => self.connect_timeout,
            };
            if !matches!(timeout(wait, state.changed()).await, Ok(Ok(()))) {
                return LinkReadiness::Pending;
            }
        }
    }

    /// Makes sure that an open link to a VM isn't silent: that something was received on it lately,
    /// or that a ping is answered in time.
    pub async fn verify(&self, address: SocketAddr) -> LinkReadiness {
        let (confirm, confirmed) = oneshot::channel();
        let call = LinkCall::Verify(confirm);
        if self.link(address).calls.try_send(call).is_err() {
            return LinkReadiness::Down;
        }
        match timeout(ragwort_policy::LINK_SUSPECT_AFTER, confirmed).await {
            Ok(Ok(())) => LinkReadiness::Ready,
            Ok(Err(_)) => LinkReadiness::Down,
            Err(_) => LinkReadiness::Pending,
        }
    }

    /// Says whether a link fell silent lately.
    pub fn saw_silence(&self) -> bool {
        let last = *self.last_silence.borrow();
        last.is_some_and(|last| self.clock.now().since(last) < VERIFY_AFTER_SILENCE)
    }

    /// Closes all links and joins their tasks.
    pub async fn shut_down(&self) {
        self.links
            .lock()
            .expect("no holder of this lock panics")
            .clear();
        let mut tasks =
            std::mem::take(&mut *self.tasks.lock().expect("no holder of this lock panics"));
        while tasks.join_next().await.is_some() {}
    }

    fn link(&self, address: SocketAddr) -> LinkHandle {
        let mut links = self.links.lock().expect("no holder of this lock panics");
        let link = links.entry(address).or_insert_with(|| {
            let (sender, calls) = mpsc::channel(CALL_QUEUE_CAPACITY);
            let (state, _) = watch::channel(LinkState::Idle);
            let task = LinkTask {
                address,
                clock: self.clock,
                connect_timeout: self.connect_timeout,
                state: state.clone(),
                last_silence: self.last_silence.clone(),
            };
            let mut tasks = self.tasks.lock().expect("no holder of this lock panics");
            tasks.spawn(task.run(calls));
            LinkHandle {
                calls: sender,
                state,
            }
        });
        link.clone()
    }
}

impl LinkHandle {
    fn prepare(&self, now: ClockTime, lasting: bool) {
        let state = *self.state.borrow();
        match state {
            LinkState::Open | LinkState::Suspect => return,
            LinkState::Connecting(_) | LinkState::Down if !lasting => return,
            LinkState::Failed(at) if !lasting && now.since(at) < FAILURE_VALIDITY => return,
            LinkState::Connecting(_) | LinkState::Down => {}
            // Set before the task can see the call, so that it isn't set over the task's result.
            LinkState::Failed(_) | LinkState::Idle => {
                self.state.send_replace(LinkState::Connecting(now));
            }
        }
        // The queue is full only if the link is in use.
        let _ = self.calls.try_send(LinkCall::Prepare { lasting });
    }
}

/// The task of one link, which owns its connection.
struct LinkTask {
    address: SocketAddr,
    clock: NodeClock,
    connect_timeout: Duration,
    state: watch::Sender<LinkState>,
    last_silence: watch::Sender<Option<ClockTime>>,
}

/// The reason for which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    /// The gateway has dropped the link.
    Released,
    /// The other side closed the connection, or it broke.
    Broken,
    /// The other side owes replies and has sent nothing, not even the answer to a ping.
    Silent,
    /// An invalid or unexpected frame was received.
    Malformed,
    /// The other side is shutting down and has answered all calls.
    Stopped,
}

/// A connection with the calls that await their replies.
struct OpenLink {
    stream: TcpStream,
    codec: FrameCodec,
    unsent: BytesMut,
    received: BytesMut,
    pending: BTreeMap<u64, PendingReply>,
    /// Those who wait for a sign of life from the other side.
    verifications: Vec<oneshot::Sender<()>>,
    last_call: u64,
    detector: LinkFailureDetector,
    /// Whether the other side has announced its shutdown; no further calls are sent to it then.
    stopping: bool,
}

/// A call that awaits its reply.
struct PendingReply {
    since: ClockTime,
    reply: oneshot::Sender<CallReply>,
}

impl LinkTask {
    async fn run(self, mut calls: mpsc::Receiver<LinkCall>) {
        while let Some(call) = calls.recv().await {
            let Some(mut link) = self.open_connection(call, &mut calls).await else {
                continue;
            };
            loop {
                self.state.send_replace(LinkState::Open);
                let end = link.serve(&mut calls, &self).await;
                log_event!(
                    Level::Warn,
                    "statement_link_ended",
                    peer = self.address,
                    cause = format!("{end:?}"),
                    owed = link.pending.len(),
                );
                link.fail_pending();
                if end == LinkEnd::Released {
                    return;
                }
                match self.reconnect(&mut calls).await {
                    Some(fresh) => link = fresh,
                    None => break,
                }
            }
        }
    }

    /// Connects for the first call. Calls queued meanwhile wait for the same attempt.
    async fn open_connection(
        &self,
        call: LinkCall,
        calls: &mut mpsc::Receiver<LinkCall>,
    ) -> Option<OpenLink> {
        self.state
            .send_replace(LinkState::Connecting(self.clock.now()));
        match self.connect().await {
            Ok(mut link) => {
                link.queue_call(call, self.clock.now());
                Some(link)
            }
            Err(error) => {
                log_event!(
                    Level::Warn,
                    "statement_link_refused",
                    peer = self.address,
                    cause = error,
                );
                let mut wanted = call.is_wanted();
                refuse(call);
                while let Ok(call) = calls.try_recv() {
                    wanted |= call.is_wanted();
                    refuse(call);
                }
                if wanted {
                    return self.reconnect(calls).await;
                }
                self.state.send_replace(LinkState::Failed(self.clock.now()));
                None
            }
        }
    }

    /// Tries to connect repeatedly for as long as calls arrive, and refuses them meanwhile.
    ///
    /// Held until the attempt timed out, a call would lose time in which the next leaseholder could
    /// serve it.
    async fn reconnect(&self, calls: &mut mpsc::Receiver<LinkCall>) -> Option<OpenLink> {
        self.state.send_replace(LinkState::Down);
        let link = self.try_reconnecting(calls).await;
        if link.is_none() {
            self.state.send_replace(LinkState::Idle);
        }
        link
    }

    async fn try_reconnecting(&self, calls: &mut mpsc::Receiver<LinkCall>) -> Option<OpenLink> {
        let mut last_wanted = Instant::now();
        while last_wanted.elapsed() < RECONNECT_WINDOW {
            let connecting = self.connect();
            tokio::pin!(connecting);
            let link = loop {
                tokio::select! {
                    link = &mut connecting => break link,
                    call = calls.recv() => {
                        let call = call?;
                        if call.is_wanted() {
                            last_wanted = Instant::now();
                        }
                        refuse(call);
                    }
                }
            };
            if let Ok(link) = link {
                log_event!(Level::Info, "statement_link_regained", peer = self.address);
                return Some(link);
            }
            let pause = sleep(RECONNECT_PAUSE);
            tokio::pin!(pause);
            loop {
                tokio::select! {
                    () = &mut pause => break,
                    call = calls.recv() => {
                        let call = call?;
                        if call.is_wanted() {
                            last_wanted = Instant::now();
                        }
                        refuse(call);
                    }
                }
            }
        }
        None
    }

    async fn connect(&self) -> io::Result<OpenLink> {
        let opening = timeout(self.connect_timeout, self.open());
        opening.await.map_err(|_| io::ErrorKind::TimedOut)?
    }

    /// Connects and waits for the answer to a ping.
    ///
    /// The kernel accepts connections even for a process that hangs. A statement written to such a
    /// connection would be in doubt although it never ran.
    async fn open(&self) -> io::Result<OpenLink> {
        let stream = connect_stream(self.address, self.connect_timeout).await?;
        tune_stream(&stream, UNACKNOWLEDGED_TIMEOUT)?;
        let mut link = OpenLink {
            stream,
            codec: FrameCodec::new()?,
            unsent: BytesMut::new(),
            received: BytesMut::with_capacity(READ_BYTES),
            pending: BTreeMap::new(),
            verifications: Vec::new(),
            last_call: 0,
            detector: LinkFailureDetector::new(self.clock.now()),
            stopping: false,
        };
        link.await_pong().await?;
        link.detector.note_received(self.clock.now());
        Ok(link)
    }
}

impl LinkCall {
    /// Returns whether the link should go on trying to connect for this call's sake.
    fn is_wanted(&self) -> bool {
        match self {
            Self::Statement { .. } => true,
            Self::Prepare { lasting } => *lasting,
            Self::Verify(_) => false,
        }
    }
}

/// Fails a call that was not written to any connection.
fn refuse(call: LinkCall) {
    if let LinkCall::Statement { reply, .. } = call {
        // Sending fails if the caller has stopped waiting.
        let _ = reply.send(Err(LinkError::Unreachable));
    }
}

impl OpenLink {
    async fn await_pong(&mut self) -> io::Result<()> {
        let greeting = self.codec.encode(&StatementFrame::Ping, &mut self.unsent);
        greeting.map_err(io::Error::other)?;
        self.stream.write_all_buf(&mut self.unsent).await?;
        loop {
            match self.codec.decode(&mut self.received) {
                Ok(Some(StatementFrame::Pong)) => return Ok(()),
                Ok(Some(_)) => return Err(io::ErrorKind::InvalidData.into()),
                Err(error) => return Err(io::Error::other(error)),
                Ok(None) => {}
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Sends calls and receives replies until the connection ends.
    async fn serve(&mut self, calls: &mut mpsc::Receiver<LinkCall>, task: &LinkTask) -> LinkEnd {
        let clock = task.clock;
        loop {
            if self.stopping && self.pending.is_empty() {
                return LinkEnd::Stopped;
            }
            let now = clock.now();
            let recheck_after = match self.check_silence(now) {
                Ok(recheck_after) => recheck_after,
                Err(end) => return end,
            };
            self.publish_state(now, task);
            let awaits_reply = recheck_after.is_some();
            let recheck_after = recheck_after.unwrap_or_default();
            let (mut reader, mut writer) = self.stream.split();
            self.received.reserve(READ_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut self.received) => {
                    if !matches!(read, Ok(count) if count > 0) {
                        return LinkEnd::Broken;
                    }
                    self.detector.note_received(clock.now());
                    for waiting in self.verifications.drain(..) {
                        let _ = waiting.send(());
                    }
                    if !self.handle_frames() {
                        return LinkEnd::Malformed;
                    }
                }
                written = writer.write_buf(&mut self.unsent), if !self.unsent.is_empty() => {
                    if written.is_err() {
                        return LinkEnd::Broken;
                    }
                }
                call = calls.recv(), if self.unsent.len() < MAX_UNSENT_BYTES => {
                    let Some(call) = call else {
                        return LinkEnd::Released;
                    };
                    let now = clock.now();
                    self.queue_call(call, now);
                    for _ in 1..MAX_FRAMES_PER_BATCH {
                        let Ok(call) = calls.try_recv() else { break };
                        self.queue_call(call, now);
                    }
                }
                () = sleep_until(Instant::now() + recheck_after), if awaits_reply => {}
            }
        }
    }

    /// Publishes whether further calls may be sent.
    fn publish_state(&self, now: ClockTime, task: &LinkTask) {
        let fresh = if self.stopping {
            LinkState::Down
        } else if self.detector.is_suspect(now) {
            task.last_silence.send_replace(Some(now));
            LinkState::Suspect
        } else {
            LinkState::Open
        };
        let state = &task.state;
        state.send_if_modified(|held| std::mem::replace(held, fresh) != fresh);
    }

    /// Checks how long the other side has been silent while it owes replies, and pings it if need
    /// be.
    ///
    /// Returns the time until the next check; `None` if no reply is due.
    ///
    /// # Errors
    ///
    /// Returns [`LinkEnd::Silent`] if the ping went unanswered.
    fn check_silence(&mut self, now: ClockTime) -> Result<Option<Duration>, LinkEnd> {
        let oldest = self.pending.first_key_value().map(|(_, call)| call.since);
        let Some(oldest) = oldest.or(self.detector.probed_at()) else {
            return Ok(None);
        };
        match self.detector.judge(now, oldest) {
            LinkStep::WaitUntil(moment) => Ok(Some(moment.since(now))),
            LinkStep::Probe => {
                // Encoding can't fail: the frame is far shorter than the length limit.
                let _ = self.codec.encode(&StatementFrame::Ping, &mut self.unsent);
                Ok(Some(ragwort_policy::LINK_SUSPECT_AFTER))
            }
            LinkStep::GiveUp => Err(LinkEnd::Silent),
        }
    }

    fn queue_call(&mut self, call: LinkCall, now: ClockTime) {
        if self.stopping {
            return refuse(call);
        }
        let (kind, request, reply) = match call {
            LinkCall::Statement {
                kind,
                request,
                reply,
            } => (kind, request, reply),
            LinkCall::Verify(confirm) => return self.verify(confirm, now),
            LinkCall::Prepare { .. } => return,
        };
        // The caller has stopped waiting, so the statement is not run.
        if reply.is_closed() {
            return;
        }
        self.last_call += 1;
        let frame = match kind {
            CallKind::Execute => StatementFrame::Execute(self.last_call, *request),
            CallKind::Relay => StatementFrame::Relay(self.last_call, *request),
        };
        if let Err(error) = self.codec.encode(&frame, &mut self.unsent) {
            let _ = reply.send(Err(LinkError::Rejected(error.to_string())));
            return;
        }
        let pending = PendingReply { since: now, reply };
        self.pending.insert(self.last_call, pending);
    }

    fn verify(&mut self, confirm: oneshot::Sender<()>, now: ClockTime) {
        if self.detector.is_quiet_for(now, RECENT_RECEIPT) {
            if self.detector.begin_probe(now) {
                // Encoding can't fail: the frame is far shorter than the length limit.
                let _ = self.codec.encode(&StatementFrame::Ping, &mut self.unsent);
            }
            self.verifications.push(confirm);
        } else {
            let _ = confirm.send(());
        }
    }

    /// Handles all frames that have been received; false if one is invalid.
    fn handle_frames(&mut self) -> bool {
        loop {
            let (call, reply) = match self.codec.decode(&mut self.received) {
                Ok(Some(StatementFrame::Reply(call, reply))) => (call, Ok(reply)),
                Ok(Some(StatementFrame::Lost(call))) => (call, Err(LinkError::Lost)),
                Ok(Some(StatementFrame::Pong)) => continue,
                Ok(Some(StatementFrame::Stopping)) => {
                    self.stopping = true;
                    continue;
                }
                Ok(None) => return true,
                Ok(Some(_)) | Err(_) => return false,
            };
            if let Some(waiting) = self.pending.remove(&call) {
                let _ = waiting.reply.send(reply);
            }
        }
    }

    /// Fails all calls that await a reply: their statements may have run.
    fn fail_pending(&mut self) {
        self.verifications.clear();
        for (_, waiting) in std::mem::take(&mut self.pending) {
            let _ = waiting.reply.send(Err(LinkError::Lost));
        }
    }
}
