//! Periodic announcements, by which daemons discover the endpoint.
//!
//! An announcement goes to all addresses that the last reply asked for. If none of them answers,
//! the configured addresses are tried in turn until one answers.

use crate::endpoint::EndpointShared;
use futures::future::join_all;
use jsonrpsee::core::ClientError;
use jsonrpsee_http_client::HttpClient;
use ragwort_rpc::AnnounceApiClient;
use ragwort_types::AnnouncementReply;
use ragwort_types::EndpointAnnouncement;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// The interval between announcements: a tenth of the 2 s of silence after which the endpoint is no
/// longer used, so that several announcements in a row may be lost.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// The timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends the announcements of one endpoint.
#[derive(Debug)]
pub struct Announcer {
    announcement: EndpointAnnouncement,
    /// The addresses of the endpoint's settings.
    configured: Vec<SocketAddr>,
    /// The addresses that the last reply asked to announce to.
    learned: Vec<SocketAddr>,
    clients: HashMap<SocketAddr, HttpClient>,
    /// The index of the configured address to try next, modulo their number.
    next_configured: usize,
}

impl Announcer {
    /// Creates an announcer that first announces to the `configured` addresses.
    pub fn new(announcement: EndpointAnnouncement, configured: Vec<SocketAddr>) -> Self {
        Self {
            announcement,
            configured,
            learned: Vec::new(),
            clients: HashMap::new(),
            next_configured: 0,
        }
    }

    /// Announces every `ANNOUNCE_INTERVAL`, and at once when the role, the fenced term or the
    /// leaving flag changes. Returns when the instance's task has ended.
    pub async fn run(mut self, shared: Arc<EndpointShared>) {
        let mut ticks = interval(ANNOUNCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut status = shared.instance.watch_status();
        loop {
            let known = *status.borrow_and_update();
            shared.wait_until_calls_allowed().await;
            self.announcement.status = known;
            self.announce().await;
            let changed = status.wait_for(|present| {
                present.role != known.role
                    || present.fenced_term != known.fenced_term
                    || present.leaving != known.leaving
            });
            tokio::select! {
                _ = ticks.tick() => {}
                changed = changed => if changed.is_err() {
                    return;
                },
            }
        }
    }

    async fn announce(&mut self) {
        let learned = std::mem::take(&mut self.learned);
        let replies = join_all(learned.iter().map(|address| self.announce_to(*address))).await;
        let mut answered: Vec<AnnouncementReply> = replies.into_iter().flatten().collect();
        if answered.is_empty() {
            answered.extend(self.announce_to_configured().await);
        }
        self.learned = answered
            .into_iter()
            .map(|reply| reply.announce_to)
            .find(|addresses| !addresses.is_empty())
            .unwrap_or_default();
        let known = |address: &SocketAddr| {
            self.learned.contains(address) || self.configured.contains(address)
        };
        self.clients.retain(|address, _| known(address));
        for address in self.learned.iter().chain(&self.configured) {
            if !self.clients.contains_key(address)
                && let Ok(client) = connect(*address)
            {
                self.clients.insert(*address, client);
            }
        }
    }

    /// Announces to the first configured address that answers, starting with the one that answered
    /// last.
    async fn announce_to_configured(&mut self) -> Option<AnnouncementReply> {
        for _ in 0..self.configured.len() {
            let index = self.next_configured % self.configured.len();
            let reply = self.announce_to(self.configured[index]).await;
            if reply.is_some() {
                return reply;
            }
            self.next_configured = index + 1;
        }
        None
    }

    async fn announce_to(&self, address: SocketAddr) -> Option<AnnouncementReply> {
        let announcement = self.announcement.clone();
        let reply = match self.clients.get(&address) {
            Some(client) => client.announce(announcement).await,
            None => connect(address).ok()?.announce(announcement).await,
        };
        if let Err(error) = &reply {
            log::debug!("event=announce_failed to={address} error=\"{error}\"");
        }
        reply.ok()
    }
}

fn connect(address: SocketAddr) -> Result<HttpClient, ClientError> {
    HttpClient::builder()
        .request_timeout(ANNOUNCE_TIMEOUT)
        .build(format!("http://{address}"))
}
