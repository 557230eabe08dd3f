//! Failure tests of the catalog: concurrent operators, resends, restarts and delayed commands.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::CatalogCopy;
use ragwort_control::CatalogState;
use ragwort_control::DeltaError;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogRevision;
use ragwort_types::ContractChange;
use ragwort_types::GroupName;
use ragwort_types::GroupTerm;
use ragwort_types::PlacementEpoch;
use ragwort_types::RecordedEndpoints;
use ragwort_types::TokenRequest;
use ragwort_types::VmName;
use std::collections::BTreeMap;

use crate::common::CatalogScript;
use crate::common::contract_change;
use crate::common::customer_change;
use crate::common::formed_group;
use crate::common::instance_change;
use crate::common::member;
use crate::common::placement;
use crate::common::primary_record;
use crate::common::run_seeds;
use crate::common::term_start;

case! {
    /// An operator loses the answer to a change and resends it after a colleague has changed the
    /// contract again. The operator must get the first acceptance, not a conflict with a change
    /// that was built on it.
    resend_after_later_change_repeats_first_acceptance {
        let mut script = CatalogScript::with_members(1);
        let first = CatalogCommand::ApplyContract(contract_change(1, 0, 10));
        let accepted = script.apply(first.clone());
        assert!(matches!(accepted, CatalogOutcome::ContractAccepted(_)));
        script.apply(CatalogCommand::ApplyContract(contract_change(2, 1, 20)));
        let before = script.state.revision();
        assert_eq!(script.apply(first), accepted);
        assert_eq!(script.state.revision(), before);
    }
}

case! {
    /// Two operators change the same version concurrently. One of them gets a conflict with the
    /// winning contract, and must get the same answer to a resend after further changes.
    loser_of_a_race_is_shown_the_same_winner_again {
        let mut script = CatalogScript::with_members(1);
        script.apply(CatalogCommand::ApplyContract(contract_change(1, 0, 10)));
        script.apply(CatalogCommand::ApplyContract(contract_change(2, 1, 20)));
        let loser = CatalogCommand::ApplyContract(contract_change(3, 1, 30));
        let shown = script.apply(loser.clone());
        let CatalogOutcome::ContractConflict(winner) = &shown else {
            panic!("expected a conflict, got {shown:?}");
        };
        assert_eq!(winner.contract.slot_share, 20);
        script.apply(CatalogCommand::ApplyContract(contract_change(4, 2, 40)));
        assert_eq!(script.apply(loser), shown);
    }
}

case! {
    /// After years of changes an operator resends an old one. It still gets its first answer, also
    /// from a control VM that restarted from a snapshot in between.
    resend_after_thousands_of_changes_repeats_its_answer {
        let mut script = CatalogScript::with_members(1);
        let mut answers = Vec::new();
        for number in 0..9_000 {
            let base = number - number % 3;
            let change = customer_change("omuti", number, base / 3, 1);
            let command = CatalogCommand::ApplyContract(change);
            answers.push((command.clone(), script.apply(command)));
        }
        assert_eq!(script.state.answered_changes(), 9_000);
        let mut restored = CatalogScript::with_members(1);
        restored.state = CatalogState::from_snapshot(&script.state.to_snapshot()).unwrap();
        for (command, answer) in answers.iter().step_by(7) {
            let revision = CatalogRevision(100_000);
            assert_eq!(script.state.apply(revision, command), *answer);
            assert_eq!(restored.state.apply(revision, command), *answer);
        }
    }
}

case! {
    /// An operator edits a change but keeps its id. With the old answer to the new content, the
    /// operator would believe that limits are in force that never were.
    change_id_under_other_content_is_refused {
        let mut script = CatalogScript::with_members(1);
        script.apply(CatalogCommand::ApplyContract(contract_change(1, 0, 10)));
        let edited = CatalogCommand::ApplyContract(contract_change(1, 0, 11));
        assert_eq!(script.apply(edited), CatalogOutcome::ChangeIdReused);
    }
}

case! {
    /// A change names a version of a customer that has no contract yet, and is resent after the
    /// customer got one. Its answer must not turn from a refusal into an acceptance.
    refusal_of_unknown_customer_is_stable {
        let mut script = CatalogScript::with_members(1);
        let early = CatalogCommand::ApplyContract(contract_change(1, 1, 10));
        assert_eq!(script.apply(early.clone()), CatalogOutcome::ContractUnknown);
        script.apply(CatalogCommand::ApplyContract(contract_change(2, 0, 20)));
        assert_eq!(script.apply(early), CatalogOutcome::ContractUnknown);
    }
}

case! {
    /// A VM's daemon restarts while its former process may still hold a lease. If the new process
    /// were admitted at once, both would serve the VM's groups and run writes twice.
    new_process_waits_for_removal_of_the_former {
        let mut script = formed_group(&["a", "b"]);
        let successor = CatalogCommand::AdmitMember(member(1, 2));
        script.expect_stale(successor.clone());
        script.expect_done(CatalogCommand::RemoveMember(member(1, 1).id));
        script.expect_done(successor);
        script.expect_stale(CatalogCommand::RemoveMember(member(1, 1).id));
        let group = script.state.group(&"cases".into()).unwrap();
        assert_eq!(group.placement.epoch, PlacementEpoch(2));
    }
}

case! {
    /// The heartbeat of a replaced process arrives late. If it were admitted, groups would be
    /// assigned to a process that has ended.
    older_incarnation_is_never_admitted {
        let mut script = CatalogScript::with_members(1);
        script.expect_done(CatalogCommand::RemoveMember(member(1, 1).id));
        script.expect_done(CatalogCommand::AdmitMember(member(1, 3)));
        script.expect_stale(CatalogCommand::AdmitMember(member(1, 2)));
        script.expect_done(CatalogCommand::RemoveMember(member(1, 3).id));
        script.expect_stale(CatalogCommand::AdmitMember(member(1, 2)));
    }
}

case! {
    /// A leaseholder dies between the start of a term and the record of its primary. Its successor
    /// can't know which instance was promoted, so a primary that it records in that term could be
    /// the second one.
    successor_begins_a_term_of_its_own {
        let mut script = formed_group(&["a", "b"]);
        script.expect_done(term_start(1, 2));
        let next = placement("cases", 2, "vm-2", &["vm-3"]);
        script.expect_done(CatalogCommand::PlaceGroup(next));
        script.expect_stale(primary_record("b", 1, 2));
        script.expect_stale(primary_record("b", 2, 2));
        script.expect_done(term_start(2, 3));
        script.expect_done(primary_record("b", 2, 3));
        script.expect_stale(primary_record("a", 2, 3));
    }
}

case! {
    /// A leaseholder loses the replies to its commands and resends them. If a resent command were
    /// refused, the promotion would start over whenever a reply is lost.
    resent_commands_are_answered_as_done {
        let mut script = formed_group(&["a", "b"]);
        script.expect_done(term_start(1, 2));
        let before = script.state.revision();
        script.expect_done(term_start(1, 2));
        assert_eq!(script.state.revision(), before);
        script.expect_done(primary_record("b", 1, 2));
        script.expect_done(primary_record("b", 1, 2));
        script.expect_done(CatalogCommand::AddInstance(instance_change("c", 1, 2)));
        script.expect_done(CatalogCommand::AddInstance(instance_change("c", 1, 2)));
    }
}

/// Returns notes that say nothing but that orders up to this fencing token are settled.
fn settling_notes(settled_token: u64) -> CatalogCommand {
    CatalogCommand::RecordEndpoints(Box::new(RecordedEndpoints {
        group: "cases".into(),
        epoch: PlacementEpoch(2),
        term: GroupTerm(1),
        primary: Some("a".into()),
        endpoints: Vec::new(),
        settled_token,
    }))
}

fn endpoint_notes(epoch: u64, term: u64, primary: &str) -> CatalogCommand {
    CatalogCommand::RecordEndpoints(Box::new(RecordedEndpoints {
        group: "cases".into(),
        epoch: PlacementEpoch(epoch),
        term: GroupTerm(term),
        primary: Some(primary.into()),
        endpoints: Vec::new(),
        settled_token: 0,
    }))
}

fn token_request(epoch: u64, instance: &str) -> CatalogCommand {
    CatalogCommand::IssueToken(TokenRequest {
        group: "cases".into(),
        epoch: PlacementEpoch(epoch),
        instance: instance.into(),
    })
}

fn recorded_orders(script: &CatalogScript) -> Vec<(String, u64)> {
    let group = script.state.group(&"cases".into()).unwrap();
    let orders = group.orders.iter();
    orders
        .map(|order| (order.instance.to_string(), order.token))
        .collect()
}

case! {
    /// A leaseholder was killed after it had ordered a promotion. Its successor didn't know of the
    /// order, which was carried out seconds later.
    order_is_recorded_until_it_is_settled {
        let mut script = formed_group(&["a", "b"]);
        let CatalogOutcome::Done(first) = script.apply(token_request(1, "b")) else {
            panic!("the token is refused");
        };
        let CatalogOutcome::Done(second) = script.apply(token_request(1, "b")) else {
            panic!("the token is refused");
        };
        let next = placement("cases", 2, "vm-2", &["vm-3"]);
        script.expect_done(CatalogCommand::PlaceGroup(next));
        script.expect_stale(token_request(1, "a"));
        assert_eq!(recorded_orders(&script), [("b".to_owned(), second.0)]);
        script.expect_done(settling_notes(first.0));
        assert_eq!(recorded_orders(&script), [("b".to_owned(), second.0)]);
        script.expect_done(settling_notes(second.0));
        assert_eq!(recorded_orders(&script), []);
    }
}

case! {
    /// A partitioned leaseholder records the endpoints that it knew after its successor recorded a
    /// later primary. The next leaseholder must start with the later one.
    notes_of_a_former_leaseholder_are_refused {
        let mut script = formed_group(&["a", "b"]);
        script.expect_done(endpoint_notes(1, 1, "a"));
        let next = placement("cases", 2, "vm-2", &["vm-3"]);
        script.expect_done(CatalogCommand::PlaceGroup(next));
        script.expect_done(endpoint_notes(2, 2, "b"));
        script.expect_stale(endpoint_notes(1, 3, "a"));
        script.expect_done(endpoint_notes(2, 1, "a"));
        let group = script.state.group(&"cases".into()).unwrap();
        assert_eq!((group.term, group.primary.clone()), (GroupTerm(2), Some("b".into())));
        let before = script.state.revision();
        script.expect_done(endpoint_notes(2, 2, "b"));
        assert_eq!(script.state.revision(), before);
    }
}

case! {
    /// Instances fail one after the other. If the set could become empty or lose its primary, the
    /// next majority would know nothing of acknowledged writes.
    instance_set_keeps_its_primary_and_is_never_empty {
        let mut script = formed_group(&["a", "b"]);
        script.expect_stale(CatalogCommand::RemoveInstance(instance_change("a", 1, 1)));
        script.expect_done(CatalogCommand::RemoveInstance(instance_change("b", 1, 1)));
        script.expect_stale(CatalogCommand::RemoveInstance(instance_change("a", 1, 1)));
        script.expect_done(term_start(1, 2));
        script.expect_stale(CatalogCommand::AddInstance(instance_change("b", 1, 2)));
    }
}

case! {
    /// A member returns after missing hundreds of changes. Its copy must equal the present catalog,
    /// without the members that left in the meantime.
    copy_follows_by_delta_and_by_snapshot {
        let mut script = formed_group(&["a", "b"]);
        let mut copy = CatalogCopy::new();
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        for change in 0..600 {
            script.apply(CatalogCommand::ApplyContract(contract_change(change + 1, change, 9)));
        }
        script.expect_done(CatalogCommand::RemoveMember(member(3, 1).id));
        let delta = script.state.delta_since(copy.revision());
        assert_eq!(delta.items.len(), 2);
        copy.apply_delta(&delta).unwrap();
        assert!(copy.member(&VmName::from("vm-3")).is_none());
        let mut fresh = CatalogCopy::new();
        fresh.apply_delta(&script.state.delta_since(fresh.revision())).unwrap();
        assert_eq!(fresh, copy);
        let restored = CatalogState::from_snapshot(&script.state.to_snapshot()).unwrap();
        assert_eq!(restored, script.state);
    }
}

case! {
    /// A member asks a control VM that was partitioned for an hour. If the member accepted its
    /// older state, replaced contracts would be in force again.
    copy_never_goes_back {
        let mut script = formed_group(&["a", "b"]);
        let stale = script.state.delta_since(CatalogRevision(0));
        let behind = script.state.clone();
        script.apply(CatalogCommand::ApplyContract(contract_change(1, 0, 10)));
        let mut copy = CatalogCopy::new();
        copy.apply_delta(&script.state.delta_since(copy.revision())).unwrap();
        let held = copy.clone();
        assert!(matches!(copy.apply_delta(&stale), Err(DeltaError::Older { .. })));
        let empty = behind.delta_since(copy.revision());
        copy.apply_delta(&empty).unwrap();
        assert_eq!(copy, held);
    }
}

case! {
    /// Two successive control leaders place the same group. The second must not overwrite the
    /// first's placement unknowingly, nor place a group on a VM that has just left.
    placement_is_compared_by_epoch_and_member {
        let mut script = formed_group(&["a", "b"]);
        script.expect_stale(CatalogCommand::PlaceGroup(placement("cases", 1, "vm-2", &[])));
        script.expect_stale(CatalogCommand::PlaceGroup(placement("cases", 2, "vm-9", &[])));
        script.expect_stale(CatalogCommand::PlaceGroup(placement("cases", 2, "vm-1", &["vm-1"])));
        script.expect_done(CatalogCommand::PlaceGroup(placement("cases", 2, "vm-2", &["vm-1"])));
        let group = script.state.group(&GroupName::from("cases")).unwrap();
        assert_eq!(group.placement.leaseholder, VmName::from("vm-2"));
    }
}

#[derive(Clone, Copy, Debug)]
enum CatalogStep {
    /// An operator sends or resends a change.
    Change { id: u8, base: u8, share: u8 },
    /// A process of a VM requests admission.
    Admit { vm: u8, incarnation: u8 },
    /// A process of a VM is removed.
    Remove { vm: u8, incarnation: u8 },
    /// A group is placed.
    Place {
        epoch: u8,
        leaseholder: u8,
        standby: u8,
    },
    /// A leaseholder begins a term.
    Begin { epoch: u8, term: u8 },
    /// The control VM restarts from its snapshot.
    Restore,
    /// The member's copy is brought up to date.
    Learn,
}

impl Arbitrary for CatalogStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut below = |limit: u8| u8::arbitrary(generator) % limit;
        match below(16) {
            0..=7 => Self::Change {
                id: below(40),
                base: below(6),
                share: below(2),
            },
            8 => Self::Admit {
                vm: below(4),
                incarnation: below(4),
            },
            9 => Self::Remove {
                vm: below(4),
                incarnation: below(4),
            },
            10..=11 => Self::Place {
                epoch: below(8),
                leaseholder: below(4),
                standby: below(4),
            },
            12 => Self::Begin {
                epoch: below(8),
                term: below(4),
            },
            13 => Self::Restore,
            _ => Self::Learn,
        }
    }
}

/// The first answer to each change, as operators know them.
#[derive(Default)]
struct OperatorNotes {
    answers: BTreeMap<u64, (ContractChange, CatalogOutcome)>,
    version: u64,
}

impl OperatorNotes {
    fn check(&mut self, change: &ContractChange, id: u64, outcome: &CatalogOutcome) {
        if let Some((first, answer)) = self.answers.get(&id) {
            match first == change {
                true => assert_eq!(outcome, answer, "change {id} was answered anew"),
                false => assert_eq!(*outcome, CatalogOutcome::ChangeIdReused),
            }
            return;
        }
        let noted = (change.clone(), outcome.clone());
        self.answers.insert(id, noted);
        let wins = change.base_version.0 == self.version;
        match outcome {
            CatalogOutcome::ContractAccepted(acceptance) => {
                assert!(wins && acceptance.version.0 == self.version + 1);
                self.version += 1;
            }
            CatalogOutcome::ContractConflict(winner) => {
                assert!(!wins && winner.version.0 == self.version);
            }
            CatalogOutcome::ContractUnknown => assert!(!wins && self.version == 0),
            other => panic!("{other:?}"),
        }
    }
}

case! {
    /// Operators send concurrent changes and resends, daemons restart, delayed commands arrive, and
    /// members and control VMs return from old states. Each change must have one permanent answer,
    /// and each copy must end up equal to the catalog.
    random_commands_are_linear_and_copies_agree {
        let changes = run_seeds(0x6361_0000, 1_000, 120, |steps: Vec<CatalogStep>| {
            let mut script = CatalogScript::with_members(2);
            let mut notes = OperatorNotes::default();
            let mut copy = CatalogCopy::new();
            for step in steps {
                run_catalog_step(&mut script, &mut notes, &mut copy, step);
            }
            notes.version as usize
        });
        assert!(changes > 2_000, "only {changes} changes were accepted");
    }
}

fn run_catalog_step(
    script: &mut CatalogScript,
    notes: &mut OperatorNotes,
    copy: &mut CatalogCopy,
    step: CatalogStep,
) {
    match step {
        CatalogStep::Change { id, base, share } => {
            let (id, base) = (u64::from(id), u64::from(base));
            let change = contract_change(id, base, 1 + u32::from(share));
            let outcome = script.apply(CatalogCommand::ApplyContract(change.clone()));
            notes.check(&change, id, &outcome);
        }
        CatalogStep::Admit { vm, incarnation } => {
            let member = member(u64::from(vm), u64::from(incarnation));
            script.apply(CatalogCommand::AdmitMember(member));
        }
        CatalogStep::Remove { vm, incarnation } => {
            let id = member(u64::from(vm), u64::from(incarnation)).id;
            script.apply(CatalogCommand::RemoveMember(id));
        }
        CatalogStep::Place {
            epoch,
            leaseholder,
            standby,
        } => {
            let (leader, other) = (format!("vm-{leaseholder}"), format!("vm-{standby}"));
            let place = placement("cases", u64::from(epoch), &leader, &[&other]);
            script.apply(CatalogCommand::PlaceGroup(place));
        }
        CatalogStep::Begin { epoch, term } => {
            let (epoch, term) = (u64::from(epoch), u64::from(term));
            script.apply(CatalogCommand::AddInstance(instance_change(
                "a", epoch, term,
            )));
            script.apply(term_start(epoch, term));
        }
        CatalogStep::Restore => {
            let restored = CatalogState::from_snapshot(&script.state.to_snapshot()).unwrap();
            assert_eq!(restored, script.state);
            script.state = restored;
        }
        CatalogStep::Learn => {
            copy.apply_delta(&script.state.delta_since(copy.revision()))
                .unwrap();
            let mut whole = CatalogCopy::new();
            whole
                .apply_delta(&script.state.delta_since(whole.revision()))
                .unwrap();
            assert_eq!(*copy, whole);
        }
    }
}
