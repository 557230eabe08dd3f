//! The consistency check reports each kind of violation, and accepts the allowed histories.

use ragwort_lab::oracle::ListRead;
use ragwort_lab::oracle::ListToken;
use ragwort_lab::oracle::LoadOracle;
use ragwort_lab::oracle::OracleEvent;
use ragwort_lab::oracle::OracleViolation;
use ragwort_lab::oracle::WriteOutcome;
use ragwort_lab::oracle::WriteOutcome::Acknowledged;
use ragwort_lab::oracle::WriteOutcome::MayHaveRun;
use ragwort_lab::oracle::WriteOutcome::NotRun;

macro_rules! oracle_cases {
    ($($(#[$doc:meta])* $name:ident: $events:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut oracle = LoadOracle::default();
            for event in $events.concat() {
                oracle.observe(event);
            }
            oracle.check_refused();
            assert_eq!(oracle.violations(), $expected);
        }
    )*};
}

fn token(session: &str, number: u64) -> ListToken {
    ListToken {
        list: "list".to_owned(),
        session: session.to_owned(),
        number,
    }
}

fn append(session: &str, number: u64, outcome: WriteOutcome) -> Vec<OracleEvent> {
    let token = token(session, number);
    vec![
        OracleEvent::StartAppend(token.clone()),
        OracleEvent::EndAppend(token, outcome),
    ]
}

fn end(answer: &str) -> Vec<OracleEvent> {
    let answer = (!answer.is_empty()).then(|| answer.to_owned());
    vec![OracleEvent::ReadFinalList("list".to_owned(), answer)]
}

fn read(session: &str, start_us: u64, max_age_us: u64, answer: &str) -> Vec<OracleEvent> {
    vec![OracleEvent::ReadList(ListRead {
        list: "list".to_owned(),
        session: session.to_owned(),
        start_us,
        max_age_us,
        answer: (!answer.is_empty()).then(|| answer.to_owned()),
    })]
}

fn put(outcome: WriteOutcome) -> Vec<OracleEvent> {
    vec![
        OracleEvent::StartPut("cell".to_owned()),
        OracleEvent::EndPut("cell".to_owned(), outcome),
    ]
}

fn cell(answer: &str) -> Vec<OracleEvent> {
    let answer = (!answer.is_empty()).then(|| answer.to_owned());
    vec![OracleEvent::ReadCell("cell".to_owned(), answer)]
}

fn foreign(key: &str, value: &str) -> OracleViolation {
    OracleViolation::ForeignValue {
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

fn unseen(key: &str, missing: &str, found: &str) -> OracleViolation {
    OracleViolation::OwnWriteUnseen {
        key: key.to_owned(),
        missing: missing.to_owned(),
        found: found.to_owned(),
    }
}

oracle_cases! {
    /// Acknowledged appends are present once, those that may have run are present or absent, and
    /// refused ones are absent.
    allowed_history: [
        append("a", 1, Acknowledged(10)),
        append("a", 2, MayHaveRun),
        append("a", 3, MayHaveRun),
        append("b", 1, NotRun),
        read("b", 20, 0, "list=a=1"),
        end("list=a=1,list=a=3"),
    ] => [];
    /// An acknowledged append is missing from the final list.
    lost_append: [append("a", 1, Acknowledged(10)), end("")]
        => [OracleViolation::Lost(token("a", 1))];
    /// An append is applied twice, as by a resent request.
    doubled_append: [append("a", 1, Acknowledged(10)), end("list=a=1,list=a=1")]
        => [OracleViolation::Doubled(token("a", 1))];
    /// An append that was answered "not run" is in the final list.
    refused_but_run: [append("a", 1, NotRun), end("list=a=1")]
        => [OracleViolation::RefusedButRun("list=a=1".to_owned())];
    /// A refused append is read before its caller is told of the refusal, and is absent at the end.
    refused_but_seen_before_its_answer: [
        vec![OracleEvent::StartAppend(token("a", 1))],
        read("b", 20, 0, "list=a=1"),
        vec![OracleEvent::EndAppend(token("a", 1), NotRun)],
        end(""),
    ] => [OracleViolation::RefusedButRun("list=a=1".to_owned())];
    /// A read returns a value of another list, as when two answers are mixed up.
    value_of_another_list: [append("a", 1, Acknowledged(10)), read("a", 5, 0, "other=a=1")]
        => [foreign("list", "other=a=1")];
    /// A read returns a value that was never written.
    value_that_was_never_written: [append("a", 1, MayHaveRun), end("list=a=2")]
        => [foreign("list", "list=a=2")];
    /// A session's read doesn't return its own acknowledged append.
    own_append_unseen: [append("a", 1, Acknowledged(10)), read("a", 20, 1_000, "")]
        => [unseen("list", "list=a=1", "nothing")];
    /// A read lacks an append that was acknowledged earlier than the accepted age.
    read_too_old: [append("a", 1, Acknowledged(10)), read("b", 1_010, 1_000, "")]
        => [OracleViolation::StaleRead {
            missing: token("a", 1),
            acknowledged_before_us: 1_000,
            max_age_us: 1_000,
        }];
    /// A read may lack an append that was acknowledged within the accepted age.
    read_old_enough: [append("a", 1, Acknowledged(10)), read("b", 1_009, 1_000, "")] => [];
    /// A read that began before the acknowledgement may lack the append.
    read_before_acknowledgement: [append("a", 1, Acknowledged(10)), read("a", 9, 0, "")] => [];
    /// A session reads an earlier value of its cell than the last acknowledged one.
    own_put_unseen: [put(Acknowledged(10)), put(Acknowledged(20)), cell("cell=1")]
        => [unseen("cell", "cell=2", "cell=1")];
    /// A read returns a put that may have run, or the acknowledged put before it.
    later_put_seen: [put(Acknowledged(10)), put(MayHaveRun), cell("cell=2"), cell("cell=1")] => [];
    /// A read returns a refused put.
    refused_put_seen: [put(NotRun), cell("cell=1")]
        => [OracleViolation::RefusedButRun("cell=1".to_owned())];
    /// A read of a cell returns the value of another cell.
    cell_of_another_session: [put(Acknowledged(10)), cell("other=1")]
        => [foreign("cell", "other=1")];
    /// A read of a cell returns a value that hasn't been put yet.
    cell_value_not_put_yet: [put(Acknowledged(10)), cell("cell=2")] => [foreign("cell", "cell=2")];
}
