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
//! Reads are most of what is asked, and replicas serve them; so a replica nearby counts for more
//! than the primary. A move costs callers a pause. A leaseholder that serves moves only if
//! no endpoint at all is near; one that has served nothing yet moves to the best place.

use ragwort_types::DomainName;
use ragwort_types::GroupRecord;

/// What stands in a failure domain, from the worst to the best for a leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointProximity {
    /// No endpoint of the group.
    Remote,
    /// The primary alone.
    Primary,
    /// A replica at least.
    Replica,
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
