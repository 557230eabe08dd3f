//! Failure tests of majorities: partitioned primaries, lagging replicas and changes of the instance
//! set.

use ragwort_control::CatalogState;
use ragwort_control::ClockTime;
use ragwort_control::PositionQuorum;
use ragwort_control::ReadProgress;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use std::time::Duration;

use crate::common::formed_group;
use crate::common::primary_record;

fn name(text: &str) -> InstanceName {
    InstanceName::from(text)
}

fn status(fenced: u64, term: u64, index: u64) -> InstanceStatus {
    InstanceStatus {
        role: InstanceRole::Replica,
        fenced_term: GroupTerm(fenced),
        position: LogPosition::new(GroupTerm(term), index),
        leaving: false,
    }
}

fn position(index: u64) -> LogPosition {
    LogPosition::new(GroupTerm(1), index)
}

fn record(state: &CatalogState) -> GroupRecord {
    state.group(&"cases".into()).unwrap().clone()
}

/// Returns the quorum of the instances `a` (primary), `b` and `c` in term 1.
fn quorum() -> PositionQuorum {
    let script = formed_group(&["a", "b", "c"]);
    PositionQuorum::new(&record(&script.state))
}

fn now() -> ClockTime {
    ClockTime::from_millis(1_000)
}

case! {
    /// The primary answers a commit and is partitioned before a replica has the write. If the write
    /// were acknowledged by then, it would be lost with the primary.
    write_waits_for_a_majority {
        let mut quorum = quorum();
        quorum.report(now(), now(), &name("a"), status(1, 1, 20));
        let (ticket, progress) = quorum.await_majority(position(20));
        assert!(progress.released.is_empty());
        let progress = quorum.report(now(), now(), &name("b"), status(1, 1, 19));
        assert!(progress.released.is_empty());
        let progress = quorum.report(now(), now(), &name("c"), status(1, 1, 20));
        assert_eq!(progress.released, vec![ticket]);
    }
}

case! {
    /// Another leaseholder has fenced a replica for the next term. The replica must not count for
    /// the former primary's writes, and its reply shows that the term is over.
    replica_of_a_later_term_isnt_counted {
        let mut quorum = quorum();
        quorum.await_majority(position(20));
        quorum.report(now(), now(), &name("a"), status(1, 1, 20));
        let progress = quorum.report(now(), now(), &name("b"), status(2, 1, 20));
        assert!(progress.released.is_empty());
        assert_eq!(progress.later_term, Some(GroupTerm(2)));
    }
}

case! {
    /// A replica still holds a tail of an earlier term with a higher index. If it counted, a write
    /// that it lacks would be acknowledged.
    tail_of_an_earlier_term_isnt_counted {
        let mut quorum = quorum();
        quorum.report(now(), now(), &name("a"), status(1, 1, 8));
        let (_, progress) = quorum.await_majority(position(8));
        assert!(progress.released.is_empty());
        let progress = quorum.report(now(), now(), &name("b"), status(1, 0, 90));
        assert!(progress.released.is_empty());
    }
}

case! {
    /// A promotion ends the term while writes wait. They must be answered as possibly run at once,
    /// not at their deadlines.
    waiting_writes_end_with_their_term {
        let mut script = formed_group(&["a", "b", "c"]);
        let mut quorum = PositionQuorum::new(&record(&script.state));
        let (ticket, _) = quorum.await_majority(position(20));
        script.begin_term(1, 2);
        assert_eq!(quorum.adopt_record(&record(&script.state)), vec![ticket]);
        assert_eq!(quorum.waiting_writes(), 0);
    }
}

case! {
    /// A partitioned primary still answers reads that require the latest data. Such a read may be
    /// answered only if a majority was asked after the read began; an older reply proves nothing.
    read_is_confirmed_by_answers_asked_for_after_it_began {
        let mut quorum = quorum();
        let first = quorum.join_read();
        assert_eq!(quorum.begin_read_round(), Some(first));
        let second = quorum.join_read();
        assert_ne!(first, second);
        assert_eq!(quorum.confirm(first, &name("a"), GroupTerm(1)), ReadProgress::Pending);
        assert_eq!(quorum.begin_read_round(), Some(second));
        assert_eq!(quorum.begin_read_round(), None);
        assert_eq!(quorum.confirm(first, &name("b"), GroupTerm(1)), ReadProgress::Confirmed(first));
        assert_eq!(quorum.confirm(second, &name("a"), GroupTerm(1)), ReadProgress::Pending);
        let over = quorum.confirm(second, &name("c"), GroupTerm(2));
        assert_eq!(over, ReadProgress::TermOver(GroupTerm(2)));
    }
}

case! {
    /// A new instance joins empty, or two instances leave in turn, while only some hold the latest
    /// writes. A majority of the new set might hold none of them, and a promotion would lose them.
    set_changes_only_while_acknowledged_writes_stay_covered {
        let mut quorum = quorum();
        quorum.await_majority(position(20));
        quorum.report(now(), now(), &name("a"), status(1, 1, 20));
        quorum.report(now(), now(), &name("b"), status(1, 1, 20));
        quorum.report(now(), now(), &name("c"), status(1, 1, 5));
        quorum.report(now(), now(), &name("d"), status(1, 1, 4));
        assert_eq!(quorum.acknowledged(), position(20));
        assert!(!quorum.may_add(&name("d")));
        assert!(!quorum.may_remove(&name("b")));
        assert!(quorum.may_remove(&name("c")));
        assert!(!quorum.may_remove(&name("a")), "the primary stays");
        quorum.report(now(), now(), &name("d"), status(1, 1, 20));
        assert!(quorum.may_add(&name("d")));
    }
}

case! {
    /// The reply to a set change is lost, so it may be committed or not. Until that is known,
    /// writes must be held by a majority of both sets.
    unknown_set_change_needs_both_majorities {
        let mut quorum = quorum();
        quorum.report(now(), now(), &name("d"), status(1, 1, 0));
        quorum.propose_add(&name("d"));
        quorum.await_majority(position(20));
        quorum.report(now(), now(), &name("a"), status(1, 1, 20));
        let progress = quorum.report(now(), now(), &name("b"), status(1, 1, 20));
        assert!(progress.released.is_empty(), "two of four are no majority");
        let progress = quorum.report(now(), now(), &name("d"), status(1, 1, 20));
        assert_eq!(progress.released.len(), 1);
    }
}

case! {
    /// A replica stops following while the primary accepts writes. The age of its data grows by the
    /// leaseholder's own clock, and reads with a maximum age must soon not be sent there.
    age_of_a_replica_grows_from_the_primarys_next_write {
        let mut quorum = quorum();
        let at = |millis: u64| ClockTime::from_millis(1_000 + millis);
        quorum.report(at(0), at(0), &name("b"), status(1, 1, 15));
        assert_eq!(quorum.age_bound(&name("b"), at(0)), None);
        quorum.report(at(0), at(0), &name("a"), status(1, 1, 15));
        quorum.report(at(100), at(100), &name("a"), status(1, 1, 15));
        assert_eq!(quorum.age_bound(&name("b"), at(110)), Some(Duration::from_millis(10)));
        quorum.report(at(200), at(200), &name("a"), status(1, 1, 16));
        quorum.report(at(300), at(300), &name("a"), status(1, 1, 17));
        assert_eq!(quorum.age_bound(&name("b"), at(310)), Some(Duration::from_millis(210)));
        quorum.report(at(320), at(320), &name("b"), status(1, 1, 17));
        assert_eq!(quorum.age_bound(&name("b"), at(330)), Some(Duration::from_millis(30)));
        quorum.report(at(330), at(330), &name("b"), status(2, 1, 17));
        assert_eq!(quorum.age_bound(&name("b"), at(340)), None);
    }
}

case! {
    /// Two of three instances stop following. A write must wait for at least one of them, so the
    /// majority's lag is that of the one with the smaller lag.
    majority_lags_like_its_fastest_replica {
        let mut quorum = quorum();
        let at = |millis: u64| ClockTime::from_millis(1_000 + millis);
        assert_eq!(quorum.majority_lag(at(0)), None);
        quorum.report(at(0), at(0), &name("a"), status(1, 1, 15));
        quorum.report(at(0), at(0), &name("b"), status(1, 1, 15));
        quorum.report(at(100), at(100), &name("a"), status(1, 1, 16));
        quorum.report(at(100), at(100), &name("c"), status(1, 1, 16));
        quorum.report(at(200), at(200), &name("a"), status(1, 1, 17));
        assert_eq!(quorum.age_bound(&name("b"), at(300)), Some(Duration::from_millis(300)));
        assert_eq!(quorum.majority_lag(at(300)), Some(Duration::from_millis(100)));
        assert_eq!(quorum.majority_lag(at(350)), Some(Duration::from_millis(150)));
        quorum.report(at(350), at(350), &name("b"), status(1, 1, 17));
        assert_eq!(quorum.majority_lag(at(350)), Some(Duration::ZERO));
    }
}

case! {
    /// Agents delay the reply to a status request until something changes, so a reply is old when
    /// it arrives although the instances hold the same. A write must not be refused because the age
    /// of the replies was taken for a lag.
    age_of_a_status_is_no_lag {
        let mut quorum = quorum();
        let at = |millis: u64| ClockTime::from_millis(1_000 + millis);
        for instance in ["a", "b", "c"] {
            quorum.report(at(0), at(0), &name(instance), status(1, 1, 15));
        }
        assert_eq!(quorum.age_bound(&name("b"), at(409)), Some(Duration::from_millis(409)));
        assert_eq!(quorum.majority_lag(at(409)), Some(Duration::ZERO));
    }
}

case! {
    /// The primary's first sample and the answer to a write arrive within a few milliseconds. A
    /// replica at the first position must have a known age; without one it would serve no read.
    first_sample_is_not_merged_with_a_write {
        let mut quorum = quorum();
        let at = |millis: u64| ClockTime::from_millis(1_000 + millis);
        quorum.report(at(0), at(1), &name("a"), status(1, 1, 15));
        quorum.report(at(0), at(1), &name("b"), status(1, 1, 15));
        quorum.note_answer(at(5), at(8), &name("a"), position(16));
        assert_eq!(quorum.age_bound(&name("b"), at(100)), Some(Duration::from_millis(100)));
        assert_eq!(quorum.majority_lag(at(100)), Some(Duration::from_millis(92)));
    }
}

case! {
    /// Replication has stopped, and a write that was given 400 ms ran out of time. Until a majority
    /// holds it, another write with no more time can only end with an unknown outcome too.
    overdue_write_predicts_that_the_next_is_overdue {
        let mut quorum = quorum();
        let limit = Duration::from_millis(400);
        let shorter = Duration::from_millis(399);
        let longer = Duration::from_millis(401);
        quorum.report(now(), now(), &name("a"), status(1, 1, 20));
        quorum.report(now(), now(), &name("b"), status(1, 1, 19));
        let (ticket, _) = quorum.await_majority(position(20));
        assert!(!quorum.would_be_overdue(limit));
        quorum.give_up_overdue(ticket, limit);
        assert_eq!(quorum.waiting_writes(), 0);
        assert!(quorum.would_be_overdue(limit));
        assert!(quorum.would_be_overdue(shorter));
        assert!(!quorum.would_be_overdue(longer));
        quorum.report(now(), now(), &name("b"), status(1, 1, 20));
        assert!(!quorum.would_be_overdue(limit));
    }
}

case! {
    /// The primary's status is requested, a write runs and is answered, and then the reply to the
    /// status request arrives. If it replaced the newer position, the session of the write would
    /// find no instance that holds it, and a later status with the same position would make
    /// replicas look up to date.
    status_overtaken_by_an_answer_changes_nothing {
        let mut quorum = quorum();
        let at = |millis: u64| ClockTime::from_millis(1_000 + millis);
        quorum.report(at(0), at(0), &name("a"), status(1, 1, 15));
        quorum.report(at(0), at(0), &name("b"), status(1, 1, 15));
        quorum.note_answer(at(100), at(110), &name("a"), position(16));
        quorum.report(at(90), at(90), &name("a"), status(1, 1, 15));
        assert_eq!(quorum.counted_position(&name("a")), Some(position(16)));
        assert_eq!(quorum.age_bound(&name("b"), at(200)), Some(Duration::from_millis(200)));
        quorum.report(at(120), at(120), &name("a"), status(1, 1, 16));
        assert_eq!(quorum.age_bound(&name("b"), at(200)), Some(Duration::from_millis(200)));
    }
}

case! {
    /// The primary's agent is silent, so its reports don't count, when a write is answered on the
    /// data connection. The position of the write must be recorded nevertheless; otherwise an
    /// agent's reply from before the write would make replicas that lack it look up to date.
    answer_counts_while_the_agent_is_silent {
        let mut quorum = quorum();
        let at = |millis: u64| ClockTime::from_millis(1_000 + millis);
        quorum.report(at(0), at(0), &name("a"), status(1, 1, 15));
        quorum.report(at(0), at(0), &name("b"), status(1, 1, 15));
        quorum.forget(&name("a"));
        quorum.note_answer(at(100), at(110), &name("a"), position(16));
        quorum.report(at(105), at(105), &name("a"), status(1, 1, 15));
        assert_eq!(quorum.age_bound(&name("b"), at(300)), Some(Duration::from_millis(300)));
        assert_eq!(quorum.majority_lag(at(300)), Some(Duration::from_millis(190)));
    }
}

case! {
    /// The answer of a replaced primary arrives in its successor's term, or the answer of a replica
    /// arrives. Neither shows the position of the present primary.
    answer_of_another_than_the_primary_says_nothing {
        let mut quorum = quorum();
        let at = |millis: u64| ClockTime::from_millis(1_000 + millis);
        quorum.report(at(0), at(0), &name("a"), status(1, 1, 15));
        quorum.report(at(0), at(0), &name("b"), status(1, 1, 15));
        quorum.note_answer(at(50), at(60), &name("b"), position(15));
        quorum.note_answer(at(50), at(60), &name("a"), LogPosition::new(GroupTerm(0), 40));
        assert_eq!(quorum.age_bound(&name("b"), at(100)), Some(Duration::from_millis(100)));
    }
}

case! {
    /// A replica has just begun to follow the term and still lacks writes from before its start. A
    /// majority that includes it could lack them.
    replica_before_the_start_of_the_term_isnt_counted {
        let mut quorum = quorum();
        quorum.report(now(), now(), &name("b"), status(1, 1, 6));
        assert_eq!(quorum.counted_position(&name("b")), None);
        quorum.report(now(), now(), &name("b"), status(1, 1, 7));
        assert_eq!(quorum.counted_position(&name("b")), Some(position(7)));
    }
}

case! {
    /// A status is in flight while the next primary is promoted. A write released by it would be
    /// acknowledged by a replaced primary.
    suspended_term_releases_nothing {
        let mut quorum = quorum();
        quorum.report(now(), now(), &name("a"), status(1, 1, 20));
        let (ticket, _) = quorum.await_majority(position(20));
        assert_eq!(quorum.suspend(), vec![ticket]);
        let (_, progress) = quorum.await_majority(position(19));
        assert!(progress.released.is_empty());
        let progress = quorum.report(now(), now(), &name("b"), status(1, 1, 20));
        assert!(progress.released.is_empty());
    }
}

case! {
    /// The answer to a commit is delayed until the next primary serves. Every position of the new
    /// term is higher, but the new primary may lack the write, so the write must not be released.
    answer_of_a_replaced_primary_is_abandoned {
        let mut script = formed_group(&["a", "b", "c"]);
        let mut quorum = PositionQuorum::new(&record(&script.state));
        let round = quorum.join_read();
        quorum.begin_read_round();
        script.begin_term(1, 2);
        script.expect_done(primary_record("b", 1, 2));
        quorum.adopt_record(&record(&script.state));
        quorum.report(now(), now(), &name("b"), status(2, 2, 30));
        quorum.report(now(), now(), &name("c"), status(2, 2, 30));
        let (ticket, progress) = quorum.await_majority(position(25));
        assert_eq!(progress.abandoned, vec![ticket]);
        assert!(progress.released.is_empty());
        let read = quorum.confirm(round, &name("b"), GroupTerm(2));
        assert_eq!(read, ReadProgress::TermOver(GroupTerm(2)));
    }
}
