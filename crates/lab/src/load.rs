//! An open-loop load generator: sessions send requests at scheduled times, move between gateways,
//! and report what they were answered to the consistency check of [`crate::oracle`].
//!
//! Latency is measured from a request's scheduled start, not from the time at which it was sent. A
//! system that delays its callers would otherwise look faster because fewer requests are sent
//! (coordinated omission).

use crate::caller::CallerSettings;
use crate::caller::CallerVerdict;
use crate::caller::GatewayCaller;
use crate::caller::StatementMarks;
use crate::lab_contract::FRESH_KIND;
use crate::lab_contract::STATUS_AGE_MS;
use crate::load_plan::LoadArrival;
use crate::load_plan::LoadClass;
use crate::load_plan::PlanSettings;
use crate::load_plan::plan_arrivals;
use crate::load_report::LoadRecorder;
use crate::load_report::LoadReport;
use crate::load_report::RequestRecord;
use crate::oracle::ListRead;
use crate::oracle::ListToken;
use crate::oracle::LoadOracle;
use crate::oracle::OracleEvent;
use crate::oracle::WriteOutcome;
use crate::oracle::cell_value;
use ragwort_types::RequestKey;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// The time after a request's deadline at which it counts as unanswered.
const VERDICT_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// The pause before a request that may have run is sent again with the same request key.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// The pause after a failed read of the final check.
const FINAL_CHECK_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The time limit of the final check. Lists that can't be read within it are reported.
const FINAL_CHECK_TIMEOUT: Duration = Duration::from_secs(60);

/// The time after which sessions use new lists, which bounds the length of a list.
const LIST_LIFETIME: Duration = Duration::from_secs(10);

/// The time for which a statement of the class `report` occupies a slot, in milliseconds.
const REPORT_MS: u64 = 400;

/// The settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The addresses of the gateways, or of the data port of one endpoint.
    pub gateways: Vec<SocketAddr>,
    /// The name of the database group.
    pub group: String,
    /// The names of the customers.
    pub customers: Vec<String>,
    /// The schedule of requests; its number of customers is replaced by the number of names.
    pub plan: PlanSettings,
    /// The number of sessions of each customer.
    pub sessions: usize,
    /// The number of requests after which a session moves to another gateway.
    pub move_every: u64,
    /// A prefix that distinguishes this run's keys and session names from those of other runs.
    pub run_name: String,
}

/// An event that a session sends to the collector.
enum LoadEvent {
    Oracle(OracleEvent),
    Request(RequestRecord),
}

/// A flag that ends a load run early: no further requests are scheduled once it is set.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Requests the end of the run.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Runs a load, checks the final content of all lists, and returns the report.
pub async fn run_load(settings: &LoadSettings, stop: &StopFlag) -> LoadReport {
    let (events, receiver) = mpsc::unbounded_channel();
    let collector = tokio::spawn(collect_events(receiver));
    let load_start = Instant::now();
    let mut sessions = JoinSet::new();
    let mut queues = Vec::new();
    for customer in &settings.customers {
        let (queue, arrivals) = mpsc::unbounded_channel();
        let arrivals = Arc::new(Mutex::new(arrivals));
        for index in 0..settings.sessions {
            let session = LoadSession::new(settings, customer, index, load_start, events.clone());
            sessions.spawn(session.run(arrivals.clone()));
        }
        queues.push(queue);
    }
    let plan = PlanSettings {
        customers: settings.customers.len(),
        ..settings.plan.clone()
    };
    for arrival in plan_arrivals(&plan) {
        sleep_until(load_start + arrival.at).await;
        if stop.is_set() {
            break;
        }
        // Sending can't fail: the sessions run until their queue is closed.
        let _ = queues[arrival.customer].send(arrival);
    }
    drop(queues);
    while sessions.join_next().await.is_some() {}
    drop(events);
    let (recorder, oracle) = match collector.await {
        Ok(collected) => collected,
        Err(error) => std::panic::resume_unwind(error.into_panic()),
    };
    finish_report(settings, &recorder, oracle).await
}

/// Collects the sessions' events until the last session has ended.
async fn collect_events(
    mut events: mpsc::UnboundedReceiver<LoadEvent>,
) -> (LoadRecorder, LoadOracle) {
    let mut recorder = LoadRecorder::new();
    let mut oracle = LoadOracle::default();
    while let Some(event) = events.recv().await {
        match event {
            LoadEvent::Oracle(event) => oracle.observe(event),
            LoadEvent::Request(record) => recorder.record(&record),
        }
    }
    (recorder, oracle)
}

/// Reads all lists, completes the consistency check, and adds its results to the report.
async fn finish_report(
    settings: &LoadSettings,
    recorder: &LoadRecorder,
    mut oracle: LoadOracle,
) -> LoadReport {
    let mut report = recorder.to_report();
    let lists: Vec<String> = oracle.list_names().map(str::to_owned).collect();
    let mut unread = 0;
    for (list, answer) in read_final_lists(settings, lists).await {
        match answer {
            Some(answer) => oracle.observe(OracleEvent::ReadFinalList(list, answer)),
            None => unread += 1,
        }
    }
    oracle.check_refused();
    report.checked_appends = oracle.acknowledged_appends();
    report.violations = oracle
        .violations()
        .iter()
        .map(ToString::to_string)
        .collect();
    if unread > 0 {
        let fault =
            format!("{unread} lists could not be read at the end, so the check is incomplete");
        report.violations.push(fault);
    }
    report
}

/// Reads each list by a read that accepts no stale data. The outer `None` stands for a list that
/// could not be read, the inner one for a list without a value.
async fn read_final_lists(
    settings: &LoadSettings,
    lists: Vec<String>,
) -> Vec<(String, Option<Option<String>>)> {
    let end = Instant::now() + FINAL_CHECK_TIMEOUT;
    let mut answers = Vec::new();
    let mut caller = None;
    let mut attempt = 0;
    for list in lists {
        let marks = StatementMarks {
            kind: Some(FRESH_KIND),
            ..StatementMarks::default()
        };
        let statement = format!("{marks} get {list}");
        let mut answer = None;
        while answer.is_none() && Instant::now() < end {
            let settings = CallerSettings {
                gateway: settings.gateways[attempt % settings.gateways.len()],
                customer: settings.customers[0].clone(),
                group: settings.group.clone(),
                session: format!("{}-check", settings.run_name),
            };
            match run_statement(&mut caller, &settings, &statement, FINAL_CHECK_TIMEOUT / 10).await
            {
                CallerVerdict::Ran { rows, .. } => answer = Some(first_value(rows)),
                _ => {
                    attempt += 1;
                    caller = None;
                    sleep(FINAL_CHECK_RETRY_PAUSE).await;
                }
            }
        }
        answers.push((list, answer));
    }
    answers
}

/// Runs a statement, after opening a connection if there is none, and drops the connection if there
/// was no answer.
async fn run_statement(
    caller: &mut Option<GatewayCaller>,
    settings: &CallerSettings,
    statement: &str,
    max_wait: Duration,
) -> CallerVerdict {
    if caller.as_ref().is_none_or(GatewayCaller::is_closed) {
        match GatewayCaller::open(settings).await {
            Ok(opened) => *caller = Some(opened),
            Err(verdict) => return verdict,
        }
    }
    let Some(open) = caller.as_mut() else {
        return CallerVerdict::Unanswered;
    };
    let verdict = open.run(statement, max_wait).await;
    if verdict == CallerVerdict::Unanswered {
        *caller = None;
    }
    verdict
}

fn first_value(rows: Vec<Vec<Option<String>>>) -> Option<String> {
    rows.into_iter().next()?.into_iter().next()?
}

/// A session of a customer, which sends one request at a time.
struct LoadSession {
    settings: CallerSettings,
    gateways: Vec<SocketAddr>,
    /// The index of the gateway in use.
    gateway: usize,
    move_every: u64,
    run_name: String,
    load_start: Instant,
    events: mpsc::UnboundedSender<LoadEvent>,
    caller: Option<GatewayCaller>,
    request_count: u64,
    token_count: u64,
    /// The number of the session's present cell. A cell whose last put may still take effect is
    /// replaced by the next one.
    cell_number: u64,
    /// The number of puts to the present cell.
    put_count: usize,
}

impl LoadSession {
    fn new(
        settings: &LoadSettings,
        customer: &str,
        index: usize,
        load_start: Instant,
        events: mpsc::UnboundedSender<LoadEvent>,
    ) -> Self {
        let gateway = index % settings.gateways.len();
        Self {
            settings: CallerSettings {
                gateway: settings.gateways[gateway],
                customer: customer.to_owned(),
                group: settings.group.clone(),
                session: format!("{}-{customer}-{index}", settings.run_name),
            },
            gateways: settings.gateways.clone(),
            gateway,
            move_every: settings.move_every.max(1),
            run_name: settings.run_name.clone(),
            load_start,
            events,
            caller: None,
            request_count: 0,
            token_count: 0,
            cell_number: 0,
            put_count: 0,
        }
    }

    async fn run(mut self, arrivals: Arc<Mutex<mpsc::UnboundedReceiver<LoadArrival>>>) {
        loop {
            let arrival = arrivals.lock().await.recv().await;
            let Some(arrival) = arrival else { return };
            let verdict = self.serve(&arrival).await;
            self.send_event(LoadEvent::Request(RequestRecord {
                class: arrival.class,
                latency: self.load_start.elapsed().saturating_sub(arrival.at),
                verdict,
            }));
            self.request_count += 1;
            if self.request_count.is_multiple_of(self.move_every) || self.has_lost_gateway() {
                self.switch_gateway();
            }
        }
    }

    async fn serve(&mut self, arrival: &LoadArrival) -> CallerVerdict {
        match arrival.class {
            LoadClass::Urgent | LoadClass::Grant => self.append(arrival).await,
            LoadClass::Update => self.put(arrival).await,
            LoadClass::Status => self.read_list(arrival, STATUS_AGE_MS).await,
            LoadClass::Fresh => self.read_list(arrival, 0).await,
            LoadClass::Own => self.read_cell(arrival).await,
            LoadClass::Report => {
                let statement = format!("{} sleep {REPORT_MS}", marks_of(arrival.class));
                self.send(arrival.class, &statement).await
            }
        }
    }

    async fn append(&mut self, arrival: &LoadArrival) -> CallerVerdict {
        self.token_count += 1;
        let token = ListToken {
            list: self.list_name(arrival),
            session: self.settings.session.clone(),
            number: self.token_count,
        };
        let marks = StatementMarks {
            key: Some(RequestKey::fresh().to_string()),
            ..marks_of(arrival.class)
        };
        let statement = format!("{marks} append {} {token}", token.list);
        self.send_event(LoadEvent::Oracle(OracleEvent::StartAppend(token.clone())));
        let verdict = self.send(arrival.class, &statement).await;
        let mut outcome = self.to_outcome(&verdict);
        if outcome == WriteOutcome::MayHaveRun {
            outcome = self.resend(arrival.class, &statement).await;
        }
        self.send_event(LoadEvent::Oracle(OracleEvent::EndAppend(token, outcome)));
        verdict
    }

    /// Sends a request again with the same request key, through another gateway. Only an
    /// acknowledgement makes the outcome certain: a refusal of the second attempt says nothing
    /// about the first one.
    async fn resend(&mut self, class: LoadClass, statement: &str) -> WriteOutcome {
        sleep(RESEND_PAUSE).await;
        self.switch_gateway();
        let verdict = self.send(class, statement).await;
        match self.to_outcome(&verdict) {
            WriteOutcome::Acknowledged(at) => WriteOutcome::Acknowledged(at),
            WriteOutcome::NotRun | WriteOutcome::MayHaveRun => WriteOutcome::MayHaveRun,
        }
    }

    async fn put(&mut self, arrival: &LoadArrival) -> CallerVerdict {
        let key = self.cell_name();
        self.put_count += 1;
        let value = cell_value(&key, self.put_count);
        let statement = format!("{} put {key} {value}", marks_of(arrival.class));
        self.send_event(LoadEvent::Oracle(OracleEvent::StartPut(key.clone())));
        let verdict = self.send(arrival.class, &statement).await;
        let outcome = self.to_outcome(&verdict);
        self.send_event(LoadEvent::Oracle(OracleEvent::EndPut(key, outcome)));
        if outcome == WriteOutcome::MayHaveRun {
            self.cell_number += 1;
            self.put_count = 0;
        }
        verdict
    }

    async fn read_cell(&mut self, arrival: &LoadArrival) -> CallerVerdict {
        let key = self.cell_name();
        let statement = format!("{} get {key}", marks_of(arrival.class));
        let verdict = self.send(arrival.class, &statement).await;
        if let CallerVerdict::Ran { rows, .. } = &verdict {
            let answer = first_value(rows.clone());
            self.send_event(LoadEvent::Oracle(OracleEvent::ReadCell(key, answer)));
        }
        verdict
    }

    async fn read_list(&mut self, arrival: &LoadArrival, max_age_ms: u64) -> CallerVerdict {
        let list = self.list_name(arrival);
        let statement = format!("{} get {list}", marks_of(arrival.class));
        let start_us = self.now_us();
        let verdict = self.send(arrival.class, &statement).await;
        if let CallerVerdict::Ran { rows, .. } = &verdict {
            self.send_event(LoadEvent::Oracle(OracleEvent::ReadList(ListRead {
                list,
                session: self.settings.session.clone(),
                start_us,
                max_age_us: max_age_ms * 1_000,
                answer: first_value(rows.clone()),
            })));
        }
        verdict
    }

    async fn send(&mut self, class: LoadClass, statement: &str) -> CallerVerdict {
        let max_wait = class.deadline() + VERDICT_GRACE_PERIOD;
        run_statement(&mut self.caller, &self.settings, statement, max_wait).await
    }

    fn to_outcome(&self, verdict: &CallerVerdict) -> WriteOutcome {
        match verdict {
            CallerVerdict::Ran { .. } => WriteOutcome::Acknowledged(self.now_us()),
            CallerVerdict::NotRun { .. } => WriteOutcome::NotRun,
            CallerVerdict::MayHaveRun { .. } | CallerVerdict::Unanswered => {
                WriteOutcome::MayHaveRun
            }
            // A statement that failed at the endpoint had no effect.
            CallerVerdict::Failed { .. } => WriteOutcome::NotRun,
        }
    }

    fn has_lost_gateway(&self) -> bool {
        self.caller.as_ref().is_none_or(GatewayCaller::is_closed)
    }

    fn switch_gateway(&mut self) {
        self.gateway = (self.gateway + 1) % self.gateways.len();
        self.settings.gateway = self.gateways[self.gateway];
        self.caller = None;
    }

    fn cell_name(&self) -> String {
        format!("{}-cell-{}", self.settings.session, self.cell_number)
    }

    fn list_name(&self, arrival: &LoadArrival) -> String {
        let age = arrival.at.as_secs() / LIST_LIFETIME.as_secs();
        format!("{}-list-{age}-{}", self.run_name, arrival.list)
    }

    fn now_us(&self) -> u64 {
        self.load_start.elapsed().as_micros() as u64
    }

    fn send_event(&self, event: LoadEvent) {
        // Sending can't fail: the collector runs until the last session has ended.
        let _ = self.events.send(event);
    }
}

/// Returns the marks of a class's requests.
fn marks_of(class: LoadClass) -> StatementMarks {
    StatementMarks {
        kind: Some(class.kind()),
        deadline_ms: Some(class.deadline().as_millis() as u64),
        urgent: class == LoadClass::Urgent,
        ..StatementMarks::default()
    }
}
