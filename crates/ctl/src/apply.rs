//! `contract apply`: one change, sent until its outcome is known.
//!
//! A change carries an id, and the agreed log answers a change it knows with the first answer
//! again. So the change may be sent to one daemon after the other without being applied twice.

use crate::commands::describe_contract;
use crate::commands::read_fault;
use crate::commands::to_value;
use crate::options::AddressList;
use crate::options::ApplyCommand;
use crate::outcome::CommandOutcome;
use crate::remote::CallFault;
use crate::remote::open_client;
use crate::remote::open_first;
use ragwort_rpc::OperatorApiClient;
use ragwort_types::CatalogOutcome;
use ragwort_types::ChangeId;
use ragwort_types::CommandReply;
use ragwort_types::ContractAcceptance;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::ForceStatus;
use serde_json::json;
use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// How often all daemons are tried while the control VMs have no leader.
///
/// With the pause between two rounds this outlasts an election several times over.
const ROUNDS: usize = 20;
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// How often the wait asks whether the change is in force.
const FORCE_PAUSE: Duration = Duration::from_millis(100);

/// Applies a contract.
pub async fn apply_contract(addresses: &AddressList, command: ApplyCommand) -> CommandOutcome {
    let contract = match read_contract(&command.file) {
        Ok(contract) => contract,
        Err(outcome) => return outcome,
    };
    let base_version = match command.base_version {
        Some(version) => version,
        None => match read_version(addresses, &contract.customer).await {
            Ok(version) => version,
            Err(fault) => return CommandOutcome::refused(fault.to_string()),
        },
    };
    let change = ContractChange {
        change_id: command.change_id.unwrap_or_else(ChangeId::fresh),
        base_version,
        contract,
    };
    // Printed before anything is sent: whatever ends this program, the operator can resend.
    eprintln!("change id {}", change.change_id);
    match send_change(addresses, &change).await {
        SentChange::Decided(outcome) => {
            report_decision(addresses, &command, &change, outcome).await
        }
        SentChange::NotSent(reason) => CommandOutcome::refused(reason),
        SentChange::InDoubt(reason) => report_doubt(&change, &reason),
    }
}

fn read_contract(path: &Path) -> Result<CustomerContract, CommandOutcome> {
    let text = read_text(path)
        .map_err(|error| CommandOutcome::usage(format!("{}: {error}", path.display())))?;
    let contract: CustomerContract = serde_saphyr::from_str(&text)
        .map_err(|error| CommandOutcome::refused(format!("{}: {error}", path.display())))?;
    let faults: Vec<String> = contract
        .find_faults()
        .iter()
        .map(ToString::to_string)
        .collect();
    if faults.is_empty() {
        return Ok(contract);
    }
    let value = json!({ "faults": faults });
    Err(CommandOutcome::refused(faults.join("\n")).with_value(value))
}

fn read_text(path: &Path) -> io::Result<String> {
    if path == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        return Ok(text);
    }
    fs::read_to_string(path)
}

async fn read_version(
    addresses: &AddressList,
    customer: &CustomerName,
) -> Result<ContractVersion, CallFault> {
    let client = open_first(addresses).await?;
    let present = client
        .get_contract(customer.clone())
        .await
        .map_err(read_fault)?;
    Ok(present.map_or(ContractVersion(0), |contract| contract.version))
}

/// What became of sending a change.
enum SentChange {
    /// The log decided on it.
    Decided(CatalogOutcome),
    /// It was certainly not proposed.
    NotSent(String),
    /// It may or may not be committed.
    InDoubt(String),
}

async fn send_change(addresses: &AddressList, change: &ContractChange) -> SentChange {
    let mut doubt = None;
    let mut last_reason = String::new();
    for round in 0..ROUNDS {
        if round > 0 {
            sleep(ROUND_PAUSE).await;
        }
        for address in &addresses.0 {
            let reply = match open_client(*address).await {
                Ok(client) => client
                    .apply_contract(change.clone())
                    .await
                    .map_err(CallFault::from),
                Err(fault) => Err(fault),
            };
            match reply {
                Ok(CommandReply::Committed(outcome)) => return SentChange::Decided(outcome),
                Ok(CommandReply::NoLeader) => {
                    last_reason = format!("{address}: control has no leader");
                }
                Ok(CommandReply::Unknown) => {
                    doubt = Some(format!("{address}: control lost track of the change"));
                }
                Err(CallFault::InDoubt(reason)) => doubt = Some(format!("{address}: {reason}")),
                Err(CallFault::NotSent(reason)) => last_reason = reason,
                Err(CallFault::Refused(reason)) => last_reason = format!("{address}: {reason}"),
            }
        }
    }
    match doubt {
        Some(reason) => SentChange::InDoubt(reason),
        None => SentChange::NotSent(last_reason),
    }
}

fn report_doubt(change: &ContractChange, reason: &str) -> CommandOutcome {
    let id = change.change_id;
    let base = change.base_version;
    let text = format!(
        "outcome unknown: {reason}\nresend with the same change id: \
         --change-id {id} --base-version {base}"
    );
    let value = json!({ "unknown": reason, "change_id": id, "base_version": base });
    CommandOutcome::unknown(text).with_value(value)
}

async fn report_decision(
    addresses: &AddressList,
    command: &ApplyCommand,
    change: &ContractChange,
    outcome: CatalogOutcome,
) -> CommandOutcome {
    let value = json!({ "outcome": to_value(&outcome), "change_id": change.change_id });
    match outcome {
        CatalogOutcome::ContractAccepted(acceptance) => {
            report_force(addresses, command, change, acceptance).await
        }
        CatalogOutcome::ContractConflict(winner) => CommandOutcome::refused(format!(
            "conflict: another change won; the contract is now\n{}",
            describe_contract(&winner)
        ))
        .with_value(value),
        CatalogOutcome::ContractUnknown => CommandOutcome::refused(format!(
            "customer {} has no contract of version {}",
            change.contract.customer, change.base_version
        ))
        .with_value(value),
        CatalogOutcome::ContractFaulty(faults) => {
            CommandOutcome::refused(faults.join("\n")).with_value(value)
        }
        CatalogOutcome::ChangeIdReused => {
            CommandOutcome::refused("change id was used before for another content")
                .with_value(value)
        }
        CatalogOutcome::Done(_)
        | CatalogOutcome::Stale
        | CatalogOutcome::DocumentAccepted(_)
        | CatalogOutcome::DocumentInvalid(_) => {
            CommandOutcome::refused("control answered another command").with_value(value)
        }
    }
}

/// Reports an accepted change, and whether it is in force.
async fn report_force(
    addresses: &AddressList,
    command: &ApplyCommand,
    change: &ContractChange,
    acceptance: ContractAcceptance,
) -> CommandOutcome {
    let accepted = format!(
        "accepted: customer={} version={} revision={} change={}",
        change.contract.customer, acceptance.version, acceptance.revision, change.change_id
    );
    let patience = match command.wait {
        true => Duration::from_millis(command.wait_ms),
        false => Duration::ZERO,
    };
    let status = wait_in_force(addresses, acceptance, patience).await;
    let in_force = status.is_some_and(|status| status.in_force);
    let waiting_for = status.map(|status| status.waiting_for);
    let force = match (in_force, waiting_for) {
        (true, _) => "in force: on every member".to_owned(),
        (false, Some(count)) => format!("in force: not yet, waiting for {count} members"),
        (false, None) => "in force: not known, no daemon answered".to_owned(),
    };
    let value = json!({
        "accepted": acceptance,
        "in_force": in_force,
        "waiting_for": waiting_for,
        "change_id": change.change_id,
        "base_version": change.base_version,
    });
    if command.wait && !in_force {
        let text = format!(
            "{accepted}\n{force}\nresend with the same change id to wait on: \
             --change-id {} --base-version {}",
            change.change_id, change.base_version
        );
        return CommandOutcome::unknown(text).with_value(value);
    }
    CommandOutcome::done(format!("{accepted}\n{force}"), value)
}

/// Asks until the change is in force or patience ends; returns the last answer.
async fn wait_in_force(
    addresses: &AddressList,
    acceptance: ContractAcceptance,
    patience: Duration,
) -> Option<ForceStatus> {
    let end = Instant::now() + patience;
    loop {
        let status = ask_force(addresses, acceptance).await;
        let in_force = status.is_some_and(|status| status.in_force);
        if in_force || Instant::now() >= end {
            return status;
        }
        sleep(FORCE_PAUSE).await;
    }
}

async fn ask_force(addresses: &AddressList, acceptance: ContractAcceptance) -> Option<ForceStatus> {
    for address in &addresses.0 {
        let Ok(client) = open_client(*address).await else {
            continue;
        };
        if let Ok(status) = client.force_status(acceptance).await {
            return Some(status);
        }
    }
    None
}
