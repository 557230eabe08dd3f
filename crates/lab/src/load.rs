//! The load tool: callers with sessions that move between gateways, at a rate that doesn't wait.
//!
//! Latency counts from the moment at which the schedule wanted the request to start, so that a
//! system which makes its callers wait can't hide it by slowing them down.

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

/// How long past its deadline a caller waits for a verdict before it counts as unanswered.
const GRACE: Duration = Duration::from_secs(2);

/// The pause before a request that may have run is sent again under its key.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// The pause between attempts of the final check.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// How long the final check may take; a run in which it ends sooner has read every list.
const CHECK_PATIENCE: Duration = Duration::from_secs(60);

/// The time after which the lists in use are replaced, so that none grows without bound.
const LIST_LIFETIME: Duration = Duration::from_secs(10);

/// How long a `report` statement holds its slot, in milliseconds.
const REPORT_MS: u64 = 400;

/// What a load run does.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The gateways, or the data port of one endpoint.
    pub gateways: Vec<SocketAddr>,
    /// The database group.
    pub group: String,
    /// The customers' names.
    pub customers: Vec<String>,
    /// What is sent when; `customers` is set from the names.
    pub plan: PlanSettings,
    /// Sessions per customer.
    pub sessions: usize,
    /// After so many requests a session moves to another gateway.
    pub move_every: u64,
    /// A word that makes this run's keys and sessions unlike those of others.
    pub run_name: String,
}

enum LoadEvent {
    Oracle(OracleEvent),
    Request(RequestRecord),
}

/// Stops a load early: no further arrivals are sent.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Asks the load to stop.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Runs a load to its end, checks what is there then, and reports.
pub async fn run_load(settings: &LoadSettings, stop: &StopFlag) -> LoadReport {
    let (events, receiver) = mpsc::unbounded_channel();
    let collector = tokio::spawn(collect_events(receiver));
    let clock = Instant::now();
    let mut sessions = JoinSet::new();
    let mut queues = Vec::new();
    for customer in &settings.customers {
        let (queue, arrivals) = mpsc::unbounded_channel();
        let arrivals = Arc::new(Mutex::new(arrivals));
        for index in 0..settings.sessions {
            let session = LoadSession::new(settings, customer, index, clock, events.clone());
            sessions.spawn(session.run(arrivals.clone()));
        }
        queues.push(queue);
    }
    let plan = PlanSettings {
        customers: settings.customers.len(),
        ..settings.plan.clone()
    };
    for arrival in plan_arrivals(&plan) {
        sleep_until(clock + arrival.at).await;
        if stop.is_set() {
            break;
        }
        // The sessions live until their queue is closed.
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
        let fault = format!("{unread} lists could not be read at the end, so nothing is proved");
        report.violations.push(fault);
    }
    report
}

/// Reads each list by a read that accepts no age; `None` stands for a list that wasn't answered.
async fn read_final_lists(
    settings: &LoadSettings,
    lists: Vec<String>,
) -> Vec<(String, Option<Option<String>>)> {
    let end = Instant::now() + CHECK_PATIENCE;
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
            match run_on(&mut caller, &settings, &statement, CHECK_PATIENCE / 10).await {
                CallerVerdict::Ran { rows, .. } => answer = Some(first_value(rows)),
                _ => {
                    attempt += 1;
                    caller = None;
                    sleep(CHECK_PAUSE).await;
                }
            }
        }
        answers.push((list, answer));
    }
    answers
}

/// Runs a statement, opening the connection if there is none.
async fn run_on(
    caller: &mut Option<GatewayCaller>,
    settings: &CallerSettings,
    statement: &str,
    patience: Duration,
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
    let verdict = open.run(statement, patience).await;
    if verdict == CallerVerdict::Unanswered {
        *caller = None;
    }
    verdict
}

fn first_value(rows: Vec<Vec<Option<String>>>) -> Option<String> {
    rows.into_iter().next()?.into_iter().next()?
}

/// One session of a customer: a caller that sends one request at a time.
struct LoadSession {
    settings: CallerSettings,
    gateways: Vec<SocketAddr>,
    gateway: usize,
    move_every: u64,
    run_name: String,
    clock: Instant,
    events: mpsc::UnboundedSender<LoadEvent>,
    caller: Option<GatewayCaller>,
    requests: u64,
    tokens: u64,
    cell: u64,
    puts: usize,
}

impl LoadSession {
    fn new(
        settings: &LoadSettings,
        customer: &str,
        index: usize,
        clock: Instant,
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
            clock,
            events,
            caller: None,
            requests: 0,
            tokens: 0,
            cell: 0,
            puts: 0,
        }
    }

    async fn run(mut self, arrivals: Arc<Mutex<mpsc::UnboundedReceiver<LoadArrival>>>) {
        loop {
            let arrival = arrivals.lock().await.recv().await;
            let Some(arrival) = arrival else { return };
            let verdict = self.serve(&arrival).await;
            self.tell(LoadEvent::Request(RequestRecord {
                class: arrival.class,
                latency: self.clock.elapsed().saturating_sub(arrival.at),
                verdict,
            }));
            self.requests += 1;
            if self.requests.is_multiple_of(self.move_every) || self.has_lost_gateway() {
                self.move_on();
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
        self.tokens += 1;
        let token = ListToken {
            list: self.list_name(arrival),
            session: self.settings.session.clone(),
            number: self.tokens,
        };
        let marks = StatementMarks {
            key: Some(RequestKey::fresh().to_string()),
            ..marks_of(arrival.class)
        };
        let statement = format!("{marks} append {} {token}", token.list);
        self.tell(LoadEvent::Oracle(OracleEvent::StartAppend(token.clone())));
        let verdict = self.send(arrival.class, &statement).await;
        let mut outcome = self.to_outcome(&verdict);
        if outcome == WriteOutcome::MayHaveRun {
            outcome = self.resend(arrival.class, &statement).await;
        }
        self.tell(LoadEvent::Oracle(OracleEvent::EndAppend(token, outcome)));
        verdict
    }

    /// Sends a request again under its key. Only an acknowledgement settles the doubt: a refusal
    /// of the resend says nothing about the first attempt.
    async fn resend(&mut self, class: LoadClass, statement: &str) -> WriteOutcome {
        sleep(RESEND_PAUSE).await;
        self.move_on();
        let verdict = self.send(class, statement).await;
        match self.to_outcome(&verdict) {
            WriteOutcome::Acknowledged(at) => WriteOutcome::Acknowledged(at),
            WriteOutcome::NotRun | WriteOutcome::MayHaveRun => WriteOutcome::MayHaveRun,
        }
    }

    async fn put(&mut self, arrival: &LoadArrival) -> CallerVerdict {
        let key = self.cell_name();
        self.puts += 1;
        let value = cell_value(&key, self.puts);
        let statement = format!("{} put {key} {value}", marks_of(arrival.class));
        self.tell(LoadEvent::Oracle(OracleEvent::StartPut(key.clone())));
        let verdict = self.send(arrival.class, &statement).await;
        let outcome = self.to_outcome(&verdict);
        self.tell(LoadEvent::Oracle(OracleEvent::EndPut(key, outcome)));
        if outcome == WriteOutcome::MayHaveRun {
            self.cell += 1;
            self.puts = 0;
        }
        verdict
    }

    async fn read_cell(&mut self, arrival: &LoadArrival) -> CallerVerdict {
        let key = self.cell_name();
        let statement = format!("{} get {key}", marks_of(arrival.class));
        let verdict = self.send(arrival.class, &statement).await;
        if let CallerVerdict::Ran { rows, .. } = &verdict {
            let answer = first_value(rows.clone());
            self.tell(LoadEvent::Oracle(OracleEvent::ReadCell(key, answer)));
        }
        verdict
    }

    async fn read_list(&mut self, arrival: &LoadArrival, max_age_ms: u64) -> CallerVerdict {
        let list = self.list_name(arrival);
        let statement = format!("{} get {list}", marks_of(arrival.class));
        let start_us = self.now_us();
        let verdict = self.send(arrival.class, &statement).await;
        if let CallerVerdict::Ran { rows, .. } = &verdict {
            self.tell(LoadEvent::Oracle(OracleEvent::ReadList(ListRead {
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
        let patience = class.deadline() + GRACE;
        run_on(&mut self.caller, &self.settings, statement, patience).await
    }

    fn to_outcome(&self, verdict: &CallerVerdict) -> WriteOutcome {
        match verdict {
            CallerVerdict::Ran { .. } => WriteOutcome::Acknowledged(self.now_us()),
            CallerVerdict::NotRun { .. } => WriteOutcome::NotRun,
            CallerVerdict::MayHaveRun { .. } | CallerVerdict::Unanswered => {
                WriteOutcome::MayHaveRun
            }
            // The stand-in's own errors leave nothing behind.
            CallerVerdict::Failed { .. } => WriteOutcome::NotRun,
        }
    }

    fn has_lost_gateway(&self) -> bool {
        self.caller.as_ref().is_none_or(GatewayCaller::is_closed)
    }

    fn move_on(&mut self) {
        self.gateway = (self.gateway + 1) % self.gateways.len();
        self.settings.gateway = self.gateways[self.gateway];
        self.caller = None;
    }

    fn cell_name(&self) -> String {
        format!("{}-cell-{}", self.settings.session, self.cell)
    }

    fn list_name(&self, arrival: &LoadArrival) -> String {
        let age = arrival.at.as_secs() / LIST_LIFETIME.as_secs();
        format!("{}-list-{age}-{}", self.run_name, arrival.list)
    }

    fn now_us(&self) -> u64 {
        self.clock.elapsed().as_micros() as u64
    }

    fn tell(&self, event: LoadEvent) {
        // The collector ends after the last session.
        let _ = self.events.send(event);
    }
}

fn marks_of(class: LoadClass) -> StatementMarks {
    StatementMarks {
        kind: Some(class.kind()),
        deadline_ms: Some(class.deadline().as_millis() as u64),
        urgent: class == LoadClass::Urgent,
        ..StatementMarks::default()
    }
}
