//! Proximity of a leaseholder to its group's endpoints.
//!
//! Every statement travels from a gateway to the leaseholder and from there to an endpoint. If no
//! endpoint is in the leaseholder's failure domain, both hops cross failure domains, and the
//! traffic of the second hop is paid for without benefit.
//!
//! Writes, fresh reads and transactions go to the primary only, and a transaction makes that hop
//! for every statement; reads that replicas may serve are single statements and less urgent. A
//! primary nearby therefore ranks above a replica: more transactions finish within their target, at
//! the price of some more traffic between failure domains. A move pauses callers, so a leaseholder
//! that serves requests moves only if no endpoint is near; one that has served nothing yet moves to
//! the best place.

use ragwort_types::DomainName;
use ragwort_types::GroupRecord;

/// The endpoints of a group in a failure domain, ordered from the worst to the best for a
/// leaseholder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointProximity {
    /// No endpoint of the group.
    Remote,
    /// Replicas only.
    Replica,
    /// The primary, possibly with replicas.
    Primary,
}

/// Returns the proximity of a failure domain to the endpoints recorded for a group.
pub(crate) fn proximity_in(record: &GroupRecord, domain: &DomainName) -> EndpointProximity {
    let near = record.endpoints.iter();
    let near = near.filter(|endpoint| endpoint.domain == *domain && !endpoint.status.leaving);
    let proximities =
        near.map(
            |endpoint| match record.primary == Some(endpoint.instance.clone()) {
                true => EndpointProximity::Primary,
                false => EndpointProximity::Replica,
            },
        );
    proximities.max().unwrap_or(EndpointProximity::Remote)
}
