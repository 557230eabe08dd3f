//! Follows the instances' roles, tells a dead primary from a slow one, and replaces it.

use super::NativeNotice;
use super::NativeTask;
use super::link::CommandList;
use super::link::LinkId;
use super::link::LinkOrder;
use super::link::LinkPurpose;
use super::link::LinkResult;
use super::pool::ConnectionWork;
use super::pool::EndpointNews;
use crate::edges::EndpointCommand;
use crate::edges::PromotionOrder;
use crate::edges::PromotionReply;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::EndpointKnowledge;
use ragwort_control::ReplacementAction;
use ragwort_control::ReplacementActions;
use ragwort_control::ReplacementEvent;
use ragwort_control::ReplacementState;
use ragwort_control::RoleReport;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CommandReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::InstanceName;
use ragwort_types::TokenRequest;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::timeout;

/// A primary that owes answers and has said nothing for so long is checked by a new connection. A
/// run takes 3 to 110 ms, so several slow runs in a row are still below it.
const QUIET_PRIMARY: Duration = Duration::from_millis(200);

/// A new connection that isn't open by then speaks against the primary. One takes 12 ms and two
/// round trips.
const PROBE_TIME: Duration = Duration::from_millis(250);

/// Connections in a row that must fail before a primary is taken for dead: one alone may have met
/// the moment of a restart.
const FAILED_OPENS: u32 = 2;

/// How long a replica is waited for that lacks acknowledged writes, when the primary is dead. What
/// is still on its way arrives within milliseconds; what isn't never does.
const DEAD_PATIENCE: Duration = Duration::from_millis(200);

/// The same when the primary leaves and can still send what is missing.
const LEAVING_PATIENCE: Duration = Duration::from_millis(1_500);

/// How long an order to promote may take to be answered. It is answered within 20 ms or not at all,
/// and one that isn't may be carried out many seconds later; the group has no primary until the next
/// order, 2.5 s later if it were waited for.
const ORDER_LIMIT: Duration = Duration::from_millis(400);

/// How long a promotion takes once it was ordered, before one was seen. Databases take 600 to
/// 1,000 ms.
pub(super) const PROMOTION_PRIOR: Duration = Duration::from_millis(1_000);

/// How long an instance may take to report about itself.
const REPORT_LIMIT: Duration = Duration::from_millis(400);

impl NativeTask {
    /// Takes what an endpoint announces of itself.
    pub(super) fn take_announcement(&mut self, announcement: EndpointAnnouncement) {
        let now = self.now();
        let instance = announcement.instance.clone();
        let domain = announcement.domain.clone();
        let role = announcement.status.role;
        let leaving = announcement.status.leaving;
        let news = self.pool.judge_announcement(&announcement);
        let known = match news {
            EndpointNews::Overtaken => return,
            EndpointNews::First => false,
            EndpointNews::Known => true,
            // What its former process held, answered or led says nothing of this one: connections,
            // positions and roles are learned anew.
            EndpointNews::Restart => {
                log_event!(
                    Level::Warn,
                    "endpoint_restarted",
                    group = self.group,
                    instance = instance,
                    started_ms = announcement.started_ms,
                );
                self.drop_endpoint(&instance);
                false
            }
        };
        let left = self.roles.is_leaving(&instance);
        self.pool.take_announcement(now, announcement);
        self.roles.hear(now, &instance, role, leaving);
        self.headless.hear(&instance);
        if !known || left != leaving {
            log_event!(
                Level::Info,
                "endpoint_announced",
                group = self.group,
                instance = instance,
                domain = domain,
                role = format!("{role:?}"),
                leaving = leaving,
            );
        }
        self.follow_roles();
        if !known {
            // Its first answer shows how far it is, and that it is the one that is expected there.
            self.open_connection(now, &instance);
        }
        self.ask_claimant(&instance);
    }

    /// Asks an instance that calls itself the primary for its term, on a new connection if there is none.
    pub(super) fn ask_claimant(&mut self, instance: &InstanceName) {
        if !self.roles.needs_report(instance) || self.order_report(instance) {
            return;
        }
        if self.pool.links_of(instance).is_empty() {
            self.open_connection(self.now(), instance);
        }
    }

    /// Orders a report on an idle connection; false if there is none.
    fn order_report(&mut self, instance: &InstanceName) -> bool {
        let Some(id) = self.pool.find_any_idle(instance) else {
            return false;
        };
        self.order_own(
            id,
            LinkPurpose::Report,
            EndpointCommand::Describe,
            REPORT_LIMIT,
        )
    }

    /// Makes a connection show that it still answers. The question clears it and takes no slot.
    pub(super) fn order_proof(&mut self, id: LinkId) -> bool {
        let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms * 2);
        let ordered = self.order_own(id, LinkPurpose::Proof, EndpointCommand::Reset, limit);
        if ordered && let Some(connection) = self.pool.connection_mut(id) {
            connection.doubted = true;
        }
        ordered
    }

    fn order_own(
        &mut self,
        id: LinkId,
        purpose: LinkPurpose,
        command: EndpointCommand,
        limit: Duration,
    ) -> bool {
        let now = self.now();
        let Some(connection) = self.pool.connection_mut(id) else {
            return false;
        };
        let sent = connection.send(LinkOrder {
            purpose,
            commands: CommandList::from_iter([command]),
            until: Instant::now() + limit,
        });
        if sent {
            connection.work = ConnectionWork::Own;
            connection.ordered = now;
        }
        sent
    }

    /// Takes an instance's report about itself.
    pub(super) fn take_report(&mut self, instance: &InstanceName, result: LinkResult) {
        let now = self.now();
        let report = match result {
            LinkResult::Answered(answer) => {
                let row = answer.rows.first();
                row.and_then(|row| self.edges.endpoints.read_report(row))
            }
            LinkResult::Fault(_) | LinkResult::NotSent | LinkResult::Lost | LinkResult::Silent => {
                None
            }
        };
        let report = report.map(|report| RoleReport {
            role: report.role,
            term: report.term,
            received: report.received,
        });
        if let Some(report) = report {
            self.roles.take_report(now, instance, report);
        }
        let actions = self.replacement.take_report(now, instance, report);
        self.follow_replacement(actions);
        self.follow_roles();
    }

    /// Says whether an instance is the primary whose positions are held.
    pub(super) fn is_leading(&self, instance: &InstanceName) -> bool {
        let leading = self.leading.as_ref();
        leading.is_some_and(|(primary, _)| primary == instance)
    }

    /// Takes over what the instances' roles say now.
    pub(super) fn follow_roles(&mut self) {
        let now = self.now();
        let found = self.roles.primary();
        let found = found.map(|(instance, term)| (instance.clone(), term));
        if let Some((instance, term)) = &found
            && self.leading != found
        {
            let report = self.roles.report(instance);
            let start = report.map(|report| report.received).unwrap_or_default();
            log_event!(
                Level::Info,
                "primary_found",
                group = self.group,
                instance = instance,
                term = term,
                start = start,
                headless_ms = self
                    .headless
                    .since()
                    .map_or(0, |since| now.since(since).as_millis()),
            );
            // Nothing is read from replicas before this is known: they could lack what a former
            // leaseholder has acknowledged.
            self.history.begin(start);
            self.learn_promotion(now);
            // What replicas showed before may have been rolled back.
            self.replicas.clear();
            self.suspect = None;
        }
        let began = found.is_some() && self.leading != found;
        if found.is_some() {
            self.leading = found;
        }
        self.refresh_endpoints();
        if began {
            self.raise_floors();
        }
        let usable = self.find_usable_primary();
        if let Some(primary) = &usable {
            let may_stay = !self.roles.is_leaving(primary);
            self.replacement.note_primary(now, primary, may_stay);
        }
        match usable {
            Some(_) => self.headless.end(),
            None => self.headless.begin(now),
        }
    }

    /// Returns the primary if writes may be sent to it.
    fn find_usable_primary(&self) -> Option<InstanceName> {
        let (primary, _) = self.roles.primary()?;
        let known = self.pool.endpoint(primary).is_some();
        let suspect = self.suspect.as_ref() == Some(primary);
        (known && !suspect).then(|| primary.clone())
    }

    /// Tells the scheduler what each endpoint may be used for now.
    pub(super) fn refresh_endpoints(&mut self) {
        let now = self.now();
        for instance in self.pool.names() {
            let Some(endpoint) = self.pool.endpoint(&instance) else {
                continue;
            };
            let announcement = &endpoint.announcement;
            let state = EndpointState {
                instance: instance.clone(),
                domain: announcement.domain.clone(),
                slots: announcement.slots,
                connections: self.find_connections(announcement),
                role: self.role_of(&instance),
                leaving: announcement.status.leaving,
            };
            self.scheduler.set_endpoint(now, state);
        }
        self.report_positions();
    }

    /// Returns how many connections an endpoint takes from all callers together.
    pub(super) fn find_connections(&self, announcement: &EndpointAnnouncement) -> u32 {
        let view = self.view.borrow();
        let terms = view.copy.group_terms(&self.group);
        terms.map_or(announcement.connections, |terms| terms.connections)
    }

    fn role_of(&self, instance: &InstanceName) -> EndpointRole {
        let Some((primary, _)) = &self.leading else {
            return EndpointRole::Unusable;
        };
        if self.suspect.as_ref() == Some(instance) {
            return EndpointRole::Unusable;
        }
        // A primary that leaves takes no more writes once its replacement has begun: what it
        // acknowledged later would be lost with the promotion.
        let replaced = self.replacement.replaced() == Some(instance)
            && self.replacement.state() != ReplacementState::Steady;
        let primary_now = self.roles.primary().map(|(instance, _)| instance);
        match primary == instance {
            true if replaced || primary_now != Some(instance) => EndpointRole::Unusable,
            true => EndpointRole::Primary,
            false => EndpointRole::Replica,
        }
    }

    /// Tells the scheduler what each instance holds.
    pub(super) fn report_positions(&mut self) {
        let now = self.now();
        for instance in self.pool.names() {
            if self.is_leading(&instance) {
                let newest = self.history.newest();
                self.scheduler
                    .report_position(now, &instance, newest, Duration::ZERO);
                continue;
            }
            let replica = self.replicas.get(&instance).copied().unwrap_or_default();
            let assumed = replica.assume(now, &self.history);
            self.scheduler
                .report_position(now, &instance, assumed, replica.lag(now));
        }
    }

    /// Checks a primary that owes answers, and replaces one that is dead, leaves or is missing.
    pub(super) fn watch_primary(&mut self) {
        let now = self.now();
        if !self.may_serve() || self.handover.is_begun() {
            return;
        }
        let actions = self.replacement.tick(now);
        self.follow_replacement(actions);
        if self.replacement.state() != ReplacementState::Steady {
            return;
        }
        match self.find_usable_primary() {
            Some(primary) if self.roles.is_leaving(&primary) => {
                if self.pool.endpoints().count() > 1 {
                    self.replace(Some(&primary), "leaving", LEAVING_PATIENCE);
                }
            }
            Some(primary) => self.check_primary(now, &primary),
            None => self.replace_missing(now),
        }
    }

    fn check_primary(&mut self, now: ClockTime, primary: &InstanceName) {
        let owed = self.pool.connections();
        let owed = owed.filter(|(_, one)| {
            one.instance == *primary && one.open && one.work != ConnectionWork::Nothing
        });
        let oldest = owed.map(|(_, one)| one.ordered).min();
        let Some(endpoint) = self.pool.endpoint(primary) else {
            return;
        };
        let quiet = now.since(endpoint.answered);
        let owes = oldest.is_some_and(|since| now.since(since) >= QUIET_PRIMARY);
        let failed = endpoint.failed_opens;
        let probing = endpoint.probing;
        let silent = probing.is_some_and(|since| now.since(since) >= PROBE_TIME);
        if quiet >= QUIET_PRIMARY && (failed >= FAILED_OPENS || silent) {
            log_event!(
                Level::Warn,
                "primary_suspected",
                group = self.group,
                instance = primary,
                quiet_ms = quiet.as_millis(),
                failed_opens = failed,
                probe_silent = silent,
            );
            self.suspect = Some(primary.clone());
            self.replace(Some(primary), "dead", DEAD_PATIENCE);
            return;
        }
        let doubtful = (owes && quiet >= QUIET_PRIMARY) || failed > 0;
        if doubtful
            && probing.is_none()
            && self.open_connection(now, primary)
            && let Some(endpoint) = self.pool.endpoint_mut(primary)
        {
            endpoint.probing = Some(now);
        }
    }

    fn replace_missing(&mut self, now: ClockTime) {
        if self.pool.endpoints().next().is_none() {
            return;
        }
        let known = self.leading.is_some() || !self.record.endpoints.is_empty();
        let knowledge = match known {
            true => EndpointKnowledge::Known,
            false => EndpointKnowledge::Heard,
        };
        if self.headless.is_primary_missing(now, knowledge) {
            self.replace(None, "missing", DEAD_PATIENCE);
        } else if let Some(noted) = self.record.primary.clone() {
            self.check_noted_primary(now, &noted);
        }
    }

    /// Replaces the primary that a former leaseholder has noted if it can't be reached.
    ///
    /// It may have died together with that leaseholder. Waiting for its announcements would leave the
    /// group without a primary for twice as long.
    fn check_noted_primary(&mut self, now: ClockTime, noted: &InstanceName) {
        let Some(endpoint) = self.pool.endpoint(noted) else {
            return;
        };
        let failed = endpoint.failed_opens;
        let probing = endpoint.probing;
        let silent = probing.is_some_and(|since| now.since(since) >= PROBE_TIME);
        if failed >= FAILED_OPENS || (failed > 0 && silent) {
            self.replace(
                Some(&noted.clone()),
                "noted and out of reach",
                DEAD_PATIENCE,
            );
        } else if failed > 0
            && probing.is_none()
            && self.open_connection(now, noted)
            && let Some(endpoint) = self.pool.endpoint_mut(noted)
        {
            endpoint.probing = Some(now);
        }
    }

    /// Tells the scheduler when a primary can be expected, so that writes that can't wait for it are
    /// refused at once.
    pub(super) fn foresee_primary(&mut self) {
        let now = self.now();
        let due = match (self.headless.since(), self.ordered_at) {
            (None, _) => None,
            (Some(_), Some(ordered)) if self.replacement.state() == ReplacementState::Watching => {
                Some(ordered + self.promotion_time)
            }
            // Its connections may show any moment that there is one after all.
            (Some(_), _) if self.replacement.state() == ReplacementState::Steady => None,
            (Some(_), _) => Some(now + self.promotion_time),
        };
        self.scheduler.expect_primary(due);
    }

    /// Learns how long promotions take here.
    fn learn_promotion(&mut self, now: ClockTime) {
        if let Some(ordered) = self.ordered_at.take() {
            self.promotion_time = (self.promotion_time + now.since(ordered)) / 2;
        }
    }

    fn replace(&mut self, replaced: Option<&InstanceName>, cause: &str, patience: Duration) {
        let now = self.now();
        log_event!(
            Level::Warn,
            "replacement_begun",
            group = self.group,
            instance = replaced.map_or("none", |instance| instance.as_str()),
            cause = cause,
            newest = self.history.newest(),
        );
        let wanted = self.history.newest();
        let actions = self.replacement.begin(now, replaced, wanted, patience);
        self.refresh_endpoints();
        self.follow_replacement(actions);
    }

    fn follow_replacement(&mut self, actions: ReplacementActions) {
        for action in actions {
            match action {
                ReplacementAction::AskInstances => self.ask_instances(),
                ReplacementAction::ProposeNumber(instance) => {
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

    fn ask_instances(&mut self) {
        let now = self.now();
        let replaced = self.replacement.replaced().cloned();
        let mut asked = Vec::new();
        for instance in self.pool.names() {
            let leaves = self.roles.is_leaving(&instance);
            if Some(&instance) == replaced.as_ref() || leaves {
                continue;
            }
            if self.order_report(&instance) {
                asked.push(instance);
            } else {
                self.open_connection(now, &instance);
            }
        }
        self.replacement.note_asked(now, asked);
    }

    /// Takes the agreed log's answer to the wish for a number.
    pub(super) fn take_number_reply(&mut self, request: &TokenRequest, reply: &CommandReply) {
        let now = self.now();
        let actions = match reply {
            CommandReply::Committed(CatalogOutcome::Done(revision)) => {
                self.replacement.take_number(now, revision.0)
            }
            CommandReply::Committed(_) => self
                .replacement
                .handle(now, ReplacementEvent::NumberRefused),
            CommandReply::NoLeader | CommandReply::Unknown => self
                .replacement
                .handle(now, ReplacementEvent::NumberUnknown),
        };
        log_event!(
            Level::Info,
            "promotion_numbered",
            group = self.group,
            instance = request.instance,
            reply = format!("{reply:?}"),
        );
        self.follow_replacement(actions);
    }

    fn order_promotion(&mut self, instance: InstanceName, token: u64) {
        // A successor may lead the group by now, with orders of its own.
        if !self.may_serve() {
            return;
        }
        let order = PromotionOrder {
            group: self.group.clone(),
            instance,
            holder: self.context.settings.vm.clone(),
            token,
        };
        let promotions = std::sync::Arc::clone(&self.edges.promotions);
        let notices = self.notices.clone();
        self.children.spawn(async move {
            let reply = timeout(ORDER_LIMIT, promotions.promote(&order)).await;
            let reply = reply.unwrap_or(PromotionReply::Unknown);
            // A task that has ended needs no answer.
            let _ = notices.send(NativeNotice::Ordered(order, reply)).await;
        });
    }

    /// Takes the answer to an order to promote.
    pub(super) fn take_promotion_reply(&mut self, order: &PromotionOrder, reply: PromotionReply) {
        let now = self.now();
        log_event!(
            Level::Info,
            "promotion_ordered",
            group = self.group,
            instance = order.instance,
            token = order.token,
            reply = format!("{reply:?}"),
        );
        let event = match reply {
            PromotionReply::Accepted => {
                self.ordered_at = Some(now);
                ReplacementEvent::OrderAccepted
            }
            PromotionReply::Overtaken => ReplacementEvent::OrderOvertaken,
            PromotionReply::Unavailable => ReplacementEvent::OrderUntaken,
            PromotionReply::Unknown => ReplacementEvent::OrderUnknown,
        };
        let actions = self.replacement.handle(now, event);
        self.follow_replacement(actions);
    }

    /// Asks the instance that is being promoted whether it leads by now.
    pub(super) fn watch_promotion(&mut self) {
        if self.replacement.state() != ReplacementState::Watching {
            return;
        }
        if let Some(candidate) = self.replacement.candidate().cloned() {
            self.order_report(&candidate);
        }
    }

    /// Stops to suspect a primary that answers again.
    pub(super) fn clear_suspicion(&mut self) {
        let undone = matches!(
            self.replacement.state(),
            ReplacementState::Steady | ReplacementState::Asking | ReplacementState::Numbering
        );
        if undone && let Some(instance) = self.suspect.take() {
            log_event!(
                Level::Info,
                "primary_answers",
                group = self.group,
                instance = instance,
            );
            self.follow_roles();
        }
    }

    /// Forgets an endpoint that is gone, and closes its connections.
    pub(super) fn drop_endpoint(&mut self, instance: &InstanceName) {
        let now = self.now();
        log_event!(
            Level::Warn,
            "endpoint_dropped",
            group = self.group,
            instance = instance,
        );
        self.pool.remove_endpoint(instance);
        self.roles.forget(instance);
        self.headless.forget(instance);
        self.replicas.remove(instance);
        self.scheduler.remove_endpoint(now, instance);
        for id in self.pool.links_of(instance) {
            self.retire_connection(id);
        }
        self.follow_roles();
    }

    /// Closes a connection of an endpoint out of use, at once or when its statement has ended.
    fn retire_connection(&mut self, id: LinkId) {
        let Some(connection) = self.pool.connection_mut(id) else {
            return;
        };
        connection.retired = true;
        connection.spent = true;
        if connection.work != ConnectionWork::Nothing {
            return;
        }
        let pinned = connection.pinned;
        self.pool.remove_connection(id);
        if let Some(transaction) = pinned {
            self.end_transaction(transaction);
        }
    }
}
