//! The control role's compaction of its log.

use crate::cases::wait_until;
use crate::control::call_control;
use crate::control::create_heartbeat;
use crate::control::create_settings;
use ragwort_control::DurableState;
use ragwort_control::agreement::DiskWrite;
use ragwort_control::agreement::ElectionTerm;
use ragwort_control::agreement::EntryMark;
use ragwort_control::agreement::EntryPayload;
use ragwort_control::agreement::HardState;
use ragwort_control::agreement::LogEntry;
use ragwort_control::agreement::LogIndex;
use ragwort_control::agreement::VoterConfiguration;
use ragwort_control::agreement::VoterId;
use ragwort_control::encode_record;
use ragwort_types::CatalogCommand;
use ragwort_types::HeartbeatReply;
use ragwort_types::MemberId;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::control::ControlEvent;
use ragwortgated::control::ControlFault;
use ragwortgated::control::ControlTask;
use ragwortgated::disk::LogFile;
use ragwortgated::peers::PeerLinks;
use std::fs::OpenOptions;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

failure_cases! {
    /// A snapshot takes long to write, and the disk holds it back. If the control task waited for
    /// it, peers and members would hear nothing meanwhile, elect another leader and lose leases.
    heartbeat_is_answered_while_a_snapshot_is_written => held_snapshot_case();
    /// A VM restarts after a compaction during which a member was admitted. If the new file lacked
    /// what was appended meanwhile, the member would be unknown, and later records would not fit.
    restart_after_a_compaction_knows_the_members => restarted_case();
}

/// Entries that make a compaction due: their number and the length of each.
const LONG_LOG_ENTRIES: u64 = 1_200;
const LONG_ENTRY_BYTES: usize = 1_000;

/// Returns the log file of the only voter, with entries that change nothing.
fn create_long_log(incarnation: VmIncarnation) -> Vec<u8> {
    let voter = VoterId::new("vm-1".into(), incarnation);
    let unknown = MemberId {
        vm: "x".repeat(LONG_ENTRY_BYTES).as_str().into(),
        incarnation,
    };
    let command = CatalogCommand::RemoveMember(unknown);
    let command = serde_json::to_string(&command).unwrap();
    let configuration = VoterConfiguration::form([voter.clone()]);
    let mut payloads = vec![EntryPayload::Configuration(Box::new(configuration))];
    payloads.resize(LONG_LOG_ENTRIES as usize, EntryPayload::Data(command));
    let entries = (1..).zip(payloads).map(|(index, payload)| {
        let mark = EntryMark::new(ElectionTerm(1), LogIndex(index));
        DiskWrite::Entry(LogEntry { mark, payload })
    });
    let hard_state = HardState {
        term: ElectionTerm(1),
        vote: None,
    };
    let start = [DiskWrite::Identity(voter), DiskWrite::HardState(hard_state)];
    let writes: Vec<DiskWrite> = start.into_iter().chain(entries).collect();
    encode_record(&writes)
}

/// A control task that runs on its folder.
struct RunningControl {
    control: mpsc::Sender<ControlEvent>,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), ControlFault>>,
}

impl RunningControl {
    fn start(folder: &Path) -> Self {
        let settings = Arc::new(create_settings(folder));
        let links = PeerLinks::new(Duration::from_secs(5));
        let clock = NodeClock::start();
        let opened = ControlTask::open(settings, clock, links, folder, VmIncarnation(1));
        let (task, control) = opened.unwrap();
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(task.run(stopped));
        Self {
            control,
            stop,
            task,
        }
    }

    async fn expect_grant(&self) {
        let event = |reply| ControlEvent::Heartbeat(create_heartbeat(), reply);
        let reply = call_control(&self.control, event).await;
        assert!(matches!(reply, HeartbeatReply::Granted(_)), "{reply:?}");
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap().unwrap();
    }
}

/// Creates a folder with a log that is due for a compaction.
fn create_long_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let log = create_long_log(VmIncarnation(1));
    std::fs::write(folder.join("agreement.log"), log).unwrap();
    folder
}

async fn restarted_case() {
    let folder = create_long_folder("ragwort-control-restart");
    let log = folder.join("agreement.log");
    let length = std::fs::metadata(&log).unwrap().len();
    let running = RunningControl::start(&folder);
    running.expect_grant().await;
    wait_until(|| std::fs::metadata(&log).unwrap().len() < length).await;
    running.stop().await;
    let (_, bytes) = LogFile::open(&folder).unwrap();
    let restored = DurableState::from_records(&bytes).unwrap().state;
    let snapshot = restored.snapshot().unwrap().mark.index;
    assert!(snapshot >= LogIndex(LONG_LOG_ENTRIES), "{snapshot}");
    let running = RunningControl::start(&folder);
    running.expect_grant().await;
    let dump = call_control(&running.control, ControlEvent::Dump).await;
    assert_eq!(dump["members"], 1);
    running.stop().await;
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A named pipe in place of the new log file: opening it for writing waits for a reader.
struct HeldFile(PathBuf);

impl HeldFile {
    fn create(folder: &Path) -> Self {
        let path = folder.join("agreement.log.new");
        let made = Command::new("mkfifo").arg(&path).status().unwrap();
        assert!(made.success());
        Self(path)
    }
}

impl Drop for HeldFile {
    /// Releases who waits at either end, so that a failed case ends.
    fn drop(&mut self) {
        let both_ends = OpenOptions::new().read(true).write(true).open(&self.0);
        let _ = std::fs::remove_file(&self.0);
        drop(both_ends);
    }
}

async fn held_snapshot_case() {
    let folder = create_long_folder("ragwort-control-compaction");
    let held = HeldFile::create(&folder);
    let running = RunningControl::start(&folder);
    running.expect_grant().await;
    // Returns once a compaction has opened the other end. It fails, since a pipe can't be synced.
    let pipe = held.0.clone();
    let read = tokio::task::spawn_blocking(move || std::fs::read(pipe).unwrap());
    assert!(!read.await.unwrap().is_empty(), "no snapshot was written");
    running.stop().await;
    let (_, bytes) = LogFile::open(&folder).unwrap();
    let restored = DurableState::from_records(&bytes).unwrap().state;
    let last = restored.entries().last().unwrap();
    assert!(last.mark.index > LogIndex(LONG_LOG_ENTRIES), "{last:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}
