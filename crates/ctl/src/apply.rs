//! The `contract apply` command, which resends a contract change until its outcome is known.
//!
//! A change carries an id, and the control VMs reply to a known id with the outcome of its first
//! application. So the change can be resent to other daemons without being applied twice.

use crate::commands::describe_contract;
use crate::commands::to_read_fault;
use crate::commands::to_value;
use crate::options::AddressList;
use crate::options::ApplyCommand;
use crate::outcome::CommandOutcome;
use crate::remote::CallFault;
use crate::remote::open_client;
use crate::remote::open_first_available;
use ragwort_rpc::OperatorApiClient;
use ragwort_types::CatalogOutcome;
use ragwort_types::ChangeId;
use ragwort_types::CommandReply;
use ragwort_types::ContractAcceptance;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::InForceStatus;
use serde_json::json;
use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The maximum number of rounds, in each of which every daemon is tried once. With the pauses
/// between them, they last several times as long as an election, during which the control VMs have
/// no leader.
const MAX_ROUNDS: usize = 20;
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// The interval at which `--wait` polls whether the change is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies a contract from a file and, on request, waits until it is in force.
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
    // Printed before the first call, so that the operator can resend the change even if this
    // process is killed.
    eprintln!("change id {}", change.change_id);
    match send_change(addresses, &change).await {
        SendOutcome::Decided(outcome) => {
            report_decision(addresses, &command, &change, outcome).await
        }
        SendOutcome::NotSent(reason) => CommandOutcome::refused(reason),
        SendOutcome::InDoubt(reason) => report_unknown_outcome(&change, &reason),
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
    let client = open_first_available(addresses).await?;
    let present = client
        .get_contract(customer.clone())
        .await
        .map_err(to_read_fault)?;
    Ok(present.map_or(ContractVersion(0), |contract| contract.version))
}

/// The outcome of sending a change.
enum SendOutcome {
    /// The change was committed to the log, with this outcome.
    Decided(CatalogOutcome),
    /// The change was certainly not proposed.
    NotSent(String),
    /// The change may or may not be committed.
    InDoubt(String),
}

async fn send_change(addresses: &AddressList, change: &ContractChange) -> SendOutcome {
    let mut doubt = None;
    let mut last_reason = String::new();
    for round in 0..MAX_ROUNDS {
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
                Ok(CommandReply::Committed(outcome)) => return SendOutcome::Decided(outcome),
                Ok(CommandReply::NoLeader) => {
                    last_reason = format!("{address}: control has no leader");
                }
                Ok(CommandReply::Unknown) => {
                    doubt = Some(format!(
                        "{address}: control does not know whether the change was committed"
                    ));
                }
                Err(CallFault::InDoubt(reason)) => doubt = Some(format!("{address}: {reason}")),
                Err(CallFault::NotSent(reason)) => last_reason = reason,
                Err(CallFault::Refused(reason)) => last_reason = format!("{address}: {reason}"),
            }
        }
    }
    match doubt {
        Some(reason) => SendOutcome::InDoubt(reason),
        None => SendOutcome::NotSent(last_reason),
    }
}

fn report_unknown_outcome(change: &ContractChange, reason: &str) -> CommandOutcome {
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
            report_acceptance(addresses, command, change, acceptance).await
        }
        CatalogOutcome::ContractConflict(winner) => CommandOutcome::refused(format!(
            "conflict: another change was committed first; the contract is now\n{}",
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
            CommandOutcome::refused("change id was already used for a different change")
                .with_value(value)
        }
        CatalogOutcome::Done(_)
        | CatalogOutcome::Stale
        | CatalogOutcome::DocumentAccepted(_)
        | CatalogOutcome::DocumentInvalid(_) => {
            CommandOutcome::refused("unexpected reply to a contract change").with_value(value)
        }
    }
}

/// Reports an accepted change, and whether it is in force.
async fn report_acceptance(
    addresses: &AddressList,
    command: &ApplyCommand,
    change: &ContractChange,
    acceptance: ContractAcceptance,
) -> CommandOutcome {
    let accepted = format!(
        "accepted: customer={} version={} revision={} change={}",
        change.contract.customer, acceptance.version, acceptance.revision, change.change_id
    );
    let wait_limit = match command.wait {
        true => Duration::from_millis(command.wait_ms),
        false => Duration::ZERO,
    };
    let status = wait_until_in_force(addresses, acceptance, wait_limit).await;
    let in_force = status.is_some_and(|status| status.in_force);
    let waiting_for = status.map(|status| status.waiting_for);
    let force = match (in_force, waiting_for) {
        (true, _) => "in force: on every member".to_owned(),
        (false, Some(count)) => format!("in force: not yet, waiting for {count} members"),
        (false, None) => "in force: unknown, no daemon replied".to_owned(),
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

/// Polls until the change is in force or `wait_limit` has passed; returns the last status.
async fn wait_until_in_force(
    addresses: &AddressList,
    acceptance: ContractAcceptance,
    wait_limit: Duration,
) -> Option<InForceStatus> {
    let end = Instant::now() + wait_limit;
    loop {
        let status = fetch_in_force_status(addresses, acceptance).await;
        let in_force = status.is_some_and(|status| status.in_force);
        if in_force || Instant::now() >= end {
            return status;
        }
        sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

async fn fetch_in_force_status(
    addresses: &AddressList,
    acceptance: ContractAcceptance,
) -> Option<InForceStatus> {
    for address in &addresses.0 {
        let Ok(client) = open_client(*address).await else {
            continue;
        };
        if let Ok(status) = client.in_force_status(acceptance).await {
            return Some(status);
        }
    }
    None
}
