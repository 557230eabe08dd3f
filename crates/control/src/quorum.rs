//! Majority acknowledgement of writes and majority confirmation of linearizable reads.
//!
//! Replication is asynchronous, and a primary may die or be partitioned right after it has
//! answered. If a write were acknowledged as soon as the primary has it, the promoted instance
//! could lack it, and a write that a caller was told is done would be lost. A write is therefore
//! released only when a majority of the group's instances hold its position in the present term. A
//! promotion fences a majority, which contains at least one instance that holds the write.

use crate::ClockTime;
use crate::history::PositionSamples;
use ragwort_types::GroupRecord;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceName;
use ragwort_types::InstanceStatus;
use ragwort_types::LogPosition;
use serde::Serialize;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// The instances among which a majority is counted.
pub type InstanceSet = SmallVec<[InstanceName; 4]>;

/// Identifies a write that waits for a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct WriteTicket(pub u64);

/// Identifies a round of status requests that confirms the reads that joined it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RoundId(pub u64);

/// The writes and terms that a status report affects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuorumProgress {
    /// Writes that may be acknowledged now.
    pub released: Vec<WriteTicket>,
    /// Writes that can no longer be acknowledged; their outcome is unknown.
    pub abandoned: Vec<WriteTicket>,
    /// A later term at which an instance was fenced, which means that the present term is over.
    pub later_term: Option<GroupTerm>,
}

/// Progress of the reads of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// Reads of this round and of all earlier rounds may be answered.
    Confirmed(RoundId),
    /// More instances have to answer.
    Pending,
    /// An instance was fenced at this later term, so no read of the present term may be answered.
    TermOver(GroupTerm),
}

/// The primary's position in its answer to a statement.
#[derive(Clone, Copy, Debug)]
struct PrimaryAnswer {
    /// When the answer arrived.
    received: ClockTime,
    position: LogPosition,
}

/// A write that no majority held before its time ran out.
#[derive(Clone, Copy, Debug)]
struct OverdueWrite {
    position: LogPosition,
    /// The time that the write was given.
    time: Duration,
}

/// Tracks which positions a majority of a group's instances holds in one term.
#[derive(Clone, Debug)]
pub struct PositionQuorum {
    term: GroupTerm,
    primary: Option<InstanceName>,
    /// The first position of the term.
    start: LogPosition,
    instances: InstanceSet,
    /// A change of the instance set with an unknown outcome; until it is known, both sets must
    /// agree.
    proposed: Option<InstanceSet>,
    reports: BTreeMap<InstanceName, InstanceStatus>,
    acknowledged: LogPosition,
    /// The primary's first position that this process saw: a former leaseholder may have
    /// acknowledged writes up to it. `None` before the first report.
    baseline: Option<LogPosition>,
    /// The primary's position in its latest answer to a statement.
    answered: Option<PrimaryAnswer>,
    waiting: BTreeSet<(LogPosition, WriteTicket)>,
    /// The last write whose time ran out, until a majority holds it.
    overdue: Option<OverdueWrite>,
    /// Whether a promotion has begun, so that the present term acknowledges nothing more.
    suspended: bool,
    last_ticket: u64,
    samples: PositionSamples,
    /// The round that reads join; it hasn't begun yet.
    next_round: RoundId,
    reads_joined: bool,
    confirmations: BTreeMap<RoundId, BTreeSet<InstanceName>>,
    confirmed_round: RoundId,
}

impl PositionQuorum {
    /// Creates the quorum of a group from its record.
    pub fn new(record: &GroupRecord) -> Self {
        Self {
            term: record.term,
            primary: record.primary.clone(),
            start: record.start,
            instances: record.instances.clone(),
            proposed: None,
            reports: BTreeMap::new(),
            acknowledged: LogPosition::default(),
            baseline: None,
            answered: None,
            waiting: BTreeSet::new(),
            overdue: None,
            suspended: false,
            last_ticket: 0,
            samples: PositionSamples::default(),
            next_round: RoundId(1),
            reads_joined: false,
            confirmations: BTreeMap::new(),
            confirmed_round: RoundId(0),
        }
    }

    /// Adopts a changed record and returns the writes that can no longer be acknowledged because
    /// their term is over.
    pub fn adopt_record(&mut self, record: &GroupRecord) -> Vec<WriteTicket> {
        if self
            .proposed
            .as_ref()
            .is_some_and(|set| same_members(set, &record.instances))
        {
            self.proposed = None;
        }
        self.instances = record.instances.clone();
        self.primary = record.primary.clone();
        self.start = record.start;
        if record.term == self.term {
            return Vec::new();
        }
        invariant!(record.term > self.term, "the term fell to {}", record.term);
        self.term = record.term;
        self.answered = None;
        self.overdue = None;
        self.confirmations.clear();
        self.suspended = false;
        self.abandon_writes()
    }

    /// Ends the present term when a promotion begins, and returns the writes that can no longer be
    /// acknowledged.
    ///
    /// Otherwise a status that was in flight while instances were fenced could release a write
    /// after the next primary was recorded.
    pub fn suspend(&mut self) -> Vec<WriteTicket> {
        self.suspended = true;
        self.abandon_writes()
    }

    fn abandon_writes(&mut self) -> Vec<WriteTicket> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Returns the present term.
    pub fn term(&self) -> GroupTerm {
        self.term
    }

    /// Returns the highest acknowledged position.
    pub fn acknowledged(&self) -> LogPosition {
        self.acknowledged
    }

    /// Returns an instance's last reported status.
    pub fn status(&self, instance: &InstanceName) -> Option<&InstanceStatus> {
        self.reports.get(instance)
    }

    /// Returns the highest position that a majority holds in the present term.
    pub fn majority_position(&self) -> Option<LogPosition> {
        let present = self.set_position(&self.instances);
        match &self.proposed {
            None => present,
            Some(proposed) => present.min(self.set_position(proposed)),
        }
    }

    /// Registers a write that must wait until a majority holds its position.
    ///
    /// The returned progress contains the write as released if a majority already holds it, and as
    /// abandoned if its position belongs to another term: the answer of a replaced primary may
    /// arrive while its successor serves, and every position of the new term would cover it
    /// although the successor may lack the write.
    pub fn await_majority(&mut self, position: LogPosition) -> (WriteTicket, QuorumProgress) {
        self.last_ticket += 1;
        let ticket = WriteTicket(self.last_ticket);
        if position.term != self.term || self.suspended {
            let mut progress = self.progress();
            progress.abandoned.push(ticket);
            return (ticket, progress);
        }
        self.waiting.insert((position, ticket));
        (ticket, self.progress())
    }

    /// Stops waiting for a write, for instance because its deadline has passed.
    pub fn give_up(&mut self, ticket: WriteTicket) {
        self.waiting.retain(|(_, waiting)| *waiting != ticket);
    }

    /// Stops waiting for a write that no majority held within `time`.
    pub fn give_up_overdue(&mut self, ticket: WriteTicket, time: Duration) {
        let mut waiting = self.waiting.iter();
        let position = waiting.find_map(|(position, held)| (*held == ticket).then_some(*position));
        if let Some(position) = position {
            self.overdue = Some(OverdueWrite { position, time });
        }
        self.give_up(ticket);
    }

    /// Returns whether a write timed out after at least `time` and a majority still doesn't hold
    /// it.
    ///
    /// Another write with as little time would run and end with an unknown outcome too.
    pub fn would_be_overdue(&self, time: Duration) -> bool {
        let majority = self.majority_position();
        self.overdue.is_some_and(|overdue| {
            let held = majority.is_some_and(|majority| majority.covers(overdue.position));
            !held && overdue.time >= time
        })
    }

    /// Returns the number of waiting writes.
    pub fn waiting_writes(&self) -> usize {
        self.waiting.len()
    }

    /// Records an instance's status, from a request that was sent at `sent` and answered at
    /// `received`.
    ///
    /// The latest report replaces an earlier one even if its position is lower: an instance that
    /// crashed may have lost its tail and no longer holds it.
    pub fn report(
        &mut self,
        sent: ClockTime,
        received: ClockTime,
        instance: &InstanceName,
        status: InstanceStatus,
    ) -> QuorumProgress {
        let leads = self.primary.as_ref() == Some(instance);
        if leads && self.is_stale_status(sent, &status) {
            return self.progress();
        }
        let holds_term_log = self.holds_term_log(&status);
        self.reports.insert(instance.clone(), status);
        if holds_term_log && leads {
            self.baseline.get_or_insert(status.position);
            self.samples.observe(sent, received, status.position);
        }
        self.progress()
    }

    /// Returns whether a status of the primary is older than its latest answer to a statement.
    ///
    /// Such a status was requested before that answer arrived and shows a lower position. If it
    /// replaced the newer position, an answered write would seem to be held by no instance, and
    /// reads of its session would wait for it.
    fn is_stale_status(&self, sent: ClockTime, status: &InstanceStatus) -> bool {
        self.answered.is_some_and(|answer| {
            let same_term = status.fenced_term == answer.position.term;
            same_term && sent < answer.received && status.position < answer.position
        })
    }

    /// Records the present primary's position from its answer, received at `received`, to a
    /// statement that was sent at `sent`.
    ///
    /// The position counts even while the primary's agent is silent.
    pub fn note_answer(
        &mut self,
        sent: ClockTime,
        received: ClockTime,
        instance: &InstanceName,
        position: LogPosition,
    ) -> QuorumProgress {
        if self.primary.as_ref() != Some(instance) || position.term != self.term {
            return self.progress();
        }
        let newest = self.answered.map(|answer| answer.position);
        let position = newest.map_or(position, |newest| newest.max(position));
        self.answered = Some(PrimaryAnswer { received, position });
        self.samples.observe(sent, received, position);
        if let Some(status) = self.reports.get_mut(instance)
            && status.fenced_term == self.term
        {
            status.position = status.position.max(position);
        }
        self.progress()
    }

    /// Discards an instance's last status, for instance because the instance is silent.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.reports.remove(instance);
    }

    /// Returns whether an instance may join the set now: it and a majority hold all acknowledged
    /// writes. An instance that joined empty could form a majority with others that lack them.
    pub fn may_add(&self, instance: &InstanceName) -> bool {
        let settled = self.is_settled(self.majority_position());
        let caught_up = self.is_settled(self.counted_position(instance));
        self.proposed.is_none() && settled && caught_up && !self.instances.contains(instance)
    }

    /// Returns whether an instance may leave the set now: a majority of the remaining instances
    /// also holds all acknowledged writes.
    pub fn may_remove(&self, instance: &InstanceName) -> bool {
        let rest = self.without(instance);
        let settled = self.is_settled(self.set_position(&rest));
        let known = rest.len() < self.instances.len();
        self.proposed.is_none() && settled && known && self.primary.as_ref() != Some(instance)
    }

    /// Returns whether a position covers everything that this or a former leaseholder acknowledged.
    fn is_settled(&self, position: Option<LogPosition>) -> bool {
        let Some((position, baseline)) = position.zip(self.baseline) else {
            return false;
        };
        position.covers(self.acknowledged) && position.covers(baseline)
    }

    /// Records a proposed addition. Until its outcome is known, writes need a majority of the set
    /// both with and without the instance.
    pub fn propose_add(&mut self, instance: &InstanceName) {
        let mut set = self.instances.clone();
        set.push(instance.clone());
        self.proposed = Some(set);
    }

    /// Records a proposed removal; see [`propose_add`](Self::propose_add).
    pub fn propose_remove(&mut self, instance: &InstanceName) {
        self.proposed = Some(self.without(instance));
    }

    /// Records that the proposed change was refused and can no longer be committed.
    pub fn withdraw_proposal(&mut self) -> QuorumProgress {
        self.proposed = None;
        self.progress()
    }

    /// Returns the round that a read joins. The read may be answered once the round is confirmed.
    pub fn join_read(&mut self) -> RoundId {
        self.reads_joined = true;
        self.next_round
    }

    /// Begins a round if reads have joined it. The caller then requests the status of all instances
    /// and passes the replies to [`confirm`](Self::confirm).
    pub fn begin_read_round(&mut self) -> Option<RoundId> {
        if !self.reads_joined {
            return None;
        }
        self.reads_joined = false;
        let round = self.next_round;
        self.next_round = RoundId(round.0 + 1);
        self.confirmations.insert(round, BTreeSet::new());
        Some(round)
    }

    /// Records the reply of an instance that was asked after a round began.
    ///
    /// A majority that knew no later term after the read began shows that no later primary had
    /// acknowledged anything before it, because a term begins only after a majority was fenced.
    pub fn confirm(
        &mut self,
        round: RoundId,
        instance: &InstanceName,
        fenced_term: GroupTerm,
    ) -> ReadProgress {
        if fenced_term > self.term {
            return ReadProgress::TermOver(fenced_term);
        }
        if round <= self.confirmed_round {
            return ReadProgress::Confirmed(round);
        }
        if fenced_term < self.term {
            return ReadProgress::Pending;
        }
        // A reply to a later round was also requested after the earlier rounds began.
        for (_, names) in self.confirmations.range_mut(..=round) {
            names.insert(instance.clone());
        }
        // Rounds of an earlier term were discarded with it.
        let Some(names) = self.confirmations.get(&round) else {
            return ReadProgress::TermOver(self.term);
        };
        if !self.is_majority(names) {
            return ReadProgress::Pending;
        }
        self.confirmed_round = round;
        self.confirmations.retain(|begun, _| *begun > round);
        ReadProgress::Confirmed(round)
    }

    /// Returns an upper bound, by this process's clock, on how far an instance's data is behind the
    /// primary's. `None` if it is unknown; the instance then serves no read with a maximum age.
    pub fn age_bound(&self, instance: &InstanceName, now: ClockTime) -> Option<Duration> {
        let position = self.counted_position(instance)?;
        let fresh = self.samples.last_covered_at(position)?;
        Some(now.since(fresh))
    }

    /// Returns how long a majority has lacked a position that the primary holds, which is the least
    /// time that a write must wait.
    ///
    /// `None` if it is unknown, as right after a promotion. Only observed positions count.
    /// [`age_bound`](Self::age_bound) isn't suitable here: it also grows while no status arrives
    /// from an idle primary, and it caused writes to be refused that a majority would have held at
    /// once.
    pub fn majority_lag(&self, now: ClockTime) -> Option<Duration> {
        let instances = self.instances.iter();
        let mut lags: SmallVec<[Duration; 4]> = instances
            .filter_map(|instance| match self.primary.as_ref() == Some(instance) {
                true => Some(Duration::ZERO),
                false => self.observed_lag(instance, now),
            })
            .collect();
        lags.sort_unstable();
        lags.get(majority(self.instances.len()) - 1).copied()
    }

    /// Returns how long an instance has lacked a position that the primary was observed to hold.
    fn observed_lag(&self, instance: &InstanceName, now: ClockTime) -> Option<Duration> {
        let position = self.counted_position(instance)?;
        let overtaken = self.samples.overtaken_since(position);
        Some(overtaken.map_or(Duration::ZERO, |since| now.since(since)))
    }

    /// Returns an instance's position if the instance holds the present term's log.
    pub fn counted_position(&self, instance: &InstanceName) -> Option<LogPosition> {
        let status = self.reports.get(instance)?;
        self.holds_term_log(status).then_some(status.position)
    }

    /// Returns the position that all instances of the set have passed in the present term. Session
    /// positions up to it can be discarded.
    pub fn passed_by_all(&self) -> Option<LogPosition> {
        let positions = self
            .instances
            .iter()
            .map(|name| self.counted_position(name));
        positions.min().flatten()
    }

    /// Returns whether an instance holds the present term's log.
    ///
    /// An instance that follows the term but hasn't reached its first position lacks writes of
    /// earlier terms.
    fn holds_term_log(&self, status: &InstanceStatus) -> bool {
        let reached = status.position.index >= self.start.index;
        status.fenced_term == self.term && status.position.term == self.term && reached
    }

    fn without(&self, instance: &InstanceName) -> InstanceSet {
        let rest = self.instances.iter().filter(|name| *name != instance);
        rest.cloned().collect()
    }

    fn set_position(&self, set: &InstanceSet) -> Option<LogPosition> {
        let counted = set.iter().filter_map(|name| self.counted_position(name));
        let mut positions: SmallVec<[LogPosition; 4]> = counted.collect();
        positions.sort_unstable_by(|one, other| other.cmp(one));
        positions.get(majority(set.len()) - 1).copied()
    }

    fn is_majority(&self, names: &BTreeSet<InstanceName>) -> bool {
        let holds = |set: &InstanceSet| {
            let count = set.iter().filter(|name| names.contains(*name)).count();
            count >= majority(set.len())
        };
        holds(&self.instances) && self.proposed.as_ref().is_none_or(holds)
    }

    fn progress(&mut self) -> QuorumProgress {
        let fenced = self.reports.values().map(|status| status.fenced_term);
        let mut progress = QuorumProgress {
            later_term: fenced.max().filter(|fenced| *fenced > self.term),
            ..QuorumProgress::default()
        };
        let majority = self.majority_position().filter(|_| !self.suspended);
        let Some(majority) = majority else {
            return progress;
        };
        while let Some((position, ticket)) = self.waiting.first().copied() {
            if !majority.covers(position) {
                break;
            }
            self.waiting.pop_first();
            self.check_release(position);
            self.acknowledged = self.acknowledged.max(position);
            progress.released.push(ticket);
        }
        progress
    }

    /// Checks, by an independent count, that a majority holds a write before it is released.
    fn check_release(&self, position: LogPosition) {
        let holds = |name: &&InstanceName| {
            let status = self.reports.get(*name);
            status.is_some_and(|status| {
                status.fenced_term == self.term
                    && status.position.term == self.term
                    && status.position.covers(position)
            })
        };
        let count = self.instances.iter().filter(holds).count();
        invariant!(
            2 * count > self.instances.len(),
            "write at {position} released with {count} of {} instances",
            self.instances.len()
        );
    }
}

/// Returns the smallest number of instances that is a majority of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

fn same_members(one: &InstanceSet, other: &InstanceSet) -> bool {
    one.len() == other.len() && one.iter().all(|name| other.contains(name))
}
