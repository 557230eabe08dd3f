//! An endpoint whose every answer is told by the test, for faults that no honest endpoint shows.

use async_trait::async_trait;
use futures::Sink;
use futures::stream;
use pgwire::api::ClientInfo;
use pgwire::api::ClientPortalStore;
use pgwire::api::PgWireServerHandlers;
use pgwire::api::Type;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::query::SimpleQueryHandler;
use pgwire::api::results::DataRowEncoder;
use pgwire::api::results::FieldFormat;
use pgwire::api::results::FieldInfo;
use pgwire::api::results::QueryResponse;
use pgwire::api::results::Response;
use pgwire::error::PgWireError;
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::tokio::process_socket;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Starts an endpoint that answers every statement with its text, and echoes `echoed` in place of
/// the id that it is asked to echo.
pub async fn start_scripted(echoed: &'static str) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            let handlers = ScriptedHandlers(Arc::new(ScriptedEndpoint { echoed }));
            connections.spawn(async move {
                let _ = process_socket(socket, None, handlers).await;
            });
        }
    });
    (address, tasks)
}

struct ScriptedEndpoint {
    echoed: &'static str,
}

struct ScriptedHandlers(Arc<ScriptedEndpoint>);

impl PgWireServerHandlers for ScriptedHandlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
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
        let values = match query.starts_with("show ragwort_position") {
            true => vec![self.echoed, "1", "7"],
            false => vec![query],
        };
        let fields = values.iter().map(|_| {
            let name = "text".to_owned();
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
