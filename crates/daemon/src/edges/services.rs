//! What answers the outside beside callers: readiness, announcements, operators.

use crate::log_event;
use crate::metrics::DaemonMetrics;
use crate::server::ServerRoutes;
use async_trait::async_trait;
use log::Level;
use ragwort_types::AnnouncementReply;
use ragwort_types::ContractDocument;
use ragwort_types::DocumentReading;
use ragwort_types::DocumentReply;
use ragwort_types::EndpointAnnouncement;
use std::io;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Serves the outside by the daemon's [`NodeServices`].
#[async_trait]
pub trait ServiceEdge: Send + Sync + 'static {
    /// Serves until `stop` holds true.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if an address can't be listened on.
    async fn serve(&self, services: NodeServices, stop: watch::Receiver<bool>) -> io::Result<()>;

    /// Returns the seeds as the settings name them now.
    ///
    /// The daemon asks again when it is told that its settings have changed, and now and then
    /// without being told. `None` means that they can't be read.
    fn read_seeds(&self) -> Option<Vec<SocketAddr>>;
}

/// What the daemon does for the outside. Clones lead to the same daemon.
#[derive(Clone)]
pub struct NodeServices {
    routes: ServerRoutes,
    ready: watch::Receiver<bool>,
    metrics: DaemonMetrics,
}

/// Of so many refused announcements one is logged, so that a sender of thousands can't fill the log.
const REFUSALS_PER_LINE: u64 = 100;

/// The most characters of a fault that are logged; it may quote what was sent.
const LONGEST_FAULT: usize = 120;

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

    /// Says whether the VM takes callers.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Takes an endpoint's announcement to the VMs that serve its group.
    pub async fn announce(&self, announcement: EndpointAnnouncement) -> AnnouncementReply {
        self.routes.spread_announcement(announcement).await
    }

    /// Notes that something announced itself in a way that names no endpoint to use.
    ///
    /// Anybody can send such announcements in any number, so only now and then one is logged; the
    /// metrics count all.
    pub fn note_refused_announcement(&self, fault: &str) {
        let refused = self.metrics.count_refused_announcement();
        if refused % REFUSALS_PER_LINE == 1 {
            log_event!(
                Level::Warn,
                "announcement_refused",
                fault = fault.chars().take(LONGEST_FAULT).collect::<String>(),
                refused = refused,
            );
        }
    }

    /// Replaces the whole configuration; the highest version wins.
    pub async fn apply_document(&self, document: ContractDocument) -> DocumentReply {
        self.routes.replace_document(document).await
    }

    /// Returns the configuration that a majority confirms to be the newest.
    pub async fn read_document(&self) -> DocumentReading {
        self.routes.find_document().await
    }
}
