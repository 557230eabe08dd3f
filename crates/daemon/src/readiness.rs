//! Readiness, as the platform and the metrics show it.

use crate::clock::NodeClock;
use crate::log_event;
use crate::member::MemberView;
use crate::metrics::DaemonMetrics;
use log::Level;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::interval;

/// How often readiness and the lease's metrics are brought up to date.
const READINESS_EVERY: Duration = Duration::from_millis(50);

/// Keeps readiness and the lease's metrics up to date.
pub(crate) struct ReadinessTask {
    pub(crate) clock: NodeClock,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) view: watch::Receiver<MemberView>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) broken_invariants: u64,
}

impl ReadinessTask {
    pub(crate) async fn run(mut self) {
        let mut ticker = interval(READINESS_EVERY);
        loop {
            tokio::select! {
                _ = ticker.tick() => {}
                _ = self.stop.wait_for(|set| *set) => break,
            }
            let view = self.view.borrow().clone();
            let held = view.may_serve(self.clock.now());
            let ready = held && !view.draining;
            self.metrics.set_lease_held(held);
            self.metrics.set_catalog_revision(view.copy.revision());
            self.show_broken_invariants();
            if self.ready.send_replace(ready) != ready {
                log_event!(Level::Info, "readiness", ready = ready);
            }
        }
    }

    fn show_broken_invariants(&mut self) {
        let broken = ragwort_control::broken_invariants();
        for _ in self.broken_invariants..broken {
            self.metrics.count_invariant_failure("control");
        }
        self.broken_invariants = broken;
    }
}
