//! The addresses of the control VMs, as far as this VM knows them.
//!
//! The settings give a VM some control addresses at its start, of which some may be out of date.
//! After the first lease the catalog names all members with the control role, and their addresses
//! take precedence.

use crate::member::MemberView;
use crate::settings::DaemonSettings;
use ragwort_types::MemberRecord;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// A short list of control addresses.
pub type ControlList = SmallVec<[SocketAddr; 8]>;

/// Looks up the addresses of control VMs. Clones share the same sources.
#[derive(Clone)]
pub struct ControlDirectory {
    settings: Arc<DaemonSettings>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    view: watch::Receiver<MemberView>,
}

impl ControlDirectory {
    /// Creates a directory from the settings, the current seeds and the catalog copy.
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

    /// Returns the control addresses without duplicates: this VM's own first, then those in the
    /// catalog, then those from the settings.
    pub fn addresses(&self) -> ControlList {
        let mut list = ControlList::new();
        if self.settings.roles.control {
            list.push(self.settings.listen.peers);
        }
        let view = self.view.borrow();
        let members = view.copy.members().filter(|member| member.traits.control);
        let mut known: ControlList = members.map(|member| member.peer_address).collect();
        // Each VM starts at another address, so that a thousand members don't all ask the same
        // control VM.
        if !known.is_empty() {
            let offset = usize::from(self.settings.listen.peers.port())
                + last_octet(self.settings.listen.peers);
            let length = known.len();
            known.rotate_left(offset % length);
        }
        let listed = self.settings.control.iter().map(|control| control.address);
        let seeds = self.seeds.borrow();
        for address in known.into_iter().chain(listed).chain(seeds.iter().copied()) {
            if !list.contains(&address) {
                list.push(address);
            }
        }
        list
    }

    /// Returns the addresses from the settings.
    pub fn seeds(&self) -> ControlList {
        let listed = self.settings.control.iter().map(|control| control.address);
        let seeds = self.seeds.borrow();
        listed.chain(seeds.iter().copied()).collect()
    }

    /// Returns the members of the catalog copy that hold the replicated log.
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
