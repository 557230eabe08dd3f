//! Simulation in virtual time of the limits of many accounts over five VMs that lead eight groups:
//! the calls to the ledgers, the declarations and the rounds of the daemon's limiter.

use ragwort_policy::ClockTime;
use ragwort_policy::LedgerRequest;
use ragwort_policy::LedgerTable;
use ragwort_policy::LimitShares;
use ragwort_policy::LimitTolerance;
use ragwort_policy::TakeDecision;
use ragwort_policy::WaitTicket;
use ragwort_policy::WaitersOutcome;
use ragwort_types::AccountGrant;
use ragwort_types::AccountLimit;
use ragwort_types::AccountName;
use ragwort_types::AccountShareRequest;
use ragwort_types::GroupName;
use ragwort_types::PlacementEpoch;
use ragwort_types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

pub const VMS: usize = 5;
pub const GROUPS: usize = 8;
pub const ACCOUNTS: usize = 80;

const STEP: Duration = Duration::from_millis(2);

/// The span over which a limit is counted.
const SPAN: Duration = Duration::from_secs(5);

const TOLERANCE: LimitTolerance = LimitTolerance {
    operations: 20,
    per_mille: 100,
};

/// The time limit of a call to a ledger, and the pause between rounds and before a declaration is
/// repeated, as in the daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
const ROUND_PAUSE: Duration = Duration::from_millis(50);
const WAITING_ROUND_PAUSE: Duration = Duration::from_millis(20);

/// How often a refused caller repeats an operation, and within which time.
const RETRIES: u32 = 2;
const CALLER_DEADLINE: Duration = Duration::from_millis(1_200);

/// The ratio of an account's limit to its usual rate.
const LIMIT_RATIO: f64 = 1.6;

/// A call to a VM that keeps ledgers.
struct LedgerCall {
    sent: ClockTime,
    arrives: ClockTime,
    returns: ClockTime,
    declared: BTreeSet<usize>,
    requests: Vec<AccountShareRequest>,
    reply: Option<LedgerReply>,
}

#[derive(Default)]
struct LedgerReply {
    grants: Vec<AccountGrant>,
    declared: BTreeSet<usize>,
    undeclared: BTreeSet<usize>,
}

/// One process.
pub struct SimulatedVm {
    shares: LimitShares,
    ledgers: LedgerTable,
    started: ClockTime,
    lease_from: ClockTime,
    /// The keeper and epoch of each group, as this VM knows them.
    placements: Vec<(usize, u64)>,
    undeclared: BTreeSet<usize>,
    declare_after: BTreeMap<usize, ClockTime>,
    calls: BTreeMap<usize, LedgerCall>,
    next_round: ClockTime,
    /// Until when it does nothing.
    pub frozen_until: ClockTime,
    /// Whether it is lost for good.
    pub lost: bool,
}

impl SimulatedVm {
    fn new(started: ClockTime, lease_from: ClockTime) -> Self {
        let mut shares = LimitShares::new(started);
        shares.set_holders(TOLERANCE, VMS);
        Self {
            shares,
            ledgers: LedgerTable::new(TOLERANCE),
            started,
            lease_from,
            placements: vec![(usize::MAX, 0); GROUPS],
            undeclared: BTreeSet::new(),
            declare_after: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_round: started,
            frozen_until: started,
            lost: false,
        }
    }

    fn serves(&self, now: ClockTime) -> bool {
        !self.lost && now >= self.frozen_until && now >= self.lease_from
    }
}

/// An operation of a caller, who repeats it if it is refused.
#[derive(Clone, Copy)]
struct Operation {
    account: usize,
    arrived: ClockTime,
    retries_left: u32,
}

/// The VMs, their accounts and what became of the operations.
pub struct LimitFleet {
    random: StdRng,
    pub now: ClockTime,
    pub vms: Vec<SimulatedVm>,
    /// The keeper and epoch of each group.
    placements: Vec<(usize, u64)>,
    limits: Vec<AccountLimit>,
    begins: Vec<Vec<ClockTime>>,
    /// Operations that arrived while no VM served.
    pent_up: Vec<Operation>,
    /// Operations that wait for a token at a VM.
    waiting: BTreeMap<(usize, WaitTicket), Operation>,
    /// Refused operations, by the time at which they are repeated.
    retries: Vec<(ClockTime, Operation)>,
    pub arrived: usize,
    pub refused: usize,
    /// The operations that were refused at last.
    pub lost: usize,
}

fn account(number: usize) -> AccountName {
    format!("library-{number}").into()
}

fn number_of(account: &AccountName) -> usize {
    account.as_str()["library-".len()..].parse().unwrap()
}

fn group(number: usize) -> GroupName {
    format!("shelf-{number}").into()
}

fn vm_name(number: usize) -> VmName {
    format!("vm-{number}").into()
}

impl LimitFleet {
    /// Starts all VMs. The accounts' usual rates fall with their number and amount to `total`
    /// operations a second.
    pub fn start(seed: u64, total: f64) -> Self {
        let weights: Vec<f64> = (1..=ACCOUNTS).map(|number| 1.0 / number as f64).collect();
        let whole = weights.iter().sum::<f64>();
        let limits = weights.iter().map(|weight| {
            let rate = total * weight / whole * LIMIT_RATIO;
            AccountLimit {
                per_thousand_seconds: (rate * 1_000.0) as u64,
                burst: rate.ceil() as u64,
            }
        });
        let now = ClockTime::from_millis(60_000);
        Self {
            random: StdRng::seed_from_u64(seed),
            now,
            vms: (0..VMS).map(|_| SimulatedVm::new(now, now)).collect(),
            placements: (0..GROUPS).map(|group| (group % VMS, 1)).collect(),
            limits: limits.collect(),
            begins: vec![Vec::new(); ACCOUNTS],
            pent_up: Vec::new(),
            waiting: BTreeMap::new(),
            retries: Vec::new(),
            arrived: 0,
            refused: 0,
            lost: 0,
        }
    }

    /// Runs for a time in which each account gets `load` times its usual rate.
    pub fn run(&mut self, time: Duration, load: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.arrive(load);
            for number in 0..VMS {
                if self.now >= self.vms[number].frozen_until && !self.vms[number].lost {
                    self.learn_placements(number);
                    self.advance_calls(number);
                    self.settle_due(number);
                    self.run_round(number);
                }
            }
        }
    }

    /// All processes lose power, and start within 0.3 s of each other 0.7 s later.
    pub fn restart_all(&mut self) {
        for number in 0..VMS {
            let spread = Duration::from_millis(self.random.random_range(0..300));
            let started = self.now + Duration::from_millis(700) + spread;
            let heartbeat = Duration::from_millis(self.random.random_range(0..100));
            let lease_from = self.now + Duration::from_millis(1_200) + heartbeat;
            self.vms[number] = SimulatedVm::new(started, lease_from.max(started));
        }
        self.waiting.clear();
    }

    /// Places a VM's groups on the others.
    pub fn move_groups_from(&mut self, vm: usize) {
        for (group, placement) in self.placements.iter_mut().enumerate() {
            if placement.0 == vm {
                *placement = ((vm + 1 + group % (VMS - 1)) % VMS, placement.1 + 2);
            }
        }
    }

    fn arrive(&mut self, load: f64) {
        for number in 0..ACCOUNTS {
            let usual = self.limits[number].rate() / LIMIT_RATIO;
            if self.random.random_bool(usual * load * STEP.as_secs_f64()) {
                self.pent_up.push(Operation {
                    account: number,
                    arrived: self.now,
                    retries_left: RETRIES,
                });
            }
        }
        let now = self.now;
        let due = self.retries.extract_if(.., |(due, _)| *due <= now);
        self.pent_up.extend(due.map(|(_, operation)| operation));
        let ready = |vm: &SimulatedVm| vm.serves(self.now);
        if !self.vms.iter().any(ready) {
            return;
        }
        for operation in std::mem::take(&mut self.pent_up) {
            let group = self.random.random_range(0..GROUPS);
            let vm = self.placements[group].0;
            // The callers of a group whose leaseholder doesn't serve wait for the next one.
            match self.vms[vm].serves(self.now) {
                true => self.begin(operation, vm),
                false => self.pent_up.push(operation),
            }
        }
    }

    fn begin(&mut self, operation: Operation, vm: usize) {
        let number = operation.account;
        let (now, limit) = (self.now, self.limits[number]);
        self.arrived += usize::from(operation.retries_left == RETRIES);
        // Half of the targets of 200, 400 and 1,500 ms, less the time in the network.
        let wait = match self.random.random_range(0..100) {
            0..13 => 95,
            13..76 => 195,
            _ => 745,
        };
        let latest = now + Duration::from_millis(wait);
        let shares = &mut self.vms[vm].shares;
        match shares.take(now, &account(number), limit, latest) {
            TakeDecision::Admitted => self.begins[number].push(now),
            TakeDecision::Waits(ticket) => {
                self.waiting.insert((vm, ticket), operation);
                self.vms[vm].next_round = now;
            }
            TakeDecision::Refused => self.refuse(operation, vm),
        }
    }

    fn refuse(&mut self, operation: Operation, vm: usize) {
        self.refused += 1;
        let limit = self.limits[operation.account];
        let after = Duration::from_millis(self.vms[vm].shares.retry_after_ms(limit));
        let due = self.now + after;
        if operation.retries_left == 0 || due.since(operation.arrived) >= CALLER_DEADLINE {
            self.lost += 1;
            return;
        }
        let retries_left = operation.retries_left - 1;
        let operation = Operation {
            retries_left,
            ..operation
        };
        self.retries.push((due, operation));
    }

    /// Learns of changed placements, the keeper itself at once, the others some time later.
    fn learn_placements(&mut self, number: usize) {
        let now = self.now;
        if now < self.vms[number].started {
            return;
        }
        for group in 0..GROUPS {
            let placement = self.placements[group];
            let heard = placement.0 == number || self.random.random_bool(0.05);
            let vm = &mut self.vms[number];
            if heard && vm.placements[group] != placement {
                vm.placements[group] = placement;
                vm.undeclared.insert(group);
            }
        }
        let vm = &mut self.vms[number];
        let led = vm.placements.iter().enumerate();
        let led = led.filter(|(_, (keeper, _))| *keeper == number);
        let led = led.map(|(index, (_, epoch))| (group(index), PlacementEpoch(*epoch)));
        vm.ledgers.set_led_groups(now, &led.collect());
    }

    fn run_round(&mut self, number: usize) {
        let now = self.now;
        let vm = &mut self.vms[number];
        if now < vm.next_round {
            return;
        }
        vm.next_round = now
            + match vm.shares.next_settling() {
                Some(_) => WAITING_ROUND_PAUSE,
                None => ROUND_PAUSE,
            };
        let placements = vm.placements.clone();
        let keeper_of = |name: &AccountName| placements[number_of(name) % GROUPS].0;
        let calls = &vm.calls;
        let due = vm
            .shares
            .due_share_requests(now, |name| !calls.contains_key(&keeper_of(name)));
        let mut requests: BTreeMap<usize, Vec<AccountShareRequest>> = BTreeMap::new();
        for request in due {
            requests
                .entry(keeper_of(&request.account))
                .or_default()
                .push(request);
        }
        let mut declared: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        for group in vm.undeclared.clone() {
            let keeper = placements[group].0;
            let later = vm.declare_after.get(&keeper).is_some_and(|at| now < *at);
            if !later && !vm.calls.contains_key(&keeper) {
                vm.undeclared.remove(&group);
                declared.entry(keeper).or_default().insert(group);
                let asked = requests.entry(keeper).or_default();
                let held = vm
                    .shares
                    .list_held(now, |name| number_of(name) % GROUPS == group);
                for share in held {
                    if asked.iter().all(|one| one.account != share.account) {
                        asked.push(share);
                    }
                }
            }
        }
        for (keeper, requests) in requests {
            let latency = match keeper == number || keeper >= VMS {
                true => Duration::ZERO,
                false => Duration::from_millis(self.random.random_range(1..4)),
            };
            let call = LedgerCall {
                sent: now,
                arrives: now + latency,
                returns: now + latency * 2,
                declared: declared.remove(&keeper).unwrap_or_default(),
                requests,
                reply: None,
            };
            self.vms[number].calls.insert(keeper, call);
        }
        self.advance_calls(number);
    }

    fn advance_calls(&mut self, number: usize) {
        for (keeper, mut call) in std::mem::take(&mut self.vms[number].calls) {
            let now = self.now;
            let arrives = now >= call.arrives && call.reply.is_none();
            if arrives && keeper < VMS && self.vms[keeper].serves(now) {
                call.reply = Some(self.answer(number, keeper, &call));
            }
            let answered = call.reply.is_some() && now >= call.returns;
            // A process that doesn't serve yet answers without a grant; a lost one doesn't answer.
            let empty = keeper >= VMS || !self.vms[keeper].lost && !self.vms[keeper].serves(now);
            let over = now.since(call.sent) >= CALL_TIMEOUT || empty && now >= call.returns;
            if !answered && !over {
                self.vms[number].calls.insert(keeper, call);
                continue;
            }
            self.finish_call(number, keeper, call);
        }
    }

    fn answer(&mut self, number: usize, keeper: usize, call: &LedgerCall) -> LedgerReply {
        let holders: Vec<VmName> = (0..VMS).map(vm_name).collect();
        let leaders: BTreeSet<usize> = self.vms[keeper]
            .placements
            .iter()
            .map(|(vm, _)| *vm)
            .collect();
        let leaders: Vec<VmName> = leaders.into_iter().map(vm_name).collect();
        let holder = vm_name(number);
        let started = self.vms[number].started;
        let ledgers = &mut self.vms[keeper].ledgers;
        let grants = call.requests.iter().filter_map(|share_request| {
            let account = number_of(&share_request.account);
            let request = LedgerRequest {
                holder: &holder,
                started,
                home: &group(account % GROUPS),
                limit: self.limits[account],
                holders: &holders,
                leaders: &leaders,
            };
            ledgers.lend(self.now, request, share_request)
        });
        let grants = grants.collect();
        let declared = call.declared.iter().copied();
        let taken = declared.filter(|one| ledgers.note_declared(&group(*one), &holder, started));
        let declared = taken.collect();
        let homes = call.requests.iter();
        let homes = homes.map(|one| number_of(&one.account) % GROUPS);
        let undeclared = homes.filter(|home| ledgers.awaits_declaration(&group(*home), &holder));
        LedgerReply {
            grants,
            declared,
            undeclared: undeclared.collect(),
        }
    }

    fn finish_call(&mut self, number: usize, keeper: usize, call: LedgerCall) {
        let now = self.now;
        let reply = call.reply.unwrap_or_default();
        let vm = &mut self.vms[number];
        vm.undeclared.extend(&reply.undeclared);
        for group in call.declared.difference(&reply.declared) {
            vm.undeclared.insert(*group);
            vm.declare_after.insert(keeper, now + ROUND_PAUSE);
        }
        vm.next_round = now;
        for request in &call.requests {
            let grant = reply
                .grants
                .iter()
                .find(|one| one.account == request.account);
            let end = match grant {
                Some(grant) => self.vms[number].shares.take_grant(now, call.sent, grant),
                None => self.vms[number]
                    .shares
                    .note_unanswered(now, &request.account),
            };
            self.settle(number, &end);
        }
    }

    fn settle_due(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if vm.shares.next_settling().is_none_or(|due| self.now < due) {
            return;
        }
        vm.next_round = self.now;
        for (_, outcome) in vm.shares.settle_due(self.now) {
            self.settle(number, &outcome);
        }
    }

    fn settle(&mut self, vm: usize, outcome: &WaitersOutcome) {
        for ticket in &outcome.admitted {
            let operation = self.waiting.remove(&(vm, *ticket)).unwrap();
            self.begins[operation.account].push(self.now);
        }
        for ticket in &outcome.refused {
            let operation = self.waiting.remove(&(vm, *ticket)).unwrap();
            self.refuse(operation, vm);
        }
    }

    /// Checks every span that starts with an operation.
    pub fn check_spans(&self) {
        for (begins, limit) in self.begins.iter().zip(&self.limits) {
            let allowed = limit.rate() * SPAN.as_secs_f64() + limit.burst as f64;
            let most = allowed * (1.0 + f64::from(TOLERANCE.per_mille) / 1_000.0)
                + f64::from(TOLERANCE.operations);
            let mut first = 0;
            for (last, begun) in begins.iter().enumerate() {
                while begun.since(begins[first]) > SPAN {
                    first += 1;
                }
                let count = last - first + 1;
                assert!(count as f64 <= most, "{count} in a span, allowed {most}");
            }
        }
    }
}
