//! The dump: the full state of this process, collected from the tasks that own it.

use crate::clock::NodeClock;
use crate::control::ControlEvent;
use crate::descriptors::DescriptorBudget;
use crate::leaseholders::LeaseholderEvent;
use crate::member::MemberView;
use crate::platform::DumpRequest;
use crate::settings::DaemonSettings;
use crate::standby::StandbyEvent;
use ragwort_types::AccountTerms;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// Collects the state of all tasks.
#[derive(Clone)]
pub struct NodeDump {
    pub(crate) settings: Arc<DaemonSettings>,
    pub(crate) clock: NodeClock,
    pub(crate) view: watch::Receiver<MemberView>,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) control: Option<mpsc::Sender<ControlEvent>>,
    pub(crate) leaseholders: mpsc::Sender<LeaseholderEvent>,
    pub(crate) standby: mpsc::Sender<StandbyEvent>,
    pub(crate) descriptors: DescriptorBudget,
}

impl NodeDump {
    /// Says whether the VM takes work.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Collects the state of every task.
    pub async fn collect(&self) -> serde_json::Value {
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        let control = match &self.control {
            Some(control) => ask(control, ControlEvent::Dump).await,
            None => None,
        };
        serde_json::json!({
            "vm": self.settings.vm.to_string(),
            "domain": self.settings.domain.to_string(),
            "ready": self.is_ready(),
            "draining": view.draining,
            "lease_ms": view.lease.remaining(now).as_millis() as u64,
            "revision": view.copy.revision().0,
            "contracts": view.copy.contracts().count(),
            "accounts": view.copy.accounts().iter().map(describe_account).collect::<Vec<_>>(),
            "members": view.copy.members().collect::<Vec<_>>(),
            "groups": view.copy.groups().collect::<Vec<_>>(),
            "control": control,
            "leaseholder": ask(&self.leaseholders, LeaseholderEvent::Dump).await,
            "standby": ask(&self.standby, StandbyEvent::Dump).await,
            "descriptors": self.descriptors.describe(),
            "broken_invariants": ragwort_control::broken_invariants(),
        })
    }
}

async fn ask<Event>(
    task: &mpsc::Sender<Event>,
    event: impl FnOnce(oneshot::Sender<serde_json::Value>) -> Event,
) -> Option<serde_json::Value> {
    let (reply, answer) = oneshot::channel();
    task.send(event(reply)).await.ok()?;
    answer.await.ok()
}

/// Answers dump requests until all their senders are dropped.
pub(crate) async fn answer_dumps(dump: NodeDump, mut requests: mpsc::Receiver<DumpRequest>) {
    while let Some(reply) = requests.recv().await {
        let _ = reply.send(dump.collect().await);
    }
}

/// Describes an account for a dump, which shows only the number of its keys and not their digests.
fn describe_account(terms: &AccountTerms) -> serde_json::Value {
    serde_json::json!({
        "name": terms.name,
        "keys": terms.keys.len(),
        "limit": terms.limit,
    })
}
