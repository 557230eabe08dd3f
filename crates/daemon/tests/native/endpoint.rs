//! A scripted endpoint: a server with a role and a log position that answers as its script says.

use crate::codec::fault_word;
use crate::codec::read_position;
use ragwort_types::EndpointFaultKind;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;
use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The number of statements that run at the same time. Announcements name the same number.
pub const SLOTS: usize = 2;

/// The behaviour of a scripted endpoint, and a record of what it received.
pub struct EndpointScript {
    pub name: String,
    pub role: InstanceRole,
    /// The term that it belongs to. Its writes are of this term.
    pub term: GroupTerm,
    /// The position of its last log entry, with the term of the primary that wrote the entry.
    pub position: LogPosition,
    /// Whether it withholds answers to report requests.
    pub withholds_reports: bool,
    /// How long it takes to answer a report request.
    pub report_time: Duration,
    /// Whether it refuses report requests because its slots are taken.
    pub busy: bool,
    /// How long a statement runs. While all slots are taken by statements, report requests are
    /// refused.
    pub run_time: Duration,
    /// The number of refused report requests.
    pub refused_reports: usize,
    /// The number of statements that run.
    running: usize,
    /// Whether it withholds all answers, on every connection.
    pub silent: bool,
    /// Faults of coming statements by their text; each is used once.
    pub faults: Vec<(String, EndpointFaultKind)>,
    /// Whether a fault within a transaction makes it fail. Until its end, all other commands are
    /// malformed.
    pub fails_transactions: bool,
    /// All statements that ran.
    pub ran: Vec<RanStatement>,
    /// All answered commands, each with the number of its connection.
    pub commands: Vec<(usize, String)>,
    /// The commands whose answers were withheld at first.
    pub withheld: Vec<String>,
    /// Maximum number of open connections.
    pub connection_limit: usize,
    open: HashSet<usize>,
    connections: usize,
    /// The session values of each connection.
    values: BTreeMap<usize, BTreeMap<String, String>>,
}

/// A statement that ran, with its connection, the log position after it and the session values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RanStatement {
    pub connection: usize,
    pub text: String,
    pub position: LogPosition,
    pub values: BTreeMap<String, String>,
}

pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    script: Arc<Mutex<EndpointScript>>,
    task: Option<JoinHandle<()>>,
}

impl ScriptedEndpoint {
    pub async fn start(name: &str, role: InstanceRole, position: LogPosition) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(EndpointScript {
            name: name.to_owned(),
            role,
            term: position.term,
            position,
            withholds_reports: false,
            report_time: Duration::ZERO,
            busy: false,
            run_time: Duration::ZERO,
            refused_reports: 0,
            running: 0,
            silent: false,
            faults: Vec::new(),
            fails_transactions: false,
            ran: Vec::new(),
            commands: Vec::new(),
            withheld: Vec::new(),
            connection_limit: usize::MAX,
            open: HashSet::new(),
            connections: 0,
            values: BTreeMap::new(),
        }));
        let task = tokio::spawn(serve(listener, Arc::clone(&script)));
        Self {
            address,
            script,
            task: Some(task),
        }
    }

    pub fn script(&self) -> MutexGuard<'_, EndpointScript> {
        self.script.lock().unwrap()
    }

    /// Starts the endpoint again at its address after it was stopped.
    pub async fn restart(&mut self) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        self.script().open.clear();
        self.task = Some(tokio::spawn(serve(listener, Arc::clone(&self.script))));
    }

    /// Stops the endpoint: its connections break, and its port refuses new ones.
    pub async fn kill(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
    }
}

async fn serve(listener: TcpListener, script: Arc<Mutex<EndpointScript>>) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let number = {
            let mut script = script.lock().unwrap();
            script.connections += 1;
            script.connections
        };
        connections.spawn(answer(stream, number, Arc::clone(&script)));
    }
}

async fn answer(stream: TcpStream, number: usize, script: Arc<Mutex<EndpointScript>>) {
    let (reading, mut writing) = stream.into_split();
    let mut lines = BufReader::new(reading).lines();
    let mut state = "idle";
    while let Ok(Some(line)) = lines.next_line().await {
        if is_withheld(&script, &line) {
            script.lock().unwrap().withheld.push(line.clone());
        }
        while is_withheld(&script, &line) {
            sleep(Duration::from_millis(2)).await;
        }
        if line.starts_with("run") {
            run_for_a_while(&script).await;
        }
        let report_time = script.lock().unwrap().report_time;
        // Even a sleep of zero lets the next statement overtake the report.
        if line == "describe" && report_time > Duration::ZERO {
            sleep(report_time).await;
        }
        let reply = script.lock().unwrap().reply(number, &line, &mut state);
        if writing.write_all(reply.as_bytes()).await.is_err() {
            break;
        }
    }
    script.lock().unwrap().open.remove(&number);
}

async fn run_for_a_while(script: &Mutex<EndpointScript>) {
    let run_time = script.lock().unwrap().run_time;
    if run_time > Duration::ZERO {
        script.lock().unwrap().running += 1;
        sleep(run_time).await;
        script.lock().unwrap().running -= 1;
    }
}

fn is_withheld(script: &Mutex<EndpointScript>, line: &str) -> bool {
    let script = script.lock().unwrap();
    script.silent || (script.withholds_reports && line == "describe")
}

impl EndpointScript {
    fn reply(&mut self, connection: usize, line: &str, state: &mut &'static str) -> String {
        self.commands.push((connection, line.to_owned()));
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let ends = matches!(word, "commit" | "rollback");
        let body = match word {
            _ if *state == "failed" && !ends => {
                format!("fault {}\n", fault_word(EndpointFaultKind::Malformed))
            }
            "commit" if *state == "failed" => {
                *state = "idle";
                format!("fault {}\n", fault_word(EndpointFaultKind::Aborted))
            }
            "open" => {
                if rest.split(' ').next() != Some(&self.name) {
                    return "fault wrong\n".to_owned();
                }
                if self.open.len() >= self.connection_limit {
                    let fault = fault_word(EndpointFaultKind::ConnectionLimit);
                    return format!("fault {fault}\n");
                }
                self.open.insert(connection);
                "done -\n".to_owned()
            }
            "describe" if self.busy || self.running >= SLOTS => {
                self.refused_reports += 1;
                format!("fault {}\n", fault_word(EndpointFaultKind::Busy))
            }
            "describe" => {
                let role = match self.role {
                    InstanceRole::Primary => "primary",
                    InstanceRole::Replica => "replica",
                };
                format!("row {role} {} {}\ndone -\n", self.term, self.position)
            }
            "begin" => {
                *state = "open";
                "done -\n".to_owned()
            }
            "commit" | "rollback" => {
                *state = "idle";
                self.run(connection, "-", word)
            }
            "run" | "execute" => {
                let (after, text) = rest.split_once(' ').unwrap_or(("-", rest));
                self.run(connection, after, text)
            }
            "set" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                let values = self.values.entry(connection).or_default();
                values.insert(name.to_owned(), value.to_owned());
                "done -\n".to_owned()
            }
            "reset" if self.take_fault("reset").is_some() => {
                format!("fault {}\n", fault_word(EndpointFaultKind::Busy))
            }
            "reset" => {
                self.values.remove(&connection);
                "done -\n".to_owned()
            }
            _ => "done -\n".to_owned(),
        };
        if self.fails_transactions && *state == "open" && body.starts_with("fault") {
            *state = "failed";
        }
        format!("{body}ready {state} {}\n", self.position)
    }

    fn take_fault(&mut self, text: &str) -> Option<EndpointFaultKind> {
        let place = self.faults.iter().position(|(known, _)| known == text)?;
        Some(self.faults.remove(place).1)
    }

    fn run(&mut self, connection: usize, after: &str, text: &str) -> String {
        if read_position(after).is_some_and(|after| after > self.position) {
            return format!("fault {}\n", fault_word(EndpointFaultKind::Lagging));
        }
        if let Some(sort) = self.take_fault(text) {
            return format!("fault {}\n", fault_word(sort));
        }
        let writes = text.starts_with("write") || text == "commit";
        if writes && self.role == InstanceRole::Replica {
            return format!("fault {}\n", fault_word(EndpointFaultKind::ReadOnly));
        }
        if writes {
            self.position = LogPosition::new(self.term, self.position.index + 1);
        }
        self.ran.push(RanStatement {
            connection,
            text: text.to_owned(),
            position: self.position,
            values: self.values.get(&connection).cloned().unwrap_or_default(),
        });
        format!("row {text}\ndone {}\n", self.name)
    }
}
