//! Sends the messages of the replicated log to one other control VM.
//!
//! A message follows the one before it only after that was received, so that they arrive in order.
//! All that wait meanwhile are sent together: one call for each would take a round trip each, and
//! where both VMs are short of processor time, the queue would grow by more than it passes on.
//! Heartbeats would then arrive seconds late, and the leader step down although all its followers
//! are alive.

use crate::log_event;
use crate::peers::PeerLinks;
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::error::METHOD_NOT_FOUND_CODE;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_rpc::PeerApiClient;
use ragwort_types::AgreementEnvelope;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The size of the messages in one call, in bytes of payload. A message that is larger is sent
/// alone.
const MAX_CALL_BYTES: usize = 256 * 1024;

/// The time in the queue from which a message is logged as late. Followers wait a few times that
/// before they elect another leader.
const LATE_IN_QUEUE: Duration = Duration::from_millis(100);

/// The minimum time between two log lines about late messages to one peer.
const LATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A message that waits for its peer.
#[derive(Debug)]
pub struct QueuedMessage {
    envelope: AgreementEnvelope,
    queued: Instant,
}

impl QueuedMessage {
    /// Creates a message that waits from now on.
    pub fn new(envelope: AgreementEnvelope) -> Self {
        Self {
            envelope,
            queued: Instant::now(),
        }
    }
}

/// Sends one peer's messages in order until the queue is closed; a peer that doesn't answer within
/// `limit` delays only its own queue.
pub async fn send_messages(
    links: PeerLinks,
    address: SocketAddr,
    limit: Duration,
    mut queue: mpsc::Receiver<QueuedMessage>,
) {
    let mut last_logged: Option<Instant> = None;
    let mut next = None;
    while let Some(first) = wait_message(&mut next, &mut queue).await {
        let waited = first.queued.elapsed();
        let log_due = last_logged.is_none_or(|logged| logged.elapsed() >= LATE_LOG_INTERVAL);
        if waited >= LATE_IN_QUEUE && log_due {
            last_logged = Some(Instant::now());
            log_event!(
                Level::Warn,
                "agreement_message_late",
                peer = address,
                waited_ms = waited.as_millis(),
                queued = queue.len(),
            );
        }
        let envelopes = take_call(first, &mut next, &mut queue);
        if !send_call(&links, address, limit, envelopes).await {
            // The messages queued meanwhile are obsolete: the peer needs the present state, not a
            // replay of the time in which it did not answer.
            next = None;
            while queue.try_recv().is_ok() {}
        }
    }
}

async fn wait_message(
    next: &mut Option<QueuedMessage>,
    queue: &mut mpsc::Receiver<QueuedMessage>,
) -> Option<QueuedMessage> {
    match next.take() {
        Some(message) => Some(message),
        None => queue.recv().await,
    }
}

/// Takes from the queue what fits into one call with `first`; `next` becomes the message that
/// doesn't.
fn take_call(
    first: QueuedMessage,
    next: &mut Option<QueuedMessage>,
    queue: &mut mpsc::Receiver<QueuedMessage>,
) -> Vec<AgreementEnvelope> {
    let mut bytes = first.envelope.payload.len();
    let mut envelopes = vec![first.envelope];
    while let Ok(message) = queue.try_recv() {
        bytes += message.envelope.payload.len();
        if bytes > MAX_CALL_BYTES {
            *next = Some(message);
            break;
        }
        envelopes.push(message.envelope);
    }
    envelopes
}

/// Sends messages in one call, and returns whether the peer received them.
async fn send_call(
    links: &PeerLinks,
    address: SocketAddr,
    limit: Duration,
    envelopes: Vec<AgreementEnvelope>,
) -> bool {
    let all = envelopes.clone();
    let call = |client: Arc<WsClient>| async move {
        match client.agree_all(all).await {
            // A VM of an earlier version takes messages one by one.
            Err(ClientError::Call(error)) if error.code() == METHOD_NOT_FOUND_CODE => Ok(false),
            reply => reply.map(|()| true),
        }
    };
    match links.call(address, limit, call).await {
        Ok(true) => true,
        Ok(false) => {
            for envelope in envelopes {
                let call = |client: Arc<WsClient>| async move { client.agree(envelope).await };
                if links.call(address, limit, call).await.is_err() {
                    return false;
                }
            }
            true
        }
        Err(_) => false,
    }
}
