//! Framing of one caller's connection: reads and decodes messages, encodes and writes answers.
//!
//! The codec of `pgwire` decodes from a buffer that may hold more than one message, and trusts the
//! counts inside of a message. A malformed message could make it read into the next one or panic.
//! Therefore each message is first split off by its length field, decoded on its own, and must be
//! consumed entirely. The limits on length and time, which the codec lacks, are enforced here too.

use bytes::Buf;
use bytes::BytesMut;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::ProtocolVersion;
use std::fmt;
use std::io;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

/// The maximum length of a start-up message in bytes, the same as PostgreSQL's limit.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The size of a message's length field, which counts itself.
const LENGTH_BYTES: usize = 4;

/// The maximum number of bytes in one write, and the number of buffered bytes that triggers a
/// write.
const WRITE_CHUNK_BYTES: usize = 65_536;

/// The maximum time that a closing connection waits for the caller to close its side.
///
/// Closing a socket with unread bytes resets the connection. The reset may overtake the error sent
/// before, and the caller would see a broken connection without the reason.
const LINGER: Duration = Duration::from_millis(500);

/// The reason for which a stream can't be used any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The caller closed the connection between two messages.
    Closed,
    /// The connection broke, or was closed within a message.
    Lost(io::ErrorKind),
    /// A message is longer than the limit; contains its length in bytes.
    TooLong(usize),
    /// A message was not complete within the time limit after its first byte.
    SlowSender,
    /// The caller didn't receive a part of an answer within the time limit.
    SlowReceiver,
    /// A message doesn't follow the protocol.
    Malformed(String),
    /// A statement's text isn't UTF-8.
    NotText,
}

impl StreamFault {
    /// Returns the fault's name for metrics; `None` if the caller closed the connection normally.
    pub(crate) fn name(&self) -> Option<&'static str> {
        match self {
            Self::Closed => None,
            Self::Lost(_) => Some("lost"),
            Self::TooLong(_) => Some("too_long"),
            Self::SlowSender => Some("slow_sender"),
            Self::SlowReceiver => Some("slow_receiver"),
            Self::Malformed(_) => Some("malformed"),
            Self::NotText => Some("not_text"),
        }
    }
}

impl fmt::Display for StreamFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => formatter.write_str("connection closed"),
            Self::Lost(kind) => write!(formatter, "connection lost: {kind}"),
            Self::TooLong(length) => {
                write!(formatter, "message of {length} bytes is over the limit")
            }
            Self::SlowSender => formatter.write_str("message was not whole in time"),
            Self::SlowReceiver => formatter.write_str("answer was not received in time"),
            Self::Malformed(what) => write!(formatter, "malformed message: {what}"),
            Self::NotText => formatter.write_str("statement isn't valid UTF-8"),
        }
    }
}

impl From<io::Error> for StreamFault {
    fn from(error: io::Error) -> Self {
        Self::Lost(error.kind())
    }
}

/// The phase of the protocol, which decides how messages are framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessagePhase {
    /// Start-up messages, which have a length but no type byte.
    Startup,
    /// All later messages, which have a type byte and a length.
    Regular,
}

/// The limits of one stream: the longest message, and the time limit of a transfer (see
/// [`CallerLimits`](crate::callers::CallerLimits)).
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamLimits {
    pub(crate) message_bytes: usize,
    pub(crate) statement: Duration,
}

/// A caller's connection with its read and write buffers.
pub(crate) struct CallerStream {
    socket: TcpStream,
    limits: StreamLimits,
    phase: MessagePhase,
    inbound: BytesMut,
    outbound: BytesMut,
    /// When the first byte of the incomplete message in `inbound` was seen.
    partial_since: Option<Instant>,
    /// When bytes were last received.
    last_read: Instant,
}

impl CallerStream {
    pub(crate) fn new(socket: TcpStream, limits: StreamLimits) -> Self {
        Self {
            socket,
            limits,
            phase: MessagePhase::Startup,
            inbound: BytesMut::new(),
            outbound: BytesMut::new(),
            partial_since: None,
            last_read: Instant::now(),
        }
    }

    /// Switches to the regular phase: from now on messages have a type byte.
    pub(crate) fn finish_startup(&mut self) {
        self.phase = MessagePhase::Regular;
    }

    /// Returns the time since bytes were last received: the time the last message has spent here.
    pub(crate) fn since_last_read(&self) -> Duration {
        self.last_read.elapsed()
    }

    /// Returns the next message. Cancel safe: received bytes stay buffered if the future is
    /// dropped.
    pub(crate) async fn next_message(&mut self) -> Result<PgWireFrontendMessage, StreamFault> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return decode_frame(frame, self.phase);
            }
            self.read_more().await?;
        }
    }

    fn take_frame(&mut self) -> Result<Option<BytesMut>, StreamFault> {
        let (type_bytes, longest) = match self.phase {
            MessagePhase::Startup => (0, MAX_STARTUP_BYTES),
            MessagePhase::Regular => (1, self.limits.message_bytes),
        };
        let Some(length) = self.inbound.get(type_bytes..type_bytes + LENGTH_BYTES) else {
            return Ok(None);
        };
        let mut length = length;
        let length = length.get_u32() as usize;
        if length < LENGTH_BYTES {
            return Err(StreamFault::Malformed(format!("length {length}")));
        }
        if length > longest {
            return Err(StreamFault::TooLong(length));
        }
        if self.inbound.len() < type_bytes + length {
            return Ok(None);
        }
        self.partial_since = None;
        Ok(Some(self.inbound.split_to(type_bytes + length)))
    }

    /// Reads available bytes. Within a message the wait is bounded by the message's time limit.
    async fn read_more(&mut self) -> Result<(), StreamFault> {
        let count = if self.inbound.is_empty() {
            self.socket.read_buf(&mut self.inbound).await?
        } else {
            let partial_since = *self.partial_since.get_or_insert_with(Instant::now);
            timeout_at(
                partial_since + self.limits.statement,
                self.socket.read_buf(&mut self.inbound),
            )
            .await
            .map_err(|_| StreamFault::SlowSender)??
        };
        self.last_read = Instant::now();
        match count {
            0 if self.inbound.is_empty() => Err(StreamFault::Closed),
            0 => Err(StreamFault::Lost(io::ErrorKind::UnexpectedEof)),
            _ => Ok(()),
        }
    }

    /// Waits until the caller disconnects, reading ahead up to the longest message.
    ///
    /// Without it the statement of a caller that has disconnected would keep its place in the
    /// queue, or its slot, until the deadline.
    pub(crate) async fn wait_closed(&mut self) {
        while self.inbound.len() <= self.limits.message_bytes {
            match self.socket.read_buf(&mut self.inbound).await {
                Ok(0) | Err(_) => return,
                Ok(_) => self.last_read = Instant::now(),
            }
        }
        std::future::pending().await
    }

    /// Appends a message to the write buffer, and flushes the buffer once it has a full chunk.
    pub(crate) async fn send(&mut self, message: impl Message) -> Result<(), StreamFault> {
        message
            .encode(&mut self.outbound)
            .map_err(|error| StreamFault::Malformed(error.to_string()))?;
        if self.outbound.len() >= WRITE_CHUNK_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Writes the whole write buffer, each chunk within the time limit.
    pub(crate) async fn flush(&mut self) -> Result<(), StreamFault> {
        while !self.outbound.is_empty() {
            let length = self.outbound.len().min(WRITE_CHUNK_BYTES);
            timeout(
                self.limits.statement,
                self.socket.write_all(&self.outbound[..length]),
            )
            .await
            .map_err(|_| StreamFault::SlowReceiver)??;
            self.outbound.advance(length);
        }
        Ok(())
    }

    /// Flushes, shuts down the sending side and waits up to [`LINGER`] for the caller to close.
    pub(crate) async fn close(mut self) {
        let closing = async {
            self.flush().await?;
            self.socket.shutdown().await?;
            let mut unread = [0; 4_096];
            while self.socket.read(&mut unread).await? > 0 {}
            Ok::<(), StreamFault>(())
        };
        // The connection ends in any case, so faults are ignored.
        let _ = timeout(LINGER, closing).await;
    }
}

fn decode_frame(
    mut frame: BytesMut,
    phase: MessagePhase,
) -> Result<PgWireFrontendMessage, StreamFault> {
    check_text(&frame, phase)?;
    let kind = frame.first().copied().unwrap_or_default();
    // The codec panics on counts that point beyond the message. Uncaught, that would end the
    // connection without an error. Unwind safe: the only state touched is the frame, which is
    // dropped.
    let decoded = catch_unwind(AssertUnwindSafe(|| {
        let message = decode_whole(&mut frame, phase);
        (message, frame.is_empty())
    }));
    match decoded {
        Ok((Ok(Some(message)), true)) => Ok(message),
        Ok((Ok(_), _)) => Err(StreamFault::Malformed(format!("type {kind}"))),
        Ok((Err(error), _)) => Err(StreamFault::Malformed(error.to_string())),
        Err(_) => Err(StreamFault::Malformed(format!("type {kind}, bad counts"))),
    }
}

fn decode_whole(
    frame: &mut BytesMut,
    phase: MessagePhase,
) -> pgwire::error::PgWireResult<Option<PgWireFrontendMessage>> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    if phase == MessagePhase::Regular {
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        return PgWireFrontendMessage::decode(frame, &context);
    }
    let whole = frame.len();
    let message = PgWireFrontendMessage::decode(frame, &context)?;
    if frame.len() < whole {
        return Ok(message);
    }
    context.awaiting_frontend_ssl = false;
    PgWireFrontendMessage::decode(frame, &context)
}

/// Refuses a statement that isn't UTF-8. The codec would decode it with replacement characters, and
/// the database would store text that the caller never sent.
fn check_text(frame: &[u8], phase: MessagePhase) -> Result<(), StreamFault> {
    let strings = match (phase, frame.first()) {
        (MessagePhase::Regular, Some(b'Q')) => 1,
        (MessagePhase::Regular, Some(b'P')) => 2,
        _ => return Ok(()),
    };
    let body = &frame[1 + LENGTH_BYTES..];
    let valid = body
        .split(|byte| *byte == 0)
        .take(strings)
        .all(|text| std::str::from_utf8(text).is_ok());
    if valid {
        Ok(())
    } else {
        Err(StreamFault::NotText)
    }
}
