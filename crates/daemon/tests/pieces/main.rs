//! Failure tests of the daemon's pieces, with small fakes at their interfaces.

#[macro_use]
mod cases;
mod bench;
mod connection;
mod control;
mod disk;
mod gateway;
mod leaseholder;
mod leases;
mod limits;
mod peer;
mod peers;
mod plans;
mod scripted;
mod shapes;
mod statements;
mod takeover;
