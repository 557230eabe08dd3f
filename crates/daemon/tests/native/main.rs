//! The leaseholder of a group whose databases keep terms of their own, against scripted endpoints.

#[macro_use]
mod cases;
mod bench;
mod codec;
mod connections;
mod endpoint;
mod failover;
mod freshness;
mod lapses;
mod takeover;
