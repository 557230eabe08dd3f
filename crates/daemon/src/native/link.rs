//! One connection to an endpoint whose database keeps terms of its own.
//!
//! A task owns the socket and carries out one order at a time: the steps that bring the connection
//! into the session's state, then the statement. A step that fails ends the order, so a statement
//! never runs in a wrong state, and what was not sent is reported as such.

use crate::edges::EndpointCommand;
use crate::edges::EndpointEnd;
use crate::edges::EndpointMessage;
use crate::edges::EndpointProtocol;
use crate::shortage::note_shortage;
use crate::sockets::tune_stream;
use bytes::BytesMut;
use ragwort_types::AccountName;
use ragwort_types::EndpointFault;
use ragwort_types::GroupName;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::StatementId;
use smallvec::SmallVec;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

/// Unacknowledged bytes older than this end the connection, instead of the kernel's many minutes of
/// retransmission.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);

/// Orders that may wait for a connection: one that runs, and one behind it.
const ORDER_QUEUE: usize = 4;

/// The bytes read at once. Answers take about a kilobyte.
const READ_BYTES: usize = 4_096;

/// Identifies a connection within one leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkId(pub(crate) u64);

/// Where and how to connect.
#[derive(Clone)]
pub(crate) struct LinkTarget {
    /// Identifies the connection in its events.
    pub(crate) id: LinkId,
    /// The endpoint's address.
    pub(crate) address: SocketAddr,
    /// The group.
    pub(crate) group: GroupName,
    /// The instance that is expected there.
    pub(crate) instance: InstanceName,
    /// The account for whose callers it is opened.
    pub(crate) account: Option<AccountName>,
    /// How long it may take until the connection is open.
    pub(crate) open_limit: Duration,
    /// How the endpoint speaks.
    pub(crate) protocol: Arc<dyn EndpointProtocol>,
}

/// Commands in the order in which they are to be sent; the last one is what the order is about.
pub(crate) type CommandList = SmallVec<[EndpointCommand; 3]>;

/// What the leaseholder asks of a connection.
#[derive(Debug)]
pub(crate) struct LinkOrder {
    /// What the order is for.
    pub(crate) purpose: LinkPurpose,
    /// The commands.
    pub(crate) commands: CommandList,
    /// When the last answer must be there.
    pub(crate) until: Instant,
}

/// What an order is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkPurpose {
    /// It runs a caller's statement.
    Statement(StatementId),
    /// It asks the endpoint about itself.
    Report,
    /// It only checks that the endpoint answers.
    Proof,
}

/// What a connection tells the leaseholder.
#[derive(Debug)]
pub(crate) struct LinkEvent {
    /// The connection.
    pub(crate) id: LinkId,
    /// What happened.
    pub(crate) change: LinkChange,
}

/// What happened to a connection.
#[derive(Debug)]
pub(crate) enum LinkChange {
    /// It is open; this is where the instance's log stands.
    Opened(Option<LogPosition>),
    /// An order ended.
    Finished(LinkPurpose, LinkOutcome),
    /// It is closed, for this reason; no further event follows.
    Closed(CloseCause),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseCause {
    /// The leaseholder let go of it.
    Released,
    /// The endpoint refused it: nobody listens there, or the process is gone.
    Refused,
    /// This VM has no descriptor, memory or port for it; nothing is known of the endpoint.
    Exhausted,
    /// Another instance answers at the address.
    WrongInstance,
    /// The endpoint takes no more connections.
    Full,
    /// Nothing was heard within the limit.
    Silent,
    /// It broke after it was open.
    Broken,
}

/// How an order ended.
#[derive(Debug)]
pub(crate) struct LinkOutcome {
    /// How many commands were done, each with its own end.
    pub(crate) done: usize,
    /// What became of the command after those, or of the last one.
    pub(crate) result: LinkResult,
    /// The end of the last answer that came whole.
    pub(crate) end: Option<EndpointEnd>,
}

/// What became of an order's last command that was begun.
#[derive(Debug)]
pub(crate) enum LinkResult {
    /// The last command of the order was answered.
    Answered(LinkAnswer),
    /// A command was answered with a fault; those behind it were not sent.
    Fault(EndpointFault),
    /// Nothing of it was sent.
    NotSent,
    /// The connection broke after it was sent.
    Lost,
    /// No whole answer came in time.
    Silent,
}

/// A whole answer.
#[derive(Debug, Default)]
pub(crate) struct LinkAnswer {
    /// Its rows.
    pub(crate) rows: Vec<String>,
    /// The text that completes it.
    pub(crate) tag: String,
}

/// Starts a connection's task. The caller joins the handle after it has dropped the sender.
pub(crate) fn spawn_link(
    target: LinkTarget,
    events: mpsc::Sender<LinkEvent>,
) -> (mpsc::Sender<LinkOrder>, JoinHandle<()>) {
    let (sender, orders) = mpsc::channel(ORDER_QUEUE);
    let handle = tokio::spawn(async move {
        let id = target.id;
        let cause = run_link(target, orders, &events).await;
        let change = LinkChange::Closed(cause);
        // Without a leaseholder nobody needs to know.
        let _ = events.send(LinkEvent { id, change }).await;
    });
    (sender, handle)
}

async fn run_link(
    target: LinkTarget,
    mut orders: mpsc::Receiver<LinkOrder>,
    events: &mpsc::Sender<LinkEvent>,
) -> CloseCause {
    let id = target.id;
    let opening = timeout(target.open_limit, open_socket(&target)).await;
    let opening = opening.unwrap_or(Err(CloseCause::Silent));
    let (mut socket, end) = match opening {
        Ok(opened) => opened,
        // A statement may have been ordered while the connection was being opened.
        Err(cause) => {
            return_unsent(id, orders, events).await;
            return cause;
        }
    };
    let opened = LinkEvent {
        id,
        change: LinkChange::Opened(end.position),
    };
    if events.send(opened).await.is_err() {
        return CloseCause::Released;
    }
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            // Nothing is expected between two orders: whatever comes is the end.
            () = socket.wait_for_end() => return CloseCause::Broken,
        };
        let Some(order) = order else {
            return CloseCause::Released;
        };
        let purpose = order.purpose;
        let outcome = socket.carry_out(order).await;
        let cause = match &outcome.result {
            LinkResult::Answered(_) | LinkResult::Fault(_) => None,
            LinkResult::NotSent | LinkResult::Lost => Some(CloseCause::Broken),
            LinkResult::Silent => Some(CloseCause::Silent),
        };
        let change = LinkChange::Finished(purpose, outcome);
        if events.send(LinkEvent { id, change }).await.is_err() {
            return CloseCause::Released;
        }
        // A connection that owes an answer is never used again: the late answer would be taken for
        // the next statement's.
        if let Some(cause) = cause {
            return_unsent(id, orders, events).await;
            return cause;
        }
    }
}

/// Hands back the orders that were given while the connection turned out to be dead.
///
/// Callers would otherwise be left in doubt about statements of which no byte was sent.
async fn return_unsent(
    id: LinkId,
    mut orders: mpsc::Receiver<LinkOrder>,
    events: &mpsc::Sender<LinkEvent>,
) {
    orders.close();
    while let Some(order) = orders.recv().await {
        let outcome = LinkOutcome {
            done: 0,
            result: LinkResult::NotSent,
            end: None,
        };
        let change = LinkChange::Finished(order.purpose, outcome);
        if events.send(LinkEvent { id, change }).await.is_err() {
            return;
        }
    }
}

async fn open_socket(target: &LinkTarget) -> Result<(LinkSocket, EndpointEnd), CloseCause> {
    let stream = TcpStream::connect(target.address).await;
    let stream = stream.map_err(|error| cause_of_error(&error))?;
    tune_stream(&stream, UNACKNOWLEDGED_LIMIT).map_err(|error| cause_of_error(&error))?;
    let mut socket = LinkSocket {
        stream,
        protocol: Arc::clone(&target.protocol),
        received: BytesMut::with_capacity(READ_BYTES),
        sent: BytesMut::new(),
    };
    let open = EndpointCommand::Open {
        group: target.group.clone(),
        instance: target.instance.clone(),
        account: target.account.clone(),
    };
    match socket.exchange(&open, ExchangeKind::Opening).await {
        Exchange::Answered(_, end) => Ok((socket, end)),
        Exchange::Fault(fault, _) => Err(cause_of(&fault)),
        Exchange::NotSent | Exchange::Lost => Err(CloseCause::Refused),
    }
}

fn cause_of_error(error: &io::Error) -> CloseCause {
    match note_shortage(error) {
        true => CloseCause::Exhausted,
        false => CloseCause::Refused,
    }
}

fn cause_of(fault: &EndpointFault) -> CloseCause {
    match fault.sort {
        ragwort_types::FaultSort::WrongInstance => CloseCause::WrongInstance,
        ragwort_types::FaultSort::ConnectionLimit => CloseCause::Full,
        _ => CloseCause::Refused,
    }
}

/// What one command led to.
enum Exchange {
    Answered(LinkAnswer, EndpointEnd),
    Fault(EndpointFault, Option<EndpointEnd>),
    NotSent,
    Lost,
}

/// Whether an answer may end with its fault alone, as the refusal of a connection does.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExchangeKind {
    Opening,
    Statement,
}

/// A connected socket with what was read from it.
struct LinkSocket {
    stream: TcpStream,
    protocol: Arc<dyn EndpointProtocol>,
    received: BytesMut,
    sent: BytesMut,
}

impl LinkSocket {
    /// Carries out an order's commands one after the other.
    ///
    /// Each waits for the one before. Sent together, a statement behind a refused BEGIN would run
    /// outside of any transaction.
    async fn carry_out(&mut self, order: LinkOrder) -> LinkOutcome {
        let mut done = 0;
        let mut last_end = None;
        let outcome = |done, result, end| LinkOutcome { done, result, end };
        let last = order.commands.len().saturating_sub(1);
        // It waited behind another order until nobody wants its answer any more.
        if Instant::now() >= order.until {
            return outcome(0, LinkResult::NotSent, None);
        }
        for (index, command) in order.commands.iter().enumerate() {
            let exchanging = self.exchange(command, ExchangeKind::Statement);
            match timeout_at(order.until, exchanging).await {
                Ok(Exchange::Answered(answer, end)) => {
                    last_end = Some(end);
                    if index == last {
                        return outcome(done + 1, LinkResult::Answered(answer), last_end);
                    }
                    done += 1;
                }
                Ok(Exchange::Fault(fault, end)) => {
                    return outcome(done, LinkResult::Fault(fault), end.or(last_end));
                }
                Ok(Exchange::NotSent) => return outcome(done, LinkResult::NotSent, last_end),
                Ok(Exchange::Lost) => return outcome(done, LinkResult::Lost, last_end),
                Err(_) => return outcome(done, LinkResult::Silent, last_end),
            }
        }
        outcome(done, LinkResult::NotSent, last_end)
    }

    async fn exchange(&mut self, command: &EndpointCommand, kind: ExchangeKind) -> Exchange {
        self.sent.clear();
        self.protocol.encode(command, &mut self.sent);
        // Once the write has begun a part of it may arrive.
        if self.is_closed() {
            return Exchange::NotSent;
        }
        if self.stream.write_all(&self.sent).await.is_err() {
            return Exchange::Lost;
        }
        let mut answer = LinkAnswer::default();
        let mut fault = None;
        loop {
            match self.protocol.decode(&mut self.received) {
                Ok(Some(EndpointMessage::Row(row))) => answer.rows.push(row),
                Ok(Some(EndpointMessage::Complete(tag))) => answer.tag = tag,
                Ok(Some(EndpointMessage::Fault(reported))) if kind == ExchangeKind::Opening => {
                    return Exchange::Fault(reported, None);
                }
                Ok(Some(EndpointMessage::Fault(reported))) => fault = Some(reported),
                Ok(Some(EndpointMessage::Ready(end))) => {
                    return match fault {
                        Some(fault) => Exchange::Fault(fault, Some(end)),
                        None => Exchange::Answered(answer, end),
                    };
                }
                Ok(None) => {
                    if !matches!(self.fill().await, Ok(count) if count > 0) {
                        return Exchange::Lost;
                    }
                }
                Err(_) => return Exchange::Lost,
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.received.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.received).await
    }

    /// Says whether the other end has closed the connection already.
    ///
    /// A statement that is written to it would be lost and its caller left in doubt.
    fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Ok(0) => true,
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits until the other end closes the connection or says something unasked.
    async fn wait_for_end(&mut self) {
        loop {
            if self.stream.readable().await.is_err() || self.is_closed() {
                return;
            }
        }
    }
}
