//! The daemon of ragwortgate: gateway, leaseholder and control roles in one process.
//!
//! A statement passes through these modules:
//!
//! 1. [`callers`] reads it from a caller's connection by PostgreSQL's protocol and passes it to
//!    [`service`], which enforces this gateway's own limits.
//! 2. [`gateway`] looks up the leaseholder of its database group in the catalog copy of [`member`]
//!    and forwards it over [`statements`], or over [`peers`] if the leaseholder has no address for
//!    statements. [`server`] answers such calls and passes them to [`leaseholders`].
//! 3. [`group`] is the leaseholder: it checks the contract and the request key, queues the
//!    statement, runs it on an endpoint [`connection`], waits for the majority and the journal, and
//!    returns the verdict.
//!
//! For databases that keep terms of their own, [`sessions`] and `native` take the place of
//! [`callers`] and [`group`], and [`edges`] supplies the wire formats.
//!
//! [`control`] runs the replicated log on the control VMs, which store it through [`disk`];
//! [`standby`] holds journals for leaseholders on other VMs. [`node`] starts all tasks and joins
//! them at shutdown.
//!
//! # Examples
//!
//! Everything starts from [`settings`], which report all faults of a file at once:
//!
//! ```
//! use ragwortgated::settings::DaemonSettings;
//!
//! let faults = DaemonSettings::from_yaml("vm: vm-1\nport: 5432").unwrap_err();
//! assert!(faults.iter().any(|fault| fault.to_string().contains("port: unknown setting")));
//! ```

pub mod agreement_messages;
pub mod announcements;
pub mod callers;
mod catalog_fetch;
pub mod clock;
pub mod connecting;
pub mod connection;
pub mod control;
pub mod descriptors;
pub mod directory;
pub mod disk;
pub mod dump;
pub mod edges;
mod endpoint_levels;
pub mod formation;
pub mod gateway;
pub mod group;
pub mod handover_plans;
mod heartbeat_calls;
pub mod leaseholders;
pub mod ledger_index;
pub mod limits;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod native;
pub mod node;
pub mod peers;
pub mod platform;
mod proposer;
pub mod readiness;
mod relay_gateways;
mod scarcity;
pub mod server;
pub mod service;
pub mod sessions;
pub mod settings;
mod settings_tree;
pub mod shortage;
pub mod sockets;
pub mod standby;
pub mod statements;
