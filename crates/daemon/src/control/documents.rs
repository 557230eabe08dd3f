//! The whole configuration, as it is read back.

use super::ControlTask;
use super::event::DocumentQuestion;
use super::event::UnconfirmedRead;
use jsonrpsee_ws_client::WsClient;
use ragwort_rpc::PeerApiClient;
use ragwort_types::DocumentReading;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

impl ControlTask {
    /// Answers which document is the newest, once a majority has confirmed that this VM leads.
    ///
    /// A former leader behind a cut would show its operator a configuration that was replaced on
    /// the other side.
    pub(super) fn read_document(
        &mut self,
        question: DocumentQuestion,
        reply: oneshot::Sender<DocumentReading>,
    ) {
        if let Ok(ticket) = self.node.confirm_read() {
            let read = UnconfirmedRead::Document(reply);
            self.confirming.insert(ticket, read);
            return;
        }
        let direct = question == DocumentQuestion::Direct;
        let Some(address) = self.leader_address().filter(|_| direct) else {
            let _ = reply.send(DocumentReading::Unsure);
            return;
        };
        let links = self.links.clone();
        let limit = Duration::from_millis(self.settings.timing.lease_ms);
        self.children.spawn(async move {
            let call = |client: Arc<WsClient>| async move { client.leader_document().await };
            let reading = links.call(address, limit, call).await;
            let _ = reply.send(reading.unwrap_or(DocumentReading::Unsure));
        });
    }

    pub(super) fn show_document(&self) -> DocumentReading {
        match self.catalog.document() {
            Some(document) => DocumentReading::Newest(document.clone()),
            None => DocumentReading::Empty,
        }
    }
}
