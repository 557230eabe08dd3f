//! Tests of the transfer of the catalog to members, in pieces and over slow links.

use crate::common::CatalogScript;
use crate::common::announcement;
use crate::common::contract;
use crate::common::member;
use crate::common::placement;
use ragwort_control::CatalogCopy;
use ragwort_control::CatalogState;
use ragwort_control::CatalogTransfer;
use ragwort_control::TransferStep;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::ClientAccount;
use ragwort_types::ContractDocument;
use ragwort_types::DocumentVersion;
use ragwort_types::GroupName;
use ragwort_types::GroupTerm;
use ragwort_types::GroupTerms;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::RecordedEndpoints;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn group(number: usize) -> GroupName {
    format!("group-{number}").into()
}

fn document(version: u64, groups: usize, accounts: usize) -> ContractDocument {
    let contracts = (0..groups).map(|number| {
        let mut one = contract(&format!("customer-{number}"), 1);
        one.groups = vec![group(number)];
        one
    });
    let terms = (0..groups).map(|number| GroupTerms {
        group: group(number),
        connections: 16,
        synchronous_replicas: 0,
        idle_transaction_ms: 3_000,
    });
    let accounts = (0..accounts).map(|number| ClientAccount {
        name: format!("account-{number}").into(),
        keys: vec![ragwort_types::AccountKey::new(format!("key-{number}"))],
        limit: None,
    });
    ContractDocument {
        version: DocumentVersion(version),
        source: format!("version {version}").into(),
        contracts: contracts.collect(),
        groups: terms.collect(),
        accounts: accounts.collect(),
        seal: None,
    }
}

/// Returns a catalog with the given numbers of gateways and groups.
fn large_catalog(gateways: u64, groups: usize) -> CatalogScript {
    let mut script = CatalogScript::with_members(5);
    for number in 6..=gateways + 5 {
        let mut gateway = member(number, 1);
        gateway.traits = MemberTraits {
            control: false,
            leaseholder: false,
            exclusive: true,
        };
        script.expect_done(CatalogCommand::AdmitMember(gateway));
    }
    let whole = document(1, groups, 76);
    script.apply(CatalogCommand::ApplyDocument(Box::new(whole)));
    for number in 0..groups {
        let name = group(number);
        let place = placement(name.as_str(), 1, "vm-1", &["vm-2", "vm-3"]);
        script.expect_done(CatalogCommand::PlaceGroup(place));
        let notes = RecordedEndpoints {
            group: name.clone(),
            epoch: PlacementEpoch(1),
            term: GroupTerm(0),
            primary: None,
            endpoints: (0..3)
                .map(|number| {
                    let instance = format!("{name}-{number}");
                    announcement(name.as_str(), &instance, "domain-1")
                })
                .collect(),
            settled_token: 0,
        };
        script.expect_done(CatalogCommand::RecordEndpoints(Box::new(notes)));
    }
    script
}

/// Brings a copy up to date from one catalog, and returns it with the number of pieces.
fn transfer(from: &CatalogState, held: &CatalogCopy, scope: CatalogScope) -> (CatalogCopy, usize) {
    let mut transfer = CatalogTransfer::begin(held, scope, from.revision());
    let mut pieces = 0;
    loop {
        pieces += 1;
        assert!(pieces < 10_000, "the transfer never ends");
        let piece = from.next_piece(&transfer.to_request());
        if let TransferStep::Done(copy) = transfer.take(&piece) {
            return (copy, pieces);
        }
    }
}

fn assert_same(copy: &CatalogCopy, state: &CatalogState) {
    assert_eq!(copy.revision(), state.revision());
    let groups: Vec<_> = copy.groups().collect();
    assert_eq!(groups, state.groups().collect::<Vec<_>>());
    let members: Vec<_> = copy.members().collect();
    assert_eq!(members, state.members().collect::<Vec<_>>());
    let contracts: Vec<_> = copy.contracts().collect();
    assert_eq!(contracts, state.contracts().collect::<Vec<_>>());
}

case! {
    /// Three hundred gateways request the catalog of 339 groups after a power loss, each through a
    /// link that carries 250 KB a second. As part of the reply to a heartbeat it took longer than
    /// the heartbeat's timeout, so that it was sent repeatedly and never arrived. The reply now
    /// only says that there is more, and the copy is transferred in independent pieces.
    large_catalog_is_not_sent_with_a_heartbeat {
        let script = large_catalog(300, 339);
        for scope in [CatalogScope::Whole, CatalogScope::Routing] {
            assert!(script.state.short_delta(CatalogRevision(0), scope).is_none());
        }
        let (copy, pieces) = transfer(&script.state, &CatalogCopy::new(), CatalogScope::Whole);
        assert!(pieces > 1);
        assert_same(&copy, &script.state);
        let (routing, fewer) = transfer(&script.state, &CatalogCopy::new(), CatalogScope::Routing);
        assert!(fewer < pieces);
        assert_eq!(routing.contracts().count(), 339);
        assert!(routing.groups().all(|record| record.endpoints.is_empty()));
        assert!(routing.members().count() < 150, "gateways are told of all other gateways");
    }
}

case! {
    /// A change of one contract among hundreds must still be sent with the next heartbeat.
    small_change_is_sent_with_a_heartbeat {
        let mut script = large_catalog(30, 100);
        let before = script.state.revision();
        let mut changed = document(2, 100, 76);
        changed.contracts[7].slot_share = 9;
        script.apply(CatalogCommand::ApplyDocument(Box::new(changed)));
        let delta = script.state.short_delta(before, CatalogScope::Routing).unwrap();
        assert_eq!(delta.items.len(), 1);
        assert!(script.state.needs_prompt_delivery(before, CatalogScope::Routing));
    }
}

case! {
    /// A gateway joins. The other gateways needn't be told at once: each would respond, and three
    /// hundred gateways that join at the same time would cause ninety thousand messages.
    gateway_admission_is_not_urgent {
        let mut script = large_catalog(30, 3);
        let before = script.state.revision();
        let mut gateway = member(1_000, 1);
        gateway.traits = MemberTraits { control: false, leaseholder: false, exclusive: true };
        script.expect_done(CatalogCommand::AdmitMember(gateway));
        assert!(!script.state.needs_prompt_delivery(before, CatalogScope::Routing));
        assert!(script.state.needs_prompt_delivery(before, CatalogScope::Whole));
    }
}

case! {
    /// A control VM stops answering halfway, and the next one is behind it and lacks items that the
    /// first has already sent. The transfer continues from its cursor and isn't complete until a
    /// control VM provides the rest.
    transfer_continues_at_another_vm {
        let mut script = large_catalog(100, 200);
        let behind = script.state.clone();
        let mut changed = document(2, 200, 76);
        changed.contracts[150].slot_share = 9;
        script.apply(CatalogCommand::ApplyDocument(Box::new(changed)));
        let mut transfer =
            CatalogTransfer::begin(&CatalogCopy::new(), CatalogScope::Whole, behind.revision());
        let first = script.state.next_piece(&transfer.to_request());
        assert_eq!(transfer.take(&first), TransferStep::Ongoing);
        let step = loop {
            let piece = behind.next_piece(&transfer.to_request());
            match transfer.take(&piece) {
                TransferStep::Ongoing => {}
                other => break other,
            }
        };
        assert_eq!(step, TransferStep::Behind);
        let rest = script.state.next_piece(&transfer.to_request());
        let TransferStep::Done(copy) = transfer.take(&rest) else {
            panic!("the remaining piece completes the transfer");
        };
        assert_same(&copy, &script.state);
    }
}

case! {
    /// During a first transfer, contracts, groups and members change and are removed, and the
    /// pieces come from control VMs at different positions of the log. The result must equal the
    /// complete catalog of one of them: a copy that lacked a change would serve under a replaced
    /// contract.
    pieces_of_changing_catalogs_fit_together {
        for seed in 0..40 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut script = large_catalog(40, 150);
            let mut history = vec![script.state.clone()];
            let mut transfer = CatalogTransfer::begin(
                &CatalogCopy::new(),
                CatalogScope::Whole,
                script.state.revision(),
            );
            let mut version = 2;
            let copy = loop {
                for _ in 0..random.random_range(0..4) {
                    change_something(&mut random, &mut script, &mut version);
                    history.push(script.state.clone());
                }
                let lag = random.random_range(0..4).min(history.len() - 1);
                let sender = &history[history.len() - 1 - lag];
                let piece = sender.next_piece(&transfer.to_request());
                if let TransferStep::Done(copy) = transfer.take(&piece) {
                    break copy;
                }
                if version > 400 {
                    // The changes must stop, because otherwise the transfer need not end.
                    version = u64::MAX;
                }
            };
            let state = history.iter().find(|state| state.revision() == copy.revision());
            assert_same(&copy, state.expect("the copy has the revision of a control VM"));
        }
    }
}

fn change_something(random: &mut StdRng, script: &mut CatalogScript, version: &mut u64) {
    if *version == u64::MAX {
        return;
    }
    match random.random_range(0..3) {
        0 => {
            let groups = random.random_range(100..160);
            let mut next = document(*version, groups, 70);
            next.contracts[3].slot_share = (*version % 100) as u32 + 1;
            script.apply(CatalogCommand::ApplyDocument(Box::new(next)));
            *version += 1;
        }
        1 => {
            let gone = member(random.random_range(6..46), 1);
            script.apply(CatalogCommand::RemoveMember(gone.id));
        }
        _ => {
            let back = member(random.random_range(6..46), random.random_range(2..1_000));
            script.apply(CatalogCommand::AdmitMember(back));
        }
    }
}

case! {
    /// A gateway misses more departures than are remembered. Its copy may contain some of the
    /// departed members, so its transfer restarts from the beginning.
    forgotten_departures_begin_the_transfer_anew {
        let mut script = large_catalog(10, 20);
        let (held, _) = transfer(&script.state, &CatalogCopy::new(), CatalogScope::Whole);
        for number in 10_000..11_100 {
            script.expect_done(CatalogCommand::AdmitMember(member(number, 1)));
            script.expect_done(CatalogCommand::RemoveMember(member(number, 1).id));
        }
        assert!(script.state.short_delta(held.revision(), CatalogScope::Whole).is_none());
        let (copy, _) = transfer(&script.state, &held, CatalogScope::Whole);
        assert_same(&copy, &script.state);
    }
}

/// A member's link in simulated time, in seconds.
struct SimulatedLink {
    /// Throughput in bytes per second.
    bytes_per_second: f64,
    /// The time until which the link transmits nothing.
    blocked_until: f64,
}

/// Returns the time in seconds at which the last member has its copy, and the largest number of
/// bytes that a member received. Each link stops halfway for `pause` seconds.
fn simulate(
    script: &CatalogScript,
    members: usize,
    pause: f64,
    compression_ratio: f64,
) -> (f64, f64) {
    let (mut last, mut most) = (0.0_f64, 0.0_f64);
    for number in 0..members {
        let link = SimulatedLink {
            bytes_per_second: 250_000.0,
            blocked_until: 0.2 + pause,
        };
        let mut transfer = CatalogTransfer::begin(
            &CatalogCopy::new(),
            CatalogScope::Routing,
            script.state.revision(),
        );
        let (mut now, mut got) = (0.002 * (number % 5) as f64, 0.0);
        loop {
            let piece = script.state.next_piece(&transfer.to_request());
            let bytes = serde_json::to_string(&piece).unwrap().len() as f64 * compression_ratio;
            now += 0.003 + bytes / link.bytes_per_second;
            if pause > 0.0 && (0.2..link.blocked_until).contains(&now) {
                // The piece in flight is lost and requested again.
                now = link.blocked_until;
                continue;
            }
            got += bytes;
            if let TransferStep::Done(_) = transfer.take(&piece) {
                break;
            }
        }
        last = last.max(now);
        most = most.max(got);
    }
    (last, most)
}

case! {
    /// Over links of 250 KB a second, the copies of ten members for 339 groups arrive within two
    /// seconds with a hundred kilobytes each, if compression leaves an eighth. (The compressed form
    /// and its ratio have their own test.) A link that stops for five seconds costs those five
    /// seconds and the piece in flight, not the earlier pieces.
    copies_pass_narrow_links_in_time {
        let script = large_catalog(300, 339);
        let (last, most) = simulate(&script, 10, 0.0, 0.125);
        assert!(last < 2.0, "{last} s");
        assert!(most < 100_000.0, "{most} bytes");
        let (paused, _) = simulate(&script, 10, 5.0, 0.125);
        assert!(paused < last + 5.5, "{paused} s");
    }
}

case! {
    /// A key belongs to one account and is found by its digest. A table without accounts finds no
    /// key, and a key that moves to another account in a document belongs to that account from then
    /// on.
    keys_are_found_by_their_digests {
        let mut script = CatalogScript::with_members(1);
        let mut first = document(1, 1, 2);
        script.apply(CatalogCommand::ApplyDocument(Box::new(first.clone())));
        let (copy, _) = transfer(&script.state, &CatalogCopy::new(), CatalogScope::Routing);
        let key = ragwort_types::AccountKey::new("key-1");
        let digest = copy.accounts().digest(&key).unwrap();
        assert_eq!(copy.accounts().find_holder(&digest), Some(&"account-1".into()));
        let strange = copy.accounts().digest(&ragwort_types::AccountKey::new("key-7")).unwrap();
        assert_eq!(copy.accounts().find_holder(&strange), None);
        assert!(CatalogCopy::new().accounts().digest(&key).is_none());

        first.version = DocumentVersion(2);
        let moved = first.accounts[1].keys.remove(0);
        first.accounts[0].keys.push(moved);
        script.apply(CatalogCommand::ApplyDocument(Box::new(first)));
        let mut later = copy.clone();
        let delta = script.state.short_delta(copy.revision(), CatalogScope::Routing).unwrap();
        assert!(later.apply_delta(&delta).unwrap().callers);
        assert_eq!(later.accounts().find_holder(&digest), Some(&"account-0".into()));
    }
}

case! {
    /// Two accounts with the same key, two accounts with the same name, and an empty key are faults
    /// of a document: a shared key would have two limits, and a caller without a key would match
    /// the empty one.
    shared_and_empty_keys_are_faults {
        let mut shared = document(1, 1, 2);
        shared.accounts[1].keys = shared.accounts[0].keys.clone();
        assert_eq!(shared.find_faults().len(), 1);
        let mut twice = document(1, 1, 2);
        twice.accounts[1].name = twice.accounts[0].name.clone();
        assert_eq!(twice.find_faults().len(), 1);
        let mut empty = document(1, 1, 1);
        empty.accounts[0].keys = vec![ragwort_types::AccountKey::new("")];
        assert_eq!(empty.find_faults().len(), 1);
        let mut none = document(1, 1, 1);
        none.accounts[0].keys.clear();
        assert!(none.find_faults().is_empty());
    }
}

case! {
    /// Neither a snapshot, nor a delta, nor the debug output of a document or delta may contain a
    /// key, because its reader could use the account.
    keys_are_not_disclosed {
        let mut script = CatalogScript::with_members(1);
        let mut whole = document(1, 1, 3);
        whole.source = "without keys".into();
        script.apply(CatalogCommand::ApplyDocument(Box::new(whole.clone())));
        let delta = script.state.short_delta(CatalogRevision(0), CatalogScope::Whole).unwrap();
        let outputs = [
            serde_json::to_string(&delta).unwrap(),
            script.state.to_snapshot(),
            format!("{whole:?}"),
            format!("{delta:?}"),
        ];
        assert!(outputs.iter().all(|output| !output.contains("key-1")));
    }
}

case! {
    /// Every delta is applied to a clone of the copy in use. If the clone copied every record, a
    /// change of one group among a thousand would keep heartbeats and callers waiting.
    delta_copies_no_unchanged_records {
        let mut script = large_catalog(3, 200);
        let mut held = CatalogCopy::new();
        held.apply_delta(&script.state.delta_since(held.revision())).unwrap();
        script.apply(CatalogCommand::PlaceGroup(placement("group-7", 2, "vm-2", &["vm-1", "vm-3"])));
        let mut next = held.clone();
        next.apply_delta(&script.state.delta_since(held.revision())).unwrap();
        assert_ne!(next.group(&group(7)), held.group(&group(7)));
        let groups = held.groups().zip(next.groups());
        let copied = groups.filter(|(old, new)| !std::ptr::eq(*old, *new)).count();
        assert_eq!(copied, 1);
        let mut contracts = held.contracts().zip(next.contracts());
        assert!(contracts.all(|(old, new)| std::ptr::eq(old, new)));
        assert!(held.members().zip(next.members()).all(|(old, new)| std::ptr::eq(old, new)));
    }
}
