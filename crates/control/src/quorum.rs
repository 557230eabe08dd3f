//! Which writes a majority holds, and which reads a majority has confirmed.
//!
//! Load: replication is asynchronous, and a primary is cut off or dies right after it has answered.
//! If a write were acknowledged as soon as the primary has it, the promoted instance could lack it
//! and an applicant would queue again. So a write is released only when a majority of the group's
//! instances hold its position in the present term; a promotion fences a majority, and so meets at
//! least one instance that holds it.

use crate::ClockTime;
use crate::history::PositionHistory;
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

/// The instances that count towards a majority.
pub type InstanceSet = SmallVec<[InstanceName; 4]>;

/// Identifies a write that waits for a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct WriteTicket(pub u64);

/// Identifies a round of status requests that confirms reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RoundId(pub u64);

/// What a status report led to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuorumProgress {
    /// Writes that may be acknowledged now.
    pub released: Vec<WriteTicket>,
    /// Writes that can't be acknowledged any more: their answer is that they may have run.
    pub abandoned: Vec<WriteTicket>,
    /// A later term that an instance was fenced at: the present term is over.
    pub later_term: Option<GroupTerm>,
}

/// How far the reads of a round are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// Reads of this round and all before it may be answered.
    Confirmed(RoundId),
    /// More instances have to answer.
    Pending,
    /// An instance was fenced at this later term: no read of the present term may be answered.
    TermOver(GroupTerm),
}

/// What the primary's answer to a statement showed.
#[derive(Clone, Copy, Debug)]
struct PrimaryAnswer {
    /// When the answer came.
    came: ClockTime,
    position: LogPosition,
}

/// A write that no majority held in time.
#[derive(Clone, Copy, Debug)]
struct OverdueWrite {
    position: LogPosition,
    /// The time that it had.
    time: Duration,
}

/// The majority of a group's instances, in one term.
#[derive(Clone, Debug)]
pub struct PositionQuorum {
    term: GroupTerm,
    primary: Option<InstanceName>,
    /// Where the term began.
    start: LogPosition,
    instances: InstanceSet,
    /// A change of the set whose outcome isn't known; both sets have to agree meanwhile.
    proposed: Option<InstanceSet>,
    reports: BTreeMap<InstanceName, InstanceStatus>,
    acknowledged: LogPosition,
    /// The primary's first position that this process saw: a former leaseholder may have
    /// acknowledged writes up to it. `None` before that.
    baseline: Option<LogPosition>,
    /// Where the primary stood by its latest answer to a statement.
    answered: Option<PrimaryAnswer>,
    waiting: BTreeSet<(LogPosition, WriteTicket)>,
    /// The last write that was given up on, until a majority holds it.
    overdue: Option<OverdueWrite>,
    /// Whether a promotion has begun; the present term acknowledges nothing any more.
    suspended: bool,
    last_ticket: u64,
    history: PositionHistory,
    /// The round that reads join; it hasn't begun.
    next_round: RoundId,
    joined: bool,
    confirmations: BTreeMap<RoundId, BTreeSet<InstanceName>>,
    confirmed_round: RoundId,
}

impl PositionQuorum {
    /// Creates the quorum of a group as its record stands.
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
            history: PositionHistory::default(),
            next_round: RoundId(1),
            joined: false,
            confirmations: BTreeMap::new(),
            confirmed_round: RoundId(0),
        }
    }

    /// Takes over a changed record and returns the writes that can't be acknowledged any more,
    /// because their term is over.
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

    /// Ends the present term, as a promotion begins, and returns the writes that can't be
    /// acknowledged any more.
    ///
    /// A status that was on its way while instances were fenced would otherwise release a write
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

    /// Returns the highest position whose write was acknowledged.
    pub fn acknowledged(&self) -> LogPosition {
        self.acknowledged
    }

    /// Returns what an instance last reported.
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

    /// Lets a write wait until a majority holds its position.
    ///
    /// The write is among the released ones of this call's progress if a majority holds it already.
    /// It is among the abandoned ones if its position is of another term: the answer of a replaced
    /// primary may arrive when its successor serves, and any position of the new term would cover
    /// it, though the successor may lack the write.
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

    /// Stops waiting for a write, as when its deadline has passed.
    pub fn give_up(&mut self, ticket: WriteTicket) {
        self.waiting.retain(|(_, waiting)| *waiting != ticket);
    }

    /// Stops waiting for a write that no majority held in the time that it had.
    pub fn give_up_overdue(&mut self, ticket: WriteTicket, time: Duration) {
        let mut waiting = self.waiting.iter();
        let position = waiting.find_map(|(position, held)| (*held == ticket).then_some(*position));
        if let Some(position) = position {
            self.overdue = Some(OverdueWrite { position, time });
        }
        self.give_up(ticket);
    }

    /// Says whether a write that had at least as much time was given up on and a majority still lacks it.
    ///
    /// Another one would run and end in doubt as well.
    pub fn is_overdue_beyond(&self, time: Duration) -> bool {
        let majority = self.majority_position();
        self.overdue.is_some_and(|overdue| {
            let held = majority.is_some_and(|majority| majority.covers(overdue.position));
            !held && overdue.time >= time
        })
    }

    /// Returns the number of writes that wait.
    pub fn waiting_writes(&self) -> usize {
        self.waiting.len()
    }

    /// Takes an instance's status, from a request that was sent at `sent` and answered at `came`.
    ///
    /// The latest report counts, even if it is lower: an instance that crashed may have lost its
    /// tail, and then doesn't hold it any more.
    pub fn report(
        &mut self,
        sent: ClockTime,
        came: ClockTime,
        instance: &InstanceName,
        status: InstanceStatus,
    ) -> QuorumProgress {
        let leads = self.primary.as_ref() == Some(instance);
        if leads && self.is_overtaken(sent, &status) {
            return self.progress();
        }
        let counts = self.counts(&status);
        self.reports.insert(instance.clone(), status);
        if counts && leads {
            self.baseline.get_or_insert(status.position);
            self.history.observe(sent, came, status.position);
        }
        self.progress()
    }

    /// Says whether a primary's status was overtaken by its answer to a statement.
    ///
    /// It was asked for before that answer came and says less, so it was on its way meanwhile. Taken for
    /// the present it would hide a write that was answered: one would notice reads of a session that
    /// wait for a position which nobody seems to hold.
    fn is_overtaken(&self, sent: ClockTime, status: &InstanceStatus) -> bool {
        self.answered.is_some_and(|answer| {
            let same_term = status.fenced_term == answer.position.term;
            same_term && sent < answer.came && status.position < answer.position
        })
    }

    /// Takes what an answer to a statement, sent at `sent`, shows of the present primary's position.
    ///
    /// It counts also while nothing is heard of the primary's agent.
    pub fn note_answer(
        &mut self,
        sent: ClockTime,
        came: ClockTime,
        instance: &InstanceName,
        position: LogPosition,
    ) -> QuorumProgress {
        if self.primary.as_ref() != Some(instance) || position.term != self.term {
            return self.progress();
        }
        let newest = self.answered.map(|answer| answer.position);
        let position = newest.map_or(position, |newest| newest.max(position));
        self.answered = Some(PrimaryAnswer { came, position });
        self.history.observe(sent, came, position);
        if let Some(status) = self.reports.get_mut(instance)
            && status.fenced_term == self.term
        {
            status.position = status.position.max(position);
        }
        self.progress()
    }

    /// Forgets what an instance reported, as when it is silent.
    pub fn forget(&mut self, instance: &InstanceName) {
        self.reports.remove(instance);
    }

    /// Says whether an instance may join the set now: it and a majority hold all that was
    /// acknowledged. An instance that joins empty could help to outvote those that hold it.
    pub fn may_add(&self, instance: &InstanceName) -> bool {
        let settled = self.is_settled(self.majority_position());
        let caught_up = self.is_settled(self.counted_position(instance));
        self.proposed.is_none() && settled && caught_up && !self.instances.contains(instance)
    }

    /// Says whether an instance may leave the set now: a majority of the others, too, holds all
    /// that was acknowledged.
    pub fn may_remove(&self, instance: &InstanceName) -> bool {
        let rest = self.without(instance);
        let settled = self.is_settled(self.set_position(&rest));
        let known = rest.len() < self.instances.len();
        self.proposed.is_none() && settled && known && self.primary.as_ref() != Some(instance)
    }

    /// Says whether a position covers all that this or a former leaseholder acknowledged.
    fn is_settled(&self, position: Option<LogPosition>) -> bool {
        let Some((position, baseline)) = position.zip(self.baseline) else {
            return false;
        };
        position.covers(self.acknowledged) && position.covers(baseline)
    }

    /// Notes that an addition was proposed. Until its outcome is known, writes need a majority of
    /// the set with and without the instance.
    pub fn propose_add(&mut self, instance: &InstanceName) {
        let mut set = self.instances.clone();
        set.push(instance.clone());
        self.proposed = Some(set);
    }

    /// Notes that a removal was proposed; see [`propose_add`](Self::propose_add).
    pub fn propose_remove(&mut self, instance: &InstanceName) {
        self.proposed = Some(self.without(instance));
    }

    /// Notes that the proposed change was refused and can't be committed any more.
    pub fn withdraw_proposal(&mut self) -> QuorumProgress {
        self.proposed = None;
        self.progress()
    }

    /// Returns the round that a read joins. It may be answered once this round is confirmed.
    pub fn join_read(&mut self) -> RoundId {
        self.joined = true;
        self.next_round
    }

    /// Begins a round if reads have joined it. The caller then asks all instances for their status
    /// and passes the answers to [`confirm`](Self::confirm).
    pub fn begin_read_round(&mut self) -> Option<RoundId> {
        if !self.joined {
            return None;
        }
        self.joined = false;
        let round = self.next_round;
        self.next_round = RoundId(round.0 + 1);
        self.confirmations.insert(round, BTreeSet::new());
        Some(round)
    }

    /// Takes the answer of an instance that was asked after a round began.
    ///
    /// A majority that knew no later term after the read began shows that no later primary had
    /// acknowledged anything before it: a term needs a majority to be fenced first.
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
        // An answer to a later round was also asked for after the earlier ones began.
        for (_, names) in self.confirmations.range_mut(..=round) {
            names.insert(instance.clone());
        }
        // The rounds of an earlier term were dropped with it.
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

    /// Returns the most that an instance's data can be behind the primary's, by this process's
    /// clock. `None` means that it isn't known: the instance serves no read that has an age.
    pub fn age_bound(&self, instance: &InstanceName, now: ClockTime) -> Option<Duration> {
        let position = self.counted_position(instance)?;
        let fresh = self.history.last_covered(position)?;
        Some(now.since(fresh))
    }

    /// Returns how long a majority has lacked something that the primary holds: what a write has to wait
    /// for at least.
    ///
    /// `None` means that it isn't known, as right after a promotion. Only what was seen counts. The
    /// [`age_bound`](Self::age_bound) also grows while nothing is heard of a primary that stands still;
    /// writes that a majority would have held at once were refused by it.
    pub fn majority_lag(&self, now: ClockTime) -> Option<Duration> {
        let instances = self.instances.iter();
        let mut lags: SmallVec<[Duration; 4]> = instances
            .filter_map(|instance| match self.primary.as_ref() == Some(instance) {
                true => Some(Duration::ZERO),
                false => self.shown_lag(instance, now),
            })
            .collect();
        lags.sort_unstable();
        lags.get(majority(self.instances.len()) - 1).copied()
    }

    /// Returns how long an instance has lacked something that the primary was seen to hold.
    fn shown_lag(&self, instance: &InstanceName, now: ClockTime) -> Option<Duration> {
        let position = self.counted_position(instance)?;
        let passed = self.history.passed_since(position);
        Some(passed.map_or(Duration::ZERO, |since| now.since(since)))
    }

    /// Returns an instance's position, if it follows the present term.
    pub fn counted_position(&self, instance: &InstanceName) -> Option<LogPosition> {
        let status = self.reports.get(instance)?;
        self.counts(status).then_some(status.position)
    }

    /// Returns the position that all instances of the set have passed in the present term, for
    /// forgetting sessions.
    pub fn passed_by_all(&self) -> Option<LogPosition> {
        let positions = self
            .instances
            .iter()
            .map(|name| self.counted_position(name));
        positions.min().flatten()
    }

    /// Says whether an instance holds the present term's log.
    ///
    /// One that follows the term but hasn't reached its start yet lacks writes of earlier terms.
    fn counts(&self, status: &InstanceStatus) -> bool {
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

    /// Counts anew, in another way, that a write is held by a majority before it is released.
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

/// Returns the smallest number of instances that is more than half of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

fn same_members(one: &InstanceSet, other: &InstanceSet) -> bool {
    one.len() == other.len() && one.iter().all(|name| other.contains(name))
}
