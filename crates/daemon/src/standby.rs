//! The journals that this VM holds as a standby, in one task.

use crate::member::MemberView;
use ragwort_control::JournalReplica;
use ragwort_types::GroupName;
use ragwort_types::JournalAppend;
use ragwort_types::JournalCopy;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What the standby task is asked.
#[derive(Debug)]
pub enum StandbyEvent {
    /// Holds entries.
    Append(JournalAppend, oneshot::Sender<JournalReply>),
    /// Hands a journal over and refuses earlier epochs from then on.
    Read(JournalRequest, oneshot::Sender<JournalCopy>),
    /// The state, for operators.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Starts the standby task; it ends when all senders are gone.
pub fn spawn_standby(
    view: watch::Receiver<MemberView>,
) -> (mpsc::Sender<StandbyEvent>, JoinHandle<()>) {
    let (sender, mut events) = mpsc::channel(4_096);
    let handle = tokio::spawn(async move {
        let mut replicas: BTreeMap<GroupName, JournalReplica> = BTreeMap::new();
        let create = |group: &GroupName| {
            let view = view.borrow();
            let record = view.copy.group(group);
            let epoch = record.map(|record| record.placement.epoch);
            JournalReplica::new(group.clone(), epoch.unwrap_or_default())
        };
        while let Some(event) = events.recv().await {
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
