//! Tests of the session state: how statements are executed, and what the caller is answered.

use ragwort_types::AccessMode;
use ragwort_types::DoubtCause;
use ragwort_types::EndpointFault;
use ragwort_types::EndpointFaultKind;
use ragwort_types::GroupTerm;
use ragwort_types::LogPosition;
use ragwort_types::PreparedDefinition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementOperation;
use ragwort_types::StatementReply;
use ragwort_types::TaggedRows;
use ragwort_types::TransactionMode;
use ragwort_types::TransactionStep;
use ragwortgated::edges::CallerAnswer;
use ragwortgated::edges::CallerErrorSort;
use ragwortgated::edges::CallerStatement;
use ragwortgated::edges::SessionState;
use ragwortgated::sessions::state::CallerSession;
use ragwortgated::sessions::state::SessionStep;
use ragwortgated::sessions::state::StatementDraft;

macro_rules! case {
    ($(#[$doc:meta])* $name:ident $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() $body
    };
}

fn write(text: &str) -> CallerStatement {
    CallerStatement::Run {
        access: AccessMode::Write,
        text: text.to_owned(),
    }
}

fn read(text: &str) -> CallerStatement {
    CallerStatement::Run {
        access: AccessMode::Read,
        text: text.to_owned(),
    }
}

/// Handles a statement that must be sent to the leaseholder.
fn draft(session: &mut CallerSession, statement: CallerStatement) -> StatementDraft {
    match session.handle("a1".to_owned(), statement) {
        SessionStep::Run(draft) => draft,
        SessionStep::Answer(answer) => panic!("answered at the gateway: {answer:?}"),
    }
}

/// Handles a statement that the gateway must answer itself.
fn answer(session: &mut CallerSession, statement: CallerStatement) -> CallerAnswer {
    match session.handle("a1".to_owned(), statement) {
        SessionStep::Answer(answer) => answer,
        SessionStep::Run(draft) => panic!("sent on: {draft:?}"),
    }
}

fn reply(verdict: RequestVerdict, index: Option<u64>) -> StatementReply {
    StatementReply {
        id: StatementId::fresh(),
        verdict,
        served_by: index.map(|index| ServedBy {
            instance: "cases-1".into(),
            replica: false,
            position: LogPosition::new(GroupTerm(1), index),
        }),
    }
}

fn served(index: u64) -> StatementReply {
    let rows = StatementAnswer::Tagged(TaggedRows::default());
    reply(RequestVerdict::Ran(rows), Some(index))
}

fn refused(cause: RefusalCause) -> StatementReply {
    reply(RequestVerdict::refused(cause, 70), None)
}

fn error_sort(answer: &CallerAnswer) -> CallerErrorSort {
    match answer {
        CallerAnswer::Failed { error, .. } => error.sort,
        _ => panic!("no error: {answer:?}"),
    }
}

case! {
    /// A read after a write must carry the write's position. Otherwise a replica that hasn't
    /// received the write could answer.
    read_carries_the_position_of_the_last_write {
        let mut session = CallerSession::default();
        let saved = draft(&mut session, write("w"));
        session.finish(&saved, served(7));
        let shown = draft(&mut session, read("r"));
        assert_eq!(shown.context.last_write, Some(LogPosition::new(GroupTerm(1), 7)));
    }
}

case! {
    /// No position is known of a write that was refused or whose outcome is unknown. The position
    /// of the write before must be kept.
    failed_write_keeps_the_position_before {
        let mut session = CallerSession::default();
        let saved = draft(&mut session, write("w"));
        session.finish(&saved, served(7));
        let lost = draft(&mut session, write("w"));
        session.finish(&lost, refused(RefusalCause::Overload));
        let shown = draft(&mut session, read("r"));
        assert_eq!(shown.context.last_write, Some(LogPosition::new(GroupTerm(1), 7)));
    }
}

case! {
    /// BEGIN is deferred: a transaction must not hold one of the few connections before its first
    /// statement.
    begin_holds_no_connection {
        let mut session = CallerSession::default();
        let begun = answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        assert!(matches!(begun, CallerAnswer::Complete { state: SessionState::Open, .. }));
        let first = draft(&mut session, write("w"));
        assert!(matches!(first.step, TransactionStep::Begin(_)));
        assert_eq!(first.context.opens, Some(TransactionMode::ReadWrite));
    }
}

case! {
    /// All statements of a transaction, and its commit, carry the same id and so use one
    /// connection.
    transaction_keeps_its_id {
        let mut session = CallerSession::default();
        answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        let first = draft(&mut session, write("w"));
        session.finish(&first, served(3));
        let TransactionStep::Begin(id) = first.step else {
            panic!("{:?}", first.step);
        };
        let second = draft(&mut session, write("w"));
        assert_eq!(second.step, TransactionStep::Within(id));
        session.finish(&second, served(4));
        let commit = draft(&mut session, CallerStatement::Commit);
        assert_eq!(commit.step, TransactionStep::Commit(id));
        session.finish(&commit, served(5));
        assert_eq!(session.state(), SessionState::Idle);
    }
}

case! {
    /// After a failure in a transaction the session accepts only the transaction's end. A statement
    /// run outside of the transaction would be kept although the caller rolls back.
    failed_transaction_accepts_only_its_end {
        let mut session = CallerSession::default();
        answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        let first = draft(&mut session, write("w"));
        let answered = session.finish(&first, refused(RefusalCause::TransactionLost));
        assert_eq!(error_sort(&answered), CallerErrorSort::Aborted);
        assert_eq!(session.state(), SessionState::Failed);
        let further = answer(&mut session, write("w"));
        assert_eq!(error_sort(&further), CallerErrorSort::Malformed);
        answer(&mut session, CallerStatement::Rollback);
        assert_eq!(session.state(), SessionState::Idle);
    }
}

case! {
    /// The first statement of a transaction is refused, so the leaseholder holds nothing for it. A
    /// rollback that was sent there all the same cost a call, and its caller was told that the
    /// transaction was lost.
    rollback_after_a_refused_first_statement_is_answered_here {
        for cause in [
            RefusalCause::AccountLimit,
            RefusalCause::Overload,
            RefusalCause::NoLease,
            RefusalCause::EndpointRefused,
            RefusalCause::TransactionLost,
        ] {
            let mut session = CallerSession::default();
            answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
            let first = draft(&mut session, write("w"));
            session.finish(&first, refused(cause));
            assert_eq!(session.state(), SessionState::Failed);
            assert!(session.take_abandoned(true).is_none(), "{cause}: nothing is left to end");
            let ended = answer(&mut session, CallerStatement::Rollback);
            assert!(matches!(ended, CallerAnswer::Complete { state: SessionState::Idle, .. }));
        }
    }
}

case! {
    /// The first statement of a transaction is refused, and its caller commits. The caller must be
    /// told that nothing was kept, without a call to the leaseholder.
    commit_after_a_refused_first_statement_is_answered_here {
        let mut session = CallerSession::default();
        answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        let first = draft(&mut session, write("w"));
        session.finish(&first, refused(RefusalCause::AccountLimit));
        let ended = answer(&mut session, CallerStatement::Commit);
        assert_eq!(error_sort(&ended), CallerErrorSort::Aborted);
        assert_eq!(session.state(), SessionState::Idle);
    }
}

case! {
    /// The first statement of a transaction ran and failed, or a later one is refused. The
    /// leaseholder holds a connection for the transaction, so the rollback must be sent.
    rollback_of_an_opened_transaction_is_sent {
        let fault = StatementAnswer::Faulted(EndpointFault {
            sort: EndpointFaultKind::Failed,
            text: "duplicate".to_owned(),
        });
        let mut session = CallerSession::default();
        answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        let first = draft(&mut session, write("w"));
        session.finish(&first, reply(RequestVerdict::Ran(fault), None));
        assert!(matches!(
            draft(&mut session, CallerStatement::Rollback).step,
            TransactionStep::Rollback(_)
        ));
        let mut session = CallerSession::default();
        answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        let first = draft(&mut session, write("w"));
        session.finish(&first, served(3));
        let second = draft(&mut session, write("w"));
        session.finish(&second, refused(RefusalCause::Overload));
        assert!(matches!(
            draft(&mut session, CallerStatement::Rollback).step,
            TransactionStep::Rollback(_)
        ));
    }
}

case! {
    /// The answer to a commit is lost. The caller must be told that the outcome is unknown, never
    /// that nothing was kept.
    lost_commit_is_in_doubt {
        let mut session = CallerSession::default();
        answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        let first = draft(&mut session, write("w"));
        session.finish(&first, served(3));
        let commit = draft(&mut session, CallerStatement::Commit);
        let lost = reply(RequestVerdict::MayHaveRun(DoubtCause::LeaseLost), None);
        assert_eq!(error_sort(&session.finish(&commit, lost)), CallerErrorSort::InDoubt);
    }
}

case! {
    /// A caller disconnects in the middle of a transaction. Its connection must be freed at once;
    /// otherwise others would wait for it until the transaction's idle limit.
    transaction_of_a_caller_who_left_is_rolled_back {
        let mut session = CallerSession::default();
        answer(&mut session, CallerStatement::Begin(TransactionMode::ReadWrite));
        let first = draft(&mut session, write("w"));
        session.finish(&first, served(3));
        let left = session.take_abandoned(true).unwrap();
        assert!(matches!(left.step, TransactionStep::Rollback(_)));
        assert_eq!(session.take_abandoned(true), None);
    }
}

case! {
    /// Two callers prepare different statements under one name. Each must run its own: the name is
    /// local to the session, and the shape is sent with the statement.
    prepared_names_belong_to_their_session {
        let mut sessions = [CallerSession::default(), CallerSession::default()];
        for (number, session) in sessions.iter_mut().enumerate() {
            let definition = PreparedDefinition {
                access: AccessMode::Read,
                shape: format!("shape-{number}"),
            };
            let name = "get".to_owned();
            answer(session, CallerStatement::Prepare { name, definition });
        }
        for (number, session) in sessions.iter_mut().enumerate() {
            let statement = CallerStatement::Execute {
                name: "get".to_owned(),
                arguments: "7".to_owned(),
            };
            let run = draft(session, statement);
            let StatementOperation::Prepared(definition) = run.context.act else {
                panic!("{:?}", run.context.act);
            };
            assert_eq!(definition.shape, format!("shape-{number}"));
        }
    }
}

case! {
    /// A session's values are sent with each of its statements, so their number is bounded. A value
    /// beyond the bound is refused with an error.
    values_are_bounded {
        let mut session = CallerSession::default();
        for number in 0..1_024 {
            let set = CallerStatement::Set {
                name: format!("v{number}"),
                value: "1".to_owned(),
            };
            assert!(matches!(answer(&mut session, set), CallerAnswer::Complete { .. }));
        }
        let one_more = CallerStatement::Set {
            name: "more".to_owned(),
            value: "1".to_owned(),
        };
        assert_eq!(error_sort(&answer(&mut session, one_more)), CallerErrorSort::Busy);
        let known = CallerStatement::Set {
            name: "v7".to_owned(),
            value: "2".to_owned(),
        };
        assert!(matches!(answer(&mut session, known), CallerAnswer::Complete { .. }));
    }
}
