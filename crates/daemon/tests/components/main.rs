//! Failure tests of the daemon's components, each run against test doubles of its peers.

#[macro_use]
mod cases;

mod admission;
mod agreement_messages;
mod announcements;
mod bench;
mod compaction;
mod connection;
mod control;
mod disk;
mod gateway;
mod late_heartbeats;
mod leaseholder;
mod leases;
mod ledger_index;
mod limit_rounds;
mod limit_waits;
mod limits;
mod peer;
mod peers;
mod plans;
mod renewals;
mod running_member;
mod scripted;
mod shapes;
mod statements;
mod takeover;
