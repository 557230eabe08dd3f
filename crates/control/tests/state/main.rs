//! Failure tests and randomised tests of the catalog and of the state machines of a group.

#[macro_use]
mod common;

mod catalog;
mod changes;
mod charts;
mod convergence;
mod copies;
mod detector;
mod documents;
mod headless;
mod instances;
mod journal;
mod leases;
mod membership;
mod native_roles;
mod outstanding_orders;
mod pieces;
mod positions;
mod promotion;
mod proximity;
mod quorum;
mod replacement;
mod transfer;
mod voters;
