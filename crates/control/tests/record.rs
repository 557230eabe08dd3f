//! Tests of the record file: a tail that a crash may leave is cut off, any other damage is
//! reported.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::RecordError;
use ragwort_control::agreement::DiskWrite;
use ragwort_control::agreement::DurableState;
use ragwort_control::agreement::ElectionTerm;
use ragwort_control::agreement::EntryMark;
use ragwort_control::agreement::EntryPayload;
use ragwort_control::agreement::HardState;
use ragwort_control::agreement::LogEntry;
use ragwort_control::agreement::LogIndex;
use ragwort_control::agreement::SnapshotData;
use ragwort_control::agreement::VoterConfiguration;
use ragwort_control::agreement::VoterId;
use ragwort_control::agreement::WriteMismatch;
use ragwort_control::encode_record;
use ragwort_types::VmIncarnation;

fn entry(term: u64, index: u64, data: &str) -> DiskWrite {
    DiskWrite::Entry(LogEntry {
        mark: EntryMark::new(ElectionTerm(term), LogIndex(index)),
        payload: EntryPayload::Data(data.to_owned()),
    })
}

fn identity() -> VoterId {
    VoterId::new("vm-1".into(), VmIncarnation(4))
}

fn snapshot(term: u64, index: u64) -> DiskWrite {
    DiskWrite::Snapshot(Box::new(SnapshotData {
        mark: EntryMark::new(ElectionTerm(term), LogIndex(index)),
        configuration: VoterConfiguration::form([identity()]),
        data: "state".to_owned(),
    }))
}

/// Batches of writes as a node makes them, each of which becomes one record.
fn batches() -> Vec<Vec<DiskWrite>> {
    let hard = HardState {
        term: ElectionTerm(2),
        vote: Some(identity()),
    };
    vec![
        vec![DiskWrite::Identity(identity())],
        vec![DiskWrite::HardState(hard)],
        vec![entry(1, 1, "first\nline"), entry(1, 2, "second")],
        vec![entry(2, 2, "another"), entry(2, 3, "third \u{0} byte")],
        vec![snapshot(2, 2), entry(2, 4, "fourth")],
    ]
}

fn records() -> Vec<Vec<u8>> {
    batches().iter().map(|batch| encode_record(batch)).collect()
}

fn describe(state: &DurableState) -> Vec<DiskWrite> {
    state.to_writes()
}

/// Returns the state before the first record and after each record.
fn states() -> Vec<Vec<DiskWrite>> {
    let mut state = DurableState::default();
    let mut states = vec![describe(&state)];
    for batch in batches() {
        for write in batch {
            state.apply(write).expect("the batches are consecutive");
        }
        states.push(describe(&state));
    }
    states
}

#[test]
fn whole_file() {
    let file = records().concat();
    let restored = DurableState::from_records(&file).expect("the file is whole");
    assert_eq!(restored.valid_length, file.len());
    assert_eq!(Some(&describe(&restored.state)), states().last());
    assert_eq!(restored.state.id(), Some(&identity()));
    assert_eq!(restored.state.entries().len(), 2);
}

#[test]
fn rewritten_file() {
    let file = records().concat();
    let restored = DurableState::from_records(&file).expect("the file is whole");
    let rewritten = restored.state.to_records();
    let again = DurableState::from_records(&rewritten).expect("the new file is whole");
    assert_eq!(describe(&again.state), describe(&restored.state));
}

/// A process is killed at any byte while it appends a record. The record was never acknowledged, so
/// the restored state is that of the records before it.
#[test]
fn torn_tail() {
    let records = records();
    let states = states();
    for (count, record) in records.iter().enumerate() {
        let whole = records[..count].concat();
        for length in 0..record.len() {
            let missing = [whole.as_slice(), &record[..length]].concat();
            let mut zeroed = missing.clone();
            zeroed.resize(whole.len() + record.len(), 0);
            for file in [missing, zeroed] {
                let restored = DurableState::from_records(&file).expect("a torn tail is cut");
                assert_eq!(restored.valid_length, whole.len());
                assert_eq!(describe(&restored.state), states[count]);
            }
        }
    }
}

/// A bit of the file changes after it was synced. A node that skipped the damage would forget a
/// vote or an entry on which others rely, so the damage is reported with its offset.
#[test]
fn changed_bit() {
    let records = records();
    let file = records.concat();
    let mut starts = vec![0];
    for record in &records {
        starts.push(starts[starts.len() - 1] + record.len());
    }
    for position in 0..file.len() {
        for bit in 0..8 {
            let mut changed = file.clone();
            changed[position] ^= 1 << bit;
            if changed[position] == 0 {
                continue;
            }
            let start = starts.iter().rev().find(|start| **start <= position);
            let offset = *start.expect("the file starts at zero");
            let error = DurableState::from_records(&changed).expect_err("damage is reported");
            assert_eq!(
                error,
                RecordError::Corrupt { offset },
                "byte {position} bit {bit}"
            );
        }
    }
}

/// A block in the middle of the file reads as zeros. It isn't a torn tail, because a record that
/// was synced later follows.
#[test]
fn zeroed_block() {
    let records = records();
    for count in 0..records.len() - 1 {
        let start = records[..count].concat().len();
        let mut file = records.concat();
        file[start..start + records[count].len() - 1].fill(0);
        let error = DurableState::from_records(&file).expect_err("damage is reported");
        assert_eq!(error, RecordError::Corrupt { offset: start });
    }
}

/// A record is intact, but the one before it is missing, for instance in a file assembled from two
/// copies. The entries aren't consecutive, which is reported with the offset.
#[test]
fn missing_record() {
    let records = records();
    let file = [records[0].as_slice(), &records[3]].concat();
    let error = DurableState::from_records(&file).expect_err("a gap is reported");
    let expected = RecordError::Mismatch {
        offset: records[0].len(),
        mismatch: WriteMismatch::EntryGap,
    };
    assert_eq!(error, expected);
}

#[test]
fn other_version() {
    let text = "[{\"Unknown\":1}]";
    let file = encode_record(&[]);
    let template = String::from_utf8(file).expect("records are text");
    assert!(template.ends_with(" []\n"));
    let numbers = format!(
        "{:08x} {:08x} ",
        text.len(),
        crc32fast::hash(text.as_bytes())
    );
    let checksum = crc32fast::hash(numbers.as_bytes());
    let file = format!("{numbers}{checksum:08x} {text}\n");
    let error = DurableState::from_records(file.as_bytes()).expect_err("it can't be read");
    assert!(matches!(error, RecordError::Unreadable { offset: 0, .. }));
}

/// Reading a file with arbitrary bytes returns a result and never panics.
#[test]
fn any_bytes() {
    for seed in 0..500 {
        let mut source = Gen::from_size_and_seed(200, seed);
        let mut file = records().concat();
        file.truncate(usize::arbitrary(&mut source) % (file.len() + 1));
        file.extend(Vec::<u8>::arbitrary(&mut source));
        if let Ok(restored) = DurableState::from_records(&file) {
            assert!(restored.valid_length <= file.len());
        }
    }
}

/// A catalog of megabytes is compacted. If its JSON were escaped within the record's JSON, writing
/// the record would keep a control VM from its heartbeats for longer.
#[test]
fn snapshot_text_is_not_escaped() {
    let text = format!("[{}]", vec![r#""a \"quoted\" text""#; 1_000].join(","));
    let mut write = snapshot(2, 2);
    let DiskWrite::Snapshot(stored) = &mut write else {
        unreachable!("it is a snapshot");
    };
    stored.data.clone_from(&text);
    let record = encode_record(std::slice::from_ref(&write));
    assert!(
        record.len() < text.len() + 500,
        "{} bytes for {}",
        record.len(),
        text.len()
    );
    let restored = DurableState::from_records(&record).expect("the file is whole");
    assert_eq!(describe(&restored.state), [write]);
}

/// A VM starts from a file of an earlier version, whose snapshots were escaped within the JSON. If
/// it couldn't read the file, it would not start.
#[test]
fn file_of_an_earlier_version() {
    let mut file = Vec::new();
    for batch in batches() {
        let text = serde_json::to_string(&batch).expect("writes have text keys");
        let checksum = crc32fast::hash(text.as_bytes());
        let numbers = format!("{:08x} {checksum:08x} ", text.len());
        let checksum = crc32fast::hash(numbers.as_bytes());
        file.extend(format!("{numbers}{checksum:08x} {text}\n").into_bytes());
    }
    let restored = DurableState::from_records(&file).expect("the file is whole");
    assert_eq!(restored.valid_length, file.len());
    assert_eq!(Some(&describe(&restored.state)), states().last());
}

/// A snapshot's text contains line feeds and zero bytes. Stored as they are, they would be taken for
/// the end of a record and for a torn one.
#[test]
fn snapshot_text_with_control_characters() {
    let mut write = snapshot(2, 2);
    let DiskWrite::Snapshot(stored) = &mut write else {
        unreachable!("it is a snapshot");
    };
    stored.data = "two\nlines and a \u{0} byte".to_owned();
    let record = encode_record(std::slice::from_ref(&write));
    assert!(!record[..record.len() - 1].contains(&b'\n'));
    assert!(!record.contains(&0));
    let restored = DurableState::from_records(&record).expect("the file is whole");
    assert_eq!(describe(&restored.state), [write]);
}
