//! Routing: which instances may serve a request, and which of them does.
//!
//! # Problem
//!
//! Most reads accept data of some age, so several instances may serve them; writes and fresh reads
//! need the primary. If reads were spread evenly over all instances, they would take a third of the
//! primary's slots, and writes would wait behind them. If each read were bound to one instance, it
//! would wait there while another instance has a free slot.
//!
//! # Approach
//!
//! A replica may serve a read only if it has applied the session's last write and its data is no
//! older than the contract allows. Among the instances with a free slot, the read goes where it is
//! expected to end first: the expected run time, times the instance's slowdown, plus the round
//! trip.
//!
//! A read that a replica may serve goes to the primary only when nothing that needs the primary
//! waits and more than two reads wait for each of the replicas' slots. Below that, a read waits for
//! two short runs at most. A read waits for a replica that still lacks its session's write only if
//! that is expected to arrive within 3 ms, which is less than a short run, or if the primary is
//! full, see [`catch_up`](crate::catch_up).

use crate::ClockTime;
use crate::EndpointRole;
use crate::RequestProfile;
use crate::endpoints::EndpointRecord;
use crate::forecast::is_in_rotation;
use crate::redispatch::is_rejected_by;
use ragwort_types::InstanceName;
use std::time::Duration;

/// Maximum time for which a read waits for a replica to catch up rather than use a free slot of the
/// primary.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(3);

/// Whether an instance may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServingFitness {
    /// The instance may serve the request now.
    Ready,
    /// The instance is expected to be allowed to serve the request from this time on.
    ReadyAt(ClockTime),
    /// The instance may not serve the request.
    Unfit,
}

/// Decides whether an instance may serve a request outside of a transaction.
///
/// This is the only function that allows a replica to serve a read. An error here would let a
/// caller miss its own write, or see data older than its contract allows.
pub(crate) fn judge_fitness(
    record: &EndpointRecord,
    profile: &RequestProfile,
    now: ClockTime,
) -> ServingFitness {
    if !record.accepts_unpinned() {
        return ServingFitness::Unfit;
    }
    match record.state.role {
        EndpointRole::Primary => ServingFitness::Ready,
        EndpointRole::Replica => judge_replica(record, profile, now),
        EndpointRole::Unusable => ServingFitness::Unfit,
    }
}

fn judge_replica(
    record: &EndpointRecord,
    profile: &RequestProfile,
    now: ClockTime,
) -> ServingFitness {
    if !profile.allows_replica() {
        return ServingFitness::Unfit;
    }
    let Some(age) = record.age(now) else {
        return ServingFitness::Unfit;
    };
    if age > profile.max_age {
        return ServingFitness::Unfit;
    }
    if record.position.covers(profile.min_position) {
        return ServingFitness::Ready;
    }
    ServingFitness::ReadyAt(now + age)
}

/// Returns whether a replica that gets regular work may serve a request now or within
/// [`MAX_CATCH_UP_WAIT`].
pub(crate) fn has_replica_soon(
    records: &[EndpointRecord],
    profile: &RequestProfile,
    rejected_by: &[InstanceName],
    now: ClockTime,
    health: bool,
) -> bool {
    let replicas = records
        .iter()
        .filter(|record| record.state.role == EndpointRole::Replica);
    let replicas = replicas.filter(|record| !is_rejected_by(rejected_by, record));
    let mut in_rotation = replicas.filter(|record| is_in_rotation(record) || !health);
    in_rotation.any(|record| match judge_fitness(record, profile, now) {
        ServingFitness::Ready => true,
        ServingFitness::ReadyAt(moment) => moment <= now + MAX_CATCH_UP_WAIT,
        ServingFitness::Unfit => false,
    })
}
