//! Measures the processor time and memory of an idle link between two VMs, at both ends.
//!
//! This process opens the links to one daemon, with the same keep-alive pings as between daemons,
//! and measures itself as the client side.

use crate::scale_process::ProcessUse;
use crate::scale_set::ScaleSet;
use crate::set_calls::SetFault;
use jsonrpsee_ws_client::PingConfig;
use jsonrpsee_ws_client::WsClient;
use jsonrpsee_ws_client::WsClientBuilder;
use serde::Serialize;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// The interval of keep-alive pings, as in `crates/daemon/src/peers.rs`.
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// The silence after which a link is closed, as in `crates/daemon/src/peers.rs`.
const PING_INACTIVITY_LIMIT: Duration = Duration::from_secs(20);

/// The time to let both sides settle before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The cost of an idle link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LinkCost {
    /// The number of open links.
    pub links: usize,
    /// The server's processor time per link, in percent of one core.
    pub server_percent: f64,
    /// The client's processor time per link, in percent of one core.
    pub client_percent: f64,
    /// The server's resident memory per link, in bytes.
    pub server_bytes: f64,
    /// The client's resident memory per link, in bytes.
    pub client_bytes: f64,
}

impl fmt::Display for LinkCost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} idle links: called side {:.4} % of a core and {:.0} bytes each, \
             calling side {:.4} % and {:.0} bytes each",
            self.links,
            self.server_percent,
            self.server_bytes,
            self.client_percent,
            self.client_bytes,
        )
    }
}

/// Opens idle links to the VM with this index and measures both sides for `time` without and with
/// them.
///
/// # Errors
///
/// Returns [`SetFault::Call`] if a link can't be opened, or [`SetFault::Io`] if `/proc` can't be
/// read.
pub async fn measure_links(
    set: &ScaleSet,
    index: usize,
    count: usize,
    time: Duration,
) -> Result<LinkCost, SetFault> {
    let without = LinkSample::measure(set, index, time).await?;
    let mut links = Vec::with_capacity(count);
    for _ in 0..count {
        links.push(open_link(set, index).await?);
    }
    let with = LinkSample::measure(set, index, time).await?;
    let share = |with: f64, without: f64| (with - without) / count.max(1) as f64;
    Ok(LinkCost {
        links: links.iter().filter(|link| link.is_connected()).count(),
        server_percent: share(with.server_percent, without.server_percent),
        client_percent: share(with.client_percent, without.client_percent),
        server_bytes: share(with.server_bytes, without.server_bytes),
        client_bytes: share(with.client_bytes, without.client_bytes),
    })
}

/// The resource use of both sides over one measurement.
struct LinkSample {
    server_percent: f64,
    client_percent: f64,
    server_bytes: f64,
    client_bytes: f64,
}

impl LinkSample {
    async fn measure(set: &ScaleSet, index: usize, time: Duration) -> Result<Self, SetFault> {
        sleep(SETTLE_TIME).await;
        let read = || {
            let server = set.nodes[index].read_use().unwrap_or_default();
            ProcessUse::read(std::process::id()).map(|client| (server, client))
        };
        let began = Instant::now();
        let (server_before, client_before) = read()?;
        sleep(time).await;
        let (server, client) = read()?;
        let seconds = began.elapsed().as_secs_f64();
        let percent = |after: ProcessUse, before: ProcessUse| {
            (after.processor - before.processor).as_secs_f64() / seconds * 100.0
        };
        Ok(Self {
            server_percent: percent(server, server_before),
            client_percent: percent(client, client_before),
            server_bytes: server.resident_bytes as f64,
            client_bytes: client.resident_bytes as f64,
        })
    }
}

async fn open_link(set: &ScaleSet, index: usize) -> Result<WsClient, SetFault> {
    let pings = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PING_INACTIVITY_LIMIT)
        .max_failures(1);
    let url = format!("ws://{}", set.nodes[index].peers);
    let client = WsClientBuilder::default().enable_ws_ping(pings);
    Ok(client.build(url).await?)
}
