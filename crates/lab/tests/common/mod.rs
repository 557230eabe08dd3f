//! Helpers of the tests: endpoints in the test's process, and clients for their ports.

use jsonrpsee_http_client::HttpClient;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use std::net::SocketAddr;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Starts an endpoint with [`EndpointSettings::quick`].
pub async fn start_quick(instance: &str, primary: bool) -> LabEndpoint {
    LabEndpoint::start(&EndpointSettings::quick(instance, primary))
        .await
        .unwrap()
}

/// Opens a data connection.
pub async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("legal-aid").dbname("cases");
    let (client, connection) = config.connect(NoTls).await?;
    // The task ends when the client is dropped.
    tokio::spawn(connection);
    Ok(client)
}

/// Opens a data connection; panics on failure.
pub async fn connect(endpoint: &LabEndpoint) -> Client {
    try_connect(endpoint.data_address()).await.unwrap()
}

/// Creates a client of an endpoint's agent.
pub fn agent(endpoint: &LabEndpoint) -> HttpClient {
    let url = format!("http://{}", endpoint.agent_address());
    HttpClient::builder().build(url).unwrap()
}

/// Runs a statement and returns its rows, each value as text.
pub async fn rows(
    client: &Client,
    statement: &str,
) -> Result<Vec<Vec<Option<String>>>, tokio_postgres::Error> {
    let messages = client.simple_query(statement).await?;
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            let value = |index| row.get(index).map(str::to_owned);
            Some((0..row.len()).map(value).collect())
        }
        _ => None,
    });
    Ok(rows.collect())
}

/// Returns the value of a key.
pub async fn read(client: &Client, key: &str) -> Option<String> {
    let rows = rows(client, &format!("get {key}")).await.unwrap();
    rows[0][0].clone()
}

/// Returns the SQLSTATE with which a statement fails.
pub async fn sqlstate(client: &Client, statement: &str) -> String {
    let error = client.simple_query(statement).await.unwrap_err();
    error
        .code()
        .map_or_else(|| format!("{error:?}"), |state| state.code().to_owned())
}
