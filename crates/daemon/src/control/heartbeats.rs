//! Answers the heartbeats of members: followers forward them in batches, the leader grants leases,
//! and the replies carry the changes of the catalog.
//!
//! Leases are granted only after a majority has confirmed the leadership, so that a replaced leader
//! can't extend a lease whose groups its successor has already placed on another VM.

use super::ControlTask;
use super::event::ControlEvent;
use super::event::HeldReply;
use super::event::UnconfirmedBatch;
use super::event::UnconfirmedRead;
use super::event::WaitingHeartbeat;
use jsonrpsee_ws_client::WsClient;
use ragwort_control::LeaseDecision;
use ragwort_rpc::PeerApiClient;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::ContractAcceptance;
use ragwort_types::HeartbeatBatch;
use ragwort_types::HeartbeatReply;
use ragwort_types::HeartbeatRequest;
use ragwort_types::InForceStatus;
use ragwort_types::LeaseGrant;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

impl ControlTask {
    /// Gathers a member's heartbeat, to be granted here or forwarded with others.
    ///
    /// After a restart of all VMs there is no leader, and no process is a member. A member that was
    /// told so at once would retry after a pause, and after another one once it is admitted, while
    /// its callers are refused. Its heartbeat therefore waits here until there is a leader and the
    /// member is admitted, or half a heartbeat interval has passed.
    pub(super) fn gather_heartbeat(
        &mut self,
        request: HeartbeatRequest,
        reply: oneshot::Sender<HeartbeatReply>,
    ) {
        self.note_nonmember(&request);
        let hold = Duration::from_millis(self.settings.timing.heartbeat_ms / 2);
        self.gathered_heartbeats.push(WaitingHeartbeat {
            request,
            reply,
            wait_until: self.clock.now() + hold,
        });
    }

    /// Reports a process that isn't a member to the ledger, so that it is admitted before its
    /// heartbeat is answered.
    ///
    /// No lease is granted here, since that needs a confirmed leadership. The admission is an entry
    /// of the replicated log, which can only be committed by the true leader.
    pub(super) fn note_nonmember(&mut self, request: &HeartbeatRequest) {
        let id = &request.member.id;
        let known = self.catalog.member(&id.vm);
        if known.is_some_and(|known| known.id == *id) {
            return;
        }
        if let Some(ledger) = &mut self.ledger {
            ledger.receive(self.clock.now(), request, &self.catalog);
            self.admission_due = true;
        }
    }

    /// Proposes admissions that are due, without waiting for the next check of the members.
    pub(super) fn propose_due_admissions(&mut self) {
        if self.admission_due {
            self.propose_due_changes();
        }
    }

    /// Asks the replicated log to confirm that this VM still leads, for all waiting heartbeats at
    /// once.
    ///
    /// Without it, a leader that was cut off and replaced would go on granting leases while its
    /// successor already places the groups on other VMs.
    ///
    /// Each confirmation costs a message to every control VM and an answer. With one for each
    /// heartbeat, their number would grow with the members until they fill the queues to the
    /// followers, which pass one message per round trip. So there is at most one per tick, and
    /// heartbeats that arrive meanwhile share the next.
    pub(super) fn confirm_leadership(&mut self) {
        if self.last_confirmation_tick == self.ticks {
            return;
        }
        if self.node.is_leader() && !self.gathered_heartbeats.is_empty() {
            let own = std::mem::take(&mut self.gathered_heartbeats);
            self.unconfirmed_batches.push(UnconfirmedBatch::Own(own));
        }
        if self.unconfirmed_batches.is_empty() {
            return;
        }
        self.last_confirmation_tick = self.ticks;
        let batches = std::mem::take(&mut self.unconfirmed_batches);
        match self.node.confirm_read() {
            Ok(ticket) => {
                let read = UnconfirmedRead::Heartbeats(batches);
                self.pending_reads.insert(ticket, read);
            }
            Err(_) => batches.into_iter().for_each(refuse_batch),
        }
    }

    /// Grants the heartbeats of a batch after the leadership has been confirmed.
    pub(super) fn answer_batch(&mut self, batch: UnconfirmedBatch) {
        match batch {
            UnconfirmedBatch::Own(waiting) => {
                let requests = waiting.iter().map(|one| &one.request);
                let replies: Vec<_> = requests.map(|request| self.grant(request)).collect();
                self.handle_heartbeat_replies(waiting, Some(replies));
            }
            UnconfirmedBatch::Forwarded(batch, reply) => {
                let requests = batch.heartbeats.iter();
                let replies = requests.map(|request| self.grant(request)).collect();
                let _ = reply.send(replies);
            }
        }
    }

    /// Returns the reply to one heartbeat, without the changes of the catalog.
    pub(super) fn grant(&mut self, request: &HeartbeatRequest) -> HeartbeatReply {
        let Some(ledger) = &mut self.ledger else {
            return HeartbeatReply::NotYet;
        };
        self.unplaced
            .extend(request.unplaced_groups.iter().cloned());
        match ledger.receive(self.clock.now(), request, &self.catalog) {
            LeaseDecision::Grant(lease) => HeartbeatReply::Granted(LeaseGrant {
                lease_ms: lease.as_millis() as u64,
                revision: self.catalog.revision(),
                delta: None,
            }),
            LeaseDecision::NotYet => HeartbeatReply::NotYet,
            LeaseDecision::Superseded => {
                let vm = &request.member.id.vm;
                let latest = ledger.latest_incarnation(vm, &self.catalog);
                HeartbeatReply::Superseded(latest)
            }
        }
    }

    /// Forwards the gathered heartbeats to the leader, if this VM is a follower.
    pub(super) fn forward_heartbeats(&mut self) {
        if self.node.is_leader() || self.gathered_heartbeats.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.gathered_heartbeats);
        let Some(address) = self.leader_address() else {
            self.handle_heartbeat_replies(waiting, None);
            return;
        };
        let batch = HeartbeatBatch {
            heartbeats: waiting.iter().map(|one| one.request.clone()).collect(),
        };
        let links = self.links.clone();
        let limit = Duration::from_millis(self.settings.timing.lease_ms / 2);
        let events = self.events.clone();
        self.children.spawn(async move {
            let call = |client: Arc<WsClient>| async move { client.heartbeat_batch(batch).await };
            let replies = links.call(address, limit, call).await.ok();
            let _ = events
                .send(ControlEvent::ForwardedReplies(waiting, replies))
                .await;
        });
    }

    /// Holds the granted replies until they are due, gathers again the heartbeats that may still
    /// wait, and sends the other replies.
    pub(super) fn handle_heartbeat_replies(
        &mut self,
        waiting: Vec<WaitingHeartbeat>,
        replies: Option<Vec<HeartbeatReply>>,
    ) {
        let mut replies = replies.unwrap_or_default().into_iter();
        let hold = Duration::from_millis(self.settings.timing.heartbeat_ms / 2);
        let now = self.clock.now();
        let due = now + hold;
        for one in waiting {
            match replies.next().unwrap_or(HeartbeatReply::NotYet) {
                HeartbeatReply::Granted(grant) => {
                    let waiting = one;
                    self.held_replies.push(HeldReply {
                        waiting,
                        grant,
                        due,
                    });
                }
                HeartbeatReply::NotYet if now < one.wait_until => {
                    self.gathered_heartbeats.push(one)
                }
                other => {
                    let _ = one.reply.send(other);
                }
            }
        }
    }

    /// Sends the granted replies that are due, and those with changes that need prompt delivery.
    ///
    /// A reply waits until this VM's catalog has reached the leader's revision at the grant. If no
    /// change needs prompt delivery, it is then held for half a heartbeat interval, so that a
    /// change that is committed in that time reaches the member at once and not with its next
    /// heartbeat. A member that lacks too much for a delta gets a grant without one, and fetches
    /// the changes in pieces.
    pub(super) fn send_due_replies(&mut self) {
        let revision = self.catalog.revision();
        let now = self.clock.now();
        let catalog = &self.catalog;
        let mut prompt = BTreeMap::new();
        let mut needs_prompt_delivery = |held: CatalogRevision, scope: CatalogScope| {
            let known = prompt.entry((held, scope));
            *known.or_insert_with(|| held < revision && catalog.needs_prompt_delivery(held, scope))
        };
        let ready = self.held_replies.extract_if(.., |held_reply| {
            let request = &held_reply.waiting.request;
            let caught_up = held_reply.grant.revision <= revision;
            caught_up
                && (now >= held_reply.due
                    || needs_prompt_delivery(request.revision, scope_of(request)))
        });
        let mut deltas = BTreeMap::new();
        for held_reply in ready {
            let mut grant = held_reply.grant;
            let held = held_reply.waiting.request.revision;
            if held < revision {
                let scope = scope_of(&held_reply.waiting.request);
                let delta = deltas.entry((held, scope));
                let delta = delta.or_insert_with(|| catalog.short_delta(held, scope));
                grant.delta = delta.clone();
            }
            let _ = held_reply
                .waiting
                .reply
                .send(HeartbeatReply::Granted(grant));
        }
    }

    /// Returns how far a contract change is in force; `None` if this VM doesn't lead.
    pub(super) fn in_force_status(&self, acceptance: ContractAcceptance) -> Option<InForceStatus> {
        let ledger = self.ledger.as_ref()?;
        Some(ledger.in_force_status(acceptance, self.clock.now(), &self.catalog))
    }
}

fn scope_of(request: &HeartbeatRequest) -> CatalogScope {
    CatalogScope::of(request.member.traits)
}

/// Answers the heartbeats of a batch without a lease.
pub(super) fn refuse_batch(batch: UnconfirmedBatch) {
    match batch {
        UnconfirmedBatch::Own(waiting) => {
            for one in waiting {
                let _ = one.reply.send(HeartbeatReply::NotYet);
            }
        }
        UnconfirmedBatch::Forwarded(batch, reply) => {
            let _ = reply.send(vec![HeartbeatReply::NotYet; batch.heartbeats.len()]);
        }
    }
}
