//! Wire format of catalog pieces.
//!
//! A packed piece is the base64 text of the uncompressed length (4 bytes, big-endian) and a
//! MessagePack message compressed with zstd. Field names and VM names repeat in each item, so
//! compression leaves about a tenth of the size.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use ragwort_types::CatalogPiece;
use std::fmt;

/// The maximum uncompressed size of a piece, in bytes. It is many times the size that control VMs
/// aim for, because a single item may be large.
const MAX_PIECE_BYTES: usize = 16 * 1_024 * 1_024;

/// The zstd compression level. A control VM packs pieces while it has heartbeats to answer.
const COMPRESSION_LEVEL: i32 = 1;

/// An error that occurs when a piece is packed or unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceError {
    /// The text is not valid base64.
    NotBase64,
    /// The data can't be decompressed, or its uncompressed size exceeds the limit.
    NotCompressed,
    /// The message can't be serialized, or is not a valid piece.
    Malformed,
}

impl fmt::Display for PieceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotBase64 => "piece is not base64",
            Self::NotCompressed => "piece can't be decompressed, or is too long",
            Self::Malformed => "malformed piece",
        })
    }
}

impl std::error::Error for PieceError {}

/// Packs a piece into its wire format.
///
/// # Errors
///
/// Returns an error if the piece can't be serialized or compressed, which indicates a bug.
pub fn pack_piece(piece: &CatalogPiece) -> Result<String, PieceError> {
    let message = rmp_serde::to_vec_named(piece).map_err(|_| PieceError::Malformed)?;
    let length = u32::try_from(message.len()).map_err(|_| PieceError::Malformed)?;
    let compressed = zstd::bulk::compress(&message, COMPRESSION_LEVEL);
    let mut packed = length.to_be_bytes().to_vec();
    packed.extend(compressed.map_err(|_| PieceError::Malformed)?);
    Ok(STANDARD_NO_PAD.encode(packed))
}

/// Unpacks a piece that [`pack_piece`] packed.
///
/// # Errors
///
/// Returns an error if the text is not a valid packed piece.
pub fn unpack_piece(text: &str) -> Result<CatalogPiece, PieceError> {
    let packed = STANDARD_NO_PAD.decode(text);
    let packed = packed.map_err(|_| PieceError::NotBase64)?;
    let (length, compressed) = packed
        .split_first_chunk()
        .ok_or(PieceError::NotCompressed)?;
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_PIECE_BYTES {
        return Err(PieceError::NotCompressed);
    }
    let message = zstd::bulk::decompress(compressed, length);
    let message = message.map_err(|_| PieceError::NotCompressed)?;
    rmp_serde::from_slice(&message).map_err(|_| PieceError::Malformed)
}
