//! Requests to instances on the leaseholder's own account: reports of their roles and positions, and
//! validations of connections.
//!
//! A report occupies one of the instance's slots. The leaseholder keeps all slots of a busy instance
//! in use, so a request that was refused is repeated when a statement ends there.

use super::NativeTask;
use super::link::LinkId;
use super::link::LinkOrder;
use super::link::LinkPurpose;
use super::link::LinkResult;
use super::pool::ConnectionWork;
use crate::edges::EndpointCommand;
use crate::log_event;
use log::Level;
use ragwort_control::ReplacementState;
use ragwort_control::RoleReport;
use ragwort_types::EndpointFaultKind;
use ragwort_types::InstanceName;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for an instance's report. It doubles with each report in a row that isn't there in
/// time, since the next one of an instance that is short of processor time won't be either.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of times that [`REPORT_TIMEOUT`] is doubled.
const MAX_REPORT_DOUBLINGS: u32 = 3;

impl NativeTask {
    /// Requests the report of an instance that claims to be the primary in an unknown term. Opens a
    /// connection if it has none.
    pub(super) fn request_report_if_needed(&mut self, instance: &InstanceName) {
        if !self.roles.needs_report(instance) || self.send_report_request(instance) {
            return;
        }
        if self.pool.links_of(instance).is_empty() {
            self.open_connection(self.now(), instance);
        }
    }

    /// Requests an instance's report on an idle connection; returns false if there is none.
    pub(super) fn send_report_request(&mut self, instance: &InstanceName) -> bool {
        let Some(id) = self.pool.find_any_idle(instance) else {
            return false;
        };
        let endpoint = self.pool.endpoint(instance);
        let silent = endpoint.map_or(0, |endpoint| endpoint.silent_reports);
        self.send_internal(
            id,
            LinkPurpose::Report,
            EndpointCommand::Describe,
            REPORT_TIMEOUT * 2_u32.pow(silent.min(MAX_REPORT_DOUBLINGS)),
        )
    }

    /// Repeats a report request that an instance refused, now that a statement has freed a slot. The
    /// scheduler would give the slot to the next statement, and later requests be refused as well.
    pub(super) fn repeat_refused_report(&mut self, instance: &InstanceName) {
        if !self.refused_reports.remove(instance) {
            return;
        }
        let wanted = match self.replacement.state() {
            ReplacementState::Asking => self.replacement.replaced() != Some(instance),
            ReplacementState::Watching => self.replacement.candidate() == Some(instance),
            ReplacementState::Steady | ReplacementState::Numbering | ReplacementState::Ordering => {
                false
            }
        };
        if wanted || self.roles.needs_report(instance) {
            self.send_report_request(instance);
        }
    }

    /// Starts the validation of a connection by a reset, which takes no slot of the endpoint. It
    /// clears the connection's session state.
    pub(super) fn start_validation(&mut self, id: LinkId) -> bool {
        let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms * 2);
        let ordered = self.send_internal(
            id,
            LinkPurpose::ConnectionValidation,
            EndpointCommand::Reset,
            limit,
        );
        if ordered && let Some(connection) = self.pool.connection_mut(id) {
            connection.validating = true;
        }
        ordered
    }

    fn send_internal(
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
        // An endpoint rejects all other commands within a transaction that has failed.
        let rollback = connection.image.is_in_transaction();
        let rollback = rollback.then_some(EndpointCommand::Rollback);
        let sent = connection.send(LinkOrder {
            purpose,
            commands: rollback.into_iter().chain([command]).collect(),
            deadline: Instant::now() + limit,
        });
        if sent {
            connection.work = ConnectionWork::Internal;
            connection.ordered_at = now;
        }
        sent
    }

    /// Handles the outcome of a report request.
    pub(super) fn handle_report(&mut self, instance: &InstanceName, result: LinkResult) {
        let now = self.now();
        if let Some(endpoint) = self.pool.endpoint_mut(instance) {
            endpoint.silent_reports = match result {
                LinkResult::Silent => endpoint.silent_reports.saturating_add(1),
                LinkResult::Answered(_) | LinkResult::Fault(_) => 0,
                LinkResult::NotSent | LinkResult::Lost => endpoint.silent_reports,
            };
        }
        let (report, fault) = match result {
            LinkResult::Answered(answer) => {
                let row = answer.rows.first();
                let report = row.and_then(|row| self.edges.endpoints.read_report(row));
                (report, None)
            }
            LinkResult::Fault(fault) => (None, Some(fault.sort)),
            LinkResult::NotSent | LinkResult::Lost | LinkResult::Silent => (None, None),
        };
        match fault {
            Some(EndpointFaultKind::Busy) => self.refused_reports.insert(instance.clone()),
            _ => self.refused_reports.remove(instance),
        };
        if self.replacement.state() == ReplacementState::Asking {
            let received = report.as_ref().map(|report| report.received.to_string());
            log_event!(
                Level::Info,
                "replacement_report",
                group = self.group,
                instance = instance,
                received = received.as_deref().unwrap_or("unknown"),
                fault = fault.map_or("none".to_owned(), |fault| format!("{fault:?}")),
                newest = self.history.newest(),
            );
        }
        let report = report.map(|report| RoleReport {
            role: report.role,
            term: report.term,
            received: report.received,
        });
        if let Some(report) = report {
            self.roles.take_report(now, instance, report);
        }
        let actions = self.replacement.take_report(now, instance, report);
        self.perform_replacement(actions);
        self.apply_roles();
    }
}
