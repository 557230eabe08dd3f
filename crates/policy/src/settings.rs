//! What a group's scheduler is told once, at its creation.

use ragwort_types::DomainName;
use std::time::Duration;

/// The settings of a [`GroupScheduler`](crate::GroupScheduler).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerSettings {
    /// Spreads the times at which refused callers come back; differs between leaseholders.
    pub seed: u64,
    /// The failure domain of the leaseholder.
    pub home_domain: DomainName,
    /// The time that a message takes from one failure domain to another, one way.
    pub domain_delay: Duration,
    /// What endpoints do with a statement that arrives while all of their slots are in use.
    pub excess: ExcessRule,
    /// The time that opening a connection takes.
    pub connect_time: Duration,
    /// Which modules are at work.
    pub modules: ModuleSwitches,
}

impl SchedulerSettings {
    /// Creates settings with every module at work.
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
    /// Unknown, or nothing good: no more statements are sent than there are slots.
    #[default]
    Forbidden,
    /// The endpoint lets it wait for the next free slot: a statement is sent one way ahead of the
    /// moment at which a slot is expected to be free.
    Waits,
}

/// Which modules are at work; all of them outside of measurements.
///
/// A measurement switches one off to show what callers receive without it. No switch lets a
/// request reach an instance that must not serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModuleSwitches {
    /// Refuse a request as soon as it can't meet its deadline.
    pub early_refusal: bool,
    /// Urgent requests first, then the least slack.
    pub order: bool,
    /// Requests that can't meet their target go behind those that can.
    pub targets: bool,
    /// Slots by contract share.
    pub shares: bool,
    /// Hot callers and keys wait behind the others of their customer.
    pub hot_callers: bool,
    /// Long jobs leave slots for short ones.
    pub long_jobs: bool,
    /// Reads go to replicas first and to the instance that is expected to end them first.
    pub routing: bool,
    /// Slow endpoints lose work.
    pub health: bool,
    /// Retries are limited to a budget.
    pub retry_budget: bool,
    /// Connections are opened ahead of need.
    pub connections_ahead: bool,
}

impl Default for ModuleSwitches {
    fn default() -> Self {
        Self {
            early_refusal: true,
            order: true,
            targets: true,
            shares: true,
            hot_callers: true,
            long_jobs: true,
            routing: true,
            health: true,
            retry_budget: true,
            connections_ahead: true,
        }
    }
}
