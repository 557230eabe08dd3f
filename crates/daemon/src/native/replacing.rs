//! Performs the actions of a replacement of the primary.
//!
//! The state machine is [`PrimaryReplacement`](ragwort_control::PrimaryReplacement): it collects
//! the instances' reports, chooses the one that has received most, obtains a fencing token from the
//! control VMs and orders the promotion. A replacement has succeeded only when an instance reports
//! that it is the primary, since an order may also take effect late or not at all. The actions of
//! the [`OrderFence`](ragwort_control::OrderFence) are performed here as well.
//!
//! In a group with synchronous replicas, no instance is promoted that may lack an acknowledged
//! write. If none is known to hold all of them, the group has no primary until one returns.

use super::NativeNotice;
use super::NativeTask;
use crate::edges::PromotionOrder;
use crate::edges::PromotionReply;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::FenceEvent;
use ragwort_control::ReplacementAction;
use ragwort_control::ReplacementActions;
use ragwort_control::ReplacementEvent;
use ragwort_control::ReplacementState;
use ragwort_control::WriteGuarantee;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CommandReply;
use ragwort_types::InstanceName;
use ragwort_types::TokenRequest;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for the reply to a promotion order. Orders are answered within 20 ms or not at all,
/// and an unanswered one may take effect many seconds later. Waiting longer would leave the group
/// without a primary until the next order, 2.5 s later.
const PROMOTION_ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of the log lines of a replacement that waits for an instance with all acknowledged
/// writes.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl NativeTask {
    pub(super) fn begin_replacement(
        &mut self,
        replaced: Option<&InstanceName>,
        cause: &str,
        catch_up_limit: Duration,
    ) {
        let now = self.now();
        log_event!(
            Level::Warn,
            "replacement_begun",
            group = self.group,
            instance = replaced.map_or("none", |instance| instance.as_str()),
            cause = cause,
            newest = self.history.newest(),
        );
        self.abandon_fence(now);
        // The writes that a former leaseholder acknowledged aren't known before a primary is found.
        let required = self.leading.is_some().then(|| self.history.newest());
        let guarantee = self.write_guarantee();
        let actions = self
            .replacement
            .begin(now, replaced, required, guarantee, catch_up_limit);
        self.refresh_endpoints();
        self.perform_replacement(actions);
    }

    /// Returns which acknowledged writes must survive the loss of the primary.
    pub(super) fn write_guarantee(&self) -> WriteGuarantee {
        let view = self.view.borrow();
        let terms = view.copy.group_terms(&self.group);
        match terms.map_or(0, |terms| terms.synchronous_replicas) {
            0 => WriteGuarantee::BestEffort,
            count => WriteGuarantee::SynchronousReplicas(count as usize),
        }
    }

    pub(super) fn perform_replacement(&mut self, actions: ReplacementActions) {
        for action in actions {
            match action {
                ReplacementAction::AskInstances => self.ask_instances(),
                ReplacementAction::ProposeNumber(instance) => {
                    if self.replacement.awaits_token(&instance) {
                        log_event!(
                            Level::Info,
                            "replacement_candidate",
                            group = self.group,
                            instance = instance,
                            newest = self.history.newest(),
                        );
                    }
                    self.propose(CatalogCommand::IssueToken(TokenRequest {
                        group: self.group.clone(),
                        epoch: self.record.placement.epoch,
                        instance,
                    }));
                }
                ReplacementAction::GiveOrder(instance, token) => {
                    self.order_promotion(instance, token);
                }
            }
        }
    }

    /// Logs that no instance may be promoted, since each may lack an acknowledged write. Does nothing
    /// if one was chosen, or the last line is recent.
    fn log_wait(&mut self, now: ClockTime) {
        let since = self.replacement.begun_at().max(self.wait_logged_at);
        if self.replacement.candidate().is_some() || now.since(since) < WAIT_LOG_INTERVAL {
            return;
        }
        self.wait_logged_at = now;
        let required = self.replacement.required_position();
        let known = self.replacement.known_positions();
        let known: Vec<String> = known
            .map(|(instance, position)| format!("{instance}:{position}"))
            .collect();
        log_event!(
            Level::Warn,
            "replacement_waits",
            group = self.group,
            waited_ms = now.since(self.replacement.begun_at()).as_millis(),
            required = required.map_or("unknown".to_owned(), |required| required.to_string()),
            known = known.join(","),
            holders = self.log_holders.len(),
        );
    }

    fn ask_instances(&mut self) {
        let now = self.now();
        let guaranteed = self.write_guarantee() != WriteGuarantee::BestEffort;
        if guaranteed {
            self.log_wait(now);
            self.reconnect_replaced(now);
        }
        let replaced = self.replacement.replaced().cloned();
        let names = self.pool.names();
        let leaving: Vec<InstanceName> = names
            .iter()
            .filter(|instance| self.roles.is_leaving(instance))
            .cloned()
            .collect();
        let mut asked = Vec::new();
        for instance in names {
            // With a guarantee a leaving instance counts as a replica until it ends.
            let excluded = !guaranteed && leaving.contains(&instance);
            if Some(&instance) == replaced.as_ref() || excluded {
                continue;
            }
            if self.send_report_request(&instance) {
                asked.push(instance);
            } else {
                self.open_connection(now, &instance);
            }
        }
        let holders = self.log_holders.len();
        self.replacement
            .note_requested(now, asked, leaving, holders);
    }

    /// Opens a connection to the replaced primary if it has none. If no other instance holds all
    /// acknowledged writes, the group waits for its return.
    fn reconnect_replaced(&mut self, now: ClockTime) {
        let Some(replaced) = self.replacement.replaced().cloned() else {
            return;
        };
        if self.pool.links_of(&replaced).is_empty() {
            self.open_connection(now, &replaced);
        }
    }

    /// Handles the reply to a token request. The token is the revision at which the request was
    /// committed.
    pub(super) fn handle_number_reply(&mut self, request: &TokenRequest, reply: &CommandReply) {
        let now = self.now();
        let token = match reply {
            CommandReply::Committed(CatalogOutcome::Done(revision)) => Some(revision.0),
            CommandReply::Committed(_) | CommandReply::NoLeader | CommandReply::Unknown => None,
        };
        // The catalog may have forgotten an order with a settled token.
        let token = token.filter(|token| !self.orders.is_settled(*token));
        let refused = matches!(reply, CommandReply::Committed(CatalogOutcome::Stale));
        let actions = match token {
            Some(token) if self.replacement.awaits_token(&request.instance) => {
                self.replacement.receive_token(now, token)
            }
            None if self.replacement.awaits_token(&request.instance) => {
                let event = match refused {
                    true => ReplacementEvent::NumberRefused,
                    false => ReplacementEvent::NumberUnknown,
                };
                self.replacement.handle(now, event)
            }
            Some(token) if self.fence.awaits_token(&request.instance) => {
                self.fence.receive_token(now, token)
            }
            None if self.fence.awaits_token(&request.instance) => {
                self.fence.handle(now, FenceEvent::NumberMissing)
            }
            // The request was given up meanwhile. Its token is never used.
            Some(_) | None => ReplacementActions::new(),
        };
        log_event!(
            Level::Info,
            "promotion_numbered",
            group = self.group,
            instance = request.instance,
            reply = format!("{reply:?}"),
        );
        self.perform_replacement(actions);
    }

    fn order_promotion(&mut self, instance: InstanceName, token: u64) {
        // Without a lease another VM may lead the group and send orders of its own. If this one gets
        // its lease back, the order is due again.
        if !self.may_serve() {
            return self.advance_by_reply(token, PromotionReply::Unavailable);
        }
        self.orders.note_sent(&instance, token);
        let order = PromotionOrder {
            group: self.group.clone(),
            instance,
            holder: self.context.settings.vm.clone(),
            token,
        };
        let promotions = std::sync::Arc::clone(&self.edges.promotions);
        let notices = self.notices.clone();
        self.children.spawn(async move {
            let reply = timeout(PROMOTION_ORDER_TIMEOUT, promotions.promote(&order)).await;
            let reply = reply.unwrap_or(PromotionReply::Unknown);
            // The group's task may have ended.
            let _ = notices.send(NativeNotice::Ordered(order, reply)).await;
        });
    }

    /// Handles the promotion service's reply to an order.
    pub(super) fn handle_promotion_reply(&mut self, order: &PromotionOrder, reply: PromotionReply) {
        let now = self.now();
        log_event!(
            Level::Info,
            "promotion_ordered",
            group = self.group,
            instance = order.instance,
            token = order.token,
            reply = format!("{reply:?}"),
        );
        match reply {
            PromotionReply::Accepted => self.orders.note_accepted(now, order.token),
            PromotionReply::Overtaken | PromotionReply::Unavailable => {
                self.orders.note_refused(order.token);
            }
            PromotionReply::Unknown => self.orders.note_unanswered(order.token),
        }
        self.advance_by_reply(order.token, reply);
    }

    /// Advances what awaits the reply to the order with this fencing token: the replacement or the
    /// fence.
    fn advance_by_reply(&mut self, token: u64, reply: PromotionReply) {
        let now = self.now();
        let actions = if self.replacement.awaits_order(token) {
            if reply == PromotionReply::Accepted {
                self.promotion_ordered_at = Some(now);
            }
            let event = match reply {
                PromotionReply::Accepted => ReplacementEvent::OrderAccepted,
                PromotionReply::Overtaken => ReplacementEvent::OrderOvertaken,
                PromotionReply::Unavailable => ReplacementEvent::OrderUntaken,
                PromotionReply::Unknown => ReplacementEvent::OrderUnknown,
            };
            self.replacement.handle(now, event)
        } else if self.fence.awaits_order(token) {
            let event = match reply {
                PromotionReply::Accepted => FenceEvent::OrderAccepted,
                PromotionReply::Overtaken => FenceEvent::OrderOvertaken,
                PromotionReply::Unavailable | PromotionReply::Unknown => FenceEvent::OrderMissing,
            };
            self.fence.handle(now, event)
        } else {
            ReplacementActions::new()
        };
        self.perform_replacement(actions);
    }

    /// Requests a report of the instance whose promotion was ordered, to find out when it leads.
    pub(super) fn poll_promotion(&mut self) {
        if self.replacement.state() != ReplacementState::Watching {
            return;
        }
        if let Some(candidate) = self.replacement.candidate().cloned() {
            self.send_report_request(&candidate);
        }
    }
}
