//! An endpoint makes itself known: to the given addresses first, then to those it was told of.

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

const PATIENCE: Duration = Duration::from_secs(20);

struct DaemonFake {
    address: SocketAddr,
    announce_to: watch::Sender<Vec<SocketAddr>>,
    heard: mpsc::UnboundedReceiver<EndpointAnnouncement>,
    server: ServerHandle,
}

struct AnnounceFake {
    announce_to: watch::Receiver<Vec<SocketAddr>>,
    heard: mpsc::UnboundedSender<EndpointAnnouncement>,
}

#[async_trait]
impl AnnounceApiServer for AnnounceFake {
    async fn announce(&self, announcement: EndpointAnnouncement) -> RpcResult<AnnouncementReply> {
        // The test may have heard enough.
        let _ = self.heard.send(announcement);
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
        let (sender, heard) = mpsc::unbounded_channel();
        let fake = AnnounceFake {
            announce_to: replies,
            heard: sender,
        };
        Self {
            address,
            announce_to,
            heard,
            server: server.start(fake.into_rpc()),
        }
    }

    async fn hear(&mut self) -> EndpointAnnouncement {
        let heard = timeout(PATIENCE, self.heard.recv()).await;
        heard.expect("no announcement came").unwrap()
    }

    async fn stop(self) {
        self.server.stop().unwrap();
        self.server.stopped().await;
    }
}

/// The first given address is dead: the second one is tried. It names the leaseholder, which hears
/// from then on. The leaseholder dies: the given addresses hear again.
#[tokio::test]
async fn announcements_move_and_fall_back() {
    let (mut gateway, mut leaseholder) = (DaemonFake::start().await, DaemonFake::start().await);
    let mut settings = EndpointSettings::quick("a", true);
    settings.announce = vec![([127, 0, 0, 1], 1).into(), gateway.address];
    let endpoint = LabEndpoint::start(&settings).await.unwrap();
    let first = gateway.hear().await;
    assert_eq!(first.agent_address, endpoint.agent_address());
    let both = vec![leaseholder.address];
    leaseholder.announce_to.send_replace(both.clone());
    gateway.announce_to.send_replace(both);
    leaseholder.hear().await;
    leaseholder.hear().await;
    leaseholder.stop().await;
    while gateway.heard.try_recv().is_ok() {}
    gateway.hear().await;
    endpoint.stop().await;
    gateway.stop().await;
}

/// An endpoint that leaves says so at once; one that is cut off says nothing.
#[tokio::test]
async fn leaving_is_announced_and_isolation_is_silent() {
    let mut gateway = DaemonFake::start().await;
    let mut settings = EndpointSettings::quick("a", true);
    settings.announce = vec![gateway.address];
    let endpoint = LabEndpoint::start(&settings).await.unwrap();
    assert!(!gateway.hear().await.status.leaving);
    endpoint
        .shared()
        .set_fault(FaultRequest::Leaving(true))
        .await;
    while !gateway.hear().await.status.leaving {}
    endpoint
        .shared()
        .set_fault(FaultRequest::Isolate(true))
        .await;
    let quiet = async { while timeout(SHORT, gateway.heard.recv()).await.is_ok() {} };
    timeout(PATIENCE, quiet).await.unwrap();
    endpoint
        .shared()
        .set_fault(FaultRequest::Isolate(false))
        .await;
    gateway.hear().await;
    endpoint.stop().await;
    gateway.stop().await;
}

/// Longer than the endpoint's interval by a factor of five.
const SHORT: Duration = Duration::from_secs(1);
