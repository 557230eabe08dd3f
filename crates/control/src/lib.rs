//! State machines of ragwortgate for agreement, the catalog, leases, placement, failover and the
//! request journal.
//!
//! No module does I/O: a state machine takes events and the present time and returns decisions. The
//! daemon owns sockets, disks and clocks, and drives the state machines.
//!
//! # Examples
//!
//! A member keeps its copy of the catalog up to date by deltas:
//!
//! ```
//! use ragwort_control::CatalogCopy;
//! use ragwort_control::CatalogState;
//! use ragwort_types::CatalogCommand;
//! use ragwort_types::CatalogRevision;
//! use ragwort_types::MemberId;
//! use ragwort_types::MemberRecord;
//! use ragwort_types::MemberTraits;
//! use ragwort_types::VmIncarnation;
//! use ragwort_types::VmName;
//!
//! let member = MemberRecord {
//!     id: MemberId {
//!         vm: VmName::from("vm-1"),
//!         incarnation: VmIncarnation(1),
//!     },
//!     domain: "east".into(),
//!     peer_address: "127.0.0.1:7000".parse().unwrap(),
//!     statement_address: None,
//!     lease_ms: 0,
//!     draining: false,
//!     traits: MemberTraits::default(),
//! };
//! let mut state = CatalogState::new();
//! state.apply(CatalogRevision(1), &CatalogCommand::AdmitMember(member));
//!
//! let mut copy = CatalogCopy::new();
//! copy.apply_delta(&state.delta_since(copy.revision())).unwrap();
//! assert!(copy.member(&VmName::from("vm-1")).is_some());
//! ```

#[macro_use]
mod invariant;

mod accounts;
pub mod agreement;
mod answers;
mod candidate;
mod catalog;
mod changes;
mod chart;
mod contract_table;
mod contracts;
mod copy;
mod detector;
mod digest;
mod documents;
mod followers;
mod groups;
mod headless;
mod history;
mod journal;
mod keys;
mod lease;
mod members;
mod native_roles;
mod order_fence;
mod order_fence_chart;
mod outstanding_orders;
mod pace;
mod piece_cache;
mod placement;
mod positions;
mod promotion;
mod promotion_chart;
mod promotion_evidence;
mod promotion_message;
mod proximity;
mod quorum;
mod record;
mod recovery;
mod replacement;
mod replacement_chart;
mod replica;
mod replica_estimate;
mod sessions;
mod transfer;
pub mod vocabulary;
mod voter_removal;

pub use accounts::AccountTable;
pub use accounts::digest_key;
pub use agreement::AgreementMessage;
pub use agreement::AgreementNode;
pub use agreement::AgreementOutput;
pub use agreement::AgreementSettings;
pub use agreement::DiskWrite;
pub use agreement::DurableState;
pub use agreement::EntryMark;
pub use agreement::HardState;
pub use agreement::ReadTicket;
pub use agreement::VoterId;
pub use catalog::CatalogState;
pub use catalog::SnapshotError;
pub use changes::ChangeIndex;
pub use chart::ChartName;
pub use chart::ChartStep;
pub use chart::ChartVocabulary;
pub use chart::StateChart;
pub use contract_table::ContractTable;
pub use copy::CatalogCopy;
pub use copy::CopyChanges;
pub use copy::DeltaError;
pub use copy::GroupTable;
pub use copy::MemberTable;
pub use detector::DetectorAction;
pub use detector::MAX_TICK_GAP;
pub use detector::MIN_REFUSALS;
pub use detector::PROBE_INTERVAL;
pub use detector::PROBE_TIMEOUT;
pub use detector::PrimaryDetector;
pub use detector::PrimaryVerdict;
pub use detector::ProbeOutcome;
pub use detector::ProbeView;
pub use detector::STANDBY_TIMEOUT;
pub use detector::SuspicionGrounds;
pub use detector::UNREACHABLE_TIMEOUT;
pub use detector::UNRESPONSIVE_TIMEOUT;
pub use digest::digest_text;
pub use headless::EndpointKnowledge;
pub use headless::MAX_PRIMARY_ABSENCE;
pub use headless::PrimaryAbsence;
pub use invariant::broken_invariants;
#[doc(hidden)]
pub use invariant::count_broken_invariant;
pub use journal::GroupJournal;
pub use journal::KeyAdmission;
pub use keys::CLOCK_TOLERANCE_MS;
pub use keys::KEY_WINDOW_MS;
pub use keys::MAX_KEPT_ANSWER_BYTES;
pub use lease::DRIFT_DIVISOR;
pub use lease::LeaseDecision;
pub use lease::LeaseLedger;
pub use lease::MemberLease;
pub use lease::MemberPresence;
pub use native_roles::InstanceRoles;
pub use native_roles::RoleReport;
pub use order_fence::OrderFence;
pub use order_fence_chart::FenceEvent;
pub use order_fence_chart::FenceGuard;
pub use order_fence_chart::FenceState;
pub use order_fence_chart::FenceStep;
pub use order_fence_chart::FenceVocabulary;
pub use order_fence_chart::order_fence_chart;
pub use outstanding_orders::OutstandingOrders;
pub use outstanding_orders::PROMOTION_LIMIT;
pub use pace::HEARTBEATS_PER_LEASE;
pub use pace::RequestedLease;
pub use piece_cache::PieceCache;
pub use placement::LOAD_CAP_PERCENT;
pub use placement::STANDBY_COUNT;
pub use placement::load_cap;
pub use placement::plan_handovers;
pub use placement::plan_moves_to_endpoints;
pub use placement::plan_placements;
pub use positions::PositionFate;
pub use positions::PositionHistory;
pub use promotion::GroupPromotion;
pub use promotion_chart::PromotionEvent;
pub use promotion_chart::PromotionGuard;
pub use promotion_chart::PromotionState;
pub use promotion_chart::PromotionStep;
pub use promotion_chart::PromotionVocabulary;
pub use promotion_chart::promotion_chart;
pub use promotion_evidence::WriteGuarantee;
pub use promotion_message::AgentOutcome;
pub use promotion_message::FollowOrder;
pub use promotion_message::PromotionAction;
pub use promotion_message::PromotionActions;
pub use promotion_message::PromotionInput;
pub use quorum::InstanceSet;
pub use quorum::PositionQuorum;
pub use quorum::QuorumProgress;
pub use quorum::ReadProgress;
pub use quorum::RoundId;
pub use quorum::WriteTicket;
pub use quorum::majority;
pub use ragwort_types::ClockTime;
pub use record::RecordError;
pub use record::RestoredState;
pub use record::encode_record;
pub use recovery::JournalSource;
pub use recovery::RecoveredJournal;
pub use recovery::recover_journal;
pub use replacement::PrimaryReplacement;
pub use replacement::ReplacementAction;
pub use replacement::ReplacementActions;
pub use replacement_chart::ReplacementEvent;
pub use replacement_chart::ReplacementGuard;
pub use replacement_chart::ReplacementState;
pub use replacement_chart::ReplacementStep;
pub use replacement_chart::ReplacementVocabulary;
pub use replacement_chart::replacement_chart;
pub use replica::JournalReplica;
pub use replica_estimate::ReplicaEstimate;
pub use sessions::SessionPositions;
pub use transfer::CatalogTransfer;
pub use transfer::PIECE_BYTES;
pub use transfer::TransferStep;
pub use voter_removal::AbsentMember;
pub use voter_removal::MemberStanding;
pub use voter_removal::MemberSurvey;
pub use voter_removal::is_removal_worthwhile;
