//! Stand-ins for clients: sessions over the line protocol.

use crate::record::Record;
use crate::service::Service;
use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// One session.
pub struct Session {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Session {
    /// Opens a session; `Err` holds what came instead of READY.
    pub fn open(gateway: &str, database: &str, limit: Duration) -> Result<Self, String> {
        let address: SocketAddr = gateway.parse().map_err(|_| "address".to_owned())?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500));
        let stream = stream.map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(limit));
        let reader = BufReader::new(stream.try_clone().map_err(|error| error.to_string())?);
        let mut session = Self { stream, reader };
        let answer = session.ask(&format!("STARTUP {database} u1"));
        match answer.last() {
            Some(line) if line.starts_with("READY") => Ok(session),
            _ => Err(answer.join(" | ")),
        }
    }

    pub fn send(&mut self, line: &str) -> bool {
        self.stream
            .write_all(format!("{line}\r\n").as_bytes())
            .is_ok()
    }

    /// Reads up to READY; the last line is another one if the connection ended before.
    pub fn read(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(count) if count > 0 && line.ends_with('\n') => {
                    let line = line.trim_end().to_owned();
                    let ends = line.starts_with("READY");
                    lines.push(line);
                    if ends {
                        return lines;
                    }
                }
                Ok(_) => {
                    lines.push("(connection ended)".to_owned());
                    return lines;
                }
                Err(error) => {
                    lines.push(format!("(no answer: {:?})", error.kind()));
                    return lines;
                }
            }
        }
    }

    pub fn ask(&mut self, line: &str) -> Vec<String> {
        match self.send(line) {
            true => self.read(),
            false => vec!["(connection ended)".to_owned()],
        }
    }
}

pub fn is_success(answer: &[String]) -> bool {
    let ready = answer.last().is_some_and(|line| line.starts_with("READY"));
    let complete = answer.iter().any(|line| line.starts_with("COMPLETE"));
    ready && complete && !answer.iter().any(|line| line.starts_with("ERROR"))
}

/// A write that a client was told to be done.
#[derive(Clone)]
pub struct Acknowledged {
    pub id: String,
    pub at: Instant,
}

/// What clients have seen.
#[derive(Clone, Default)]
pub struct Seen {
    pub writes: Arc<Mutex<Vec<Acknowledged>>>,
    pub reads: Arc<AtomicU64>,
    pub failed: Arc<AtomicU64>,
}

/// Clients that run until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn create() -> Self {
        Self {
            stop: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Adds a client that sends single statements, each after a pause.
    pub fn add(
        &mut self,
        gateways: &[String],
        database: &str,
        writes: bool,
        pause: Duration,
        seen: &Seen,
        record: &Record,
    ) {
        let number = self.threads.len();
        let (gateways, database) = (gateways.to_vec(), database.to_owned());
        let (stop, seen, record) = (Arc::clone(&self.stop), seen.clone(), record.clone());
        self.threads.push(thread::spawn(move || {
            let mut count = 0;
            let mut turn = number;
            let is_over = || stop.load(Ordering::Relaxed);
            while !is_over() {
                turn += 1;
                let gateway = &gateways[turn % gateways.len()];
                let limit = Duration::from_secs(3);
                let Ok(mut session) = Session::open(gateway, &database, limit) else {
                    sleep(Duration::from_millis(50));
                    continue;
                };
                while !is_over() {
                    count += 1;
                    let id = format!("{number:04x}{count:012x}");
                    let text = if writes { "WRITE 1a4 data" } else { "READ 1a4" };
                    let answer = session.ask(&format!("QUERY {id} {text}"));
                    let success = is_success(&answer);
                    if writes {
                        record.note(&format!("client    {id} {text} -> {}", answer.join(" | ")));
                    }
                    match success {
                        true if writes => {
                            let done = Acknowledged {
                                id,
                                at: Instant::now(),
                            };
                            seen.writes.lock().unwrap().push(done);
                        }
                        true => {
                            seen.reads.fetch_add(1, Ordering::Relaxed);
                        }
                        false => {
                            seen.failed.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    if !answer
                        .last()
                        .is_some_and(|line| line.starts_with("READY I"))
                    {
                        break;
                    }
                    sleep(pause);
                }
            }
        }));
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Counts the writes that were acknowledged to a client before an instance was promoted without
/// them.
pub fn count_lost(record: &Record, service: &Service, seen: &Seen) -> usize {
    let writes = seen.writes.lock().unwrap().clone();
    let mut lost = 0;
    for promotion in service.promotions() {
        let dropped: BTreeSet<&String> = promotion.dropped.iter().collect();
        for one in writes.iter().filter(|one| dropped.contains(&one.id)) {
            lost += 1;
            let ago = promotion.at.saturating_duration_since(one.at).as_millis();
            let after = one.at.saturating_duration_since(promotion.at).as_millis();
            let when = match ago {
                0 => format!("{after} ms after"),
                _ => format!("{ago} ms before"),
            };
            record.note(&format!(
                "LOST      {} was acknowledged {when} {} was promoted without it",
                one.id, promotion.to
            ));
        }
    }
    record.say(&format!(
        "{} writes acknowledged, {} promotions, {lost} acknowledged writes lost by them",
        writes.len(),
        service.promotions().len()
    ));
    lost
}
