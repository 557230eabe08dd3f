//! Scheduling and overload policies of ragwortgate.
//!
//! The leaseholder of a database group owns its endpoints' slots and connections. This crate
//! decides which requests get them, and contains the policies for admission, routing, rate limits
//! and failure detection around that. It has no network, no clock and no locks: events and the
//! present time go in, decisions come out, and the caller carries them out.
//!
//! # Examples
//!
//! A group with one endpoint. A connection is opened ahead; then a request arrives and is
//! dispatched:
//!
//! ```
//! use ragwort_policy::ArrivalDecision;
//! use ragwort_policy::ClockTime;
//! use ragwort_policy::CustomerTerms;
//! use ragwort_policy::DispatchOrder;
//! use ragwort_policy::EndpointRole;
//! use ragwort_policy::EndpointState;
//! use ragwort_policy::FinishDecision;
//! use ragwort_policy::FinishOutcome;
//! use ragwort_policy::GroupScheduler;
//! use ragwort_policy::RequestProfile;
//! use ragwort_policy::RequestStep;
//! use ragwort_policy::RequestTicket;
//! use ragwort_policy::SchedulerDecision;
//! use ragwort_policy::SchedulerSettings;
//! use ragwort_types::AccessMode;
//! use ragwort_types::CustomerName;
//! use ragwort_types::DomainName;
//! use ragwort_types::InstanceName;
//! use ragwort_types::KindName;
//! use ragwort_types::LengthClass;
//! use ragwort_types::LogPosition;
//! use ragwort_types::RepeatRule;
//! use ragwort_types::UrgencyClass;
//! use std::time::Duration;
//!
//! let domain = DomainName::from("north");
//! let instance = InstanceName::from("cases-1");
//! let customer = CustomerName::from("directorate");
//! let mut scheduler = GroupScheduler::new(SchedulerSettings::new(7, domain.clone()));
//! scheduler.set_contracts(&[CustomerTerms {
//!     customer: customer.clone(),
//!     slot_share: 1,
//!     queue_limit: 100,
//!     connection_limit: 8,
//!     share_group: None,
//! }]);
//! scheduler.set_endpoint(
//!     ClockTime(0),
//!     EndpointState {
//!         instance: instance.clone(),
//!         domain,
//!         slots: 2,
//!         connections: 16,
//!         role: EndpointRole::Primary,
//!         leaving: false,
//!     },
//! );
//!
//! let decisions = scheduler.poll(ClockTime(0));
//! assert!(decisions.contains(&SchedulerDecision::OpenConnection(instance.clone())));
//! scheduler.connection_opened(&instance);
//!
//! let ticket = RequestTicket(1);
//! let now = ClockTime::from_millis(20);
//! let arrival = scheduler.arrive(
//!     now,
//!     RequestProfile {
//!         ticket,
//!         customer,
//!         kind: KindName::from("grant"),
//!         session: 99,
//!         account: None,
//!         key: None,
//!         access: AccessMode::Write,
//!         repeat: RepeatRule::Never,
//!         urgency: UrgencyClass::Ordinary,
//!         length: LengthClass::Short,
//!         needs_primary: true,
//!         min_position: LogPosition::default(),
//!         max_age: Duration::ZERO,
//!         deadline: now + Duration::from_millis(500),
//!         target: None,
//!         step: RequestStep::Single,
//!         priority: None,
//!     },
//! );
//! assert_eq!(arrival, ArrivalDecision::Queued);
//! let decisions = scheduler.poll(now);
//! let order = DispatchOrder { ticket, instance };
//! assert!(decisions.contains(&SchedulerDecision::Dispatch(order)));
//!
//! let end = ClockTime::from_millis(26);
//! let finish = scheduler.finished(end, ticket, FinishOutcome::Answered);
//! assert_eq!(finish, FinishDecision::Settled);
//! ```

mod account_connections;
mod account_demand;
mod account_forecast;
mod account_ledger;
mod account_share;
mod account_shares;
mod admission;
mod announcement_batches;
mod caller_pacing;
mod catch_up;
mod check_schedule;
mod connections;
mod customers;
mod endpoints;
mod estimate;
mod forecast;
mod gateway_limit;
mod health;
mod isolation;
mod limit_queue;
mod link_watch;
mod long_jobs;
mod minimum_shares;
mod operation_cost;
mod placement;
mod plan;
mod priority;
mod queue;
mod redispatch;
mod rejection_rate;
mod relay_candidates;
mod relayed_announcements;
mod replay;
mod request;
mod restart_ramp;
mod retry;
mod routing;
mod runs;
mod scarcity;
mod scheduler;
mod selection;
mod settings;
mod shares;
mod snapshot;
mod steps;
mod time;

pub use account_connections::AccountDemand;
pub use account_connections::HeldConnection;
pub use account_connections::PoolLimits;
pub use account_connections::PoolMissAction;
pub use account_connections::choose_pool_miss_action;
pub use account_connections::is_worth_keeping;
pub use account_connections::kept_limit;
pub use account_demand::EndpointDemand;
pub use account_ledger::LedgerRequest;
pub use account_ledger::LedgerTable;
pub use account_ledger::LimitTolerance;
pub use account_ledger::SHARE_LIFETIME;
pub use account_shares::LimitShares;
pub use account_shares::ShareStatus;
pub use account_shares::TakeDecision;
pub use announcement_batches::AnnouncementBatches;
pub use announcement_batches::AnnouncementTicket;
pub use announcement_batches::GATHER_TIME;
pub use announcement_batches::MAX_BATCHED_ANNOUNCEMENTS;
pub use announcement_batches::MAX_WAITING_ANNOUNCEMENTS;
pub use announcement_batches::WaitingAnnouncement;
pub use check_schedule::CheckSchedule;
pub use check_schedule::GroupCheck;
pub use check_schedule::next_lapse;
pub use connections::ConnectionAllowance;
pub use gateway_limit::GROUP_IN_FLIGHT_LIMIT;
pub use gateway_limit::InFlightLimiter;
pub use health::HealthLevel;
pub use isolation::IsolationWatch;
pub use isolation::RelayPauses;
pub use limit_queue::MAX_WAITING_OPERATIONS;
pub use limit_queue::WaitTicket;
pub use limit_queue::WaitersOutcome;
pub use link_watch::LINK_PROBE_AFTER;
pub use link_watch::LINK_PROBE_TIMEOUT;
pub use link_watch::LINK_SUSPECT_AFTER;
pub use link_watch::LinkFailureDetector;
pub use link_watch::LinkStep;
pub use ragwort_types::ClockTime;
pub use relay_candidates::MAX_FORWARDED;
pub use relay_candidates::MAX_RELAY_CANDIDATES;
pub use relay_candidates::MAX_RELAY_TRIES;
pub use relay_candidates::OwnLease;
pub use relay_candidates::RelayCandidates;
pub use relay_candidates::RelayChange;
pub use relay_candidates::RelayOutcome;
pub use relay_candidates::RelaySearch;
pub use relay_candidates::RelayStep;
pub use relay_candidates::WANTED_RELAYS;
pub use relayed_announcements::RelayedAnnouncements;
pub use replay::ConnectionImage;
pub use replay::ReplayStep;
pub use replay::ReplaySteps;
pub use request::*;
pub use scheduler::GroupScheduler;
pub use settings::*;
pub use snapshot::*;
