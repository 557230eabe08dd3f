//! Forms the first voter set, and finds the other control VMs for a control VM without a leader.
//!
//! At the very first start, and only then, the VM that is first among the seeds asks all seeds for
//! their identities and, once all have answered, forms the first voter set of them. Every other
//! control VM joins later through the replicated log. A VM without a leader asks the seeds, and the
//! VMs that they name, until it has one.

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

/// Interval at which a control VM without a leader asks the others for their identities. VMs of one
/// start come up within a third of a second.
const IDENTITY_QUERY_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which a control VM with a leader checks whether it still has one.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for each call to another control VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Finds the other control VMs, and forms the first voter set if this VM is the one to do so.
pub struct FormationTask {
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// Links to other VMs.
    pub links: PeerLinks,
    /// The addresses of control VMs, as far as they are known.
    pub directory: ControlDirectory,
    /// This VM's control role.
    pub control: mpsc::Sender<ControlEvent>,
    /// Ends the task.
    pub stop: watch::Receiver<bool>,
}

/// A control VM that has answered, and its identity.
struct FoundPeer {
    address: SocketAddr,
    identity: ControlIdentity,
}

impl FormationTask {
    /// Runs until `stop` is set.
    pub async fn run(mut self) {
        loop {
            let Some(own) = self.identify().await else {
                return;
            };
            let pause = match own.led {
                true => LEADER_CHECK_INTERVAL,
                false => {
                    self.find_peers(&own).await;
                    IDENTITY_QUERY_INTERVAL
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

    /// Asks all VMs that may hold the replicated log for their identities, and passes the answers
    /// to this VM's control role.
    async fn find_peers(&self, own: &ControlIdentity) {
        let mut asked: BTreeSet<SocketAddr> = self.directory.seeds().into_iter().collect();
        asked.extend(own.known.iter().map(|peer| peer.address));
        asked.remove(&self.settings.listen.peers);
        let asking = asked
            .into_iter()
            .map(|address| self.query_identity(address));
        let found: Vec<FoundPeer> = futures::future::join_all(asking)
            .await
            .into_iter()
            .flatten()
            .collect();
        let known = found.iter().flat_map(FoundPeer::to_peers).collect();
        // The control role ends only when the daemon ends.
        let _ = self.control.send(ControlEvent::PeersLearned(known)).await;
        self.form(own, &found).await;
    }

    async fn query_identity(&self, address: SocketAddr) -> Option<FoundPeer> {
        let call = |client: Arc<WsClient>| async move { client.control_identity().await };
        let reply = self.links.call(address, CALL_TIMEOUT, call).await;
        let identity = reply.ok()??;
        Some(FoundPeer { address, identity })
    }

    /// Says whether this VM is the one that forms the first voter set.
    ///
    /// Exactly one VM may do so. Two voter sets formed independently would each commit changes that
    /// the other never receives.
    fn forms_first_voters(&self) -> bool {
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
        let empty_voters = found
            .iter()
            .filter(|peer| voters.contains(&peer.identity.id));
        for peer in empty_voters.filter(|peer| peer.identity.empty) {
            let voters = voters.clone();
            let call = |client: Arc<WsClient>| async move { client.form_voters(voters).await };
            let reply = self.links.call(peer.address, CALL_TIMEOUT, call).await;
            let formed = matches!(reply, Ok(true));
            let vm = &peer.identity.id.vm;
            log_event!(Level::Info, "voters_formed", vm = vm, formed = formed);
        }
    }

    /// Returns the first voter set: all seeds, once every one of them has answered.
    ///
    /// A set that was already written is kept, and passed on to those that lack it: the VM that
    /// wrote it may have restarted in between.
    fn choose_voters(&self, own: &ControlIdentity, found: &[FoundPeer]) -> Option<Vec<MemberId>> {
        if !own.empty {
            return Some(own.voters.clone());
        }
        if !self.forms_first_voters() {
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
