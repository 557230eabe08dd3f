//! The daemon of ragwortgate.

pub mod callers;
pub mod clock;
pub mod connection;
pub mod control;
pub mod disk;
pub mod dump;
pub mod gateway;
pub mod group;
pub mod leaseholders;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod platform;
pub mod readiness;
pub mod server;
pub mod service;
pub mod settings;
mod settings_tree;
pub mod sockets;
pub mod standby;
