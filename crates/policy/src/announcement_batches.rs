//! Batches of endpoint announcements that are relayed to one VM.
//!
//! # Problem
//!
//! Endpoints announce themselves to any VM, which relays each announcement to the leaseholder of
//! the endpoint's group. Nearly all of them repeat a known state, and a remote call for each costs
//! the VMs on both sides more than the announcement itself.
//!
//! # Approach
//!
//! An announcement that repeats a known state waits for others for up to [`GATHER_TIME`]. One that
//! is urgent, because it changes that state or its endpoint is leaving, makes the batch due at
//! once. A batch is sent only after the previous one has ended: a slow VM gets larger batches
//! instead of more calls, and the announcements of an endpoint arrive in order.

use ragwort_types::ClockTime;
use ragwort_types::EndpointAnnouncement;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

/// How long an announcement that repeats a known state waits for others. It is a fraction of the
/// interval at which endpoints announce themselves, and of the time they wait for the reply.
pub const GATHER_TIME: Duration = Duration::from_millis(100);

/// The maximum number of announcements in a batch. At some 400 bytes each, a link of 2 Mbit/s
/// carries them well before the call's time limit.
pub const MAX_BATCHED_ANNOUNCEMENTS: usize = 128;

/// The maximum number of announcements that wait for one VM, which may be silent.
pub const MAX_WAITING_ANNOUNCEMENTS: usize = 1_024;

/// Identifies an announcement that is relayed to a VM, and whoever waits for the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnnouncementTicket(pub u64);

/// An announcement that waits to be relayed.
#[derive(Clone, Debug)]
pub struct WaitingAnnouncement {
    /// The ticket under which it was added.
    pub ticket: AnnouncementTicket,
    /// The announcement.
    pub announcement: Arc<EndpointAnnouncement>,
    /// Whether it is to be sent without waiting for others.
    pub urgent: bool,
}

/// The announcements that wait to be relayed to one VM, at most one of each endpoint.
#[derive(Debug, Default)]
pub struct AnnouncementBatches {
    waiting: Vec<WaitingAnnouncement>,
    /// The arrival of the announcement that has waited longest since the last batch.
    gathering_since: ClockTime,
    sending: bool,
}

impl AnnouncementBatches {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an announcement, and returns the ticket of one that will not be sent, if any: an older
    /// one of the same endpoint, or one for which there is no room.
    pub fn add(
        &mut self,
        now: ClockTime,
        added: WaitingAnnouncement,
    ) -> Option<AnnouncementTicket> {
        if let Some(known) = self.find_same_endpoint(&added.announcement) {
            if added.announcement.is_before(&known.announcement) {
                return Some(added.ticket);
            }
            // The change that made the older one urgent has not been sent yet.
            let urgent = added.urgent || known.urgent;
            let older = mem::replace(known, WaitingAnnouncement { urgent, ..added });
            return Some(older.ticket);
        }
        if self.waiting.is_empty() {
            self.gathering_since = now;
        }
        let mut dropped = None;
        if self.waiting.len() >= MAX_WAITING_ANNOUNCEMENTS {
            let replaceable = self.waiting.iter().position(|one| !one.urgent);
            let Some(oldest) = replaceable.filter(|_| added.urgent) else {
                return Some(added.ticket);
            };
            dropped = Some(self.waiting.remove(oldest).ticket);
        }
        self.waiting.push(added);
        dropped
    }

    fn find_same_endpoint(
        &mut self,
        announcement: &EndpointAnnouncement,
    ) -> Option<&mut WaitingAnnouncement> {
        self.waiting.iter_mut().find(|one| {
            one.announcement.instance == announcement.instance
                && one.announcement.group == announcement.group
        })
    }

    /// Returns when the next batch is due; `None` if nothing waits or a batch is being sent.
    pub fn due_at(&self) -> Option<ClockTime> {
        if self.waiting.is_empty() || self.sending {
            return None;
        }
        let at_once = self.waiting.len() >= MAX_BATCHED_ANNOUNCEMENTS
            || self.waiting.iter().any(|one| one.urgent);
        match at_once {
            true => Some(self.gathering_since),
            false => Some(self.gathering_since + GATHER_TIME),
        }
    }

    /// Returns the announcements to send now, urgent ones first; empty if no batch is due.
    ///
    /// No further batch is due until [`end_batch`](Self::end_batch) is called.
    pub fn take_due(&mut self, now: ClockTime) -> Vec<WaitingAnnouncement> {
        if self.due_at().is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.sending = true;
        if self.waiting.len() > MAX_BATCHED_ANNOUNCEMENTS {
            self.waiting.sort_by_key(|one| !one.urgent);
            let rest = self.waiting.split_off(MAX_BATCHED_ANNOUNCEMENTS);
            return mem::replace(&mut self.waiting, rest);
        }
        mem::take(&mut self.waiting)
    }

    /// Records that the batch taken last was answered or has failed.
    pub fn end_batch(&mut self) {
        self.sending = false;
    }

    /// Returns whether nothing waits and no batch is being sent.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && !self.sending
    }
}
