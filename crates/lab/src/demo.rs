//! A demo: starts a small deployment, sends a keyed write twice and some reads through several
//! gateways, and prints each caller's answer.

use crate::caller::CallerSettings;
use crate::caller::CallerVerdict;
use crate::caller::GatewayCaller;
use crate::caller::StatementMarks;
use crate::caller::is_listening;
use crate::lab_contract::FRESH_KIND;
use crate::lab_contract::GRANT_KIND;
use crate::lab_contract::STATUS_KIND;
use crate::lab_contract::build_contract;
use crate::lab_set::LabSet;
use crate::lab_set::SetSettings;
use crate::set_calls::SetFault;
use crate::sizes::SiteSize;
use ragwort_types::RequestKey;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The timeout of each start-up step.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause between attempts to form the control group.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of VMs, all of which are gateways and three of which are also control VMs.
const DEMO_VMS: usize = 5;

/// Runs the demo with the binaries `ragwortgated`, `ragwortctl` and `ragwort-lab` of a folder.
///
/// # Errors
///
/// Returns the first [`SetFault`]; an unexpected answer to a caller is [`SetFault::Refused`].
pub async fn run_demo(binaries: PathBuf) -> Result<(), SetFault> {
    let settings = SetSettings {
        size: SiteSize {
            vms: DEMO_VMS,
            ..SiteSize::omuti()
        },
        groups: 1,
        binaries: binaries.clone(),
        keep_folder: false,
        election_ticks: None,
    };
    println!("Starting {DEMO_VMS} daemons and 3 endpoints of one database group.");
    let mut set = LabSet::start_processes(settings).await?;
    let peers = set.daemons[0].peers;
    let control = DemoControl { binaries, peers };
    control.form().await?;
    set.wait_until_ready(STARTUP_TIMEOUT).await?;
    control.apply_contract(&set).await?;
    let group = set.group_names()[0];
    set.wait_until_whole(group, STARTUP_TIMEOUT).await?;
    let outcome = send_requests(&set, group).await;
    println!("Stopping every process.");
    set.stop().await?;
    outcome?;
    println!("All callers were answered, all processes exited with status 0.");
    Ok(())
}

/// Runs commands of `ragwortctl` and prints their output.
struct DemoControl {
    binaries: PathBuf,
    peers: SocketAddr,
}

impl DemoControl {
    async fn form(&self) -> Result<(), SetFault> {
        let end = Instant::now() + STARTUP_TIMEOUT;
        while !is_listening(self.peers).await && Instant::now() < end {
            sleep(RETRY_PAUSE).await;
        }
        loop {
            match self.run(&["--address", &self.peers.to_string(), "form"]) {
                Err(SetFault::Refused(_)) if Instant::now() < end => {
                    sleep(RETRY_PAUSE).await;
                }
                outcome => return outcome,
            }
        }
    }

    async fn apply_contract(&self, set: &LabSet) -> Result<(), SetFault> {
        let groups = set.group_names().into_iter().map(Into::into).collect();
        let contract = build_contract(set.size().customer.into(), groups);
        let text = serde_saphyr::to_string(&contract)
            .map_err(|error| SetFault::Refused(error.to_string()))?;
        let file = set.folder().join("contract.yaml");
        fs::write(&file, text)?;
        let file = file.display().to_string();
        self.run(&[
            "--address",
            &self.peers.to_string(),
            "contract",
            "apply",
            "--wait",
            &file,
        ])
    }

    fn run(&self, arguments: &[&str]) -> Result<(), SetFault> {
        let program = self.binaries.join("ragwortctl");
        let output = Command::new(program).args(arguments).output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        println!("ragwortctl {}", arguments.join(" "));
        for line in text.lines().chain(errors.lines()) {
            println!("    {line}");
        }
        match output.status.success() {
            true => Ok(()),
            false => Err(SetFault::Refused(errors.into_owned())),
        }
    }
}

/// Sends a write twice with the same request key through one gateway, then reads through others in
/// the same session and in another one.
async fn send_requests(set: &LabSet, group: &str) -> Result<(), SetFault> {
    let marks = |kind| StatementMarks {
        kind: Some(kind),
        ..StatementMarks::default()
    };
    let grant = StatementMarks {
        key: Some(RequestKey::fresh().to_string()),
        ..marks(GRANT_KIND)
    };
    let gateways = set.gateways();
    let steps = [
        ("clerk", 0, format!("{grant} append case-7 grant-1"), None),
        ("clerk", 0, format!("{grant} append case-7 grant-1"), None),
        (
            "clerk",
            1,
            format!("{} get case-7", marks(STATUS_KIND)),
            Some("grant-1"),
        ),
        (
            "clerk",
            4,
            format!("{} get case-7", marks(FRESH_KIND)),
            Some("grant-1"),
        ),
        (
            "officer",
            3,
            format!("{} get case-7", marks(FRESH_KIND)),
            Some("grant-1"),
        ),
    ];
    for (session, gateway, statement, expected) in steps {
        let settings = CallerSettings {
            gateway: gateways[gateway],
            customer: set.size().customer.to_owned(),
            group: group.to_owned(),
            session: session.to_owned(),
        };
        let verdict = match GatewayCaller::open(&settings).await {
            Ok(mut caller) => caller.run(&statement, REQUEST_TIMEOUT).await,
            Err(verdict) => verdict,
        };
        println!("{session} at {}: {statement}", set.daemons[gateway].vm);
        println!("    {}", describe(&verdict));
        check(&verdict, expected)?;
    }
    Ok(())
}

fn check(verdict: &CallerVerdict, expected: Option<&str>) -> Result<(), SetFault> {
    let CallerVerdict::Ran { rows, .. } = verdict else {
        return Err(SetFault::Refused(describe(verdict)));
    };
    let found = rows.first().and_then(|row| row.first()).cloned().flatten();
    match expected.is_none_or(|expected| found.as_deref() == Some(expected)) {
        true => Ok(()),
        false => Err(SetFault::Refused(format!(
            "expected {expected:?}, found {found:?}"
        ))),
    }
}

/// Describes a verdict in one line: the outcome, the instance that served the request, and its term
/// and position.
pub fn describe(verdict: &CallerVerdict) -> String {
    match verdict {
        CallerVerdict::Ran { rows, served } => {
            let values: Vec<&str> = rows
                .iter()
                .flatten()
                .map(|value| value.as_deref().unwrap_or("null"))
                .collect();
            let server = match served {
                Some(served) => {
                    let role = match served.replica {
                        true => "replica",
                        false => "primary",
                    };
                    let instance = &served.instance;
                    format!(
                        "served by {role} {instance} at term/position {}",
                        served.position
                    )
                }
                None => "the answer of the first run".to_owned(),
            };
            format!("ran: [{}], {server}", values.join(", "))
        }
        CallerVerdict::NotRun {
            sqlstate,
            message,
            come_back_after_ms,
        } => match come_back_after_ms {
            Some(millis) => {
                format!("not run: {sqlstate} {message}, come back after {millis} ms")
            }
            None => format!("not run: {sqlstate} {message}"),
        },
        CallerVerdict::MayHaveRun { message } => format!("may have run: {message}"),
        CallerVerdict::Failed { sqlstate, message } => format!("failed: {sqlstate} {message}"),
        CallerVerdict::Unanswered => "not answered".to_owned(),
    }
}
