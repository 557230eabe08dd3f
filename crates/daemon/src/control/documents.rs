//! Reads the newest configuration document.

use super::ControlTask;
use super::event::DocumentRequest;
use super::event::UnconfirmedRead;
use jsonrpsee_ws_client::WsClient;
use ragwort_rpc::PeerApiClient;
use ragwort_types::DocumentReadReply;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

impl ControlTask {
    /// Answers with the newest document once a majority has confirmed that this VM leads; a
    /// follower asks the leader.
    ///
    /// Without the confirmation, a former leader behind a network partition could return a document
    /// that has been replaced on the other side.
    pub(super) fn read_document(
        &mut self,
        request: DocumentRequest,
        reply: oneshot::Sender<DocumentReadReply>,
    ) {
        if let Ok(ticket) = self.node.confirm_read() {
            let read = UnconfirmedRead::Document(reply);
            self.pending_reads.insert(ticket, read);
            return;
        }
        let direct = request == DocumentRequest::Direct;
        let Some(address) = self.leader_address().filter(|_| direct) else {
            let _ = reply.send(DocumentReadReply::Unsure);
            return;
        };
        let links = self.links.clone();
        let limit = Duration::from_millis(self.settings.timing.lease_ms);
        self.children.spawn(async move {
            let call = |client: Arc<WsClient>| async move { client.leader_document().await };
            let reading = links.call(address, limit, call).await;
            let _ = reply.send(reading.unwrap_or(DocumentReadReply::Unsure));
        });
    }

    /// Returns the reply with the catalog's document.
    pub(super) fn document_read_reply(&self) -> DocumentReadReply {
        match self.catalog.document() {
            Some(document) => DocumentReadReply::Newest(document.clone()),
            None => DocumentReadReply::Empty,
        }
    }
}
