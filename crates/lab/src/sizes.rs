//! The users' sizes of today, by name.

use serde::Serialize;
use std::time::Duration;

/// The most control VMs that the lab starts.
const CONTROL_VMS: usize = 3;

/// The size of one user's site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SiteSize {
    /// The site's name.
    pub name: &'static str,
    /// The customer whose callers the lab plays.
    pub customer: &'static str,
    /// The failure domains.
    pub domains: Vec<&'static str>,
    /// The VMs that run a daemon.
    pub vms: usize,
    /// The database groups.
    pub groups: Vec<&'static str>,
    /// Instances per group.
    pub instances: usize,
    /// Statements that an instance runs at once.
    pub slots: u32,
    /// Connections that an instance takes.
    pub connections: u32,
    /// Milliseconds that a connection takes to open.
    pub connect_ms: u64,
    /// Milliseconds that a statement takes; the lab's assumption.
    pub service_ms: u64,
    /// The one-way delay between failure domains, in microseconds.
    pub domain_delay_us: u64,
    /// The one-way delay to clients, in microseconds.
    pub client_delay_us: u64,
}

impl SiteSize {
    /// Returns Omuti's size.
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

    /// Returns Sabarmati's size.
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

    /// Returns the size with this name.
    pub fn find(name: &str) -> Option<Self> {
        [Self::omuti(), Self::sabarmati()]
            .into_iter()
            .find(|size| size.name == name)
    }

    /// Returns the number of control VMs.
    pub fn control_vms(&self) -> usize {
        CONTROL_VMS.min(self.vms)
    }

    /// Returns the failure domain of the VM or instance with this number.
    pub fn domain(&self, number: usize) -> &'static str {
        self.domains[number % self.domains.len()]
    }

    /// Returns the one-way delay between failure domains.
    ///
    /// The lab's sets put it in front of every endpoint, as if no daemon shared its domain.
    pub fn domain_delay(&self) -> Duration {
        Duration::from_micros(self.domain_delay_us)
    }

    /// Returns the replicas' lag: a fetch crosses between failure domains and back.
    pub fn replica_lag(&self) -> Duration {
        Duration::from_micros(2 * self.domain_delay_us)
    }
}
