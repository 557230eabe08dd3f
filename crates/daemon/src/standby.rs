//! The task that holds journals for leaseholders on other VMs, as their standby.

use crate::log_event;
use crate::member::MemberView;
use log::Level;
use ragwort_control::JournalReplica;
use ragwort_types::GroupName;
use ragwort_types::JournalAppend;
use ragwort_types::JournalCopy;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A request to the standby task.
#[derive(Debug)]
pub enum StandbyEvent {
    /// Appends entries to a journal.
    Append(JournalAppend, oneshot::Sender<JournalReply>),
    /// Reads a journal, and refuses earlier epochs from then on.
    Read(JournalRequest, oneshot::Sender<JournalCopy>),
    /// A request for the state, for operators.
    Dump(oneshot::Sender<serde_json::Value>),
}

impl StandbyEvent {
    /// Returns the VM that the request is meant for, if it came over a link.
    fn recipient(&self) -> Option<&VmName> {
        match self {
            Self::Append(append, _) => Some(&append.to),
            Self::Read(request, _) => Some(&request.to),
            Self::Dump(_) => None,
        }
    }
}

/// Starts the standby task of `vm`; it ends when all senders are gone.
///
/// Calls that are meant for another VM are left unanswered; they arrive when that VM has moved and
/// its address was given to this one. If they were answered, the leaseholder would count a key as
/// held by a standby that has never received it, and after two losses a resend would run a second
/// time.
pub fn spawn_standby(
    vm: VmName,
    view: watch::Receiver<MemberView>,
) -> (mpsc::Sender<StandbyEvent>, JoinHandle<()>) {
    let (sender, mut events) = mpsc::channel::<StandbyEvent>(4_096);
    let handle = tokio::spawn(async move {
        let mut replicas: BTreeMap<GroupName, JournalReplica> = BTreeMap::new();
        let create = |group: &GroupName| {
            let view = view.borrow();
            let record = view.copy.group(group);
            let epoch = record.map(|record| record.placement.epoch);
            JournalReplica::new(group.clone(), epoch.unwrap_or_default())
        };
        while let Some(event) = events.recv().await {
            if let Some(meant) = event.recipient().filter(|meant| **meant != vm) {
                log_event!(Level::Warn, "journal_call_misdirected", meant = meant);
                continue;
            }
            match event {
                StandbyEvent::Append(append, reply) => {
                    let replica = replicas.entry(append.group.clone());
                    let replica = replica.or_insert_with(|| create(&append.group));
                    let _ = reply.send(replica.append(&append));
                }
                StandbyEvent::Read(request, reply) => {
                    let replica = replicas.entry(request.group.clone());
                    let replica = replica.or_insert_with(|| create(&request.group));
                    let _ = reply.send(replica.read(&request));
                }
                StandbyEvent::Dump(reply) => {
                    let groups: Vec<_> = replicas.keys().map(ToString::to_string).collect();
                    let _ = reply.send(serde_json::json!({ "journals": groups }));
                }
            }
        }
    });
    (sender, handle)
}
