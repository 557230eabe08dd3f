//! Dispatch of the subcommands, and the short ones among them.

use crate::apply::apply_contract;
use crate::document::apply_document;
use crate::document::show_document;
use crate::options::AddressList;
use crate::options::ContractAction;
use crate::options::DocumentAction;
use crate::options::OperatorCommand;
use crate::outcome::CommandOutcome;
use crate::remote::CallFault;
use crate::remote::open_first_available;
use ragwort_rpc::OperatorApiClient;
use ragwort_types::CustomerName;
use ragwort_types::FormReply;
use ragwort_types::NodeStatus;
use ragwort_types::VersionedContract;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use std::fmt::Write;

/// Runs a command and returns its outcome.
pub async fn run_command(addresses: &AddressList, command: OperatorCommand) -> CommandOutcome {
    let outcome = match command {
        OperatorCommand::Form(_) => form(addresses).await,
        OperatorCommand::Status(_) => status(addresses).await,
        OperatorCommand::Dump(_) => dump(addresses).await,
        OperatorCommand::Drain(_) => drain(addresses).await,
        OperatorCommand::Document(document) => match document.action {
            DocumentAction::Apply(apply) => return apply_document(addresses, &apply.file).await,
            DocumentAction::Get(_) => return show_document(addresses).await,
        },
        OperatorCommand::Contract(contract) => match contract.action {
            ContractAction::Apply(apply) => return apply_contract(addresses, apply).await,
            ContractAction::Get(get) => show_contract(addresses, &get.customer).await,
            ContractAction::List(_) => list_contracts(addresses).await,
        },
    };
    outcome.unwrap_or_else(|fault| match fault {
        CallFault::NotSent(_) | CallFault::Refused(_) => CommandOutcome::refused(fault.to_string()),
        CallFault::InDoubt(_) => CommandOutcome::unknown(fault.to_string()),
    })
}

/// Forms the first voter set. Only one daemon is called, because two daemons could form different
/// voter sets.
async fn form(addresses: &AddressList) -> Result<CommandOutcome, CallFault> {
    let client = open_first_available(addresses).await?;
    let reply = client.form().await?;
    let value = to_value(&reply);
    Ok(match reply {
        FormReply::Formed => CommandOutcome::done("formed", value),
        FormReply::AlreadyFormed => {
            CommandOutcome::done("formed before; nothing was changed", value)
        }
        FormReply::Refused(reason) => {
            CommandOutcome::refused(format!("not formed: {reason}")).with_value(value)
        }
    })
}

/// Drains one VM. It takes exactly one address: with several, the drained VM would be the first
/// one that happens to be reachable.
async fn drain(addresses: &AddressList) -> Result<CommandOutcome, CallFault> {
    if addresses.0.len() != 1 {
        let reason = "drain: expected exactly one address, that of the VM to drain";
        return Ok(CommandOutcome::usage(reason));
    }
    let client = open_first_available(addresses).await?;
    client.drain().await?;
    Ok(CommandOutcome::done(
        "draining; the daemon exits when everything in flight has ended",
        json!({ "draining": addresses.0[0] }),
    ))
}

async fn status(addresses: &AddressList) -> Result<CommandOutcome, CallFault> {
    let client = open_first_available(addresses).await?;
    let status = client.status().await.map_err(to_read_fault)?;
    Ok(CommandOutcome::done(
        describe_status(&status),
        to_value(&status),
    ))
}

async fn dump(addresses: &AddressList) -> Result<CommandOutcome, CallFault> {
    let client = open_first_available(addresses).await?;
    let dump = client.dump().await.map_err(to_read_fault)?;
    let value = serde_json::from_str(&dump).unwrap_or_else(|_| json!(dump));
    Ok(CommandOutcome::done(dump, value))
}

async fn show_contract(
    addresses: &AddressList,
    customer: &str,
) -> Result<CommandOutcome, CallFault> {
    let client = open_first_available(addresses).await?;
    let contract = client
        .get_contract(CustomerName::from(customer))
        .await
        .map_err(to_read_fault)?;
    Ok(match contract {
        Some(contract) => CommandOutcome::done(describe_contract(&contract), to_value(&contract)),
        None => CommandOutcome::refused(format!("customer {customer} has no contract")),
    })
}

async fn list_contracts(addresses: &AddressList) -> Result<CommandOutcome, CallFault> {
    let client = open_first_available(addresses).await?;
    let contracts = client.list_contracts().await.map_err(to_read_fault)?;
    let lines: Vec<String> = contracts
        .iter()
        .map(|contract| {
            format!(
                "customer={} version={} change={}",
                contract.contract.customer, contract.version, contract.change_id
            )
        })
        .collect();
    Ok(CommandOutcome::done(lines.join("\n"), to_value(&contracts)))
}

/// Converts the error of a read-only call. Even a call without a reply counts as refused, because
/// it changes nothing.
pub fn to_read_fault(error: jsonrpsee::core::ClientError) -> CallFault {
    CallFault::Refused(error.to_string())
}

/// Formats a contract as YAML that can be edited and applied, with its version and change id in
/// comments.
pub fn describe_contract(contract: &VersionedContract) -> String {
    let yaml =
        serde_saphyr::to_string(&contract.contract).unwrap_or_else(|error| format!("# {error}"));
    format!(
        "# version: {}\n# change: {}\n{}",
        contract.version,
        contract.change_id,
        yaml.trim_end()
    )
}

fn describe_status(status: &NodeStatus) -> String {
    let mut text = format!(
        "vm={} ready={} draining={} revision={} control_leader={}",
        status.vm,
        status.ready,
        status.draining,
        status.revision,
        status
            .control_leader
            .as_ref()
            .map_or("none", |leader| leader.as_str()),
    );
    for member in &status.members {
        let line = write!(
            text,
            "\nmember={} domain={} address={} draining={}",
            member.id.vm, member.domain, member.peer_address, member.draining
        );
        debug_assert!(line.is_ok(), "writing to a string can't fail");
    }
    for group in &status.groups {
        let primary = group
            .primary
            .as_ref()
            .map_or("none", |primary| primary.as_str());
        let line = write!(
            text,
            "\ngroup={} term={} primary={primary} leaseholder={} epoch={}",
            group.placement.group, group.term, group.placement.leaseholder, group.placement.epoch
        );
        debug_assert!(line.is_ok(), "writing to a string can't fail");
    }
    text
}

/// Converts a reply to JSON.
pub fn to_value(reply: &impl Serialize) -> Value {
    serde_json::to_value(reply).unwrap_or_default()
}
