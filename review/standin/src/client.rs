//! A client's session over the wire.

use crate::world::read_line;
use crate::world::Ledger;
use crate::world::Values;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    ledger: Arc<Mutex<Ledger>>,
    values: Values,
    pub state: char,
}

/// How a query ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success, with its rows and the signature.
    Complete(Vec<String>, String),
    /// An error code.
    Error(String),
}

impl Outcome {
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Complete(..))
    }
}

impl Session {
    pub fn open(front: &str, database: &str, ledger: &Arc<Mutex<Ledger>>) -> Option<Self> {
        let target: SocketAddr = front.parse().ok()?;
        let limit = Duration::from_secs(2);
        let stream = TcpStream::connect_timeout(&target, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Self {
            reader: BufReader::new(stream.try_clone().ok()?),
            writer: stream,
            ledger: Arc::clone(ledger),
            values: Values::new(),
            state: 'I',
        };
        session
            .writer
            .write_all(format!("STARTUP {database} key\r\n").as_bytes())
            .ok()?;
        let line = read_line(&mut session.reader).ok()??;
        line.starts_with("READY").then_some(session)
    }

    /// Sends a statement under a new id; `None` if the connection ended without an answer.
    pub fn query(&mut self, text: &str) -> Option<(String, Outcome)> {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        {
            let mut ledger = self.ledger.lock().unwrap();
            ledger.values.insert(id.clone(), self.values.clone());
            ledger.texts.insert(id.clone(), text.to_owned());
        }
        self.writer
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())
            .ok()?;
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            let line = read_line(&mut self.reader).ok()??;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => {
                    outcome = Some(Outcome::Complete(
                        std::mem::take(&mut rows),
                        rest.to_owned(),
                    ));
                }
                "ERROR" => outcome = Some(Outcome::Error(rest.to_owned())),
                "READY" => {
                    self.state = rest.chars().next().unwrap_or('I');
                    break;
                }
                _ => return None,
            }
        }
        let outcome = outcome?;
        if outcome.is_complete() {
            self.ledger.lock().unwrap().acknowledged.insert(id.clone());
        }
        Some((id, outcome))
    }

    /// Sets a session value.
    pub fn set(&mut self, name: &str, value: &str) -> bool {
        let done = self.query(&format!("SET {name} {value}"));
        let done = done.is_some_and(|(_, outcome)| outcome.is_complete());
        if done {
            self.values.insert(name.to_owned(), value.to_owned());
        }
        done
    }
}
