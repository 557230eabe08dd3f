//! The review's cases: `standin CASE FOLDER`. `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod http;
mod record;
mod system;
mod world;

use client::Outcome;
use client::Session;
use record::Record;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use system::System;
use world::BusyEffect;
use world::Group;
use world::Ledger;
use world::WhenFull;

const SERVICES: [&str; 3] = ["huvo11a", "kafi81c", "wuno96b"];

/// The databases of the first service: a primary route, one that reads its own writes, and one of
/// bounded staleness.
const DATABASES: [&str; 3] = ["lepu270", "fiti832ti23", "xapu221ny95"];

/// The primary route of each service.
const PRIMARY_HOSTS: [&str; 3] = ["lepu270", "hevo512", "dulo733"];

/// The route of bounded staleness of each service.
const BOUNDED_HOSTS: [&str; 3] = ["xapu221ny95", "gafi404mi", "koru118se"];

/// All that a case works with.
struct Bench {
    system: System,
    groups: Vec<Arc<Group>>,
    ledger: Arc<Mutex<Ledger>>,
    record: Arc<Record>,
    trouble: bool,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
    next_front: Arc<AtomicUsize>,
}

type Fallible<T> = Result<T, String>;

impl Bench {
    fn start(folder: &Path, when_full: WhenFull, sync: u32, max_conns: u32) -> Fallible<Self> {
        let busy_effect = match std::env::var("VARIANT").as_deref() {
            Ok("reset") => BusyEffect::KeepsTransaction,
            _ => BusyEffect::FailsTransaction,
        };
        let text = |error: std::io::Error| error.to_string();
        let record = Arc::new(Record::create(folder).map_err(text)?);
        let root = std::env::current_dir().map_err(text)?;
        let mut system = System::new(&root).map_err(text)?;
        let ledger = Arc::default();
        let zones = ["hall-one", "hall-two", "hall-three"];
        let mut groups = Vec::new();
        for (place, name) in SERVICES.iter().enumerate() {
            let address = |node: usize| {
                let ip = format!("{}.{}", system.prefix, 100 + 10 * place + node);
                (ip, zones[(place + node) % 3].to_owned())
            };
            let addresses: Vec<_> = (0..3).map(address).collect();
            let controls = system.controls();
            let group = Group::new(
                name,
                &addresses,
                &record,
                &ledger,
                when_full,
                busy_effect,
                controls,
            );
            group.service.lock().unwrap().sync = sync;
            group.service.lock().unwrap().max_conns = max_conns;
            groups.push(group);
        }
        serve_cloud(&system.cloud(), &groups).map_err(text)?;
        system.start_all().map_err(text)?;
        for group in &groups {
            for node in 0..3 {
                group.start(node).map_err(text)?;
            }
        }
        let bench = Self {
            system,
            groups,
            ledger,
            record,
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            stop: Arc::default(),
            clients: Vec::new(),
            counts: Arc::default(),
            next_front: Arc::default(),
        };
        bench.configure(sync, max_conns)?;
        bench.await_service()?;
        Ok(bench)
    }

    /// Sends the first configuration until it is accepted.
    fn configure(&self, sync: u32, max_conns: u32) -> Fallible<()> {
        let body = write_config(sync, max_conns);
        let deadline = Instant::now() + Duration::from_secs(25);
        let controls = self.system.controls();
        let mut turn = 0;
        while Instant::now() < deadline {
            let control = &controls[turn % controls.len()];
            let answer = http::call(control, "PUT", "/v1/config", &[], &body);
            match answer {
                Some((200, _)) => {
                    self.record.note("configuration 1 acknowledged");
                    return Ok(());
                }
                Some((status, text)) if (400..500).contains(&status) => {
                    return Err(format!("configuration refused: {status} {text}"));
                }
                _ => {}
            }
            turn += 1;
            thread::sleep(Duration::from_millis(200));
        }
        Err("no configuration was accepted".to_owned())
    }

    /// Waits until all gateways are ready and a write is served.
    fn await_service(&self) -> Fallible<()> {
        let deadline = Instant::now() + Duration::from_secs(25);
        while Instant::now() < deadline {
            let fronts = self.system.readiness();
            let ready = fronts.iter().all(|front| {
                let answer = http::call(front, "GET", "/v1/readiness", &[], "");
                answer.is_some_and(|(status, _)| status == 200)
            });
            if ready && self.try_write() {
                self.record
                    .note("all gateways are ready, a write was served");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(250));
        }
        Err("the system doesn't serve".to_owned())
    }

    fn try_write(&self) -> bool {
        let session = Session::open(&self.system.fronts()[0], DATABASES[0], &self.ledger);
        let written = session.and_then(|mut session| session.query("WRITE first data"));
        written.is_some_and(|(_, outcome)| outcome.is_complete())
    }

    /// Starts a client that repeats an operation, each time in a new session or with its old one as
    /// the operation decides, until the clients are stopped.
    fn spawn_client(
        &mut self,
        name: &str,
        database: &'static str,
        operation: impl Fn(&mut Session) -> Option<Outcome> + Send + 'static,
        pause: Duration,
    ) {
        let fronts = self.system.fronts();
        let (ledger, stop) = (Arc::clone(&self.ledger), Arc::clone(&self.stop));
        let counts = Arc::clone(&self.counts);
        let next_front = Arc::clone(&self.next_front);
        let name = name.to_owned();
        let client = thread::spawn(move || {
            let mut session: Option<Session> = None;
            while !stop.load(Ordering::Relaxed) {
                if session.is_none() {
                    let front = next_front.fetch_add(1, Ordering::Relaxed) % fronts.len();
                    session = Session::open(&fronts[front], database, &ledger);
                }
                let outcome = session.as_mut().and_then(&operation);
                let label = match &outcome {
                    None => "connection ended".to_owned(),
                    Some(Outcome::Complete(..)) => "success".to_owned(),
                    Some(Outcome::Error(code)) => {
                        code.split(' ').next().unwrap_or_default().to_owned()
                    }
                };
                *counts
                    .lock()
                    .unwrap()
                    .entry(format!("{name}: {label}"))
                    .or_default() += 1;
                if outcome.is_none() || session.as_ref().is_some_and(|one| one.state != 'I') {
                    session = None;
                }
                thread::sleep(pause);
            }
        });
        self.clients.push(client);
    }

    fn stop_clients(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        self.stop = Arc::default();
    }

    /// Ends the case; returns the exit code.
    fn finish(mut self) -> i32 {
        self.stop_clients();
        for (label, count) in self.counts.lock().unwrap().iter() {
            self.record.note(&format!("answers: {label} {count}"));
        }
        let words = [
            "panicked at",
            "event=invariant",
            "replacement_begun",
            "primary_found",
        ];
        for line in self.system.find_log_lines(&words) {
            self.record.note(&format!("log: {line}"));
        }
        let ledger = self.ledger.lock().unwrap();
        self.record.note(&format!("{} statements run", ledger.runs));
        let broken = ledger.violations.len();
        self.record
            .note(&format!("the rule was broken {broken} times"));
        println!("the rule was broken {broken} times");
        i32::from(broken > 0)
    }
}

fn write_config(sync: u32, max_conns: u32) -> String {
    let route = |name: &str, host: &str, kind: &str, service: &str, priority: u32, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path-prefix\":\"/\",\
             \"route-type\":\"{kind}\",\"timeout-ms\":800,\"target-latency-ms\":200,\
             \"priority\":{priority},\"service\":\"{service}\",\"max-attempts\":2{more}}}"
        )
    };
    let mut routes = vec![
        route("r-1", DATABASES[0], "primary", SERVICES[0], 1, ""),
        route(
            "r-2",
            DATABASES[1],
            "read_your_writes",
            SERVICES[0],
            2,
            ",\"max-staleness-ms\":2500",
        ),
        route(
            "r-3",
            DATABASES[2],
            "bounded_staleness",
            SERVICES[0],
            2,
            ",\"max-staleness-ms\":1500",
        ),
    ];
    for place in 1..SERVICES.len() {
        let (name, service) = (format!("r-{}", place + 3), SERVICES[place]);
        routes.push(route(
            &name,
            PRIMARY_HOSTS[place],
            "primary",
            service,
            1,
            "",
        ));
        let more = ",\"max-staleness-ms\":1500";
        let name = format!("r-{}", place + 5);
        routes.push(route(
            &name,
            BOUNDED_HOSTS[place],
            "bounded_staleness",
            service,
            2,
            more,
        ));
    }
    let services = SERVICES.map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":{max_conns},\
             \"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":{sync}}}"
        )
    });
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\
         \"txn-idle-ms\":3000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Serves the platform's orders to promote.
fn serve_cloud(address: &str, groups: &[Arc<Group>]) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let groups = groups.to_vec();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let groups = groups.clone();
            thread::spawn(move || {
                let Some(request) = http::Request::read(&stream) else {
                    return;
                };
                let token = request.header("x-ragwortgate-fencing-token");
                let token = token.and_then(|token| token.parse().ok());
                let holder = request
                    .header("x-ragwortgate-duty-holder")
                    .unwrap_or("nobody");
                let service = request.field("service").unwrap_or_default().to_owned();
                let id = request.field("id").unwrap_or_default().to_owned();
                let mut named = groups
                    .iter()
                    .filter(|group| group.service.lock().unwrap().name == service);
                let status = match (named.next(), token, request.path.as_str()) {
                    (Some(group), Some(token), "/promotion") => group.promote(&id, token, holder),
                    _ => 400,
                };
                http::respond(&stream, status);
            });
        }
    });
    Ok(())
}

/// LOST: with `sync-replicas` 1 one replica receives nothing for a while, and the primary crashes
/// meanwhile. The other replica holds all acknowledged commits, and is busy with reads. This is
/// done for one service after the other, twice.
///
/// With `VARIANT=draining` slots are waited for, and the other replica is draining instead of busy.
/// That is done once for each service.
fn run_sync(folder: &Path) -> Fallible<i32> {
    let drains = std::env::var("VARIANT").as_deref() == Ok("draining");
    let (when_full, rounds) = match drains {
        true => (WhenFull::Wait, 1),
        false => (WhenFull::Refuse, 2),
    };
    let mut bench = Bench::start(folder, when_full, 1, 16)?;
    for _ in 0..rounds {
        for place in 0..SERVICES.len() {
            disturb_synced(&mut bench, place, drains)?;
        }
    }
    Ok(bench.finish())
}

fn disturb_synced(bench: &mut Bench, place: usize, drains: bool) -> Fallible<()> {
    for number in 0..6 {
        let write = move |session: &mut Session| {
            let data = format!("WRITE item{number} data");
            session.query(&data).map(|(_, outcome)| outcome)
        };
        bench.spawn_client(
            "write",
            PRIMARY_HOSTS[place],
            write,
            Duration::from_millis(40),
        );
    }
    for number in 0..80 {
        let read = move |session: &mut Session| {
            session
                .query(&format!("READ item{}", number % 6))
                .map(|(_, outcome)| outcome)
        };
        bench.spawn_client(
            "bounded read",
            BOUNDED_HOSTS[place],
            read,
            Duration::from_millis(5),
        );
    }
    thread::sleep(Duration::from_secs(2));
    let group = Arc::clone(&bench.groups[place]);
    let primary = group.service.lock().unwrap().lead;
    let deaf = (primary + 2) % 3;
    if bench.trouble && drains {
        let drained = (primary + 1) % 3;
        bench
            .record
            .note(&format!("trouble: i-{}-{drained} drains", SERVICES[place]));
        group.service.lock().unwrap().nodes[drained].leaving = true;
    }
    if bench.trouble {
        bench.record.note(&format!(
            "trouble: i-{}-{deaf} receives nothing",
            SERVICES[place]
        ));
        group.set_deaf(deaf, true);
    }
    thread::sleep(Duration::from_millis(1_500));
    if bench.trouble {
        bench.record.note(&format!(
            "trouble: the primary i-{}-{primary} crashes",
            SERVICES[place]
        ));
        group.crash(primary);
    }
    thread::sleep(Duration::from_secs(3));
    if bench.trouble {
        bench
            .record
            .note("trouble ends: the replica receives, the old primary starts again");
        group.set_deaf(deaf, false);
        group.start(primary).map_err(|error| error.to_string())?;
    }
    thread::sleep(Duration::from_secs(2));
    bench.stop_clients();
    Ok(())
}

/// PINNED: the primary is grey for a while and refuses a part of its requests as `BUSY`, first
/// statements of transactions among them. Later other sessions use its connections.
fn run_values(folder: &Path) -> Fallible<i32> {
    let mut bench = Bench::start(folder, WhenFull::Wait, 0, 16)?;
    let group = Arc::clone(&bench.groups[0]);
    if bench.trouble {
        bench
            .record
            .note("trouble: the primary refuses 45 % of its requests");
        group.service.lock().unwrap().nodes[0].shed = 45;
    }
    for number in 0..12 {
        let transaction = move |session: &mut Session| {
            if !session.set("clerk", &format!("c{number}")) {
                return None;
            }
            run_transaction(session, Duration::from_millis(10))
        };
        bench.spawn_client(
            "grey time",
            DATABASES[0],
            transaction,
            Duration::from_millis(30),
        );
    }
    thread::sleep(Duration::from_millis(3_800));
    bench.stop_clients();
    bench.record.note("the sessions with values have ended");
    thread::sleep(Duration::from_millis(3_500));
    if bench.trouble {
        bench.record.note("trouble ends");
        group.service.lock().unwrap().nodes[0].shed = 0;
    }
    thread::sleep(Duration::from_millis(300));
    bench.record.note("sessions without values begin");
    for _ in 0..12 {
        let transaction =
            |session: &mut Session| run_transaction(session, Duration::from_millis(100));
        bench.spawn_client(
            "later",
            DATABASES[0],
            transaction,
            Duration::from_millis(30),
        );
    }
    thread::sleep(Duration::from_secs(5));
    Ok(bench.finish())
}

/// Runs a transaction of a read and a write, with a pause in between; returns the outcome of the
/// first statement that failed, or of the commit.
fn run_transaction(session: &mut Session, pause: Duration) -> Option<Outcome> {
    for text in ["BEGIN", "READ item1", "WRITE item2 data", "COMMIT"] {
        let (_, outcome) = session.query(text)?;
        if !outcome.is_complete() {
            if session.state != 'I' {
                session.query("ROLLBACK")?;
            }
            return Some(outcome);
        }
        if text != "COMMIT" {
            thread::sleep(pause);
        }
    }
    Some(Outcome::Complete(Vec::new(), String::new()))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        eprintln!("the case takes too long");
        system::kill_all();
        exit(2);
    });
    let folder = Path::new(folder);
    let result = match case.as_str() {
        "sync" => run_sync(folder),
        "values" => run_values(folder),
        _ => Err("no such case".to_owned()),
    };
    match result {
        Ok(code) => exit(code),
        Err(fault) => {
            eprintln!("the case couldn't run: {fault}");
            exit(2);
        }
    }
}
