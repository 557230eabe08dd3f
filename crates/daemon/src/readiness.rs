//! Publishes this VM's readiness, and the metrics of its lease, catalog revision and failed
//! invariants.

use crate::clock::NodeClock;
use crate::log_event;
use crate::member::MemberView;
use crate::metrics::DaemonMetrics;
use log::Level;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::interval;

/// Interval at which readiness and these metrics are updated.
const READINESS_INTERVAL: Duration = Duration::from_millis(50);

/// Updates readiness and the metrics at an interval. A VM is ready while it holds a lease and
/// doesn't drain.
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
        let mut ticker = interval(READINESS_INTERVAL);
        loop {
            tokio::select! {
                _ = ticker.tick() => {}
                _ = self.stop.wait_for(|set| *set) => break,
            }
            let view = self.view.borrow().clone();
            let lease_held = view.may_serve(self.clock.now());
            let ready = lease_held && !view.draining;
            self.metrics.set_lease_held(lease_held);
            self.metrics.set_catalog_revision(view.copy.revision());
            self.count_broken_invariants();
            if self.ready.send_replace(ready) != ready {
                log_event!(Level::Info, "readiness", ready = ready);
            }
        }
    }

    fn count_broken_invariants(&mut self) {
        let broken = ragwort_control::broken_invariants();
        for _ in self.broken_invariants..broken {
            self.metrics.count_invariant_failure("control");
        }
        self.broken_invariants = broken;
    }
}
