//! Relays endpoints' announcements to the VMs that serve their groups.
//!
//! One task sends the announcements in batches, a call at a time to each VM. A silent VM thereby
//! holds up only what is meant for it.

use crate::clock::NodeClock;
use crate::leaseholders::LeaseholderEvent;
use crate::member::MemberView;
use crate::peers::ANNOUNCE_LIMIT;
use crate::peers::PeerLinks;
use crate::peers::pass_announcements;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use ragwort_control::ClockTime;
use ragwort_policy::AnnouncementBatches;
use ragwort_policy::AnnouncementTicket;
use ragwort_policy::GATHER_TIME;
use ragwort_policy::RelayedAnnouncements;
use ragwort_policy::WaitingAnnouncement;
use ragwort_types::AnnouncementReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::VmName;
use std::collections::HashMap;
use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task;
use tokio::task::JoinError;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Capacity of the relay task's queue. The task takes requests from it at once, so it fills only
/// when the process itself is starved.
const RELAY_QUEUE_CAPACITY: usize = 4_096;

/// Time limit for relaying an announcement, including the time that it waits for others. The
/// endpoint that waits for the answer gives up after a second and asks another VM.
const RELAY_LIMIT: Duration = GATHER_TIME.saturating_add(ANNOUNCE_LIMIT);

/// What an [`AnnouncementRelay`] works with.
#[derive(Clone)]
pub struct RelayContext {
    /// The name of this VM.
    pub vm: VmName,
    /// The process's clock.
    pub clock: NodeClock,
    /// Links to other VMs.
    pub links: PeerLinks,
    /// This VM's catalog copy and lease.
    pub view: watch::Receiver<MemberView>,
    /// The leaseholders' manager.
    pub leaseholders: mpsc::Sender<LeaseholderEvent>,
}

/// Accepts announcements and relays them. Clones share the same state.
#[derive(Clone)]
pub struct AnnouncementRelay {
    context: RelayContext,
    relayed: Arc<Mutex<RelayedAnnouncements>>,
    requests: mpsc::Sender<RelayRequest>,
}

/// An announcement that is to be relayed to a VM.
struct RelayRequest {
    vm: VmName,
    address: SocketAddr,
    announcement: Arc<EndpointAnnouncement>,
    urgent: bool,
    /// Receives whether the VM has received the announcement and leads the endpoint's group. It is
    /// dropped if the announcement isn't sent.
    outcome: oneshot::Sender<bool>,
}

/// The VMs to which an announcement is to be relayed.
struct RelayTargets {
    led_here: bool,
    urgent: bool,
    others: Vec<(VmName, SocketAddr)>,
}

impl AnnouncementRelay {
    /// Starts the task that sends the batches; it ends when all clones of the relay are gone.
    /// Standbys drop an endpoint that isn't announced for `lost_after`.
    pub fn start(context: RelayContext, lost_after: Duration) -> (Self, JoinHandle<()>) {
        let (requests, received) = mpsc::channel(RELAY_QUEUE_CAPACITY);
        let sender = BatchSender {
            clock: context.clock,
            links: context.links.clone(),
            peers: HashMap::new(),
            waiters: HashMap::new(),
            next_ticket: 0,
            calls: JoinSet::new(),
            sent: HashMap::new(),
        };
        let relayed = Arc::new(Mutex::new(RelayedAnnouncements::new(lost_after)));
        let relay = Self {
            context,
            relayed,
            requests,
        };
        (relay, tokio::spawn(sender.run(received)))
    }

    /// Accepts an announcement and relays it to the VMs that serve the group.
    ///
    /// An endpoint may announce itself to any VM. Only the group's leaseholder can keep work away
    /// from a leaving endpoint, so the reply says whether the leaseholder has received the
    /// announcement.
    pub async fn distribute(&self, announcement: EndpointAnnouncement) -> AnnouncementReply {
        let announcement = Arc::new(announcement);
        let mut reply = self.tell_manager(Arc::clone(&announcement)).await;
        let Some(targets) = self.find_targets(&announcement) else {
            return reply;
        };
        reply.leaseholder_told = targets.led_here;
        let urgent = targets.urgent;
        let relaying = targets.others.into_iter().map(|(vm, address)| {
            let (outcome, received) = oneshot::channel();
            // A refused request drops `outcome`, which counts as not received.
            let _ = self.requests.try_send(RelayRequest {
                vm,
                address,
                announcement: Arc::clone(&announcement),
                urgent,
                outcome,
            });
            received
        });
        let mut relaying: FuturesUnordered<_> = relaying.collect();
        let answering = async {
            while !reply.leaseholder_told
                && let Some(received) = relaying.next().await
            {
                reply.leaseholder_told = received.unwrap_or(false);
            }
        };
        // Without an answer in time, the leaseholder counts as not told.
        let _ = timeout(RELAY_LIMIT, answering).await;
        reply
    }

    async fn tell_manager(&self, announcement: Arc<EndpointAnnouncement>) -> AnnouncementReply {
        let (reply, answer) = oneshot::channel();
        let event = LeaseholderEvent::Announce(announcement, reply);
        match self.context.leaseholders.send(event).await {
            Ok(()) => answer.await.unwrap_or_default(),
            Err(_) => AnnouncementReply::default(),
        }
    }

    /// Returns the leaseholder and the standbys to which an announcement is due to be relayed;
    /// `None` if the group's placement isn't known.
    fn find_targets(&self, announcement: &EndpointAnnouncement) -> Option<RelayTargets> {
        let now = self.context.clock.now();
        let view = self.context.view.borrow();
        // Without a lease the copy may be out of date and name a former leaseholder, which can't
        // keep work away.
        let record = view.copy.group(&announcement.group);
        let placement = &record.filter(|_| view.may_serve(now))?.placement;
        let find_address = |vm: &VmName| Some(view.copy.member(vm)?.peer_address);
        let own = &self.context.vm;
        let mut relayed = self.relayed.lock().expect("no holder of this lock panics");
        let urgent = relayed.record(now, announcement) || announcement.status.leaving;
        let mut others = Vec::with_capacity(1 + placement.standbys.len());
        for vm in iter::once(&placement.leaseholder).chain(&placement.standbys) {
            if vm == own {
                continue;
            }
            if let Some(address) = find_address(vm)
                && (*vm == placement.leaseholder || relayed.is_due(now, vm, announcement))
            {
                others.push((vm.clone(), address));
            }
        }
        Some(RelayTargets {
            led_here: placement.leaseholder == *own,
            urgent,
            others,
        })
    }
}

/// The task that sends batches of announcements.
struct BatchSender {
    clock: NodeClock,
    links: PeerLinks,
    /// The VMs for which announcements wait or are being sent.
    peers: HashMap<VmName, PeerBatches>,
    waiters: HashMap<AnnouncementTicket, oneshot::Sender<bool>>,
    next_ticket: u64,
    /// The calls under way; each returns an outcome for each announcement of its batch.
    calls: JoinSet<Vec<bool>>,
    sent: HashMap<task::Id, SentBatch>,
}

/// The announcements for one VM.
struct PeerBatches {
    address: SocketAddr,
    batches: AnnouncementBatches,
}

/// A batch whose call is under way.
struct SentBatch {
    vm: VmName,
    tickets: Vec<AnnouncementTicket>,
}

impl BatchSender {
    async fn run(mut self, mut requests: mpsc::Receiver<RelayRequest>) {
        loop {
            let next_due = self.next_due();
            let due = async {
                match next_due {
                    Some(due) => sleep(self.clock.until(due)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.add(request),
                    None => break,
                },
                Some(ended) = self.calls.join_next_with_id(), if !self.calls.is_empty() => {
                    self.end_batch(ended);
                }
                () = due => self.send_due(),
            }
        }
        self.calls.shutdown().await;
    }

    fn next_due(&self) -> Option<ClockTime> {
        let due = self.peers.values().filter_map(|peer| peer.batches.due_at());
        due.min()
    }

    fn add(&mut self, request: RelayRequest) {
        let ticket = AnnouncementTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiters.insert(ticket, request.outcome);
        let peer = self.peers.entry(request.vm).or_insert(PeerBatches {
            address: request.address,
            batches: AnnouncementBatches::new(),
        });
        peer.address = request.address;
        let added = WaitingAnnouncement {
            ticket,
            announcement: request.announcement,
            urgent: request.urgent,
        };
        if let Some(unsent) = peer.batches.add(self.clock.now(), added) {
            self.waiters.remove(&unsent);
        }
    }

    fn send_due(&mut self) {
        let now = self.clock.now();
        for (vm, peer) in &mut self.peers {
            let batch = peer.batches.take_due(now);
            if batch.is_empty() {
                continue;
            }
            let tickets = batch.iter().map(|one| one.ticket).collect();
            let announcements = batch.into_iter().map(|one| one.announcement).collect();
            let (links, address) = (self.links.clone(), peer.address);
            let call = async move { pass_announcements(&links, address, announcements).await };
            let call = self.calls.spawn(call);
            let vm = vm.clone();
            self.sent.insert(call.id(), SentBatch { vm, tickets });
        }
    }

    /// Tells the waiters of a batch its outcome. A panic of the call was logged by the panic hook.
    fn end_batch(&mut self, ended: Result<(task::Id, Vec<bool>), JoinError>) {
        let (id, outcomes) = match ended {
            Ok(ended) => ended,
            Err(error) => (error.id(), Vec::new()),
        };
        let Some(batch) = self.sent.remove(&id) else {
            return;
        };
        let outcomes = outcomes.into_iter().chain(iter::repeat(false));
        for (ticket, outcome) in batch.tickets.iter().zip(outcomes) {
            if let Some(waiter) = self.waiters.remove(ticket) {
                // The waiter may have given up.
                let _ = waiter.send(outcome);
            }
        }
        if let Some(peer) = self.peers.get_mut(&batch.vm) {
            peer.batches.end_batch();
            if peer.batches.is_idle() {
                self.peers.remove(&batch.vm);
            }
        }
    }
}
