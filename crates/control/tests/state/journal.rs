//! Failure tests of the journal: requests that must not run twice and sessions that must see their
//! own writes, across lost leaseholders and standbys.

use crate::common::key_made_at;
use crate::common::placement;
use crate::common::run_seeds;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::GroupJournal;
use ragwort_control::JournalReplica;
use ragwort_control::JournalSource;
use ragwort_control::KEY_WINDOW_MS;
use ragwort_control::KeyAdmission;
use ragwort_control::MAX_KEPT_ANSWER_BYTES;
use ragwort_control::recover_journal;
use ragwort_types::CustomerName;
use ragwort_types::DoubtCause;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupTerm;
use ragwort_types::JournalAppend;
use ragwort_types::JournalReply;
use ragwort_types::JournalRequest;
use ragwort_types::LogPosition;
use ragwort_types::PlacementEpoch;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::RowSet;
use ragwort_types::SessionName;
use ragwort_types::StatementAnswer;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The wall clock of the tests, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_800_000_000_000;

const RAN: RequestVerdict = RequestVerdict::Ran(StatementAnswer::Done(1));

fn omuti() -> CustomerName {
    CustomerName::from("omuti")
}

fn clerk() -> SessionName {
    SessionName::from("clerk")
}

fn position(index: u64) -> LogPosition {
    LogPosition::new(GroupTerm(1), index)
}

fn first_journal(standbys: &[&str]) -> GroupJournal {
    let present = placement("cases", 1, "vm-1", standbys);
    GroupJournal::resume(recover_journal(&[], PlacementEpoch(0), START_MS), &present)
}

fn replicate(journal: &mut GroupJournal, vm: &str, replica: &mut JournalReplica) {
    let vm = VmName::from(vm);
    while let Some(append) = journal.next_append(&vm) {
        let reply = replica.append(&append);
        journal.receive_reply(&vm, append.epoch, reply);
        if matches!(reply, JournalReply::StaleEpoch(_)) {
            return;
        }
    }
}

fn empty_replica() -> JournalReplica {
    JournalReplica::new("cases".into(), PlacementEpoch(1))
}

fn source(vm: &str, replica: &mut JournalReplica, epoch: u64) -> JournalSource {
    let request = JournalRequest {
        to: vm.into(),
        group: "cases".into(),
        epoch: PlacementEpoch(epoch),
    };
    JournalSource {
        vm: vm.into(),
        copy: replica.read(&request),
    }
}

case! {
    /// The leaseholder dies while a request runs, and the caller resends it to the successor. A
    /// second run would repeat a write; the caller must be told that the request may have run.
    resend_after_takeover_never_runs_again {
        let mut journal = first_journal(&["vm-2", "vm-3"]);
        let mut second = empty_replica();
        let mut third = empty_replica();
        let running = key_made_at(START_MS, 1);
        let decided = key_made_at(START_MS, 2);
        assert!(matches!(journal.begin(&omuti(), running, START_MS), KeyAdmission::Fresh(_)));
        let KeyAdmission::Fresh(sequence) = journal.begin(&omuti(), decided, START_MS) else {
            panic!("the key is new");
        };
        replicate(&mut journal, "vm-2", &mut second);
        assert!(!journal.is_replicated(sequence), "one of two standbys isn't enough");
        replicate(&mut journal, "vm-3", &mut third);
        assert!(journal.is_replicated(sequence));
        assert!(journal.confirm_dispatch(&omuti(), decided));
        journal.decide(&omuti(), decided, &RAN);
        replicate(&mut journal, "vm-3", &mut third);

        let next = placement("cases", 2, "vm-3", &["vm-4"]);
        let recovered = recover_journal(&[source("vm-3", &mut third, 2)], PlacementEpoch(1), START_MS);
        assert!(recovered.is_complete());
        let mut successor = GroupJournal::resume(recovered, &next);
        assert_eq!(successor.begin(&omuti(), running, START_MS), KeyAdmission::MayHaveRun);
        assert_eq!(successor.begin(&omuti(), decided, START_MS), KeyAdmission::Decided(RAN));
        let fresh = key_made_at(START_MS, 3);
        assert!(matches!(successor.begin(&omuti(), fresh, START_MS), KeyAdmission::Fresh(_)));
    }
}

case! {
    /// The leaseholder and both standbys are lost together, so the dispatched requests are unknown.
    /// A resend of an older request must be answered as possibly run, also after the successor is
    /// lost in turn.
    loss_of_all_journals_leaves_older_keys_in_doubt {
        let present = placement("cases", 4, "vm-4", &["vm-5"]);
        let recovered = recover_journal(&[], PlacementEpoch(3), START_MS + 1_000);
        assert!(!recovered.is_complete());
        let mut journal = GroupJournal::resume(recovered, &present);
        let old = key_made_at(START_MS, 1);
        assert_eq!(journal.begin(&omuti(), old, START_MS + 1_000), KeyAdmission::MayHaveRun);
        assert_eq!(journal.sessions().required(&omuti(), &clerk()), None);

        let mut replica = empty_replica();
        replicate(&mut journal, "vm-5", &mut replica);
        let next = placement("cases", 5, "vm-5", &[]);
        let sources = [source("vm-5", &mut replica, 5)];
        let recovered = recover_journal(&sources, PlacementEpoch(4), START_MS + 9_000);
        assert!(recovered.is_complete());
        let mut successor = GroupJournal::resume(recovered, &next);
        assert_eq!(successor.begin(&omuti(), old, START_MS + 9_000), KeyAdmission::MayHaveRun);
        let fresh = key_made_at(START_MS + 9_000, 2);
        let admission = successor.begin(&omuti(), fresh, START_MS + 9_000);
        assert!(matches!(admission, KeyAdmission::Fresh(_)), "{admission:?}");
        assert_eq!(successor.sessions().required(&omuti(), &clerk()), None);
        successor.raise_session_floor(position(70));
        assert_eq!(successor.sessions().required(&omuti(), &clerk()), Some(position(70)));
    }
}

case! {
    /// A partitioned leaseholder continues after its successor has read a standby's journal. It
    /// can't get another key replicated, and so dispatches nothing.
    former_leaseholder_is_stopped_by_its_standby {
        let mut journal = first_journal(&["vm-2"]);
        let mut replica = empty_replica();
        replicate(&mut journal, "vm-2", &mut replica);
        source("vm-2", &mut replica, 2);
        let key = key_made_at(START_MS, 1);
        let KeyAdmission::Fresh(sequence) = journal.begin(&omuti(), key, START_MS) else {
            panic!("the key is new");
        };
        replicate(&mut journal, "vm-2", &mut replica);
        assert!(!journal.is_replicated(sequence));
        assert!(journal.is_deposed());
        assert!(!journal.confirm_dispatch(&omuti(), key));
    }
}

case! {
    /// A caller resends a request after its key was forgotten, and the leaseholder's wall clock has
    /// been set back. The request must be refused, not run again.
    forgotten_key_is_expired_even_if_the_clock_is_set_back {
        let mut journal = first_journal(&[]);
        let key = key_made_at(START_MS, 1);
        assert!(matches!(journal.begin(&omuti(), key, START_MS), KeyAdmission::Fresh(_)));
        journal.decide(&omuti(), key, &RAN);
        journal.prune(START_MS + KEY_WINDOW_MS + 10_000, LogPosition::default());
        assert_eq!(journal.key_count(), 0);
        assert_eq!(journal.begin(&omuti(), key, START_MS + 1_000), KeyAdmission::Expired);
        let ahead = key_made_at(START_MS + KEY_WINDOW_MS, 2);
        assert_eq!(journal.begin(&omuti(), ahead, START_MS), KeyAdmission::Malformed);
    }
}

case! {
    /// A request is refused under load before it runs, and the caller resends it with the same key,
    /// as it was told to. It must be admitted. Equal keys of two customers are independent.
    refused_request_may_come_back_with_its_key {
        let mut journal = first_journal(&[]);
        let key = key_made_at(START_MS, 1);
        assert!(matches!(journal.begin(&omuti(), key, START_MS), KeyAdmission::Fresh(_)));
        assert_eq!(journal.begin(&omuti(), key, START_MS), KeyAdmission::Running);
        let refused = RequestVerdict::refused(RefusalCause::DeadlinePassed, 10);
        journal.decide(&omuti(), key, &refused);
        assert!(matches!(journal.begin(&omuti(), key, START_MS), KeyAdmission::Fresh(_)));
        let other = CustomerName::from("sabarmati");
        assert!(matches!(journal.begin(&other, key, START_MS), KeyAdmission::Fresh(_)));
    }
}

case! {
    /// A request that must not repeat has a large result and is resent. Part of the result must not
    /// pass for the whole, so the caller is told that the request may have run.
    large_answer_is_not_kept {
        let mut journal = first_journal(&[]);
        let key = key_made_at(START_MS, 1);
        journal.begin(&omuti(), key, START_MS);
        let large = RowSet {
            columns: vec!["note".into()],
            rows: vec![vec![Some("x".repeat(MAX_KEPT_ANSWER_BYTES))]],
        };
        journal.decide(&omuti(), key, &RequestVerdict::Ran(StatementAnswer::Rows(large)));
        assert_eq!(journal.begin(&omuti(), key, START_MS), KeyAdmission::MayHaveRun);
        let lost = key_made_at(START_MS, 2);
        journal.begin(&omuti(), lost, START_MS);
        let doubt = RequestVerdict::MayHaveRun(DoubtCause::EndpointLost);
        journal.decide(&omuti(), lost, &doubt);
        assert_eq!(journal.begin(&omuti(), lost, START_MS), KeyAdmission::Decided(doubt));
    }
}

case! {
    /// A standby restarts empty, and a delayed copy of an old reset arrives. The standby must not
    /// consider itself complete: entries after that reset would be missing after a takeover.
    late_reset_doesnt_undo_later_entries {
        let mut journal = first_journal(&["vm-2"]);
        let vm = VmName::from("vm-2");
        let late = journal.next_append(&vm).unwrap();
        let mut replica = empty_replica();
        replicate(&mut journal, "vm-2", &mut replica);
        journal.begin(&omuti(), key_made_at(START_MS, 1), START_MS);
        replicate(&mut journal, "vm-2", &mut replica);
        assert_eq!(replica.append(&late), JournalReply::Held(1));
        let mut restarted = JournalReplica::new("cases".into(), PlacementEpoch(2));
        assert_eq!(restarted.append(&late), JournalReply::StaleEpoch(PlacementEpoch(2)));
    }
}

case! {
    /// A standby's reply arrives after control has changed the standbys. Its number belongs to the
    /// former epoch; if it counted, a request would be dispatched whose key the standby lacks.
    reply_of_a_former_epoch_is_not_counted {
        let mut journal = first_journal(&["vm-2"]);
        let vm = VmName::from("vm-2");
        let mut replica = empty_replica();
        replicate(&mut journal, "vm-2", &mut replica);
        let key = key_made_at(START_MS, 1);
        let KeyAdmission::Fresh(sequence) = journal.begin(&omuti(), key, START_MS) else {
            panic!("the key is new");
        };
        let append = journal.next_append(&vm).unwrap();
        let reply = replica.append(&append);
        journal.adopt_placement(&placement("cases", 2, "vm-1", &["vm-2"]));
        journal.receive_reply(&vm, append.epoch, reply);
        assert!(!journal.is_replicated(sequence));
        replicate(&mut journal, "vm-2", &mut replica);
        assert!(journal.is_replicated(sequence));
    }
}

case! {
    /// Several VMs drain one after the other, and the group is placed again before its new standbys
    /// receive the journal. The copy of the last confirmed epoch still holds every key, so new
    /// requests must not be answered as possibly run.
    placements_that_never_dispatched_lose_nothing {
        let mut journal = first_journal(&["vm-2"]);
        let mut second = empty_replica();
        let key = key_made_at(START_MS, 1);
        journal.begin(&omuti(), key, START_MS);
        replicate(&mut journal, "vm-2", &mut second);
        assert!(journal.is_established());
        let recovered =
            recover_journal(&[source("vm-2", &mut second, 9)], PlacementEpoch(1), START_MS);
        assert!(recovered.is_complete());
        let present = placement("cases", 9, "vm-3", &["vm-4"]);
        let mut successor = GroupJournal::resume(recovered, &present);
        assert!(!successor.is_established(), "its standby holds nothing yet");
        assert_eq!(successor.begin(&omuti(), key, START_MS), KeyAdmission::MayHaveRun);
        let fresh = key_made_at(START_MS, 2);
        assert!(matches!(successor.begin(&omuti(), fresh, START_MS), KeyAdmission::Fresh(_)));
    }
}

case! {
    /// As above, but a leaseholder in between had its epoch confirmed and may have dispatched
    /// requests. The older copy can't contain their keys, so older keys are in doubt.
    older_copy_proves_nothing_once_a_later_epoch_is_confirmed {
        let mut journal = first_journal(&["vm-2"]);
        let mut second = empty_replica();
        replicate(&mut journal, "vm-2", &mut second);
        let recovered =
            recover_journal(&[source("vm-2", &mut second, 9)], PlacementEpoch(5), START_MS);
        assert!(!recovered.is_complete());
        let present = placement("cases", 9, "vm-3", &["vm-4"]);
        let mut successor = GroupJournal::resume(recovered, &present);
        let key = key_made_at(START_MS, 1);
        assert_eq!(successor.begin(&omuti(), key, START_MS), KeyAdmission::MayHaveRun);
    }
}

case! {
    /// A session writes, and then reads at the next leaseholder from a lagging replica. The read
    /// must cover the session's write although another VM recorded it.
    session_position_survives_a_takeover {
        let mut journal = first_journal(&["vm-2"]);
        let mut replica = empty_replica();
        let sequence = journal.record_session(&omuti(), &clerk(), position(40));
        replicate(&mut journal, "vm-2", &mut replica);
        assert!(journal.is_replicated(sequence));
        let next = placement("cases", 2, "vm-2", &[]);
        let recovered = recover_journal(&[source("vm-2", &mut replica, 2)], PlacementEpoch(1), START_MS);
        let mut successor = GroupJournal::resume(recovered, &next);
        assert_eq!(successor.sessions().required(&omuti(), &clerk()), Some(position(40)));
        successor.prune(START_MS, position(55));
        assert!(successor.sessions().is_empty());
        assert_eq!(successor.sessions().required(&omuti(), &clerk()), Some(position(55)));
    }
}

#[derive(Clone, Copy, Debug)]
enum JournalStep {
    /// A caller sends a request with one of a few keys to the leaseholder.
    Send(u8),
    /// An append reaches a VM. Its reply may be lost, and the append may be delivered again later.
    Append {
        vm: u8,
        reply_lost: bool,
        again: bool,
    },
    /// A delayed append arrives.
    LateAppend(u8),
    /// A running request is dispatched if it is dispatchable.
    Dispatch(u8),
    /// A dispatched request gets its verdict.
    Decide(u8),
    /// A VM's process is lost and restarts without its memory.
    Restart(u8),
    /// The leaseholder's lease ends and another VM takes over. `silent` is a bit mask of the VMs
    /// that don't reply to it.
    TakeOver {
        vm: u8,
        standbys: [u8; 2],
        silent: u8,
    },
    /// Control changes the standbys under the same leaseholder.
    ChangeStandbys([u8; 2]),
}

impl Arbitrary for JournalStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let vm = |generator: &mut Gen| u8::arbitrary(generator) % 4;
        match u8::arbitrary(generator) % 48 {
            0..=9 => Self::Send(u8::arbitrary(generator) % 6),
            10..=27 => Self::Append {
                vm: vm(generator),
                reply_lost: u8::arbitrary(generator).is_multiple_of(8),
                again: u8::arbitrary(generator).is_multiple_of(3),
            },
            28..=30 => Self::LateAppend(u8::arbitrary(generator)),
            31..=40 => Self::Dispatch(u8::arbitrary(generator) % 6),
            41 => Self::Decide(u8::arbitrary(generator) % 6),
            42..=43 => Self::Restart(vm(generator)),
            44..=45 => Self::TakeOver {
                vm: vm(generator),
                standbys: [vm(generator), vm(generator)],
                silent: u8::arbitrary(generator) % 16,
            },
            46 => Self::ChangeStandbys([vm(generator), vm(generator)]),
            _ => Self::TakeOver {
                vm: vm(generator),
                standbys: [0, 1],
                silent: 1 << vm(generator),
            },
        }
    }
}

/// Model of four VMs and one group that counts the runs of each request.
struct JournalModel {
    placement: GroupPlacement,
    journals: BTreeMap<u8, GroupJournal>,
    replicas: BTreeMap<u8, JournalReplica>,
    running: BTreeSet<u8>,
    runs: BTreeMap<u8, u32>,
    late: Vec<(u8, JournalAppend)>,
    now_ms: u64,
    /// The last epoch that is confirmed in the replicated log.
    confirmed: PlacementEpoch,
}

fn vm_name(vm: u8) -> VmName {
    VmName::from(format!("vm-{vm}"))
}

fn vm_number(name: &VmName) -> u8 {
    name.as_str()[3..].parse().unwrap()
}

impl JournalModel {
    fn new() -> Self {
        let placement = placement("cases", 1, "vm-0", &["vm-1", "vm-2"]);
        let recovered = recover_journal(&[], PlacementEpoch(0), START_MS);
        let journal = GroupJournal::resume(recovered, &placement);
        Self {
            placement,
            journals: BTreeMap::from([(0, journal)]),
            replicas: (0..4).map(|vm| (vm, empty_replica())).collect(),
            running: BTreeSet::new(),
            runs: BTreeMap::new(),
            late: Vec::new(),
            now_ms: START_MS,
            confirmed: PlacementEpoch(0),
        }
    }

    fn leader(&self) -> u8 {
        vm_number(&self.placement.leaseholder)
    }

    fn key(number: u8) -> ragwort_types::RequestKey {
        key_made_at(START_MS + 9_000 * u64::from(number), u64::from(number))
    }

    fn step(&mut self, step: JournalStep) {
        self.now_ms += 1_000;
        match step {
            JournalStep::Send(number) => self.send(number),
            JournalStep::Append {
                vm,
                reply_lost,
                again,
            } => self.append(vm, reply_lost, again),
            JournalStep::LateAppend(choice) => self.deliver_late(choice),
            JournalStep::Dispatch(number) => self.dispatch(number),
            JournalStep::Decide(number) => self.decide(number),
            JournalStep::Restart(vm) => self.restart(vm),
            JournalStep::TakeOver {
                vm,
                standbys,
                silent,
            } => self.take_over(vm, standbys, silent),
            JournalStep::ChangeStandbys(standbys) => self.change_standbys(standbys),
        }
    }

    fn deliver_late(&mut self, choice: u8) {
        if self.late.is_empty() {
            return;
        }
        let (vm, append) = self.late.swap_remove(usize::from(choice) % self.late.len());
        self.replicas.get_mut(&vm).unwrap().append(&append);
    }

    fn send(&mut self, number: u8) {
        let leader = self.leader();
        let Some(journal) = self.journals.get_mut(&leader) else {
            return;
        };
        let admission = journal.begin(&omuti(), Self::key(number), self.now_ms);
        if matches!(admission, KeyAdmission::Fresh(_)) {
            self.running.insert(number);
        }
    }

    fn dispatch(&mut self, number: u8) {
        let leader = self.leader();
        let Some(journal) = self.journals.get(&leader) else {
            return;
        };
        if !self.running.contains(&number) || !journal.is_dispatchable(&omuti(), Self::key(number))
        {
            return;
        }
        if !journal.is_established() {
            return;
        }
        self.confirmed = self.placement.epoch;
        self.running.remove(&number);
        let runs = self.runs.entry(number).or_default();
        *runs += 1;
        assert!(*runs <= 1, "request {number} ran {runs} times");
    }

    fn decide(&mut self, number: u8) {
        let ran = self.runs.contains_key(&number);
        let leader = self.leader();
        if let Some(journal) = self.journals.get_mut(&leader)
            && ran
        {
            journal.decide(&omuti(), Self::key(number), &RAN);
        }
    }

    fn append(&mut self, vm: u8, reply_lost: bool, again: bool) {
        let leader = self.leader();
        let Some(journal) = self.journals.get_mut(&leader) else {
            return;
        };
        let Some(append) = journal.next_append(&vm_name(vm)) else {
            return;
        };
        let reply = self.replicas.get_mut(&vm).unwrap().append(&append);
        if !reply_lost {
            journal.receive_reply(&vm_name(vm), append.epoch, reply);
        }
        if again {
            self.late.push((vm, append));
        }
    }

    /// Restarts a VM: its lease ends, it rejoins, and the groups that name it get a new epoch.
    fn restart(&mut self, vm: u8) {
        self.journals.remove(&vm);
        let name = vm_name(vm);
        let led = self.placement.leaseholder == name;
        if led || self.placement.standbys.contains(&name) {
            self.placement.epoch = self.placement.epoch.next();
        }
        let replica = JournalReplica::new("cases".into(), self.placement.epoch);
        self.replicas.insert(vm, replica);
        if led {
            self.running.clear();
            self.recover(vm, 0);
        } else {
            self.adopt();
        }
    }

    fn take_over(&mut self, vm: u8, standbys: [u8; 2], silent: u8) {
        self.running.clear();
        self.place(vm, standbys);
        self.recover(vm, silent);
    }

    fn change_standbys(&mut self, standbys: [u8; 2]) {
        let leader = self.leader();
        self.place(leader, standbys);
        self.adopt();
    }

    fn place(&mut self, vm: u8, standbys: [u8; 2]) {
        let chosen: BTreeSet<u8> = standbys.into_iter().filter(|other| *other != vm).collect();
        self.placement = GroupPlacement {
            group: "cases".into(),
            epoch: self.placement.epoch.next(),
            leaseholder: vm_name(vm),
            standbys: chosen.into_iter().map(vm_name).collect(),
        };
    }

    fn adopt(&mut self) {
        let leader = self.leader();
        if let Some(journal) = self.journals.get_mut(&leader) {
            journal.adopt_placement(&self.placement);
        }
    }

    fn recover(&mut self, vm: u8, silent: u8) {
        let request = JournalRequest {
            to: "vm-0".into(),
            group: "cases".into(),
            epoch: self.placement.epoch,
        };
        let mut sources = Vec::new();
        for other in (0..4).filter(|other| silent & (1 << other) == 0) {
            let copy = self.replicas.get_mut(&other).unwrap().read(&request);
            sources.push(JournalSource {
                vm: vm_name(other),
                copy,
            });
            if let Some(journal) = self.journals.get_mut(&other) {
                let copy = journal.read(&request);
                sources.push(JournalSource {
                    vm: vm_name(other),
                    copy,
                });
            }
        }
        self.journals.clear();
        let recovered = recover_journal(&sources, self.confirmed, self.now_ms);
        let journal = GroupJournal::resume(recovered, &self.placement);
        self.journals.insert(vm, journal);
    }
}

case! {
    /// Leaseholders and standbys restart, are replaced and read each other's journals in any order,
    /// while appends are lost, delayed and duplicated. No request may run twice.
    no_request_runs_twice_in_random_runs {
        let runs = run_seeds(0x6a6f_0000, 4_000, 160, |steps: Vec<JournalStep>| {
            let mut model = JournalModel::new();
            for step in steps {
                model.step(step);
            }
            model.runs.len()
        });
        assert!(runs > 2_000, "only {runs} requests ran, too few for a meaningful result");
    }
}
