//! The file that stores a node's durable state.
//!
//! The file is text. Each batch of writes that is synced at once is one record on its own line: the
//! length of the payload, its checksum and the checksum of these two, each as eight hexadecimal
//! digits, then the payload, then a line feed. The payload is the writes as JSON, then the texts of
//! their snapshots as they are: a snapshot is JSON itself, and escaping megabytes of it takes longer
//! than writing them. Records of earlier versions hold the texts within the JSON, and are read too.
//!
//! A crash may tear the last record, because its sync was never confirmed: bytes are missing at the
//! end of the file, or blocks that were never written read as zeros. Such a tail is cut off. Any
//! other damage is corruption of synced bytes. If it were skipped, the node would forget a vote or
//! an entry on which others rely, and an operator would only notice that an accepted change is
//! gone. It is therefore reported with its offset, and the node must not start. Text contains no
//! zero byte, which distinguishes the two cases.

use crate::agreement::DiskWrite;
use crate::agreement::DurableState;
use crate::agreement::EntryMark;
use crate::agreement::HardState;
use crate::agreement::LogEntry;
use crate::agreement::SnapshotData;
use crate::agreement::VoterConfiguration;
use crate::agreement::VoterId;
use crate::agreement::WriteMismatch;
use serde::Deserialize;
use serde::Serialize;
use std::borrow::Cow;
use std::fmt;
use std::io::Write;

/// Hexadecimal digits of one number in a record's header.
const NUMBER_DIGITS: usize = 8;
/// Length of a record's header in bytes: three numbers, each followed by a space.
const HEADER_LENGTH: usize = 3 * (NUMBER_DIGITS + 1);

/// A state restored from records.
///
/// The caller must sync the file once before it starts a node from this state. A process that ended
/// between a write and its sync leaves a record that reads back completely but may not be on disk
/// yet. A vote or acknowledgement that relies on it would be forgotten if the VM failed next.
#[derive(Clone, Debug)]
pub struct RestoredState {
    /// The state.
    pub state: DurableState,
    /// The length of the valid records in bytes. What follows is a torn tail, which must be cut off
    /// before the next record is appended.
    pub valid_length: usize,
}

/// An error in a record file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// Bytes that had been synced have changed.
    Corrupt {
        /// Offset of the damaged record, in bytes from the start of the file.
        offset: usize,
    },
    /// A record is intact but contains no writes of this version.
    Unreadable {
        /// Offset of the record, in bytes from the start of the file.
        offset: usize,
        /// The decoder's message.
        reason: String,
    },
    /// A record is intact but doesn't continue the records before it.
    Mismatch {
        /// Offset of the record, in bytes from the start of the file.
        offset: usize,
        /// The rule that the record violates.
        mismatch: WriteMismatch,
    },
}

impl fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt { offset } => write!(formatter, "corrupt record at byte {offset}"),
            Self::Unreadable { offset, reason } => {
                write!(formatter, "unreadable record at byte {offset}: {reason}")
            }
            Self::Mismatch { offset, mismatch } => {
                write!(formatter, "record at byte {offset} doesn't fit: {mismatch}")
            }
        }
    }
}

impl std::error::Error for RecordError {}

/// Encodes writes that are synced at once as one record.
///
/// # Examples
///
/// ```
/// use ragwort_control::DiskWrite;
/// use ragwort_control::DurableState;
/// use ragwort_control::HardState;
/// use ragwort_control::encode_record;
///
/// let mut file = encode_record(&[DiskWrite::HardState(HardState::default())]);
/// let whole = file.len();
/// file.extend_from_slice(b"0000");
/// let restored = DurableState::from_records(&file)?;
/// assert_eq!(restored.valid_length, whole);
/// # Ok::<(), ragwort_control::RecordError>(())
/// ```
pub fn encode_record(writes: &[DiskWrite]) -> Vec<u8> {
    let mut record = vec![b' '; HEADER_LENGTH];
    let stored: Vec<StoredWrite<'_>> = writes.iter().map(StoredWrite::from).collect();
    serde_json::to_writer(&mut record, &stored).expect("writes have text keys only");
    for write in writes {
        if let DiskWrite::Snapshot(snapshot) = write
            && is_plain(&snapshot.data)
        {
            record.extend_from_slice(snapshot.data.as_bytes());
        }
    }
    let payload = &record[HEADER_LENGTH..];
    let numbers = format!("{:08x} {:08x} ", payload.len(), crc32fast::hash(payload));
    let header_checksum = crc32fast::hash(numbers.as_bytes());
    write!(
        &mut record[..HEADER_LENGTH],
        "{numbers}{header_checksum:08x} "
    )
    .expect("the header has a fixed length");
    record.push(b'\n');
    record
}

/// Returns whether a text can be stored as it is: zero bytes mark a torn record, and line feeds
/// separate records.
fn is_plain(text: &str) -> bool {
    // Without an early end, the loop is vectorized.
    text.bytes()
        .fold(true, |plain, byte| plain & (byte >= b' '))
}

/// The stored form of a [`DiskWrite`].
#[derive(Serialize, Deserialize)]
enum StoredWrite<'a> {
    Identity(Cow<'a, VoterId>),
    HardState(Cow<'a, HardState>),
    Entry(Cow<'a, LogEntry>),
    /// A snapshot with its text.
    Snapshot(Cow<'a, SnapshotData>),
    /// A snapshot whose text follows the JSON.
    SnapshotHead(SnapshotHead<'a>),
}

#[derive(Serialize, Deserialize)]
struct SnapshotHead<'a> {
    mark: EntryMark,
    configuration: Cow<'a, VoterConfiguration>,
    /// The length of the text, in bytes.
    length: usize,
}

impl<'a> From<&'a DiskWrite> for StoredWrite<'a> {
    fn from(write: &'a DiskWrite) -> Self {
        match write {
            DiskWrite::Identity(id) => Self::Identity(Cow::Borrowed(id)),
            DiskWrite::HardState(hard_state) => Self::HardState(Cow::Borrowed(hard_state)),
            DiskWrite::Entry(entry) => Self::Entry(Cow::Borrowed(entry)),
            DiskWrite::Snapshot(snapshot) if is_plain(&snapshot.data) => {
                Self::SnapshotHead(SnapshotHead {
                    mark: snapshot.mark,
                    configuration: Cow::Borrowed(&snapshot.configuration),
                    length: snapshot.data.len(),
                })
            }
            DiskWrite::Snapshot(snapshot) => Self::Snapshot(Cow::Borrowed(snapshot)),
        }
    }
}

impl StoredWrite<'_> {
    /// Returns the write, and removes its text from the start of `texts`; `None` if that is
    /// incomplete.
    fn into_write(self, texts: &mut &str) -> Option<DiskWrite> {
        Some(match self {
            Self::Identity(id) => DiskWrite::Identity(id.into_owned()),
            Self::HardState(hard_state) => DiskWrite::HardState(hard_state.into_owned()),
            Self::Entry(entry) => DiskWrite::Entry(entry.into_owned()),
            Self::Snapshot(snapshot) => DiskWrite::Snapshot(Box::new(snapshot.into_owned())),
            Self::SnapshotHead(head) => {
                let (text, rest) = texts.split_at_checked(head.length)?;
                *texts = rest;
                DiskWrite::Snapshot(Box::new(SnapshotData {
                    mark: head.mark,
                    configuration: head.configuration.into_owned(),
                    data: text.to_owned(),
                }))
            }
        })
    }
}

/// Decodes the writes of a record's payload.
fn decode_payload(payload: &[u8]) -> Result<Vec<DiskWrite>, String> {
    let mut values = serde_json::Deserializer::from_slice(payload).into_iter();
    let stored: Option<Result<Vec<StoredWrite<'_>>, _>> = values.next();
    let stored = stored.ok_or("no writes")?;
    let stored = stored.map_err(|error| error.to_string())?;
    let texts = &payload[values.byte_offset()..];
    let mut texts = std::str::from_utf8(texts).map_err(|error| error.to_string())?;
    let writes = stored.into_iter().map(|write| write.into_write(&mut texts));
    let writes = writes.collect::<Option<Vec<_>>>();
    match (writes, texts) {
        (Some(writes), "") => Ok(writes),
        _ => Err("the snapshots' texts have other lengths".to_owned()),
    }
}

impl DurableState {
    /// Restores a state from the records of a file.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] with the byte offset if bytes before a torn tail are damaged.
    pub fn from_records(bytes: &[u8]) -> Result<RestoredState, RecordError> {
        let mut state = Self::default();
        let mut offset = 0;
        while offset < bytes.len() {
            let payload = match read_record(&bytes[offset..]) {
                RecordRead::Whole(payload) => payload,
                RecordRead::Torn if !has_record_after(bytes, offset) => break,
                RecordRead::Torn | RecordRead::Corrupt => {
                    return Err(RecordError::Corrupt { offset });
                }
            };
            apply_payload(&mut state, payload, offset)?;
            offset += HEADER_LENGTH + payload.len() + 1;
        }
        Ok(RestoredState {
            state,
            valid_length: offset,
        })
    }

    /// Encodes the whole state as one record, to replace a file that has grown too long.
    pub fn to_records(&self) -> Vec<u8> {
        encode_record(&self.to_writes())
    }
}

fn apply_payload(
    state: &mut DurableState,
    payload: &[u8],
    offset: usize,
) -> Result<(), RecordError> {
    let writes = decode_payload(payload);
    let writes = writes.map_err(|reason| RecordError::Unreadable { offset, reason })?;
    for write in writes {
        state
            .apply(write)
            .map_err(|mismatch| RecordError::Mismatch { offset, mismatch })?;
    }
    Ok(())
}

/// The result of reading one record.
enum RecordRead<'a> {
    /// An intact record with this payload.
    Whole(&'a [u8]),
    /// Bytes that a crash may have left behind.
    Torn,
    /// Bytes that no crash can leave behind.
    Corrupt,
}

fn read_record(bytes: &[u8]) -> RecordRead<'_> {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_LENGTH) else {
        return RecordRead::Torn;
    };
    let Some(header) = RecordHeader::parse(header) else {
        return classify_damage(bytes);
    };
    let Some((payload, end)) = rest.split_at_checked(header.length) else {
        return RecordRead::Torn;
    };
    match end.first() {
        None => return RecordRead::Torn,
        Some(b'\n') if crc32fast::hash(payload) == header.checksum => {}
        Some(_) => return classify_damage(&bytes[..HEADER_LENGTH + header.length + 1]),
    }
    RecordRead::Whole(payload)
}

fn classify_damage(bytes: &[u8]) -> RecordRead<'static> {
    if bytes.contains(&0) {
        RecordRead::Torn
    } else {
        RecordRead::Corrupt
    }
}

fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    let line_ends = bytes[offset..].iter().enumerate();
    let mut starts = line_ends
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(position, _)| offset + position + 1);
    starts.any(|start| matches!(read_record(&bytes[start..]), RecordRead::Whole(_)))
}

struct RecordHeader {
    length: usize,
    checksum: u32,
}

impl RecordHeader {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let (numbers, last) = bytes.split_at_checked(2 * (NUMBER_DIGITS + 1))?;
        if crc32fast::hash(numbers) != parse_number(last)? {
            return None;
        }
        let (length, checksum) = numbers.split_at_checked(NUMBER_DIGITS + 1)?;
        Some(Self {
            length: usize::try_from(parse_number(length)?).ok()?,
            checksum: parse_number(checksum)?,
        })
    }
}

fn parse_number(bytes: &[u8]) -> Option<u32> {
    let (digits, end) = bytes.split_at_checked(NUMBER_DIGITS)?;
    if end != b" " {
        return None;
    }
    let text = std::str::from_utf8(digits).ok()?;
    // A header's checksum covers its other numbers but not itself, so its own digits must be
    // exactly those that were written.
    let number = u32::from_str_radix(text, 16).ok()?;
    (format!("{number:08x}") == text).then_some(number)
}
