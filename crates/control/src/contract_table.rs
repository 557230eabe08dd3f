//! A member's contracts, indexed by the groups that they name.

use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::VersionedContract;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The customers that may use one group, ordered by name; usually one.
type CustomerList = SmallVec<[CustomerName; 2]>;

/// A member's contracts, by customer and by group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ContractTable {
    contracts: BTreeMap<CustomerName, VersionedContract>,
    customers: BTreeMap<GroupName, CustomerList>,
}

impl ContractTable {
    /// Returns a customer's contract.
    pub fn get(&self, customer: &CustomerName) -> Option<&VersionedContract> {
        self.contracts.get(customer)
    }

    /// Iterates over all contracts, ordered by customer.
    pub fn iter(&self) -> impl Iterator<Item = &VersionedContract> {
        self.contracts.values()
    }

    /// Iterates over the contracts that name a group, ordered by customer.
    pub fn of_group(&self, group: &GroupName) -> impl Iterator<Item = &VersionedContract> {
        let customers = self.customers.get(group).into_iter().flatten();
        customers.filter_map(|customer| self.contracts.get(customer))
    }

    /// Returns a customer's contract if it names the group.
    pub fn get_for_group(
        &self,
        customer: &CustomerName,
        group: &GroupName,
    ) -> Option<&VersionedContract> {
        let customers = self.customers.get(group)?;
        let place = customers.binary_search(customer).ok()?;
        self.contracts.get(&customers[place])
    }

    /// Returns whether any contract names the group.
    pub fn names_group(&self, group: &GroupName) -> bool {
        self.customers.contains_key(group)
    }

    /// Puts a contract in place of the customer's former one.
    pub(crate) fn put(&mut self, held: VersionedContract) {
        let customer = held.contract.customer.clone();
        self.remove(&customer);
        for group in &held.contract.groups {
            let customers = self.customers.entry(group.clone()).or_default();
            if let Err(place) = customers.binary_search(&customer) {
                customers.insert(place, customer.clone());
            }
        }
        self.contracts.insert(customer, held);
    }

    /// Removes a customer's contract.
    pub(crate) fn remove(&mut self, customer: &CustomerName) {
        let Some(former) = self.contracts.remove(customer) else {
            return;
        };
        for group in &former.contract.groups {
            let Some(customers) = self.customers.get_mut(group) else {
                continue;
            };
            customers.retain(|one| one != customer);
            if customers.is_empty() {
                self.customers.remove(group);
            }
        }
    }

    /// Lists the customers whose contracts aren't in `listed`.
    pub(crate) fn list_others(&self, listed: &BTreeSet<&CustomerName>) -> Vec<CustomerName> {
        let others = self.contracts.keys();
        let others = others.filter(|customer| !listed.contains(customer));
        others.cloned().collect()
    }
}
