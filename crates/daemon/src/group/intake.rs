//! Admits statements: checks lease, contract and caller, computes the deadline, looks the request
//! key up, and queues the statement with the scheduler or refuses it.

use super::GroupTask;
use super::request::ActiveRequest;
use super::request::KeyedRequest;
use super::request::RequestStage;
use super::request::ResendWaiter;
use crate::gateway::find_deadline;
use crate::gateway::find_latency_target;
use crate::gateway::find_terms;
use crate::gateway::is_caller_admitted;
use crate::gateway::reply_with;
use crate::log_event;
use log::Level;
use ragwort_control::ClockTime;
use ragwort_control::KeyAdmission;
use ragwort_policy::ArrivalDecision;
use ragwort_policy::RequestProfile;
use ragwort_policy::RequestStep;
use ragwort_policy::RequestTicket;
use ragwort_types::AccessMode;
use ragwort_types::CustomerContract;
use ragwort_types::CustomerName;
use ragwort_types::DoubtCause;
use ragwort_types::KindTerms;
use ragwort_types::LogPosition;
use ragwort_types::RefusalCause;
use ragwort_types::RequestMarks;
use ragwort_types::RequestVerdict;
use ragwort_types::SessionName;
use ragwort_types::StatementReply;
use ragwort_types::StatementRequest;
use ragwort_types::TransactionStep;
use ragwort_types::UrgencyClass;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::SystemTime;
use tokio::sync::oneshot;

/// The retry delay, in milliseconds, of a caller whose leaseholder is still recovering its journal.
const RECOVERY_RETRY_AFTER_MS: u64 = 100;

/// The retry delay, in milliseconds, of a caller whose write a majority would not hold in time.
const REPLICAS_BEHIND_RETRY_AFTER_MS: u64 = 500;

/// The reason why a statement isn't admitted.
pub(super) struct AdmissionRefusal {
    /// The cause that the caller is told.
    pub(super) cause: RefusalCause,
    /// The delay before a retry, in milliseconds; zero if a retry is useless.
    pub(super) come_back_after_ms: u64,
}

/// The origin of a statement, as far as its admission depends on it.
pub(super) struct StatementOrigin<'a> {
    /// The customer.
    pub(super) customer: &'a CustomerName,
    /// The caller's marks.
    pub(super) marks: &'a RequestMarks,
    /// The statement's place in a transaction.
    pub(super) step: TransactionStep,
}

impl AdmissionRefusal {
    fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            come_back_after_ms: 0,
        }
    }
}

impl GroupTask {
    /// Queues a statement, or answers it at once.
    pub(super) fn handle_statement(
        &mut self,
        request: Box<StatementRequest>,
        reply: oneshot::Sender<StatementReply>,
    ) {
        let now = self.context.clock.now();
        // The statement may come before the view's change is handled, and the check below reads
        // the newest contracts.
        self.apply_contracts();
        let origin = StatementOrigin {
            customer: &request.customer,
            marks: &request.marks,
            step: request.step,
        };
        let checked = self.check_statement(&origin, now);
        let checked = checked.and_then(|terms| self.check_caller(&request).map(|()| terms));
        let terms = match checked {
            Ok(terms) => terms,
            Err(refusal) => {
                let after = refusal.come_back_after_ms;
                let verdict = RequestVerdict::refused(refusal.cause, after);
                self.context
                    .metrics
                    .count_request(&verdict, UrgencyClass::Ordinary);
                let _ = reply.send(reply_with(&request, verdict));
                return;
            }
        };
        let full = find_deadline(&terms, &request.marks);
        let left = full.saturating_sub(Duration::from_millis(request.spent_ms));
        let active = ActiveRequest {
            request,
            reply,
            terms,
            arrived: now,
            deadline: now + left,
            stage: RequestStage::Waiting,
            key_entry: None,
            round: None,
            dispatched: now,
            answer: None,
        };
        if let Some(active) = self.admit_key(active) {
            self.enqueue(active, now);
        }
    }

    /// Checks the caller's key against the customer's contract.
    fn check_caller(&self, request: &StatementRequest) -> Result<(), AdmissionRefusal> {
        let view = self.view.borrow();
        let contract = view.copy.contract(&request.customer);
        let accepted =
            contract.is_some_and(|held| is_caller_admitted(&view.copy, &held.contract, request));
        match accepted {
            true => Ok(()),
            false => Err(AdmissionRefusal::new(RefusalCause::UnknownKey)),
        }
    }

    /// Checks whether a statement may be admitted, and returns the contract terms that apply to it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this VM doesn't lead the group, the contract doesn't allow the
    /// statement, the journal is not recovered yet, the transaction is unknown, or a key is used
    /// within a transaction.
    pub(super) fn check_statement(
        &self,
        origin: &StatementOrigin<'_>,
        now: ClockTime,
    ) -> Result<KindTerms, AdmissionRefusal> {
        let view = self.view.borrow();
        // After the end of the lease a successor may already dispatch. During a handover only the
        // statements of open transactions are admitted.
        let opens = matches!(
            origin.step,
            TransactionStep::Single | TransactionStep::Begin(_)
        );
        let leaves = self.handing_over && opens;
        let leads = view.may_lead(now, &self.context.settings.vm, &self.group);
        if !leads || leaves || self.journal_is_deposed() {
            return Err(AdmissionRefusal::new(RefusalCause::NoLease));
        }
        let contracts = view.copy.contract_table();
        let allowed = contracts.get_for_group(origin.customer, &self.group);
        let allowed = allowed.map(|held| &held.contract);
        let terms = allowed.and_then(|contract| apply_marks(contract, origin.marks));
        let terms = terms.ok_or(AdmissionRefusal::new(RefusalCause::Contract))?;
        if self.journal.is_none() {
            return Err(AdmissionRefusal {
                cause: RefusalCause::NoLeaseholder,
                come_back_after_ms: RECOVERY_RETRY_AFTER_MS,
            });
        }
        match origin.step {
            TransactionStep::Single | TransactionStep::Begin(_) => {}
            TransactionStep::Within(id)
            | TransactionStep::Commit(id)
            | TransactionStep::Rollback(id) => {
                if !self.transactions.contains_key(&id) {
                    return Err(AdmissionRefusal::new(RefusalCause::TransactionLost));
                }
            }
        }
        // A key identifies one statement; for a transaction it could not say which of its
        // statements ran.
        if origin.marks.key.is_some() && origin.step != TransactionStep::Single {
            return Err(AdmissionRefusal::new(RefusalCause::RequestKey));
        }
        Ok(terms)
    }

    /// Returns whether a write, or a transaction's begin, could not be acknowledged before its
    /// deadline because the replicas are too far behind.
    ///
    /// If it were admitted, it would run and end in doubt: the caller would wait until the deadline
    /// and not know whether to repeat it.
    fn would_miss_write_deadline(&self, ticket: RequestTicket, now: ClockTime) -> bool {
        let Some(active) = self.requests.get(&ticket) else {
            return false;
        };
        let opens = matches!(active.request.step, TransactionStep::Begin(_));
        let writes = active.is_write() && active.request.step == TransactionStep::Single;
        if !(opens || writes) || !self.is_serving() {
            return false;
        }
        let lag = self.majority_lag(now);
        let left = active.deadline.since(now);
        let overdue = self.quorum.would_be_overdue(left);
        if lag < left && !overdue {
            return false;
        }
        log_event!(
            Level::Info,
            "write_refused_behind",
            id = active.request.id,
            group = self.group,
            lag_ms = lag.as_millis(),
            left_ms = left.as_millis(),
            overdue_before = overdue,
            term = self.quorum.term(),
            served_ms = self
                .serving_since
                .map_or(0, |since| now.since(since).as_millis()),
            positions = self.list_positions(now),
        );
        true
    }

    /// Returns the position and the data's age bound of each instance as text for the log.
    fn list_positions(&self, now: ClockTime) -> String {
        let instances = self.record.instances.iter();
        let texts = instances.map(|instance| {
            let position = self.quorum.counted_position(instance);
            let position = position.map_or("unknown".to_owned(), |position| position.to_string());
            let age = self.quorum.age_bound(instance, now);
            let age = age.map_or("unknown".to_owned(), |age| age.as_millis().to_string());
            format!("{instance}:{position}:age_ms={age}")
        });
        texts.collect::<Vec<_>>().join(",")
    }

    /// Returns a lower bound of the time that a write waits for a majority.
    fn majority_lag(&self, now: ClockTime) -> Duration {
        let served = self
            .serving_since
            .map_or(Duration::ZERO, |since| now.since(since));
        // While the lag is unknown, as right after the start of a term, the term's age is an upper
        // bound.
        self.quorum.majority_lag(now).unwrap_or(served)
    }

    /// Looks up the key of a write in the journal; returns the request if it is to run.
    ///
    /// A known key belongs to an earlier attempt, and running the request again would repeat its
    /// work. The caller gets that attempt's verdict, waits for it, or is told that the outcome is
    /// in doubt.
    fn admit_key(&mut self, mut active: ActiveRequest) -> Option<ActiveRequest> {
        let key = active.request.marks.key;
        let (Some(key), AccessMode::Write) = (key, active.terms.access) else {
            return Some(active);
        };
        let customer = active.request.customer.clone();
        let journal = self.journal.as_mut()?;
        let verdict = match journal.begin(&customer, key, unix_millis()) {
            KeyAdmission::Fresh(entry) => {
                active.key_entry = Some(entry);
                return Some(active);
            }
            KeyAdmission::Running => {
                let keyed = KeyedRequest { customer, key };
                self.resend_waiters
                    .entry(keyed)
                    .or_default()
                    .push(ResendWaiter {
                        id: active.request.id,
                        reply: active.reply,
                        deadline: active.deadline,
                    });
                return None;
            }
            KeyAdmission::Decided(verdict) => verdict,
            KeyAdmission::MayHaveRun => RequestVerdict::MayHaveRun(DoubtCause::EarlierAttempt),
            KeyAdmission::Expired | KeyAdmission::Malformed => {
                RequestVerdict::refused(RefusalCause::RequestKey, 0)
            }
        };
        self.context
            .metrics
            .count_request(&verdict, active.terms.urgency);
        let _ = active.reply.send(reply_with(&active.request, verdict));
        None
    }

    /// Gives a request a ticket and queues it with the scheduler, or refuses it.
    fn enqueue(&mut self, active: ActiveRequest, now: ClockTime) {
        self.last_ticket += 1;
        let ticket = RequestTicket(self.last_ticket);
        let profile = self.request_profile(ticket, &active);
        self.tickets.insert(active.request.id, ticket);
        self.requests.insert(ticket, active);
        if self.would_miss_write_deadline(ticket, now) {
            let verdict = RequestVerdict::refused(
                RefusalCause::ReplicasBehind,
                REPLICAS_BEHIND_RETRY_AFTER_MS,
            );
            self.settle(ticket, verdict);
            return;
        }
        if let ArrivalDecision::Refused(refusal) = self.scheduler.arrive(now, profile) {
            self.settle(ticket, RequestVerdict::NotRun(refusal));
        }
    }

    /// Returns the scheduling profile of a request.
    fn request_profile(&self, ticket: RequestTicket, active: &ActiveRequest) -> RequestProfile {
        let request = &active.request;
        let step = self.scheduler_step(request.step);
        let required = self.required_position(&request.customer, &request.session);
        let kind = request.marks.kind.clone();
        RequestProfile {
            ticket,
            customer: request.customer.clone(),
            kind: kind.unwrap_or_else(|| self.default_kind(&request.customer)),
            session: hash_text(request.session.as_str()),
            account: None,
            key: None,
            access: match step {
                RequestStep::Single => active.terms.access,
                RequestStep::Opens | RequestStep::Within(_) => AccessMode::Write,
            },
            repeat: active.terms.repeat,
            urgency: active.terms.urgency,
            length: active.terms.length,
            // A session whose last write is unknown can only be served by the primary.
            needs_primary: step != RequestStep::Single || required.is_none(),
            min_position: required.unwrap_or_default(),
            max_age: Duration::from_millis(active.terms.max_age_ms),
            deadline: active.deadline,
            target: find_latency_target(active.arrived, &active.terms, &active.request),
            step,
            priority: active.terms.priority,
        }
    }

    /// Returns a statement's place in its transaction in the scheduler's terms.
    pub(super) fn scheduler_step(&self, step: TransactionStep) -> RequestStep {
        match step {
            TransactionStep::Single => RequestStep::Single,
            TransactionStep::Begin(_) => RequestStep::Opens,
            TransactionStep::Within(id)
            | TransactionStep::Commit(id)
            | TransactionStep::Rollback(id) => match self.transactions.get(&id) {
                Some(open) => RequestStep::Within(open.opener),
                None => RequestStep::Single,
            },
        }
    }

    /// Returns the position that an instance must have reached to serve a session; `None` if it is
    /// unknown.
    pub(super) fn required_position(
        &self,
        customer: &CustomerName,
        session: &SessionName,
    ) -> Option<LogPosition> {
        let journal = self.journal.as_ref()?;
        journal.sessions().required(customer, session)
    }
}

/// Returns the terms of a statement's kind, tightened by the caller's marks.
fn apply_marks(contract: &CustomerContract, marks: &RequestMarks) -> Option<KindTerms> {
    let mut terms = find_terms(contract, marks)?;
    if let Some(requested) = marks.max_age_ms {
        terms.max_age_ms = terms.max_age_ms.min(requested);
    }
    // Only the contract can grant urgency; a caller can only waive it.
    if marks.urgent == Some(false) {
        terms.urgency = UrgencyClass::Ordinary;
    }
    Some(terms)
}

/// Returns a hash of a text, by which the scheduler distinguishes sessions.
pub(crate) fn hash_text(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(super) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
