//! A gateway's links to leaseholders.
//!
//! A call that was never written to a connection has not run. One whose connection ended before the
//! reply may have.

use super::FRAMES_AT_ONCE;
use super::MOST_UNSENT;
use super::READ_BYTES;
use crate::clock::NodeClock;
use crate::connecting::connect_stream;
use crate::log_event;
use crate::peers::LinkError;
use crate::sockets::tune_stream;
use bytes::BytesMut;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_policy::LinkStep;
use ragwort_policy::LinkWatch;
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
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// Calls that may wait for one link's task, which takes them in at once.
const CALL_QUEUE: usize = 16_384;

/// Unacknowledged bytes older than this end a connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);

/// The pause between two attempts to connect to a VM that is out of reach. A process is back a second
/// after it was killed; until then each attempt costs two packets.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// How long a VM that is out of reach is tried without a call for it: statements go elsewhere by then.
const INTEREST: Duration = Duration::from_secs(5);

type CallReply = Result<StatementReply, LinkError>;

/// Whether the called VM is to run a statement or to bring it to the leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSort {
    /// It leads the statement's group.
    Execute,
    /// It reaches the leaseholder, which this VM does not.
    Relay,
}

/// What a link's task is asked.
enum LinkCall {
    /// To make a call.
    Statement {
        sort: CallSort,
        request: Box<StatementRequest>,
        reply: oneshot::Sender<CallReply>,
    },
    /// To be connected when a call comes.
    Prepare,
}

/// The links of one gateway, by the leaseholders' addresses for statements.
pub struct StatementLinks {
    links: Mutex<HashMap<SocketAddr, mpsc::Sender<LinkCall>>>,
    tasks: Mutex<JoinSet<()>>,
    clock: NodeClock,
    connect_timeout: Duration,
}

impl StatementLinks {
    /// Creates an empty set of links; each connects within `connect_timeout` or not at all.
    pub fn new(clock: NodeClock, connect_timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            links: Mutex::default(),
            tasks: Mutex::default(),
            clock,
            connect_timeout,
        })
    }

    /// Makes one call, answered within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Unreachable`] if the call was not written to any connection, and
    /// [`LinkError::Lost`] if the connection ended or the time ran out after that.
    pub async fn call(
        &self,
        address: SocketAddr,
        sort: CallSort,
        request: StatementRequest,
        limit: Duration,
    ) -> CallReply {
        let (reply, answer) = oneshot::channel();
        let call = LinkCall::Statement {
            sort,
            request: Box::new(request),
            reply,
        };
        if self.link(address).try_send(call).is_err() {
            return Err(LinkError::Unreachable);
        }
        match timeout(limit, answer).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Err(LinkError::Lost),
        }
    }

    /// Connects to a VM ahead of the first call for it, or finds out that it can't be reached.
    pub fn prepare(&self, address: SocketAddr) {
        // A full queue belongs to a link that is in use.
        let _ = self.link(address).try_send(LinkCall::Prepare);
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

    fn link(&self, address: SocketAddr) -> mpsc::Sender<LinkCall> {
        let mut links = self.links.lock().expect("no holder of this lock panics");
        let link = links.entry(address).or_insert_with(|| {
            let (sender, calls) = mpsc::channel(CALL_QUEUE);
            let task = LinkTask {
                address,
                clock: self.clock,
                connect_timeout: self.connect_timeout,
            };
            let mut tasks = self.tasks.lock().expect("no holder of this lock panics");
            tasks.spawn(task.run(calls));
            sender
        });
        link.clone()
    }
}

/// The task of one link.
struct LinkTask {
    address: SocketAddr,
    clock: NodeClock,
    connect_timeout: Duration,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    /// The gateway needs it no more.
    Released,
    /// The other side closed it, or the path did.
    Broken,
    /// The other side owes replies and says nothing.
    Silent,
    /// What came was no frame.
    Malformed,
    /// The other side stops and has answered all that it was sent.
    Stopped,
}

/// A connection with the calls that wait for their replies on it.
struct OpenLink {
    stream: TcpStream,
    codec: FrameCodec,
    unsent: BytesMut,
    received: BytesMut,
    owed: BTreeMap<u64, OwedReply>,
    last_call: u64,
    watch: LinkWatch,
    /// Whether the other side has said that it stops.
    stopping: bool,
}

struct OwedReply {
    since: ClockTime,
    reply: oneshot::Sender<CallReply>,
}

impl LinkTask {
    async fn run(self, mut calls: mpsc::Receiver<LinkCall>) {
        while let Some(call) = calls.recv().await {
            let Some(mut link) = self.find_connection(call, &mut calls).await else {
                continue;
            };
            loop {
                let end = link.serve(&mut calls, self.clock).await;
                log_event!(
                    Level::Warn,
                    "statement_link_ended",
                    peer = self.address,
                    cause = format!("{end:?}"),
                    owed = link.owed.len(),
                );
                link.lose_owed();
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

    /// Connects for the first call; those that come meanwhile wait for the same attempt.
    async fn find_connection(
        &self,
        call: LinkCall,
        calls: &mut mpsc::Receiver<LinkCall>,
    ) -> Option<OpenLink> {
        match self.connect().await {
            Ok(mut link) => {
                link.take_call(call, self.clock.now());
                Some(link)
            }
            Err(error) => {
                log_event!(
                    Level::Warn,
                    "statement_link_refused",
                    peer = self.address,
                    cause = error,
                );
                refuse(call);
                self.reconnect(calls).await
            }
        }
    }

    /// Tries to connect again and again, for as long as calls come, and refuses them meanwhile.
    ///
    /// Were they held until an attempt has timed out, each would cost its caller the time in which the
    /// successor could serve it.
    async fn reconnect(&self, calls: &mut mpsc::Receiver<LinkCall>) -> Option<OpenLink> {
        let mut wanted = Instant::now();
        while wanted.elapsed() < INTEREST {
            let connecting = self.connect();
            tokio::pin!(connecting);
            let link = loop {
                tokio::select! {
                    link = &mut connecting => break link,
                    call = calls.recv() => {
                        refuse(call?);
                        wanted = Instant::now();
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
                        refuse(call?);
                        wanted = Instant::now();
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

    /// Connects and waits for a first answer.
    ///
    /// The system of a process that hangs goes on to accept connections. A statement that were written
    /// to one would leave its caller in doubt, though it never ran.
    async fn open(&self) -> io::Result<OpenLink> {
        let stream = connect_stream(self.address, self.connect_timeout).await?;
        tune_stream(&stream, UNACKNOWLEDGED_LIMIT)?;
        let mut link = OpenLink {
            stream,
            codec: FrameCodec::new()?,
            unsent: BytesMut::new(),
            received: BytesMut::with_capacity(READ_BYTES),
            owed: BTreeMap::new(),
            last_call: 0,
            watch: LinkWatch::new(self.clock.now()),
            stopping: false,
        };
        link.greet().await?;
        link.watch.hear(self.clock.now());
        Ok(link)
    }
}

fn refuse(call: LinkCall) {
    if let LinkCall::Statement { reply, .. } = call {
        // A caller that is gone needs no answer.
        let _ = reply.send(Err(LinkError::Unreachable));
    }
}

impl OpenLink {
    async fn greet(&mut self) -> io::Result<()> {
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

    /// Carries calls and replies until the connection ends.
    async fn serve(&mut self, calls: &mut mpsc::Receiver<LinkCall>, clock: NodeClock) -> LinkEnd {
        loop {
            if self.stopping && self.owed.is_empty() {
                return LinkEnd::Stopped;
            }
            let now = clock.now();
            let look = match self.judge_silence(now) {
                Ok(look) => look,
                Err(end) => return end,
            };
            let owes = look.is_some();
            let look = look.unwrap_or_default();
            let (mut reader, mut writer) = self.stream.split();
            self.received.reserve(READ_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut self.received) => {
                    if !matches!(read, Ok(count) if count > 0) {
                        return LinkEnd::Broken;
                    }
                    self.watch.hear(clock.now());
                    if !self.take_frames() {
                        return LinkEnd::Malformed;
                    }
                }
                written = writer.write_buf(&mut self.unsent), if !self.unsent.is_empty() => {
                    if written.is_err() {
                        return LinkEnd::Broken;
                    }
                }
                call = calls.recv(), if self.unsent.len() < MOST_UNSENT => {
                    let Some(call) = call else {
                        return LinkEnd::Released;
                    };
                    let now = clock.now();
                    self.take_call(call, now);
                    for _ in 1..FRAMES_AT_ONCE {
                        let Ok(call) = calls.try_recv() else { break };
                        self.take_call(call, now);
                    }
                }
                () = sleep_until(Instant::now() + look), if owes => {}
            }
        }
    }

    /// Says when to look at the link's silence again, if it owes anything.
    fn judge_silence(&mut self, now: ClockTime) -> Result<Option<Duration>, LinkEnd> {
        let Some((_, oldest)) = self.owed.first_key_value() else {
            return Ok(None);
        };
        match self.watch.judge(now, oldest.since) {
            LinkStep::WaitUntil(moment) => Ok(Some(moment.since(now))),
            LinkStep::Ask => {
                // A question is far shorter than any message may be.
                let _ = self.codec.encode(&StatementFrame::Ping, &mut self.unsent);
                Ok(Some(ragwort_policy::ANSWER_TIME))
            }
            LinkStep::GiveUp => Err(LinkEnd::Silent),
        }
    }

    fn take_call(&mut self, call: LinkCall, now: ClockTime) {
        if self.stopping {
            return refuse(call);
        }
        let LinkCall::Statement {
            sort,
            request,
            reply,
        } = call
        else {
            return;
        };
        // A caller that is gone wants nothing run any more.
        if reply.is_closed() {
            return;
        }
        self.last_call += 1;
        let frame = match sort {
            CallSort::Execute => StatementFrame::Execute(self.last_call, *request),
            CallSort::Relay => StatementFrame::Relay(self.last_call, *request),
        };
        if let Err(error) = self.codec.encode(&frame, &mut self.unsent) {
            let _ = reply.send(Err(LinkError::Rejected(error.to_string())));
            return;
        }
        let owed = OwedReply { since: now, reply };
        self.owed.insert(self.last_call, owed);
    }

    /// Takes all frames that have arrived; false if what came is none.
    fn take_frames(&mut self) -> bool {
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
            if let Some(owed) = self.owed.remove(&call) {
                let _ = owed.reply.send(reply);
            }
        }
    }

    /// Tells those whose replies won't come that their statements may have run.
    fn lose_owed(&mut self) {
        for (_, owed) in std::mem::take(&mut self.owed) {
            let _ = owed.reply.send(Err(LinkError::Lost));
        }
    }
}
