//! An endpoint with canned answers, for faults that the lab's endpoint never shows.

use async_trait::async_trait;
use futures::Sink;
use futures::stream;
use pgwire::api::ClientInfo;
use pgwire::api::ClientPortalStore;
use pgwire::api::PgWireServerHandlers;
use pgwire::api::Type;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::portal::Format;
use pgwire::api::portal::Portal;
use pgwire::api::query::ExtendedQueryHandler;
use pgwire::api::query::SimpleQueryHandler;
use pgwire::api::results::DataRowEncoder;
use pgwire::api::results::FieldFormat;
use pgwire::api::results::FieldInfo;
use pgwire::api::results::QueryResponse;
use pgwire::api::results::Response;
use pgwire::api::stmt::QueryParser;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::tokio::process_socket;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Starts an endpoint that answers every simple query with its own text and every extended query
/// with one row of [`typed_fields`]. If `forged_id` is given, it answers position queries with that
/// id instead of the statement's.
pub async fn start_scripted(forged_id: Option<&'static str>) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            let handlers = ScriptedHandlers(Arc::new(ScriptedEndpoint { forged_id }));
            connections.spawn(async move {
                let _ = process_socket(socket, None, handlers).await;
            });
        }
    });
    (address, tasks)
}

/// The handler of one connection.
struct ScriptedEndpoint {
    forged_id: Option<&'static str>,
}

struct ScriptedHandlers(Arc<ScriptedEndpoint>);

impl PgWireServerHandlers for ScriptedHandlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.0.clone()
    }
}

impl NoopStartupHandler for ScriptedEndpoint {}

#[async_trait]
impl SimpleQueryHandler for ScriptedEndpoint {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let values = match query.strip_prefix("show ragwort_position ") {
            Some(id) => vec![self.forged_id.unwrap_or(id), "1", "7", "cases-1"],
            None => vec![query],
        };
        let names = match values.len() {
            1 => ["text"].as_slice(),
            _ => ["id", "term", "index", "instance"].as_slice(),
        };
        let fields = names.iter().map(|name| {
            let name = (*name).to_owned();
            FieldInfo::new(name, None, None, Type::TEXT, FieldFormat::Text)
        });
        let fields = Arc::new(fields.collect::<Vec<_>>());
        let mut encoder = DataRowEncoder::new(fields.clone());
        for value in &values {
            encoder.encode_field(&Some(*value))?;
        }
        let rows = stream::iter(vec![Ok(encoder.take_row())]);
        Ok(vec![Response::Query(QueryResponse::new(fields, rows))])
    }
}

/// Returns the columns of every extended query's answer; all are in binary format and none is text.
fn typed_fields() -> Vec<FieldInfo> {
    let types = [
        ("small", Type::INT2),
        ("big", Type::INT8),
        ("truth", Type::BOOL),
        ("ratio", Type::FLOAT8),
        ("none", Type::INT4),
    ];
    let fields = types
        .into_iter()
        .map(|(name, kind)| FieldInfo::new(name.to_owned(), None, None, kind, FieldFormat::Binary));
    fields.collect()
}

#[async_trait]
impl ExtendedQueryHandler for ScriptedEndpoint {
    type Statement = String;
    type QueryParser = TypedParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::new(TypedParser)
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        _portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let fields = Arc::new(typed_fields());
        let mut encoder = DataRowEncoder::new(fields.clone());
        encoder.encode_field(&Some(-7_i16))?;
        encoder.encode_field(&Some(9_000_000_000_i64))?;
        encoder.encode_field(&Some(true))?;
        encoder.encode_field(&Some(0.5_f64))?;
        encoder.encode_field(&None::<i32>)?;
        let rows = stream::iter(vec![Ok(encoder.take_row())]);
        Ok(Response::Query(QueryResponse::new(fields, rows)))
    }
}

/// A parser that accepts every text as a statement without parameters.
struct TypedParser;

#[async_trait]
impl QueryParser for TypedParser {
    type Statement = String;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<String>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        Ok(Some(sql.to_owned()))
    }

    fn get_parameter_types(&self, _statement: &String) -> PgWireResult<Vec<Type>> {
        Ok(Vec::new())
    }

    fn get_result_schema(
        &self,
        _statement: &String,
        _format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        Ok(typed_fields())
    }
}
