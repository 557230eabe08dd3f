//! The interface to the server for readiness, endpoint announcements and operators' requests.

use crate::log_event;
use crate::metrics::DaemonMetrics;
use crate::server::ServerRoutes;
use async_trait::async_trait;
use log::Level;
use ragwort_types::AnnouncementReply;
use ragwort_types::ContractDocument;
use ragwort_types::DocumentReadReply;
use ragwort_types::DocumentReply;
use ragwort_types::EndpointAnnouncement;
use std::io;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Serves requests from outside the daemon by its [`NodeServices`].
#[async_trait]
pub trait ServiceEdge: Send + Sync + 'static {
    /// Serves until `stop` holds true.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a listening address can't be bound.
    async fn serve(&self, services: NodeServices, stop: watch::Receiver<bool>) -> io::Result<()>;

    /// Returns the seed addresses in the settings at present; `None` if they can't be read.
    ///
    /// The daemon calls it after a notice that the settings have changed, and also periodically.
    fn read_seeds(&self) -> Option<Vec<SocketAddr>>;
}

/// The daemon's operations for a [`ServiceEdge`]. Clones share the same daemon.
#[derive(Clone)]
pub struct NodeServices {
    routes: ServerRoutes,
    ready: watch::Receiver<bool>,
    metrics: DaemonMetrics,
}

/// Refused announcements for each line in the log; a sender of thousands must not fill the log.
const REFUSALS_PER_LOG_LINE: u64 = 100;

/// The maximum number of characters of a fault that are logged, as it may quote the received text.
const MAX_FAULT_CHARS: usize = 120;

impl NodeServices {
    pub(crate) fn new(
        routes: ServerRoutes,
        ready: watch::Receiver<bool>,
        metrics: DaemonMetrics,
    ) -> Self {
        Self {
            routes,
            ready,
            metrics,
        }
    }

    /// Returns whether the VM accepts callers.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Forwards an endpoint's announcement to the VMs that serve its group.
    pub async fn announce(&self, announcement: EndpointAnnouncement) -> AnnouncementReply {
        self.routes.announcements.distribute(announcement).await
    }

    /// Records an announcement that was refused because it names no usable endpoint.
    ///
    /// Any sender can cause these in any number, so only every hundredth is logged; the
    /// metrics count all.
    pub fn record_refused_announcement(&self, fault: &str) {
        let refused = self.metrics.count_refused_announcement();
        if refused % REFUSALS_PER_LOG_LINE == 1 {
            log_event!(
                Level::Warn,
                "announcement_refused",
                fault = fault.chars().take(MAX_FAULT_CHARS).collect::<String>(),
                refused = refused,
            );
        }
    }

    /// Replaces the whole contract document; the highest version wins.
    pub async fn apply_document(&self, document: ContractDocument) -> DocumentReply {
        self.routes.replace_document(document).await
    }

    /// Returns the contract document that a majority of the voters confirms to be the newest.
    pub async fn read_document(&self) -> DocumentReadReply {
        self.routes.find_document().await
    }
}
