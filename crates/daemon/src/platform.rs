//! The HTTP interface for the platform: liveness, readiness, metrics and the dump.
//!
//! | path | answer |
//! | --- | --- |
//! | `/live` | 200 as long as the process answers |
//! | `/ready` | 200 when the VM takes work, else 503 |
//! | `/metrics` | OpenMetrics text |
//! | `/dump` | the whole state as JSON |

use crate::metrics::DaemonMetrics;
use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde_json::Value;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time limit for a dump.
///
/// The tasks that own the state answer between two messages. A stuck task must not hang the
/// operator who investigates it.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A request for a dump, on which the owner of the state sends it back.
pub type DumpRequest = oneshot::Sender<Value>;

/// The channel on which dumps are requested.
pub type DumpSource = mpsc::Sender<DumpRequest>;

/// The state that the platform's paths show.
#[derive(Clone, Debug)]
pub struct PlatformView {
    /// Whether the VM takes work.
    pub ready: watch::Receiver<bool>,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// The channel on which dumps are requested.
    pub dump: DumpSource,
}

/// Starts to answer the platform on `listener` until `stop` holds true.
///
/// The caller joins the returned task, which ends when its open requests are answered.
pub fn start_platform(
    listener: TcpListener,
    view: PlatformView,
    stop: watch::Receiver<bool>,
) -> JoinHandle<io::Result<()>> {
    let router = Router::new()
        .route("/live", get(answer_live))
        .route("/ready", get(answer_ready))
        .route("/metrics", get(answer_metrics))
        .route("/dump", get(answer_dump))
        .with_state(view);
    let server = axum::serve(listener, router).with_graceful_shutdown(wait_until_true(stop));
    tokio::spawn(async move { server.await })
}

/// Waits until a channel holds true or its sender is gone.
pub async fn wait_until_true(mut flag: watch::Receiver<bool>) {
    // A dropped sender means that the parent has ended, which also ends the wait.
    let _ = flag.wait_for(|set| *set).await;
}

async fn answer_live() -> &'static str {
    "live\n"
}

async fn answer_ready(State(view): State<PlatformView>) -> Response {
    if *view.ready.borrow() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

async fn answer_metrics(State(view): State<PlatformView>) -> Response {
    ([(CONTENT_TYPE, METRICS_TYPE)], view.metrics.to_text()).into_response()
}

async fn answer_dump(State(view): State<PlatformView>) -> Response {
    match timeout(DUMP_TIMEOUT, request_dump(&view.dump)).await {
        Ok(Some(dump)) => Json(dump).into_response(),
        Ok(None) => (StatusCode::SERVICE_UNAVAILABLE, "shutting down\n").into_response(),
        Err(_) => (StatusCode::GATEWAY_TIMEOUT, "no dump in time\n").into_response(),
    }
}

/// Requests one dump; `None` means that the owner of the state has ended.
pub async fn request_dump(source: &DumpSource) -> Option<Value> {
    let (request, reply) = oneshot::channel();
    source.send(request).await.ok()?;
    reply.await.ok()
}
