//! The sizes of the users' present sites, by name.

use serde::Serialize;
use std::time::Duration;

/// The maximum number of control VMs in a set.
const MAX_CONTROL_VMS: usize = 3;

/// The size of one user's site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SiteSize {
    /// The site's name.
    pub name: &'static str,
    /// The customer under whose name the load is sent.
    pub customer: &'static str,
    /// The names of the failure domains.
    pub domains: Vec<&'static str>,
    /// The number of VMs that run a daemon.
    pub vms: usize,
    /// The names of the database groups.
    pub groups: Vec<&'static str>,
    /// The number of instances in a group.
    pub instances: usize,
    /// The number of statements that an instance runs concurrently.
    pub slots: u32,
    /// The maximum number of connections to an instance.
    pub connections: u32,
    /// The time that opening a connection takes, in milliseconds.
    pub connect_ms: u64,
    /// The time that a statement takes, in milliseconds; an assumption of the test bench.
    pub service_ms: u64,
    /// The one-way delay between failure domains, in microseconds.
    pub domain_delay_us: u64,
    /// The one-way delay to clients, in microseconds.
    pub client_delay_us: u64,
}

impl SiteSize {
    /// Returns the size of the site Omuti.
    pub fn omuti() -> Self {
        Self {
            name: "omuti",
            customer: "legal-aid",
            domains: vec!["windhoek-a", "windhoek-b", "windhoek-c"],
            vms: 7,
            groups: vec!["cases-a", "cases-b", "cases-c"],
            instances: 3,
            slots: 2,
            connections: 16,
            connect_ms: 12,
            service_ms: 4,
            domain_delay_us: 500,
            client_delay_us: 1_000,
        }
    }

    /// Returns the size of the site Sabarmati.
    pub fn sabarmati() -> Self {
        Self {
            name: "sabarmati",
            customer: "stores",
            domains: vec!["gujarat-a", "gujarat-b", "gujarat-c", "gujarat-d"],
            vms: 8,
            groups: vec!["stock-a", "stock-b", "stock-c"],
            instances: 3,
            slots: 2,
            connections: 30,
            connect_ms: 12,
            service_ms: 4,
            domain_delay_us: 1_500,
            client_delay_us: 3_000,
        }
    }

    /// Returns the size of the site with this name, if there is one.
    pub fn find(name: &str) -> Option<Self> {
        [Self::omuti(), Self::sabarmati()]
            .into_iter()
            .find(|size| size.name == name)
    }

    /// Returns the number of control VMs.
    pub fn control_vms(&self) -> usize {
        MAX_CONTROL_VMS.min(self.vms)
    }

    /// Returns the failure domain of the VM or instance with this index; domains are assigned
    /// round-robin.
    pub fn domain(&self, number: usize) -> &'static str {
        self.domains[number % self.domains.len()]
    }

    /// Returns the one-way delay between failure domains.
    ///
    /// A set applies it to the relays in front of all endpoints, as if no daemon were in the domain
    /// of an endpoint.
    pub fn domain_delay(&self) -> Duration {
        Duration::from_micros(self.domain_delay_us)
    }

    /// Returns the replication lag: a fetch takes one round trip between failure domains.
    pub fn replica_lag(&self) -> Duration {
        Duration::from_micros(2 * self.domain_delay_us)
    }
}
