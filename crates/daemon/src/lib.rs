//! The daemon of ragwortgate: gateway, leaseholder and control roles in one process.
//!
//! A statement's way through the modules:
//!
//! 1. [`callers`] takes it from a caller by PostgreSQL's protocol and hands it to [`service`], which
//!    checks the gateway's own limits.
//! 2. [`gateway`] finds the leaseholder of its database group in what [`member`] knows, and brings it
//!    there over [`statements`], or over [`peers`] where those aren't set up. [`server`] answers such calls and passes them to [`leaseholders`].
//! 3. [`group`] is the leaseholder: contract, request key, queue, endpoint [`connection`], majority,
//!    journal, and the verdict back.
//!
//! Where databases keep terms of their own, [`sessions`] and `native` stand in for [`callers`] and
//! [`group`], and the bytes are a matter of the [`edges`].
//!
//! [`control`] drives the agreed log on the VMs that have a [`disk`]; [`standby`] holds journals for
//! other leaseholders. [`node`] starts all tasks and joins them at the end.
//!
//! # Examples
//!
//! Everything starts from [`settings`], which name every fault at once:
//!
//! ```
//! use ragwortgated::settings::DaemonSettings;
//!
//! let faults = DaemonSettings::from_yaml("vm: vm-1\nport: 5432").unwrap_err();
//! assert!(faults.iter().any(|fault| fault.to_string().contains("port: unknown setting")));
//! ```

pub mod callers;
mod catalog_fetch;
pub mod clock;
pub mod connecting;
pub mod connection;
pub mod control;
pub mod descriptors;
mod detours;
pub mod directory;
pub mod disk;
pub mod dump;
pub mod edges;
pub mod formation;
pub mod gateway;
pub mod group;
pub mod handover_plans;
pub mod leaseholders;
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
pub mod server;
pub mod service;
pub mod sessions;
pub mod settings;
mod settings_tree;
pub mod shortage;
pub mod sockets;
pub mod standby;
pub mod statements;
