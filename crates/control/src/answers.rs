//! A compact, permanent table of the answers given to contract changes.
//!
//! A resend gets the first answer however late it comes, so answers are never removed. At 2,300
//! changes a day, full answers would outgrow a control VM's memory. A record takes [`RECORD_BYTES`]
//! because ids and contents are kept as digests only. The probability that two different ids share
//! a digest within two years is one in ten million; the later change is then refused as if its id
//! had been used before, and its operator sends it under another id.

use crate::digest::digest_bytes;
use crate::digest::mix_bits;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractVersion;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::ser::SerializeSeq;
use std::collections::BTreeMap;

/// Size of a record in bytes, in memory and before its text encoding.
const RECORD_BYTES: usize = 24;

/// Maximum number of records that wait to be merged into the sorted part: two days of changes.
const MAX_RECENT_RECORDS: usize = 4_096;

/// Records per chunk of the text form, which avoids a second copy of the whole table.
const RECORDS_PER_CHUNK: usize = 1_024;

/// The answer to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeAnswer {
    /// The change was accepted under this version, at this revision.
    Accepted(ContractVersion, CatalogRevision),
    /// The change lost to the contract of this version.
    Conflict(ContractVersion),
    /// The customer had no contract.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnswerRecord {
    id_digest: u64,
    /// Zero if the change wasn't accepted.
    revision: u64,
    content_digest: u32,
    /// Zero if the customer was unknown.
    version: u32,
}

/// Answers by change id.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTable {
    /// Most of the records, sorted by the digest of the id.
    sorted: Vec<AnswerRecord>,
    recent: BTreeMap<u64, AnswerRecord>,
}

/// The result of a search for a change's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FoundAnswer {
    /// The id was used with the same content.
    Same(ChangeAnswer),
    /// The id was used with other content.
    OtherContent,
}

impl AnswerTable {
    pub(crate) fn len(&self) -> usize {
        self.sorted.len() + self.recent.len()
    }

    pub(crate) fn find(&self, id: ChangeId, content: &str) -> Option<FoundAnswer> {
        let id_digest = digest_id(id);
        let sorted = self
            .sorted
            .binary_search_by_key(&id_digest, |record| record.id_digest);
        let record = match sorted {
            Ok(index) => self.sorted.get(index),
            Err(_) => self.recent.get(&id_digest),
        }?;
        Some(match record.content_digest == digest_content(content) {
            true => FoundAnswer::Same(record.answer()),
            false => FoundAnswer::OtherContent,
        })
    }

    pub(crate) fn insert(&mut self, id: ChangeId, content: &str, answer: ChangeAnswer) {
        let record = AnswerRecord::new(digest_id(id), digest_content(content), answer);
        self.recent.insert(record.id_digest, record);
        if self.recent.len() >= MAX_RECENT_RECORDS {
            self.merge_recent();
        }
    }

    /// Merges the recent records into the sorted ones from the back, with a single allocation.
    fn merge_recent(&mut self) {
        let mut left = self.sorted.len();
        let recent = std::mem::take(&mut self.recent);
        let Some((_, filler)) = recent.first_key_value() else {
            return;
        };
        self.sorted.reserve_exact(recent.len());
        self.sorted.resize(left + recent.len(), *filler);
        let mut end = self.sorted.len();
        for (digest, record) in recent.into_iter().rev() {
            while left > 0 && self.sorted[left - 1].id_digest > digest {
                end -= 1;
                left -= 1;
                self.sorted[end] = self.sorted[left];
            }
            end -= 1;
            self.sorted[end] = record;
        }
    }

    /// Returns all records sorted; they are equal for equal tables.
    fn to_merged(&self) -> Vec<AnswerRecord> {
        let mut records = self.sorted.clone();
        records.extend(self.recent.values());
        records.sort_unstable_by_key(|record| record.id_digest);
        records
    }
}

impl PartialEq for AnswerTable {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len() && self.to_merged() == other.to_merged()
    }
}

impl Eq for AnswerTable {}

impl AnswerRecord {
    fn new(id_digest: u64, content_digest: u32, answer: ChangeAnswer) -> Self {
        let (version, revision) = match answer {
            ChangeAnswer::Accepted(version, revision) => (version.0, revision.0),
            ChangeAnswer::Conflict(version) => (version.0, 0),
            ChangeAnswer::Unknown => (0, 0),
        };
        Self {
            id_digest,
            revision,
            content_digest,
            // To exceed 32 bits, a customer's contract would have to change every second for 136
            // years.
            version: u32::try_from(version).unwrap_or(u32::MAX),
        }
    }

    fn answer(&self) -> ChangeAnswer {
        let version = ContractVersion(u64::from(self.version));
        match (self.version, self.revision) {
            (0, _) => ChangeAnswer::Unknown,
            (_, 0) => ChangeAnswer::Conflict(version),
            (_, revision) => ChangeAnswer::Accepted(version, CatalogRevision(revision)),
        }
    }

    fn to_bytes(self) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        bytes[..8].copy_from_slice(&self.id_digest.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.revision.to_be_bytes());
        bytes[16..20].copy_from_slice(&self.content_digest.to_be_bytes());
        bytes[20..].copy_from_slice(&self.version.to_be_bytes());
        bytes
    }

    fn from_bytes(bytes: &[u8; RECORD_BYTES]) -> Self {
        let number = |range: std::ops::Range<usize>| {
            bytes[range]
                .iter()
                .fold(0, |number: u64, byte| number << 8 | u64::from(*byte))
        };
        Self {
            id_digest: number(0..8),
            revision: number(8..16),
            content_digest: number(16..20) as u32,
            version: number(20..24) as u32,
        }
    }
}

fn digest_id(id: ChangeId) -> u64 {
    mix_bits(digest_bytes(id.0.as_bytes().iter().copied()))
}

/// Returns the digest of a change's content. It is compared under one id only, so 32 bits suffice:
/// one in four billion reuses of an id would pass for a resend.
fn digest_content(content: &str) -> u32 {
    (mix_bits(digest_bytes(content.bytes())) >> 32) as u32
}

impl Serialize for AnswerTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut chunks = serializer.serialize_seq(None)?;
        let mut bytes = Vec::with_capacity(RECORDS_PER_CHUNK * RECORD_BYTES);
        for record in self.sorted.iter().chain(self.recent.values()) {
            bytes.extend(record.to_bytes());
            if bytes.len() == RECORDS_PER_CHUNK * RECORD_BYTES {
                chunks.serialize_element(&STANDARD_NO_PAD.encode(&bytes))?;
                bytes.clear();
            }
        }
        if !bytes.is_empty() {
            chunks.serialize_element(&STANDARD_NO_PAD.encode(&bytes))?;
        }
        chunks.end()
    }
}

impl<'de> Deserialize<'de> for AnswerTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> serde::de::Visitor<'de> for ChunkVisitor {
    type Value = AnswerTable;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("chunks of answer records in base64")
    }

    fn visit_seq<A: serde::de::SeqAccess<'de>>(
        self,
        mut chunks: A,
    ) -> Result<AnswerTable, A::Error> {
        let mut sorted = Vec::new();
        while let Some(chunk) = chunks.next_element::<String>()? {
            let bytes = STANDARD_NO_PAD.decode(chunk).map_err(A::Error::custom)?;
            let (records, rest) = bytes.as_chunks::<RECORD_BYTES>();
            if !rest.is_empty() {
                return Err(A::Error::custom("truncated answer record"));
            }
            sorted.extend(records.iter().map(AnswerRecord::from_bytes));
        }
        sorted.sort_unstable_by_key(|record| record.id_digest);
        Ok(AnswerTable {
            sorted,
            recent: BTreeMap::new(),
        })
    }
}
