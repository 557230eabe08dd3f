//! A leaseholder's side of the links that carry statements.

use super::FRAMES_AT_ONCE;
use super::MOST_UNSENT;
use super::READ_BYTES;
use crate::descriptors::DescriptorBudget;
use crate::descriptors::DescriptorUse;
use crate::log_event;
use crate::sockets::tune_stream;
use async_trait::async_trait;
use bytes::BytesMut;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use log::Level;
use ragwort_rpc::FrameCodec;
use ragwort_rpc::StatementFrame;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Statements of one gateway that may be under way at once; it reads no further ones beyond that.
const MOST_UNDER_WAY: usize = 16_384;

/// Unacknowledged bytes older than this end a connection: its gateway is gone.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(10);

/// The pause after a connection could not be accepted, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a VM that stops waits for its gateways to close their links: beyond the ways there and back
/// and the calls that are still answered, only one that is gone lets it wait.
const STOPPING_LIMIT: Duration = Duration::from_millis(400);

/// What runs the statements that arrive.
#[async_trait]
pub trait StatementRunner: Send + Sync {
    /// Runs a statement at this VM's leaseholder; `None` if it may have run and has no reply.
    async fn run_here(&self, request: StatementRequest) -> Option<StatementReply>;

    /// Brings a statement to its leaseholder.
    async fn bring_on(&self, request: StatementRequest) -> StatementReply;
}

/// Serves gateways until told to stop.
pub async fn serve_statements(
    listener: TcpListener,
    runner: Arc<dyn StatementRunner>,
    descriptors: DescriptorBudget,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let link_stop = stop.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let hold = descriptors.hold(DescriptorUse::StatementLinks);
                    let serving = serve_link(stream, Arc::clone(&runner), link_stop.clone());
                    connections.spawn(async move {
                        serving.await;
                        drop(hold);
                    });
                }
                Err(error) => {
                    log_event!(Level::Warn, "statement_link_not_accepted", cause = error);
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            changed = stop.changed() => {
                if changed.is_err() || *stop.borrow() {
                    break;
                }
            }
        }
    }
    // A gateway that connects now is refused at once in place of waiting for a greeting.
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_link(
    stream: TcpStream,
    runner: Arc<dyn StatementRunner>,
    mut stop: watch::Receiver<bool>,
) {
    let mut link = match ServedLink::open(stream, runner) {
        Ok(link) => link,
        Err(error) => {
            log_event!(Level::Warn, "statement_link_not_accepted", cause = error);
            return;
        }
    };
    tokio::select! {
        () = link.serve() => return,
        _ = stop.wait_for(|set| *set) => {}
    }
    link.finish().await;
}

/// A gateway's connection.
struct ServedLink {
    stream: TcpStream,
    runner: Arc<dyn StatementRunner>,
    codec: FrameCodec,
    received: BytesMut,
    unsent: BytesMut,
    under_way: FuturesUnordered<BoxFuture<'static, StatementFrame>>,
}

impl ServedLink {
    fn open(stream: TcpStream, runner: Arc<dyn StatementRunner>) -> io::Result<Self> {
        tune_stream(&stream, UNACKNOWLEDGED_LIMIT)?;
        Ok(Self {
            stream,
            runner,
            codec: FrameCodec::new()?,
            received: BytesMut::with_capacity(READ_BYTES),
            unsent: BytesMut::new(),
            under_way: FuturesUnordered::new(),
        })
    }

    /// Runs what arrives until the gateway closes the connection or says what is no call.
    async fn serve(&mut self) {
        loop {
            let (mut reader, mut writer) = self.stream.split();
            let room = self.under_way.len() < MOST_UNDER_WAY && self.unsent.len() < MOST_UNSENT;
            self.received.reserve(READ_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut self.received), if room => {
                    if !matches!(read, Ok(count) if count > 0) || !self.take_frames() {
                        return;
                    }
                }
                written = writer.write_buf(&mut self.unsent), if !self.unsent.is_empty() => {
                    if written.is_err() {
                        return;
                    }
                }
                Some(frame) = self.under_way.next(), if !self.under_way.is_empty() => {
                    self.put(&frame);
                    for _ in 1..FRAMES_AT_ONCE {
                        let next = futures::FutureExt::now_or_never(self.under_way.next());
                        let Some(Some(frame)) = next else { break };
                        self.put(&frame);
                    }
                }
            }
        }
    }

    /// Asks the gateway to close the link, and answers what comes until it does.
    ///
    /// Were the connection closed here, its gateway couldn't tell which of its calls were read, and
    /// would leave callers in doubt about statements that never ran.
    async fn finish(&mut self) {
        self.put(&StatementFrame::Stopping);
        if timeout(STOPPING_LIMIT, self.serve()).await.is_err() {
            let unanswered = self.under_way.len();
            log_event!(Level::Warn, "statement_link_cut", unanswered = unanswered);
        }
    }

    fn take_frames(&mut self) -> bool {
        loop {
            let runner = Arc::clone(&self.runner);
            match self.codec.decode(&mut self.received) {
                Ok(Some(StatementFrame::Execute(call, request))) => {
                    self.under_way.push(Box::pin(async move {
                        match runner.run_here(request).await {
                            Some(reply) => StatementFrame::Reply(call, reply),
                            None => StatementFrame::Lost(call),
                        }
                    }));
                }
                Ok(Some(StatementFrame::Relay(call, request))) => {
                    self.under_way.push(Box::pin(async move {
                        StatementFrame::Reply(call, runner.bring_on(request).await)
                    }));
                }
                Ok(Some(StatementFrame::Ping)) => self.put(&StatementFrame::Pong),
                Ok(None) => return true,
                Ok(Some(_)) | Err(_) => {
                    log_event!(Level::Warn, "statement_link_malformed");
                    return false;
                }
            }
        }
    }

    fn put(&mut self, frame: &StatementFrame) {
        let Err(error) = self.codec.encode(frame, &mut self.unsent) else {
            return;
        };
        log_event!(Level::Error, "reply_not_sent", cause = error);
        if let StatementFrame::Reply(call, _) = frame {
            // It is far shorter than any message may be.
            let lost = StatementFrame::Lost(*call);
            let _ = self.codec.encode(&lost, &mut self.unsent);
        }
    }
}
