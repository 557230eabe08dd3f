//! The server side of statement links: runs or relays the statements that gateways send.
//!
//! Statements of one connection run concurrently, and their replies are sent in the order of
//! completion. On shutdown the server asks the gateway to close the link and answers all calls that
//! it has read, so that no caller is left in doubt about a statement that never ran.

use super::MAX_FRAMES_PER_BATCH;
use super::MAX_UNSENT_BYTES;
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

/// The maximum number of statements in flight on one connection. Above it no further frames are
/// read.
const MAX_IN_FLIGHT: usize = 16_384;

/// The age of unacknowledged bytes at which a connection is closed, as its gateway is unreachable.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after a failed accept, which is usually due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The maximum time that a stopping VM waits for gateways to close their links. It covers the round
/// trip and the calls still to be answered; only an unreachable gateway uses it up.
const STOP_TIMEOUT: Duration = Duration::from_millis(400);

/// Runs the statements that gateways send.
#[async_trait]
pub trait StatementRunner: Send + Sync {
    /// Runs a statement on this VM, the group's leaseholder; `None` if it may have run but has no
    /// reply.
    async fn run_locally(&self, request: StatementRequest) -> Option<StatementReply>;

    /// Relays a statement to its leaseholder.
    async fn relay_statement(&self, request: StatementRequest) -> StatementReply;
}

/// Serves gateways until `stop` holds true and all links are closed.
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
                    let guard = descriptors.hold(DescriptorUse::StatementLinks);
                    let serving = serve_link(stream, Arc::clone(&runner), link_stop.clone());
                    connections.spawn(async move {
                        serving.await;
                        drop(guard);
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
    // New connections are refused at once from here on. Otherwise a gateway would wait for the
    // answer to its first ping.
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

/// The server's end of a statement link.
struct ServedLink {
    stream: TcpStream,
    runner: Arc<dyn StatementRunner>,
    codec: FrameCodec,
    received: BytesMut,
    unsent: BytesMut,
    in_flight: FuturesUnordered<BoxFuture<'static, StatementFrame>>,
}

impl ServedLink {
    fn open(stream: TcpStream, runner: Arc<dyn StatementRunner>) -> io::Result<Self> {
        tune_stream(&stream, UNACKNOWLEDGED_TIMEOUT)?;
        Ok(Self {
            stream,
            runner,
            codec: FrameCodec::new()?,
            received: BytesMut::with_capacity(READ_BYTES),
            unsent: BytesMut::new(),
            in_flight: FuturesUnordered::new(),
        })
    }

    /// Serves calls until the gateway closes the connection or sends an invalid frame.
    async fn serve(&mut self) {
        loop {
            let (mut reader, mut writer) = self.stream.split();
            let can_read =
                self.in_flight.len() < MAX_IN_FLIGHT && self.unsent.len() < MAX_UNSENT_BYTES;
            self.received.reserve(READ_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut self.received), if can_read => {
                    if !matches!(read, Ok(count) if count > 0) || !self.handle_frames() {
                        return;
                    }
                }
                written = writer.write_buf(&mut self.unsent), if !self.unsent.is_empty() => {
                    if written.is_err() {
                        return;
                    }
                }
                Some(frame) = self.in_flight.next(), if !self.in_flight.is_empty() => {
                    self.queue_frame(&frame);
                    for _ in 1..MAX_FRAMES_PER_BATCH {
                        let next = futures::FutureExt::now_or_never(self.in_flight.next());
                        let Some(Some(frame)) = next else { break };
                        self.queue_frame(&frame);
                    }
                }
            }
        }
    }

    /// Asks the gateway to close the link, and answers calls until it does.
    ///
    /// If this side closed the connection, the gateway couldn't tell which of its calls had been
    /// read, and would have to report statements that never ran as in doubt.
    async fn finish(&mut self) {
        self.queue_frame(&StatementFrame::Stopping);
        if timeout(STOP_TIMEOUT, self.serve()).await.is_err() {
            let unanswered = self.in_flight.len();
            log_event!(Level::Warn, "statement_link_cut", unanswered = unanswered);
        }
    }

    fn handle_frames(&mut self) -> bool {
        loop {
            let runner = Arc::clone(&self.runner);
            match self.codec.decode(&mut self.received) {
                Ok(Some(StatementFrame::Execute(call, request))) => {
                    self.in_flight.push(Box::pin(async move {
                        match runner.run_locally(request).await {
                            Some(reply) => StatementFrame::Reply(call, reply),
                            None => StatementFrame::Lost(call),
                        }
                    }));
                }
                Ok(Some(StatementFrame::Relay(call, request))) => {
                    self.in_flight.push(Box::pin(async move {
                        StatementFrame::Reply(call, runner.relay_statement(request).await)
                    }));
                }
                Ok(Some(StatementFrame::Ping)) => self.queue_frame(&StatementFrame::Pong),
                Ok(None) => return true,
                Ok(Some(_)) | Err(_) => {
                    log_event!(Level::Warn, "statement_link_malformed");
                    return false;
                }
            }
        }
    }

    fn queue_frame(&mut self, frame: &StatementFrame) {
        let Err(error) = self.codec.encode(frame, &mut self.unsent) else {
            return;
        };
        log_event!(Level::Error, "reply_not_sent", cause = error);
        if let StatementFrame::Reply(call, _) = frame {
            // Encoding can't fail: the frame is far shorter than the length limit.
            let lost = StatementFrame::Lost(*call);
            let _ = self.codec.encode(&lost, &mut self.unsent);
        }
    }
}
