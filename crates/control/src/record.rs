//! The file that stores a node's durable state.
//!
//! The file is text. Each batch of writes that is synced at once is one record on its own line: the
//! length of the payload, its checksum and the checksum of these two, each as eight hexadecimal
//! digits, then the payload as JSON, then a line feed.
//!
//! A crash may tear the last record, because its sync was never confirmed: bytes are missing at the
//! end of the file, or blocks that were never written read as zeros. Such a tail is cut off. Any
//! other damage is corruption of synced bytes. If it were skipped, the node would forget a vote or
//! an entry on which others rely, and an operator would only notice that an accepted change is
//! gone. It is therefore reported with its offset, and the node must not start. Text contains no
//! zero byte, which distinguishes the two cases.

use crate::agreement::DiskWrite;
use crate::agreement::DurableState;
use crate::agreement::WriteMismatch;
use std::fmt;

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
    let payload = serde_json::to_string(writes).unwrap_or_default();
    let length = payload.len();
    let checksum = crc32fast::hash(payload.as_bytes());
    let numbers = format!("{length:08x} {checksum:08x} ");
    let header_checksum = crc32fast::hash(numbers.as_bytes());
    format!("{numbers}{header_checksum:08x} {payload}\n").into_bytes()
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
    let writes: Vec<DiskWrite> =
        serde_json::from_slice(payload).map_err(|error| RecordError::Unreadable {
            offset,
            reason: error.to_string(),
        })?;
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
