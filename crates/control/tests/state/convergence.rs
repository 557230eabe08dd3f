//! Random runs of members that copy the catalog from control VMs at different revisions.

use crate::common::contract;
use crate::common::member;
use ragwort_control::CatalogCopy;
use ragwort_control::CatalogState;
use ragwort_control::CatalogTransfer;
use ragwort_control::PieceCache;
use ragwort_control::TransferStep;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogOutcome;
use ragwort_types::CatalogPiece;
use ragwort_types::CatalogRevision;
use ragwort_types::CatalogScope;
use ragwort_types::ContractDocument;
use ragwort_types::DocumentVersion;
use ragwort_types::GroupTerms;
use ragwort_types::VersionedContract;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The seed of the first run.
const FIRST_SEED: u64 = 0x0043_0000;

/// The number of runs.
const RUNS: u64 = 10;

/// The number of steps of a run.
const STEPS: usize = 600;

/// The number of routes in a large document, which doesn't fit into one piece.
const LARGE: u32 = 260;

/// A control VM that may lag behind the log, and its cache of pieces.
#[derive(Default)]
struct ControlReplica {
    state: CatalogState,
    applied: usize,
    cache: PieceCache,
}

/// A member with its copy, and its transfer if one is under way.
struct CopyMember {
    scope: CatalogScope,
    copy: CatalogCopy,
    transfer: Option<CatalogTransfer>,
}

/// The log, its replicas and the members.
struct CopyWorld {
    random: StdRng,
    log: Vec<CatalogCommand>,
    /// The catalog after the whole log.
    newest: CatalogState,
    /// The contracts by the revision at which they came into force.
    history: BTreeMap<CatalogRevision, Vec<VersionedContract>>,
    routes: BTreeSet<u32>,
    version: u64,
    replicas: Vec<ControlReplica>,
    members: Vec<CopyMember>,
}

impl CopyWorld {
    fn new(seed: u64) -> Self {
        let scopes = [CatalogScope::Whole, CatalogScope::Routing].repeat(3);
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            log: Vec::new(),
            newest: CatalogState::new(),
            history: BTreeMap::new(),
            routes: BTreeSet::new(),
            version: 0,
            replicas: (0..3).map(|_| ControlReplica::default()).collect(),
            members: scopes
                .into_iter()
                .map(|scope| CopyMember {
                    scope,
                    copy: CatalogCopy::new(),
                    transfer: None,
                })
                .collect(),
        };
        for number in 1..=5 {
            world.commit(CatalogCommand::AdmitMember(member(number, 1)));
        }
        world
    }

    fn commit(&mut self, command: CatalogCommand) -> CatalogOutcome {
        self.log.push(command);
        let index = CatalogRevision(self.log.len() as u64);
        let outcome = self.newest.apply(index, &self.log[self.log.len() - 1]);
        let contracts = self.newest.contracts().cloned().collect();
        self.history.insert(self.newest.revision(), contracts);
        outcome
    }

    fn document(&mut self) -> ContractDocument {
        self.version += self.random.random_range(1..5);
        let groups = (0..3).map(|number| GroupTerms {
            group: format!("group-{number}").into(),
            connections: 16,
            synchronous_replicas: 0,
            idle_transaction_ms: 3_000,
        });
        let contracts = self.routes.iter().map(|number| {
            let mut one = contract(&format!("customer-{number}"), 1);
            one.groups = vec![format!("group-{}", number % 3).into()];
            one
        });
        ContractDocument {
            version: DocumentVersion(self.version),
            source: format!("version {}", self.version).into(),
            contracts: contracts.collect(),
            groups: groups.collect(),
            accounts: Vec::new(),
            seal: None,
        }
    }

    /// Changes the routes and commits the document as a control VM would.
    fn change_routes(&mut self) {
        match self.random.random_range(0..20) {
            0 => self.routes.extend(1_000..1_000 + LARGE),
            1 => self.routes.retain(|number| *number < 1_000),
            2..10 => {
                let removed = self.random.random_range(0..30);
                self.routes.remove(&removed);
            }
            _ => {
                let added = self.random.random_range(0..30);
                self.routes.insert(added);
            }
        }
        let document = self.document();
        // Members with the whole scope are control VMs, at whose copies documents are compared.
        let place = self.random.random_range(0..3) * 2;
        let update = self.members[place].copy.compare_document(&document);
        let outcome = update
            .map(|update| self.commit(CatalogCommand::UpdateDocument(Box::new(update))))
            .unwrap_or(CatalogOutcome::Stale);
        if outcome == CatalogOutcome::Stale {
            self.commit(CatalogCommand::ApplyDocument(Box::new(document)));
        }
        let held = self.newest.contracts().count();
        assert_eq!(held, self.routes.len(), "the document isn't in force whole");
    }

    /// Lets a replica apply more of the log; at times it restarts from a snapshot first.
    fn advance(&mut self, place: usize, to: usize) {
        let restarts = self.random.random_bool(0.1);
        let replica = &mut self.replicas[place];
        if restarts {
            replica.state = CatalogState::from_snapshot(&replica.state.to_snapshot()).unwrap();
            replica.cache = PieceCache::default();
        }
        for index in replica.applied..to {
            let revision = CatalogRevision(index as u64 + 1);
            replica.state.apply(revision, &self.log[index]);
        }
        replica.applied = replica.applied.max(to);
    }

    /// Sends a member's heartbeat to a control VM, which answers at the newest revision.
    fn beat(&mut self, member: usize, place: usize) {
        self.advance(place, self.log.len());
        let state = &self.replicas[place].state;
        let member = &mut self.members[member];
        match state.short_delta(member.copy.revision(), member.scope) {
            Some(delta) => {
                let applied = member.copy.apply_delta(&delta);
                assert!(applied.is_ok(), "{applied:?}");
            }
            None if member.transfer.is_none() => {
                let needed = self.newest.revision();
                let transfer = CatalogTransfer::begin(&member.copy, member.scope, needed);
                member.transfer = Some(transfer);
            }
            None => {}
        }
    }

    /// Transfers one piece from a control VM, which may be behind.
    fn fetch(&mut self, member: usize, place: usize) {
        let replica = &mut self.replicas[place];
        let member = &mut self.members[member];
        let Some(transfer) = &mut member.transfer else {
            return;
        };
        let request = transfer.to_request();
        let packed = replica
            .cache
            .find(&request, &replica.state)
            .unwrap_or_else(|| {
                let piece = replica.state.next_piece(&request);
                let packed = serde_json::to_string(&piece).unwrap().into();
                replica
                    .cache
                    .keep(request, &piece, std::sync::Arc::clone(&packed));
                packed
            });
        let piece: CatalogPiece = serde_json::from_str(&packed).unwrap();
        if let TransferStep::Done(copy) = transfer.take(&piece) {
            member.transfer = None;
            if copy.revision() > member.copy.revision() {
                member.copy = copy;
            }
        }
    }

    fn step(&mut self) {
        let who = self.random.random_range(0..self.members.len());
        let place = self.random.random_range(0..self.replicas.len());
        match self.random.random_range(0..12) {
            0..2 => self.change_routes(),
            2 => {
                let (number, incarnation) = (
                    self.random.random_range(6..12),
                    self.random.random_range(1..9),
                );
                let one = member(number, incarnation);
                match self.random.random_bool(0.5) {
                    true => self.commit(CatalogCommand::AdmitMember(one)),
                    false => self.commit(CatalogCommand::RemoveMember(one.id)),
                };
            }
            3 => {
                let applied = self.replicas[place].applied;
                let to = self.random.random_range(applied..=self.log.len());
                self.advance(place, to);
            }
            4 => {
                // The member restarts without a copy.
                self.members[who].copy = CatalogCopy::new();
                self.members[who].transfer = None;
            }
            5..9 => self.beat(who, place),
            _ => self.fetch(who, place),
        }
        self.check(who);
    }

    fn check(&self, member: usize) {
        let copy = &self.members[member].copy;
        let Some(expected) = self.history.get(&copy.revision()) else {
            assert_eq!(copy.revision(), CatalogRevision(0));
            return;
        };
        let held: Vec<_> = copy.contracts().cloned().collect();
        assert_eq!(held, *expected, "copy at revision {}", copy.revision());
    }
}

/// A copy that lacks a contract of its own revision refuses that customer's callers under a lease.
#[test]
fn copies_hold_the_contracts_of_their_revision() {
    for seed in FIRST_SEED..FIRST_SEED + RUNS {
        let mut world = CopyWorld::new(seed);
        for step in 0..STEPS {
            let stepped = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.step()));
            if let Err(panic) = stepped {
                eprintln!("seed {seed:#x}, step {step}");
                std::panic::resume_unwind(panic);
            }
        }
    }
}
