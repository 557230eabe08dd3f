//! The daemon of ragwortgate.

pub mod settings;
mod settings_tree;
