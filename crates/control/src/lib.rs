//! Placeholder of the crate's documentation.
