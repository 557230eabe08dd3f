//! Stand-ins for the instances of one service and for the platform's promotion call.
//!
//! They do what the platform's pages say of a sound instance: one primary and its replicas, a log
//! whose positions are TERM.NUMBER, replicas that receive each commit over the network and apply it
//! a little later, and a commit that is acknowledged once `sync-replicas` replicas have received it.

use crate::http;
use crate::record::Record;
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

pub const INSTANCES: usize = 3;
pub const PORT: u16 = 8080;

/// How many statements an instance runs at a time, and how many wait; others get BUSY.
const SLOTS: usize = 2;
const QUEUE: usize = 16;

const MAX_CONNS: usize = 16;
const HANDSHAKE: Duration = Duration::from_millis(12);
const NETWORK: Duration = Duration::from_millis(1);
const APPLY_LAG: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const POLL: Duration = Duration::from_millis(1);

/// A committed write.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub term: u64,
    at: Instant,
}

#[derive(Default)]
struct Instance {
    alive: bool,
    /// Receives nothing from the primary.
    deaf: bool,
    leaving: bool,
    /// The share of requests that it rejects as BUSY.
    grey: f64,
    /// Partitioned from the core: what is sent in either direction is held up.
    cut: bool,
    received: usize,
    running: usize,
    waiting: usize,
    life: u64,
    born: u64,
    sequence: u64,
    /// The open connections of the present life.
    connections: Vec<TcpStream>,
}

/// How the platform treats an order.
#[derive(Clone, Copy)]
pub enum Treatment {
    /// It is answered and carried out.
    Prompt,
    /// It is not answered, and carried out this long after it came.
    Late(Duration),
}

/// A promotion that took place.
#[derive(Clone)]
pub struct Promotion {
    pub at: Instant,
    pub to: String,
    /// The log that the promotion dropped, as it was not received by the new primary.
    pub dropped: Vec<String>,
}

/// A statement that an instance ran.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    /// The text as it arrived; for a prepared statement, its shape and its item and data.
    pub text: String,
    /// The connection's values, as NAME=VALUE.
    pub values: String,
}

/// The state of a connection to an instance.
#[derive(Default)]
struct Connection {
    /// The ids of the writes of an open transaction.
    open: Option<Vec<String>>,
    /// Whether the open transaction has failed.
    failed: bool,
    prepared: BTreeMap<String, (String, String)>,
    values: BTreeMap<String, String>,
}

/// An order to promote.
#[derive(Clone)]
pub struct Order {
    pub holder: String,
    pub instance: String,
}

struct State {
    /// The time from an order until the instance leads.
    promotion: Duration,
    term: u64,
    primary: usize,
    fence: u64,
    log: Vec<Entry>,
    instances: [Instance; INSTANCES],
    promotions: Vec<Promotion>,
    /// The newest term in which an instance has reported itself as the primary.
    reported_term: u64,
    runs: Vec<Run>,
    /// Treatments of the next orders.
    treatments: Vec<Treatment>,
    last_order: Option<Order>,
}

/// A service that its instances' threads share.
#[derive(Clone)]
pub struct Service {
    pub name: String,
    sync_replicas: usize,
    addresses: Vec<String>,
    controls: Vec<String>,
    record: Record,
    state: Arc<Mutex<State>>,
    stop: Arc<AtomicBool>,
}

impl Service {
    pub fn create(
        name: &str,
        sync_replicas: usize,
        addresses: Vec<String>,
        controls: Vec<String>,
        record: &Record,
    ) -> Self {
        Self {
            name: name.to_owned(),
            sync_replicas,
            addresses,
            controls,
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                promotion: Duration::from_millis(600),
                term: 1,
                primary: 0,
                fence: 0,
                log: Vec::new(),
                instances: Default::default(),
                promotions: Vec::new(),
                reported_term: 1,
                runs: Vec::new(),
                treatments: Vec::new(),
                last_order: None,
            })),
            stop: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn id(&self, place: usize) -> String {
        format!("i-{}-{place}", self.name)
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    // What a test does and sees.

    pub fn primary(&self) -> usize {
        self.lock().primary
    }

    /// Sets whether an instance receives nothing from the primary.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        let Some(place) = (0..INSTANCES).find(|place| self.id(*place) == id) else {
            return;
        };
        let mut state = self.lock();
        self.advance(&mut state);
        state.instances[place].deaf = deaf;
        let word = if deaf {
            "receives nothing"
        } else {
            "receives again"
        };
        self.record.note(&format!("instance  {id} {word}"));
    }

    /// Waits until an instance has reported itself as the primary of a later term than the first.
    pub fn wait_for_new_primary(&self, limit: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < limit && self.lock().reported_term < 2 {
            sleep(POLL);
        }
    }

    /// Has the primary reject a share of its requests as BUSY.
    pub fn set_grey(&self, share: f64) {
        let mut state = self.lock();
        let primary = state.primary;
        state.instances[primary].grey = share;
        let id = self.id(primary);
        self.record
            .note(&format!("instance  {id} rejects {share} of its requests"));
    }

    /// Waits until the primary runs something on all its slots, a second at most.
    pub fn wait_until_busy(&self) {
        for _ in 0..4_000 {
            let state = self.lock();
            if state.instances[state.primary].running == SLOTS {
                return;
            }
            drop(state);
            sleep(Duration::from_micros(250));
        }
    }

    pub fn set_promotion_time(&self, time: Duration) {
        self.lock().promotion = time;
    }

    /// Partitions an instance from the core, or heals the partition.
    pub fn set_cut(&self, id: &str, cut: bool) {
        let Some(place) = (0..INSTANCES).find(|place| self.id(*place) == id) else {
            return;
        };
        self.lock().instances[place].cut = cut;
        let word = if cut { "is cut off from" } else { "reaches" };
        self.record.note(&format!("network   {id} {word} the core"));
    }

    /// Returns the instances' ids, the primary's first.
    pub fn ids(&self) -> [String; INSTANCES] {
        let primary = self.primary();
        std::array::from_fn(|step| self.id((primary + step) % INSTANCES))
    }

    pub fn plan_orders(&self, treatments: &[Treatment]) {
        self.lock().treatments = treatments.to_vec();
    }

    pub fn last_order(&self) -> Option<Order> {
        self.lock().last_order.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Starts an instance's process, with the log that it had.
    pub fn start_instance(&self, place: usize) {
        let mut state = self.lock();
        let instance = &mut state.instances[place];
        instance.alive = true;
        instance.life += 1;
        instance.sequence = 0;
        (instance.running, instance.waiting) = (0, 0);
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        instance.born = now.map_or(0, |since| since.as_millis() as u64);
        let life = instance.life;
        drop(state);
        self.record
            .note(&format!("instance  {} starts", self.id(place)));
        let (serving, announcing) = (self.clone(), self.clone());
        thread::spawn(move || serving.serve(place, life));
        thread::spawn(move || announcing.announce(place, life));
    }

    /// Crashes an instance: its connections break, and it keeps its log.
    pub fn crash_instance(&self, place: usize) {
        let mut state = self.lock();
        self.advance(&mut state);
        let instance = &mut state.instances[place];
        instance.alive = false;
        for stream in instance.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record
            .note(&format!("instance  {} crashes", self.id(place)));
    }

    // Replication.

    /// Lets the replicas receive what has had the time to reach them.
    fn advance(&self, state: &mut State) {
        let primary = state.primary;
        if !state.instances[primary].alive {
            return;
        }
        let reached = state
            .log
            .partition_point(|entry| entry.at.elapsed() >= NETWORK);
        for (place, instance) in state.instances.iter_mut().enumerate() {
            if place != primary && instance.alive && !instance.deaf {
                instance.received = instance.received.max(reached);
            }
        }
    }

    fn applied(&self, state: &State, place: usize) -> usize {
        let received = state.instances[place].received;
        if place == state.primary {
            return received;
        }
        let old = state.log[..received].partition_point(|entry| entry.at.elapsed() >= APPLY_LAG);
        old.min(received)
    }

    fn position(&self, state: &State, count: usize) -> (u64, usize) {
        let last = count.checked_sub(1).and_then(|last| state.log.get(last));
        (last.map_or(1, |entry| entry.term), count)
    }

    fn write_position(&self, place: usize) -> String {
        let state = self.lock();
        let (term, number) = self.position(&state, self.applied(&state, place));
        format!("{term}.{number}")
    }

    fn holds(&self, place: usize, wanted: &str) -> bool {
        let mut state = self.lock();
        self.advance(&mut state);
        let wanted = wanted.split_once('.').unwrap_or(("0", "0"));
        let wanted = (wanted.0.parse().unwrap_or(0), wanted.1.parse().unwrap_or(0));
        self.position(&state, self.applied(&state, place)) >= wanted
    }

    fn promote(&self, place: usize, token: u64) {
        let mut state = self.lock();
        if !state.instances[place].alive || place == state.primary {
            return;
        }
        self.advance(&mut state);
        let held = state.instances[place].received;
        let dropped: Vec<String> = state.log.drain(held..).map(|entry| entry.id).collect();
        state.term += 1;
        state.primary = place;
        for instance in &mut state.instances {
            instance.received = instance.received.min(held);
        }
        let to = self.id(place);
        let term = state.term;
        self.record.note(&format!(
            "platform  {to} leads term {term} with {held} commits (token {token}); dropped: {}",
            dropped.join(" ")
        ));
        let at = Instant::now();
        state.promotions.push(Promotion {
            at,
            to,
            dropped,
        });
    }

    // The platform's promotion call.

    fn take_order(&self, stream: &TcpStream, request: &http::Request) {
        let token: u64 = request
            .header("x-ragwortgate-fencing-token")
            .parse()
            .unwrap_or(0);
        let holder = request.header("x-ragwortgate-duty-holder").to_owned();
        let id = request.field("id");
        let place = (0..INSTANCES).find(|place| self.id(*place) == id);
        let treatment = {
            let mut state = self.lock();
            let (holder, instance) = (holder.clone(), id.clone());
            state.last_order = Some(Order { holder, instance });
            match state.treatments.is_empty() {
                true => Treatment::Prompt,
                false => state.treatments.remove(0),
            }
        };
        if let Treatment::Late(after) = treatment {
            self.record.note(&format!(
                "platform  order of {holder}: promote {id}, token {token}: no answer, carried out \
                 after {after:?}"
            ));
            sleep(after);
        }
        let (status, runs) = {
            let mut state = self.lock();
            match place {
                Some(place) if token >= state.fence && state.instances[place].alive => {
                    state.fence = token;
                    ("200 OK", place != state.primary)
                }
                _ => ("409 Conflict", false),
            }
        };
        let late = matches!(treatment, Treatment::Late(_));
        let kind = if late { "late order" } else { "order" };
        self.record.note(&format!(
            "platform  {kind} of {holder}: promote {id}, token {token}: {status}, runs: {runs}"
        ));
        if !late {
            http::respond(stream, status);
        }
        if let Some(place) = place.filter(|_| runs) {
            let promotion = self.lock().promotion;
            sleep(promotion);
            self.promote(place, token);
        }
    }

    // An instance.

    fn is_life(&self, place: usize, life: u64) -> bool {
        let state = self.lock();
        let instance = &state.instances[place];
        instance.alive && instance.life == life && !self.stopped()
    }

    fn announce(&self, place: usize, life: u64) {
        let mut said = None;
        let mut said_at = Instant::now();
        let mut url = place;
        while self.is_life(place, life) {
            let (now, sequence, born) = {
                let mut state = self.lock();
                let leads = state.primary == place;
                let instance = &mut state.instances[place];
                let now = (leads, instance.leaving);
                if instance.cut || (said == Some(now) && said_at.elapsed() < HEARTBEAT) {
                    drop(state);
                    sleep(Duration::from_millis(10));
                    continue;
                }
                instance.sequence += 1;
                (now, instance.sequence, instance.born)
            };
            let role = if now.0 { "primary" } else { "replica" };
            let ready = if now.1 { "draining" } else { "ready" };
            let zone = ["hall-one", "hall-two", "hall-three"][place];
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}:{PORT}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"capacity\":{SLOTS},\"state\":\"{ready}\",\
                 \"cold-remaining-ms\":0,\"db-role\":\"{role}\",\"born\":{born},\
                 \"sequence\":{sequence}}}",
                self.name, self.addresses[place]
            );
            let head = format!("PUT /v1/instances/{}", self.id(place));
            for _ in 0..self.controls.len() {
                let control = &self.controls[url % self.controls.len()];
                if http::call(control, &head, &body).is_some_and(|(status, _)| status == 200) {
                    (said, said_at) = (Some(now), Instant::now());
                    break;
                }
                url += 1;
            }
            sleep(Duration::from_millis(10));
        }
    }

    /// Waits while the instance is partitioned from the core.
    fn wait_for_path(&self, place: usize, life: u64) {
        while self.is_life(place, life) && self.lock().instances[place].cut {
            sleep(POLL);
        }
    }

    fn serve(&self, place: usize, life: u64) {
        let address = format!("{}:{PORT}", self.addresses[place]);
        let listener = loop {
            match TcpListener::bind(&address) {
                Ok(listener) => break listener,
                Err(_) if self.is_life(place, life) => sleep(Duration::from_millis(10)),
                Err(_) => return,
            }
        };
        let _ = listener.set_nonblocking(true);
        while self.is_life(place, life) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let service = self.clone();
                    thread::spawn(move || service.serve_connection(&stream, place, life));
                }
                Err(_) => sleep(POLL),
            }
        }
    }

    fn serve_connection(&self, stream: &TcpStream, place: usize, life: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        {
            let mut state = self.lock();
            let instance = &mut state.instances[place];
            if !instance.alive || instance.life != life {
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                instance.connections.push(clone);
            }
        }
        self.converse(stream, place, life);
        let mut state = self.lock();
        let connections = &mut state.instances[place].connections;
        let own = stream.peer_addr().ok();
        connections.retain(|one| one.peer_addr().ok().is_some_and(|peer| Some(peer) != own));
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn converse(&self, mut stream: &TcpStream, place: usize, life: u64) {
        let mut lines = BufReader::new(stream).lines();
        let Some(Ok(opening)) = lines.next() else {
            return;
        };
        self.wait_for_path(place, life);
        let words: Vec<&str> = opening.split(' ').collect();
        let named = words.get(1) == Some(&self.name.as_str());
        let expected = words.get(3).is_none_or(|id| *id == self.id(place));
        if words[0] != "STARTUP" || !named || !expected {
            let _ = stream.write_all(b"ERROR MISROUTED wrong instance\r\n");
            return;
        }
        if self.lock().instances[place].connections.len() > MAX_CONNS {
            let _ = stream.write_all(b"ERROR CONNLIMIT too many connections\r\n");
            return;
        }
        sleep(HANDSHAKE);
        let ready = format!("READY I {}\r\n", self.write_position(place));
        self.wait_for_path(place, life);
        if stream.write_all(ready.as_bytes()).is_err() {
            return;
        }
        let mut connection = Connection::default();
        for line in lines {
            let Ok(line) = line else {
                return;
            };
            let Some(query) = line.strip_prefix("QUERY ") else {
                return;
            };
            self.wait_for_path(place, life);
            let Some(answer) = self.run_query(query, place, life, &mut connection) else {
                return;
            };
            if connection.open.is_some() && answer.starts_with("ERROR") {
                connection.failed = true;
            }
            if !self.is_life(place, life) {
                return;
            }
            let letter = match (&connection.open, connection.failed) {
                (None, _) => "I",
                (Some(_), false) => "T",
                (Some(_), true) => "E",
            };
            let position = self.write_position(place);
            let answer = format!("{answer}READY {letter} {position}\r\n");
            self.wait_for_path(place, life);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs one query; `None` if the connection ends without an answer.
    fn run_query(
        &self,
        query: &str,
        place: usize,
        life: u64,
        connection: &mut Connection,
    ) -> Option<String> {
        let (id, mut text) = query.split_once(' ').unwrap_or((query, ""));
        let mut lags = false;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, statement) = rest.split_once(' ').unwrap_or((rest, ""));
            text = statement;
            lags = !self.holds(place, position);
        }
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let done = Some("COMPLETE -\r\n".to_owned());
        let leads = self.lock().primary == place;
        if connection.failed {
            if matches!(verb, "ROLLBACK" | "COMMIT") {
                (connection.open, connection.failed) = (None, false);
                return match verb {
                    "ROLLBACK" => done,
                    _ => Some("ERROR ABORTED failed before\r\n".to_owned()),
                };
            }
            return Some("ERROR MALFORMED transaction has failed\r\n".to_owned());
        }
        if verb == "STATUS" {
            return Some(self.describe(place));
        }
        if lags {
            return Some("ERROR LAGGING behind\r\n".to_owned());
        }
        let mut verb = verb;
        let mut run = text.to_owned();
        match verb {
            "PREPARE" => {
                let mut words = rest.splitn(3, ' ');
                let name = words.next().unwrap_or_default().to_owned();
                let access = words.next().unwrap_or_default().to_owned();
                let shape = words.next().unwrap_or_default().to_owned();
                let known = connection.prepared.contains_key(&name);
                if known || !matches!(access.as_str(), "READ" | "WRITE") || shape.is_empty() {
                    return Some("ERROR MALFORMED not a prepare\r\n".to_owned());
                }
                connection.prepared.insert(name, (access, shape));
                return done;
            }
            "DEALLOC" => {
                connection.prepared.remove(rest);
                return done;
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                connection.values.insert(name.to_owned(), value.to_owned());
                return done;
            }
            "RESET" => {
                connection.prepared.clear();
                connection.values.clear();
                return done;
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some((access, shape)) = connection.prepared.get(name) else {
                    return Some("ERROR NOSTMT no such name\r\n".to_owned());
                };
                run = format!("[{shape}] {arguments}");
                verb = if access == "READ" { "READ" } else { "WRITE" };
            }
            _ => {}
        }
        match verb {
            "BEGIN" if rest.is_empty() && !leads => {
                return Some("ERROR READONLY replica\r\n".to_owned());
            }
            "BEGIN" => {
                connection.open = Some(Vec::new());
                return done;
            }
            "ROLLBACK" => {
                connection.open = None;
                return done;
            }
            "WRITE" if !leads => return Some("ERROR READONLY replica\r\n".to_owned()),
            "READ" | "WRITE" | "COMMIT" => {}
            _ => return done,
        }
        let grey = self.lock().instances[place].grey;
        if grey > 0.0 && draw() < grey {
            return Some("ERROR BUSY rejected\r\n".to_owned());
        }
        if !self.take_slot(place, life)? {
            return Some("ERROR BUSY no slot\r\n".to_owned());
        }
        let work = if verb == "READ" { 9 } else { 3 };
        sleep(Duration::from_millis(work));
        self.lock().runs.push(Run {
            id: id.to_owned(),
            text: run,
            values: connection
                .values
                .iter()
                .map(|(name, value)| format!("{name}={value}"))
                .collect::<Vec<_>>()
                .join(" "),
        });
        let answer = match verb {
            "READ" => Some(self.sign(place, "ROW data\r\n")),
            "WRITE" => match connection.open.as_mut() {
                Some(writes) => {
                    writes.push(id.to_owned());
                    Some(self.sign(place, ""))
                }
                None => self.commit(place, life, &[id.to_owned()]),
            },
            _ => {
                let writes = connection.open.take().unwrap_or_default();
                self.commit(place, life, &writes)
            }
        };
        let mut state = self.lock();
        let instance = &mut state.instances[place];
        if instance.life == life {
            instance.running = instance.running.saturating_sub(1);
        }
        answer
    }

    fn sign(&self, place: usize, rows: &str) -> String {
        format!("{rows}COMPLETE signature.{place}\r\n")
    }

    /// Waits for a free slot; `Some(false)` if the queue is full, `None` if the process has ended.
    fn take_slot(&self, place: usize, life: u64) -> Option<bool> {
        let mut waits = false;
        loop {
            let mut state = self.lock();
            let instance = &mut state.instances[place];
            if !instance.alive || instance.life != life || self.stopped() {
                return None;
            }
            if instance.running < SLOTS {
                instance.running += 1;
                instance.waiting -= usize::from(waits);
                return Some(true);
            }
            if !waits {
                if instance.waiting >= QUEUE {
                    return Some(false);
                }
                instance.waiting += 1;
                waits = true;
            }
            drop(state);
            sleep(POLL);
        }
    }

    /// Commits writes, and waits until enough replicas have received them.
    fn commit(&self, place: usize, life: u64, ids: &[String]) -> Option<String> {
        if ids.is_empty() {
            return Some(self.sign(place, ""));
        }
        let (term, number) = {
            let mut state = self.lock();
            if state.primary != place || !state.instances[place].alive {
                return Some("ERROR READONLY replica\r\n".to_owned());
            }
            let (term, at) = (state.term, Instant::now());
            for id in ids {
                state.log.push(Entry {
                    id: id.clone(),
                    term,
                    at,
                });
            }
            let number = state.log.len();
            state.instances[place].received = number;
            self.record.note(&format!(
                "instance  {} commits {} as {term}.{number}",
                self.id(place),
                ids.join(" ")
            ));
            (term, number)
        };
        loop {
            {
                let mut state = self.lock();
                if state.term != term || state.instances[place].life != life || self.stopped() {
                    return None;
                }
                if !state.instances[place].alive {
                    return None;
                }
                self.advance(&mut state);
                let others = state.instances.iter().enumerate();
                let held = others.filter(|(other, one)| *other != place && one.received >= number);
                if held.count() >= self.sync_replicas {
                    return Some(self.sign(place, ""));
                }
            }
            sleep(POLL);
        }
    }

    fn describe(&self, place: usize) -> String {
        let mut state = self.lock();
        self.advance(&mut state);
        if state.instances[place].running >= SLOTS {
            return "ERROR BUSY no slot\r\n".to_owned();
        }
        let role = if state.primary == place {
            "primary"
        } else {
            "replica"
        };
        let received = state.instances[place].received;
        let (term, number) = self.position(&state, received);
        let held = state.term;
        if state.primary == place {
            state.reported_term = held;
        }
        let (busy, connections) = (
            state.instances[place].running,
            state.instances[place].connections.len(),
        );
        format!("ROW {role} {held} {term}.{number} 0 20 {busy} {connections}\r\nCOMPLETE -\r\n")
    }
}

/// Serves the platform's promotion call.
pub fn serve_cloud(address: &str, services: &[Service]) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let services = services.to_vec();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let services = services.clone();
            thread::spawn(move || {
                let Ok(request) = http::read_request(&stream) else {
                    return;
                };
                let name = request.field("service");
                match services.iter().find(|service| service.name == name) {
                    Some(service) => service.take_order(&stream, &request),
                    None => http::respond(&stream, "404 Not Found"),
                }
            });
        }
    });
    Ok(())
}

/// Draws a number from 0 to 1.
fn draw() -> f64 {
    let random = RandomState::new().hash_one(0);
    (random >> 11) as f64 / (1_u64 << 53) as f64
}
