//! One caller: a connection to a gateway, its marked statements, and the verdicts it is told.

use futures::future::poll_fn;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_postgres::AsyncMessage;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::Connection;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::error::DbError;
use tokio_postgres::tls::NoTlsStream;

/// The SQLSTATE of a request that may have run.
const MAY_HAVE_RUN_STATE: &str = "08007";

/// The detail with which a gateway says that a request was not run, whatever the SQLSTATE.
const NOT_RUN_DETAIL: &str = "the request was not run";

/// How long opening a connection may take.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);

/// The marks of a statement, as its leading comment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementMarks {
    /// The kind.
    pub kind: Option<&'static str>,
    /// The request key.
    pub key: Option<String>,
    /// The deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the request is urgent.
    pub urgent: bool,
    /// The age that the read accepts, in milliseconds.
    pub max_age_ms: Option<u64>,
}

impl fmt::Display for StatementMarks {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let marks = [
            self.kind.map(|kind| format!("kind='{kind}'")),
            self.key.as_ref().map(|key| format!("key='{key}'")),
            self.deadline_ms
                .map(|millis| format!("deadline_ms='{millis}'")),
            self.urgent.then(|| "urgent='1'".to_owned()),
            self.max_age_ms
                .map(|millis| format!("max_age_ms='{millis}'")),
        ];
        let marks: Vec<String> = marks.into_iter().flatten().collect();
        write!(formatter, "/*{}*/", marks.join(","))
    }
}

/// Who calls, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// The gateway, or an endpoint's data port.
    pub gateway: SocketAddr,
    /// The customer.
    pub customer: String,
    /// The database group.
    pub group: String,
    /// The session's name.
    pub session: String,
}

/// Which instance served a request, as the gateway's notice says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedNotice {
    /// The instance.
    pub instance: String,
    /// Whether it served as a replica.
    pub replica: bool,
    /// Its position, as text.
    pub position: String,
}

impl ServedNotice {
    /// Parses `served by INSTANCE replica=BOOL position=TERM/INDEX`.
    pub fn parse(message: &str) -> Option<Self> {
        let mut words = message.strip_prefix("served by ")?.split(' ');
        Some(Self {
            instance: words.next()?.to_owned(),
            replica: words.next()?.strip_prefix("replica=")?.parse().ok()?,
            position: words.next()?.strip_prefix("position=")?.to_owned(),
        })
    }
}

/// What a caller was told about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerVerdict {
    /// It ran; these are its rows.
    Ran {
        /// The rows, each value as text.
        rows: Vec<Vec<Option<String>>>,
        /// Who served it, if the gateway said so.
        served: Option<ServedNotice>,
    },
    /// It did not run.
    NotRun {
        /// The SQLSTATE, or nothing if no connection could be opened.
        sqlstate: String,
        /// The message.
        message: String,
        /// When to come back, in milliseconds, if said.
        come_back_after_ms: Option<u64>,
    },
    /// It may have run.
    MayHaveRun {
        /// Why, in the gateway's words or the connection's.
        message: String,
    },
    /// The database ran it and reported an error of its own.
    Failed {
        /// The SQLSTATE.
        sqlstate: String,
        /// The message.
        message: String,
    },
    /// No answer came while the caller waited.
    Unanswered,
}

/// An open connection of a caller.
#[derive(Debug)]
pub struct GatewayCaller {
    client: Client,
    notices: mpsc::UnboundedReceiver<String>,
    connection: JoinHandle<()>,
}

impl GatewayCaller {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the verdict [`CallerVerdict::NotRun`] for whatever was to be run on it.
    pub async fn open(settings: &CallerSettings) -> Result<Self, CallerVerdict> {
        let mut config = Config::new();
        config
            .host(settings.gateway.ip().to_string())
            .port(settings.gateway.port())
            .user(&settings.customer)
            .dbname(&settings.group)
            .options(format!(
                "-c ragwort.notice=on -c ragwort.session={}",
                settings.session
            ));
        match timeout(CONNECT_PATIENCE, config.connect(NoTls)).await {
            Ok(Ok((client, connection))) => {
                let (sender, notices) = mpsc::unbounded_channel();
                let connection = tokio::spawn(drive_connection(connection, sender));
                Ok(Self {
                    client,
                    notices,
                    connection,
                })
            }
            Ok(Err(error)) => Err(unopened(&error)),
            Err(_) => Err(CallerVerdict::NotRun {
                sqlstate: String::new(),
                message: "connection not opened in time".to_owned(),
                come_back_after_ms: None,
            }),
        }
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs a statement and waits for its verdict for as long as `patience`.
    ///
    /// After [`CallerVerdict::Unanswered`] the connection must not be used again: the answer may
    /// still come.
    pub async fn run(&mut self, statement: &str, patience: Duration) -> CallerVerdict {
        while self.notices.try_recv().is_ok() {}
        let closed_before = self.client.is_closed();
        let outcome = timeout(patience, self.client.simple_query(statement)).await;
        match outcome {
            Ok(Ok(messages)) => CallerVerdict::Ran {
                rows: collect_rows(&messages),
                served: self.last_served(),
            },
            Ok(Err(error)) => match error.as_db_error() {
                Some(error) => read_error(error),
                None if closed_before => unopened(&error),
                None => CallerVerdict::MayHaveRun {
                    message: error.to_string(),
                },
            },
            Err(_) => CallerVerdict::Unanswered,
        }
    }

    fn last_served(&mut self) -> Option<ServedNotice> {
        let mut served = None;
        while let Ok(message) = self.notices.try_recv() {
            served = ServedNotice::parse(&message).or(served);
        }
        served
    }
}

impl Drop for GatewayCaller {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

/// Passes notices on. They are handed over before the answer that they precede, so that a caller
/// who has its answer finds its notice in the channel.
async fn drive_connection(
    mut connection: Connection<tokio_postgres::Socket, NoTlsStream>,
    notices: mpsc::UnboundedSender<String>,
) {
    while let Some(Ok(message)) = poll_fn(|context| connection.poll_message(context)).await {
        if let AsyncMessage::Notice(notice) = message {
            // The caller may be gone; the connection still has to be driven to its end.
            let _ = notices.send(notice.message().to_owned());
        }
    }
}

fn collect_rows(messages: &[SimpleQueryMessage]) -> Vec<Vec<Option<String>>> {
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            let value = |index| row.get(index).map(str::to_owned);
            Some((0..row.len()).map(value).collect())
        }
        _ => None,
    });
    rows.collect()
}

fn unopened(error: &tokio_postgres::Error) -> CallerVerdict {
    match error.as_db_error() {
        Some(error) => CallerVerdict::NotRun {
            sqlstate: error.code().code().to_owned(),
            message: error.message().to_owned(),
            come_back_after_ms: error.hint().and_then(parse_come_back),
        },
        None => CallerVerdict::NotRun {
            sqlstate: String::new(),
            message: error.to_string(),
            come_back_after_ms: None,
        },
    }
}

/// Reads a verdict from an error: a gateway says in the detail that the request was not run, an
/// endpoint by its SQLSTATE that it is full, leaving or fenced.
fn read_error(error: &DbError) -> CallerVerdict {
    let sqlstate = error.code().code();
    let refused = error.detail() == Some(NOT_RUN_DETAIL)
        || sqlstate.starts_with("53")
        || sqlstate.starts_with("57P0");
    match sqlstate {
        MAY_HAVE_RUN_STATE => CallerVerdict::MayHaveRun {
            message: error.message().to_owned(),
        },
        _ if refused => CallerVerdict::NotRun {
            sqlstate: sqlstate.to_owned(),
            message: error.message().to_owned(),
            come_back_after_ms: error.hint().and_then(parse_come_back),
        },
        _ => CallerVerdict::Failed {
            sqlstate: sqlstate.to_owned(),
            message: error.message().to_owned(),
        },
    }
}

/// Parses `come back after N ms`.
fn parse_come_back(hint: &str) -> Option<u64> {
    let rest = hint.split_once("come back after ")?.1;
    rest.split_once(" ms")?.0.parse().ok()
}

/// Opens a TCP connection to see whether anybody listens.
pub async fn is_listening(address: SocketAddr) -> bool {
    TcpStream::connect(address).await.is_ok()
}
