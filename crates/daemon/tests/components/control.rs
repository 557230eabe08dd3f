//! The control role's answers to members.

use ragwort_types::CatalogRevision;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::control::ControlEvent;
use ragwortgated::control::ControlTask;
use ragwortgated::peers::PeerLinks;
use ragwortgated::settings::DaemonSettings;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// The heartbeat interval, in milliseconds. A heartbeat is held for up to half of it, which leaves
/// a slow machine enough time to elect a leader.
const LONG_HEARTBEAT_MS: u64 = 15_000;

failure_cases! {
    /// All VMs restart after a power failure, and a member's heartbeat arrives before a leader is
    /// elected. It is held until there is a leader and the new process is admitted. If it were
    /// refused instead, the member would lose a retry interval for each of the two steps and refuse
    /// its callers meanwhile.
    heartbeat_waits_for_a_leader_and_its_admission => waiting_heartbeat_case();
}

/// Creates the settings of `vm-1`, which is the only control VM.
fn create_settings(folder: &std::path::Path) -> DaemonSettings {
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
fn create_heartbeat() -> HeartbeatRequest {
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
async fn call_control<Reply>(
    control: &mpsc::Sender<ControlEvent>,
    event: impl FnOnce(oneshot::Sender<Reply>) -> ControlEvent,
) -> Reply {
    let (reply, answer) = oneshot::channel();
    control.send(event(reply)).await.unwrap();
    answer.await.unwrap()
}

async fn waiting_heartbeat_case() {
    let name = format!("ragwort-control-heartbeat-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let settings = Arc::new(create_settings(&folder));
    let links = PeerLinks::new(Duration::from_secs(5));
    let incarnation = VmIncarnation(1);
    let opened = ControlTask::open(settings, NodeClock::start(), links, &folder, incarnation);
    let (task, control) = opened.unwrap();
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(task.run(stopped));
    let voter = MemberId {
        vm: "vm-1".into(),
        incarnation,
    };
    let heartbeat = call_control(&control, |reply| {
        ControlEvent::Heartbeat(create_heartbeat(), reply)
    });
    let forming = call_control(&control, |reply| ControlEvent::Form(vec![voter], reply));
    let (reply, formed) = tokio::join!(heartbeat, forming);
    assert!(formed);
    assert!(matches!(reply, HeartbeatReply::Granted(_)), "{reply:?}");
    stop.send_replace(true);
    task.await.unwrap().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}
