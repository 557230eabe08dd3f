//! Tests of the positions that reads must cover and of the estimated positions of replicas.

use ragwort_control::ClockTime;
use ragwort_control::PositionFate;
use ragwort_control::PositionHistory;
use ragwort_control::ReplicaEstimate;
use ragwort_types::GroupTerm;
use ragwort_types::LogPosition;
use std::time::Duration;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(term: u64, index: u64) -> LogPosition {
    LogPosition::new(GroupTerm(term), index)
}

/// Returns a history with one commit every 10 ms from 1,010 ms on, the first at index 101.
fn steady_history(commits: u64) -> PositionHistory {
    let mut history = PositionHistory::default();
    history.begin(GroupTerm(1), position(1, 100));
    for number in 1..=commits {
        history.note(at(1_000 + number * 10), position(1, 100 + number));
    }
    history
}

case! {
    /// A read accepts data up to 100 ms old. It must cover what was acknowledged longer ago than
    /// that and no more; a higher position would keep it from replicas.
    aged_read_sees_what_is_older_than_its_age {
        let history = steady_history(50);
        let now = at(1_500);
        assert_eq!(history.required(now, Duration::ZERO), position(1, 150));
        assert_eq!(history.required(now, millis(100)), position(1, 140));
        assert_eq!(history.required(now, millis(10_000)), position(1, 100));
    }
}

case! {
    /// A leaseholder has just found the primary and doesn't know when its writes were acknowledged.
    /// A read with any maximum age must cover all of them, or it could miss one that is older than
    /// that.
    new_leaseholder_requires_all_existing_writes {
        let mut history = steady_history(50);
        history.begin(GroupTerm(2), position(1, 160));
        assert_eq!(history.required(at(1_600), millis(5_000)), position(1, 160));
    }
}

case! {
    /// A promotion dropped the last writes of a session. Its reads must not wait for a position
    /// that no instance holds, also while the new primary has committed nothing, and its position
    /// has the term of an earlier entry.
    dropped_position_is_no_longer_required {
        let mut history = steady_history(50);
        history.begin(GroupTerm(2), position(1, 140));
        assert_eq!(history.clamp(position(1, 150)), position(1, 140));
        assert_eq!(history.clamp(position(1, 130)), position(1, 130));
        assert_eq!(history.clamp(position(2, 141)), position(2, 141));
    }
}

case! {
    /// A held-up answer of a replaced primary was confirmed although the promotion had dropped its
    /// write: the new primary's position was compared, which has the former primary's term.
    dropped_write_is_not_taken_for_held {
        let mut history = steady_history(50);
        history.begin(GroupTerm(2), position(1, 140));
        assert_eq!(history.fate(position(1, 140)), PositionFate::Held);
        assert_eq!(history.fate(position(1, 141)), PositionFate::Dropped);
        history.note(at(2_000), position(2, 141));
        assert_eq!(history.fate(position(1, 141)), PositionFate::Dropped);
        assert_eq!(history.fate(position(2, 141)), PositionFate::Held);
    }
}

case! {
    /// A write was dropped by a promotion, and the log had grown past its index again before the
    /// next one.
    write_dropped_two_promotions_ago_is_not_taken_for_held {
        let mut history = steady_history(50);
        history.begin(GroupTerm(2), position(1, 140));
        history.begin(GroupTerm(3), position(2, 147));
        assert_eq!(history.fate(position(1, 140)), PositionFate::Held);
        assert_eq!(history.fate(position(1, 141)), PositionFate::Dropped);
        assert_eq!(history.fate(position(2, 147)), PositionFate::Held);
        assert_eq!(history.fate(position(2, 148)), PositionFate::Dropped);
    }
}

case! {
    /// A promotion took place that the leaseholder hasn't seen. Where that term began isn't known,
    /// nor then whether an earlier term's write was dropped.
    write_before_an_unseen_promotion_is_of_unknown_fate {
        let mut history = steady_history(50);
        history.begin(GroupTerm(3), position(2, 147));
        assert_eq!(history.fate(position(1, 130)), PositionFate::Unknown);
        assert_eq!(history.fate(position(1, 148)), PositionFate::Dropped);
        assert_eq!(history.clamp(position(1, 145)), position(2, 147));
        // The unseen term left no entry in the log, so the log ends with those of term 1.
        let mut history = steady_history(50);
        history.begin(GroupTerm(3), position(1, 140));
        assert_eq!(history.fate(position(1, 140)), PositionFate::Held);
        assert_eq!(history.fate(position(1, 141)), PositionFate::Dropped);
        assert_eq!(history.fate(position(2, 135)), PositionFate::Dropped);
    }
}

case! {
    /// A leaseholder takes over a primary that has committed writes in its term. Where the term
    /// began isn't known.
    term_that_began_before_a_takeover_has_no_known_start {
        let mut history = PositionHistory::default();
        history.begin(GroupTerm(2), position(2, 147));
        assert_eq!(history.fate(position(1, 130)), PositionFate::Unknown);
        assert_eq!(history.fate(position(1, 148)), PositionFate::Dropped);
        assert_eq!(history.fate(position(2, 140)), PositionFate::Held);
        assert_eq!(history.fate(position(3, 140)), PositionFate::Unknown);
        assert_eq!(history.clamp(position(1, 130)), position(2, 147));
    }
}

case! {
    /// An instance leads again and answers a commit of its earlier term. Reads must not have to
    /// cover a position that was dropped meanwhile.
    acknowledgement_of_an_earlier_term_is_not_required {
        let mut history = steady_history(50);
        history.begin(GroupTerm(3), position(1, 140));
        history.note(at(2_000), position(1, 150));
        assert_eq!(history.newest(), position(1, 140));
    }
}

case! {
    /// Promotions go on for years. The number of kept terms stays bounded.
    starts_of_terms_are_bounded {
        let mut history = PositionHistory::default();
        for term in 1..100 {
            history.begin(GroupTerm(term + 1), position(term, term * 10));
        }
        assert_eq!(history.fate(position(1, 5)), PositionFate::Unknown);
        assert_eq!(history.fate(position(99, 990)), PositionFate::Held);
        assert_eq!(history.fate(position(99, 991)), PositionFate::Dropped);
        assert_eq!(history.fate(position(95, 950)), PositionFate::Held);
    }
}

case! {
    /// Writes continue for an hour. The number of marks stays bounded, and a read still covers
    /// everything older than the oldest mark.
    marks_are_bounded {
        let history = steady_history(360_000);
        let now = at(1_000 + 3_600_000);
        assert!(history.required(now, millis(3_000_000)) > position(1, 100));
        assert_eq!(history.newest(), position(1, 360_100));
    }
}

case! {
    /// A replica falls behind by seconds and refuses reads, then catches up. It must not be sent
    /// reads that it can't serve, and must be sent reads again after it has caught up, although it
    /// gave no answer in the meantime.
    replica_that_caught_up_is_tried_again {
        let history = steady_history(2_000);
        let mut replica = ReplicaEstimate::default();
        let mut now = at(3_000);
        for _ in 0..6 {
            let wanted = replica.assumed_position(now, &history);
            replica.record_refusal(now, wanted, None);
            assert!(replica.assumed_position(now, &history) < wanted);
            now = now + millis(5);
        }
        assert!(replica.lag(now) > millis(500));
        now = now + millis(5_000);
        assert!(replica.lag(now) < millis(20), "{:?}", replica.lag(now));
        assert!(replica.assumed_position(now, &history) >= history.required(now, millis(20)));
    }
}

case! {
    /// A replica's answer contains its position, which it is known to hold.
    reported_position_counts_at_once {
        let history = steady_history(50);
        let mut replica = ReplicaEstimate::default();
        replica.record_refusal(at(1_490), position(1, 145), None);
        replica.record_answer(at(1_500), position(1, 148), &history);
        assert!(replica.assumed_position(at(1_500), &history) >= position(1, 148));
    }
}

case! {
    /// A replica's position is below the one at which the present primary began. It would refuse
    /// every read that must cover that position.
    replica_behind_the_start_is_not_overestimated {
        let mut history = PositionHistory::default();
        history.begin(GroupTerm(1), position(1, 86));
        let mut replica = ReplicaEstimate::default();
        replica.record_answer(at(1_000), position(1, 75), &history);
        assert_eq!(replica.assumed_position(at(1_001), &history), position(1, 75));
    }
}

/// Simulation of reads from a replica that applies each write some time after it was acknowledged.
struct LagReplay {
    history: PositionHistory,
    replica: ReplicaEstimate,
    /// The replica's lags, each with the time from which it applies, in milliseconds.
    lags: Vec<(u64, u64)>,
    /// The maximum ages of the reads that are sent at one time.
    allowed: [Duration; 4],
    /// The numbers of reads that the replica could have served, did serve and refused.
    possible: u32,
    served: u32,
    refused: u32,
}

impl LagReplay {
    fn new(lags: &[(u64, u64)], allowed_ms: [u64; 4]) -> Self {
        let mut history = PositionHistory::default();
        history.begin(GroupTerm(1), position(1, 0));
        Self {
            history,
            replica: ReplicaEstimate::default(),
            lags: lags.to_vec(),
            allowed: allowed_ms.map(millis),
            possible: 0,
            served: 0,
            refused: 0,
        }
    }

    /// Returns the replica's position. A write is acknowledged every 10 ms, and writes that were
    /// applied stay applied when the lag grows.
    fn replica_position(&self, now_ms: u64) -> LogPosition {
        let begun = self.lags.iter().filter(|(from, _)| *from <= now_ms);
        let applied = begun.enumerate().map(|(place, (_, lag))| {
            let next = self.lags.get(place + 1).map(|(from, _)| *from);
            let until = next.unwrap_or(u64::MAX).min(now_ms);
            until.saturating_sub(*lag) / 10
        });
        position(1, applied.max().unwrap_or_default())
    }

    /// Simulates the time from `from_ms` to `until_ms` with four reads every 10 ms.
    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(10) {
            self.history.note(at(now_ms), position(1, now_ms / 10));
            for allowed in self.allowed {
                self.read(now_ms, allowed);
            }
        }
    }

    fn read(&mut self, now_ms: u64, allowed: Duration) {
        let now = at(now_ms);
        let floor = self.history.required(now, allowed);
        let position_held = self.replica_position(now_ms);
        self.possible += u32::from(position_held >= floor);
        if self.replica.assumed_position(now, &self.history) < floor {
            return;
        }
        self.replica
            .record_answer(now, position_held, &self.history);
        if position_held >= floor {
            self.served += 1;
        } else {
            self.refused += 1;
            self.replica.record_refusal(now, floor, Some(position_held));
        }
    }
}

case! {
    /// A replica lags by 2.4 s for six seconds. Three of four reads accept 2.5 s, which it can
    /// serve, and one accepts 1.5 s. Refusals of the latter must not keep the former away: each of
    /// them would take a slot of the primary, which has a third of all slots.
    replica_behind_serves_what_its_position_allows {
        let lags = [(0, 20), (4_000, 2_400), (10_000, 20)];
        let mut replay = LagReplay::new(&lags, [2_500, 1_500, 2_500, 2_500]);
        replay.run(2_000, 14_000);
        let share = replay.served * 100 / replay.possible;

        assert!(share >= 90, "{share} % of {}", replay.possible);
        assert!(replay.refused < 200, "{}", replay.refused);
    }
}

case! {
    /// A replica lags by 3 s and reads accept 1.5 s, so for seconds it can serve none. Few reads
    /// may lose a round trip to detect that, and the replica must serve again within half a second
    /// after it has caught up. Reads were once kept from it for 3.5 s longer, and callers were
    /// refused at the primary.
    replica_that_caught_up_serves_soon {
        let mut replay = LagReplay::new(&[(0, 20), (4_000, 3_000), (10_000, 20)], [1_500; 4]);
        replay.run(2_000, 10_000);
        assert!(replay.refused < 150, "{}", replay.refused);
        let before = replay.served;
        replay.run(10_000, 11_000);
        assert!(replay.served - before > 200, "{}", replay.served - before);
    }
}
