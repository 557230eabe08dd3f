//! Detection of endpoints that reject or fail a part of their statements, by comparison with their
//! peers.
//!
//! # Problem
//!
//! One endpoint of three rejects a third to a half of the statements that it gets, or fails a part
//! of its reads, while its health check is good. A rejection comes back at once. Its slots look
//! free, so the endpoint attracts more than its part of the work, and its answers are as fast as
//! those of its peers, so the comparison of run times doesn't notice anything.
//!
//! # Approach
//!
//! Each endpoint's shares of rejected statements and of failed reads are learned over the last
//! seconds, with weights that decay exponentially. Failures are counted only for reads that
//! replicas may serve: a write may fail because of what its caller sent, and only the primary gets
//! writes, so there is no peer to compare it with.
//!
//! The two shares together are compared with those of the best peer. In proportion to the
//! difference the endpoint loses slots for work that others could do, and each rejection occupies
//! one of the remaining slots for the time that the run would have taken, so that the endpoint gets
//! no more statements than one that runs them. The expected retries also count in the expected end
//! of a request there, so that an equally free peer is preferred. An endpoint is cut off while its
//! peers have room for its work. A cut-off endpoint gets single requests as trials.
//!
//! The best endpoint is the reference and never loses anything. Work that only the primary can
//! serve isn't affected by any of this.

use crate::ClockTime;
use crate::HealthLevel;
use crate::RequestTicket;
use smallvec::SmallVec;
use std::time::Duration;

/// The time constant with which observations lose weight.
///
/// At five trials a second the shares then rest on fifteen statements, and an endpoint that has
/// recovered gets regular work again after about four seconds.
const MEMORY: Duration = Duration::from_secs(3);

/// The weight of rejections or failures below which an endpoint's share counts as zero, so that a
/// single one changes nothing.
const MIN_EVIDENCE: f64 = 2.0;

/// The weight of assumed good answers, so that three rejections in a row don't count as a share of
/// one.
const PRIOR_ANSWERS: f64 = 2.0;

/// The weight of statements, or of reads, that an endpoint must have got to be the reference for
/// others.
const MIN_COMPARED: f64 = 10.0;

/// An endpoint whose share exceeds that of its best peer by this loses slots.
/// It gets them back at half of this difference.
const REDUCED_SHARE: f64 = 0.05;

/// An endpoint whose share exceeds that of its best peer by this is cut off if its peers have room
/// for its work.
const CUT_SHARE: f64 = 0.2;

/// A cut-off endpoint gets regular work again below this difference. It is half of [`CUT_SHARE`],
/// so that the noise of few trials doesn't bring the endpoint back and forth.
const RESTORED_SHARE: f64 = 0.1;

/// An endpoint whose share exceeds that of its best peer by this is cut off even if its peers have
/// no room, because it relieves them of next to nothing.
const USELESS_SHARE: f64 = 0.9;

/// The peers have room for an endpoint's work if they use at most this part of their slots with it.
const ROOM_TO_CUT: f64 = 0.75;

/// A cut-off endpoint gets regular work again when its peers use more than this part of their
/// slots.
const ROOM_TO_KEEP_CUT: f64 = 0.9;

/// The interval between two trials.
///
/// A trial of an endpoint that rejects costs its caller one round trip, so the interval doesn't
/// grow.
const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// The number of retries that an answer of an endpoint earns for the statements that it rejects.
///
/// Two cover a share of up to two thirds, and an endpoint never gets more than three statements for
/// each that it answers. One that answers nothing earns nothing.
const RETRIES_PER_ANSWER: u32 = 2;

/// The maximum number of saved retries of an endpoint.
const MAX_SAVED_RETRIES: u32 = 40;

/// The maximum number of expected retries that counts in an expected end.
const MAX_EXPECTED_RETRIES: f64 = 3.0;

/// The weighted sums of an endpoint's recent statements.
#[derive(Clone, Debug, Default)]
struct RecentSums {
    updated: Option<ClockTime>,
    /// The time over which the sums were collected, in seconds.
    span: f64,
    answered: f64,
    rejected: f64,
    reads: f64,
    failed_reads: f64,
    /// The slot time of statements that ran, in seconds.
    slot_time: f64,
}

impl RecentSums {
    /// Reduces all weights by the time that has passed.
    fn decay(&mut self, now: ClockTime) {
        let passed = now.since(self.updated.unwrap_or(now)).as_secs_f64();
        self.updated = Some(now);
        if passed <= 0.0 {
            return;
        }
        let memory = MEMORY.as_secs_f64();
        let kept = (-passed / memory).exp();
        self.span = self.span * kept + memory * (1.0 - kept);
        for sum in [
            &mut self.answered,
            &mut self.rejected,
            &mut self.reads,
            &mut self.failed_reads,
            &mut self.slot_time,
        ] {
            *sum *= kept;
        }
    }
}

/// How a statement ended, as far as it tells something about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementEnd {
    /// The endpoint answered.
    Answered,
    /// The endpoint rejected the statement, which did not run.
    Rejected,
    /// The statement ran and failed.
    Failed,
}

/// The work of an endpoint's peers, and the lowest share of bad statements among them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerState {
    /// The lowest share of rejected statements among the peers that got enough of them.
    pub(crate) best_rejected: Option<f64>,
    /// The lowest share of failed reads among the peers that got enough of them.
    pub(crate) best_failed: Option<f64>,
    /// The slots of the peers that serve the same requests.
    pub(crate) slots: f64,
    /// The mean number of those that are in use.
    pub(crate) used: f64,
}

/// The recent rejections and failures of one endpoint, and the level that follows from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointFaults {
    sums: RecentSums,
    /// The moving average of the time that a rejection takes.
    rejection_time: Duration,
    level: HealthLevel,
    /// The difference to the share of the best peer.
    excess: f64,
    next_trial: ClockTime,
    trial: Option<RequestTicket>,
    /// Until when rejected statements occupy a slot each.
    occupied: SmallVec<[ClockTime; 4]>,
    saved_retries: u32,
}

impl EndpointFaults {
    /// Returns the endpoint's level.
    pub(crate) fn level(&self) -> HealthLevel {
        self.level
    }

    /// Returns the share of statements that the endpoint rejects.
    pub(crate) fn rejected_share(&self) -> f64 {
        if self.sums.rejected < MIN_EVIDENCE {
            return 0.0;
        }
        let seen = self.sums.answered + self.sums.rejected + PRIOR_ANSWERS;
        self.sums.rejected / seen
    }

    /// Returns the share of reads that run at the endpoint and fail.
    pub(crate) fn failed_share(&self) -> f64 {
        if self.sums.failed_reads < MIN_EVIDENCE {
            return 0.0;
        }
        self.sums.failed_reads / (self.sums.reads + PRIOR_ANSWERS)
    }

    /// Returns the share of rejected statements, if the endpoint got enough for a comparison.
    pub(crate) fn compared_rejections(&self) -> Option<f64> {
        let seen = self.sums.answered + self.sums.rejected;
        (seen >= MIN_COMPARED).then(|| self.rejected_share())
    }

    /// Returns the share of failed reads, if the endpoint got enough for a comparison.
    pub(crate) fn compared_failures(&self) -> Option<f64> {
        (self.sums.reads >= MIN_COMPARED).then(|| self.failed_share())
    }

    /// Returns the mean number of slots that statements have used recently.
    pub(crate) fn used_slots(&self) -> f64 {
        if self.sums.span <= 0.0 {
            return 0.0;
        }
        self.sums.slot_time / self.sums.span
    }

    /// Returns whether nothing has to be judged.
    pub(crate) fn is_clean(&self) -> bool {
        self.level == HealthLevel::Full
            && self.sums.rejected < MIN_EVIDENCE
            && self.sums.failed_reads < MIN_EVIDENCE
    }

    /// Returns how many slots may be used for work that other endpoints could do.
    pub(crate) fn usable_slots(&self, slots: u32) -> u32 {
        match self.level {
            HealthLevel::Full => slots,
            HealthLevel::Half => {
                let kept = (f64::from(slots) * (1.0 - self.excess)).round();
                (kept as u32).clamp(1, slots.max(1))
            }
            HealthLevel::Cut => 0,
        }
    }

    /// Returns until when rejected statements occupy slots at `now`.
    pub(crate) fn occupied_after(&self, now: ClockTime) -> Vec<ClockTime> {
        let later = self.occupied.iter().filter(|until| **until > now);
        later.copied().collect()
    }

    /// Returns the time by which expected retries delay the end of a request that is sent here.
    pub(crate) fn retry_delay(&self, run: Duration, pause: Duration) -> Duration {
        let rejected = self.rejected_share();
        let failed = self.failed_share();
        if rejected <= 0.0 && failed <= 0.0 {
            return Duration::ZERO;
        }
        let rejections = (rejected / (1.0 - rejected).max(0.01)).min(MAX_EXPECTED_RETRIES);
        let failures = (failed / (1.0 - failed).max(0.01)).min(MAX_EXPECTED_RETRIES);
        (self.rejection_time + pause).mul_f64(rejections) + run.mul_f64(failures)
    }

    /// Returns whether a trial may start.
    pub(crate) fn trial_due(&self, now: ClockTime) -> bool {
        self.level == HealthLevel::Cut && self.trial.is_none() && now >= self.next_trial
    }

    /// Records that a request was sent as a trial.
    pub(crate) fn begin_trial(&mut self, now: ClockTime, ticket: RequestTicket) {
        self.trial = Some(ticket);
        self.next_trial = now + TRIAL_INTERVAL;
    }

    /// Returns whether a request is the trial that runs now.
    pub(crate) fn is_trial(&self, ticket: RequestTicket) -> bool {
        self.trial == Some(ticket)
    }

    /// Records that a request has ended in any way.
    pub(crate) fn end_trial(&mut self, ticket: RequestTicket) {
        if self.trial == Some(ticket) {
            self.trial = None;
        }
    }

    /// Records the end of a statement that held its slot for `run`.
    ///
    /// `read` tells whether replicas may serve it.
    pub(crate) fn observe(&mut self, now: ClockTime, end: StatementEnd, run: Duration, read: bool) {
        self.sums.decay(now);
        let sums = &mut self.sums;
        match end {
            StatementEnd::Rejected => {
                sums.rejected += 1.0;
                self.rejection_time = match self.rejection_time.is_zero() {
                    true => run,
                    false => (self.rejection_time * 7 + run) / 8,
                };
            }
            StatementEnd::Answered | StatementEnd::Failed => {
                sums.answered += 1.0;
                sums.slot_time += run.as_secs_f64();
                if read {
                    sums.reads += 1.0;
                    sums.failed_reads += f64::from(end == StatementEnd::Failed);
                }
                let saved = self.saved_retries + RETRIES_PER_ANSWER;
                self.saved_retries = saved.min(MAX_SAVED_RETRIES);
            }
        }
    }

    /// Records that a rejected statement occupies one of `slots` for the time of its run.
    pub(crate) fn occupy(&mut self, now: ClockTime, until: ClockTime, slots: u32) {
        self.occupied.retain(|end| *end > now);
        if self.occupied.len() < usize::try_from(slots).unwrap_or(usize::MAX) {
            self.occupied.push(until);
        }
    }

    /// Takes one of the retries that the endpoint's answers have earned; returns false if there is
    /// none.
    pub(crate) fn spend_retry(&mut self) -> bool {
        let some = self.saved_retries > 0;
        self.saved_retries = self.saved_retries.saturating_sub(1);
        some
    }

    /// Adjusts the level by comparison with the peers; `None` if no peer serves the same requests.
    pub(crate) fn judge(&mut self, now: ClockTime, peers: Option<PeerState>) {
        self.sums.decay(now);
        let Some(peers) = peers else {
            self.level = HealthLevel::Full;
            return;
        };
        let rejected = excess_share(self.rejected_share(), peers.best_rejected);
        let failed = excess_share(self.failed_share(), peers.best_failed);
        self.excess = 1.0 - (1.0 - rejected) * (1.0 - failed);
        // A peer that gets nothing may be no better. It gets more while this endpoint is reduced.
        let compared = (rejected <= 0.0 || peers.best_rejected.is_some())
            && (failed <= 0.0 || peers.best_failed.is_some());
        self.level = if compared && self.is_cut_off(peers) {
            HealthLevel::Cut
        } else if self.excess >= self.reduced_from() {
            HealthLevel::Half
        } else {
            HealthLevel::Full
        };
    }

    /// Returns the difference from which the endpoint is reduced.
    fn reduced_from(&self) -> f64 {
        match self.level {
            HealthLevel::Full => REDUCED_SHARE,
            HealthLevel::Half | HealthLevel::Cut => REDUCED_SHARE / 2.0,
        }
    }

    fn is_cut_off(&self, peers: PeerState) -> bool {
        if self.excess >= USELESS_SHARE {
            return true;
        }
        match self.level {
            HealthLevel::Cut => {
                self.excess >= RESTORED_SHARE && peers.used <= peers.slots * ROOM_TO_KEEP_CUT
            }
            HealthLevel::Full | HealthLevel::Half => {
                let with_own = peers.used + self.used_slots();
                self.excess >= CUT_SHARE && with_own <= peers.slots * ROOM_TO_CUT
            }
        }
    }
}

/// Returns the part of the statements that end well at the best peer and don't at this endpoint.
fn excess_share(own: f64, best: Option<f64>) -> f64 {
    let best = best.unwrap_or(0.0);
    ((own - best) / (1.0 - best).max(0.01)).max(0.0)
}
