//! The `document` command, which applies or shows the whole configuration.
//!
//! The document with the highest version wins, so a document may safely be resent to another
//! daemon.

use crate::commands::to_value;
use crate::options::AddressList;
use crate::outcome::CommandOutcome;
use crate::remote::CallFault;
use crate::remote::open_client;
use ragwort_rpc::OperatorApiClient;
use ragwort_types::ClientAccount;
use ragwort_types::ContractDocument;
use ragwort_types::CustomerContract;
use ragwort_types::DocumentReadReply;
use ragwort_types::DocumentReply;
use ragwort_types::DocumentVersion;
use ragwort_types::GroupTerms;
use serde::Deserialize;
use std::fs;
use std::path::Path;

/// The content of a document file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DocumentFile {
    version: DocumentVersion,
    contracts: Vec<CustomerContract>,
    groups: Vec<GroupTerms>,
    #[serde(default)]
    accounts: Vec<ClientAccount>,
}

/// Applies a configuration document, trying the daemons in turn.
pub async fn apply_document(addresses: &AddressList, path: &Path) -> CommandOutcome {
    let document = match read_document(path) {
        Ok(document) => document,
        Err(reason) => return CommandOutcome::refused(format!("{}: {reason}", path.display())),
    };
    let mut doubt = None;
    for address in &addresses.0 {
        let sent = match open_client(*address).await {
            Ok(client) => client.apply_document(document.clone()).await,
            Err(_) => continue,
        };
        match sent.map_err(CallFault::from) {
            Ok(DocumentReply::Unknown) => {
                doubt = Some("no control leader replied".to_owned());
            }
            Ok(reply) => return report_reply(&document, &reply),
            Err(fault) => doubt = Some(fault.to_string()),
        }
    }
    match doubt {
        Some(reason) => CommandOutcome::unknown(format!("{reason}; send the same document again")),
        None => CommandOutcome::refused("no daemon accepts connections"),
    }
}

fn report_reply(document: &ContractDocument, reply: &DocumentReply) -> CommandOutcome {
    let value = to_value(reply);
    match reply {
        DocumentReply::Accepted(acceptance) if acceptance.in_force == document.version => {
            CommandOutcome::done(format!("accepted: version={}", document.version), value)
        }
        DocumentReply::Accepted(acceptance) => CommandOutcome::done(
            format!("overtaken: version {} is in force", acceptance.in_force),
            value,
        ),
        DocumentReply::Invalid(faults) => {
            CommandOutcome::refused(faults.join("\n")).with_value(value)
        }
        DocumentReply::Unknown => CommandOutcome::unknown("outcome unknown").with_value(value),
    }
}

fn read_document(path: &Path) -> Result<ContractDocument, String> {
    let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
    // The snippet in the error message could contain account keys.
    let file: DocumentFile =
        serde_saphyr::from_str(&text).map_err(|error| error.without_snippet().to_string())?;
    let document = ContractDocument {
        version: file.version,
        source: text.into(),
        contracts: file.contracts,
        groups: file.groups,
        accounts: file.accounts,
        seal: None,
    };
    let faults: Vec<String> = document
        .find_faults()
        .iter()
        .map(ToString::to_string)
        .collect();
    match faults.is_empty() {
        true => Ok(document),
        false => Err(faults.join("\n")),
    }
}

/// Shows the newest configuration, as confirmed by a majority of the control VMs.
pub async fn show_document(addresses: &AddressList) -> CommandOutcome {
    for address in &addresses.0 {
        let Ok(client) = open_client(*address).await else {
            continue;
        };
        match client.read_document().await {
            Ok(DocumentReadReply::Newest(document)) => {
                let value = to_value(&document);
                return CommandOutcome::done(document.source.to_string(), value);
            }
            Ok(DocumentReadReply::Empty) => {
                return CommandOutcome::refused("no document was ever accepted");
            }
            Ok(DocumentReadReply::Unsure) | Err(_) => {}
        }
    }
    CommandOutcome::refused("no control leader could confirm which document is the newest")
}
