//! Tracks the instances' roles, and detects a failed primary.
//!
//! A primary that runs long statements on all its slots answers nothing for a while, and must not
//! be replaced for it. So an overdue answer or a failed connection only starts a probe, which is a
//! new connection. The primary is suspected when it has answered nothing for
//! [`PRIMARY_SILENCE_LIMIT`] and either the probe isn't open within [`PROBE_TIMEOUT`] or
//! [`FAILED_OPENS_LIMIT`] connections in a row have failed.

use super::NativeTask;
use super::TICK;
use super::link::LinkId;
use super::pool::AnnouncementKind;
use super::pool::ConnectionWork;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::EndpointKnowledge;
use ragwort_control::ReplacementState;
use ragwort_policy::EndpointRole;
use ragwort_policy::EndpointState;
use ragwort_policy::GroupCheck;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::InstanceName;
use std::time::Duration;

/// A primary with outstanding answers that has sent nothing for this long is probed by a new
/// connection. A statement runs for 3 to 110 ms, so several slow ones in a row usually stay below
/// it.
const PRIMARY_SILENCE_LIMIT: Duration = Duration::from_millis(200);

/// Time in which a probe's connection must be open. Opening one takes 12 ms and two round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of failed connections in a row after which a primary is taken for dead. A single one may
/// have coincided with a restart.
const FAILED_OPENS_LIMIT: u32 = 2;

/// How long a replacement waits for a candidate that holds all acknowledged writes, when the
/// primary is dead. Log entries in transit arrive within milliseconds; others never arrive.
const CATCH_UP_LIMIT_DEAD: Duration = Duration::from_millis(200);

/// How long a replacement waits for a candidate that holds all acknowledged writes, when the
/// primary is leaving and can still send what is missing.
const CATCH_UP_LIMIT_LEAVING: Duration = Duration::from_millis(1_500);

/// Estimated duration of a promotion before one was measured. Databases take 600 to 1,000 ms.
pub(super) const INITIAL_PROMOTION_TIME: Duration = Duration::from_millis(1_000);

impl NativeTask {
    /// Handles an endpoint's announcement; returns whether it has changed anything but the time of
    /// the last one.
    pub(super) fn handle_announcement(&mut self, announcement: EndpointAnnouncement) -> bool {
        let now = self.now();
        let instance = announcement.instance.clone();
        let domain = announcement.domain.clone();
        let role = announcement.status.role;
        let leaving = announcement.status.leaving;
        let kind = self.pool.classify_announcement(&announcement);
        let known = match kind {
            AnnouncementKind::Stale => return false,
            AnnouncementKind::New => false,
            AnnouncementKind::Repetition | AnnouncementKind::Update => true,
            // Connections, position and role of the former process don't apply to the new one.
            AnnouncementKind::Restart => {
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
        let repeats = kind == AnnouncementKind::Repetition
            && self.replacement.state() == ReplacementState::Steady
            && self.roles.is_known_as(&instance, role, leaving)
            && !self.roles.needs_report(&instance);
        self.note_log_holder(&announcement);
        self.pool.record_announcement(now, announcement);
        self.roles.note_announcement(now, &instance, role, leaving);
        self.primary_absence.count_announcement(&instance);
        if repeats {
            return false;
        }
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
        self.apply_roles();
        if !known {
            // The opening exchange verifies the instance's name and returns its position.
            self.open_connection(now, &instance);
        }
        self.request_report_if_needed(&instance);
        true
    }

    /// Records an instance that may have received acknowledged writes. It holds the log of an
    /// earlier instance with the same address.
    pub(super) fn note_log_holder(&mut self, announcement: &EndpointAnnouncement) {
        let address = announcement.data_address;
        let instance = &announcement.instance;
        self.log_holders
            .retain(|held, holder| holder.instance != *instance || *held == address);
        let former = self.log_holders.insert(address, announcement.clone());
        if let Some(former) = former.filter(|former| former.instance != *instance) {
            self.replacement.forget(&former.instance);
        }
    }

    /// Returns whether an instance is the last primary that was found.
    pub(super) fn is_leading(&self, instance: &InstanceName) -> bool {
        let leading = self.leading.as_ref();
        leading.is_some_and(|(primary, _)| primary == instance)
    }

    /// Applies the instances' roles: adopts a new primary, and updates the scheduler, the
    /// replacement and the time without a primary.
    pub(super) fn apply_roles(&mut self) {
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
                    .primary_absence
                    .since()
                    .map_or(0, |since| now.since(since).as_millis()),
            );
            // Replicas serve no reads before the start position is known: they could lack writes
            // that a former leaseholder acknowledged.
            self.history.begin(*term, start);
            self.abandon_fence(now);
            self.update_promotion_time(now);
            // The promotion may have rolled back positions that replicas had reported.
            self.replicas.clear();
            self.suspect = None;
        }
        let began = found.is_some() && self.leading != found;
        if found.is_some() {
            self.leading = found;
        }
        // An endpoint's role depends on whether it is being replaced.
        let usable = self.find_usable_primary();
        if let Some(primary) = &usable {
            let may_stay = !self.roles.is_leaving(primary);
            self.replacement.note_primary(now, primary, may_stay);
        }
        self.refresh_endpoints();
        if began {
            self.raise_min_positions();
        }
        match usable {
            Some(_) => self.primary_absence.end(),
            None => self.primary_absence.begin(now),
        }
    }

    /// Returns whether the group has a usable primary that isn't being replaced.
    pub(super) fn is_steady(&self) -> bool {
        let replaced = self.replacement.state() != ReplacementState::Steady;
        let headless = self.primary_absence.since().is_some();
        !replaced && !headless && self.suspect.is_none()
    }

    /// Returns the primary, unless its endpoint is unknown or suspected.
    fn find_usable_primary(&self) -> Option<InstanceName> {
        let (primary, _) = self.roles.primary()?;
        let known = self.pool.endpoint(primary).is_some();
        let suspect = self.suspect.as_ref() == Some(primary);
        (known && !suspect).then(|| primary.clone())
    }

    /// Passes each endpoint's limits and present role to the scheduler, and has the recorded
    /// endpoints checked.
    pub(super) fn refresh_endpoints(&mut self) {
        let now = self.now();
        let view = self.view.borrow();
        let terms = view.copy.group_terms(&self.group);
        self.connection_limit = terms.map(|terms| terms.connections);
        drop(view);
        self.checks.request_after(GroupCheck::Records, TICK);
        self.endpoint_updates += 1;
        for instance in self.pool.names() {
            let Some(endpoint) = self.pool.endpoint(&instance) else {
                continue;
            };
            let announcement = &endpoint.announcement;
            let state = EndpointState {
                instance: instance.clone(),
                domain: announcement.domain.clone(),
                slots: announcement.slots,
                connections: self.connection_limit_of(announcement),
                role: self.role_of(&instance),
                leaving: announcement.status.leaving,
            };
            self.scheduler.set_endpoint(now, state);
        }
        self.report_positions();
    }

    /// Returns the connection limit of an endpoint: the group's configured one, or else the
    /// announced one.
    pub(super) fn connection_limit_of(&self, announcement: &EndpointAnnouncement) -> u32 {
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
        // A leaving primary gets no more writes once its replacement has begun: the promotion would
        // lose what it acknowledged after that.
        let replaced = self.replacement.replaced() == Some(instance)
            && self.replacement.state() != ReplacementState::Steady;
        let primary_now = self.roles.primary().map(|(instance, _)| instance);
        match primary == instance {
            true if replaced || primary_now != Some(instance) => EndpointRole::Unusable,
            true => EndpointRole::Primary,
            false => EndpointRole::Replica,
        }
    }

    /// Reports the positions before statements arrive, unless others are under way and it was done
    /// within a [`TICK`].
    pub(super) fn report_positions_for_arrivals(&mut self) {
        if self.requests.is_empty() || self.now().since(self.positions_reported_at) >= TICK {
            self.report_positions();
        }
    }

    /// Passes each instance's position and lag to the scheduler: the newest acknowledged position
    /// for the primary, estimates for replicas.
    pub(super) fn report_positions(&mut self) {
        let now = self.now();
        self.positions_reported_at = now;
        for instance in self.pool.names() {
            if self.is_leading(&instance) {
                let newest = self.history.newest();
                self.scheduler
                    .report_position(now, &instance, newest, Duration::ZERO);
                continue;
            }
            let replica = self.replicas.get(&instance).copied().unwrap_or_default();
            let assumed = replica.assumed_position(now, &self.history);
            self.scheduler
                .report_position(now, &instance, assumed, replica.lag(now));
        }
    }

    /// Advances a running replacement, or begins one if the primary is dead, leaving or missing.
    pub(super) fn watch_primary(&mut self) {
        let now = self.now();
        if !self.may_serve() || self.handover.is_begun() {
            return;
        }
        self.remove_ended_orders(now);
        let actions = self.replacement.tick(now);
        self.perform_replacement(actions);
        if self.replacement.state() != ReplacementState::Steady {
            return;
        }
        match self.find_usable_primary() {
            Some(primary) if self.roles.is_leaving(&primary) => {
                if self.pool.endpoints().count() > 1 {
                    self.begin_replacement(Some(&primary), "leaving", CATCH_UP_LIMIT_LEAVING);
                }
            }
            Some(primary) => {
                self.check_primary(now, &primary);
                if self.replacement.state() == ReplacementState::Steady {
                    self.raise_fence(now, &primary);
                }
            }
            None => self.replace_missing(now),
        }
    }

    /// Returns whether [`watch_primary`](Self::watch_primary) has to run repeatedly: the primary
    /// owes an answer, a connection to it has failed, it is probed, or it is to be replaced because
    /// it leaves.
    pub(super) fn is_primary_watched(&self) -> bool {
        let Some(primary) = self.find_usable_primary() else {
            return true;
        };
        let leaves = self.roles.is_leaving(&primary) && self.pool.endpoints().count() > 1;
        let doubtful = self
            .pool
            .endpoint(&primary)
            .is_some_and(|one| one.failed_opens > 0 || one.probe_started.is_some());
        let mut links = self.pool.connections();
        leaves
            || doubtful
            || links.any(|(_, one)| {
                one.instance == primary && one.open && one.work != ConnectionWork::Nothing
            })
    }

    fn check_primary(&mut self, now: ClockTime, primary: &InstanceName) {
        let awaiting = self.pool.connections();
        let awaiting = awaiting.filter(|(_, one)| {
            one.instance == *primary && one.open && one.work != ConnectionWork::Nothing
        });
        let oldest = awaiting.map(|(_, one)| one.ordered_at).min();
        let Some(endpoint) = self.pool.endpoint(primary) else {
            return;
        };
        let silence = now.since(endpoint.answered_at);
        let overdue = oldest.is_some_and(|since| now.since(since) >= PRIMARY_SILENCE_LIMIT);
        let failed = endpoint.failed_opens;
        let probe_started = endpoint.probe_started;
        let probe_overdue = probe_started.is_some_and(|since| now.since(since) >= PROBE_TIMEOUT);
        if silence >= PRIMARY_SILENCE_LIMIT && (failed >= FAILED_OPENS_LIMIT || probe_overdue) {
            log_event!(
                Level::Warn,
                "primary_suspected",
                group = self.group,
                instance = primary,
                quiet_ms = silence.as_millis(),
                failed_opens = failed,
                probe_silent = probe_overdue,
            );
            self.suspect = Some(primary.clone());
            self.begin_replacement(Some(primary), "dead", CATCH_UP_LIMIT_DEAD);
            return;
        }
        let doubtful = (overdue && silence >= PRIMARY_SILENCE_LIMIT) || failed > 0;
        if doubtful
            && probe_started.is_none()
            && self.open_connection(now, primary)
            && let Some(endpoint) = self.pool.endpoint_mut(primary)
        {
            endpoint.probe_started = Some(now);
        }
    }

    fn replace_missing(&mut self, now: ClockTime) {
        if self.pool.endpoints().next().is_none() {
            return;
        }
        // Recorded endpoints without a primary are those that a former leaseholder had heard so
        // far, and the primary may be missing among them.
        let known = self.leading.is_some() || self.record.primary.is_some();
        let knowledge = match known {
            true => EndpointKnowledge::Known,
            false => EndpointKnowledge::Announced,
        };
        if self.primary_absence.is_primary_missing(now, knowledge) {
            self.begin_replacement(None, "missing", CATCH_UP_LIMIT_DEAD);
        } else if let Some(noted) = self.record.primary.clone() {
            self.check_noted_primary(now, &noted);
        }
    }

    /// Replaces the primary that a former leaseholder noted in the catalog, if it can't be reached.
    ///
    /// It may have failed together with that leaseholder. Waiting for its announcements would leave
    /// the group without a primary for twice as long.
    fn check_noted_primary(&mut self, now: ClockTime, noted: &InstanceName) {
        let Some(endpoint) = self.pool.endpoint(noted) else {
            return;
        };
        let failed = endpoint.failed_opens;
        let probe_started = endpoint.probe_started;
        let probe_overdue = probe_started.is_some_and(|since| now.since(since) >= PROBE_TIMEOUT);
        if failed >= FAILED_OPENS_LIMIT || (failed > 0 && probe_overdue) {
            self.begin_replacement(
                Some(&noted.clone()),
                "noted and out of reach",
                CATCH_UP_LIMIT_DEAD,
            );
        } else if failed > 0
            && probe_started.is_none()
            && self.open_connection(now, noted)
            && let Some(endpoint) = self.pool.endpoint_mut(noted)
        {
            endpoint.probe_started = Some(now);
        }
    }

    /// Passes the time at which a primary is expected to the scheduler, which refuses writes with
    /// an earlier deadline at once.
    pub(super) fn update_primary_forecast(&mut self) {
        let now = self.now();
        let due = match (self.primary_absence.since(), self.promotion_ordered_at) {
            (None, _) => None,
            (Some(_), Some(ordered)) if self.replacement.state() == ReplacementState::Watching => {
                Some(ordered + self.promotion_time)
            }
            // No replacement runs: a report may show at any moment that there is a primary.
            (Some(_), _) if self.replacement.state() == ReplacementState::Steady => None,
            (Some(_), _) => Some(now + self.promotion_time),
        };
        self.scheduler.expect_primary(due);
    }

    /// Updates the estimated duration of promotions by a moving average that halves the weight of
    /// older ones.
    fn update_promotion_time(&mut self, now: ClockTime) {
        if let Some(ordered) = self.promotion_ordered_at.take() {
            self.promotion_time = (self.promotion_time + now.since(ordered)) / 2;
        }
    }

    /// Clears the suspicion of a primary that answers again, unless a promotion was ordered
    /// already.
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
            self.apply_roles();
        }
    }

    /// Removes an endpoint that is gone, and closes its connections.
    pub(super) fn drop_endpoint(&mut self, instance: &InstanceName) {
        let now = self.now();
        log_event!(
            Level::Warn,
            "endpoint_dropped",
            group = self.group,
            instance = instance,
        );
        self.pool.remove_endpoint(instance);
        self.refused_reports.remove(instance);
        self.roles.forget(instance);
        self.primary_absence.forget(instance);
        self.replacement.forget(instance);
        self.replicas.remove(instance);
        self.scheduler.remove_endpoint(now, instance);
        for id in self.pool.links_of(instance) {
            self.retire_connection(id);
        }
        self.apply_roles();
    }

    /// Closes a connection of a removed endpoint: at once, or when its order has ended.
    fn retire_connection(&mut self, id: LinkId) {
        let Some(connection) = self.pool.connection_mut(id) else {
            return;
        };
        connection.retired = true;
        connection.unusable = true;
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
