//! A running member task, with the senders that it reads from.

use crate::bench::create_record;
use crate::bench::create_settings;
use crate::bench::create_view;
use ragwort_control::CatalogCopy;
use ragwort_types::GroupName;
use ragwortgated::clock::NodeClock;
use ragwortgated::directory::ControlDirectory;
use ragwortgated::member::MemberTask;
use ragwortgated::member::MemberView;
use ragwortgated::member::create_member_id;
use ragwortgated::member::initial_requested_lease;
use ragwortgated::peers::PeerLinks;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A member whose control VMs are at the given addresses.
pub struct RunningMember {
    pub clock: NodeClock,
    pub view: watch::Receiver<MemberView>,
    /// The catalog copy before the first grant.
    pub first_copy: Arc<CatalogCopy>,
    stop: watch::Sender<bool>,
    task: JoinHandle<bool>,
    _senders: (
        watch::Sender<Vec<SocketAddr>>,
        watch::Sender<Vec<GroupName>>,
        watch::Sender<bool>,
    ),
}

impl RunningMember {
    /// Starts a member with these timing settings.
    pub fn start(timing: &str, control: &[SocketAddr]) -> Self {
        let settings = Arc::new(create_settings(timing, control[0]));
        let clock = NodeClock::start();
        let view = create_view([control[0]; 3], &create_record("vm-1", 1), false);
        let first_copy = Arc::clone(&view.copy);
        let (view, receiver) = watch::channel(view);
        let (seeds_sender, seeds) = watch::channel(control.to_vec());
        let (unplaced_sender, unplaced) = watch::channel(Vec::new());
        let (drain_sender, draining) = watch::channel(false);
        let (stop, stopped) = watch::channel(false);
        let member = MemberTask {
            settings: Arc::clone(&settings),
            clock,
            links: PeerLinks::new(Duration::from_secs(5)),
            directory: ControlDirectory::new(Arc::clone(&settings), seeds, receiver.clone()),
            view,
            unplaced,
            draining,
            stop: stopped,
            requested_lease: initial_requested_lease(&settings),
            pending_grant: None,
        };
        Self {
            clock,
            view: receiver,
            first_copy,
            stop,
            task: tokio::spawn(member.run(create_member_id(&settings))),
            _senders: (seeds_sender, unplaced_sender, drain_sender),
        }
    }

    /// Waits until the member holds a lease.
    pub async fn wait_for_lease(&mut self) {
        let clock = self.clock;
        let held = self.view.wait_for(|view| view.may_serve(clock.now()));
        held.await.unwrap();
    }

    /// Stops the member and joins its task.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }
}
