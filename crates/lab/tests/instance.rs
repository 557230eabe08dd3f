//! Property test of a group of three instances under random writes, fetches and failovers.
//!
//! The proxy is tested against these instances, so they must not lose acknowledged writes
//! themselves.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use ragwort_lab::instance::FetchReply;
use ragwort_lab::instance::FetchRequest;
use ragwort_lab::instance::FollowTarget;
use ragwort_lab::instance::InstanceCore;
use ragwort_lab::instance::KeyWrite;
use ragwort_lab::instance::LogEntry;
use ragwort_types::FenceReply;
use ragwort_types::GroupTerm;
use std::net::SocketAddr;

const INSTANCES: usize = 3;
const SEED: u64 = 20_261_202;

/// A random step.
#[derive(Clone, Copy, Debug)]
enum GroupStep {
    /// Writes to every instance that accepts writes, including replaced primaries.
    Write,
    /// Fetches once from the primary that an instance follows.
    Pull(usize),
    /// Fences all instances but one in a new term and promotes the one with the highest position.
    FailOver { absent: usize },
    /// Makes an instance follow the present primary.
    Join(usize),
}

impl Arbitrary for GroupStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let instance = usize::arbitrary(source) % INSTANCES;
        match u8::arbitrary(source) % 8 {
            0..=2 => Self::Write,
            3..=4 => Self::Pull(instance),
            5 => Self::FailOver { absent: instance },
            _ => Self::Join(instance),
        }
    }
}

struct TestGroup {
    cores: Vec<InstanceCore>,
    primary: usize,
    term: GroupTerm,
    writes: u64,
    acknowledged: Vec<LogEntry>,
}

impl TestGroup {
    fn new() -> Self {
        Self {
            cores: (0..INSTANCES).map(|n| InstanceCore::new(n == 0)).collect(),
            primary: 0,
            term: GroupTerm(0),
            writes: 0,
            acknowledged: Vec::new(),
        }
    }

    fn apply_step(&mut self, step: GroupStep) {
        match step {
            GroupStep::Write => self.write(),
            GroupStep::Pull(instance) => self.pull(instance),
            GroupStep::FailOver { absent } => self.fail_over(absent),
            GroupStep::Join(instance) => {
                let target = self.target();
                if instance != self.primary {
                    self.cores[instance].follow(target);
                }
            }
        }
        self.acknowledge();
    }

    fn write(&mut self) {
        for core in &mut self.cores {
            self.writes += 1;
            let write = KeyWrite::Append {
                key: "list".to_owned(),
                value: self.writes.to_string(),
            };
            let generation = core.generation();
            // Replicas and fenced instances refuse the write.
            let _ = core.commit(generation, vec![write], self.writes);
        }
    }

    fn pull(&mut self, instance: usize) {
        let Some(target) = self.cores[instance].target() else {
            return;
        };
        let request = FetchRequest {
            term: target.term,
            after: self.cores[instance].position(),
            wait_ms: 0,
        };
        let source = target.primary_agent.port() as usize;
        let reply = self.cores[source].fetch(request);
        let core = &mut self.cores[instance];
        match reply {
            FetchReply::Entries(entries) => {
                core.append(target.term, request.after.index, entries);
            }
            FetchReply::Mismatch(index) => {
                assert!(
                    index < request.after.index,
                    "the truncation makes no progress"
                );
                core.drop_after(target.term, index);
            }
            FetchReply::NotPrimary => {}
        }
    }

    fn fail_over(&mut self, absent: usize) {
        self.term = self.term.next();
        let present = (0..INSTANCES).filter(|instance| *instance != absent);
        let fenced = present.map(|instance| match self.cores[instance].fence(self.term) {
            FenceReply::Fenced(position) => (position, instance),
            FenceReply::Refused(term) => panic!("refused at {term}"),
        });
        let fenced: Vec<_> = fenced.collect();
        let (_, best) = fenced.into_iter().max().unwrap();
        let promoted = self.cores[best].promote(self.term, 0, 0);
        assert!(matches!(promoted, FenceReply::Fenced(position) if position.term == self.term));
        self.primary = best;
    }

    fn target(&self) -> FollowTarget {
        FollowTarget {
            term: self.term,
            primary_agent: SocketAddr::from(([127, 0, 0, 1], self.primary as u16)),
        }
    }

    /// Checks that the primary's log contains all acknowledged entries, then marks as acknowledged
    /// the entries that a majority of the instances holds in the present term.
    fn acknowledge(&mut self) {
        let log = self.cores[self.primary].log();
        assert!(
            log.starts_with(&self.acknowledged),
            "acknowledged entries were lost"
        );
        let mut held: Vec<u64> = self
            .cores
            .iter()
            .map(|core| self.count_held_entries(core))
            .collect();
        held.sort_unstable();
        let majority = held[INSTANCES / 2] as usize;
        if majority > self.acknowledged.len() {
            self.acknowledged = log[..majority].to_vec();
        }
    }

    /// Returns the number of the present term's log entries that an instance is known to hold,
    /// which is 0 while its last entry is of an earlier term.
    fn count_held_entries(&self, core: &InstanceCore) -> u64 {
        match core.position().term == self.term {
            true => core.position().index,
            false => 0,
        }
    }

    /// Lets all instances follow the primary and fetch its whole log.
    fn replicate_all(&mut self) {
        for instance in 0..INSTANCES {
            self.apply_step(GroupStep::Join(instance));
            for _ in 0..=self.cores[instance].log().len() + 1 {
                self.apply_step(GroupStep::Pull(instance));
            }
        }
    }
}

fn keeps_acknowledged_entries_and_converges(steps: Vec<GroupStep>) -> bool {
    let mut group = TestGroup::new();
    for step in steps {
        group.apply_step(step);
    }
    group.replicate_all();
    let primary = group.cores[group.primary].log();
    group.cores.iter().all(|core| core.log() == primary)
}

/// Guards against lost entries when replicas lag, primaries are replaced while they still accept
/// writes, and former primaries rejoin with entries that weren't replicated. Entries that a
/// majority held must be kept, and all logs must be equal at the end.
#[test]
fn acknowledged_entries_survive_failovers() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(1_000)
        .quickcheck(keeps_acknowledged_entries_and_converges as fn(Vec<GroupStep>) -> bool);
}
