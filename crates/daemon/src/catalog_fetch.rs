//! Fetches the catalog from control VMs piece by piece, concurrently with the heartbeats.
//!
//! The member task asks for a revision. If a control VM stops answering, the pieces received so far
//! are kept and the transfer continues at the next one.

use crate::clock::NodeClock;
use crate::directory::ControlDirectory;
use crate::log_event;
use crate::member::MemberView;
use crate::peers::PeerLinks;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::CatalogTransfer;
use ragwort_control::TransferStep;
use ragwort_rpc::PeerApiClient;
use ragwort_rpc::unpack_piece;
use ragwort_types::CatalogPiece;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::PieceRequest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time limit for one piece: 20 times its transfer time over a link of 2 Mbit/s, as callers'
/// traffic and other pieces share the link.
const PIECE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause before the next control VM is asked after a failure, or because the last one was
/// behind.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The dependencies of the fetch task.
pub(crate) struct FetchContext {
    /// The process's clock.
    pub(crate) clock: NodeClock,
    /// Links to the control VMs.
    pub(crate) links: PeerLinks,
    /// The addresses of the control VMs.
    pub(crate) directory: ControlDirectory,
    /// Holds the catalog copy from which a transfer begins.
    pub(crate) view: watch::Receiver<MemberView>,
    /// The part of the catalog that this VM needs.
    pub(crate) scope: CatalogScope,
}

/// The member task's handle to the fetch task.
pub(crate) struct CatalogFetch {
    needed: watch::Sender<CatalogRevision>,
    copies: mpsc::Receiver<CatalogCopy>,
    task: JoinHandle<()>,
}

impl CatalogFetch {
    /// Starts the task.
    pub(crate) fn start(context: FetchContext) -> Self {
        let (needed, needs) = watch::channel(CatalogRevision(0));
        let (sender, copies) = mpsc::channel(1);
        let task = tokio::spawn(context.run(needs, sender));
        Self {
            needed,
            copies,
            task,
        }
    }

    /// Asks for a copy of this revision or a later one.
    pub(crate) fn ask_for(&self, revision: CatalogRevision) {
        self.needed.send_if_modified(|needed| {
            let raised = revision > *needed;
            *needed = revision.max(*needed);
            raised
        });
    }

    /// Waits for a complete copy. The future may be dropped and the method called again without
    /// losing a copy.
    pub(crate) async fn next_copy(&mut self) -> CatalogCopy {
        match self.copies.recv().await {
            Some(copy) => copy,
            // The fetch task ends only after this handle.
            None => std::future::pending().await,
        }
    }

    /// Ends the task and joins it.
    pub(crate) async fn stop(self) {
        self.task.abort();
        // The abort shows as a cancellation error.
        let _ = self.task.await;
    }
}

impl FetchContext {
    async fn run(
        self,
        mut needs: watch::Receiver<CatalogRevision>,
        copies: mpsc::Sender<CatalogCopy>,
    ) {
        while needs.changed().await.is_ok() {
            let needed = *needs.borrow_and_update();
            let held = Arc::clone(&self.view.borrow().copy);
            if held.revision() >= needed {
                continue;
            }
            let copy = self.fetch(&held, needed).await;
            if copies.send(copy).await.is_err() {
                return;
            }
        }
    }

    async fn fetch(&self, held: &CatalogCopy, needed: CatalogRevision) -> CatalogCopy {
        let started = self.clock.now();
        let mut transfer = CatalogTransfer::begin(held, self.scope, needed);
        let mut address_index = 0;
        let (mut pieces, mut bytes) = (0, 0);
        log_event!(
            Level::Info,
            "catalog_transfer_started",
            held = held.revision(),
            needed = needed,
        );
        loop {
            let addresses = self.directory.addresses();
            let address = addresses
                .get(address_index % addresses.len().max(1))
                .copied();
            let fetched = match address {
                Some(address) => self.fetch_piece(address, transfer.to_request()).await,
                None => Err("no control VM is known".to_owned()),
            };
            let step = match fetched {
                Ok((piece, length)) => {
                    pieces += 1;
                    bytes += length;
                    transfer.take(&piece)
                }
                Err(cause) => {
                    log_event!(
                        Level::Warn,
                        "catalog_transfer_interrupted",
                        control = address.map_or("none".to_owned(), |address| address.to_string()),
                        reached = transfer.cursor().revision,
                        needed = needed,
                        cause = cause,
                    );
                    TransferStep::Behind
                }
            };
            match step {
                TransferStep::Ongoing => {}
                TransferStep::Behind => {
                    address_index += 1;
                    sleep(RETRY_PAUSE).await;
                }
                TransferStep::Done(copy) => {
                    log_event!(
                        Level::Info,
                        "catalog_transfer_ended",
                        revision = copy.revision(),
                        pieces = pieces,
                        bytes = bytes,
                        took_ms = self.clock.now().since(started).as_millis(),
                    );
                    return copy;
                }
            }
        }
    }

    async fn fetch_piece(
        &self,
        address: SocketAddr,
        request: PieceRequest,
    ) -> Result<(CatalogPiece, usize), String> {
        let call = |client: Arc<WsClient>| async move { client.read_catalog(request).await };
        let packed = self.links.call(address, PIECE_TIMEOUT, call).await;
        let packed = packed.map_err(|error| error.to_string())?;
        let piece = unpack_piece(&packed).map_err(|error| error.to_string())?;
        Ok((piece, packed.len()))
    }
}
