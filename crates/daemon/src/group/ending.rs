//! What becomes of the questions that wait in the queue of a task which ends.

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

/// Closes the queue of a group's task and refuses what waits in it.
///
/// A statement that is dropped with the queue has no reply, so that its gateway must take it for one
/// that may have run: a clerk would be told "in doubt" at a planned handover, and couldn't send the
/// write again. Closed first, the queue takes in nothing behind the last one that is refused here.
pub(crate) async fn refuse_queue(group: &GroupName, queue: &mut mpsc::Receiver<GroupEvent>) {
    queue.close();
    let mut refused = 0;
    while let Some(event) = queue.recv().await {
        match event {
            GroupEvent::Statement(request, reply) => refuse_statement(&request, reply),
            GroupEvent::Describe(request, reply) => refuse_shape(&request, reply),
            // A cancelled statement is settled by the task's end, an endpoint announces itself again,
            // and an operator is told by the missing answer.
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

/// Tells the asker that no leaseholder took its statement in.
pub(crate) fn refuse_statement(request: &StatementRequest, reply: oneshot::Sender<StatementReply>) {
    let verdict = RequestVerdict::refused(RefusalCause::NoLeaseholder, 0);
    // An asker that is gone needs no answer.
    let _ = reply.send(reply_with(request, verdict));
}

/// Tells the asker that no leaseholder describes its statement.
pub(crate) fn refuse_shape(request: &ShapeRequest, reply: oneshot::Sender<ShapeReply>) {
    let refused = ShapeReply {
        id: request.id,
        outcome: ShapeOutcome::refused(RefusalCause::NoLeaseholder, 0),
    };
    // An asker that is gone needs no answer.
    let _ = reply.send(refused);
}
