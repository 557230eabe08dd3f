//! The addresses of the other control VMs, and the messages to them.
//!
//! No setting has to list all control VMs. This VM learns their addresses from the settings, from
//! the messages that it receives, from the catalog, and at its start from its own log: after a
//! restart of all control VMs at once, there is no catalog to read until they have found each
//! other.

use super::ControlTask;
use super::decode_command;
use crate::agreement_messages::QueuedMessage;
use crate::agreement_messages::send_messages;
use crate::log_event;
use crate::settings::DaemonSettings;
use log::Level;
use ragwort_control::AgreementMessage;
use ragwort_control::CatalogState;
use ragwort_control::DurableState;
use ragwort_control::agreement::EntryPayload;
use ragwort_rpc::compact_text;
use ragwort_rpc::expand_text;
use ragwort_types::AgreementEnvelope;
use ragwort_types::CatalogCommand;
use ragwort_types::ControlPeer;
use ragwort_types::MemberRecord;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// The maximum number of messages that wait for one peer. Newer messages make older ones obsolete,
/// and the replicated log repeats what it needs.
const PEER_QUEUE_CAPACITY: usize = 256;

/// The known control VMs other than this one.
pub(super) struct PeerTable {
    own: VmName,
    entries: BTreeMap<VmName, PeerEntry>,
}

struct PeerEntry {
    address: SocketAddr,
    /// The queue of the task that sends to this address; `None` before the first message.
    queue: Option<mpsc::Sender<QueuedMessage>>,
}

impl PeerTable {
    pub(super) fn new(settings: &DaemonSettings) -> Self {
        let mut table = Self {
            own: settings.vm.clone(),
            entries: BTreeMap::new(),
        };
        for control in &settings.control {
            table.learn(&control.vm, control.address);
        }
        table
    }

    /// Learns the members in the log's snapshot and entries, committed or not; a wrong address only
    /// costs a message that arrives nowhere.
    pub(super) fn learn_from_log(&mut self, state: &DurableState) {
        if let Some(snapshot) = state.snapshot()
            && let Ok(catalog) = CatalogState::from_snapshot(&snapshot.data)
        {
            catalog
                .members()
                .for_each(|member| self.learn_member(member));
        }
        for entry in state.entries() {
            if let EntryPayload::Data(text) = &entry.payload
                && let Ok(CatalogCommand::AdmitMember(member)) = decode_command(text)
            {
                self.learn_member(&member);
            }
        }
    }

    pub(super) fn learn_member(&mut self, member: &MemberRecord) {
        if member.traits.control {
            self.learn(&member.id.vm, member.peer_address);
        }
    }

    /// Records a control VM's address and returns whether it is new.
    pub(super) fn learn(&mut self, vm: &VmName, address: SocketAddr) -> bool {
        let known = self
            .entries
            .get(vm)
            .is_some_and(|entry| entry.address == address);
        if known || *vm == self.own {
            return false;
        }
        let entry = PeerEntry {
            address,
            queue: None,
        };
        self.entries.insert(vm.clone(), entry);
        true
    }

    pub(super) fn known(&self) -> Vec<ControlPeer> {
        let entries = self.entries.iter();
        let peers = entries.map(|(vm, entry)| ControlPeer {
            vm: vm.clone(),
            address: entry.address,
        });
        peers.collect()
    }

    pub(super) fn names(&self) -> Vec<VmName> {
        self.entries.keys().cloned().collect()
    }

    fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.entries.get(vm).map(|entry| entry.address)
    }

    /// Ends the sending tasks by closing their queues.
    pub(super) fn close(&mut self) {
        self.entries.clear();
    }
}

impl ControlTask {
    /// Learns the sender's address and passes its message to the replicated log.
    pub(super) fn handle_envelope(&mut self, envelope: &AgreementEnvelope) {
        if let Some(address) = envelope.from_address {
            self.learn_peer(&envelope.from, address);
        }
        let text = match expand_text(&envelope.payload) {
            Ok(text) => text,
            Err(error) => {
                log_event!(Level::Warn, "agreement_message_bad", error = error);
                return;
            }
        };
        match AgreementMessage::from_text(&text) {
            Ok(message) => self.node.receive(message),
            Err(error) => log_event!(Level::Warn, "agreement_message_bad", error = error),
        }
    }

    pub(super) fn learn_peers(&mut self, known: Vec<ControlPeer>) {
        for peer in known {
            self.learn_peer(&peer.vm, peer.address);
        }
    }

    /// Learns from the catalog the addresses of the members with the control role.
    pub(super) fn learn_members(&mut self) {
        let members = self
            .catalog
            .members()
            .filter(|member| member.traits.control);
        let members: Vec<(VmName, SocketAddr)> = members
            .map(|member| (member.id.vm.clone(), member.peer_address))
            .collect();
        for (vm, address) in members {
            self.learn_peer(&vm, address);
        }
    }

    fn learn_peer(&mut self, vm: &VmName, address: SocketAddr) {
        if self.peers.learn(vm, address) {
            log_event!(Level::Info, "control_found", vm = vm, address = address);
            self.node.set_peers(self.peers.names());
        }
    }

    /// Queues a message for a peer, whose sending task starts with the first one.
    pub(super) fn send_message(&mut self, to: &VmName, message: &AgreementMessage) {
        let envelope = AgreementEnvelope {
            from: self.settings.vm.clone(),
            from_address: Some(self.settings.listen.peers),
            to: to.clone(),
            payload: compact_text(message.to_text()),
        };
        let limit = Duration::from_millis(self.settings.timing.lease_ms);
        let Some(entry) = self.peers.entries.get_mut(to) else {
            return;
        };
        let queue = entry.queue.get_or_insert_with(|| {
            let (sender, queue) = mpsc::channel(PEER_QUEUE_CAPACITY);
            let links = self.links.clone();
            self.children
                .spawn(send_messages(links, entry.address, limit, queue));
            sender
        });
        // A full queue drops the newest message, which the replicated log repeats.
        let _ = queue.try_send(QueuedMessage::new(envelope));
    }

    /// Returns the leader's address, if the leader is another VM and its address is known.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.node.leader()?;
        self.peers.address(&leader.vm)
    }
}
