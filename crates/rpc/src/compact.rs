//! Compressed encoding of long JSON texts and values between VMs.
//!
//! # Load
//!
//! A whole configuration is some ten to a hundred kilobytes of JSON. It is nested in a command, a
//! message and a call, each of which escapes the quotes of the inner one, so that one quote takes
//! eight bytes. Operators change the configuration 2,300 times a day, and a VM's link may carry
//! only 250 KB per second, which it shares with heartbeats. After a power failure, all VMs receive
//! the whole catalog at the same time, each with its first lease.
//!
//! # Format
//!
//! A compact text is a mark, then the base64 text of the deflated JSON. Texts shorter than
//! [`COMPRESSION_THRESHOLD_BYTES`], such as heartbeats, are not encoded: the compact form would
//! hardly be shorter, and they stay readable in a packet capture.

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

/// The size, in bytes, below which texts are sent unchanged.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;

/// The maximum expanded size of a compact text, in bytes: four batches of log entries with the
/// largest configuration that is accepted.
const MAX_EXPANDED_BYTES: u64 = 64 * 1_024 * 1_024;

/// The first character of a compact text; no JSON text begins with it.
const COMPACT_MARK: char = 'z';

/// An error that occurs when a compact text is expanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpandError {
    /// The text is not valid base64.
    NotBase64,
    /// The data is not a deflated text.
    NotCompressed,
    /// The expanded text exceeds the limit.
    TooLong,
}

impl Display for ExpandError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotBase64 => "compact text is not base64",
            Self::NotCompressed => "compact text can't be decompressed",
            Self::TooLong => "compact text expands beyond the maximum size",
        })
    }
}

impl std::error::Error for ExpandError {}

/// Returns the compact form of a JSON text, or the text itself if it is short or the compact form
/// would be no shorter.
pub fn compact_text(text: String) -> String {
    if text.len() < COMPRESSION_THRESHOLD_BYTES {
        return text;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder
        .write_all(text.as_bytes())
        .and_then(|()| encoder.finish());
    // Writing to memory can't fail; the unchanged text would be valid as well.
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

/// Returns the JSON text from which [`compact_text`] created `text`.
///
/// # Errors
///
/// Returns an error if the text has the mark of the compact form but is not valid, or if it expands
/// to more than the limit.
pub fn expand_text(text: &str) -> Result<Cow<'_, str>, ExpandError> {
    let Some(compact) = text.strip_prefix(COMPACT_MARK) else {
        return Ok(Cow::Borrowed(text));
    };
    let compressed = STANDARD_NO_PAD.decode(compact);
    let compressed = compressed.map_err(|_| ExpandError::NotBase64)?;
    let mut expanded = String::new();
    let mut decoder = DeflateDecoder::new(compressed.as_slice()).take(MAX_EXPANDED_BYTES + 1);
    decoder
        .read_to_string(&mut expanded)
        .map_err(|_| ExpandError::NotCompressed)?;
    match expanded.len() as u64 > MAX_EXPANDED_BYTES {
        true => Err(ExpandError::TooLong),
        false => Ok(Cow::Owned(expanded)),
    }
}

/// A value that is serialized in the compact form if its JSON text is long. `T` must not accept
/// arbitrary strings, which could not be distinguished from the compact form.
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
    /// Tried first, because a unit variant of an enum is serialized as a string too.
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
