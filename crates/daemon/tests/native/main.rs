//! Tests of the leaseholder task of a native group, whose databases number their replication terms
//! themselves, against scripted endpoints.

#[macro_use]
mod cases;
mod bench;
mod catalog;
mod codec;
mod connections;
mod contracts;
mod endpoint;
mod failover;
mod freshness;
mod idle;
mod idle_accounts;
mod lapses;
mod orders;
mod rejections;
mod scarcity;
mod synchronous;
mod takeover;
