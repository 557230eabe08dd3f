//! Tests of the statement frames between VMs, with split, corrupted and random input.

use bytes::BufMut;
use bytes::BytesMut;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use ragwort_rpc::FrameCodec;
use ragwort_rpc::FrameError;
use ragwort_rpc::StatementFrame;
use ragwort_types::AccessMode;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
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
use ragwort_types::TransactionId;
use ragwort_types::TransactionMode;
use ragwort_types::TransactionStep;

fn request(text: String, step: TransactionStep) -> StatementRequest {
    StatementRequest {
        id: StatementId::fresh(),
        customer: "omuti".into(),
        session: "s-1".into(),
        group: "cases".into(),
        marks: RequestMarks::default(),
        text,
        parameters: None,
        step,
        spent_ms: 3,
        waited_ms: 0,
        account: None,
        proof: None,
        context: Some(Box::new(SessionContext {
            caller_id: "5c0e7a21d94b36f8".into(),
            act: StatementOperation::Text(AccessMode::Write),
            opens: Some(TransactionMode::ReadWrite),
            values: SessionValues::from([("zone".into(), "north".into())]),
            last_write: Some(LogPosition::new(GroupTerm(3), 1_207)),
        })),
    }
}

fn reply(verdict: RequestVerdict) -> StatementReply {
    StatementReply {
        id: StatementId::fresh(),
        verdict,
        served_by: Some(ServedBy {
            instance: InstanceName::from("i-7f3a91c2"),
            replica: true,
            position: LogPosition::new(GroupTerm(3), 1_209),
        }),
    }
}

fn rows(letters: usize) -> RequestVerdict {
    let row: String = (0..letters)
        .map(|at| char::from(b'a' + (at * at % 26) as u8))
        .collect();
    RequestVerdict::Ran(StatementAnswer::Tagged(TaggedRows {
        rows: vec![row],
        tag: "7.1f3.c.2b.90e1c4d2a7b3f655".into(),
    }))
}

fn samples() -> Vec<StatementFrame> {
    let transaction = TransactionId::fresh();
    vec![
        StatementFrame::Execute(1, request("READ 1a4".into(), TransactionStep::Single)),
        StatementFrame::Execute(
            2,
            request("x".repeat(3_000), TransactionStep::Begin(transaction)),
        ),
        StatementFrame::Relay(
            3,
            request("COMMIT".into(), TransactionStep::Commit(transaction)),
        ),
        StatementFrame::Reply(4, reply(rows(0))),
        StatementFrame::Reply(5, reply(rows(900))),
        StatementFrame::Reply(6, reply(RequestVerdict::refused(RefusalCause::NoLease, 40))),
        StatementFrame::Lost(u64::MAX),
        StatementFrame::Ping,
        StatementFrame::Pong,
    ]
}

fn write_all(frames: &[StatementFrame]) -> BytesMut {
    let mut codec = FrameCodec::new().unwrap();
    let mut buffer = BytesMut::new();
    for frame in frames {
        codec.encode(frame, &mut buffer).unwrap();
    }
    buffer
}

fn read_all(codec: &mut FrameCodec, buffer: &mut BytesMut) -> Vec<StatementFrame> {
    let mut frames = Vec::new();
    while let Some(frame) = codec.decode(buffer).unwrap() {
        frames.push(frame);
    }
    frames
}

#[test]
fn every_frame_is_read_as_written() {
    let frames = samples();
    let mut buffer = write_all(&frames);
    assert_eq!(
        read_all(&mut FrameCodec::new().unwrap(), &mut buffer),
        frames
    );
}

/// Bytes arrive in chunks of any size. A frame that is decoded too early, or lost at a chunk
/// boundary, would leave a caller without its reply.
#[test]
fn frames_split_at_any_point_are_decoded() {
    let frames = samples();
    let whole = write_all(&frames);
    for piece in 1..whole.len().min(80) {
        let mut codec = FrameCodec::new().unwrap();
        let mut buffer = BytesMut::new();
        let mut read = Vec::new();
        for bytes in whole.chunks(piece) {
            buffer.put_slice(bytes);
            read.extend(read_all(&mut codec, &mut buffer));
        }
        assert_eq!(read, frames, "pieces of {piece}");
    }
}

/// Traffic between failure domains is billed by the byte, so rows of text must be compressed to
/// less than two thirds.
#[test]
fn rows_of_letters_take_two_thirds() {
    let row = StatementFrame::Reply(7, reply(rows(800)));
    let text = serde_json::to_string(&row).unwrap();
    assert!(write_all(&[row]).len() * 3 < text.len() * 2);
}

/// Another program, or a faulty one, may send arbitrary bytes. The codec must report an error
/// without panicking or allocating unbounded memory.
#[test]
fn random_bytes_do_not_panic() {
    fn any_bytes(bytes: Vec<u8>) -> bool {
        let mut codec = FrameCodec::new().unwrap();
        let mut buffer = BytesMut::from(bytes.as_slice());
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 20_261_203))
        .tests(5_000)
        .quickcheck(any_bytes as fn(Vec<u8>) -> bool);
}

/// A length above the maximum means that the stream is corrupted. Waiting for that many bytes would
/// block the link's callers until their deadlines.
#[test]
fn impossible_lengths_are_refused() {
    let mut buffer = BytesMut::from(&[0xff, 0xff, 0xff, 0xff, 0][..]);
    let read = FrameCodec::new().unwrap().decode(&mut buffer);
    assert_eq!(read, Err(FrameError::TooLong));
    let mut unknown = BytesMut::from(&[0, 0, 0, 2, 9, 0][..]);
    let read = FrameCodec::new().unwrap().decode(&mut unknown);
    assert_eq!(read, Err(FrameError::Malformed));
}
