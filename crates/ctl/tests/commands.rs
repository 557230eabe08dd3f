//! Tests of the command line's exit codes and output, against a daemon with scripted replies.

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use ragwort_rpc::OperatorApiServer;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::CommandReply;
use ragwort_types::ContractAcceptance;
use ragwort_types::ContractChange;
use ragwort_types::ContractDocument;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::DocumentAcceptance;
use ragwort_types::DocumentCopy;
use ragwort_types::DocumentReadReply;
use ragwort_types::DocumentReply;
use ragwort_types::DocumentVersion;
use ragwort_types::FormReply;
use ragwort_types::InForceStatus;
use ragwort_types::NodeStatus;
use ragwort_types::VersionedContract;
use ragwort_types::VmName;
use serde_json::Value;
use std::collections::VecDeque;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use tokio::process::Command;
use uuid::Uuid;

const CONTRACT: &str = "\
customer: omuti
groups: [cases]
kinds:
  status: { access: read, max_age_ms: 2000, deadline_ms: 300 }
  grant: { access: write, urgency: urgent, deadline_ms: 500 }
default_kind: grant
slot_share: 4
connection_limit: 4
queue_limit: 100
session_limit: 50
";

fn contract() -> CustomerContract {
    serde_saphyr::from_str(CONTRACT).unwrap()
}

fn versioned(version: u64) -> VersionedContract {
    VersionedContract {
        version: ContractVersion(version),
        change_id: ChangeId(Uuid::nil()),
        contract: contract(),
    }
}

fn acceptance() -> ContractAcceptance {
    ContractAcceptance {
        version: ContractVersion(5),
        revision: CatalogRevision(90),
    }
}

#[derive(Clone)]
enum ScriptedReply {
    Reply(CommandReply),
    Error,
}

#[derive(Default)]
struct Script {
    applies: VecDeque<ScriptedReply>,
    changes: Vec<ContractChange>,
    documents: Vec<ContractDocument>,
    document_replies: VecDeque<DocumentReply>,
    reading: Option<DocumentReadReply>,
    present: Option<VersionedContract>,
    in_force_status_calls: u32,
    calls_before_in_force: u32,
    form: Option<FormReply>,
    drained: bool,
}

#[derive(Clone, Default)]
struct FakeDaemon(Arc<Mutex<Script>>);

impl FakeDaemon {
    fn set(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.0.lock().unwrap());
    }

    fn answer(&self, answer: ScriptedReply) {
        self.set(|script| script.applies.push_back(answer));
    }

    fn decide(&self, outcome: CatalogOutcome) {
        self.answer(ScriptedReply::Reply(CommandReply::Committed(outcome)));
    }

    fn changes(&self) -> Vec<ContractChange> {
        self.0.lock().unwrap().changes.clone()
    }
}

#[async_trait]
impl OperatorApiServer for FakeDaemon {
    async fn apply_contract(&self, change: ContractChange) -> RpcResult<CommandReply> {
        let mut script = self.0.lock().unwrap();
        script.changes.push(change);
        match script.applies.pop_front() {
            Some(ScriptedReply::Reply(reply)) => Ok(reply),
            _ => Err(ErrorObjectOwned::owned(-32_000, "lost", None::<()>)),
        }
    }

    async fn apply_document(&self, document: ContractDocument) -> RpcResult<DocumentReply> {
        let mut script = self.0.lock().unwrap();
        script.documents.push(document);
        match script.document_replies.pop_front() {
            Some(reply) => Ok(reply),
            None => Err(ErrorObjectOwned::owned(-32_000, "lost", None::<()>)),
        }
    }

    async fn read_document(&self) -> RpcResult<DocumentReadReply> {
        let script = self.0.lock().unwrap();
        Ok(script.reading.clone().unwrap_or(DocumentReadReply::Unsure))
    }

    async fn in_force_status(&self, acceptance: ContractAcceptance) -> RpcResult<InForceStatus> {
        let mut script = self.0.lock().unwrap();
        script.in_force_status_calls += 1;
        let in_force = script.in_force_status_calls > script.calls_before_in_force;
        Ok(InForceStatus {
            acceptance,
            in_force,
            waiting_for: if in_force { 0 } else { 3 },
        })
    }

    async fn get_contract(&self, _customer: CustomerName) -> RpcResult<Option<VersionedContract>> {
        Ok(self.0.lock().unwrap().present.clone())
    }

    async fn list_contracts(&self) -> RpcResult<Vec<VersionedContract>> {
        Ok(self.0.lock().unwrap().present.clone().into_iter().collect())
    }

    async fn status(&self) -> RpcResult<NodeStatus> {
        Ok(NodeStatus {
            vm: VmName::from("vm-1"),
            revision: CatalogRevision(90),
            ready: true,
            draining: false,
            control_leader: None,
            groups: Vec::new(),
            members: Vec::new(),
        })
    }

    async fn dump(&self) -> RpcResult<String> {
        Ok(r#"{"vm":"vm-1"}"#.to_owned())
    }

    async fn drain(&self) -> RpcResult<()> {
        self.set(|script| script.drained = true);
        Ok(())
    }

    async fn form(&self) -> RpcResult<FormReply> {
        Ok(self.0.lock().unwrap().form.clone().unwrap())
    }
}

async fn serve(daemon: &FakeDaemon) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    (address, server.start(daemon.clone().into_rpc()))
}

/// The exit code and output of a run of the command line.
struct Run {
    code: i32,
    out: String,
    err: String,
}

async fn run(address: &str, arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortctl"))
        .args(["--address", address])
        .args(arguments)
        .output()
        .await
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A contract file that is removed at the end of the test.
struct ContractFile(PathBuf);

impl ContractFile {
    fn new(text: &str) -> Self {
        let name = format!("ragwort-contract-{}.yaml", Uuid::now_v7());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for ContractFile {
    fn drop(&mut self) {
        fs::remove_file(&self.0).unwrap();
    }
}

#[tokio::test]
async fn apply_builds_on_the_current_version() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    daemon.set(|script| script.present = Some(versioned(4)));
    daemon.decide(CatalogOutcome::ContractAccepted(acceptance()));
    let file = ContractFile::new(CONTRACT);
    let run = run(&address.to_string(), &["contract", "apply", file.path()]).await;
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(
        run.out
            .contains("accepted: customer=omuti version=5 revision=90")
    );
    assert!(run.out.contains("in force: on every member"));
    let changes = daemon.changes();
    assert_eq!(changes[0].base_version, ContractVersion(4));
    assert_eq!(changes[0].contract, contract());
    assert!(run.err.contains(&changes[0].change_id.to_string()));
}

#[tokio::test]
async fn apply_without_wait_reports_that_it_is_not_in_force_yet() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    daemon.set(|script| script.calls_before_in_force = u32::MAX);
    daemon.decide(CatalogOutcome::ContractAccepted(acceptance()));
    let file = ContractFile::new(CONTRACT);
    let arguments = [
        "--json",
        "contract",
        "apply",
        "--base-version",
        "0",
        file.path(),
    ];
    let run = run(&address.to_string(), &arguments).await;
    assert_eq!(run.code, 0, "{}", run.err);
    let value: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(value["accepted"]["version"], 5);
    assert_eq!(value["in_force"], false);
    assert_eq!(value["waiting_for"], 3);
}

#[tokio::test]
async fn wait_returns_when_the_change_is_in_force() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    daemon.set(|script| script.calls_before_in_force = 3);
    daemon.decide(CatalogOutcome::ContractAccepted(acceptance()));
    let file = ContractFile::new(CONTRACT);
    let run = run(
        &address.to_string(),
        &["contract", "apply", "--wait", file.path()],
    )
    .await;
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains("in force: on every member"));
    assert_eq!(daemon.0.lock().unwrap().in_force_status_calls, 4);
}

/// A member does not confirm the change in time. The operator must not mistake an accepted change
/// for one that is in force on every member.
#[tokio::test]
async fn wait_timeout_is_an_unknown_outcome() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    daemon.set(|script| script.calls_before_in_force = u32::MAX);
    daemon.decide(CatalogOutcome::ContractAccepted(acceptance()));
    let file = ContractFile::new(CONTRACT);
    let arguments = ["contract", "apply", "--wait", "--wait-ms", "1", file.path()];
    let run = run(&address.to_string(), &arguments).await;
    assert_eq!(run.code, 3);
    assert!(
        run.err.contains("not yet, waiting for 3 members"),
        "{}",
        run.err
    );
}

/// Two operators change a contract concurrently. The one whose change is refused must see the
/// committed contract.
#[tokio::test]
async fn conflict_shows_the_committed_contract() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    daemon.decide(CatalogOutcome::ContractConflict(Box::new(versioned(6))));
    let file = ContractFile::new(CONTRACT);
    let run = run(&address.to_string(), &["contract", "apply", file.path()]).await;
    assert_eq!(run.code, 1);
    assert!(run.err.contains("# version: 6"), "{}", run.err);
    assert!(run.err.contains("customer: omuti"), "{}", run.err);
}

/// The reply to a change is lost. The tool must resend the change under the same id, because the
/// control VMs recognize a resend by its id.
#[tokio::test]
async fn lost_reply_is_retried_with_the_same_change_id() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    daemon.answer(ScriptedReply::Error);
    daemon.answer(ScriptedReply::Reply(CommandReply::Unknown));
    daemon.answer(ScriptedReply::Reply(CommandReply::NoLeader));
    daemon.decide(CatalogOutcome::ContractAccepted(acceptance()));
    let file = ContractFile::new(CONTRACT);
    let run = run(&address.to_string(), &["contract", "apply", file.path()]).await;
    assert_eq!(run.code, 0, "{}", run.err);
    let changes = daemon.changes();
    assert_eq!(changes.len(), 4);
    assert!(changes.iter().all(|change| change == &changes[0]));
}

/// No reply ever arrives. The output must contain the change id to resend with.
#[tokio::test]
async fn unknown_outcome_names_the_change_id() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    let file = ContractFile::new(CONTRACT);
    let id = Uuid::now_v7().to_string();
    let arguments = [
        "contract",
        "apply",
        "--change-id",
        &id,
        "--base-version",
        "2",
        file.path(),
    ];
    let run = run(&address.to_string(), &arguments).await;
    assert_eq!(run.code, 3);
    let advice = format!("resend with the same change id: --change-id {id} --base-version 2");
    assert!(run.err.contains(&advice), "{}", run.err);
    assert_eq!(daemon.changes()[0].change_id.to_string(), id);
}

/// The first daemon in the list is down, so the next one must be called.
#[tokio::test]
async fn next_address_is_tried() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    let run = run(&format!("127.0.0.1:1,{address}"), &["status"]).await;
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.starts_with("vm=vm-1 ready=true"));
}

#[tokio::test]
async fn unreachable_daemon_is_refused_and_not_unknown() {
    let run = run("127.0.0.1:1", &["form"]).await;
    assert_eq!(run.code, 1);
    assert!(run.err.contains("not sent: 127.0.0.1:1"), "{}", run.err);
}

#[tokio::test]
async fn faulty_contract_is_not_sent() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    let text = CONTRACT
        .replace("slot_share: 4", "slot_share: 0")
        .replace("default_kind: grant", "default_kind: other");
    let file = ContractFile::new(&text);
    let run = run(&address.to_string(), &["contract", "apply", file.path()]).await;
    assert_eq!(run.code, 1);
    assert!(run.err.contains("default_kind: expected"), "{}", run.err);
    assert!(run.err.contains("slot_share: expected"), "{}", run.err);
    assert!(daemon.changes().is_empty());
}

/// Defines a test for each outcome that refuses a change: the outcome and a part of the error text.
macro_rules! refused {
    ($($name:ident: $outcome:expr => $words:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let daemon = FakeDaemon::default();
            let (address, _server) = serve(&daemon).await;
            daemon.decide($outcome);
            let file = ContractFile::new(CONTRACT);
            let run = run(&address.to_string(), &["contract", "apply", file.path()]).await;
            assert_eq!(run.code, 1);
            assert!(run.err.contains($words), "{}", run.err);
        }
    )*};
}

refused! {
    unknown_contract: CatalogOutcome::ContractUnknown => "has no contract of version 0";
    reused_change_id: CatalogOutcome::ChangeIdReused => "already used for a different change";
    contract_refused_by_control:
        CatalogOutcome::ContractFaulty(vec!["groups: unknown".to_owned()]) => "groups: unknown";
}

/// Defines a test for each reply to `form`: the reply, the exit code and a part of the output.
macro_rules! formed {
    ($($name:ident: $reply:expr => $code:expr, $words:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let daemon = FakeDaemon::default();
            let (address, _server) = serve(&daemon).await;
            daemon.set(|script| script.form = Some($reply));
            let run = run(&address.to_string(), &["form"]).await;
            assert_eq!(run.code, $code);
            assert!((run.out + &run.err).contains($words));
        }
    )*};
}

formed! {
    first_form: FormReply::Formed => 0, "formed";
    second_form: FormReply::AlreadyFormed => 0, "formed before";
    refused_form: FormReply::Refused("vm-3 is silent".to_owned()) => 1, "vm-3 is silent";
}

#[tokio::test]
async fn drain_takes_one_address_only() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    let both = run(&format!("{address},127.0.0.1:1"), &["drain"]).await;
    assert_eq!(both.code, 2);
    assert!(!daemon.0.lock().unwrap().drained);
    let one = run(&address.to_string(), &["drain"]).await;
    assert_eq!(one.code, 0);
    assert!(daemon.0.lock().unwrap().drained);
}

#[tokio::test]
async fn shown_contract_can_be_applied() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    let missing = run(&address.to_string(), &["contract", "get", "omuti"]).await;
    assert_eq!(missing.code, 1);
    daemon.set(|script| script.present = Some(versioned(4)));
    let shown = run(&address.to_string(), &["contract", "get", "omuti"]).await;
    assert_eq!(shown.code, 0);
    let again: CustomerContract = serde_saphyr::from_str(&shown.out).unwrap();
    assert_eq!(again, contract());
    let list = run(&address.to_string(), &["contract", "list"]).await;
    assert!(list.out.starts_with("customer=omuti version=4"));
}

#[tokio::test]
async fn dump_is_json() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    let run = run(&address.to_string(), &["dump"]).await;
    let value: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(value["vm"], "vm-1");
}

/// Defines a test for each invalid command line.
macro_rules! usage {
    ($($name:ident: $arguments:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            assert_eq!(run("127.0.0.1:1", &$arguments).await.code, 2);
        }
    )*};
}

usage! {
    no_command: [];
    unknown_command: ["reload"];
    missing_file: ["contract", "apply", "/nonexistent/contract.yaml"];
    bad_change_id: ["contract", "apply", "--change-id", "7", "x.yaml"];
    bad_version: ["contract", "apply", "--base-version", "new", "x.yaml"];
}

#[tokio::test]
async fn host_name_is_refused() {
    let run = run("localhost:7432", &["status"]).await;
    assert_eq!(run.code, 2);
    assert!(run.err.contains("expected IP:PORT"), "{}", run.err);
}

#[test]
fn sample_contract_has_no_faults() {
    let text = include_str!("../../../docs/operators/contract.yaml");
    let sample: CustomerContract = serde_saphyr::from_str(text).unwrap();
    assert_eq!(sample.find_faults(), []);
}

#[tokio::test]
async fn help_exits_successfully() {
    let run = run("127.0.0.1:1", &["--help"]).await;
    assert_eq!(run.code, 0);
    assert!(run.out.contains("Exit codes"));
}

fn document_text(version: u64) -> String {
    let contract = CONTRACT.replace('\n', "\n    ");
    let terms =
        "{ group: cases, connections: 16, synchronous_replicas: 0, idle_transaction_ms: 3000 }";
    format!(
        "version: {version}\ncontracts:\n  - {}\ngroups:\n  - {terms}\n",
        contract.trim_end()
    )
}

fn accepted(version: u64) -> DocumentReply {
    DocumentReply::Accepted(DocumentAcceptance {
        in_force: DocumentVersion(version),
    })
}

/// Runs `document apply` against a daemon with this reply; `None` stands for a failed call.
async fn apply_document(text: &str, reply: Option<DocumentReply>) -> (Run, FakeDaemon) {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    daemon.set(|script| script.document_replies.extend(reply));
    let file = ContractFile::new(text);
    let run = run(&address.to_string(), &["document", "apply", file.path()]).await;
    (run, daemon)
}

#[tokio::test]
async fn document_is_sent_whole_with_its_text() {
    let text = document_text(7);
    let (run, daemon) = apply_document(&text, Some(accepted(7))).await;
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains("accepted: version=7"));
    let documents = daemon.0.lock().unwrap().documents.clone();
    assert_eq!(documents[0].version, DocumentVersion(7));
    assert_eq!(documents[0].contracts, [contract()]);
    assert_eq!(&*documents[0].source, text);
}

/// A document with a higher version is already in force. The command must not report that this one
/// is.
#[tokio::test]
async fn overtaken_document_is_reported() {
    let (run, _) = apply_document(&document_text(7), Some(accepted(9))).await;
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains("overtaken: version 9 is in force"));
}

/// The daemon's reply is lost. The document may be in force, so the operator must be told to resend
/// it, not that it was refused.
#[tokio::test]
async fn document_without_a_reply_has_an_unknown_outcome() {
    let (run, _) = apply_document(&document_text(7), None).await;
    assert_eq!(run.code, 3, "{}", run.err);
    assert!(run.err.contains("send the same document again"));
}

#[tokio::test]
async fn faulty_document_is_not_sent() {
    let text = document_text(7).replace("group: cases", "group: others");
    let (run, daemon) = apply_document(&text, Some(accepted(7))).await;
    assert_eq!(run.code, 1);
    assert!(
        run.err.contains("contract of omuti: unknown group cases"),
        "{}",
        run.err
    );
    assert!(daemon.0.lock().unwrap().documents.is_empty());
}

/// A document is refused for a fault near its keys. The error message, which is often logged, must
/// not quote the surrounding lines.
#[tokio::test]
async fn refused_document_shows_no_key() {
    let accounts = "accounts:\n- name: directorate\n  keys: [k-5b1f0c]\n  limit: many\n";
    let text = format!("{}{accounts}", document_text(7));
    let (run, daemon) = apply_document(&text, None).await;
    assert_eq!(run.code, 1);
    let said = format!("{}{}", run.out, run.err);
    assert!(said.contains("line"), "{said}");
    assert!(!said.contains("k-5b1f0c"), "{said}");
    assert!(daemon.0.lock().unwrap().documents.is_empty());
}

#[tokio::test]
async fn newest_document_is_shown_as_it_was_written() {
    let daemon = FakeDaemon::default();
    let (address, _server) = serve(&daemon).await;
    let unsure = run(&address.to_string(), &["document", "get"]).await;
    assert_eq!(unsure.code, 1);
    let text = document_text(7);
    let copy = DocumentCopy {
        version: DocumentVersion(7),
        source: text.as_str().into(),
    };
    daemon.set(|script| script.reading = Some(DocumentReadReply::Newest(copy)));
    let shown = run(&address.to_string(), &["document", "get"]).await;
    assert_eq!(shown.code, 0);
    assert_eq!(shown.out.trim_end(), text.trim_end());
}
