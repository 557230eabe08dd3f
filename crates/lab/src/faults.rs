//! Fault injection: the faults that can be requested from a running endpoint.

use serde::Deserialize;
use serde::Serialize;

/// A request to begin or end a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultRequest {
    /// Stops both ports from answering (`true`) or lets them answer again. The calls that set
    /// faults and read the log are still answered.
    Freeze(bool),
    /// Multiplies service times by this factor; 1 is the normal speed.
    Slow(u32),
    /// Silences the data connections that are open now for good; new ones work.
    SilenceConnections,
    /// Stops a replica from fetching log entries (`true`) or lets it fetch again.
    CutReplication(bool),
    /// Stops the endpoint's own calls, which are announcements and replication (`true`), or allows
    /// them again. With relays in front of its ports set to hang, this is a network partition in
    /// which the endpoint keeps running.
    Isolate(bool),
    /// Makes the instance drop this many of its last log entries at each promotion.
    LoseTail(u64),
    /// Announces that the instance is about to shut down (`true`) or that it stays.
    Leaving(bool),
    /// Sets the replication lag: the replica applies entries this many milliseconds after they were
    /// written.
    Lag(u64),
}

/// The active faults of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultState {
    /// Whether both ports don't answer.
    pub frozen: bool,
    /// The factor by which service times are multiplied.
    pub slow_factor: u32,
    /// The number of times that open connections were silenced. A connection is silenced if it was
    /// opened at a lower count.
    pub silence_count: u64,
    /// Whether the replica fetches no log entries.
    pub replication_cut: bool,
    /// Whether the endpoint makes no calls.
    pub isolated: bool,
    /// The number of log entries that a promotion drops.
    pub lose_tail: u64,
    /// The replication lag, in milliseconds.
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

    /// Applies a request. [`FaultRequest::Leaving`] changes nothing here, as it is part of the
    /// instance's status.
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
