//! Tells a dead primary from a slow one, or from a connection that has gone silent.

use super::GroupTask;
use super::notice::AgentReport;
use super::notice::GroupNotice;
use super::notice::ProbeReport;
use std::time::Duration;

impl GroupTask {
    /// Takes an agent's report; silence of the primary begins a probe over a new connection.
    pub(super) fn take_agent_report(&mut self, report: AgentReport) {
        match report.status {
            Some(status) => {
                if self.record.primary.as_ref() == Some(&report.instance) {
                    self.primary_heard = self.context.clock.now();
                }
                self.take_status(&report.instance, report.asked, status);
            }
            None => {
                self.quorum.forget(&report.instance);
                if self.record.primary.as_ref() == Some(&report.instance) {
                    self.probe_primary();
                }
            }
        }
    }

    fn probe_primary(&mut self) {
        let Some(instance) = self.record.primary.clone() else {
            return;
        };
        let Some(entry) = self.pool.endpoint(&instance) else {
            return;
        };
        let address = entry.announcement.agent_address;
        let links = self.context.links.clone();
        let notices = self.notices.clone();
        let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms);
        self.children.spawn(async move {
            let answered = links.probe_fresh(address, limit).await;
            let report = ProbeReport { instance, answered };
            let _ = notices.send(GroupNotice::Probe(report)).await;
        });
    }

    /// Takes the end of a probe.
    pub(super) fn take_probe_report(&mut self, report: ProbeReport) {
        let primary = self.record.primary.as_ref() == Some(&report.instance);
        if primary && !report.answered {
            self.suspect_primary(self.primary_heard);
        }
    }
}
