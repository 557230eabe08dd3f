//! Data types that ragwortgate's processes share: names, log positions, request outcomes,
//! contracts, the catalog's records and the messages between VMs.
//!
//! The crate does no I/O. A caller's request becomes a [`StatementRequest`], its outcome a
//! [`RequestVerdict`], and an operator's change a [`ContractChange`].
//!
//! # Examples
//!
//! A position of a later term covers every acknowledged position of an earlier one:
//!
//! ```
//! use ragwort_types::GroupTerm;
//! use ragwort_types::LogPosition;
//!
//! let written = LogPosition::new(GroupTerm(3), 40);
//! let promoted = LogPosition::new(GroupTerm(4), 41);
//! assert!(promoted.covers(written));
//! assert!(!written.covers(promoted));
//! ```
//!
//! A refusal carries the time after which the caller may retry:
//!
//! ```
//! use ragwort_types::RefusalCause;
//! use ragwort_types::RequestVerdict;
//!
//! let verdict = RequestVerdict::refused(RefusalCause::Overload, 40);
//! assert!(matches!(verdict, RequestVerdict::NotRun(refusal) if refusal.come_back_after_ms == 40));
//! assert_eq!(RefusalCause::NoPrimary.to_string(), "no primary");
//! ```

mod account;
mod build_info;
mod catalog;
mod clock;
mod contract;
mod document;
mod messages;
mod names;
mod position;
mod session;
mod shape;
mod transfer;
mod verdict;

pub use account::*;
pub use build_info::BuildInfo;
pub use catalog::*;
pub use clock::ClockTime;
pub use contract::*;
pub use document::*;
pub use messages::*;
pub use names::*;
pub use position::*;
pub use session::*;
pub use shape::*;
pub use transfer::*;
pub use verdict::*;
