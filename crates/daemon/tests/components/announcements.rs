//! Relaying of endpoints' announcements to the leaseholder and the standbys of their group.

use crate::bench::UNREACHABLE_ADDRESS;
use crate::bench::create_record;
use crate::bench::create_settings;
use crate::bench::create_view;
use crate::peer::FakePeer;
use crate::peer::PeerScript;
use futures::future::join_all;
use ragwort_types::AnnouncementReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use ragwortgated::announcements::AnnouncementRelay;
use ragwortgated::announcements::RelayContext;
use ragwortgated::clock::NodeClock;
use ragwortgated::descriptors::DescriptorBudget;
use ragwortgated::directory::ControlDirectory;
use ragwortgated::edges::NodeEdges;
use ragwortgated::group::GroupContext;
use ragwortgated::handover_plans::HandoverPlanner;
use ragwortgated::leaseholders::LeaseholderEvent;
use ragwortgated::leaseholders::LeaseholderManager;
use ragwortgated::member::MemberView;
use ragwortgated::metrics::DaemonMetrics;
use ragwortgated::peers::PeerLinks;
use ragwortgated::standby::spawn_standby;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The number of endpoints that announce themselves in a row.
const ENDPOINTS: usize = 200;

/// The time limit for connecting, which no healthy connection comes near.
const LONG: Duration = Duration::from_secs(50);

failure_cases! {
    /// Each announcement was a call of its own, also when it only repeated what was known.
    repeated_announcements_share_calls_to_a_vm => repeated_case();
    /// An endpoint was told that it may stop, though the leaseholder had not received that it was
    /// leaving. The whole batch fails here.
    failed_batch_tells_no_endpoint_to_stop => failed_case();
    /// A standby that doesn't answer held up each announcement until its call ended.
    silent_standby_holds_up_no_announcement => silent_case();
    /// An endpoint of a group that is led elsewhere was told that it may stop, because its
    /// announcement came with others.
    batch_is_answered_for_each_group => mixed_case();
    /// During an upgrade, a leaseholder of the earlier version got no announcements.
    vm_of_an_earlier_version_receives_announcements => earlier_case();
}

fn create_announcement(
    group: &str,
    endpoint: usize,
    sequence: u64,
    leaving: bool,
) -> EndpointAnnouncement {
    EndpointAnnouncement {
        started_ms: 1,
        sequence,
        group: group.into(),
        instance: format!("{group}-{endpoint}").into(),
        domain: "windhoek-a".into(),
        data_address: UNREACHABLE_ADDRESS,
        agent_address: UNREACHABLE_ADDRESS,
        slots: 2,
        connections: 16,
        status: InstanceStatus {
            role: InstanceRole::Replica,
            fenced_term: GroupTerm(1),
            position: LogPosition::new(GroupTerm(1), sequence),
            leaving,
        },
    }
}

/// A relay on `vm-1`, beside the leaseholder `vm-2` and the standby `vm-3` of the group.
struct RelayBench {
    relay: AnnouncementRelay,
    leaseholder: FakePeer,
    standby: FakePeer,
    task: JoinHandle<()>,
    manager: JoinHandle<()>,
    _view: watch::Sender<MemberView>,
}

impl RelayBench {
    async fn start(leaseholder: FakePeer) -> Self {
        leaseholder.set_leading(true);
        let standby = FakePeer::start(PeerScript::Hang).await;
        let addresses = [UNREACHABLE_ADDRESS, leaseholder.address, standby.address];
        let view = create_view(addresses, &create_record("vm-2", 1), true);
        let view = watch::Sender::new(view);
        let (leaseholders, mut events) = mpsc::channel(64);
        let manager = tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                if let LeaseholderEvent::Announce(_, reply) = event {
                    let _ = reply.send(AnnouncementReply::default());
                }
            }
        });
        let context = RelayContext {
            vm: "vm-1".into(),
            clock: NodeClock::start(),
            links: PeerLinks::new(LONG),
            view: view.subscribe(),
            leaseholders,
        };
        let (relay, task) = AnnouncementRelay::start(context, LONG);
        Self {
            relay,
            leaseholder,
            standby,
            task,
            manager,
            _view: view,
        }
    }

    /// Lets the endpoints announce themselves at the same time, and says for each whether the
    /// leaseholder was told.
    async fn announce_all(&self, count: usize, sequence: u64, leaving: bool) -> Vec<bool> {
        let announcing = (0..count).map(|endpoint| self.announce(endpoint, sequence, leaving));
        join_all(announcing).await
    }

    async fn announce(&self, endpoint: usize, sequence: u64, leaving: bool) -> bool {
        let announcement = create_announcement("cases", endpoint, sequence, leaving);
        self.relay.distribute(announcement).await.leaseholder_told
    }

    async fn stop(self) {
        drop(self.relay);
        self.task.await.unwrap();
        self.manager.await.unwrap();
        self.leaseholder.stop().await;
        self.standby.stop().await;
    }
}

async fn repeated_case() {
    let bench = RelayBench::start(FakePeer::start(PeerScript::Hang).await).await;
    let told = bench.announce_all(ENDPOINTS, 1, false).await;
    assert_eq!(told, [true; ENDPOINTS]);
    let before = bench.leaseholder.passed().len();
    for sequence in 2..=6 {
        let told = bench.announce_all(ENDPOINTS, sequence, false).await;
        assert_eq!(told, [true; ENDPOINTS]);
    }
    let repeated = bench.leaseholder.passed().split_off(before);
    assert_eq!(repeated.iter().sum::<usize>(), 5 * ENDPOINTS);
    let calls = repeated.len();
    assert!(calls <= 5 * ENDPOINTS / 10, "{calls} calls");
    bench.stop().await;
}

async fn failed_case() {
    let bench = RelayBench::start(FakePeer::start(PeerScript::Hang).await).await;
    bench.leaseholder.set_listening(false);
    let leaving = async {
        let first = bench.announce(0, 1, true);
        let others = async {
            bench.leaseholder.wait_passed(1).await;
            bench.announce_all(ENDPOINTS, 2, true).await
        };
        tokio::join!(first, others)
    };
    let (first, others) = leaving.await;
    assert!(!first);
    assert_eq!(others, [false; ENDPOINTS]);
    bench.leaseholder.set_listening(true);
    let told = bench.announce_all(ENDPOINTS, 3, true).await;
    assert_eq!(told, [true; ENDPOINTS]);
    bench.stop().await;
}

async fn silent_case() {
    let bench = RelayBench::start(FakePeer::start(PeerScript::Hang).await).await;
    bench.standby.set_listening(false);
    // Each is a change, and so due at the standby.
    for sequence in 1..=20 {
        assert!(bench.announce(0, sequence, sequence % 2 == 0).await);
    }
    let calls = bench.standby.passed().len();
    assert!(calls <= 10, "{calls} calls");
    bench.stop().await;
}

async fn earlier_case() {
    let bench = RelayBench::start(FakePeer::start_earlier().await).await;
    for sequence in 1..=2 {
        let told = bench.announce_all(ENDPOINTS, sequence, false).await;
        assert_eq!(told, [true; ENDPOINTS]);
    }
    assert_eq!(bench.leaseholder.passed(), [1; 2 * ENDPOINTS]);
    bench.stop().await;
}

async fn mixed_case() {
    let view = create_view([UNREACHABLE_ADDRESS; 3], &create_record("vm-1", 1), true);
    let view = watch::Sender::new(view);
    let (standby, standby_task) = spawn_standby("vm-1".into(), view.subscribe());
    let settings = create_settings("announce_lost_ms: 60000", UNREACHABLE_ADDRESS);
    let settings = Arc::new(settings);
    let (_, seeds) = watch::channel(Vec::new());
    let metrics = DaemonMetrics::new();
    let context = GroupContext {
        directory: ControlDirectory::new(Arc::clone(&settings), seeds, view.subscribe()),
        settings,
        clock: NodeClock::start(),
        links: PeerLinks::new(LONG),
        standby,
        handovers: HandoverPlanner::default(),
        descriptors: DescriptorBudget::new(u32::MAX, &metrics),
        metrics,
    };
    let (unplaced, _) = watch::channel(Vec::new());
    let manager = LeaseholderManager::new(
        Arc::new(context),
        NodeEdges::Postgres,
        view.subscribe(),
        unplaced,
    );
    let (leaseholders, events) = mpsc::channel(64);
    let stop = watch::Sender::new(false);
    let manager = tokio::spawn(manager.run(events, stop.subscribe()));

    let batch = [("cases", 1), ("others", 1), ("cases", 2)];
    let batch = batch.map(|(group, one)| Arc::new(create_announcement(group, one, 1, true)));
    let (reply, leads) = oneshot::channel();
    let event = LeaseholderEvent::AnnounceBatch(batch.to_vec(), reply);
    leaseholders.send(event).await.unwrap();
    assert_eq!(leads.await.unwrap(), [true, false, true]);
    let (reply, state) = oneshot::channel();
    leaseholders
        .send(LeaseholderEvent::Dump(reply))
        .await
        .unwrap();
    let announced = &state.await.unwrap()["announced"];
    assert_eq!(announced["cases"], json!(["cases-1", "cases-2"]));
    assert_eq!(announced["others"], json!(["others-1"]));

    stop.send_replace(true);
    manager.await.unwrap();
    standby_task.await.unwrap();
}
