//! Routing: which of the instances that may serve a request does.
//!
//! # The load it answers
//!
//! Most reads accept data of some age, so several instances may serve them; writes and fresh reads
//! have only the primary.
//!
//! # Without it
//!
//! Reads spread evenly over all instances take a third of the primary's slots, and writes wait
//! behind them; or a read waits for one instance while another has a free slot.
//!
//! # Grounds for its figures
//!
//! A replica may serve a read if it holds the session's last write and its data is no older than
//! the contract allows; nothing overrides that. Among the instances with a free slot, the read goes
//! where it is expected to end first: the expected run, times the instance's slowdown, plus the way
//! there and back. A read that a replica may serve is given to the primary only when nothing that
//! needs the primary waits and more than two reads wait for each of the replicas' slots: below
//! that, a read waits for two short runs at most. A session's read waits for a replica that still
//! lacks its write only if that is expected within 3 ms, which is less than a short run.

use crate::ClockTime;
use crate::EndpointRole;
use crate::RequestProfile;
use crate::board::is_standing;
use crate::endpoints::EndpointRecord;
use std::time::Duration;

/// A read waits this long for a replica to catch up before it takes a free slot of the primary.
const CATCH_UP_WAIT: Duration = Duration::from_millis(3);

/// How an instance stands to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServingFitness {
    /// It may serve the request now.
    Ready,
    /// It is expected to be allowed from this moment on.
    ReadyAt(ClockTime),
    /// It may not serve the request.
    Unfit,
}

/// Says whether an instance may serve a request that no transaction ties to an instance.
///
/// This is the only place that lets a read go to a replica. If it erred, a caller would miss its
/// own write, or see data older than its contract allows.
pub(crate) fn judge_fitness(
    record: &EndpointRecord,
    profile: &RequestProfile,
    now: ClockTime,
) -> ServingFitness {
    if !record.takes_fresh_work() {
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

/// Says whether a replica that gets ordinary work may serve a request now or very soon.
pub(crate) fn has_replica_soon(
    records: &[EndpointRecord],
    profile: &RequestProfile,
    now: ClockTime,
    health: bool,
) -> bool {
    let replicas = records
        .iter()
        .filter(|record| record.state.role == EndpointRole::Replica);
    let mut standing = replicas.filter(|record| is_standing(record) || !health);
    standing.any(|record| match judge_fitness(record, profile, now) {
        ServingFitness::Ready => true,
        ServingFitness::ReadyAt(moment) => moment <= now + CATCH_UP_WAIT,
        ServingFitness::Unfit => false,
    })
}
