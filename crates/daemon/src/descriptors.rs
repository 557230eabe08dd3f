//! Counts the process's file descriptors by use, and limits how many connections to endpoints it
//! may hold.

use crate::log_event;
use crate::metrics::DaemonMetrics;
use log::Level;
use prometheus_client::metrics::gauge::Gauge;
use ragwort_policy::ConnectionAllowance;
use rustix::process::Resource;
use rustix::process::getrlimit;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Divisor of the limit of descriptors, which gives the number that connections to endpoints may
/// take. As many are left to other VMs, gateways, endpoints that announce themselves, callers and
/// the replicated log.
const ENDPOINT_DIVISOR: u32 = 2;

/// The use for which a descriptor is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorUse {
    /// A connection to an endpoint, open or opening.
    Endpoints,
    /// A gateway's link for statements.
    StatementLinks,
    /// A link to another VM or to an agent.
    Peers,
    /// A caller's connection.
    Callers,
}

impl DescriptorUse {
    /// All uses.
    pub const ALL: [Self; 4] = [
        Self::Endpoints,
        Self::StatementLinks,
        Self::Peers,
        Self::Callers,
    ];

    /// Returns the name of the use in metrics and dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Endpoints => "endpoints",
            Self::StatementLinks => "statement_links",
            Self::Peers => "peers",
            Self::Callers => "callers",
        }
    }
}

/// The counts and the limit of one process's descriptors; clones share the same counts.
#[derive(Clone, Debug)]
pub struct DescriptorBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    limit: u32,
    held: [Gauge; DescriptorUse::ALL.len()],
    endpoints: Gauge,
    scarce: AtomicBool,
}

impl DescriptorBudget {
    /// Creates a budget of `limit` descriptors whose counts are shown by `metrics`.
    pub fn new(limit: u32, metrics: &DaemonMetrics) -> Self {
        metrics.set_descriptor_limit(limit);
        Self(Arc::new(BudgetState {
            limit,
            held: DescriptorUse::ALL.map(|purpose| metrics.descriptor_gauge(purpose)),
            endpoints: Gauge::default(),
            scarce: AtomicBool::new(false),
        }))
    }

    /// Counts a descriptor until the returned guard is dropped.
    pub fn hold(&self, purpose: DescriptorUse) -> DescriptorGuard {
        let gauge = self.0.held[purpose as usize].clone();
        gauge.inc();
        DescriptorGuard(gauge)
    }

    /// Counts an endpoint to which connections may be opened until the returned guard is dropped.
    pub fn count_endpoint(&self) -> DescriptorGuard {
        let gauge = self.0.endpoints.clone();
        gauge.inc();
        DescriptorGuard(gauge)
    }

    /// Returns how many descriptors are held for a use.
    pub fn count(&self, purpose: DescriptorUse) -> u32 {
        read_gauge(&self.0.held[purpose as usize])
    }

    /// Returns how many connections to endpoints the process may hold, with the current counts.
    pub fn allowance(&self) -> ConnectionAllowance {
        let before = self.0.scarce.load(Ordering::Relaxed);
        let mut allowance = ConnectionAllowance {
            most: self.0.limit / ENDPOINT_DIVISOR,
            held: self.count(DescriptorUse::Endpoints),
            endpoints: read_gauge(&self.0.endpoints),
            scarce: before,
        };
        allowance.scarce = allowance.is_scarce_after(before);
        self.log_scarcity_change(&allowance);
        allowance
    }

    /// Describes the counts for dumps.
    pub fn describe(&self) -> serde_json::Value {
        let held = DescriptorUse::ALL.map(|purpose| {
            let count = self.count(purpose);
            (purpose.as_str().to_owned(), serde_json::json!(count))
        });
        serde_json::json!({
            "limit": self.0.limit,
            "held": held.into_iter().collect::<serde_json::Map<_, _>>(),
            "endpoints": read_gauge(&self.0.endpoints),
        })
    }

    fn log_scarcity_change(&self, allowance: &ConnectionAllowance) {
        let scarce = allowance.scarce;
        if self.0.scarce.swap(scarce, Ordering::Relaxed) == scarce {
            return;
        }
        log_event!(
            Level::Warn,
            "endpoint_connections_scarce",
            scarce = scarce,
            held = allowance.held,
            most = allowance.most,
            endpoints = allowance.endpoints,
            statement_links = self.count(DescriptorUse::StatementLinks),
            peers = self.count(DescriptorUse::Peers),
            callers = self.count(DescriptorUse::Callers),
        );
    }
}

/// A guard that counts one descriptor, or one endpoint, until it is dropped.
#[derive(Debug)]
pub struct DescriptorGuard(Gauge);

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Returns the process's soft limit of open descriptors.
pub fn find_descriptor_limit() -> u32 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(u32::MAX, |limit| u32::try_from(limit).unwrap_or(u32::MAX))
}

fn read_gauge(gauge: &Gauge) -> u32 {
    u32::try_from(gauge.get()).unwrap_or(0)
}
