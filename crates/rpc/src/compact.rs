//! A compact form of long texts and values on their way between VMs.
//!
//! # The load it answers
//!
//! A whole configuration is some ten to a hundred kilobytes of JSON. It travels within a command,
//! within a message, within a call, and each of them escapes the quotes of the one inside, so that
//! one quote takes eight bytes. Operators change it 2,300 times a day, and a VM's link may carry
//! only 250 KB a second, which heartbeats share. After a loss of power each VM gets the whole
//! catalog with its first lease, and all of them at the same moment.
//!
//! # Grounds for its figures
//!
//! Short texts, such as heartbeats, stay as they are: below [`SHORT_TEXT`] the compressed form in
//! base64 is hardly shorter, and a reader of the wire can understand them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use std::borrow::Cow;
use std::fmt::Display;
use std::fmt::Formatter;
use std::io::Read;
use std::io::Write;

/// Texts below this size, in bytes, stay as they are.
const SHORT_TEXT: usize = 1_024;

/// The most that a compact text may expand to, in bytes: four batches of entries with the largest
/// configuration that is taken.
const LONGEST_TEXT: u64 = 64 * 1_024 * 1_024;

/// What a compact text begins with; no JSON text does.
const COMPACT_MARK: char = 'z';

/// Why a compact text could not be expanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpandError {
    /// It isn't base64.
    NotBase64,
    /// It isn't a compressed text.
    NotCompressed,
    /// It expands to more than any message may have.
    TooLong,
}

impl Display for ExpandError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotBase64 => "compact text is not base64",
            Self::NotCompressed => "compact text is not compressed text",
            Self::TooLong => "compact text expands to more than a message may have",
        })
    }
}

impl std::error::Error for ExpandError {}

/// Returns the compact form of a JSON text, or the text itself if that is shorter.
pub fn compact_text(text: String) -> String {
    if text.len() < SHORT_TEXT {
        return text;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder
        .write_all(text.as_bytes())
        .and_then(|()| encoder.finish());
    // Writing into memory doesn't fail; if it did, the text itself would do.
    let Ok(compressed) = compressed else {
        return text;
    };
    let mut compact = String::from(COMPACT_MARK);
    STANDARD_NO_PAD.encode_string(compressed, &mut compact);
    match compact.len() < text.len() {
        true => compact,
        false => text,
    }
}

/// Returns the text that [`compact_text`] was given.
///
/// # Errors
///
/// A text with the mark of the compact form that isn't one, or that is too long.
pub fn expand_text(text: &str) -> Result<Cow<'_, str>, ExpandError> {
    let Some(compact) = text.strip_prefix(COMPACT_MARK) else {
        return Ok(Cow::Borrowed(text));
    };
    let compressed = STANDARD_NO_PAD.decode(compact);
    let compressed = compressed.map_err(|_| ExpandError::NotBase64)?;
    let mut expanded = String::new();
    let mut decoder = DeflateDecoder::new(compressed.as_slice()).take(LONGEST_TEXT + 1);
    decoder
        .read_to_string(&mut expanded)
        .map_err(|_| ExpandError::NotCompressed)?;
    match expanded.len() as u64 > LONGEST_TEXT {
        true => Err(ExpandError::TooLong),
        false => Ok(Cow::Owned(expanded)),
    }
}

/// A value whose JSON text is sent in its compact form if it is long; it must not be any text itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompactJson<T>(
    /// The value.
    pub T,
);

impl<T: Serialize> Serialize for CompactJson<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let text = serde_json::to_string(&self.0).map_err(serde::ser::Error::custom)?;
        let compact = compact_text(text);
        match compact.starts_with(COMPACT_MARK) {
            true => compact.serialize(serializer),
            false => self.0.serialize(serializer),
        }
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum CompactForm<T> {
    /// It comes first: a value of an enum may be a text as well.
    Plain(T),
    Compact(String),
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for CompactJson<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match CompactForm::deserialize(deserializer)? {
            CompactForm::Plain(value) => Ok(Self(value)),
            CompactForm::Compact(text) => {
                let text = expand_text(&text).map_err(serde::de::Error::custom)?;
                let value = serde_json::from_str(&text);
                value.map(Self).map_err(serde::de::Error::custom)
            }
        }
    }
}
