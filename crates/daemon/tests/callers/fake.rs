//! A fake statement service with scripted verdicts, and a caller edge in front of it.

use async_trait::async_trait;
use ragwort_types::DatabaseError;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::LogPosition;
use ragwort_types::RequestVerdict;
use ragwort_types::RowSet;
use ragwort_types::ServedBy;
use ragwort_types::StatementAnswer;
use ragwort_types::StatementId;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwortgated::callers::CallerEdge;
use ragwortgated::callers::CallerLimits;
use ragwortgated::callers::DescribeReply;
use ragwortgated::callers::DescribeRequest;
use ragwortgated::callers::SessionIdentity;
use ragwortgated::callers::SessionRefusal;
use ragwortgated::callers::StatementService;
use ragwortgated::callers::StatementShape;
use ragwortgated::metrics::DaemonMetrics;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;

/// Statements that contain this word run until they are cancelled or released.
pub const HELD: &str = "held";

/// The calls that the fake service has received.
#[derive(Default)]
pub struct Seen {
    pub requests: Vec<StatementRequest>,
    pub opened: Vec<SessionIdentity>,
    pub closed: Vec<SessionIdentity>,
    pub cancelled: Vec<StatementId>,
    pub described: Vec<DescribeRequest>,
}

/// Answers each request with the next scripted verdict, or with its own text as one row.
pub struct FakeService {
    pub seen: watch::Sender<Seen>,
    pub script: Mutex<VecDeque<RequestVerdict>>,
    pub refusal: Mutex<Option<SessionRefusal>>,
    pub shape: Mutex<Option<StatementShape>>,
    pub wrong_id: Mutex<bool>,
    pub released: watch::Sender<bool>,
}

impl Default for FakeService {
    fn default() -> Self {
        Self {
            seen: watch::Sender::new(Seen::default()),
            script: Mutex::default(),
            refusal: Mutex::default(),
            shape: Mutex::default(),
            wrong_id: Mutex::default(),
            released: watch::Sender::new(false),
        }
    }
}

impl FakeService {
    pub fn next_verdict(&self, verdict: RequestVerdict) {
        self.script.lock().unwrap().push_back(verdict);
    }

    pub async fn wait_seen(&self, wanted: impl Fn(&Seen) -> bool) {
        self.seen.subscribe().wait_for(wanted).await.unwrap();
    }

    pub fn texts(&self) -> Vec<String> {
        let seen = self.seen.borrow();
        seen.requests.iter().map(|r| r.text.clone()).collect()
    }

    async fn hold(&self, id: StatementId) -> RequestVerdict {
        let mut seen = self.seen.subscribe();
        let mut released = self.released.subscribe();
        tokio::select! {
            _ = seen.wait_for(|seen| seen.cancelled.contains(&id)) => failed("57014"),
            _ = released.wait_for(|released| *released) => one_row("released"),
        }
    }
}

pub fn one_row(text: &str) -> RequestVerdict {
    RequestVerdict::Ran(StatementAnswer::Rows(RowSet {
        columns: vec!["text".to_owned()],
        rows: vec![vec![Some(text.to_owned())]],
    }))
}

pub fn done(count: u64) -> RequestVerdict {
    RequestVerdict::Ran(StatementAnswer::Done(count))
}

pub fn failed(sqlstate: &str) -> RequestVerdict {
    RequestVerdict::Ran(StatementAnswer::Failed(DatabaseError {
        sqlstate: sqlstate.to_owned(),
        message: "the database says no".to_owned(),
    }))
}

#[async_trait]
impl StatementService for FakeService {
    fn open_session(&self, identity: &SessionIdentity) -> Result<(), SessionRefusal> {
        if let Some(refusal) = *self.refusal.lock().unwrap() {
            return Err(refusal);
        }
        self.seen
            .send_modify(|seen| seen.opened.push(identity.clone()));
        Ok(())
    }

    fn close_session(&self, identity: &SessionIdentity) {
        self.seen
            .send_modify(|seen| seen.closed.push(identity.clone()));
    }

    async fn execute(&self, request: StatementRequest) -> StatementReply {
        self.seen
            .send_modify(|seen| seen.requests.push(request.clone()));
        let scripted = self.script.lock().unwrap().pop_front();
        let verdict = match scripted {
            Some(verdict) => verdict,
            None if request.text.contains(HELD) => self.hold(request.id).await,
            None => one_row(&request.text),
        };
        let id = match *self.wrong_id.lock().unwrap() {
            true => StatementId::fresh(),
            false => request.id,
        };
        StatementReply {
            id,
            verdict,
            served_by: Some(ServedBy {
                instance: InstanceName::from("cases-2"),
                replica: true,
                position: LogPosition::new(GroupTerm(3), 41),
            }),
        }
    }

    async fn describe(&self, request: DescribeRequest) -> DescribeReply {
        self.seen
            .send_modify(|seen| seen.described.push(request.clone()));
        match self.shape.lock().unwrap().clone() {
            Some(shape) => DescribeReply::Shape(shape),
            None => DescribeReply::Unsupported,
        }
    }

    fn cancel(&self, id: StatementId) {
        self.seen.send_modify(|seen| seen.cancelled.push(id));
    }
}

pub fn limits() -> CallerLimits {
    CallerLimits {
        connections: 100,
        message_bytes: 65_536,
        startup: Duration::from_secs(30),
        statement: Duration::from_secs(30),
        drain: Duration::from_secs(30),
    }
}

/// A caller edge on the loopback interface, served by the fake service.
pub struct Bench {
    pub service: Arc<FakeService>,
    pub address: SocketAddr,
    pub drain: watch::Sender<bool>,
    pub edge: JoinHandle<()>,
    pub metrics: DaemonMetrics,
}

impl Bench {
    pub async fn start(limits: CallerLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = Arc::new(FakeService::default());
        let metrics = DaemonMetrics::new();
        let (drain, drained) = watch::channel(false);
        let edge = CallerEdge::new(listener, limits, service.clone(), metrics.clone());
        Self {
            service,
            address,
            drain,
            edge: tokio::spawn(edge.run(drained)),
            metrics,
        }
    }

    pub fn config(&self) -> Config {
        let mut config = Config::new();
        config
            .hostaddr(self.address.ip())
            .port(self.address.port())
            .user("omuti")
            .dbname("cases");
        config
    }

    pub async fn connect(&self) -> Client {
        let (client, connection) = self.config().connect(NoTls).await.unwrap();
        tokio::spawn(connection);
        client
    }

    /// Connects without a driver and completes the start-up.
    pub async fn connect_raw(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let mut body = 196_608_i32.to_be_bytes().to_vec();
        body.extend(b"user\0omuti\0database\0cases\0\0");
        let mut startup = i32::try_from(body.len() + 4)
            .unwrap()
            .to_be_bytes()
            .to_vec();
        startup.extend(body);
        stream.write_all(&startup).await.unwrap();
        let mut start = Vec::new();
        while !start.ends_with(b"Z\0\0\0\x05I") {
            start.push(stream.read_u8().await.unwrap());
        }
        stream
    }

    /// Drains the edge and waits until it has joined all of its tasks.
    pub async fn finish(self) {
        self.drain.send_replace(true);
        self.edge.await.unwrap();
        let seen = self.service.seen.borrow();
        assert_eq!(seen.opened.len(), seen.closed.len());
        let text = self.metrics.to_text();
        assert!(text.contains("ragwort_caller_connections 0"), "{text}");
    }
}

/// Returns a complete message of the protocol.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend(i32::try_from(body.len() + 4).unwrap().to_be_bytes());
    bytes.extend(body);
    bytes
}

/// Reads to the end of the connection and decodes it as lossy UTF-8.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}
