//! Messages of the replicated log that wait for a slow peer.

use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::Params;
use ragwort_types::AgreementEnvelope;
use ragwortgated::agreement_messages::QueuedMessage;
use ragwortgated::agreement_messages::send_messages;
use ragwortgated::peers::PeerLinks;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

failure_cases! {
    /// Control VMs were short of processor time, each call took long, and each message had a call of
    /// its own. The queues grew until heartbeats came seconds late and leaders stepped down.
    messages_that_wait_for_a_slow_peer_share_a_call => slow_peer_case();
    /// A call of unlimited size would pass its time limit over a slow link, again and again.
    large_messages_are_sent_apart => large_messages_case();
    /// Control VMs are replaced one after the other. Messages to those of the earlier version must
    /// arrive, or none of them could be elected meanwhile.
    peer_of_an_earlier_version_takes_messages_one_by_one => earlier_peer_case();
}

/// Messages that wait while the peer works on the first one.
const WAITING: usize = 100;

/// A peer that answers each call when the test lets it, and reports the payloads of each.
struct GatedPeer {
    address: SocketAddr,
    gate: Arc<Semaphore>,
    calls: mpsc::UnboundedReceiver<Vec<String>>,
    _server: ServerHandle,
}

impl GatedPeer {
    async fn start(takes_many: bool) -> Self {
        let gate = Arc::new(Semaphore::new(0));
        let (received, calls) = mpsc::unbounded_channel();
        let mut module = RpcModule::new((Arc::clone(&gate), received));
        if takes_many {
            module
                .register_async_method("peer_agreeAll", |params, context, _| async move {
                    let envelopes: Vec<AgreementEnvelope> = params.one()?;
                    receive(&context, envelopes).await
                })
                .unwrap();
        }
        module
            .register_async_method(
                "peer_agree",
                |params: Params<'static>, context, _| async move {
                    let envelope: AgreementEnvelope = params.one()?;
                    receive(&context, vec![envelope]).await
                },
            )
            .unwrap();
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        Self {
            address: server.local_addr().unwrap(),
            gate,
            calls,
            _server: server.start(module),
        }
    }

    /// Queues messages with these payloads while the peer works on the first one, then lets it
    /// answer, and returns the payloads of each call.
    async fn send(mut self, payloads: &[String]) -> Vec<Vec<String>> {
        let (queue, waiting) = mpsc::channel(payloads.len());
        let links = PeerLinks::new(Duration::from_secs(5));
        let limit = Duration::from_secs(60);
        let sending = tokio::spawn(send_messages(links, self.address, limit, waiting));
        let mut calls = Vec::new();
        for (number, payload) in payloads.iter().enumerate() {
            let envelope = AgreementEnvelope {
                from: "vm-1".into(),
                from_address: None,
                to: "vm-2".into(),
                payload: payload.clone(),
            };
            queue.send(QueuedMessage::new(envelope)).await.unwrap();
            if number == 0 {
                calls.push(self.calls.recv().await.unwrap());
            }
        }
        drop(queue);
        self.gate.add_permits(payloads.len());
        sending.await.unwrap();
        while let Ok(call) = self.calls.try_recv() {
            calls.push(call);
        }
        calls
    }
}

async fn receive(
    (gate, received): &(Arc<Semaphore>, mpsc::UnboundedSender<Vec<String>>),
    envelopes: Vec<AgreementEnvelope>,
) -> RpcResult<()> {
    let payloads = envelopes.into_iter().map(|envelope| envelope.payload);
    received.send(payloads.collect()).unwrap();
    gate.acquire().await.unwrap().forget();
    Ok(())
}

fn numbered_payloads() -> Vec<String> {
    (0..=WAITING).map(|number| number.to_string()).collect()
}

async fn slow_peer_case() {
    let payloads = numbered_payloads();
    let calls = GatedPeer::start(true).await.send(&payloads).await;
    assert_eq!(calls, [payloads[..1].to_vec(), payloads[1..].to_vec()]);
}

async fn large_messages_case() {
    let payloads: Vec<String> = ["a", "b", "c", "d"].map(|text| text.repeat(100_000)).into();
    let calls = GatedPeer::start(true).await.send(&payloads).await;
    let sizes: Vec<usize> = calls.iter().map(Vec::len).collect();
    assert_eq!(sizes, [1, 2, 1]);
    assert_eq!(calls.concat(), payloads);
}

async fn earlier_peer_case() {
    let payloads = numbered_payloads();
    let calls = GatedPeer::start(false).await.send(&payloads).await;
    assert!(calls.iter().all(|call| call.len() == 1));
    assert_eq!(calls.concat(), payloads);
}
