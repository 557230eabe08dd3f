//! Where the control VMs are, as far as this VM knows.
//!
//! A VM is told some control addresses at its start, of which some may be out of date. From its first
//! lease on the catalog names all members with the control role, and takes precedence.

use crate::member::MemberView;
use crate::settings::DaemonSettings;
use ragwort_types::MemberRecord;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// A short list of control addresses.
pub type ControlList = SmallVec<[SocketAddr; 8]>;

/// Finds the control VMs. Clones share what they know.
#[derive(Clone)]
pub struct ControlDirectory {
    settings: Arc<DaemonSettings>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    view: watch::Receiver<MemberView>,
}

impl ControlDirectory {
    /// Creates a directory from the settings, the present seeds and the catalog's copy.
    pub fn new(
        settings: Arc<DaemonSettings>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        view: watch::Receiver<MemberView>,
    ) -> Self {
        Self {
            settings,
            seeds,
            view,
        }
    }

    /// Returns the control addresses: this VM's own first, then those that the catalog names, then
    /// those from the settings, each once.
    pub fn addresses(&self) -> ControlList {
        let mut list = ControlList::new();
        if self.settings.roles.control {
            list.push(self.settings.listen.peers);
        }
        let view = self.view.borrow();
        let members = view.copy.members().filter(|member| member.traits.control);
        let mut known: ControlList = members.map(|member| member.peer_address).collect();
        // Each VM begins at another one, so that a thousand members don't all ask the same.
        if !known.is_empty() {
            let turn = usize::from(self.settings.listen.peers.port())
                + last_octet(self.settings.listen.peers);
            let length = known.len();
            known.rotate_left(turn % length);
        }
        let fixed = self.settings.control.iter().map(|control| control.address);
        let seeds = self.seeds.borrow();
        for address in known.into_iter().chain(fixed).chain(seeds.iter().copied()) {
            if !list.contains(&address) {
                list.push(address);
            }
        }
        list
    }

    /// Returns the addresses from the settings.
    pub fn seeds(&self) -> ControlList {
        let fixed = self.settings.control.iter().map(|control| control.address);
        let seeds = self.seeds.borrow();
        fixed.chain(seeds.iter().copied()).collect()
    }

    /// Returns the members of the catalog's copy that hold the agreed log.
    pub fn members(&self) -> Vec<MemberRecord> {
        let view = self.view.borrow();
        let members = view.copy.members().filter(|member| member.traits.control);
        members.cloned().collect()
    }
}

fn last_octet(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(address) => usize::from(address.ip().octets()[15]),
    }
}
