//! Simulator of load patterns in virtual time, for the tests and the `load_table` example.

mod draw;
mod faults;
mod outcome;
mod patterns;
mod plain;
mod runner;

pub use faults::FaultReports;
pub use outcome::LoadOutcome;
pub use outcome::SourceName;
pub use outcome::SourceOutcome;
pub use patterns::PatternName;
pub use patterns::UserSize;
pub use runner::PolicyChoice;
pub use runner::run_pattern;
