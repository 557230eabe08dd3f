//! Length-prefixed frames for statements and their replies between VMs.
//!
//! # Load
//!
//! Each statement is sent from a gateway to a leaseholder and its rows are returned, mostly between
//! failure domains, where traffic is billed by the byte, and on the smallest VMs over a link of
//! 2 Mbit/s.
//!
//! # Format
//!
//! A frame is a length (4 bytes, big-endian), a byte that tells whether the rest is compressed, and
//! a MessagePack message. Fields are encoded under one-letter names, so that the next release can
//! omit fields or add new ones. The text of rows uses few different letters, so entropy coding
//! alone saves a third. Below [`COMPRESSION_THRESHOLD_BYTES`], the header of a compressed frame
//! outweighs the saving.

use bytes::Buf;
use bytes::BufMut;
use bytes::BytesMut;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use serde::Deserialize;
use serde::Serialize;
use std::fmt;
use std::io;
use tokio_util::codec::Decoder;
use tokio_util::codec::LengthDelimitedCodec;
use zstd::bulk::Compressor;
use zstd::bulk::Decompressor;

/// The size, in bytes, below which messages are sent uncompressed.
const COMPRESSION_THRESHOLD_BYTES: usize = 160;

/// The maximum size of a frame, in bytes, compressed or not. A statement of 1 MiB with its session
/// state fits, as do rows of a few MiB.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024 - 1;

/// The fastest zstd compression level: one pass and entropy coding.
const COMPRESSION_LEVEL: i32 = 1;

/// The number of bytes in which a compressed frame encodes its message's uncompressed length.
const UNCOMPRESSED_LENGTH_BYTES: usize = 3;

const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// A frame of the statement protocol between two VMs.
///
/// The calling side numbers its calls, so that replies may arrive in any order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementFrame {
    /// Runs a statement at the group's leaseholder.
    #[serde(rename = "x")]
    Execute(u64, StatementRequest),
    /// Runs a statement at the group's leaseholder on behalf of a gateway that can't reach it.
    #[serde(rename = "y")]
    Relay(u64, StatementRequest),
    /// Replies to a call.
    #[serde(rename = "r")]
    Reply(u64, StatementReply),
    /// Reports that a call will get no reply; its statement may have run.
    #[serde(rename = "l")]
    Lost(u64),
    /// Requests a [`Pong`](Self::Pong), to check that the other side still responds.
    #[serde(rename = "p")]
    Ping,
    /// Responds to a [`Ping`](Self::Ping).
    #[serde(rename = "o")]
    Pong,
    /// Announces that the leaseholder's VM is shutting down: it replies to the calls that it has
    /// received, and must not be sent new ones.
    #[serde(rename = "e")]
    Stopping,
}

/// An error that occurs when a frame is encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The message exceeds the maximum frame size.
    TooLong,
    /// The bytes are not a valid frame, or the frame contains no valid message.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "message exceeds the maximum frame size",
            Self::Malformed => "malformed frame",
        })
    }
}

impl std::error::Error for FrameError {}

/// Encodes and decodes the frames of one connection.
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    compressor: Compressor<'static>,
    decompressor: Decompressor<'static>,
}

impl FrameCodec {
    /// Creates a codec for one connection.
    ///
    /// # Errors
    ///
    /// Returns the compression library's error if it can't allocate memory.
    pub fn new() -> io::Result<Self> {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Ok(Self {
            lengths,
            compressor: Compressor::new(COMPRESSION_LEVEL)?,
            decompressor: Decompressor::new()?,
        })
    }

    /// Appends a frame to `buffer`.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves `buffer` unchanged, if the message is too long or can't be
    /// serialized.
    pub fn encode(
        &mut self,
        frame: &StatementFrame,
        buffer: &mut BytesMut,
    ) -> Result<(), FrameError> {
        let message = rmp_serde::to_vec_named(frame).map_err(|_| FrameError::Malformed)?;
        if message.len() >= MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        let compressed = match message.len() < COMPRESSION_THRESHOLD_BYTES {
            true => None,
            false => self.compressor.compress(&message).ok(),
        };
        match compressed.filter(|body| body.len() + UNCOMPRESSED_LENGTH_BYTES < message.len()) {
            Some(body) => {
                buffer.put_u32((1 + UNCOMPRESSED_LENGTH_BYTES + body.len()) as u32);
                buffer.put_u8(COMPRESSED);
                buffer.put_uint(message.len() as u64, UNCOMPRESSED_LENGTH_BYTES);
                buffer.put_slice(&body);
            }
            None => {
                buffer.put_u32((1 + message.len()) as u32);
                buffer.put_u8(PLAIN);
                buffer.put_slice(&message);
            }
        }
        Ok(())
    }

    /// Removes the next frame from `buffer`, or returns `None` if the frame is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid frame; the connection can't be used further.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<StatementFrame>, FrameError> {
        let frame = self.lengths.decode(buffer);
        let Some(frame) = frame.map_err(|_| FrameError::TooLong)? else {
            return Ok(None);
        };
        let (compression, body) = frame.split_first().ok_or(FrameError::Malformed)?;
        let message = match *compression {
            PLAIN => rmp_serde::from_slice(body),
            COMPRESSED => rmp_serde::from_slice(&self.expand(body)?),
            _ => return Err(FrameError::Malformed),
        };
        message.map(Some).map_err(|_| FrameError::Malformed)
    }

    fn expand(&mut self, mut body: &[u8]) -> Result<Vec<u8>, FrameError> {
        if body.len() < UNCOMPRESSED_LENGTH_BYTES {
            return Err(FrameError::Malformed);
        }
        let length = body.get_uint(UNCOMPRESSED_LENGTH_BYTES) as usize;
        let message = self.decompressor.decompress(body, length);
        message.map_err(|_| FrameError::Malformed)
    }
}
