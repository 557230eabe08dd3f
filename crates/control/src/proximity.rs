//! How near a leaseholder is to its group's endpoints.
//!
//! # The load it answers
//!
//! Every statement goes from a gateway to the leaseholder and on to an endpoint. Where no endpoint
//! stands in the leaseholder's failure domain, both ways lead between failure domains, and the
//! bytes of the second are paid for though nothing is gained by them.
//!
//! # Grounds for its figures
//!
//! Writes, fresh reads and transactions have only the primary, and a transaction pays the way to it
//! once a statement; reads that replicas may serve are single and have time. So the primary nearby
//! counts for more than a replica: more transactions end within their target, for some more bytes
//! between failure domains. A move costs callers a pause. A leaseholder that serves moves only if no endpoint at all
//! is near; one that has served nothing yet moves to the best place.

use ragwort_types::DomainName;
use ragwort_types::GroupRecord;

/// What stands in a failure domain, from the worst to the best for a leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointProximity {
    /// No endpoint of the group.
    Remote,
    /// Replicas alone.
    Replica,
    /// The primary, and perhaps a replica.
    Primary,
}

/// Judges a failure domain by the endpoints that were noted for a group.
pub(crate) fn judge_proximity(record: &GroupRecord, domain: &DomainName) -> EndpointProximity {
    let near = record.endpoints.iter();
    let near = near.filter(|endpoint| endpoint.domain == *domain && !endpoint.status.leaving);
    let judged = near.map(
        |endpoint| match record.primary == Some(endpoint.instance.clone()) {
            true => EndpointProximity::Primary,
            false => EndpointProximity::Replica,
        },
    );
    judged.max().unwrap_or(EndpointProximity::Remote)
}
