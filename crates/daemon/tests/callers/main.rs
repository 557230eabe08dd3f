//! The caller edge, seen by a PostgreSQL driver.

mod fake;
mod faults;
mod sessions;
mod verdicts;
