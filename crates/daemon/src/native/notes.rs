//! Recorded endpoints: the leaseholder records the group's endpoints and primary in the catalog,
//! and its successor connects to them without waiting for their announcements.
//!
//! # Purpose
//!
//! Endpoints announce themselves about once a second. After the failure of a leaseholder's VM, or
//! the return of a whole failure domain from a loss of power, a successor that waited for the
//! announcements would have no primary for half a second on average, and would refuse every write
//! until then.
//!
//! # Safety
//!
//! The record may be out of date. The opening exchange names the expected instance, so a connection
//! is refused if its address belongs to another one by now. Each instance that answers is asked for
//! its role and term before it is used.

use super::CATALOG_INTERVAL;
use super::NativeTask;
use super::TICK;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::WriteGuarantee;
use ragwort_policy::GroupCheck;
use ragwort_types::CatalogCommand;
use ragwort_types::CommandReply;
use ragwort_types::EndpointAnnouncement;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;
use ragwort_types::RecordedEndpoints;
use std::time::Duration;

/// How long a change waits so that others are noted together with it, since each note goes to every
/// VM. All endpoints of a group announce themselves within twice this time.
const NOTE_DELAY: Duration = Duration::from_millis(600);

/// State of the proposals that note the endpoints in the catalog.
#[derive(Debug, Default)]
pub(super) struct NotesProgress {
    /// Time since which the known endpoints or primary differ from the noted ones.
    differs_since: Option<ClockTime>,
    /// Whether a note is proposed and not answered yet.
    proposed: bool,
}

impl NativeTask {
    /// Opens connections to the endpoints that a former leaseholder noted.
    pub(super) fn load_notes(&mut self) {
        let now = self.now();
        for announcement in self.record.endpoints.clone() {
            let instance = announcement.instance.clone();
            let leaving = announcement.status.leaving;
            log_event!(
                Level::Info,
                "endpoint_expected",
                group = self.group,
                instance = instance,
                address = announcement.data_address,
            );
            self.note_log_holder(&announcement);
            self.pool.record_announcement(now, announcement);
            self.roles.add_expected(now, &instance, leaving);
            self.open_connection(now, &instance);
        }
    }

    /// Proposes a new note once the endpoints or the primary have differed from the noted ones for
    /// [`NOTE_DELAY`].
    pub(super) fn check_notes(&mut self) {
        let now = self.now();
        let (term, primary) = self.primary_to_note();
        let endpoints = self.endpoints_to_note();
        let settled_token = self.settled_token();
        let noted = &self.record;
        let mut orders = noted.orders.iter();
        let settles = orders.any(|order| order.token <= settled_token);
        let same_primary = noted.term == term && noted.primary == primary;
        let same = noted.endpoints == endpoints && same_primary && !settles;
        if same || self.leading.is_none() {
            self.notes.differs_since = None;
            return;
        }
        let since = *self.notes.differs_since.get_or_insert(now);
        if now.since(since) < NOTE_DELAY {
            self.checks.request(GroupCheck::Records, since + NOTE_DELAY);
            return;
        }
        // The reply to the proposed note or placement has this checked again.
        if self.notes.proposed || self.handover.is_begun() {
            return;
        }
        if !self.may_serve() {
            self.checks
                .request(GroupCheck::Records, now + CATALOG_INTERVAL);
            return;
        }
        self.notes.proposed = true;
        self.propose(CatalogCommand::RecordEndpoints(Box::new(
            RecordedEndpoints {
                group: self.group.clone(),
                epoch: self.record.placement.epoch,
                term,
                primary,
                endpoints,
                settled_token,
            },
        )));
    }

    fn primary_to_note(&self) -> (GroupTerm, Option<InstanceName>) {
        match &self.leading {
            Some((instance, term)) => (*term, Some(instance.clone())),
            None => (self.record.term, self.record.primary.clone()),
        }
    }

    /// Returns the endpoints' announcements without the values that change with each one.
    ///
    /// With synchronous replicas an endpoint that is gone stays noted. A successor that didn't know
    /// of it could promote another one that lacks the writes that only this one has received.
    fn endpoints_to_note(&self) -> Vec<EndpointAnnouncement> {
        let mut noted: Vec<EndpointAnnouncement> = match self.write_guarantee() {
            WriteGuarantee::SynchronousReplicas(_) => self.log_holders.values().cloned().collect(),
            WriteGuarantee::BestEffort => {
                let known = self.pool.endpoints();
                known.map(|one| one.announcement.clone()).collect()
            }
        };
        for announcement in &mut noted {
            announcement.status.role = InstanceRole::Replica;
            announcement.status.position = LogPosition::default();
            announcement.sequence = 0;
        }
        noted.sort_by(|one, other| one.instance.cmp(&other.instance));
        noted
    }

    /// Handles the reply to a proposed note. A remaining difference is noted after another
    /// [`NOTE_DELAY`].
    pub(super) fn handle_notes_reply(&mut self, reply: &CommandReply) {
        self.notes.proposed = false;
        self.notes.differs_since = None;
        self.checks.request_after(GroupCheck::Records, TICK);
        log_event!(
            Level::Info,
            "endpoints_noted",
            group = self.group,
            reply = format!("{reply:?}"),
        );
    }
}
