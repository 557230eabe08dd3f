//! Announcements go to the addresses that daemons ask for, and to the configured ones if those
//! don't answer.

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::faults::FaultRequest;
use ragwort_rpc::AnnounceApiServer;
use ragwort_types::AnnouncementReply;
use ragwort_types::EndpointAnnouncement;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A server that records announcements and answers with the addresses in `announce_to`.
struct DaemonFake {
    address: SocketAddr,
    announce_to: watch::Sender<Vec<SocketAddr>>,
    announcements: mpsc::UnboundedReceiver<EndpointAnnouncement>,
    server: ServerHandle,
}

struct AnnounceFake {
    announce_to: watch::Receiver<Vec<SocketAddr>>,
    announcements: mpsc::UnboundedSender<EndpointAnnouncement>,
}

#[async_trait]
impl AnnounceApiServer for AnnounceFake {
    async fn announce(&self, announcement: EndpointAnnouncement) -> RpcResult<AnnouncementReply> {
        // A send error means that the test has dropped the receiver.
        let _ = self.announcements.send(announcement);
        let announce_to = self.announce_to.borrow().clone();
        Ok(AnnouncementReply {
            announce_to,
            leaseholder_told: true,
        })
    }
}

impl DaemonFake {
    async fn start() -> Self {
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let (announce_to, replies) = watch::channel(Vec::new());
        let (sender, announcements) = mpsc::unbounded_channel();
        let fake = AnnounceFake {
            announce_to: replies,
            announcements: sender,
        };
        Self {
            address,
            announce_to,
            announcements,
            server: server.start(fake.into_rpc()),
        }
    }

    async fn next_announcement(&mut self) -> EndpointAnnouncement {
        let announcements = timeout(ANNOUNCEMENT_TIMEOUT, self.announcements.recv()).await;
        announcements.expect("no announcement came").unwrap()
    }

    async fn stop(self) {
        self.server.stop().unwrap();
        self.server.stopped().await;
    }
}

/// Guards against an endpoint that becomes unknown because it announces to a dead address. The
/// first configured address doesn't answer, so the second one gets the announcement. It refers to
/// the leaseholder, which gets the following ones. When the leaseholder stops, announcements go to
/// a configured address again.
#[tokio::test]
async fn announcements_move_and_fall_back() {
    let (mut gateway, mut leaseholder) = (DaemonFake::start().await, DaemonFake::start().await);
    let mut settings = EndpointSettings::quick("a", true);
    settings.announce = vec![([127, 0, 0, 1], 1).into(), gateway.address];
    let endpoint = LabEndpoint::start(&settings).await.unwrap();
    let first = gateway.next_announcement().await;
    assert_eq!(first.agent_address, endpoint.agent_address());
    let both = vec![leaseholder.address];
    leaseholder.announce_to.send_replace(both.clone());
    gateway.announce_to.send_replace(both);
    leaseholder.next_announcement().await;
    leaseholder.next_announcement().await;
    leaseholder.stop().await;
    while gateway.announcements.try_recv().is_ok() {}
    gateway.next_announcement().await;
    endpoint.stop().await;
    gateway.stop().await;
}

/// An endpoint that is about to shut down announces it at once; an isolated endpoint sends no
/// announcements.
#[tokio::test]
async fn leaving_is_announced_and_isolation_is_silent() {
    let mut gateway = DaemonFake::start().await;
    let mut settings = EndpointSettings::quick("a", true);
    settings.announce = vec![gateway.address];
    let endpoint = LabEndpoint::start(&settings).await.unwrap();
    assert!(!gateway.next_announcement().await.status.leaving);
    endpoint
        .shared()
        .set_fault(FaultRequest::Leaving(true))
        .await;
    while !gateway.next_announcement().await.status.leaving {}
    endpoint
        .shared()
        .set_fault(FaultRequest::Isolate(true))
        .await;
    let quiet = async {
        while timeout(SILENCE_PERIOD, gateway.announcements.recv())
            .await
            .is_ok()
        {}
    };
    timeout(ANNOUNCEMENT_TIMEOUT, quiet).await.unwrap();
    endpoint
        .shared()
        .set_fault(FaultRequest::Isolate(false))
        .await;
    gateway.next_announcement().await;
    endpoint.stop().await;
    gateway.stop().await;
}

/// The time without an announcement that counts as silence: five times the announcement interval.
const SILENCE_PERIOD: Duration = Duration::from_secs(1);
