//! Frames in which statements and their replies travel between VMs.
//!
//! # The load it answers
//!
//! Each statement crosses from a gateway to a leaseholder and its rows come back, mostly between
//! failure domains, where bytes cost money, and on the smallest VMs over a link of 2 Mbit/s.
//!
//! # Grounds for its figures
//!
//! A frame is a length, a byte that says whether it is compressed, and a message in MessagePack with
//! the fields' one-letter names, so that a VM of the next release can leave fields out or add some.
//! Texts in rows have few different letters, so entropy coding alone takes a third off them. Below
//! [`SHORT_MESSAGE`] bytes the head of a compressed frame eats up what is saved.

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

/// Messages below this size, in bytes, are sent as they are.
const SHORT_MESSAGE: usize = 160;

/// The largest frame, in bytes, compressed or not: a statement of 1 MiB with its session, or rows of a
/// few.
const LONGEST_MESSAGE: usize = 16 * 1024 * 1024 - 1;

/// Compression's fastest setting: its work is one pass and entropy coding.
const COMPRESSION_LEVEL: i32 = 1;

/// The bytes in which a compressed frame names the length of its message.
const LENGTH_BYTES: usize = 3;

const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// What two VMs say to each other about statements.
///
/// Calls are numbered by the side that makes them, so that replies may come in any order.
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
    /// Says that a call will have no reply; its statement may have run.
    #[serde(rename = "l")]
    Lost(u64),
    /// Asks whether the other side still answers.
    #[serde(rename = "p")]
    Ping,
    /// Answers that question.
    #[serde(rename = "o")]
    Pong,
    /// Says that the leaseholder's VM stops: it answers what it has got and is to get no more calls.
    #[serde(rename = "e")]
    Stopping,
}

/// Why a frame could not be written or read. The connection can't be used further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The message is longer than any may be.
    TooLong,
    /// The bytes are no frame, or hold no message.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "message longer than a frame may be",
            Self::Malformed => "malformed frame",
        })
    }
}

impl std::error::Error for FrameError {}

/// Writes frames to a buffer and reads them from one.
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
    /// Returns the compression library's error, which is one of memory.
    pub fn new() -> io::Result<Self> {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(LONGEST_MESSAGE)
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
    /// Returns an error if the message is too long for a frame; nothing is appended then.
    pub fn encode(
        &mut self,
        frame: &StatementFrame,
        buffer: &mut BytesMut,
    ) -> Result<(), FrameError> {
        let message = rmp_serde::to_vec_named(frame).map_err(|_| FrameError::Malformed)?;
        if message.len() >= LONGEST_MESSAGE {
            return Err(FrameError::TooLong);
        }
        let compressed = match message.len() < SHORT_MESSAGE {
            true => None,
            false => self.compressor.compress(&message).ok(),
        };
        match compressed.filter(|body| body.len() + LENGTH_BYTES < message.len()) {
            Some(body) => {
                buffer.put_u32((1 + LENGTH_BYTES + body.len()) as u32);
                buffer.put_u8(COMPRESSED);
                buffer.put_uint(message.len() as u64, LENGTH_BYTES);
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

    /// Takes the next frame from `buffer`; `None` if it isn't there as a whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes can't be a frame.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<StatementFrame>, FrameError> {
        let frame = self.lengths.decode(buffer);
        let Some(frame) = frame.map_err(|_| FrameError::TooLong)? else {
            return Ok(None);
        };
        let (mark, body) = frame.split_first().ok_or(FrameError::Malformed)?;
        let message = match *mark {
            PLAIN => rmp_serde::from_slice(body),
            COMPRESSED => rmp_serde::from_slice(&self.expand(body)?),
            _ => return Err(FrameError::Malformed),
        };
        message.map(Some).map_err(|_| FrameError::Malformed)
    }

    fn expand(&mut self, mut body: &[u8]) -> Result<Vec<u8>, FrameError> {
        if body.len() < LENGTH_BYTES {
            return Err(FrameError::Malformed);
        }
        let length = body.get_uint(LENGTH_BYTES) as usize;
        let message = self.decompressor.decompress(body, length);
        message.map_err(|_| FrameError::Malformed)
    }
}
