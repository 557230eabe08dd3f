//! The daemon of ragwortgate.

pub mod connection;
pub mod disk;
pub mod peers;
pub mod settings;
mod settings_tree;
