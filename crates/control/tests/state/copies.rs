//! Failure tests of a member's catalog copy: what a change costs the tasks that read the copy.

use crate::common::contract;
use crate::common::member;
use crate::common::placement;
use crate::common::run_seeds;
use ragwort_control::CatalogCopy;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerName;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::LogPosition;
use ragwort_types::PlacementEpoch;
use ragwort_types::VersionedContract;
use smallvec::SmallVec;
use std::collections::BTreeSet;
use std::sync::Arc;
use uuid::Uuid;

case! {
    /// VMs join and leave hundreds of times while gateways restart in turn. Each change must leave
    /// the contracts and groups as they are, so that no group's task looks through them.
    change_of_a_member_keeps_contracts_and_groups {
        let former = formed_copy();
        let copy = change(&former, CatalogItem::Member(member(2, 1)));
        assert!(copy.member(&"vm-2".into()).is_some());
        assert!(Arc::ptr_eq(former.contract_table(), copy.contract_table()));
        assert!(Arc::ptr_eq(former.group_table(), copy.group_table()));
        assert!(Arc::ptr_eq(former.account_table(), copy.account_table()));
    }
}

case! {
    /// A group is placed on another VM. The records of all other groups must be shared with the
    /// former copy: a thousand of them were copied at each change.
    change_of_a_group_keeps_the_other_records {
        let former = formed_copy();
        let copy = change(&former, group_item("group-1", 2));
        let other = GroupName::from("group-2");
        let record = |copy: &CatalogCopy| Arc::clone(&copy.group_table()[&other]);
        assert!(Arc::ptr_eq(&record(&former), &record(&copy)));
        assert!(Arc::ptr_eq(former.contract_table(), copy.contract_table()));
    }
}

case! {
    /// A delta that overlaps with an earlier one repeats items that the copy holds already. The
    /// tables must stay the same, or each task would look through unchanged contracts.
    repeated_items_keep_the_tables {
        let former = formed_copy();
        let copy = change(&former, contract_item("customer-1", &["group-1"]));
        assert!(Arc::ptr_eq(former.contract_table(), copy.contract_table()));
        let copy = change(&copy, group_item("group-1", 1));
        assert!(Arc::ptr_eq(former.group_table(), copy.group_table()));
    }
}

case! {
    /// A contract no longer names a group, or is removed. The group's leaseholder must not serve
    /// the customer any more.
    customers_of_a_group_follow_its_contracts {
        let copy = formed_copy();
        let (group, customer) = (GroupName::from("group-1"), CustomerName::from("customer-1"));
        assert!(copy.contract_table().get_for_group(&customer, &group).is_some());
        let moved = change(&copy, contract_item("customer-1", &["group-2"]));
        assert!(moved.contract_table().get_for_group(&customer, &group).is_none());
        assert!(!moved.contract_table().names_group(&group));
        let gone = change(&moved, CatalogItem::ContractGone(customer.clone()));
        let second = GroupName::from("group-2");
        assert!(gone.contract_table().get_for_group(&customer, &second).is_none());
        assert!(gone.contract_table().of_group(&second).eq(copy.contract(&"customer-2".into())));
    }
}

case! {
    /// The customers of each group are those whose contracts name it, after any series of changes.
    customers_of_groups_are_those_that_name_them {
        run_seeds(7_000, 50, 20, |steps: Vec<(u8, u8, bool)>| {
            let mut copy = CatalogCopy::new();
            for (customer, groups, gone) in steps {
                let customer = format!("customer-{}", customer % 5);
                let item = match gone {
                    true => CatalogItem::ContractGone(customer.as_str().into()),
                    false => {
                        let named = (0..8).filter(|bit| groups & (1 << bit) != 0);
                        let named: Vec<String> = named.map(|bit| format!("group-{bit}")).collect();
                        let named: Vec<&str> = named.iter().map(String::as_str).collect();
                        contract_item(&customer, &named)
                    }
                };
                copy = change(&copy, item);
            }
            for bit in 0..8 {
                let group = GroupName::from(format!("group-{bit}").as_str());
                let naming = copy.contracts().filter(|held| held.contract.groups.contains(&group));
                let naming: BTreeSet<_> = naming.map(|held| &held.contract.customer).collect();
                let indexed = copy.contract_table().of_group(&group);
                let indexed: Vec<_> = indexed.map(|held| &held.contract.customer).collect();
                assert_eq!(indexed, naming.iter().copied().collect::<Vec<_>>());
                assert_eq!(copy.contract_table().names_group(&group), !naming.is_empty());
            }
            0
        });
    }
}

/// Returns a copy with one member, two groups and a contract for each.
fn formed_copy() -> CatalogCopy {
    let items = [
        CatalogItem::Member(member(1, 1)),
        group_item("group-1", 1),
        group_item("group-2", 1),
        contract_item("customer-1", &["group-1"]),
        contract_item("customer-2", &["group-2"]),
    ];
    let mut copy = CatalogCopy::new();
    for item in items {
        copy = change(&copy, item);
    }
    copy
}

/// Returns a changed copy, as a member makes one from the view that its tasks hold.
fn change(former: &CatalogCopy, item: CatalogItem) -> CatalogCopy {
    let mut copy = former.clone();
    let delta = CatalogDelta {
        from: Some(former.revision()),
        to: CatalogRevision(former.revision().0 + 1),
        items: vec![item],
    };
    copy.apply_delta(&delta).expect("the delta leads forward");
    copy
}

fn group_item(group: &str, epoch: u64) -> CatalogItem {
    CatalogItem::Group(Box::new(GroupRecord {
        placement: placement(group, epoch, "vm-1", &[]),
        term: GroupTerm(0),
        term_epoch: PlacementEpoch(0),
        primary: None,
        start: LogPosition::default(),
        instances: SmallVec::new(),
        journal_epoch: PlacementEpoch(0),
        endpoints: Vec::new(),
        orders: Vec::new(),
    }))
}

fn contract_item(customer: &str, groups: &[&str]) -> CatalogItem {
    let mut contract = contract(customer, 1);
    contract.groups = groups.iter().map(|group| GroupName::from(*group)).collect();
    CatalogItem::Contract(Box::new(VersionedContract {
        version: ContractVersion(1),
        change_id: ChangeId(Uuid::from_u128(1)),
        contract,
    }))
}
