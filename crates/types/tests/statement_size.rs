//! Checks the serialized size of statements and replies apart from their text and rows.

use ragwort_types::AccessMode;
use ragwort_types::GroupTerm;
use ragwort_types::LogPosition;
use ragwort_types::RequestMarks;
use ragwort_types::RequestVerdict;
use ragwort_types::ServedBy;
use ragwort_types::SessionContext;
use ragwort_types::SessionValues;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementOperation;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TaggedRows;
use ragwort_types::TransactionStep;

/// The maximum size of a request without its text, in bytes. Ids and names, whose length the
/// project doesn't control, take 90 of them.
const MAX_REQUEST_OVERHEAD_BYTES: usize = 200;

/// The maximum size of a reply without its rows, in bytes.
const MAX_REPLY_OVERHEAD_BYTES: usize = 140;

fn create_request(step: TransactionStep, last_write: Option<LogPosition>) -> StatementRequest {
    StatementRequest {
        id: StatementId::fresh(),
        customer: "daye712".into(),
        session: "18351db4f024".into(),
        group: "cufi63a".into(),
        marks: RequestMarks {
            kind: Some("read".into()),
            deadline_ms: Some(1_500),
            ..RequestMarks::default()
        },
        text: String::new(),
        parameters: None,
        step,
        spent_ms: 3,
        waited_ms: 0,
        account: None,
        proof: None,
        context: Some(Box::new(SessionContext {
            caller_id: "18351db4f02480e1".to_owned(),
            act: StatementOperation::Text(AccessMode::Read),
            opens: None,
            values: SessionValues::new(),
            last_write,
        })),
    }
}

fn create_reply() -> StatementReply {
    let rows = TaggedRows {
        rows: vec![String::new()],
        tag: String::new(),
    };
    StatementReply {
        id: StatementId::fresh(),
        verdict: RequestVerdict::Ran(StatementAnswer::Tagged(rows)),
        served_by: Some(ServedBy {
            instance: "i-75199af0ea".into(),
            replica: true,
            position: LogPosition::new(GroupTerm(2), 75),
        }),
    }
}

/// Traffic between failure domains is billed by the byte, and full field names and empty values
/// took more bytes than the statement's text did.
#[test]
fn statement_overhead_is_bounded() {
    let last_write = Some(LogPosition::new(GroupTerm(2), 75));
    let request = create_request(TransactionStep::Single, last_write);
    let request = serde_json::to_string(&request).unwrap();
    assert!(request.len() <= MAX_REQUEST_OVERHEAD_BYTES, "{request}");
    let reply = serde_json::to_string(&create_reply()).unwrap();
    assert!(reply.len() <= MAX_REPLY_OVERHEAD_BYTES, "{reply}");
}

/// Omitted fields must be restored on deserialization: a lost transaction step would run a
/// statement outside its transaction, and a lost position would allow a stale read.
#[test]
fn statements_round_trip() {
    let id = ragwort_types::TransactionId::fresh();
    let steps = [
        TransactionStep::Single,
        TransactionStep::Begin(id),
        TransactionStep::Within(id),
        TransactionStep::Commit(id),
        TransactionStep::Rollback(id),
    ];
    let positions = [None, Some(LogPosition::new(GroupTerm(3), u64::MAX))];
    for step in steps {
        for position in positions {
            let request = create_request(step, position);
            let text = serde_json::to_string(&request).unwrap();
            let arrived: StatementRequest = serde_json::from_str(&text).unwrap();
            assert_eq!(arrived, request);
        }
    }
    let reply = create_reply();
    let text = serde_json::to_string(&reply).unwrap();
    assert_eq!(
        serde_json::from_str::<StatementReply>(&text).unwrap(),
        reply
    );
}
