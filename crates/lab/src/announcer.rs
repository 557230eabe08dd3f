//! Announcements: the endpoint makes itself known, nobody lists it.

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

/// The time between announcements: a tenth of the 2 s after which silence takes the endpoint out of
/// use, so that several may be lost.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// How long one announcement may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Announces an endpoint.
#[derive(Debug)]
pub struct Announcer {
    announcement: EndpointAnnouncement,
    given: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
    clients: HashMap<SocketAddr, HttpClient>,
    next_given: usize,
}

impl Announcer {
    /// Creates an announcer that starts from the given addresses.
    pub fn new(announcement: EndpointAnnouncement, given: Vec<SocketAddr>) -> Self {
        Self {
            announcement,
            given,
            learned: Vec::new(),
            clients: HashMap::new(),
            next_given: 0,
        }
    }

    /// Announces every [`ANNOUNCE_INTERVAL`], and at once when role, term or leaving change.
    pub async fn run(mut self, shared: Arc<EndpointShared>) {
        let mut ticks = interval(ANNOUNCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut status = shared.instance.watch_status();
        loop {
            let known = *status.borrow_and_update();
            shared.pass_isolation().await;
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
            answered.extend(self.announce_to_given().await);
        }
        self.learned = answered
            .into_iter()
            .map(|reply| reply.announce_to)
            .find(|addresses| !addresses.is_empty())
            .unwrap_or_default();
        let known =
            |address: &SocketAddr| self.learned.contains(address) || self.given.contains(address);
        self.clients.retain(|address, _| known(address));
        for address in self.learned.iter().chain(&self.given) {
            if !self.clients.contains_key(address)
                && let Ok(client) = connect(*address)
            {
                self.clients.insert(*address, client);
            }
        }
    }

    /// Tries the given addresses in turn, from the one that answered last.
    async fn announce_to_given(&mut self) -> Option<AnnouncementReply> {
        for _ in 0..self.given.len() {
            let index = self.next_given % self.given.len();
            let reply = self.announce_to(self.given[index]).await;
            if reply.is_some() {
                return reply;
            }
            self.next_given = index + 1;
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
