//! The daemon of ragwortgate.

pub mod connection;
pub mod disk;
pub mod peers;
