//! Asynchronous replication: a replica fetches log entries from its primary's agent by long
//! polling.
//!
//! If the logs have diverged, the replica truncates its own step by step until it is a prefix of
//! the primary's. Entries are applied once the configured lag has passed since they were written.

use crate::endpoint::EndpointShared;
use crate::instance::FetchReply;
use crate::instance::FetchRequest;
use crate::instance::FollowTarget;
use crate::instance::LogEntry;
use crate::instance_task::unix_micros;
use crate::lab_rpc::LabApiClient;
use jsonrpsee_http_client::HttpClient;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The time, in milliseconds, for which the primary may delay an empty reply (long poll).
const FETCH_WAIT_MS: u64 = 500;

/// The timeout of a fetch, after which the replica retries, possibly on a new connection.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause after a failed fetch and while replication is cut by a fault.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Pulls from the primary that the instance follows, and restarts whenever the target changes.
///
/// Returns when the instance's task has ended.
pub async fn run_puller(shared: Arc<EndpointShared>) {
    let mut targets = shared.instance.watch_target();
    loop {
        let target = *targets.borrow_and_update();
        tokio::select! {
            changed = targets.changed() => if changed.is_err() {
                return;
            },
            () = pull_from(&shared, target) => {}
        }
    }
}

/// Pulls from one primary; never returns. Without a target it waits.
async fn pull_from(shared: &EndpointShared, target: Option<FollowTarget>) {
    let Some(target) = target else {
        return std::future::pending().await;
    };
    let url = format!("http://{}", target.primary_agent);
    let builder = HttpClient::builder().request_timeout(FETCH_TIMEOUT);
    let client = match builder.build(url) {
        Ok(client) => client,
        Err(error) => {
            log::error!("event=pull_failed target={target:?} error=\"{error}\"");
            return std::future::pending().await;
        }
    };
    loop {
        shared.wait_until_calls_allowed().await;
        let progressed = pull_once(shared, target, &client).await;
        if !progressed {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Fetches and applies one batch; returns whether to fetch the next one without a pause.
async fn pull_once(shared: &EndpointShared, target: FollowTarget, client: &HttpClient) -> bool {
    if shared.faults.borrow().replication_cut {
        return false;
    }
    let request = FetchRequest {
        term: target.term,
        after: shared.instance.status().position,
        wait_ms: FETCH_WAIT_MS,
    };
    let after = request.after.index;
    match client.fetch_log(request).await {
        Ok(FetchReply::Entries(entries)) => {
            apply_when_due(shared, target, after, entries).await;
            true
        }
        Ok(FetchReply::Mismatch(index)) => {
            shared.instance.drop_after(target.term, index).await;
            true
        }
        Ok(FetchReply::NotPrimary) | Err(_) => false,
    }
}

/// Waits until the first entry is due and applies all entries that are due by then. An entry is due
/// when the replica's lag has passed since it was written. The others are fetched again.
async fn apply_when_due(
    shared: &EndpointShared,
    target: FollowTarget,
    after: u64,
    mut entries: Vec<LogEntry>,
) {
    let lag_us = shared.faults.borrow().lag_ms * 1_000;
    let Some(first) = entries.first() else {
        return;
    };
    let wait_us = (first.written_us + lag_us).saturating_sub(unix_micros());
    if wait_us > 0 {
        sleep(Duration::from_micros(wait_us)).await;
    }
    shared.wait_until_calls_allowed().await;
    if shared.faults.borrow().replication_cut {
        return;
    }
    let now_us = unix_micros();
    let due = entries.partition_point(|entry| entry.written_us + lag_us <= now_us);
    entries.truncate(due.max(1));
    shared.instance.append(target.term, after, entries).await;
}
