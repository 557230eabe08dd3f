//! The other gateways through which a statement is sent when this gateway is cut off.
//!
//! The choice is made by [`RelayCandidates`]; this module applies it to the catalog and the links,
//! and reports the outcomes.

use crate::gateway::Attempt;
use crate::gateway::CONNECT_WAIT_LIMIT;
use crate::gateway::Gateway;
use crate::gateway::HandOver;
use crate::gateway::PeerAddresses;
use crate::log_event;
use crate::member::MemberView;
use crate::statements::links::LinkReadiness;
use log::Level;
use ragwort_control::CatalogCopy;
use ragwort_control::ClockTime;
use ragwort_policy::OwnLease;
use ragwort_policy::RelayCandidates;
use ragwort_policy::RelayChange;
use ragwort_policy::RelayOutcome;
use ragwort_policy::RelaySearch;
use ragwort_policy::RelayStep;
use ragwort_policy::WANTED_RELAYS;
use ragwort_types::DomainName;
use ragwort_types::MemberRecord;
use ragwort_types::RefusalCause;
use ragwort_types::VmName;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;
use tokio::sync::watch;

/// The candidates of one gateway, shared by its statements.
pub(crate) struct RelayGateways {
    state: Mutex<RelayState>,
    /// Changed when the first candidate works, for the statements that wait for a connection to
    /// another one.
    found: watch::Sender<u64>,
}

struct RelayState {
    candidates: RelayCandidates,
    /// The catalog copy that the candidates were taken from.
    copy: Weak<CatalogCopy>,
    /// Whether the lease has ended since the outcomes were last forgotten.
    lease_ended: bool,
}

/// A statement's assignment to a candidate. If its task is dropped, the candidate is released.
struct RelayTrial<'g> {
    relays: &'g RelayGateways,
    vm: Option<VmName>,
}

/// The result of the preparations to send a statement to a candidate.
enum LinkWait {
    Ready,
    Unreachable,
    /// Another candidate was found, or the connection isn't worth waiting for.
    Abandoned,
}

impl RelayGateways {
    pub(crate) fn new(vm: VmName, domain: DomainName) -> Self {
        let state = RelayState {
            candidates: RelayCandidates::new(vm, domain),
            copy: Weak::new(),
            lease_ended: false,
        };
        Self {
            state: Mutex::new(state),
            found: watch::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Takes the candidates from a view, if its catalog copy differs from the last one.
    ///
    /// Control VMs are left out, because this VM is cut off from them, and so are members that are
    /// reached by remote calls only.
    fn update(&self, view: &MemberView) {
        let mut state = self.state();
        let copy = Arc::downgrade(&view.copy);
        if Weak::ptr_eq(&copy, &state.copy) {
            return;
        }
        state.copy = copy;
        let is_candidate = |member: &&MemberRecord| {
            !member.traits.control && !member.draining && member.statement_address.is_some()
        };
        let members = view.copy.members().filter(is_candidate);
        let gateways = members.map(|member| (&member.id.vm, &member.domain));
        state.candidates.set_candidates(gateways);
    }

    /// Forgets the outcomes if the lease is back.
    pub(crate) fn note_lease(&self, lease: OwnLease) {
        let mut state = self.state();
        match lease {
            OwnLease::Ended => state.lease_ended = true,
            OwnLease::Held | OwnLease::InDoubt if state.lease_ended => {
                state.lease_ended = false;
                state.candidates.forget();
            }
            OwnLease::Held | OwnLease::InDoubt => {}
        }
    }

    pub(crate) fn is_isolated(&self, now: ClockTime) -> bool {
        self.state().candidates.is_isolated(now)
    }

    pub(crate) fn is_isolated_for(&self, now: ClockTime, time: Duration) -> bool {
        self.state().candidates.is_isolated_for(now, time)
    }
}

impl Drop for RelayTrial<'_> {
    fn drop(&mut self) {
        if let Some(vm) = self.vm.take() {
            self.relays.state().candidates.release(&vm);
        }
    }
}

impl Gateway {
    /// Hands a statement to another gateway, which forwards it to the leaseholder.
    ///
    /// A gateway that is cut off from all control VMs and leaseholders, but not from its callers,
    /// would otherwise refuse their statements for as long as that lasts, and the balancer keeps
    /// sending it new callers where most gateways of a failure domain are cut off. The other
    /// gateway uses its own catalog copy, and the leaseholder checks lease and contract, so nothing
    /// depends on this gateway's copy.
    ///
    /// A statement whose reply was lost goes to the next candidate only if it may be sent again.
    pub(crate) async fn relay_through_gateways(
        &self,
        attempt: &mut Attempt<'_>,
        lease: OwnLease,
    ) -> HandOver {
        self.relays.update(&self.view.borrow());
        let group = attempt.request.group.clone();
        let mut search = RelaySearch::new(group, attempt.deadline, attempt.is_resendable());
        let mut found = self.relays.found.subscribe();
        loop {
            found.mark_unchanged();
            let step = {
                let candidates = &mut self.relays.state().candidates;
                candidates.next_step(self.clock.now(), lease, &mut search)
            };
            let (vm, waits) = match step {
                RelayStep::Try(vm) => (vm, true),
                RelayStep::TryIfConnected(vm) => (vm, false),
                RelayStep::NoLease => return HandOver::NotAccepted(RefusalCause::NoLease),
                RelayStep::NoLeaseholder => {
                    return HandOver::NotAccepted(RefusalCause::NoLeaseholder);
                }
            };
            let peer = self.find_member(&vm);
            let mut trial = RelayTrial {
                relays: &self.relays,
                vm: Some(vm),
            };
            let link = self.await_link(peer, waits, &mut found).await;
            let (outcome, taken) = match (link, peer) {
                (LinkWait::Abandoned, _) => continue,
                (LinkWait::Ready, Some(peer)) => {
                    let taken = self.hand_over_attempt(attempt, peer, true).await;
                    (self.judge_relay(&taken, peer).await, taken)
                }
                _ => (Some(RelayOutcome::Unreachable), HandOver::Unreachable),
            };
            if let Some(outcome) = outcome {
                self.note_relay_outcome(&mut trial, &mut search, outcome);
            }
            if outcome == Some(RelayOutcome::Unreachable) {
                self.connect_relay_gateways(lease);
            }
            if !attempt.may_go_on(&taken) {
                return taken;
            }
        }
    }

    /// Waits for a connection to a candidate, unless another candidate is found meanwhile.
    async fn await_link(
        &self,
        peer: Option<PeerAddresses>,
        waits: bool,
        found: &mut watch::Receiver<u64>,
    ) -> LinkWait {
        let Some(address) = peer.and_then(|peer| peer.statements) else {
            return LinkWait::Unreachable;
        };
        let links = &self.links.statements;
        let readiness = async {
            match links
                .check_readiness(address, false, Some(CONNECT_WAIT_LIMIT))
                .await
            {
                LinkReadiness::Ready if waits => links.verify(address).await,
                readiness => readiness,
            }
        };
        let readiness = tokio::select! {
            biased;
            readiness = readiness => readiness,
            () = std::future::ready(()), if !waits => return LinkWait::Abandoned,
            _ = found.changed() => return LinkWait::Abandoned,
        };
        match readiness {
            LinkReadiness::Ready => LinkWait::Ready,
            LinkReadiness::Pending | LinkReadiness::Down => LinkWait::Unreachable,
        }
    }

    /// Returns what a statement's fate says about the candidate that it was sent to; `None` if
    /// nothing.
    async fn judge_relay(&self, taken: &HandOver, peer: PeerAddresses) -> Option<RelayOutcome> {
        match taken {
            HandOver::Replied(_) => Some(RelayOutcome::Forwarded),
            HandOver::Unreachable => Some(RelayOutcome::Unreachable),
            HandOver::NotAccepted(RefusalCause::NoLease) => Some(RelayOutcome::NoLease),
            HandOver::NotAccepted(_) | HandOver::NotLeading | HandOver::LostBehindRelay => {
                Some(RelayOutcome::NoLeaseholder)
            }
            // On a link that is still good, the reply was lost at the leaseholder or came too late.
            HandOver::ReplyLost => {
                let links = &self.links.statements;
                let readiness = match peer.statements {
                    Some(address) => {
                        let wait_limit = Some(Duration::ZERO);
                        links.check_readiness(address, false, wait_limit).await
                    }
                    None => LinkReadiness::Down,
                };
                (readiness != LinkReadiness::Ready).then_some(RelayOutcome::Unreachable)
            }
        }
    }

    fn note_relay_outcome(
        &self,
        trial: &mut RelayTrial<'_>,
        search: &mut RelaySearch,
        outcome: RelayOutcome,
    ) {
        let Some(vm) = trial.vm.take() else {
            return;
        };
        self.metrics.count_relay_outcome(outcome);
        let change = {
            let candidates = &mut self.relays.state().candidates;
            candidates.note_outcome(self.clock.now(), &vm, search, outcome)
        };
        match change {
            Some(RelayChange::Found { failed }) => {
                self.relays.found.send_modify(|count| *count += 1);
                log_event!(Level::Info, "relay_found", relay = vm, failed = failed);
            }
            Some(RelayChange::Lost { failed }) => log_event!(
                Level::Info,
                "relay_lost",
                relay = vm,
                cause = outcome.as_str(),
                failed = failed,
            ),
            Some(RelayChange::NoneLeft { failed }) => log_event!(
                Level::Warn,
                "no_relay_left",
                last = vm,
                cause = outcome.as_str(),
                failed = failed,
            ),
            None => {}
        }
    }

    /// Returns the addresses of some gateways that forward this gateway's statements.
    pub(crate) fn find_working_relays(&self) -> Vec<PeerAddresses> {
        // The view isn't borrowed under this lock, which is taken while the view is borrowed
        // elsewhere.
        let working: Vec<VmName> = {
            let candidates = &self.relays.state().candidates;
            candidates.working().take(WANTED_RELAYS).cloned().collect()
        };
        let addresses = working.iter().filter_map(|vm| self.find_member(vm));
        addresses.collect()
    }

    /// Opens links to the gateways that would be asked next, so that a statement doesn't wait for a
    /// connection.
    pub(crate) fn connect_relay_gateways(&self, lease: OwnLease) {
        self.relays.update(&self.view.borrow());
        let upcoming = self.relays.state().candidates.upcoming(lease);
        for vm in upcoming {
            if let Some(address) = self.find_member(&vm).and_then(|peer| peer.statements) {
                self.links.statements.prepare(address, false);
            }
        }
    }
}
