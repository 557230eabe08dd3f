//! The journals that this VM holds as a standby, in one task.

use ragwort_control::JournalReplica;
use ragwort_types::GroupName;
use ragwort_types::JournalAppend;
use ragwort_types::JournalCopy;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
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
pub fn spawn_standby() -> (mpsc::Sender<StandbyEvent>, JoinHandle<()>) {
    let (sender, mut events) = mpsc::channel(4_096);
    let handle = tokio::spawn(async move {
        let mut replicas: BTreeMap<GroupName, JournalReplica> = BTreeMap::new();
        while let Some(event) = events.recv().await {
            match event {
                StandbyEvent::Append(append, reply) => {
                    let replica = replicas.entry(append.group.clone()).or_default();
                    let _ = reply.send(replica.append(&append));
                }
                StandbyEvent::Read(request, reply) => {
                    let replica = replicas.entry(request.group.clone()).or_default();
                    let _ = reply.send(replica.read(&request));
                }
                StandbyEvent::Dump(reply) => {
                    let sizes = replicas.iter().map(|(group, replica)| {
                        let size = serde_json::json!({
                            "epoch": replica.epoch().0,
                            "entries": replica.entry_count(),
                        });
                        (group.to_string(), size)
                    });
                    let _ = reply.send(serde_json::Value::Object(sizes.collect()));
                }
            }
        }
    });
    (sender, handle)
}
