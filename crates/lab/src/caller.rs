//! A client connection to a gateway, which sends marked statements and interprets the answers.

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

/// The SQLSTATE with which a gateway reports that a request may have run.
const MAY_HAVE_RUN_STATE: &str = "08007";

/// The error detail with which a gateway reports that a request was not run, whatever the SQLSTATE.
const NOT_RUN_DETAIL: &str = "the request was not run";

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The marks of a statement, which are sent as a leading comment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementMarks {
    /// The contract's kind of the request.
    pub kind: Option<&'static str>,
    /// The request key.
    pub key: Option<String>,
    /// The deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the request is urgent.
    pub urgent: bool,
    /// The maximum age of the data that the read accepts, in milliseconds.
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

/// The settings of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// The address of the gateway, or of an endpoint's data port.
    pub gateway: SocketAddr,
    /// The name of the customer.
    pub customer: String,
    /// The name of the database group.
    pub group: String,
    /// The name of the session.
    pub session: String,
}

/// The gateway's notice about the instance that served a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedNotice {
    /// The name of the instance.
    pub instance: String,
    /// Whether the instance was a replica.
    pub replica: bool,
    /// The instance's log position, as text.
    pub position: String,
}

impl ServedNotice {
    /// Parses a notice of the form `served by INSTANCE replica=BOOL position=TERM/INDEX`.
    pub fn parse(message: &str) -> Option<Self> {
        let mut words = message.strip_prefix("served by ")?.split(' ');
        Some(Self {
            instance: words.next()?.to_owned(),
            replica: words.next()?.strip_prefix("replica=")?.parse().ok()?,
            position: words.next()?.strip_prefix("position=")?.to_owned(),
        })
    }
}

/// The outcome of a request, as its caller knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerVerdict {
    /// The request ran.
    Ran {
        /// The rows, each value as text.
        rows: Vec<Vec<Option<String>>>,
        /// The instance that served it, if the gateway sent a notice.
        served: Option<ServedNotice>,
    },
    /// The request did not run.
    NotRun {
        /// The SQLSTATE; empty if no connection could be opened.
        sqlstate: String,
        /// The message.
        message: String,
        /// The time after which to retry, in milliseconds, if the gateway stated it.
        come_back_after_ms: Option<u64>,
    },
    /// The request may have run.
    MayHaveRun {
        /// The message of the gateway, or the error of the connection.
        message: String,
    },
    /// The database reported an error of the statement.
    Failed {
        /// The SQLSTATE.
        sqlstate: String,
        /// The message.
        message: String,
    },
    /// There was no answer within the caller's timeout.
    Unanswered,
}

/// An open connection to a gateway or an endpoint.
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
    /// Returns [`CallerVerdict::NotRun`], which is the verdict of the request that the connection
    /// was opened for.
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
        match timeout(CONNECT_TIMEOUT, config.connect(NoTls)).await {
            Ok(Ok((client, connection))) => {
                let (sender, notices) = mpsc::unbounded_channel();
                let connection = tokio::spawn(drive_connection(connection, sender));
                Ok(Self {
                    client,
                    notices,
                    connection,
                })
            }
            Ok(Err(error)) => Err(not_run_verdict(&error)),
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

    /// Runs a statement and waits for its verdict, for `max_wait` at most.
    ///
    /// After [`CallerVerdict::Unanswered`] the connection must not be used again, as a late answer
    /// would be taken for that of the next statement.
    pub async fn run(&mut self, statement: &str, max_wait: Duration) -> CallerVerdict {
        while self.notices.try_recv().is_ok() {}
        let closed_before = self.client.is_closed();
        let outcome = timeout(max_wait, self.client.simple_query(statement)).await;
        match outcome {
            Ok(Ok(messages)) => CallerVerdict::Ran {
                rows: collect_rows(&messages),
                served: self.last_served(),
            },
            Ok(Err(error)) => match error.as_db_error() {
                Some(error) => classify_error(error),
                None if closed_before => not_run_verdict(&error),
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

/// Drives the connection and forwards its notices. A notice is sent to the channel before the
/// answer that it precedes is delivered, so a caller that has its answer finds the notice in the
/// channel.
async fn drive_connection(
    mut connection: Connection<tokio_postgres::Socket, NoTlsStream>,
    notices: mpsc::UnboundedSender<String>,
) {
    while let Some(Ok(message)) = poll_fn(|context| connection.poll_message(context)).await {
        if let AsyncMessage::Notice(notice) = message {
            // The connection must be driven to its end even if the caller has been dropped.
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

fn not_run_verdict(error: &tokio_postgres::Error) -> CallerVerdict {
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

/// Converts a server's error to a verdict. A gateway states in the error's detail that a request
/// was not run; an endpoint refuses statements by a SQLSTATE of class 53 (too many connections) or
/// 57P0x (fenced or shutting down).
fn classify_error(error: &DbError) -> CallerVerdict {
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

/// Parses the hint `come back after N ms`.
fn parse_come_back(hint: &str) -> Option<u64> {
    let rest = hint.split_once("come back after ")?.1;
    rest.split_once(" ms")?.0.parse().ok()
}

/// Returns whether a TCP connection to the address can be opened.
pub async fn is_listening(address: SocketAddr) -> bool {
    TcpStream::connect(address).await.is_ok()
}
