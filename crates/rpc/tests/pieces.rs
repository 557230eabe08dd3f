//! Tests of the wire format of catalog pieces.

use ragwort_rpc::PieceError;
use ragwort_rpc::pack_piece;
use ragwort_rpc::unpack_piece;
use ragwort_types::AccountTerms;
use ragwort_types::CatalogCursor;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogKey;
use ragwort_types::CatalogPiece;
use ragwort_types::CatalogRevision;
use ragwort_types::DigestSecret;
use ragwort_types::GroupPlacement;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::KeyDigest;
use ragwort_types::LogPosition;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::VmIncarnation;

macro_rules! piece_cases {
    ($($(#[$doc:meta])* $name:ident $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

fn member(number: u64) -> CatalogItem {
    CatalogItem::Member(MemberRecord {
        id: MemberId {
            vm: format!("front-hall-one-{number}").into(),
            incarnation: VmIncarnation(1_769_749_006_178_000 + number),
        },
        domain: "hall-one".into(),
        peer_address: format!("10.1.0.{}:7780", number % 250).parse().unwrap(),
        statement_address: None,
        lease_ms: 1_200,
        draining: false,
        traits: MemberTraits::default(),
    })
}

fn group(number: u64) -> CatalogItem {
    CatalogItem::Group(Box::new(GroupRecord {
        placement: GroupPlacement {
            group: format!("huvo{number}a").into(),
            epoch: PlacementEpoch(number % 7),
            leaseholder: "core-hall-one-1".into(),
            standbys: ["core-hall-two-1".into()].into_iter().collect(),
        },
        term: GroupTerm(1),
        term_epoch: PlacementEpoch(1),
        primary: Some(format!("i-{:x}", number * 0x9e37_79b9).as_str().into()),
        start: LogPosition::new(GroupTerm(1), number * 37),
        instances: Default::default(),
        journal_epoch: PlacementEpoch(0),
        endpoints: Vec::new(),
        orders: Vec::new(),
    }))
}

fn account(number: u8) -> CatalogItem {
    CatalogItem::Account(Box::new(AccountTerms {
        name: format!("account-{number}").into(),
        seal: DigestSecret([9; 16]),
        keys: [KeyDigest([number; 16])].into_iter().collect(),
        limit: None,
    }))
}

fn piece(items: Vec<CatalogItem>) -> CatalogPiece {
    CatalogPiece {
        restarts: false,
        made_at: CatalogRevision(900),
        items,
        next: CatalogCursor {
            revision: CatalogRevision(880),
            after: Some(CatalogKey::Group("huvo7a".into())),
        },
    }
}

piece_cases! {
    /// Packing and unpacking must return the same piece, whether empty or with all kinds of items.
    pieces_round_trip {
        let mixed = (0..50).flat_map(|number| {
            [member(number), group(number), account(number as u8)]
        });
        for piece in [piece(Vec::new()), piece(mixed.collect())] {
            let packed = pack_piece(&piece).unwrap();
            assert_eq!(unpack_piece(&packed), Ok(piece));
        }
    }

    /// When 300 gateways restart at once, each with a link of 250 KB per second, they get the
    /// catalog in time only if compression reduces the records to an eighth of their JSON text.
    packed_records_take_an_eighth {
        let whole = piece((0..300).flat_map(|number| [member(number), group(number)]).collect());
        let plain = serde_json::to_string(&whole).unwrap();
        let packed = pack_piece(&whole).unwrap();
        assert!(packed.len() * 8 < plain.len(), "{} of {} bytes", packed.len(), plain.len());
    }

    /// A text that is not a piece, or that declares a length above the maximum, must be refused
    /// with a specific error and without allocating that much memory.
    invalid_pieces_are_refused {
        let packed = pack_piece(&piece(vec![member(1)])).unwrap();
        assert_eq!(unpack_piece("*"), Err(PieceError::NotBase64));
        assert_eq!(unpack_piece(""), Err(PieceError::NotCompressed));
        assert_eq!(unpack_piece("/////w"), Err(PieceError::NotCompressed));
        let cut = &packed[..packed.len() / 2 / 4 * 4];
        assert_eq!(unpack_piece(cut), Err(PieceError::NotCompressed));
    }
}
