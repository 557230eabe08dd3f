//! Reads that wait for a replica to catch up while the primary is full.
//!
//! # Problem
//!
//! A session has written and reads. No replica has applied the write yet, so the read goes to the
//! primary. At a full primary it waits for a slot that a write needs, although a replica would be
//! allowed to serve it a few tens of milliseconds later, long before the answer is due.
//!
//! # Approach
//!
//! The session's write came before its read. So a replica whose data had a certain age at the
//! read's arrival holds the write when that time has passed, unless it falls further behind. A read
//! waits for the replica if that leaves half of the time to its target, and only while the primary
//! has no free slot. A read whose replica isn't there when it was expected goes to the primary.
//!
//! The number of such reads is bounded: a plan examines only the first requests of each lane, and
//! reads that can't start yet must not hide those that can.

use crate::ClockTime;
use crate::EndpointRole;
use crate::GroupScheduler;
use crate::RequestProfile;
use crate::RequestTicket;
use crate::estimate::KindEstimate;
use crate::forecast::is_in_rotation;
use crate::queue::LaneKind;
use crate::queue::WaitingRequest;
use crate::redispatch::is_rejected_by;
use crate::routing::ServingFitness;
use crate::routing::judge_fitness;
use ragwort_types::InstanceName;

/// The maximum number of reads that wait for replicas to catch up: half of the requests of a lane
/// that a plan examines.
pub(crate) const MAX_CATCH_UP_READS: u32 = 8;

/// The maximum number of reads that one review compares with each other, which bounds its cost.
const MAX_COMPARED_READS: usize = 24;

/// A review of the reads that could wait for a replica.
#[derive(Debug)]
pub(crate) struct CatchUpReview {
    /// The number of free slots of the primary; `None` without a primary.
    free: Option<u32>,
    /// The number of other waiting requests that need the primary.
    others: u32,
    /// The reads that could wait, with the keys by which they are ordered.
    reads: Vec<(ClockTime, RequestTicket, LaneKind)>,
}

impl CatchUpReview {
    /// Starts a review.
    pub(crate) fn new(scheduler: &GroupScheduler) -> Self {
        Self {
            free: scheduler.free_primary_slots(),
            others: 0,
            reads: Vec::new(),
        }
    }

    /// Takes a request that no replica may serve now; returns whether it is a read that could wait
    /// for one.
    pub(crate) fn examines(
        &mut self,
        scheduler: &GroupScheduler,
        now: ClockTime,
        request: &WaitingRequest,
    ) -> bool {
        let (profile, avoided) = (&request.profile, request.avoided(now));
        let estimate = scheduler.estimates.get(request.kind);
        let waits = self.free.is_some()
            && self.reads.len() < MAX_COMPARED_READS
            && profile.allows_replica()
            && scheduler.can_wait_for_replica(now, profile, avoided, request.arrived, estimate);
        if waits {
            let read = (request.order, request.profile.ticket, request.lane);
            self.reads.push(read);
        } else {
            self.others = self.others.saturating_add(1);
        }
        waits
    }

    /// Decides which of the reads wait for a replica, adds those that change their lane to `moved`
    /// and returns the number of those that wait.
    ///
    /// Those with the least slack get the primary's free slots that nothing else needs.
    pub(crate) fn assign(mut self, moved: &mut Vec<(RequestTicket, LaneKind)>) -> u32 {
        self.reads
            .sort_unstable_by_key(|(order, ticket, _)| (*order, *ticket));
        let spare = self.free.unwrap_or(0).saturating_sub(self.others);
        let spare = usize::try_from(spare).unwrap_or(usize::MAX);
        let waiting = usize::try_from(MAX_CATCH_UP_READS).unwrap_or(usize::MAX);
        let mut waits = 0;
        for (place, (_, ticket, lane)) in self.reads.into_iter().enumerate() {
            let replica = place >= spare && place - spare < waiting;
            waits += u32::from(replica);
            if replica != lane.replica {
                moved.push((ticket, LaneKind { replica, ..lane }));
            }
        }
        waits
    }
}

impl GroupScheduler {
    /// Returns the number of free slots of the primary, if there is one.
    pub(crate) fn free_primary_slots(&self) -> Option<u32> {
        let mut records = self.endpoints.records().iter();
        let primary = records
            .find(|record| record.state.role == EndpointRole::Primary && record.accepts_unpinned());
        primary.map(|record| record.free_slots())
    }

    /// Returns whether a read that arrived at `since` can wait for a replica to catch up.
    pub(crate) fn can_wait_for_replica(
        &self,
        now: ClockTime,
        profile: &RequestProfile,
        rejected_by: &[InstanceName],
        since: ClockTime,
        estimate: KindEstimate,
    ) -> bool {
        if !profile.allows_replica() || !self.settings.modules.routing || estimate.is_long() {
            return false;
        }
        let due = profile.target.unwrap_or(profile.deadline);
        let due = due.min(profile.deadline);
        let latest = since + due.since(since) / 2;
        let run = estimate.expected() + estimate.deviation();
        let records = self.endpoints.records().iter();
        let mut replicas = records.filter(|record| {
            record.state.role == EndpointRole::Replica
                && is_in_rotation(record)
                && !is_rejected_by(rejected_by, record)
        });
        replicas.any(|record| {
            let waits = matches!(
                judge_fitness(record, profile, now),
                ServingFitness::ReadyAt(_)
            );
            let Some(age) = record.age(now).filter(|_| waits) else {
                return false;
            };
            let ready = since + age;
            ready > now && ready + record.round_trip + run <= latest
        })
    }
}
