//! Settings of a group's scheduler.

use ragwort_types::DomainName;
use std::time::Duration;

/// The settings of a [`GroupScheduler`](crate::GroupScheduler).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerSettings {
    /// Seeds the spread of the times after which refused callers retry; differs between
    /// leaseholders.
    pub seed: u64,
    /// The failure domain of the leaseholder.
    pub home_domain: DomainName,
    /// The one-way network delay between failure domains.
    pub domain_delay: Duration,
    /// What endpoints do with a statement that arrives while all of their slots are in use.
    pub excess: ExcessRule,
    /// The time that opening a connection takes.
    pub connect_time: Duration,
    /// The modules in use.
    pub modules: ModuleSwitches,
}

impl SchedulerSettings {
    /// Creates settings with all modules in use.
    pub fn new(seed: u64, home_domain: DomainName) -> Self {
        Self {
            seed,
            home_domain,
            domain_delay: Duration::from_micros(500),
            excess: ExcessRule::Forbidden,
            connect_time: Duration::from_millis(12),
            modules: ModuleSwitches::default(),
        }
    }
}

/// What endpoints do with a statement that arrives while all of their slots are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExcessRule {
    /// Unknown, or the endpoint mishandles it: no more statements are sent than there are slots.
    #[default]
    Forbidden,
    /// The endpoint queues it for the next free slot: a statement is sent one network delay before
    /// the time at which a slot is expected to become free.
    Waits,
}

/// Which modules are in use; all of them outside of measurements.
///
/// A measurement turns one off to show what callers receive without it. No switch lets a request
/// reach an instance that must not serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModuleSwitches {
    /// Refuse a request as soon as it can't meet its deadline.
    pub early_refusal: bool,
    /// Serve urgent requests first, then those with the least slack.
    pub order: bool,
    /// Serve requests that can't meet their target after those that can.
    pub targets: bool,
    /// Divide slot time between customers by their contracts' shares.
    pub shares: bool,
    /// Delay callers and keys that exceed their even share within their customer.
    pub caller_pacing: bool,
    /// Reserve slots for short requests among long jobs.
    pub long_jobs: bool,
    /// Send reads to replicas first, and to the instance that is expected to end them first.
    pub routing: bool,
    /// Give slow endpoints less work.
    pub health: bool,
    /// Limit retries to a budget.
    pub retry_budget: bool,
    /// Open connections ahead of need.
    pub connections_ahead: bool,
    /// Prefer the same endpoints for the statements of an account, where connections are bound to
    /// accounts.
    pub account_preference: bool,
}

impl Default for ModuleSwitches {
    fn default() -> Self {
        Self {
            early_refusal: true,
            order: true,
            targets: true,
            shares: true,
            caller_pacing: true,
            long_jobs: true,
            routing: true,
            health: true,
            retry_budget: true,
            connections_ahead: true,
            account_preference: true,
        }
    }
}
