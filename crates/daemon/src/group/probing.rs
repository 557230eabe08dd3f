//! Detects a failed primary and distinguishes it from a slow one and from a connection that went
//! silent.
//!
//! The [`PrimaryDetector`] decides. This module sends the probes that it asks for (on an open
//! connection, on a new connection, and from the standbys), reports the results back, and acts on
//! the verdict: it replaces connections, hands the group over to a standby, or starts a promotion.

use super::GroupTask;
use super::notice::AgentReport;
use super::notice::GroupNotice;
use super::notice::ProbeReport;
use super::notice::StandbyProbe;
use crate::log_event;
use crate::peers::LinkError;
use crate::peers::probe_accept;
use crate::peers::probe_answer;
use jsonrpsee_ws_client::WsClient;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::DetectorAction;
use ragwort_control::PrimaryDetector;
use ragwort_control::PrimaryVerdict;
use ragwort_control::ProbeOutcome;
use ragwort_control::ProbeView;
use ragwort_rpc::AgentApiClient;
use ragwort_rpc::PeerApiClient;
use ragwort_types::InstanceName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The time limit of a probe's answer. A late answer still shows that the primary is alive, so the
/// limit is longer than the detector waits for a primary that hangs.
const PROBE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The failure detector of the present primary.
#[derive(Debug)]
pub(super) struct PrimaryWatch {
    instance: InstanceName,
    detector: PrimaryDetector,
}

impl GroupTask {
    /// Handles an agent's report; one from the primary also counts as an answered probe.
    pub(super) fn handle_agent_report(&mut self, report: AgentReport) {
        match report.status {
            Some(status) => {
                if self.record.primary.as_ref() == Some(&report.instance) {
                    self.note_probe(
                        &report.instance,
                        ProbeView::OpenConnection,
                        ProbeOutcome::Answered,
                    );
                }
                self.handle_status(&report.instance, report.sent_at, status);
            }
            None => self.quorum.forget(&report.instance),
        }
    }

    /// Sends the probes that the detector asks for, and applies its verdict.
    pub(super) fn tick_detector(&mut self) {
        if !self.is_serving() || !self.may_act() {
            self.primary_watch = None;
            return;
        }
        let Some(primary) = self.record.primary.clone() else {
            return;
        };
        let now = self.context.clock.now();
        let known = self
            .primary_watch
            .as_ref()
            .is_some_and(|watch| watch.instance == primary);
        if !known {
            let detector = PrimaryDetector::new(now, &self.record.placement.standbys);
            self.primary_watch = Some(PrimaryWatch {
                instance: primary.clone(),
                detector,
            });
        }
        let actions = match &mut self.primary_watch {
            Some(watch) => watch.detector.tick(now),
            None => return,
        };
        for action in actions {
            self.send_probe(&primary, action);
        }
        self.apply_verdict(&primary);
    }

    /// Returns when the next probe of the primary is due; `None` if its failure detector must run at
    /// each tick.
    pub(super) fn next_probe(&self) -> Option<ClockTime> {
        self.primary_watch.as_ref()?.detector.next_probe()
    }

    /// Acts on the detector's verdict about the primary.
    fn apply_verdict(&mut self, primary: &InstanceName) {
        let now = self.context.clock.now();
        let Some(watch) = &self.primary_watch else {
            return;
        };
        match watch.detector.verdict(now) {
            PrimaryVerdict::Alive | PrimaryVerdict::Doubtful => {}
            PrimaryVerdict::OpenConnectionsDead => self.reopen_connections(primary),
            PrimaryVerdict::ReachableFrom(vm) => self.hand_over_to(&vm),
            PrimaryVerdict::Suspected(grounds) => {
                log_event!(
                    Level::Warn,
                    "primary_suspected",
                    group = self.group,
                    instance = primary,
                    silent_ms = grounds.silent_for.as_millis(),
                    new_connection = format!("{:?}", grounds.new_connection),
                    agreeing = grounds.agreeing.len(),
                    unheard = grounds.unheard.len(),
                );
                let micros = now.0.saturating_sub(grounds.silent_for.as_micros() as u64);
                self.primary_watch = None;
                self.suspect_primary(ClockTime(micros));
            }
        }
    }

    /// Replaces all open connections to the primary, because a device on the path seems to have
    /// dropped their state.
    fn reopen_connections(&mut self, primary: &InstanceName) {
        log_event!(
            Level::Warn,
            "connections_silent",
            group = self.group,
            instance = primary,
        );
        self.validate_idle_connections(primary);
        if let Some(entry) = self.pool.endpoint(primary) {
            let address = entry.announcement.agent_address;
            let links = self.context.links.clone();
            self.children
                .spawn(async move { links.reopen(address).await });
        }
        self.primary_watch = None;
    }

    fn send_probe(&mut self, primary: &InstanceName, action: DetectorAction) {
        let Some(entry) = self.pool.endpoint(primary) else {
            return;
        };
        let address = entry.announcement.agent_address;
        match action {
            DetectorAction::ProbeOpen => self.probe_open(primary, address),
            DetectorAction::ProbeNew => self.probe_new(primary, address),
            DetectorAction::AskStandbys => self.ask_standbys(primary, address),
        }
    }

    /// Probes the primary on the open connection to its agent.
    fn probe_open(&mut self, primary: &InstanceName, address: SocketAddr) {
        self.probes += 1;
        let links = self.context.links.clone();
        let notices = self.notices.clone();
        let instance = primary.clone();
        let expected = self.expected_identity(primary);
        self.children.spawn(async move {
            let call = |client: Arc<WsClient>| async move { client.status().await };
            let answer = links.call_instance(address, &expected, PROBE_ANSWER_TIMEOUT, call);
            let outcome = match answer.await {
                Ok(_) => ProbeOutcome::Answered,
                Err(LinkError::Unreachable) => ProbeOutcome::Refused,
                Err(LinkError::Exhausted) => ProbeOutcome::Untried,
                Err(LinkError::Lost | LinkError::Rejected(_)) => ProbeOutcome::Silent,
            };
            let report = ProbeReport {
                instance,
                view: ProbeView::OpenConnection,
                outcome,
            };
            let _ = notices.send(GroupNotice::Probe(report)).await;
        });
    }

    /// Probes the primary on a new connection: reports first that it was accepted, then that it was
    /// answered.
    fn probe_new(&mut self, primary: &InstanceName, address: SocketAddr) {
        let notices = self.notices.clone();
        let instance = primary.clone();
        let timing = &self.context.settings.timing;
        let accept = Duration::from_millis(timing.probe_timeout_ms);
        let expected = self.expected_identity(primary);
        self.children.spawn(async move {
            let report = |outcome| {
                GroupNotice::Probe(ProbeReport {
                    instance: instance.clone(),
                    view: ProbeView::NewConnection,
                    outcome,
                })
            };
            if let Err(outcome) = probe_accept(address, accept).await {
                let _ = notices.send(report(outcome)).await;
                return;
            }
            let _ = notices.send(report(ProbeOutcome::Accepted)).await;
            let answer = probe_answer(address, &expected, PROBE_ANSWER_TIMEOUT).await;
            if answer != ProbeOutcome::Silent {
                let _ = notices.send(report(answer)).await;
            }
        });
    }

    /// Asks every standby whether it reaches the primary.
    fn ask_standbys(&mut self, primary: &InstanceName, address: SocketAddr) {
        let limit = Duration::from_millis(self.context.settings.timing.probe_timeout_ms * 2);
        for vm in self.record.placement.standbys.clone() {
            let member = self.view.borrow().copy.member(&vm).cloned();
            let Some(member) = member else {
                continue;
            };
            let links = self.context.links.clone();
            let notices = self.notices.clone();
            let instance = primary.clone();
            let expected = self.expected_identity(primary);
            let sent_at = self.context.clock.now();
            self.children.spawn(async move {
                let call = |client: Arc<WsClient>| async move {
                    client.probe_instance(address, expected).await
                };
                if let Ok(reachable) = links.call(member.peer_address, limit, call).await {
                    let probe = StandbyProbe {
                        instance,
                        vm,
                        sent_at,
                        reachable,
                    };
                    let _ = notices.send(GroupNotice::StandbyProbe(probe)).await;
                }
            });
        }
    }

    /// Handles the outcome of a probe.
    pub(super) fn handle_probe_report(&mut self, report: &ProbeReport) {
        self.note_probe(&report.instance, report.view, report.outcome);
    }

    /// Handles a standby's report whether it reaches the primary.
    pub(super) fn handle_standby_probe(&mut self, probe: &StandbyProbe) {
        if let Some(watch) = &mut self.primary_watch
            && watch.instance == probe.instance
        {
            watch
                .detector
                .note_standby(probe.sent_at, &probe.vm, probe.reachable);
        }
    }

    fn note_probe(&mut self, instance: &InstanceName, view: ProbeView, outcome: ProbeOutcome) {
        let now = self.context.clock.now();
        if let Some(watch) = &mut self.primary_watch
            && watch.instance == *instance
        {
            watch.detector.note_probe(now, view, outcome);
        }
    }
}
