//! Says when a group without a primary is given a new one.
//!
//! # The load it answers
//!
//! Hundreds of groups are placed at once, and the announcements of their endpoints reach their leaseholders
//! seconds late.
//!
//! # Without it
//!
//! A leaseholder that has heard the replicas only takes the primary for missing, and replaces one that lives
//! before it has announced itself.
//!
//! # Grounds for its figures
//!
//! Where a primary was found before, its successor is one of those that were known then, and each is asked.
//! Where none was, the primary may be one that wasn't heard yet. An endpoint's second announcement shows that
//! there was time for the first one of each.

use ragwort_types::ClockTime;
use ragwort_types::InstanceName;
use smallvec::SmallVec;
use std::time::Duration;

/// How long a group may have no primary before one is made. Endpoints announce themselves about each
/// second.
pub const HEADLESS_TIME: Duration = Duration::from_millis(1_500);

/// How often each endpoint is heard before one that wasn't heard is taken for missing.
const TIMES_HEARD: u32 = 2;

/// How the endpoints of a group are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKnowledge {
    /// A primary was found among them, here or by a former leaseholder that noted them.
    Known,
    /// By their announcements to this VM only.
    Heard,
}

/// The time in which a group has no primary that may be used.
#[derive(Clone, Debug, Default)]
pub struct HeadlessWatch {
    since: Option<ClockTime>,
    heard: SmallVec<[(InstanceName, u32); 3]>,
}

impl HeadlessWatch {
    /// Notes that there is no primary, from now on if there was one.
    pub fn begin(&mut self, now: ClockTime) {
        if self.since.is_none() {
            self.since = Some(now);
            self.heard.clear();
        }
    }

    /// Notes that there is a primary.
    pub fn end(&mut self) {
        self.since = None;
    }

    /// Notes that an endpoint has announced itself.
    pub fn hear(&mut self, instance: &InstanceName) {
        match self.heard.iter_mut().find(|(name, _)| name == instance) {
            Some((_, times)) => *times += 1,
            None => self.heard.push((instance.clone(), 1)),
        }
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.heard.retain(|(name, _)| name != instance);
    }

    /// Returns since when there has been no primary.
    pub fn since(&self) -> Option<ClockTime> {
        self.since
    }

    /// Says whether the group's primary is missing, so that it needs another.
    pub fn is_primary_missing(&self, now: ClockTime, knowledge: EndpointKnowledge) -> bool {
        if self
            .since
            .is_none_or(|since| now.since(since) < HEADLESS_TIME)
        {
            return false;
        }
        match knowledge {
            EndpointKnowledge::Known => true,
            EndpointKnowledge::Heard => {
                let mut times = self.heard.iter().map(|(_, times)| *times);
                !self.heard.is_empty() && times.all(|times| times >= TIMES_HEARD)
            }
        }
    }
}
