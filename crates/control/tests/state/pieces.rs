//! Failure tests of the cache of packed pieces: hundreds of members transfer the catalog at once.

use crate::common::CatalogScript;
use crate::common::announcement;
use crate::common::contract;
use crate::common::member;
use crate::common::placement;
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
use ragwort_types::GroupTerm;
use ragwort_types::GroupTerms;
use ragwort_types::PlacementEpoch;
use ragwort_types::RecordedEndpoints;
use std::sync::Arc;

/// The number of groups.
const GROUPS: usize = 400;

/// The number of members that transfer the catalog.
const MEMBERS: usize = 300;

case! {
    /// The configuration changes while members hold slightly different revisions. Each piece is
    /// packed once for all of them, and not once for each.
    members_at_different_revisions_share_pieces {
        let mut script = formed_catalog();
        let held: Vec<CatalogCopy> = (0..MEMBERS)
            .map(|number| {
                // The revisions of forty changes, in turn.
                if number < 40 {
                    script.expect_done(CatalogCommand::AdmitMember(member(100 + number as u64, 1)));
                }
                copy_at(&script.state)
            })
            .collect();
        apply_document(&mut script, 2, 2);
        let mut server = PieceServer::default();
        for copy in &held {
            server.check_transfer(&script, copy);
        }
        assert!(server.served >= MEMBERS * 2, "{} served", server.served);
        assert!(server.packed * 20 <= server.served, "{} of {}", server.packed, server.served);
    }
}

case! {
    /// All members begin from nothing while groups are placed. Each piece is packed once for many.
    members_without_a_copy_share_pieces {
        let mut script = formed_catalog();
        let mut server = PieceServer::default();
        for number in 0..MEMBERS {
            if number % 10 == 0 {
                script.expect_done(CatalogCommand::AdmitMember(member(100 + number as u64, 1)));
            }
            server.check_transfer(&script, &CatalogCopy::new());
        }
        assert!(server.packed * 10 <= server.served, "{} of {}", server.packed, server.served);
    }
}

case! {
    /// A member is served from pieces made for others before later changes. Its copy must equal the
    /// catalog of the newest revision, whatever changed, came or went in between.
    copies_from_shared_pieces_equal_the_catalog {
        let mut script = formed_catalog();
        let mut server = PieceServer::default();
        let mut copies = vec![copy_at(&script.state)];
        for round in 0..60_u64 {
            match round % 5 {
                0 => apply_document(&mut script, 2 + round, 1 + (round as u32 % 7)),
                1 => script.expect_done(CatalogCommand::AdmitMember(member(100 + round, 1))),
                2 => {
                    let gone = member(100 + round - 1, 1).id;
                    script.expect_done(CatalogCommand::RemoveMember(gone));
                }
                3 => {
                    let name = group_name(round as usize % GROUPS);
                    let epoch = script.state.group(&name.as_str().into()).unwrap();
                    let epoch = epoch.placement.epoch.0 + 1;
                    let place = placement(&name, epoch, "vm-2", &["vm-1", "vm-3"]);
                    script.expect_done(CatalogCommand::PlaceGroup(place));
                }
                _ => {}
            }
            for copy in copies.iter().rev().take(4) {
                server.check_transfer(&script, copy);
            }
            copies.push(copy_at(&script.state));
        }
        assert!(server.packed < server.served);
    }
}

/// A control VM that serves pieces.
#[derive(Default)]
struct PieceServer {
    cache: PieceCache,
    served: usize,
    packed: usize,
}

impl PieceServer {
    /// Transfers what a member lacks and checks that its copy is the catalog's.
    fn check_transfer(&mut self, script: &CatalogScript, held: &CatalogCopy) {
        let state = &script.state;
        let needed = state.revision();
        let mut transfer = CatalogTransfer::begin(held, CatalogScope::Whole, needed);
        loop {
            let piece = self.serve(state, &transfer);
            match transfer.take(&piece) {
                TransferStep::Ongoing => {}
                TransferStep::Behind => panic!("the transfer stands still"),
                TransferStep::Done(copy) => {
                    assert_eq!(copy, copy_at(state));
                    return;
                }
            }
        }
    }

    fn serve(&mut self, state: &CatalogState, transfer: &CatalogTransfer) -> CatalogPiece {
        let request = transfer.to_request();
        self.served += 1;
        if let Some(packed) = self.cache.find(&request, state) {
            return serde_json::from_str(&packed).unwrap();
        }
        self.packed += 1;
        let piece = state.next_piece(&request);
        let packed: Arc<str> = serde_json::to_string(&piece).unwrap().into();
        self.cache.keep(request, &piece, packed);
        piece
    }
}

fn group_name(number: usize) -> String {
    format!("group-{number}")
}

fn apply_document(script: &mut CatalogScript, version: u64, slot_share: u32) {
    let contracts = (0..GROUPS).map(|number| {
        let mut one = contract(&format!("customer-{number}"), slot_share);
        one.groups = vec![group_name(number).as_str().into()];
        one
    });
    let terms = (0..GROUPS).map(|number| GroupTerms {
        group: group_name(number).as_str().into(),
        connections: 16,
        synchronous_replicas: 0,
        idle_transaction_ms: 3_000,
    });
    let document = ContractDocument {
        version: DocumentVersion(version),
        source: format!("version {version}").into(),
        contracts: contracts.collect(),
        groups: terms.collect(),
        accounts: Vec::new(),
        seal: None,
    };
    let outcome = script.apply(CatalogCommand::ApplyDocument(Box::new(document)));
    assert!(
        matches!(outcome, CatalogOutcome::DocumentAccepted(_)),
        "{outcome:?}"
    );
}

/// Returns a catalog of three members and placed groups with recorded endpoints.
fn formed_catalog() -> CatalogScript {
    let mut script = CatalogScript::with_members(3);
    apply_document(&mut script, 1, 1);
    for number in 0..GROUPS {
        let name = group_name(number);
        let place = placement(&name, 1, "vm-1", &["vm-2", "vm-3"]);
        script.expect_done(CatalogCommand::PlaceGroup(place));
        let endpoints = ["a", "b", "c"].map(|one| announcement(&name, one, "east"));
        script.expect_done(CatalogCommand::RecordEndpoints(Box::new(
            RecordedEndpoints {
                group: name.as_str().into(),
                epoch: PlacementEpoch(1),
                term: GroupTerm(0),
                primary: None,
                endpoints: endpoints.into(),
                settled_token: 0,
            },
        )));
    }
    script
}

/// Returns a complete copy of the catalog.
fn copy_at(state: &CatalogState) -> CatalogCopy {
    let mut copy = CatalogCopy::new();
    let whole = state.delta_since(CatalogRevision(0));
    copy.apply_delta(&whole).unwrap();
    copy
}
