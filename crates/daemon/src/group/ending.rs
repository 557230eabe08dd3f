//! Refuses the requests that are left in a group task's queue when the task ends.

use super::GroupEvent;
use crate::gateway::reply_with;
use crate::log_event;
use log::Level;
use ragwort_types::GroupName;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::ShapeOutcome;
use ragwort_types::ShapeReply;
use ragwort_types::ShapeRequest;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Closes the queue of a group's task and refuses the requests in it.
///
/// A statement that is dropped with the queue gets no reply, so that its gateway must report it as
/// in doubt although it never ran; at a planned handover the caller could not repeat a write
/// safely. The queue is closed first, so that nothing can be added after the last refusal.
pub(crate) async fn refuse_queue(group: &GroupName, queue: &mut mpsc::Receiver<GroupEvent>) {
    queue.close();
    let mut refused = 0;
    while let Some(event) = queue.recv().await {
        match event {
            GroupEvent::Statement(request, reply) => refuse_statement(&request, reply),
            GroupEvent::Describe(request, reply) => refuse_shape(&request, reply),
            // These need no reply: the end of the task settles a cancelled statement, an endpoint
            // announces itself again, and the dump's receiver sees the closed channel.
            GroupEvent::Cancel(_) | GroupEvent::Announced(_) | GroupEvent::Dump(_) => continue,
        }
        refused += 1;
    }
    if refused > 0 {
        log_event!(
            Level::Info,
            "queue_refused",
            group = group,
            refused = refused
        );
    }
}

/// Refuses a statement because no leaseholder has taken it in.
pub(crate) fn refuse_statement(request: &StatementRequest, reply: oneshot::Sender<StatementReply>) {
    let verdict = RequestVerdict::refused(RefusalCause::NoLeaseholder, 0);
    // The caller may have gone.
    let _ = reply.send(reply_with(request, verdict));
}

/// Refuses a description because no leaseholder has taken it in.
pub(crate) fn refuse_shape(request: &ShapeRequest, reply: oneshot::Sender<ShapeReply>) {
    let refused = ShapeReply {
        id: request.id,
        outcome: ShapeOutcome::refused(RefusalCause::NoLeaseholder, 0),
    };
    // The caller may have gone.
    let _ = reply.send(refused);
}
