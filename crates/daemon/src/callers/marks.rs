//! Request marks: attributes of one statement, given by the caller in an SQL comment.
//!
//! The syntax is that of sqlcommenter: `/*kind='grant',deadline_ms='500'*/` before or after the
//! statement. A comment that contains at least one mark's name is parsed as marks, and any fault in
//! it is an error. If faulty marks were ignored, the request would run under other terms than its
//! caller meant: a write without its request key, for example, could be applied twice unnoticed.

use crate::callers::StatementScan;
use ragwort_types::KindName;
use ragwort_types::MAX_DEADLINE_MS;
use ragwort_types::RequestKey;
use ragwort_types::RequestMarks;
use std::fmt;
use uuid::Uuid;

/// The names of all marks.
const MARK_NAMES: [&str; 5] = ["kind", "key", "deadline_ms", "urgent", "max_age_ms"];

/// The names that sqlcommenter's libraries write. They are ignored beside marks.
const SQLCOMMENTER_NAMES: [&str; 8] = [
    "traceparent",
    "tracestate",
    "action",
    "application",
    "controller",
    "db_driver",
    "framework",
    "route",
];

/// A fault in a request's marks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkFault {
    /// The comment isn't a list of `name='value'` pairs; contains the text from the fault on.
    Syntax(String),
    /// A name that is neither a mark's nor one of sqlcommenter's.
    Unknown(String),
    /// A mark that is given more than once.
    Duplicate(&'static str),
    /// An invalid value; contains the mark's name and a description of valid values.
    InvalidValue(&'static str, &'static str),
    /// Marks in a comment within the statement, where they are not allowed.
    Misplaced,
}

impl fmt::Display for MarkFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(found) => write!(
                formatter,
                "request marks: expected name='value' pairs, found `{found}`"
            ),
            Self::Unknown(name) => write!(
                formatter,
                "request marks: unknown mark `{name}`, expected one of {}",
                MARK_NAMES.join(", ")
            ),
            Self::Duplicate(name) => write!(formatter, "request marks: {name} is given twice"),
            Self::InvalidValue(name, expected) => {
                write!(formatter, "request marks: {name}: expected {expected}")
            }
            Self::Misplaced => formatter
                .write_str("request marks: expected before or after the statement, not within"),
        }
    }
}

/// Parses the marks in a statement's comments.
///
/// # Examples
///
/// ```
/// use ragwortgated::callers::StatementScan;
/// use ragwortgated::callers::read_marks;
///
/// let scan = StatementScan::new("select 1 /*max_age_ms='250'*/");
/// assert_eq!(read_marks(&scan).unwrap().max_age_ms, Some(250));
///
/// let scan = StatementScan::new("select 1 /*max_age_ms='soon'*/");
/// assert!(read_marks(&scan).is_err());
/// ```
///
/// # Errors
///
/// Returns the first fault in a comment that names a mark.
pub fn read_marks(scan: &StatementScan<'_>) -> Result<RequestMarks, MarkFault> {
    if scan.inner.iter().any(|comment| contains_mark(comment)) {
        return Err(MarkFault::Misplaced);
    }
    let mut marks = RequestMarks::default();
    for comment in scan.leading.iter().chain(&scan.trailing) {
        if contains_mark(comment) {
            read_comment(comment, &mut marks)?;
        }
    }
    Ok(marks)
}

/// Returns whether a comment has a pair that starts with a mark's name and an equals sign.
fn contains_mark(comment: &str) -> bool {
    comment.split(',').any(|pair| {
        let name = pair.split_once('=').map(|(name, _)| name.trim());
        name.is_some_and(|name| MARK_NAMES.contains(&name))
    })
}

fn read_comment(comment: &str, marks: &mut RequestMarks) -> Result<(), MarkFault> {
    let mut rest = comment.trim();
    loop {
        let (name, after) = split_name(rest)?;
        let (value, after) = split_value(after)?;
        set_mark(name, &value, marks)?;
        rest = after.trim_start();
        if rest.is_empty() {
            return Ok(());
        }
        rest = rest
            .strip_prefix(',')
            .ok_or_else(|| MarkFault::Syntax(rest.to_owned()))?
            .trim_start();
    }
}

fn split_name(text: &str) -> Result<(&str, &str), MarkFault> {
    let fault = || MarkFault::Syntax(text.to_owned());
    let (name, after) = text.split_once('=').ok_or_else(fault)?;
    let name = name.trim();
    let plain = |letter: char| letter.is_ascii_alphanumeric() || letter == '_';
    if name.is_empty() || !name.chars().all(plain) {
        return Err(fault());
    }
    Ok((name, after.trim_start()))
}

/// Splits off a quoted value. `%41` decodes to one byte, and a backslash escapes the next one.
fn split_value(text: &str) -> Result<(String, &str), MarkFault> {
    let fault = || MarkFault::Syntax(text.to_owned());
    let body = text.strip_prefix('\'').ok_or_else(fault)?;
    let bytes = body.as_bytes();
    let mut value = Vec::new();
    let mut position = 0;
    loop {
        match &bytes[position..] {
            [] => return Err(fault()),
            [b'\'', ..] => break,
            [b'\\', next, ..] => {
                value.push(*next);
                position += 2;
            }
            [b'%', high, low, ..] => {
                value.push(decode_hex(*high, *low).ok_or_else(fault)?);
                position += 3;
            }
            [byte, ..] => {
                value.push(*byte);
                position += 1;
            }
        }
    }
    let value = String::from_utf8(value).map_err(|_| fault())?;
    Ok((value, &body[position + 1..]))
}

fn decode_hex(high: u8, low: u8) -> Option<u8> {
    let high = char::from(high).to_digit(16)?;
    let low = char::from(low).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}

fn set_mark(name: &str, value: &str, marks: &mut RequestMarks) -> Result<(), MarkFault> {
    match name {
        "kind" => set_once(&mut marks.kind, "kind", read_kind(value)?),
        "key" => set_once(&mut marks.key, "key", read_key(value)?),
        "deadline_ms" => {
            let deadline = read_number(value, 1..=MAX_DEADLINE_MS).ok_or(
                MarkFault::InvalidValue("deadline_ms", "a number from 1 to 600000"),
            )?;
            set_once(&mut marks.deadline_ms, "deadline_ms", deadline)
        }
        "urgent" => set_once(&mut marks.urgent, "urgent", read_flag(value)?),
        "max_age_ms" => {
            let age = read_number(value, 0..=u64::MAX)
                .ok_or(MarkFault::InvalidValue("max_age_ms", "a whole number"))?;
            set_once(&mut marks.max_age_ms, "max_age_ms", age)
        }
        other if SQLCOMMENTER_NAMES.contains(&other) => Ok(()),
        other => Err(MarkFault::Unknown(other.to_owned())),
    }
}

fn set_once<T>(slot: &mut Option<T>, name: &'static str, value: T) -> Result<(), MarkFault> {
    if slot.replace(value).is_some() {
        return Err(MarkFault::Duplicate(name));
    }
    Ok(())
}

fn read_kind(value: &str) -> Result<KindName, MarkFault> {
    if value.is_empty() {
        return Err(MarkFault::InvalidValue("kind", "a kind of the contract"));
    }
    Ok(KindName::from(value))
}

fn read_key(value: &str) -> Result<RequestKey, MarkFault> {
    let fault = MarkFault::InvalidValue("key", "a UUID of version 7");
    let key = Uuid::parse_str(value)
        .map(RequestKey)
        .map_err(|_| fault.clone())?;
    // The key's age must be readable from it (UUID version 7). Otherwise a retry that arrives after
    // the key was forgotten would run the request again.
    key.to_unix_millis().map(|_| key).ok_or(fault)
}

fn read_number(value: &str, range: std::ops::RangeInclusive<u64>) -> Option<u64> {
    let number = value.parse().ok()?;
    range.contains(&number).then_some(number)
}

fn read_flag(value: &str) -> Result<bool, MarkFault> {
    match value {
        "1" | "true" => Ok(true),
        "0" | "false" => Ok(false),
        _ => Err(MarkFault::InvalidValue("urgent", "1 or 0")),
    }
}
