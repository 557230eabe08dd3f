//! Brings the control VMs together: the first voter set, and VMs that know nobody yet.
//!
//! At the very first start, and only then, the VM that the settings name first among the seeds asks
//! all seeds who they are and forms the first voter set of them. Every other control VM joins later
//! through the agreed log. A VM without a leader asks the seeds, and whomever they name, until it
//! has one.

use crate::control::ControlEvent;
use crate::directory::ControlDirectory;
use crate::log_event;
use crate::peers::PeerLinks;
use crate::settings::DaemonSettings;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_rpc::PeerApiClient;
use ragwort_types::ControlIdentity;
use ragwort_types::ControlPeer;
use ragwort_types::MemberId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

/// How often a control VM without a leader asks the others who they are. VMs of one start come up
/// within a third of a second.
const ASK_EVERY: Duration = Duration::from_millis(150);

/// How often a control VM with a leader looks whether it still has one.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long a control VM may take to say who it is.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// Finds the other control VMs for this one, and forms the first voter set if that is its part.
pub struct FormationTask {
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// Links to other VMs.
    pub links: PeerLinks,
    /// Where control VMs may be.
    pub directory: ControlDirectory,
    /// This VM's control role.
    pub control: mpsc::Sender<ControlEvent>,
    /// Ends the task.
    pub stop: watch::Receiver<bool>,
}

/// A control VM that answered.
struct FoundPeer {
    address: SocketAddr,
    identity: ControlIdentity,
}

impl FormationTask {
    /// Runs until told to stop.
    pub async fn run(mut self) {
        loop {
            let Some(own) = self.identify().await else {
                return;
            };
            let pause = match own.led {
                true => LOOK_EVERY,
                false => {
                    self.seek(&own).await;
                    ASK_EVERY
                }
            };
            tokio::select! {
                () = sleep(pause) => {}
                _ = self.stop.wait_for(|set| *set) => return,
            }
        }
    }

    async fn identify(&self) -> Option<ControlIdentity> {
        let (reply, answer) = oneshot::channel();
        self.control
            .send(ControlEvent::Identity(reply))
            .await
            .ok()?;
        answer.await.ok()
    }

    /// Asks everybody who may hold the agreed log, and tells this VM's control role who answered.
    async fn seek(&self, own: &ControlIdentity) {
        let mut asked: BTreeSet<SocketAddr> = self.directory.seeds().into_iter().collect();
        asked.extend(own.known.iter().map(|peer| peer.address));
        asked.remove(&self.settings.listen.peers);
        let asking = asked.into_iter().map(|address| self.ask(address));
        let found: Vec<FoundPeer> = futures::future::join_all(asking)
            .await
            .into_iter()
            .flatten()
            .collect();
        let known = found.iter().flat_map(FoundPeer::to_peers).collect();
        // The control role ends only together with this task's parent.
        let _ = self.control.send(ControlEvent::Learned(known)).await;
        self.form(own, &found).await;
    }

    async fn ask(&self, address: SocketAddr) -> Option<FoundPeer> {
        let call = |client: Arc<WsClient>| async move { client.control_identity().await };
        let reply = self.links.call(address, ASK_LIMIT, call).await;
        let identity = reply.ok()??;
        Some(FoundPeer { address, identity })
    }

    /// Says whether the first voter set is this VM's to form.
    ///
    /// Exactly one VM may do it. Two that formed a set each would take changes that the other never
    /// hears of.
    fn may_form(&self) -> bool {
        let first = self.directory.seeds().first().copied();
        self.settings.is_first_start() && first == Some(self.settings.listen.peers)
    }

    async fn form(&self, own: &ControlIdentity, found: &[FoundPeer]) {
        let Some(voters) = self.choose_voters(own, found) else {
            return;
        };
        let (reply, answer) = oneshot::channel();
        let order = ControlEvent::Form(voters.clone(), reply);
        if self.control.send(order).await.is_err() || answer.await != Ok(true) {
            return;
        }
        let named = found
            .iter()
            .filter(|peer| voters.contains(&peer.identity.id));
        for peer in named.filter(|peer| peer.identity.empty) {
            let voters = voters.clone();
            let call = |client: Arc<WsClient>| async move { client.form_voters(voters).await };
            let reply = self.links.call(peer.address, ASK_LIMIT, call).await;
            let formed = matches!(reply, Ok(true));
            let vm = &peer.identity.id.vm;
            log_event!(Level::Info, "voters_formed", vm = vm, formed = formed);
        }
    }

    /// Returns the first voter set: all seeds, once every one of them has answered.
    ///
    /// A set that was written already stays as it is, and is passed on to those that don't have it
    /// yet: whoever wrote it may have been restarted in between.
    fn choose_voters(&self, own: &ControlIdentity, found: &[FoundPeer]) -> Option<Vec<MemberId>> {
        if !own.empty {
            return Some(own.voters.clone());
        }
        if !self.may_form() {
            return None;
        }
        let seeds = self.directory.seeds();
        let seed_peers = found.iter().filter(|peer| seeds.contains(&peer.address));
        let voters: Vec<MemberId> = seed_peers
            .filter(|peer| peer.identity.empty)
            .map(|peer| peer.identity.id.clone())
            .chain([own.id.clone()])
            .collect();
        (voters.len() == seeds.len()).then_some(voters)
    }
}

impl FoundPeer {
    fn to_peers(&self) -> Vec<ControlPeer> {
        let own = ControlPeer {
            vm: self.identity.id.vm.clone(),
            address: self.address,
        };
        let others = self.identity.known.iter().cloned();
        others.chain([own]).collect()
    }
}
