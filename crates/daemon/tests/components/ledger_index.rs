//! What account limits derive from the catalog, and how often.

use crate::bench::UNREACHABLE_ADDRESS;
use crate::bench::create_record;
use crate::bench::create_view;
use ragwort_control::CatalogCopy;
use ragwort_policy::LimitTolerance;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::AccountTerms;
use ragwort_types::CatalogDelta;
use ragwort_types::CatalogItem;
use ragwort_types::GroupName;
use ragwort_types::GroupRecord;
use ragwort_types::LimitRequest;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::PlacementEpoch;
use ragwort_types::RateShare;
use ragwort_types::VmIncarnation;
use ragwortgated::clock::NodeClock;
use ragwortgated::ledger_index::IndexWork;
use ragwortgated::ledger_index::LedgerIndex;
use ragwortgated::limits::AccountLimiter;
use ragwortgated::member::MemberView;
use ragwortgated::metrics::DaemonMetrics;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const GROUPS: usize = 1_000;
const ACCOUNTS: usize = 76;

failure_cases! {
    /// A VM asks for shares and lends them tens of times a second, and its lease is renewed several
    /// times a second. When each of these went through all groups again, and each account through
    /// all groups, a control VM spent an eighth of its processor on it.
    unchanged_catalog_is_not_gone_through_again => unchanged_case();
    /// Members join, leave and restart hundreds of times a day. When the digests of all groups were
    /// computed for each, every restart cost as much as a change of all groups.
    change_of_members_keeps_digests_and_homes => members_case();
    /// A group moves. Only its shares may be declared to the new leaseholder; when the others were
    /// looked at too, each move cost as much as a start.
    only_groups_that_moved_are_declared_again => moved_case();
    /// A group is added or removed while accounts' home groups are remembered. An account that kept
    /// its old home would have two ledgers, which together lend twice its limit.
    homes_follow_added_and_removed_groups => homes_case();
    /// VMs of two versions run side by side during an update. If they found different ledgers for
    /// an account, twice its limit would be lent.
    homes_are_those_of_earlier_versions => golden_case();
}

fn account(number: usize) -> AccountName {
    format!("directorate-{number}").into()
}

/// Creates a group's record; the VMs from `vm-1` to `vm-3` lead the groups in turn.
fn group_record(number: usize, epoch: u64) -> GroupRecord {
    let mut record = create_record(&format!("vm-{}", number % 3 + 1), epoch);
    record.placement.group = format!("cases-{number}").into();
    record
}

/// Creates the view of a VM with a lease, in a catalog with many groups and accounts.
fn large_view() -> MemberView {
    let mut view = create_view([UNREACHABLE_ADDRESS; 3], &create_record("vm-2", 1), true);
    let groups = (0..GROUPS).map(|number| CatalogItem::Group(Box::new(group_record(number, 1))));
    let accounts = (0..ACCOUNTS).map(|number| {
        CatalogItem::Account(Box::new(AccountTerms {
            name: account(number),
            seal: Default::default(),
            keys: Default::default(),
            limit: Some(AccountLimit {
                per_thousand_seconds: 5_000,
                burst: 5,
            }),
        }))
    });
    let items = groups.chain(accounts).collect();
    view.copy = change(&view.copy, items);
    view
}

fn change(copy: &CatalogCopy, items: Vec<CatalogItem>) -> Arc<CatalogCopy> {
    let mut changed = copy.clone();
    let delta = CatalogDelta {
        from: Some(copy.revision()),
        to: copy.revision().next(),
        items,
    };
    changed.apply_delta(&delta).unwrap();
    Arc::new(changed)
}

fn change_group(copy: &CatalogCopy, record: GroupRecord) -> Arc<CatalogCopy> {
    change(copy, vec![CatalogItem::Group(Box::new(record))])
}

/// Asks for shares of all accounts.
fn request_all() -> LimitRequest {
    LimitRequest {
        holder: MemberId {
            vm: "vm-2".into(),
            incarnation: VmIncarnation(1),
        },
        age_ms: 60_000,
        declared: Vec::new(),
        accounts: (0..ACCOUNTS)
            .map(|number| AccountShareRequest {
                account: account(number),
                holds: RateShare::default(),
                demand: 1_000,
                wants: 1,
                begun: 0,
            })
            .collect(),
    }
}

fn start_limiter(view: MemberView) -> (watch::Sender<MemberView>, AccountLimiter) {
    let (sender, receiver) = watch::channel(view);
    let member = MemberId {
        vm: "vm-1".into(),
        incarnation: VmIncarnation(1),
    };
    let limiter = AccountLimiter::new(
        NodeClock::start(),
        member,
        Duration::from_secs(5),
        receiver,
        LimitTolerance::default(),
        DaemonMetrics::new(),
    );
    (sender, limiter)
}

async fn unchanged_case() {
    let (view, limiter) = start_limiter(large_view());
    for _ in 0..100 {
        limiter.lend(&request_all());
        // A renewal of the lease leaves the copy as it is.
        view.send_modify(|_| {});
    }
    let once = IndexWork {
        passes: 1,
        digests: 1,
        searches: ACCOUNTS as u64,
    };
    assert_eq!(limiter.index_work(), once);
}

async fn members_case() {
    let mut index = LedgerIndex::new("vm-1".into());
    let mut copy = large_view().copy;
    index.refresh(&copy);
    for number in 0..ACCOUNTS {
        index.find_home(&account(number)).unwrap();
    }
    let before = index.work();
    let known = copy.member(&"vm-1".into()).unwrap().clone();
    for number in 4..104 {
        let mut member: MemberRecord = known.clone();
        member.id.vm = format!("vm-{number}").into();
        member.traits.leaseholder = number == 50;
        copy = change(&copy, vec![CatalogItem::Member(member)]);
        assert!(index.refresh(&copy).is_empty());
        index.find_home(&account(number % ACCOUNTS)).unwrap();
    }
    let after = index.work();
    assert_eq!(
        (after.digests, after.searches),
        (before.digests, before.searches)
    );
    assert_eq!(
        index
            .holders()
            .iter()
            .filter(|vm| vm.as_str() == "vm-50")
            .count(),
        1
    );
    let gone = change(&copy, vec![CatalogItem::MemberGone("vm-50".into())]);
    index.refresh(&gone);
    assert!(index.holders().iter().all(|vm| vm.as_str() != "vm-50"));
}

async fn moved_case() {
    let mut index = LedgerIndex::new("vm-1".into());
    let copy = large_view().copy;
    assert_eq!(index.refresh(&copy).len(), GROUPS + 1);
    let before = index.work();
    let mut record = group_record(1, 2);
    record.placement.leaseholder = "vm-1".into();
    let group: GroupName = record.placement.group.clone();
    assert!(!index.led_groups().contains_key(&group));
    let moved = change_group(&copy, record.clone());
    assert_eq!(index.refresh(&moved), std::slice::from_ref(&group));
    assert_eq!(index.led_groups().get(&group), Some(&PlacementEpoch(2)));
    // A new epoch counts, other fields of the record don't.
    record.endpoints.clear();
    record.journal_epoch = PlacementEpoch(2);
    let noted = change_group(&moved, record.clone());
    assert!(index.refresh(&noted).is_empty());
    record.placement.epoch = PlacementEpoch(3);
    assert_eq!(index.refresh(&change_group(&noted, record)), [group]);
    assert_eq!(index.work().digests, before.digests);
}

async fn homes_case() {
    let mut kept = LedgerIndex::new("vm-1".into());
    let few = create_view([UNREACHABLE_ADDRESS; 3], &create_record("vm-2", 1), true).copy;
    let many = large_view().copy;
    for copy in [&few, &many, &few, &many] {
        let mut fresh = LedgerIndex::new("vm-1".into());
        fresh.refresh(copy);
        kept.refresh(copy);
        for number in 0..ACCOUNTS {
            let name = account(number);
            assert_eq!(kept.find_home(&name), fresh.find_home(&name));
            assert_eq!(kept.find_keeper(&name), fresh.find_keeper(&name));
        }
        assert_eq!(kept.led_groups(), fresh.led_groups());
        assert_eq!(kept.holders(), fresh.holders());
    }
}

async fn golden_case() {
    let (_view, limiter) = start_limiter(large_view());
    let grants = limiter.lend(&request_all()).grants;
    let numbers = (0..ACCOUNTS).filter(|number| {
        let name = account(*number);
        grants.iter().any(|grant| grant.account == name)
    });
    let numbers: Vec<usize> = numbers.collect();
    let expected = [
        1, 8, 9, 11, 19, 21, 22, 23, 25, 26, 28, 29, 34, 38, 39, 40, 45, 47, 48, 50, 51, 55, 57,
        60, 63, 65, 68, 70, 71,
    ];
    assert_eq!(numbers, expected);
}
