//! Selection of the gateways through which a cut-off gateway forwards its statements.
//!
//! # Problem
//!
//! A switch fails, and a gateway loses all control VMs and leaseholders together with most gateways
//! of its failure domain. A third of the other gateways still reach the leaseholders and could
//! forward its callers' statements. A gateway that asks three others in a fixed order, its own
//! failure domain first, usually asks three that are cut off too, and then refuses everything for a
//! while.
//!
//! # Approach
//!
//! The outcomes of all statements are kept for each candidate. Candidates are asked in this order:
//!
//! 1. those that forwarded a statement, the one with the fewest statements under way first;
//! 2. untried ones, by turns from each failure domain, this gateway's own last in each turn, and
//!    within a domain by a hash of both gateways' names, so that the cut-off gateways end up with
//!    different ones. Concurrent statements ask different ones;
//! 3. those that were reached and know no leaseholder for some group;
//! 4. those that failed, after a pause that grows with each further failure.
//!
//! While fewer than [`WANTED_RELAYS`] candidates work, a statement that may be repeated is sent to
//! an untried one now and then, so that the load of the cut-off gateways is spread.
//!
//! When all candidates have failed, [`CANDIDATES_PER_ROUND`] are asked for each pause of 200 to
//! 400 ms, those that failed first. Until then statements and new sessions are refused at once. In
//! a total loss of control a gateway asks each candidate once and then at most 8 in a second.
//!
//! A group whose leaseholder isn't known to several candidates pauses by itself; see
//! [`RelayPauses`].
//!
//! The state is bounded by [`MAX_RELAY_CANDIDATES`], and losing it costs a few statements an
//! attempt.

use crate::ClockTime;
use crate::IsolationWatch;
use crate::RelayPauses;
use ragwort_types::DomainName;
use ragwort_types::GroupName;
use ragwort_types::VmName;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of candidates. If two thirds of all gateways are cut off, the chance that
/// all of them are among these is below 1 in 10^22.
pub const MAX_RELAY_CANDIDATES: usize = 128;

/// The maximum number of candidates that one statement is sent to. If two thirds of the gateways
/// are cut off and nothing is known, it finds a working one in 998 of 1,000 cases.
pub const MAX_RELAY_TRIES: usize = 16;

/// The number of candidates to which links are opened in advance while none is known to work.
const PREPARED_LINKS: usize = 8;

/// The number of witnesses that are remembered for a group.
const MAX_WITNESSES: usize = 8;

/// The number of working candidates that a gateway looks for. With 42 of 63 gateways cut off at 16
/// statements a second each, the most used of the others gets 1.7 times the mean; with one working
/// candidate for each gateway it would get 3 times the mean.
pub const WANTED_RELAYS: usize = 3;

/// The number of statements in flight that a gateway forwards for others. At the intended scale a
/// gateway has 350 statements a second of its own; where two in three are cut off it gets twice as
/// many from others, each of which may take a second when its group is overloaded. It is half of
/// what the gateway allows its own callers for one group.
pub const MAX_FORWARDED: usize = 1_024;

/// The time that a statement must have left to be sent to another candidate: several round trips
/// between failure domains and a short statement.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// The first and the longest pause before a failed candidate is asked again. With the first, a
/// candidate that had no lease during a short change of the control leader is back soon.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_millis(3_200);

/// The number of candidates that are asked for each pause when all have failed.
const CANDIDATES_PER_ROUND: usize = 3;

/// The longest pause between two rounds. It is shorter than the time for which a failed attempt
/// counts as evidence of isolation.
const LONGEST_ROUND_PAUSE: Duration = Duration::from_millis(400);

/// The time without a search after which outcomes are forgotten: they are from an earlier failure.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The interval at which a further candidate is looked for while some work.
const EXPLORE_INTERVAL: Duration = Duration::from_millis(50);

/// How many candidates must say that a group has no leaseholder before its statements pause: those
/// that have forwarded others, those of which nothing else is known, and these while this gateway's
/// own lease is running out. In that time most of those asked may be cut off as well and not know
/// it yet.
const PROVEN_WITNESSES: usize = 2;
const WITNESSES: usize = 3;
const WITNESSES_IN_DOUBT: usize = 6;

/// The maximum number of groups whose witnesses are remembered, and how long.
const MAX_WITNESSED_GROUPS: usize = 1_024;
const WITNESS_VALIDITY: Duration = Duration::from_secs(1);

/// What became of a statement that was sent to a candidate, or should have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// It was reached and forwarded the statement.
    Forwarded,
    /// It was reached and refused because it has no lease either, or forwards too much already.
    NoLease,
    /// It was reached and knows no leaseholder for the statement's group.
    NoLeaseholder,
    /// No connection could be opened, or it was lost before the reply.
    Unreachable,
}

impl RelayOutcome {
    /// Returns the name of the outcome in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Forwarded => "forwarded",
            Self::NoLease => "no_lease",
            Self::NoLeaseholder => "no_leaseholder",
            Self::Unreachable => "unreachable",
        }
    }
}

/// A change that operators should know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayChange {
    /// The first candidate works.
    Found {
        /// The number of candidates that have failed so far.
        failed: usize,
    },
    /// The last working candidate has failed, and others are left to be asked.
    Lost {
        /// The number of candidates that have failed so far.
        failed: usize,
    },
    /// All candidates have failed.
    NoneLeft {
        /// The number of candidates.
        failed: usize,
    },
}

/// The state of this gateway's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnLease {
    /// Heartbeats are answered.
    Held,
    /// Several heartbeats in a row went unanswered.
    InDoubt,
    /// The lease has ended.
    Ended,
}

/// The next step for a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayStep {
    /// Send the statement to this candidate and report the outcome.
    Try(VmName),
    /// Send the statement to this candidate if that needs no waiting for a connection; otherwise
    /// release the candidate and ask for the next step.
    TryIfConnected(VmName),
    /// No candidate is worth trying now: all have failed, or the statement has tried enough.
    NoLease,
    /// Several candidates know no leaseholder for the group.
    NoLeaseholder,
}

/// The attempts of one statement.
#[derive(Clone, Debug)]
pub struct RelaySearch {
    group: GroupName,
    deadline: ClockTime,
    /// Whether the statement may run twice.
    repeatable: bool,
    tried: Vec<VmName>,
    explored: bool,
    proven_witnesses: usize,
    witnesses: usize,
}

impl RelaySearch {
    /// Creates the search for a statement that must be answered by `deadline`.
    pub fn new(group: GroupName, deadline: ClockTime, repeatable: bool) -> Self {
        Self {
            group,
            deadline,
            repeatable,
            tried: Vec::new(),
            explored: false,
            proven_witnesses: 0,
            witnesses: 0,
        }
    }

    /// Returns the number of candidates that the statement was assigned to.
    pub fn tries(&self) -> usize {
        self.tried.len()
    }

    fn is_witnessed(&self, lease: OwnLease) -> bool {
        let needed = match lease {
            OwnLease::InDoubt => WITNESSES_IN_DOUBT,
            OwnLease::Held | OwnLease::Ended => WITNESSES,
        };
        self.proven_witnesses >= PROVEN_WITNESSES || self.witnesses >= needed
    }
}

/// What is known about a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Untried,
    /// It forwarded the last statement that it got.
    Works,
    /// It was reached, and knew no leaseholder for a group.
    Reached,
    Failed {
        retry_at: ClockTime,
        pause: Duration,
    },
}

#[derive(Clone, Debug)]
struct Candidate {
    vm: VmName,
    standing: Standing,
    /// The number of statements that it has and that await their outcome.
    under_way: usize,
    /// The turn at which it got its last statement.
    last_turn: u64,
}

impl Candidate {
    fn has_failed(&self) -> bool {
        matches!(self.standing, Standing::Failed { .. })
    }
}

/// The candidates that said that a group has no leaseholder.
#[derive(Clone, Debug)]
struct GroupWitnesses {
    last: ClockTime,
    vms: Vec<VmName>,
}

/// The attempts to reach any candidate while all have failed.
#[derive(Clone, Copy, Debug)]
struct RetryRounds {
    next: ClockTime,
    pause: Duration,
    left: usize,
}

/// The gateways through which a cut-off gateway may forward, and what it has learned about them.
#[derive(Clone, Debug)]
pub struct RelayCandidates {
    vm: VmName,
    domain: DomainName,
    candidates: Vec<Candidate>,
    turn: u64,
    last_search: ClockTime,
    explore_at: ClockTime,
    rounds: Option<RetryRounds>,
    isolation: IsolationWatch,
    pauses: RelayPauses,
    witnesses: BTreeMap<GroupName, GroupWitnesses>,
}

impl RelayCandidates {
    /// Creates the state of the gateway `vm`, without candidates.
    pub fn new(vm: VmName, domain: DomainName) -> Self {
        Self {
            vm,
            domain,
            candidates: Vec::new(),
            turn: 0,
            last_search: ClockTime::default(),
            explore_at: ClockTime::default(),
            rounds: None,
            isolation: IsolationWatch::default(),
            pauses: RelayPauses::default(),
            witnesses: BTreeMap::new(),
        }
    }

    /// Replaces the candidates by these gateways, and keeps what is known about those that stay.
    pub fn set_candidates<'v>(
        &mut self,
        gateways: impl Iterator<Item = (&'v VmName, &'v DomainName)>,
    ) {
        let mut domains: BTreeMap<&DomainName, Vec<&VmName>> = BTreeMap::new();
        for (vm, domain) in gateways.filter(|(vm, _)| **vm != self.vm) {
            domains.entry(domain).or_default().push(vm);
        }
        let mut former: BTreeMap<VmName, Candidate> = std::mem::take(&mut self.candidates)
            .into_iter()
            .map(|candidate| (candidate.vm.clone(), candidate))
            .collect();
        let ordered = self.order_candidates(domains);
        self.candidates = ordered
            .into_iter()
            .take(MAX_RELAY_CANDIDATES)
            .map(|vm| {
                former.remove(vm).unwrap_or_else(|| Candidate {
                    vm: vm.clone(),
                    standing: Standing::Untried,
                    under_way: 0,
                    last_turn: 0,
                })
            })
            .collect();
        if !self.have_all_failed() {
            self.rounds = None;
        }
    }

    /// Orders gateways by turns from each failure domain.
    fn order_candidates<'v>(
        &self,
        domains: BTreeMap<&'v DomainName, Vec<&'v VmName>>,
    ) -> Vec<&'v VmName> {
        let own = self.vm.as_str();
        let mut ordered = Vec::new();
        for (domain, mut vms) in domains {
            vms.sort_by_key(|vm| hash_pair(own, vm.as_str()));
            let is_own = *domain == self.domain;
            let domain_hash = hash_pair(own, domain.as_str());
            let places = vms.into_iter().enumerate();
            ordered.extend(places.map(|(place, vm)| ((place, is_own, domain_hash), vm)));
        }
        ordered.sort_by_key(|(order, _)| *order);
        ordered.into_iter().map(|(_, vm)| vm).collect()
    }

    /// Forgets all outcomes, because this gateway has a lease again.
    pub fn forget(&mut self) {
        for candidate in &mut self.candidates {
            candidate.standing = Standing::Untried;
        }
        self.explore_at = ClockTime::default();
        self.rounds = None;
        self.isolation = IsolationWatch::default();
        self.pauses = RelayPauses::default();
        self.witnesses.clear();
    }

    /// Returns the next step for a statement. For each candidate that it returns, either
    /// [`note_outcome`](Self::note_outcome) or [`release`](Self::release) must be called.
    pub fn next_step(
        &mut self,
        now: ClockTime,
        lease: OwnLease,
        search: &mut RelaySearch,
    ) -> RelayStep {
        if now.since(self.last_search) >= FORGET_AFTER {
            self.forget();
        }
        self.last_search = now;
        if !self.pauses.may_try(now, &search.group) {
            return RelayStep::NoLeaseholder;
        }
        if search.is_witnessed(lease) {
            return self.pause_group(now, search);
        }
        let time_left = search.deadline.since(now);
        if search.tries() >= MAX_RELAY_TRIES || (search.tries() > 0 && time_left < MIN_TIME_LEFT) {
            return self.give_up(now, search);
        }
        if let Some(index) = self.choose_exploration(now, search) {
            search.explored = true;
            return RelayStep::TryIfConnected(self.assign(index, search));
        }
        match self.choose(now, search) {
            Some(index) => RelayStep::Try(self.assign(index, search)),
            None if search.witnesses > 0 => self.pause_group(now, search),
            None => self.give_up(now, search),
        }
    }

    /// Ends the search of a statement that found no working candidate.
    fn give_up(&mut self, now: ClockTime, search: &RelaySearch) -> RelayStep {
        if search.witnesses > 0 {
            return RelayStep::NoLeaseholder;
        }
        let asked = search.tries() > 0 || self.candidates.is_empty();
        if asked && self.have_all_failed() {
            self.isolation.note_failed_attempt(now);
        }
        RelayStep::NoLease
    }

    fn pause_group(&mut self, now: ClockTime, search: &RelaySearch) -> RelayStep {
        self.isolation.note_reached();
        self.pauses.note_failed_attempt(now, &search.group);
        RelayStep::NoLeaseholder
    }

    fn assign(&mut self, index: usize, search: &mut RelaySearch) -> VmName {
        self.turn += 1;
        let candidate = &mut self.candidates[index];
        candidate.under_way += 1;
        candidate.last_turn = self.turn;
        search.tried.push(candidate.vm.clone());
        candidate.vm.clone()
    }

    /// Chooses an untried candidate for a statement that could go to a working one.
    ///
    /// A candidate that was cut off a moment ago may take a statement and lose it, so only
    /// statements that may be repeated are used.
    fn choose_exploration(&mut self, now: ClockTime, search: &RelaySearch) -> Option<usize> {
        let due = search.repeatable && !search.explored && now >= self.explore_at;
        if !due || search.tries() > 0 {
            return None;
        }
        let working = self.count_working();
        if working == 0 || working >= WANTED_RELAYS {
            return None;
        }
        let index = self.find_untried(search)?;
        self.explore_at = now + EXPLORE_INTERVAL;
        Some(index)
    }

    fn choose(&mut self, now: ClockTime, search: &RelaySearch) -> Option<usize> {
        let working = self.find_usable(now, search, Standing::Works);
        let usable = working
            .or_else(|| self.find_untried(search))
            .or_else(|| self.find_usable(now, search, Standing::Reached));
        if usable.is_some() {
            return usable;
        }
        let failed = self.find_failed(search)?;
        let Standing::Failed { retry_at, .. } = self.candidates[failed].standing else {
            return None;
        };
        let due = match &mut self.rounds {
            Some(rounds) => rounds.take(now, self.isolation.may_try(now)),
            None => now >= retry_at,
        };
        due.then_some(failed)
    }

    /// Returns the candidate of this standing that has the fewest statements under way. Those that
    /// know no leaseholder for the group come last.
    fn find_usable(
        &self,
        now: ClockTime,
        search: &RelaySearch,
        standing: Standing,
    ) -> Option<usize> {
        let witnesses = self.witnesses.get(&search.group);
        let witnesses = witnesses.filter(|held| now.since(held.last) < WITNESS_VALIDITY);
        let is_witness = |vm| witnesses.is_some_and(|held| held.vms.contains(vm));
        self.not_yet_assigned(search)
            .filter(|(_, candidate)| candidate.standing == standing)
            .min_by_key(|(_, candidate)| {
                let witness = is_witness(&candidate.vm);
                (witness, candidate.under_way, candidate.last_turn)
            })
            .map(|(index, _)| index)
    }

    fn find_untried(&self, search: &RelaySearch) -> Option<usize> {
        self.not_yet_assigned(search)
            .filter(|(_, candidate)| candidate.standing == Standing::Untried)
            .min_by_key(|(_, candidate)| candidate.under_way)
            .map(|(index, _)| index)
    }

    fn find_failed(&self, search: &RelaySearch) -> Option<usize> {
        self.not_yet_assigned(search)
            .filter_map(|(index, candidate)| match candidate.standing {
                Standing::Failed { retry_at, .. } => Some(((candidate.under_way, retry_at), index)),
                Standing::Untried | Standing::Works | Standing::Reached => None,
            })
            .min()
            .map(|(_, index)| index)
    }

    /// Returns the candidates that the statement was not assigned to.
    fn not_yet_assigned<'s>(
        &'s self,
        search: &'s RelaySearch,
    ) -> impl Iterator<Item = (usize, &'s Candidate)> {
        let candidates = self.candidates.iter().enumerate();
        candidates.filter(|(_, candidate)| !search.tried.contains(&candidate.vm))
    }

    /// Records that a statement was not sent to a candidate, or that its outcome says nothing about
    /// the candidate.
    pub fn release(&mut self, vm: &VmName) {
        if let Some(candidate) = self.find(vm) {
            candidate.under_way = candidate.under_way.saturating_sub(1);
        }
    }

    /// Records what became of a statement at a candidate.
    pub fn note_outcome(
        &mut self,
        now: ClockTime,
        vm: &VmName,
        search: &mut RelaySearch,
        outcome: RelayOutcome,
    ) -> Option<RelayChange> {
        self.release(vm);
        let had_working = self.count_working() > 0;
        let had_any = !self.have_all_failed();
        let candidate = self.find(vm)?;
        match outcome {
            RelayOutcome::Forwarded => {
                candidate.standing = Standing::Works;
                self.isolation.note_reached();
                self.witnesses.remove(&search.group);
            }
            RelayOutcome::NoLeaseholder => {
                match candidate.standing {
                    Standing::Works => search.proven_witnesses += 1,
                    _ => candidate.standing = Standing::Reached,
                }
                search.witnesses += 1;
                self.isolation.note_reached();
                self.note_witness(now, &search.group, vm);
            }
            RelayOutcome::NoLease | RelayOutcome::Unreachable => candidate.note_failed(now),
        }
        self.update_rounds(now);
        let failed = self.candidates.iter().filter(|held| held.has_failed());
        let failed = failed.count();
        match self.count_working() > 0 {
            true => (!had_working).then_some(RelayChange::Found { failed }),
            false if had_any && self.have_all_failed() => Some(RelayChange::NoneLeft { failed }),
            false => had_working.then_some(RelayChange::Lost { failed }),
        }
    }

    /// Starts or ends the rounds of attempts, as all candidates have failed or one hasn't.
    fn update_rounds(&mut self, now: ClockTime) {
        if !self.have_all_failed() {
            self.rounds = None;
        } else if self.rounds.is_none() {
            self.rounds = Some(RetryRounds {
                next: now + FIRST_PAUSE,
                pause: FIRST_PAUSE,
                left: 0,
            });
        }
    }

    fn note_witness(&mut self, now: ClockTime, group: &GroupName, vm: &VmName) {
        if self.witnesses.len() >= MAX_WITNESSED_GROUPS {
            let is_valid = |held: &mut GroupWitnesses| now.since(held.last) < WITNESS_VALIDITY;
            self.witnesses.retain(|_, held| is_valid(held));
        }
        if self.witnesses.len() >= MAX_WITNESSED_GROUPS && !self.witnesses.contains_key(group) {
            return;
        }
        let held = self.witnesses.entry(group.clone());
        let held = held.or_insert_with(|| GroupWitnesses {
            last: now,
            vms: Vec::new(),
        });
        if now.since(held.last) >= WITNESS_VALIDITY {
            held.vms.clear();
        }
        held.last = now;
        held.vms.retain(|known| known != vm);
        if held.vms.len() >= MAX_WITNESSES {
            held.vms.remove(0);
        }
        held.vms.push(vm.clone());
    }

    /// Returns the candidates that statements would be sent to next, to which links should be
    /// opened in advance: [`WANTED_RELAYS`] if one works or the lease is held, as when only one
    /// leaseholder is lost; more if this gateway may be cut off and no candidate is known to work.
    pub fn upcoming(&self, lease: OwnLease) -> Vec<VmName> {
        let wanted = |candidate: &&Candidate| !candidate.has_failed();
        let mut upcoming: Vec<&Candidate> = self.candidates.iter().filter(wanted).collect();
        upcoming.sort_by_key(|candidate| candidate.standing != Standing::Works);
        let count = match self.count_working() {
            0 if lease != OwnLease::Held => PREPARED_LINKS,
            working => working.max(WANTED_RELAYS),
        };
        let upcoming = upcoming.into_iter().take(count);
        upcoming.map(|candidate| candidate.vm.clone()).collect()
    }

    /// Returns the candidates that work.
    pub fn working(&self) -> impl Iterator<Item = &VmName> {
        let works = |candidate: &&Candidate| candidate.standing == Standing::Works;
        let working = self.candidates.iter().filter(works);
        working.map(|candidate| &candidate.vm)
    }

    /// Returns whether all statements of a new session would be refused: all candidates have
    /// failed, the last attempt not long ago.
    pub fn is_isolated(&self, now: ClockTime) -> bool {
        self.have_all_failed() && self.isolation.is_isolated(now)
    }

    /// Returns whether [`is_isolated`](Self::is_isolated) has held for at least `time`.
    pub fn is_isolated_for(&self, now: ClockTime, time: Duration) -> bool {
        self.have_all_failed() && self.isolation.is_isolated_for(now, time)
    }

    fn have_all_failed(&self) -> bool {
        self.candidates.iter().all(Candidate::has_failed)
    }

    fn count_working(&self) -> usize {
        self.working().count()
    }

    fn find(&mut self, vm: &VmName) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|held| held.vm == *vm)
    }
}

impl Candidate {
    /// Lengthens the pause if the candidate was due to be asked again. Several statements that fail
    /// at one moment count once.
    fn note_failed(&mut self, now: ClockTime) {
        let pause = match self.standing {
            Standing::Failed { retry_at, .. } if now < retry_at => return,
            Standing::Failed { pause, .. } => (pause * 2).min(LONGEST_PAUSE),
            Standing::Untried | Standing::Works | Standing::Reached => FIRST_PAUSE,
        };
        self.standing = Standing::Failed {
            retry_at: now + pause,
            pause,
        };
    }
}

impl RetryRounds {
    /// Takes one attempt of the present round, or of a new one if `may_begin` is set; returns false
    /// if there is none.
    fn take(&mut self, now: ClockTime, may_begin: bool) -> bool {
        if now >= self.next && may_begin {
            self.pause = (self.pause * 2).min(LONGEST_ROUND_PAUSE);
            self.next = now + self.pause;
            self.left = CANDIDATES_PER_ROUND;
        }
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        true
    }
}

/// Returns a hash of two names that is the same in all processes (FNV-1a, then a mixing step: the
/// plain hash orders names that differ in their last letter alike for all gateways).
fn hash_pair(first: &str, second: &str) -> u64 {
    let bytes = first.bytes().chain([0xff]).chain(second.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
