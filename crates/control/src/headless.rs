//! Decides when a group without a primary needs a new one.
//!
//! Hundreds of groups may be placed at once, and their endpoints' announcements then reach the
//! leaseholders seconds late. A leaseholder that knows only the replicas so far must not replace
//! a running primary that hasn't announced itself yet.
//!
//! If a primary was found before, its successor is among the endpoints known then, and each of them
//! is asked. If none was found, the primary may be an endpoint that hasn't announced itself yet:
//! the endpoints of a new group start and announce themselves seconds apart. It is awaited until
//! every known endpoint has announced itself several times since the last new one did.

use ragwort_types::ClockTime;
use ragwort_types::InstanceName;
use smallvec::SmallVec;
use std::time::Duration;

/// Time without a primary after which a new one is promoted. Endpoints announce themselves about
/// once a second.
pub const MAX_PRIMARY_ABSENCE: Duration = Duration::from_millis(1_500);

/// Announcements from each known endpoint since the last new one, before an unknown one is
/// considered missing. More of them would delay the replacement of a primary that never started.
const MIN_ANNOUNCEMENTS: u32 = 5;

/// How a group's endpoints became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKnowledge {
    /// A primary was found among them, by this leaseholder or by a former one that recorded them.
    Known,
    /// Only by their announcements to this VM.
    Announced,
}

/// Tracks the time during which a group has no usable primary.
#[derive(Clone, Debug, Default)]
pub struct PrimaryAbsence {
    since: Option<ClockTime>,
    announcements: SmallVec<[(InstanceName, u32); 3]>,
}

impl PrimaryAbsence {
    /// Records that there is no primary; the time starts if there was one before.
    pub fn begin(&mut self, now: ClockTime) {
        if self.since.is_none() {
            self.since = Some(now);
            self.announcements.clear();
        }
    }

    /// Records that there is a primary.
    pub fn end(&mut self) {
        self.since = None;
    }

    /// Records an endpoint's announcement.
    pub fn count_announcement(&mut self, instance: &InstanceName) {
        match self
            .announcements
            .iter_mut()
            .find(|(name, _)| name == instance)
        {
            Some((_, count)) => *count += 1,
            None => {
                self.announcements.push((instance.clone(), 1));
                // Others that haven't announced themselves yet may be as late as this one.
                for (_, count) in &mut self.announcements {
                    *count = 1;
                }
            }
        }
    }

    /// Removes an endpoint that is no longer known.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.announcements.retain(|(name, _)| name != instance);
    }

    /// Returns since when there has been no primary.
    pub fn since(&self) -> Option<ClockTime> {
        self.since
    }

    /// Returns whether the group's primary is missing, so that another must be promoted.
    pub fn is_primary_missing(&self, now: ClockTime, knowledge: EndpointKnowledge) -> bool {
        if self
            .since
            .is_none_or(|since| now.since(since) < MAX_PRIMARY_ABSENCE)
        {
            return false;
        }
        match knowledge {
            EndpointKnowledge::Known => true,
            EndpointKnowledge::Announced => {
                let mut count = self.announcements.iter().map(|(_, count)| *count);
                !self.announcements.is_empty() && count.all(|count| count >= MIN_ANNOUNCEMENTS)
            }
        }
    }
}
