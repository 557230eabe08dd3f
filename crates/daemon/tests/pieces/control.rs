//! The control role as members meet it.

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

/// A heartbeat's time that leaves a starved machine room to elect a leader, in milliseconds.
const LONG_HEARTBEAT_MS: u64 = 15_000;

failure_cases! {
    /// All VMs return from a loss of power, and a member's heartbeat arrives before anybody leads. It
    /// is answered once there is a leader and the new process is a member. Told to come back, the
    /// member would lose a pause for each of the two, and refuse its callers meanwhile.
    heartbeat_waits_for_a_leader_and_its_admission => waiting_heartbeat_case();
}

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

fn describe_newcomer() -> HeartbeatRequest {
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

async fn ask<Reply>(
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
    let own = VmIncarnation(1);
    let opened = ControlTask::open(settings, NodeClock::start(), links, &folder, own);
    let (task, control) = opened.unwrap();
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(task.run(stopped));
    let voter = MemberId {
        vm: "vm-1".into(),
        incarnation: own,
    };
    let heartbeat = ask(&control, |reply| {
        ControlEvent::Heartbeat(describe_newcomer(), reply)
    });
    let forming = ask(&control, |reply| ControlEvent::Form(vec![voter], reply));
    let (reply, formed) = tokio::join!(heartbeat, forming);
    assert!(formed);
    assert!(matches!(reply, HeartbeatReply::Granted(_)), "{reply:?}");
    stop.send_replace(true);
    task.await.unwrap().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}
