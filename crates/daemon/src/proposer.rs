//! Proposes commands to the control VMs.

use crate::directory::ControlDirectory;
use crate::peers::LinkError;
use crate::peers::PeerLinks;
use jsonrpsee_ws_client::WsClient;
use ragwort_rpc::PeerApiClient;
use ragwort_types::CatalogCommand;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use std::sync::Arc;
use std::time::Duration;

/// Proposes commands for tasks of this VM.
pub(crate) struct CommandProposer {
    pub(crate) links: PeerLinks,
    pub(crate) directory: ControlDirectory,
    /// The time limit for the answer of one control VM.
    pub(crate) limit: Duration,
}

impl CommandProposer {
    /// Asks the control VMs one after the other until one has proposed the command.
    ///
    /// A lost answer is reported as unknown: the command may be committed.
    pub(crate) async fn propose(&self, command: &CatalogCommand) -> CommandReply {
        for address in self.directory.addresses() {
            let request = CommandRequest {
                forwarded: false,
                command: command.clone(),
            };
            let call = |client: Arc<WsClient>| async move { client.propose(request).await };
            match self.links.call(address, self.limit, call).await {
                Ok(CommandReply::NoLeader) | Err(LinkError::Unreachable | LinkError::Exhausted) => {
                }
                Ok(answer) => return answer,
                Err(LinkError::Lost | LinkError::Rejected(_)) => return CommandReply::Unknown,
            }
        }
        CommandReply::NoLeader
    }
}
