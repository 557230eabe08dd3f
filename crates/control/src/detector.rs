//! When a primary is taken for dead.
//!
//! Load: a primary's machine is lost, its process dies or hangs, or a cut lies between it and its
//! leaseholder. Suspecting it late prolongs the time in which no write lands; suspecting a slow one
//! costs every caller a pause and makes the load worse. So three things are told apart, each with a
//! patience of its own:
//!
//! - Nothing listens any more: a new connection is refused. Twice, one probe apart, is enough
//!   ([`REFUSALS_NEEDED`]): an operating system that refuses is alive and sure of it.
//! - Nothing answers at all: a new connection isn't even accepted for [`DEAD_SILENCE`]. On networks
//!   with 3 ms and less one way, 450 ms leave room for a lost packet and its first retransmission,
//!   which comes after 200 ms.
//! - Connections are accepted, but no request is answered for [`HUNG_SILENCE`]. A process that is
//!   slow answers a status request, which waits behind no statement, well within 700 ms; a hung one
//!   never does. A wrong suspicion costs one promotion, some 50 ms; each longer wait is paid at every
//!   hang.
//!
//! Whatever is seen, no primary is suspected that answers a new connection (then the open ones are
//! dead, see [`PrimaryVerdict::OpenConnectionsDead`]), or that a standby can reach (then this VM is
//! cut off, and the group is better led from there). A process that was itself suspended starts its
//! patience anew, since it can't tell what it missed.
//!
//! With a term committed, a majority fenced and a promotion answered in about 50 ms together, the
//! time without a primary is about 0.3 s after a crash, 0.7 s after the loss of a machine and 1.0 s
//! after a hang. These are sums of the constants, not measurements.

use crate::ClockTime;
use ragwort_types::VmName;
use smallvec::SmallVec;
use std::fmt;
use std::time::Duration;

/// The time between probes on the open connection.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which an unanswered probe makes a new connection be tried and standbys be asked.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// How often in a row a new connection has to be refused.
pub const REFUSALS_NEEDED: u32 = 2;

/// How long a primary that accepts no connection has to be silent.
pub const DEAD_SILENCE: Duration = Duration::from_millis(450);

/// How long a primary that accepts connections has to be silent.
pub const HUNG_SILENCE: Duration = Duration::from_millis(700);

/// How long a standby's view is waited for.
pub const STANDBY_PATIENCE: Duration = Duration::from_millis(200);

/// The time between two ticks that tells that this process was itself suspended.
pub const STALL_LIMIT: Duration = Duration::from_millis(250);

/// Which connection a probe went through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeView {
    /// The connection that was open already.
    OpenConnection,
    /// A connection that was opened for the probe.
    NewConnection,
}

/// What became of a probe so far; a late answer is reported whenever it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The primary's agent answered.
    Answered,
    /// The connection was accepted; the answer is still awaited.
    Accepted,
    /// The connection was refused or reset.
    Refused,
    /// Nothing came back in time.
    Silent,
    /// The watching VM had no descriptor, memory or port for a connection.
    Untried,
}

/// A probe that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectorAction {
    /// Ask over the open connection.
    ProbeOpen,
    /// Open a connection and ask over it.
    ProbeNew,
    /// Ask the standbys whether they reach the primary.
    AskStandbys,
}

/// What is known of the primary now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrimaryVerdict {
    /// It answers.
    Alive,
    /// It answers on new connections only: every open one to it has to be replaced.
    OpenConnectionsDead,
    /// It has been silent, but not for long enough, or not in every view.
    Doubtful,
    /// It is silent here, but this standby reaches it: hand the group over.
    ReachableFrom(VmName),
    /// It is taken for dead.
    Suspected(SuspicionGrounds),
}

/// Why a primary is taken for dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspicionGrounds {
    /// The time since its last answer in any view.
    pub silent_for: Duration,
    /// How the last new connection ended.
    pub new_connection: ProbeOutcome,
    /// The standbys that don't reach it either.
    pub agreeing: SmallVec<[VmName; 2]>,
    /// The standbys that didn't say.
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
    /// What the standby said since the doubt began.
    reachable: Option<bool>,
}

/// Watches one primary, from its leaseholder or from a standby.
#[derive(Clone, Debug)]
pub struct PrimaryDetector {
    last_tick: ClockTime,
    last_probe: ClockTime,
    open_answered: ClockTime,
    new_answered: Option<ClockTime>,
    /// When the first new connection of the present doubt was tried.
    doubt: Option<DoubtRecord>,
    standbys: SmallVec<[StandbyView; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct DoubtRecord {
    /// When the doubt began and new connections were tried first.
    since: ClockTime,
    refusals: u32,
    last: ProbeOutcome,
    accepted: bool,
}

impl PrimaryDetector {
    /// Begins to watch a primary. `others` are the VMs whose views are asked for: the standbys, or
    /// for a standby the leaseholder and the other standby.
    pub fn new(now: ClockTime, others: &[VmName]) -> Self {
        let view = |vm: &VmName| StandbyView {
            vm: vm.clone(),
            reachable: None,
        };
        Self {
            last_tick: now,
            last_probe: now,
            open_answered: now,
            new_answered: None,
            doubt: None,
            standbys: others.iter().map(view).collect(),
        }
    }

    /// Returns the probes that are due; called at least every [`PROBE_INTERVAL`].
    pub fn tick(&mut self, now: ClockTime) -> SmallVec<[DetectorAction; 3]> {
        if now.since(self.last_tick) > STALL_LIMIT {
            self.restart(now);
        }
        self.last_tick = now;
        let mut actions = SmallVec::new();
        if now.since(self.last_probe) < PROBE_INTERVAL {
            return actions;
        }
        self.last_probe = now;
        actions.push(DetectorAction::ProbeOpen);
        if now.since(self.open_answered) < PROBE_TIMEOUT {
            return actions;
        }
        self.begin_doubt(now);
        actions.push(DetectorAction::ProbeNew);
        actions.push(DetectorAction::AskStandbys);
        actions
    }

    /// Takes what became of a probe.
    pub fn note_probe(&mut self, now: ClockTime, view: ProbeView, outcome: ProbeOutcome) {
        match (view, outcome) {
            (ProbeView::OpenConnection, ProbeOutcome::Answered) => {
                self.open_answered = now;
                self.end_doubt();
            }
            // A reset tells at once what silence tells after a time-out.
            (ProbeView::OpenConnection, ProbeOutcome::Refused) => self.begin_doubt(now),
            (ProbeView::OpenConnection, _) => {}
            (ProbeView::NewConnection, ProbeOutcome::Answered) => {
                self.new_answered = Some(now);
                self.end_doubt();
            }
            (ProbeView::NewConnection, ProbeOutcome::Untried) => self.note_untried(),
            (ProbeView::NewConnection, outcome) => self.note_failure(now, outcome),
        }
    }

    /// Takes a standby's answer to whether it reaches the primary, asked for at `asked`.
    pub fn note_standby(&mut self, asked: ClockTime, vm: &VmName, reachable: bool) {
        // What a standby saw before the primary fell silent here says nothing of it now.
        if self.doubt.is_none_or(|doubt| asked < doubt.since) {
            return;
        }
        if let Some(view) = self.standbys.iter_mut().find(|view| view.vm == *vm) {
            view.reachable = Some(reachable);
        }
    }

    /// Returns what is known of the primary.
    pub fn verdict(&self, now: ClockTime) -> PrimaryVerdict {
        let Some(doubt) = self.doubt else {
            return self.verdict_without_doubt(now);
        };
        let reached = |view: &&StandbyView| view.reachable == Some(true);
        if !self.is_silent_here(now, &doubt) {
            return PrimaryVerdict::Doubtful;
        }
        if let Some(view) = self.standbys.iter().find(reached) {
            return PrimaryVerdict::ReachableFrom(view.vm.clone());
        }
        let unheard = self.names(|view| view.reachable.is_none());
        if !unheard.is_empty() && now.since(doubt.since) < STANDBY_PATIENCE {
            return PrimaryVerdict::Doubtful;
        }
        PrimaryVerdict::Suspected(SuspicionGrounds {
            silent_for: now.since(self.last_answer()),
            new_connection: doubt.last,
            agreeing: self.names(|view| view.reachable == Some(false)),
            unheard,
        })
    }

    fn verdict_without_doubt(&self, now: ClockTime) -> PrimaryVerdict {
        let open_silent = now.since(self.open_answered) >= PROBE_TIMEOUT;
        match self.new_answered {
            Some(answered) if open_silent && answered > self.open_answered => {
                PrimaryVerdict::OpenConnectionsDead
            }
            _ => PrimaryVerdict::Alive,
        }
    }

    /// Says whether the primary has been silent for as long as its kind of silence needs.
    fn is_silent_here(&self, now: ClockTime, doubt: &DoubtRecord) -> bool {
        let silent_for = now.since(self.last_answer());
        if doubt.accepted {
            return silent_for >= HUNG_SILENCE;
        }
        let refused = doubt.refusals >= REFUSALS_NEEDED;
        let tried = !matches!(doubt.last, ProbeOutcome::Answered | ProbeOutcome::Untried);
        refused || (tried && silent_for >= DEAD_SILENCE)
    }

    fn last_answer(&self) -> ClockTime {
        self.open_answered
            .max(self.new_answered.unwrap_or_default())
    }

    fn names(&self, wanted: impl Fn(&StandbyView) -> bool) -> SmallVec<[VmName; 2]> {
        let views = self.standbys.iter().filter(|view| wanted(view));
        views.map(|view| view.vm.clone()).collect()
    }

    fn begin_doubt(&mut self, now: ClockTime) {
        if self.doubt.is_some() {
            return;
        }
        self.doubt = Some(DoubtRecord {
            since: now,
            refusals: 0,
            last: ProbeOutcome::Silent,
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
            doubt.last = ProbeOutcome::Untried;
        }
    }

    fn note_failure(&mut self, now: ClockTime, outcome: ProbeOutcome) {
        self.begin_doubt(now);
        let Some(doubt) = &mut self.doubt else {
            return;
        };
        doubt.last = outcome;
        match outcome {
            ProbeOutcome::Refused => doubt.refusals += 1,
            ProbeOutcome::Accepted => doubt.accepted = true,
            ProbeOutcome::Silent | ProbeOutcome::Answered | ProbeOutcome::Untried => {}
        }
        // A process that accepted and then went away refuses; its death needs no more patience.
        if doubt.refusals >= REFUSALS_NEEDED {
            doubt.accepted = false;
        }
    }

    fn restart(&mut self, now: ClockTime) {
        self.open_answered = now;
        self.doubt = None;
    }
}
