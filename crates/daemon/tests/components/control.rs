//! The control role's answers to members.

use ragwort_control::DiskWrite;
use ragwort_control::EntryMark;
use ragwort_control::agreement::EntryPayload;
use ragwort_control::agreement::LogEntry;
use ragwort_control::encode_record;
use ragwort_rpc::unpack_piece;
use ragwort_types::AccessMode;
use ragwort_types::CallerRule;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogCursor;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::CommandReply;
use ragwort_types::CommandRequest;
use ragwort_types::ContractDocument;
use ragwort_types::CustomerContract;
use ragwort_types::DocumentVersion;
use ragwort_types::GroupTerms;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::KindTerms;
use ragwort_types::LengthClass;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PieceRequest;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::control::ControlEvent;
use ragwortgated::control::ControlFault;
use ragwortgated::control::ControlTask;
use ragwortgated::control::decode_command;
use ragwortgated::control::encode_command;
use ragwortgated::peers::PeerLinks;
use ragwortgated::settings::DaemonSettings;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The heartbeat interval, in milliseconds. A heartbeat is held for up to half of it, which leaves
/// a slow machine enough time to elect a leader.
const LONG_HEARTBEAT_MS: u64 = 15_000;

failure_cases! {
    /// All VMs restart after a power failure, and a member's heartbeat arrives before a leader is
    /// elected. It is held until there is a leader and the new process is admitted. If it were
    /// refused instead, the member would lose a retry interval for each of the two steps and refuse
    /// its callers meanwhile.
    heartbeat_waits_for_a_leader_and_its_admission => waiting_heartbeat_case();
    /// The leader writes each entry to its disk and sends it to every follower. A configuration of
    /// a thousand contracts was escaped and compressed anew for each of them, and meanwhile no
    /// heartbeat was answered.
    configuration_is_compressed_once_for_all_followers => compressed_entry_case();
    /// Members that have reached different revisions transfer the catalog at the same time, as
    /// after many groups were placed. One piece was packed for each member, while heartbeats
    /// waited.
    overlapping_pieces_are_packed_once => overlapping_pieces_case();
    /// Logs that were written before entries were compressed must stay readable.
    uncompressed_entry_is_read => uncompressed_entry_case();
}

/// The incarnation of `vm-1`.
const INCARNATION: VmIncarnation = VmIncarnation(1);

/// Creates the settings of `vm-1`, which is the only control VM.
pub fn create_settings(folder: &std::path::Path) -> DaemonSettings {
    let text = format!(
        "
vm: vm-1
domain: north
roles: {{ gateway: false, control: true, leaseholder: false }}
listen: {{ peers: 127.0.0.1:9, platform: 127.0.0.1:11 }}
control:
  - {{ vm: vm-1, address: 127.0.0.1:9 }}
data_folder: {}
timing: {{ heartbeat_ms: {LONG_HEARTBEAT_MS}, lease_ms: 60000 }}
",
        folder.display()
    );
    DaemonSettings::from_yaml(&text).unwrap()
}

/// Creates the first heartbeat of `vm-2`, which the catalog doesn't hold yet.
pub fn create_heartbeat() -> HeartbeatRequest {
    HeartbeatRequest {
        member: MemberRecord {
            id: MemberId {
                vm: "vm-2".into(),
                incarnation: VmIncarnation(7),
            },
            domain: "north".into(),
            peer_address: "127.0.0.1:10".parse().unwrap(),
            statement_address: None,
            lease_ms: 0,
            draining: false,
            traits: MemberTraits {
                control: false,
                leaseholder: false,
                exclusive: true,
            },
        },
        revision: CatalogRevision(0),
        unplaced_groups: Vec::new(),
    }
}

/// Sends an event to the control task and waits for its reply.
pub async fn call_control<Reply>(
    control: &mpsc::Sender<ControlEvent>,
    event: impl FnOnce(oneshot::Sender<Reply>) -> ControlEvent,
) -> Reply {
    let (reply, answer) = oneshot::channel();
    control.send(event(reply)).await.unwrap();
    answer.await.unwrap()
}

/// Creates a command that replaces the whole configuration, of many similar contracts.
fn create_document() -> CatalogCommand {
    let terms = KindTerms {
        access: AccessMode::Write,
        repeat: RepeatRule::Never,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 0,
        deadline_ms: 800,
        target_ms: None,
        priority: None,
    };
    let contracts = (0..1_000).map(|number| CustomerContract {
        customer: format!("customer-{number}").into(),
        groups: vec!["cases".into()],
        kinds: BTreeMap::from([("write".into(), terms)]),
        default_kind: "write".into(),
        slot_share: 1,
        connection_limit: 88,
        queue_limit: 512,
        session_limit: 4_096,
        callers: CallerRule::Anyone,
        share_group: None,
    });
    CatalogCommand::ApplyDocument(Box::new(ContractDocument {
        version: DocumentVersion(1),
        source: "the text".into(),
        contracts: contracts.collect(),
        groups: vec![GroupTerms {
            group: "cases".into(),
            connections: 88,
            synchronous_replicas: 0,
            idle_transaction_ms: 3_000,
        }],
        accounts: Vec::new(),
        seal: None,
    }))
}

async fn compressed_entry_case() {
    let command = create_document();
    let json_bytes = serde_json::to_string(&command).unwrap().len();
    let text = encode_command(&command);
    assert_eq!(decode_command(&text), Ok(command));
    assert!(
        text.len() * 10 < json_bytes,
        "{} of {json_bytes}",
        text.len()
    );
    let text_bytes = text.len();
    let record = encode_record(&[DiskWrite::Entry(LogEntry {
        mark: EntryMark::default(),
        payload: EntryPayload::Data(text),
    })]);
    assert!(record.len() < text_bytes + 256, "{} bytes", record.len());
}

async fn uncompressed_entry_case() {
    let command = create_document();
    let text = serde_json::to_string(&command).unwrap();
    assert_eq!(decode_command(&text), Ok(command));
}

/// A running control task of `vm-1`, and the folder of its log.
struct RunningControl {
    events: mpsc::Sender<ControlEvent>,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), ControlFault>>,
    folder: PathBuf,
}

impl RunningControl {
    fn start(case: &str) -> Self {
        let name = format!("ragwort-control-{case}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let settings = Arc::new(create_settings(&folder));
        let links = PeerLinks::new(Duration::from_secs(5));
        let opened = ControlTask::open(settings, NodeClock::start(), links, &folder, INCARNATION);
        let (task, events) = opened.unwrap();
        let (stop, stopped) = watch::channel(false);
        Self {
            events,
            stop,
            task: tokio::spawn(task.run(stopped)),
            folder,
        }
    }

    /// Makes `vm-1` the only voter.
    async fn form(&self) -> bool {
        let voter = MemberId {
            vm: "vm-1".into(),
            incarnation: INCARNATION,
        };
        call_control(&self.events, |reply| ControlEvent::Form(vec![voter], reply)).await
    }

    /// Proposes a command until there is a leader that commits it.
    async fn commit(&self, command: CatalogCommand) -> CatalogOutcome {
        loop {
            let request = CommandRequest {
                forwarded: false,
                command: command.clone(),
            };
            let reply = call_control(&self.events, |reply| ControlEvent::Propose(request, reply));
            if let CommandReply::Committed(outcome) = reply.await {
                return outcome;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Requests the piece after a cursor.
    async fn read_piece(&self, cursor: CatalogCursor) -> Arc<str> {
        let scope = CatalogScope::Whole;
        let request = PieceRequest { scope, cursor };
        call_control(&self.events, |reply| {
            ControlEvent::ReadCatalog(request, reply)
        })
        .await
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap().unwrap();
        std::fs::remove_dir_all(&self.folder).unwrap();
    }
}

async fn waiting_heartbeat_case() {
    let control = RunningControl::start("heartbeat");
    let heartbeat = call_control(&control.events, |reply| {
        ControlEvent::Heartbeat(create_heartbeat(), reply)
    });
    let (reply, formed) = tokio::join!(heartbeat, control.form());
    assert!(formed);
    assert!(matches!(reply, HeartbeatReply::Granted(_)), "{reply:?}");
    control.stop().await;
}

async fn overlapping_pieces_case() {
    let control = RunningControl::start("pieces");
    assert!(control.form().await);
    let outcome = control.commit(create_document()).await;
    assert!(matches!(outcome, CatalogOutcome::DocumentAccepted(_)));
    let early = CatalogCursor {
        revision: CatalogRevision(1),
        after: None,
    };
    let packed = control.read_piece(early).await;
    let piece = unpack_piece(&packed).unwrap();
    let CatalogItem::Contract(held) = &piece.items[10] else {
        panic!("expected a contract");
    };
    let later = CatalogCursor {
        revision: piece.next.revision,
        after: Some(CatalogKey::Contract(held.contract.customer.clone())),
    };
    assert!(Arc::ptr_eq(&packed, &control.read_piece(later).await));
    // A member that holds all of the piece gets the next one.
    let next = control.read_piece(piece.next.clone()).await;
    assert!(!Arc::ptr_eq(&packed, &next));
    let nothing = CatalogCursor::default();
    assert!(!Arc::ptr_eq(&packed, &control.read_piece(nothing).await));
    control.stop().await;
}
