//! Failure detector for a group's primary.
//!
//! A primary can fail in three ways: its machine is lost, its process dies or hangs, or a network
//! partition separates it from its leaseholder. A late suspicion prolongs the time without writes;
//! a suspicion of a primary that is merely slow pauses every caller and adds load. The detector
//! therefore distinguishes three symptoms, each with a threshold of its own:
//!
//! - A new connection is refused: no process listens. [`MIN_REFUSALS`] refusals, one probe apart,
//!   suffice, because an operating system that refuses a connection is running and knows that
//!   nothing listens.
//! - A new connection isn't accepted for [`UNREACHABLE_TIMEOUT`]. With a one-way latency of at most
//!   3 ms, 450 ms leave room for a lost packet and its first retransmission, which follows after
//!   200 ms.
//! - Connections are accepted, but no request is answered for [`UNRESPONSIVE_TIMEOUT`]. A slow
//!   process answers a status request, which doesn't queue behind statements, well within 700 ms; a
//!   hung process never does. A false suspicion costs one promotion (about 50 ms); a longer timeout
//!   is paid at every hang.
//!
//! A primary is never suspected while it answers a new connection (the open connections are dead,
//! see [`PrimaryVerdict::OpenConnectionsDead`]) or while a standby can reach it (this VM is
//! partitioned, and the standby should lead the group). If this process was suspended, the timeouts
//! start again, because answers may have been missed.
//!
//! Committing a term, fencing a majority and promoting an instance take about 50 ms together. By
//! these constants, a group is without a primary for about 0.3 s after a crash, 0.7 s after the
//! loss of a machine and 1.0 s after a hang. These are sums of the constants, not measurements.

use crate::ClockTime;
use ragwort_types::VmName;
use smallvec::SmallVec;
use std::fmt;
use std::time::Duration;

/// Interval between probes on the open connection.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which a new connection is tried and the standbys are asked.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Consecutive refused connections after which a primary is suspected.
pub const MIN_REFUSALS: u32 = 2;

/// Silence after which a primary that accepts no connection is suspected.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(450);

/// Silence after which a primary that accepts connections but answers no request is suspected.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum wait for the standbys' answers.
pub const STANDBY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum gap between two ticks; a longer one means that this process was itself suspended.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(250);

/// The connection that a probe used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeView {
    /// The connection that was already open.
    OpenConnection,
    /// A connection that was opened for the probe.
    NewConnection,
}

/// The result of a probe so far; a late answer is reported whenever it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The primary's agent answered.
    Answered,
    /// The connection was accepted, but no answer has arrived yet.
    Accepted,
    /// The connection was refused or reset.
    Refused,
    /// No response arrived in time.
    Silent,
    /// This VM had no descriptor, memory or port to open a connection.
    Untried,
}

/// An action that the caller must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectorAction {
    /// Send a probe over the open connection.
    ProbeOpen,
    /// Open a connection and send a probe over it.
    ProbeNew,
    /// Ask the standbys whether they reach the primary.
    AskStandbys,
}

/// The detector's assessment of the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrimaryVerdict {
    /// The primary answers.
    Alive,
    /// The primary answers on new connections only: all open connections to it must be replaced.
    OpenConnectionsDead,
    /// The primary is silent, but not yet for long enough or not confirmed by the standbys.
    Doubtful,
    /// The primary is silent here but reachable from this standby, to which the group should be
    /// handed over.
    ReachableFrom(VmName),
    /// The primary is considered dead.
    Suspected(SuspicionGrounds),
}

/// The evidence for a suspicion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionGrounds {
    /// The time since the last answer on any connection.
    pub silent_for: Duration,
    /// The result of the latest probe over a new connection.
    pub new_connection: ProbeOutcome,
    /// The standbys that can't reach the primary either.
    pub agreeing: SmallVec<[VmName; 2]>,
    /// The standbys that haven't answered.
    pub unheard: SmallVec<[VmName; 2]>,
}

impl fmt::Display for SuspicionGrounds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "silent_ms={} new_connection={:?} agreeing={} unheard={}",
            self.silent_for.as_millis(),
            self.new_connection,
            self.agreeing.len(),
            self.unheard.len()
        )
    }
}

#[derive(Clone, Debug)]
struct StandbyView {
    vm: VmName,
    /// The standby's answer since the primary became doubtful; `None` if there is none yet.
    reachable: Option<bool>,
}

/// Failure detector for one primary, run by its leaseholder or by a standby.
#[derive(Clone, Debug)]
pub struct PrimaryDetector {
    last_tick: ClockTime,
    last_probe: ClockTime,
    open_answered_at: ClockTime,
    new_answered_at: Option<ClockTime>,
    /// Present while the primary is doubtful.
    doubt: Option<DoubtState>,
    standbys: SmallVec<[StandbyView; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct DoubtState {
    /// When the primary became doubtful and the first new connection was tried.
    since: ClockTime,
    refusals: u32,
    last_outcome: ProbeOutcome,
    accepted: bool,
}

impl PrimaryDetector {
    /// Creates a detector for a primary.
    ///
    /// `others` are the VMs that are asked whether they reach the primary: for a leaseholder its
    /// standbys, for a standby the leaseholder and the other standby.
    pub fn new(now: ClockTime, others: &[VmName]) -> Self {
        let view = |vm: &VmName| StandbyView {
            vm: vm.clone(),
            reachable: None,
        };
        Self {
            last_tick: now,
            last_probe: now,
            open_answered_at: now,
            new_answered_at: None,
            doubt: None,
            standbys: others.iter().map(view).collect(),
        }
    }

    /// Returns the actions that are due. The caller must call this at least every
    /// [`PROBE_INTERVAL`].
    pub fn tick(&mut self, now: ClockTime) -> SmallVec<[DetectorAction; 3]> {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            self.restart(now);
        }
        self.last_tick = now;
        let mut actions = SmallVec::new();
        if now.since(self.last_probe) < PROBE_INTERVAL {
            return actions;
        }
        self.last_probe = now;
        actions.push(DetectorAction::ProbeOpen);
        if now.since(self.open_answered_at) < PROBE_TIMEOUT {
            return actions;
        }
        self.begin_doubt(now);
        actions.push(DetectorAction::ProbeNew);
        actions.push(DetectorAction::AskStandbys);
        actions
    }

    /// Returns when the next probe is due. Returns `None` unless the primary answers on the open
    /// connection: the verdict may then change earlier.
    pub fn next_probe(&self) -> Option<ClockTime> {
        let open_is_last = self
            .new_answered_at
            .is_none_or(|answered| answered <= self.open_answered_at);
        let alive = self.doubt.is_none() && open_is_last;
        alive.then(|| self.last_probe + PROBE_INTERVAL)
    }

    /// Records the result of a probe.
    pub fn note_probe(&mut self, now: ClockTime, view: ProbeView, outcome: ProbeOutcome) {
        match (view, outcome) {
            (ProbeView::OpenConnection, ProbeOutcome::Answered) => {
                self.open_answered_at = now;
                self.end_doubt();
            }
            // A reset connection is as conclusive as a timed-out probe.
            (ProbeView::OpenConnection, ProbeOutcome::Refused) => self.begin_doubt(now),
            (ProbeView::OpenConnection, _) => {}
            (ProbeView::NewConnection, ProbeOutcome::Answered) => {
                self.new_answered_at = Some(now);
                self.end_doubt();
            }
            (ProbeView::NewConnection, ProbeOutcome::Untried) => self.note_untried(),
            (ProbeView::NewConnection, outcome) => self.note_failure(now, outcome),
        }
    }

    /// Records a standby's answer to the request, sent at `asked`, whether it reaches the primary.
    pub fn note_standby(&mut self, asked: ClockTime, vm: &VmName, reachable: bool) {
        // An answer from before the primary became doubtful here is obsolete.
        if self.doubt.is_none_or(|doubt| asked < doubt.since) {
            return;
        }
        if let Some(view) = self.standbys.iter_mut().find(|view| view.vm == *vm) {
            view.reachable = Some(reachable);
        }
    }

    /// Returns the present assessment of the primary.
    pub fn verdict(&self, now: ClockTime) -> PrimaryVerdict {
        let Some(doubt) = self.doubt else {
            return self.verdict_without_doubt(now);
        };
        let reached = |view: &&StandbyView| view.reachable == Some(true);
        if !self.is_silent_long_enough(now, &doubt) {
            return PrimaryVerdict::Doubtful;
        }
        if let Some(view) = self.standbys.iter().find(reached) {
            return PrimaryVerdict::ReachableFrom(view.vm.clone());
        }
        let unheard = self.names(|view| view.reachable.is_none());
        if !unheard.is_empty() && now.since(doubt.since) < STANDBY_TIMEOUT {
            return PrimaryVerdict::Doubtful;
        }
        PrimaryVerdict::Suspected(SuspicionGrounds {
            silent_for: now.since(self.last_answer()),
            new_connection: doubt.last_outcome,
            agreeing: self.names(|view| view.reachable == Some(false)),
            unheard,
        })
    }

    fn verdict_without_doubt(&self, now: ClockTime) -> PrimaryVerdict {
        let open_silent = now.since(self.open_answered_at) >= PROBE_TIMEOUT;
        match self.new_answered_at {
            Some(answered) if open_silent && answered > self.open_answered_at => {
                PrimaryVerdict::OpenConnectionsDead
            }
            _ => PrimaryVerdict::Alive,
        }
    }

    /// Returns whether the primary has been silent for the time that its kind of failure requires.
    fn is_silent_long_enough(&self, now: ClockTime, doubt: &DoubtState) -> bool {
        let silent_for = now.since(self.last_answer());
        if doubt.accepted {
            return silent_for >= UNRESPONSIVE_TIMEOUT;
        }
        let refused = doubt.refusals >= MIN_REFUSALS;
        let tried = !matches!(
            doubt.last_outcome,
            ProbeOutcome::Answered | ProbeOutcome::Untried
        );
        refused || (tried && silent_for >= UNREACHABLE_TIMEOUT)
    }

    fn last_answer(&self) -> ClockTime {
        self.open_answered_at
            .max(self.new_answered_at.unwrap_or_default())
    }

    fn names(&self, wanted: impl Fn(&StandbyView) -> bool) -> SmallVec<[VmName; 2]> {
        let views = self.standbys.iter().filter(|view| wanted(view));
        views.map(|view| view.vm.clone()).collect()
    }

    fn begin_doubt(&mut self, now: ClockTime) {
        if self.doubt.is_some() {
            return;
        }
        self.doubt = Some(DoubtState {
            since: now,
            refusals: 0,
            last_outcome: ProbeOutcome::Silent,
            accepted: false,
        });
        for view in &mut self.standbys {
            view.reachable = None;
        }
    }

    fn end_doubt(&mut self) {
        self.doubt = None;
    }

    fn note_untried(&mut self) {
        if let Some(doubt) = &mut self.doubt {
            doubt.last_outcome = ProbeOutcome::Untried;
        }
    }

    fn note_failure(&mut self, now: ClockTime, outcome: ProbeOutcome) {
        self.begin_doubt(now);
        let Some(doubt) = &mut self.doubt else {
            return;
        };
        doubt.last_outcome = outcome;
        match outcome {
            ProbeOutcome::Refused => doubt.refusals += 1,
            ProbeOutcome::Accepted => doubt.accepted = true,
            ProbeOutcome::Silent | ProbeOutcome::Answered | ProbeOutcome::Untried => {}
        }
        // The process accepted a connection and has since ended, so the longer timeout of a hung
        // process doesn't apply.
        if doubt.refusals >= MIN_REFUSALS {
            doubt.accepted = false;
        }
    }

    fn restart(&mut self, now: ClockTime) {
        self.open_answered_at = now;
        self.doubt = None;
    }
}
