//! One connection to an endpoint of a native group.
//!
//! A task owns the socket and carries out one order at a time: the commands that restore the
//! session's state on the connection, then the statement. Commands aren't pipelined. The first one
//! that fails ends the order, so a statement never runs in another session's state, and a statement
//! that was not sent is reported as not sent instead of in doubt.

use crate::edges::EndpointCommand;
use crate::edges::EndpointEnd;
use crate::edges::EndpointMessage;
use crate::edges::EndpointProtocol;
use crate::shortage::record_shortage;
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

/// The TCP user timeout: sent data that stays unacknowledged for this long ends the connection.
/// Without it the kernel retransmits for many minutes.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);

/// Capacity of a connection's order queue. While an order runs, at most one more is expected to
/// wait.
const ORDER_QUEUE: usize = 4;

/// Read buffer size in bytes. Answers take about a kilobyte.
const READ_BYTES: usize = 4_096;

/// Identifies a connection within one leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkId(pub(crate) u64);

/// Address, identity and protocol of a connection to be opened.
#[derive(Clone)]
pub(crate) struct LinkTarget {
    /// Identifies the connection in its events.
    pub(crate) id: LinkId,
    /// The endpoint's address.
    pub(crate) address: SocketAddr,
    /// The group of the instance.
    pub(crate) group: GroupName,
    /// The instance that is expected at the address.
    pub(crate) instance: InstanceName,
    /// The account whose callers it serves; `None` for callers without one.
    pub(crate) account: Option<AccountName>,
    /// Time limit for connecting and the opening exchange together.
    pub(crate) open_limit: Duration,
    /// The endpoint's wire protocol.
    pub(crate) protocol: Arc<dyn EndpointProtocol>,
}

/// Commands in sending order. The last one is the order's own; those before it prepare the
/// connection.
pub(crate) type CommandList = SmallVec<[EndpointCommand; 3]>;

/// Commands that the leaseholder sends on a connection as one unit.
#[derive(Debug)]
pub(crate) struct LinkOrder {
    /// The purpose that its outcome is reported with.
    pub(crate) purpose: LinkPurpose,
    /// The commands to send.
    pub(crate) commands: CommandList,
    /// Time by which the last answer must have arrived.
    pub(crate) deadline: Instant,
}

/// The purpose of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkPurpose {
    /// Run a caller's statement.
    Statement(StatementId),
    /// Request the endpoint's report of its role, term and position.
    Report,
    /// Validate an idle connection: check that the endpoint still answers on it.
    ConnectionValidation,
}

/// An event of a connection, sent to the leaseholder.
#[derive(Debug)]
pub(crate) struct LinkEvent {
    /// The connection.
    pub(crate) id: LinkId,
    /// The change of its state.
    pub(crate) change: LinkChange,
}

/// A change of a connection's state.
#[derive(Debug)]
pub(crate) enum LinkChange {
    /// It is open. Holds the instance's log position, if the answer contained one.
    Opened(Option<LogPosition>),
    /// An order ended.
    Finished(LinkPurpose, LinkOutcome),
    /// It is closed; no further event follows.
    Closed(CloseCause),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseCause {
    /// The leaseholder closed it.
    Released,
    /// The connection was refused or failed while it was being opened.
    Refused,
    /// This VM lacks a descriptor, memory or port for it; that says nothing about the endpoint.
    Exhausted,
    /// Another instance answers at the address.
    WrongInstance,
    /// The endpoint has reached its connection limit.
    Full,
    /// No answer arrived within the time limit.
    Silent,
    /// The connection failed after it was open.
    Broken,
}

/// The outcome of an order.
#[derive(Debug)]
pub(crate) struct LinkOutcome {
    /// Number of commands that were answered without a fault.
    pub(crate) done: usize,
    /// Result of the last command that was begun.
    pub(crate) result: LinkResult,
    /// Session state and position at the end of the last complete answer.
    pub(crate) end: Option<EndpointEnd>,
}

/// The result of the last command of an order that was begun.
#[derive(Debug)]
pub(crate) enum LinkResult {
    /// The last command of the order was answered.
    Answered(LinkAnswer),
    /// A command was answered with a fault; the commands after it were not sent.
    Fault(EndpointFault),
    /// No byte of the command was sent.
    NotSent,
    /// The connection failed after sending had begun.
    Lost,
    /// No complete answer arrived before the deadline.
    Silent,
}

/// A complete answer.
#[derive(Debug, Default)]
pub(crate) struct LinkAnswer {
    /// The rows, each as the endpoint encoded it.
    pub(crate) rows: Vec<String>,
    /// The completion tag.
    pub(crate) tag: String,
}

/// Spawns a connection's task, which ends after the returned sender is dropped.
pub(crate) fn spawn_link(
    target: LinkTarget,
    events: mpsc::Sender<LinkEvent>,
) -> (mpsc::Sender<LinkOrder>, JoinHandle<()>) {
    let (sender, orders) = mpsc::channel(ORDER_QUEUE);
    let handle = tokio::spawn(async move {
        let id = target.id;
        let cause = run_link(target, orders, &events).await;
        let change = LinkChange::Closed(cause);
        // The leaseholder's task may have ended.
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
        // Statements may have been queued while the connection was being opened.
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
            // The endpoint sends nothing between two orders, so readable means closed or out of
            // step.
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
        // A connection with an outstanding answer is never used again: the late answer would be
        // taken for that of the next statement.
        if let Some(cause) = cause {
            return_unsent(id, orders, events).await;
            return cause;
        }
    }
}

/// Reports the orders that are still queued on a failed connection as not sent.
///
/// Their callers would otherwise be told that the statements may have run.
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
    match record_shortage(error) {
        true => CloseCause::Exhausted,
        false => CloseCause::Refused,
    }
}

fn cause_of(fault: &EndpointFault) -> CloseCause {
    match fault.sort {
        ragwort_types::EndpointFaultKind::WrongInstance => CloseCause::WrongInstance,
        ragwort_types::EndpointFaultKind::ConnectionLimit => CloseCause::Full,
        _ => CloseCause::Refused,
    }
}

/// The result of sending one command and reading its answer.
enum Exchange {
    Answered(LinkAnswer, EndpointEnd),
    Fault(EndpointFault, Option<EndpointEnd>),
    NotSent,
    Lost,
}

/// The kind of command that is exchanged.
///
/// A fault ends the answer to an opening command. After any other command the end of the answer
/// follows the fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExchangeKind {
    Opening,
    Statement,
}

/// A connected socket with its read and write buffers.
struct LinkSocket {
    stream: TcpStream,
    protocol: Arc<dyn EndpointProtocol>,
    received: BytesMut,
    sent: BytesMut,
}

impl LinkSocket {
    /// Carries out an order's commands one after the other.
    ///
    /// Each command is sent only after the one before was answered. If they were pipelined, a
    /// statement after a refused BEGIN would run outside any transaction.
    async fn carry_out(&mut self, order: LinkOrder) -> LinkOutcome {
        let mut done = 0;
        let mut last_end = None;
        let outcome = |done, result, end| LinkOutcome { done, result, end };
        let last = order.commands.len().saturating_sub(1);
        // The deadline passed while the order was queued behind another one.
        if Instant::now() >= order.deadline {
            return outcome(0, LinkResult::NotSent, None);
        }
        for (index, command) in order.commands.iter().enumerate() {
            let exchanging = self.exchange(command, ExchangeKind::Statement);
            match timeout_at(order.deadline, exchanging).await {
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
        // Once the write has begun, a part of the command may arrive, and it can't be reported as
        // not sent.
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

    /// Returns whether the endpoint has closed the connection or sent data that nothing asked for.
    ///
    /// A statement written to such a connection would be lost and its caller told that it may have
    /// run.
    fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Ok(0) => true,
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits until the endpoint closes the connection or sends data that nothing asked for.
    async fn wait_for_end(&mut self) {
        loop {
            if self.stream.readable().await.is_err() || self.is_closed() {
                return;
            }
        }
    }
}
