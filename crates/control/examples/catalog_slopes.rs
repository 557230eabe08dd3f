//! Prints the time and memory that the catalog takes at the sizes expected in two years.
//!
//! Run it with `cargo run --release --example catalog_slopes -p ragwort-control`. Memory is the
//! growth of the process's resident set, so it includes the allocator's overhead.

use ragwort_control::CatalogCopy;
use ragwort_control::CatalogState;
use ragwort_control::DiskWrite;
use ragwort_control::EntryMark;
use ragwort_control::agreement::ElectionTerm;
use ragwort_control::agreement::LogIndex;
use ragwort_control::agreement::SnapshotData;
use ragwort_control::agreement::VoterConfiguration;
use ragwort_control::agreement::VoterId;
use ragwort_control::encode_record;
use ragwort_control::plan_placements;
use ragwort_types::AccessMode;
use ragwort_types::CallerRule;
use ragwort_types::CatalogCommand;
use ragwort_types::CatalogItem;
use ragwort_types::CatalogRevision;
use ragwort_types::ChangeId;
use ragwort_types::ContractChange;
use ragwort_types::ContractVersion;
use ragwort_types::CustomerContract;
use ragwort_types::GroupName;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceChange;
use ragwort_types::KindName;
use ragwort_types::KindTerms;
use ragwort_types::LengthClass;
use ragwort_types::MemberId;
use ragwort_types::MemberRecord;
use ragwort_types::MemberTraits;
use ragwort_types::PlacementEpoch;
use ragwort_types::RepeatRule;
use ragwort_types::UrgencyClass;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

const VMS: u64 = 630;
const GROUPS: u64 = 710;
const CUSTOMERS: u64 = 400;

/// 2,300 changes a day for two years.
const CHANGES: u64 = 1_700_000;

fn main() {
    let mut bench = CatalogBench::new();
    bench.add_members();
    bench.place_groups();
    bench.add_contracts();
    bench.print_delta_sizes();
    bench.print_delta_times();
    bench.print_snapshot();
    bench.add_changes();
    bench.print_snapshot();
}

struct CatalogBench {
    state: CatalogState,
    index: u64,
}

impl CatalogBench {
    fn new() -> Self {
        Self {
            state: CatalogState::new(),
            index: 0,
        }
    }

    fn apply(&mut self, command: &CatalogCommand) {
        self.index += 1;
        self.state.apply(CatalogRevision(self.index), command);
    }

    /// Runs one part of the setup and prints its time and memory per item.
    fn measure(&mut self, name: &str, count: u64, build: impl FnOnce(&mut Self)) {
        let memory = resident_bytes();
        let began = Instant::now();
        build(self);
        let micros = began.elapsed().as_micros() as f64 / count as f64;
        let bytes = resident_bytes().saturating_sub(memory) / count;
        println!("{name} count={count} apply_us={micros:.2} memory_bytes={bytes}");
    }

    fn add_members(&mut self) {
        self.measure("member", VMS, |bench| {
            for number in 0..VMS {
                bench.apply(&CatalogCommand::AdmitMember(member(number)));
            }
        });
    }

    fn place_groups(&mut self) {
        let groups: Vec<GroupName> = (0..GROUPS).map(group_name).collect();
        let live: BTreeSet<VmName> = (0..VMS).map(vm_name).collect();
        let presence = live.into();
        let began = Instant::now();
        let plans = plan_placements(&self.state, &presence, &groups);
        println!(
            "plan_first groups={GROUPS} ms={}",
            began.elapsed().as_millis()
        );
        self.measure("group", GROUPS, |bench| {
            for plan in plans {
                let group = plan.group.clone();
                bench.apply(&CatalogCommand::PlaceGroup(plan));
                for instance in ["instance-a", "instance-b", "instance-c"] {
                    bench.apply(&CatalogCommand::AddInstance(InstanceChange {
                        group: group.clone(),
                        epoch: PlacementEpoch(1),
                        term: GroupTerm(0),
                        instance: instance.into(),
                    }));
                }
            }
        });
        let began = Instant::now();
        let plans = plan_placements(&self.state, &presence, &[]);
        let micros = began.elapsed().as_micros();
        println!(
            "plan_settled groups={GROUPS} us={micros} plans={}",
            plans.len()
        );
    }

    fn add_contracts(&mut self) {
        self.measure("contract", CUSTOMERS, |bench| {
            for customer in 0..CUSTOMERS {
                let change = change(customer, 0, customer);
                bench.apply(&CatalogCommand::ApplyContract(change));
            }
        });
    }

    fn print_delta_sizes(&self) {
        let mut sizes: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for item in self.state.delta_since(CatalogRevision(0)).items {
            let kind = match item {
                CatalogItem::Contract(_) => "contract",
                CatalogItem::Member(_) | CatalogItem::MemberGone(_) => "member",
                CatalogItem::ContractGone(_) => "contract gone",
                CatalogItem::GroupTerms(_) => "group terms",
                CatalogItem::Group(_) => "group",
                CatalogItem::Account(_) | CatalogItem::AccountGone(_) => "account",
            };
            let (count, bytes) = sizes.entry(kind).or_default();
            *count += 1;
            *bytes += serde_json::to_string(&item).unwrap().len();
        }
        for (kind, (count, bytes)) in sizes {
            println!(
                "delta_item kind={kind} count={count} json_bytes={}",
                bytes / count
            );
        }
    }

    fn print_delta_times(&self) {
        let began = Instant::now();
        let whole = self.state.delta_since(CatalogRevision(0));
        println!(
            "delta_whole items={} us={}",
            whole.items.len(),
            began.elapsed().as_micros()
        );
        let memory = resident_bytes();
        let mut copy = CatalogCopy::new();
        let began = Instant::now();
        copy.apply_delta(&whole).unwrap();
        let bytes = resident_bytes().saturating_sub(memory);
        println!(
            "copy_whole us={} memory_bytes={bytes}",
            began.elapsed().as_micros()
        );
        let began = Instant::now();
        let last = CatalogRevision(self.state.revision().0 - 1);
        let delta = self.state.delta_since(last);
        let micros = began.elapsed().as_micros();
        println!("delta_last items={} us={micros}", delta.items.len());
    }

    fn add_changes(&mut self) {
        self.measure("change", CHANGES, |bench| {
            for number in 0..CHANGES {
                let change = change(
                    number % CUSTOMERS,
                    1 + number / CUSTOMERS,
                    CUSTOMERS + number,
                );
                bench.apply(&CatalogCommand::ApplyContract(change));
            }
        });
        assert_eq!(self.state.answered_changes() as u64, CHANGES + CUSTOMERS);
    }

    fn print_snapshot(&self) {
        let before = resident_bytes();
        println!("state resident_mb={}", before / 1_000_000);
        let began = Instant::now();
        let copy = self.state.clone();
        println!("state_clone us={}", began.elapsed().as_micros());
        drop(copy);
        let began = Instant::now();
        let text = self.state.to_snapshot();
        println!(
            "snapshot_write bytes={} us={} resident_mb={}",
            text.len(),
            began.elapsed().as_micros(),
            resident_bytes() / 1_000_000
        );
        let voter = VoterId::new("vm-1".into(), VmIncarnation(1));
        let write = DiskWrite::Snapshot(Box::new(SnapshotData {
            mark: EntryMark::new(ElectionTerm(1), LogIndex(self.index)),
            configuration: VoterConfiguration::form([voter]),
            data: text.clone(),
        }));
        let began = Instant::now();
        let record = encode_record(std::slice::from_ref(&write));
        println!(
            "snapshot_record bytes={} us={}",
            record.len(),
            began.elapsed().as_micros()
        );
        let began = Instant::now();
        let restored = CatalogState::from_snapshot(&text).unwrap();
        println!(
            "snapshot_read us={} equal={} resident_mb={}",
            began.elapsed().as_micros(),
            restored == self.state,
            resident_bytes() / 1_000_000
        );
    }
}

fn vm_name(number: u64) -> VmName {
    VmName::from(format!("vm-{number:04}"))
}

fn group_name(number: u64) -> GroupName {
    GroupName::from(format!("database-{number:04}"))
}

fn member(number: u64) -> MemberRecord {
    MemberRecord {
        id: MemberId {
            vm: vm_name(number),
            incarnation: VmIncarnation(1_796_000_000_000_000 + number),
        },
        domain: format!("domain-{}", number % 10).into(),
        peer_address: "10.11.12.13:7400".parse().unwrap(),
        statement_address: None,
        lease_ms: 0,
        draining: false,
        traits: MemberTraits::default(),
    }
}

fn change(customer: u64, base: u64, number: u64) -> ContractChange {
    ContractChange {
        change_id: ChangeId(change_uuid(number)),
        base_version: ContractVersion(base),
        contract: contract(customer, base),
    }
}

/// Returns a UUIDv7 like those of an operator's tool, 37 seconds after the previous one.
fn change_uuid(number: u64) -> uuid::Uuid {
    let millis = 1_796_000_000_000 + 37_000 * number;
    let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let high = (millis << 16) | 0x7000 | (random & 0xfff);
    let low = (0b10 << 62) | (random >> 2);
    uuid::Uuid::from_u64_pair(high, low)
}

fn contract(customer: u64, share: u64) -> CustomerContract {
    let terms = KindTerms {
        access: AccessMode::Read,
        repeat: RepeatRule::Idempotent,
        urgency: UrgencyClass::Ordinary,
        length: LengthClass::Short,
        max_age_ms: 2_000,
        deadline_ms: 1_000,
        target_ms: None,
        priority: None,
    };
    let kinds = ["status", "means_test", "grant", "case_update", "report"];
    CustomerContract {
        customer: format!("customer-{customer:04}").into(),
        groups: vec![
            group_name(customer % GROUPS),
            group_name((customer + 1) % GROUPS),
        ],
        kinds: kinds
            .iter()
            .map(|name| (KindName::from(*name), terms))
            .collect(),
        default_kind: "status".into(),
        slot_share: 1 + u32::try_from(share % 9).unwrap(),
        connection_limit: 4,
        queue_limit: 200,
        session_limit: 2_000,
        callers: CallerRule::default(),
        share_group: None,
    }
}

/// Returns the process's resident set size in bytes, as the kernel reports it.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}
