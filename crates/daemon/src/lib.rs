//! The daemon of ragwortgate.

pub mod callers;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod settings;
mod settings_tree;
pub mod sockets;
