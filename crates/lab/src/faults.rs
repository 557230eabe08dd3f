//! Faults that a test or an operator of the lab asks an endpoint for.

use serde::Deserialize;
use serde::Serialize;

/// A fault to begin or end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultRequest {
    /// Both ports stop answering, or answer again.
    Freeze(bool),
    /// Service times are multiplied by this; 1 is the normal speed.
    Slow(u32),
    /// Data connections that are open now never answer again; new ones work.
    SilenceConnections,
    /// The replica stops pulling from its primary, or pulls again.
    CutReplication(bool),
    /// The endpoint makes no calls: it neither announces itself nor pulls. With relays in front of
    /// its ports it is cut off from everybody while it goes on by itself.
    Isolate(bool),
    /// At its next promotion the instance drops so many of its last entries.
    LoseTail(u64),
    /// The instance announces that it is leaving, or that it stays.
    Leaving(bool),
    /// The replica applies entries so many milliseconds after they were written.
    Lag(u64),
}

/// The faults in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultState {
    /// Whether both ports are silent.
    pub frozen: bool,
    /// The factor on service times.
    pub slow_factor: u32,
    /// Raised each time the open connections are silenced.
    pub silence_count: u64,
    /// Whether the replica doesn't pull.
    pub replication_cut: bool,
    /// Whether the endpoint makes no calls.
    pub isolated: bool,
    /// How many entries the next promotion drops.
    pub lose_tail: u64,
    /// The replica's lag, in milliseconds.
    pub lag_ms: u64,
}

impl FaultState {
    /// Creates the state without faults.
    pub fn new(lag_ms: u64) -> Self {
        Self {
            frozen: false,
            slow_factor: 1,
            silence_count: 0,
            replication_cut: false,
            isolated: false,
            lose_tail: 0,
            lag_ms,
        }
    }

    /// Applies a request; [`FaultRequest::Leaving`] belongs to the instance and changes nothing
    /// here.
    pub fn apply(&mut self, request: FaultRequest) {
        match request {
            FaultRequest::Freeze(frozen) => self.frozen = frozen,
            FaultRequest::Slow(factor) => self.slow_factor = factor.max(1),
            FaultRequest::SilenceConnections => self.silence_count += 1,
            FaultRequest::CutReplication(cut) => self.replication_cut = cut,
            FaultRequest::Isolate(isolated) => self.isolated = isolated,
            FaultRequest::LoseTail(entries) => self.lose_tail = entries,
            FaultRequest::Leaving(_) => {}
            FaultRequest::Lag(millis) => self.lag_ms = millis,
        }
    }
}
