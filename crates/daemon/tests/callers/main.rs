//! Tests of the caller edge through a PostgreSQL driver and raw connections.

mod fake;
mod faults;
mod sessions;
mod verdicts;
