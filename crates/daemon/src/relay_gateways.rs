//! Selects other gateways through which a statement is sent when this gateway is cut off.

use crate::group::hash_text;
use crate::member::MemberView;
use ragwort_types::DomainName;
use ragwort_types::MemberRecord;
use ragwort_types::VmName;
use smallvec::SmallVec;

/// The maximum number of gateways that are tried for one statement. One that is cut off as well
/// says so within a round trip.
pub(crate) const MAX_RELAY_GATEWAYS: usize = 3;

/// Lists the gateways to try, in order: those of this VM's failure domain first.
///
/// Control VMs are left out, because this VM is cut off from them. Gateways are ordered by the
/// hashes of both VMs' names, so that each VM has an order of its own and they don't all use the
/// same gateway.
pub(crate) fn list_relay_gateways<'v>(
    view: &'v MemberView,
    vm: &VmName,
    domain: &DomainName,
) -> SmallVec<[&'v MemberRecord; MAX_RELAY_GATEWAYS]> {
    let own_hash = hash_text(vm.as_str());
    let is_candidate = |member: &&MemberRecord| {
        let gateway = !member.traits.control && !member.draining;
        gateway && member.id.vm != *vm && member.statement_address.is_some()
    };
    let mut candidates: Vec<&MemberRecord> = view.copy.members().filter(is_candidate).collect();
    candidates.sort_by_key(|member| {
        let other_domain = member.domain != *domain;
        (other_domain, hash_text(member.id.vm.as_str()) ^ own_hash)
    });
    candidates.into_iter().take(MAX_RELAY_GATEWAYS).collect()
}
