//! The endpoints and connections of a group whose databases keep terms of their own.

use super::link::LinkEvent;
use super::link::LinkId;
use super::link::LinkOrder;
use super::link::LinkTarget;
use super::link::spawn_link;
use crate::descriptors::DescriptorBudget;
use crate::descriptors::DescriptorHold;
use crate::descriptors::DescriptorUse;
use crate::edges::EndpointProtocol;
use ragwort_control::ClockTime;
use ragwort_control::digest_text;
use ragwort_policy::ConnectionImage;
use ragwort_policy::HeldConnection;
use ragwort_policy::RequestTicket;
use ragwort_types::AccountName;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupName;
use ragwort_types::InstanceName;
use ragwort_types::PreparedShape;
use ragwort_types::SessionValues;
use ragwort_types::TransactionId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// An endpoint that announces itself.
#[derive(Debug)]
pub(super) struct NativeEndpoint {
    /// What it last said of itself.
    pub(super) announcement: EndpointAnnouncement,
    /// When it said so.
    pub(super) heard: ClockTime,
    /// When it last answered anything on a connection.
    pub(super) answered: ClockTime,
    /// How many connections in a row failed to open.
    pub(super) failed_opens: u32,
    /// Since when a connection that is to show whether it lives is being opened.
    pub(super) probing: Option<ClockTime>,
    /// When it last refused a connection since it had too many, and how many of ours were open then.
    pub(super) full: Option<FullEndpoint>,
    _hold: DescriptorHold,
}

/// An endpoint that took no further connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FullEndpoint {
    pub(super) since: ClockTime,
    pub(super) held: u32,
}

/// What an announcement brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointNews {
    /// A later one of the instance was taken before.
    Overtaken,
    /// The instance's first one.
    First,
    /// The present state of an instance that is known.
    Known,
    /// The instance has started again and holds nothing of before.
    Restart,
}

/// A connection in the pool.
#[derive(Debug)]
pub(super) struct NativeConnection {
    /// The instance it leads to.
    pub(super) instance: InstanceName,
    /// The address that it was opened to.
    pub(super) address: SocketAddr,
    /// The account for whose callers it was opened.
    pub(super) account: Option<AccountName>,
    /// That account's digest, as the scheduler knows it.
    account_digest: Option<u64>,
    /// Whether it is open yet.
    pub(super) open: bool,
    /// As what the scheduler counts it.
    pub(super) counted: ConnectionCount,
    /// What runs on it.
    pub(super) work: ConnectionWork,
    /// The transaction that holds it.
    pub(super) pinned: Option<TransactionId>,
    /// Whether it takes no further order.
    pub(super) spent: bool,
    /// Whether it has to prove that it still answers.
    pub(super) doubted: bool,
    /// Whether the scheduler counts it no more, as its endpoint was taken out of use.
    pub(super) retired: bool,
    /// What rests on it.
    pub(super) image: ConnectionImage,
    /// When something last ended on it.
    pub(super) last_used: ClockTime,
    /// When a caller's statement last ended on it, or when it was opened.
    pub(super) last_statement: ClockTime,
    /// When its order was given.
    pub(super) ordered: ClockTime,
    orders: mpsc::Sender<LinkOrder>,
}

/// As what the scheduler counts a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionCount {
    /// As one that is being opened.
    Opening,
    /// As an open one; it may still be opening for the statement that was ordered on it.
    Open,
}

/// What runs on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionWork {
    /// Nothing.
    Nothing,
    /// A caller's statement.
    Statement(RequestTicket),
    /// Something of the leaseholder's own.
    Own,
}

impl NativeConnection {
    pub(super) fn is_idle(&self) -> bool {
        let free = self.work == ConnectionWork::Nothing && self.pinned.is_none();
        self.open && free && !self.spent && !self.doubted
    }

    /// Hands an order to the connection's task and says whether it was taken.
    pub(super) fn send(&self, order: LinkOrder) -> bool {
        self.orders.try_send(order).is_ok()
    }
}

/// Returns an account's digest, by which the scheduler knows it.
pub(super) fn digest_account(account: &AccountName) -> u64 {
    digest_text(account.as_str())
}

/// The endpoints and connections of one group.
pub(super) struct NativePool {
    group: GroupName,
    protocol: Arc<dyn EndpointProtocol>,
    open_limit: Duration,
    descriptors: DescriptorBudget,
    events: mpsc::Sender<LinkEvent>,
    endpoints: BTreeMap<InstanceName, NativeEndpoint>,
    connections: BTreeMap<LinkId, NativeConnection>,
    next_id: u64,
    children: JoinSet<()>,
}

impl NativePool {
    pub(super) fn new(
        group: GroupName,
        protocol: Arc<dyn EndpointProtocol>,
        open_limit: Duration,
        descriptors: DescriptorBudget,
        events: mpsc::Sender<LinkEvent>,
    ) -> Self {
        Self {
            group,
            protocol,
            open_limit,
            descriptors,
            events,
            endpoints: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_id: 0,
            children: JoinSet::new(),
        }
    }

    /// Says what an announcement brings, before it is taken.
    pub(super) fn judge_announcement(&self, announcement: &EndpointAnnouncement) -> EndpointNews {
        let Some(known) = self.endpoints.get(&announcement.instance) else {
            return EndpointNews::First;
        };
        let known = &known.announcement;
        if announcement.is_before(known) {
            return EndpointNews::Overtaken;
        }
        match announcement.is_restart_since(known) {
            true => EndpointNews::Restart,
            false => EndpointNews::Known,
        }
    }

    /// Takes an announcement that isn't overtaken.
    pub(super) fn take_announcement(&mut self, now: ClockTime, announcement: EndpointAnnouncement) {
        let instance = announcement.instance.clone();
        match self.endpoints.get_mut(&instance) {
            Some(known) => {
                known.announcement = announcement;
                known.heard = now;
            }
            None => {
                let endpoint = NativeEndpoint {
                    announcement,
                    heard: now,
                    answered: now,
                    failed_opens: 0,
                    probing: None,
                    full: None,
                    _hold: self.descriptors.serve_endpoint(),
                };
                self.endpoints.insert(instance, endpoint);
            }
        }
    }

    pub(super) fn endpoint(&self, instance: &InstanceName) -> Option<&NativeEndpoint> {
        self.endpoints.get(instance)
    }

    pub(super) fn endpoint_mut(&mut self, instance: &InstanceName) -> Option<&mut NativeEndpoint> {
        self.endpoints.get_mut(instance)
    }

    pub(super) fn endpoints(&self) -> impl Iterator<Item = &NativeEndpoint> {
        self.endpoints.values()
    }

    pub(super) fn names(&self) -> Vec<InstanceName> {
        self.endpoints.keys().cloned().collect()
    }

    pub(super) fn remove_endpoint(&mut self, instance: &InstanceName) {
        self.endpoints.remove(instance);
    }

    /// Lists the endpoints that have not announced themselves for `limit`.
    pub(super) fn find_silent(&self, now: ClockTime, limit: Duration) -> Vec<InstanceName> {
        let silent = self.endpoints.iter();
        let silent = silent.filter(|(_, one)| now.since(one.heard.max(one.answered)) >= limit);
        silent.map(|(instance, _)| instance.clone()).collect()
    }

    /// Starts to open a connection to an instance for an account's callers; its event tells how that
    /// ended. `None` if the instance isn't known.
    pub(super) fn open_connection(
        &mut self,
        now: ClockTime,
        instance: &InstanceName,
        account: Option<AccountName>,
    ) -> Option<LinkId> {
        let endpoint = self.endpoints.get(instance)?;
        self.next_id += 1;
        let id = LinkId(self.next_id);
        let target = LinkTarget {
            id,
            address: endpoint.announcement.data_address,
            group: self.group.clone(),
            instance: instance.clone(),
            account: account.clone(),
            open_limit: self.open_limit,
            protocol: Arc::clone(&self.protocol),
        };
        let hold = self.descriptors.hold(DescriptorUse::Endpoints);
        let (orders, task) = spawn_link(target, self.events.clone());
        self.children.spawn(async move {
            // A task that panicked has logged that itself.
            let _ = task.await;
            drop(hold);
        });
        let connection = NativeConnection {
            instance: instance.clone(),
            address: endpoint.announcement.data_address,
            account_digest: account.as_ref().map(digest_account),
            account,
            open: false,
            counted: ConnectionCount::Opening,
            work: ConnectionWork::Nothing,
            pinned: None,
            spent: false,
            doubted: false,
            retired: false,
            image: ConnectionImage::default(),
            last_used: now,
            last_statement: now,
            ordered: now,
            orders,
        };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Finds an account's idle connection to an instance that needs the fewest steps for a session; of
    /// equal ones the one used last, so that the others can idle out.
    pub(super) fn find_idle(
        &self,
        instance: &InstanceName,
        account: Option<&AccountName>,
        values: &SessionValues,
        prepared: Option<&PreparedShape>,
    ) -> Option<LinkId> {
        let own = self
            .connections
            .iter()
            .filter(|(_, one)| one.instance == *instance && one.account.as_ref() == account);
        let idle = own.filter(|(_, one)| one.is_idle());
        let best = idle.min_by_key(|(_, one)| {
            let cost = one.image.cost(values, prepared);
            (cost, std::cmp::Reverse(one.last_used))
        });
        best.map(|(id, _)| *id)
    }

    /// Finds any idle connection to an instance.
    pub(super) fn find_any_idle(&self, instance: &InstanceName) -> Option<LinkId> {
        let own = self.connections.iter();
        let mut idle = own.filter(|(_, one)| one.instance == *instance && one.is_idle());
        idle.next().map(|(id, _)| *id)
    }

    /// Returns the accounts that have an idle connection to an instance, by their digests.
    pub(super) fn idle_accounts(&self, instance: &InstanceName) -> impl Iterator<Item = u64> {
        let own = self.connections.values();
        let idle = own.filter(move |one| one.instance == *instance && one.is_idle());
        idle.filter_map(|one| one.account_digest)
    }

    /// Lists the connections to an instance for the choice of one to give up.
    pub(super) fn list_held(&self, instance: &InstanceName) -> Vec<HeldConnection<'_>> {
        let own = self.connections.iter();
        let own = own.filter(|(_, one)| one.instance == *instance);
        let held = own.map(|(id, one)| HeldConnection {
            id: id.0,
            account: one.account.as_ref(),
            idle: one.is_idle(),
            last_used: one.last_statement,
        });
        held.collect()
    }

    pub(super) fn connection(&self, id: LinkId) -> Option<&NativeConnection> {
        self.connections.get(&id)
    }

    pub(super) fn connection_mut(&mut self, id: LinkId) -> Option<&mut NativeConnection> {
        self.connections.get_mut(&id)
    }

    /// Forgets a connection; its task ends once its order has ended.
    pub(super) fn remove_connection(&mut self, id: LinkId) -> Option<NativeConnection> {
        self.connections.remove(&id)
    }

    pub(super) fn connections(&self) -> impl Iterator<Item = (LinkId, &NativeConnection)> {
        self.connections.iter().map(|(id, one)| (*id, one))
    }

    /// Lists an instance's connections.
    pub(super) fn links_of(&self, instance: &InstanceName) -> Vec<LinkId> {
        let own = self.connections.iter();
        let own = own.filter(|(_, one)| one.instance == *instance);
        own.map(|(id, _)| *id).collect()
    }

    /// Counts connections by instance, for dumps.
    pub(super) fn count_by_instance(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for connection in self.connections.values() {
            *counts.entry(connection.instance.to_string()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of connections, open or opening.
    pub(super) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Joins children that have ended.
    pub(super) fn reap(&mut self) {
        while self.children.try_join_next().is_some() {}
    }

    /// Closes everything and joins all children.
    pub(super) async fn shut_down(&mut self) {
        self.connections.clear();
        self.endpoints.clear();
        self.children.shutdown().await;
    }
}
