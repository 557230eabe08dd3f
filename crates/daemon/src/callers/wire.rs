//! One caller's byte stream: whole messages in, encoded messages out.
//!
//! The codec of `pgwire` decodes a message from a buffer that may hold more than the message. It
//! trusts the counts inside, so a malformed message could make it read into the next one or panic.
//! Here each message is first cut out by its length, decoded alone and must be used up. Limits on
//! length and time are kept here too, as the codec has none of its own.

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

/// The longest start-up message, as PostgreSQL has it.
const STARTUP_BYTES: usize = 10_000;

const LENGTH_BYTES: usize = 4;

/// How much is written at once, and how much may gather before it is written.
const WRITE_CHUNK: usize = 65_536;

/// How long a connection waits for the caller to close it after an error was sent.
///
/// Closing a socket with unread bytes resets it, and the reset may overtake the error: the caller
/// would see a broken connection in place of the reason.
const LINGER: Duration = Duration::from_millis(500);

/// Why a stream can't go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The caller closed the connection between two messages.
    Closed,
    /// The connection broke.
    Lost(io::ErrorKind),
    /// A message is longer than the limit.
    TooLong(usize),
    /// A message wasn't whole in time after its first byte.
    SlowSender,
    /// An answer wasn't taken in time.
    SlowReceiver,
    /// A message isn't one of the protocol's.
    Malformed(String),
    /// A statement's text isn't UTF-8.
    NotText,
}

impl StreamFault {
    /// Returns a name for logs and metrics; none when the caller simply left.
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

/// Which messages are expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessagePhase {
    /// Start-up messages, which have a length and no type.
    Startup,
    /// All later ones, which have a type and a length.
    Regular,
}

/// Limits of one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamLimits {
    pub(crate) message_bytes: usize,
    pub(crate) statement: Duration,
}

/// A caller's stream.
pub(crate) struct CallerStream {
    socket: TcpStream,
    limits: StreamLimits,
    phase: MessagePhase,
    inbound: BytesMut,
    outbound: BytesMut,
    /// When the first byte of a message that isn't whole was seen.
    begun: Option<Instant>,
    /// When bytes last arrived.
    arrived: Instant,
}

impl CallerStream {
    pub(crate) fn new(socket: TcpStream, limits: StreamLimits) -> Self {
        Self {
            socket,
            limits,
            phase: MessagePhase::Startup,
            inbound: BytesMut::new(),
            outbound: BytesMut::new(),
            begun: None,
            arrived: Instant::now(),
        }
    }

    /// Ends the start-up: messages have a type from now on.
    pub(crate) fn finish_startup(&mut self) {
        self.phase = MessagePhase::Regular;
    }

    /// Returns how long the last message has waited here.
    pub(crate) fn waited(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Returns the next message. Nothing is lost when the returned future is dropped.
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
            MessagePhase::Startup => (0, STARTUP_BYTES),
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
        self.begun = None;
        Ok(Some(self.inbound.split_to(type_bytes + length)))
    }

    /// Reads what has come; within a message, not beyond its deadline.
    async fn read_more(&mut self) -> Result<(), StreamFault> {
        let count = if self.inbound.is_empty() {
            self.socket.read_buf(&mut self.inbound).await?
        } else {
            let begun = *self.begun.get_or_insert_with(Instant::now);
            timeout_at(
                begun + self.limits.statement,
                self.socket.read_buf(&mut self.inbound),
            )
            .await
            .map_err(|_| StreamFault::SlowSender)??
        };
        self.arrived = Instant::now();
        match count {
            0 if self.inbound.is_empty() => Err(StreamFault::Closed),
            0 => Err(StreamFault::Lost(io::ErrorKind::UnexpectedEof)),
            _ => Ok(()),
        }
    }

    /// Waits until the caller is gone, reading ahead up to the longest message.
    ///
    /// Without it a caller that leaves while its statement waits or runs would hold its place in
    /// the queue, and perhaps a slot, until the deadline.
    pub(crate) async fn wait_lost(&mut self) {
        while self.inbound.len() <= self.limits.message_bytes {
            match self.socket.read_buf(&mut self.inbound).await {
                Ok(0) | Err(_) => return,
                Ok(_) => self.arrived = Instant::now(),
            }
        }
        std::future::pending().await
    }

    /// Adds a message to what will be written.
    pub(crate) async fn send(&mut self, message: impl Message) -> Result<(), StreamFault> {
        message
            .encode(&mut self.outbound)
            .map_err(|error| StreamFault::Malformed(error.to_string()))?;
        if self.outbound.len() >= WRITE_CHUNK {
            self.flush().await?;
        }
        Ok(())
    }

    /// Writes all that was sent; a chunk that isn't taken in time is a fault.
    pub(crate) async fn flush(&mut self) -> Result<(), StreamFault> {
        while !self.outbound.is_empty() {
            let length = self.outbound.len().min(WRITE_CHUNK);
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

    /// Writes what is left, says goodbye and waits a moment for the caller to close.
    pub(crate) async fn close(mut self) {
        let farewell = async {
            self.flush().await?;
            self.socket.shutdown().await?;
            let mut unread = [0; 4_096];
            while self.socket.read(&mut unread).await? > 0 {}
            Ok::<(), StreamFault>(())
        };
        // The connection ends here in any case; a fault on the way changes nothing.
        let _ = timeout(LINGER, farewell).await;
    }
}

fn decode_frame(
    mut frame: BytesMut,
    phase: MessagePhase,
) -> Result<PgWireFrontendMessage, StreamFault> {
    check_text(&frame, phase)?;
    let kind = frame.first().copied().unwrap_or_default();
    // The codec panics on counts that point beyond the message. Unhandled, that would end the
    // connection without a reason; the state it leaves behind is this frame, which is dropped.
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

/// Refuses a statement that isn't UTF-8; the codec would put replacement characters into its text,
/// and the database would store something that the caller never sent.
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
