//! The stand-in instances, and what they have run.
//!
//! They follow the platform's page on the wire. Numbers of commits go on over a change of term.

use crate::record::Record;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Replicas apply what they have received after this time.
const APPLY_LAG: Duration = Duration::from_millis(20);

/// How long a new connection occupies a slot.
const HANDSHAKE: Duration = Duration::from_millis(12);

/// The values that a session has set, by name.
pub type Values = BTreeMap<String, String>;

/// What a request that needs a slot gets if all are taken.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum WhenFull {
    /// It waits for one.
    Wait,
    /// It is answered with `BUSY`.
    Refuse,
}

/// What a refusal as `BUSY` does, where the pages are silent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BusyEffect {
    /// It fails an open transaction, as any other error does.
    FailsTransaction,
    /// An open transaction goes on. A grey instance refuses `RESET` like other requests.
    KeepsTransaction,
}

/// A committed write.
#[derive(Clone)]
pub struct Commit {
    pub number: u64,
    pub at: Instant,
    pub id: String,
    pub item: String,
    pub data: String,
}

/// The state of one instance.
pub struct Node {
    pub id: String,
    pub address: String,
    pub zone: String,
    pub alive: bool,
    /// Receives nothing from the primary.
    pub deaf: bool,
    /// Says `draining` in its heartbeats, and goes on receiving and serving.
    pub leaving: bool,
    pub received: u64,
    pub busy: u32,
    pub connections: u32,
    /// The share of requests that fail with `BUSY`, in hundredths.
    pub shed: u32,
    /// Counts the lives of the process.
    pub life: u64,
    pub sequence: u64,
    streams: Vec<TcpStream>,
}

/// The state of one service.
pub struct Service {
    pub name: String,
    pub term: u64,
    pub lead: usize,
    pub log: Vec<Commit>,
    pub nodes: Vec<Node>,
    pub sync: u32,
    pub max_conns: u32,
    pub slots: u32,
    pub fence: u64,
    random: u64,
}

/// What clients have said and been told, by the ids of their statements.
#[derive(Default)]
pub struct Ledger {
    /// The session values that were acknowledged before the statement was sent.
    pub values: HashMap<String, Values>,
    /// The texts that were sent.
    pub texts: HashMap<String, String>,
    pub acknowledged: HashSet<String>,
    pub violations: Vec<String>,
    pub runs: u64,
}

/// One service with its instances.
pub struct Group {
    pub service: Mutex<Service>,
    pub ledger: Arc<Mutex<Ledger>>,
    pub record: Arc<Record>,
    pub when_full: WhenFull,
    pub busy_effect: BusyEffect,
    pub controls: Vec<String>,
    pub promote_time: Duration,
}

impl Service {
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// The number up to which an instance has applied the log.
    fn applied(&self, node: usize) -> u64 {
        let received = self.nodes[node].received;
        if node == self.lead {
            return received;
        }
        let now = Instant::now();
        let upto = self.log.iter().take(received as usize);
        let held = upto.rev().find(|commit| commit.at + APPLY_LAG <= now);
        held.map_or(0, |commit| commit.number)
    }

    fn position(&self, node: usize) -> String {
        format!("{}.{}", self.term, self.applied(node))
    }

    /// Passes the log on to all replicas that receive.
    fn replicate(&mut self) {
        let newest = self.log.len() as u64;
        for node in &mut self.nodes {
            if node.alive && !node.deaf {
                node.received = newest;
            }
        }
    }

    fn is_synced(&self, number: u64) -> bool {
        let lead = self.lead;
        let others = self.nodes.iter().enumerate();
        let holders = others.filter(|(at, node)| *at != lead && node.received >= number);
        holders.count() as u32 >= self.sync
    }
}

impl Group {
    pub fn new(
        name: &str,
        addresses: &[(String, String)],
        record: &Arc<Record>,
        ledger: &Arc<Mutex<Ledger>>,
        when_full: WhenFull,
        busy_effect: BusyEffect,
        controls: Vec<String>,
    ) -> Arc<Self> {
        let nodes = addresses
            .iter()
            .enumerate()
            .map(|(number, (ip, zone))| Node {
                id: format!("i-{name}-{number}"),
                address: format!("{ip}:8069"),
                zone: zone.clone(),
                alive: false,
                deaf: false,
                leaving: false,
                received: 0,
                busy: 0,
                connections: 0,
                shed: 0,
                life: 0,
                sequence: 0,
                streams: Vec::new(),
            });
        Arc::new(Self {
            service: Mutex::new(Service {
                name: name.to_owned(),
                term: 1,
                lead: 0,
                log: Vec::new(),
                nodes: nodes.collect(),
                sync: 0,
                max_conns: 16,
                slots: 2,
                fence: 0,
                random: 0x9e37_79b9_7f4a_7c15 ^ u64::from(std::process::id()),
            }),
            ledger: Arc::clone(ledger),
            record: Arc::clone(record),
            when_full,
            busy_effect,
            controls,
            promote_time: Duration::from_millis(600),
        })
    }

    /// Starts an instance: its listener and its heartbeats.
    pub fn start(self: &Arc<Self>, node: usize) -> std::io::Result<()> {
        let (address, life) = {
            let mut service = self.service.lock().unwrap();
            let one = &mut service.nodes[node];
            one.alive = true;
            one.life += 1;
            (one.address.clone(), one.life)
        };
        let listener = TcpListener::bind(&address)?;
        listener.set_nonblocking(true)?;
        let group = Arc::clone(self);
        thread::spawn(move || {
            while group.is_life(node, life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let group = Arc::clone(&group);
                        let _ = stream.set_nonblocking(false);
                        thread::spawn(move || group.serve(node, life, stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let group = Arc::clone(self);
        thread::spawn(move || group.send_heartbeats(node, life));
        Ok(())
    }

    /// Crashes an instance: it answers nothing any more, and its connections end.
    pub fn crash(&self, node: usize) {
        let mut service = self.service.lock().unwrap();
        let one = &mut service.nodes[node];
        one.alive = false;
        one.life += 1;
        one.busy = 0;
        for stream in one.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_life(&self, node: usize, life: u64) -> bool {
        let service = self.service.lock().unwrap();
        service.nodes[node].alive && service.nodes[node].life == life
    }

    fn send_heartbeats(&self, node: usize, life: u64) {
        let mut last_said = ("", "");
        let mut last_sent = Instant::now() - Duration::from_secs(10);
        let mut target = node;
        while self.is_life(node, life) {
            let (said, body, id) = {
                let mut service = self.service.lock().unwrap();
                let role = if service.lead == node {
                    "primary"
                } else {
                    "replica"
                };
                let slots = service.slots;
                let name = service.name.clone();
                let one = &mut service.nodes[node];
                one.sequence += 1;
                let state = if one.leaving { "draining" } else { "ready" };
                let body = format!(
                    "{{\"service\":\"{name}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"capacity\":{slots},\"state\":\"{state}\",\"cold-remaining-ms\":0,\
                     \"db-role\":\"{role}\",\"sequence\":{}}}",
                    one.address, one.zone, one.sequence
                );
                ((role, state), body, one.id.clone())
            };
            if said != last_said || last_sent.elapsed() >= Duration::from_millis(1_200) {
                for _ in 0..self.controls.len() {
                    let control = &self.controls[target % self.controls.len()];
                    let path = format!("/v1/instances/{id}");
                    let answer = crate::http::call(control, "PUT", &path, &[], &body);
                    if answer.is_some_and(|(status, _)| status / 100 == 2) {
                        last_said = said;
                        break;
                    }
                    target += 1;
                }
                last_sent = Instant::now();
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Carries out an order to promote, some hundred milliseconds after it was accepted.
    pub fn promote(self: &Arc<Self>, id: &str, token: u64, holder: &str) -> u16 {
        let mut service = self.service.lock().unwrap();
        if token < service.fence {
            self.record.note(&format!(
                "order {id} token {token} of {holder}: 409, lower fence"
            ));
            return 409;
        }
        let Some(chosen) = service
            .nodes
            .iter()
            .position(|node| node.id == id && node.alive)
        else {
            self.record.note(&format!(
                "order {id} token {token} of {holder}: 409, not running"
            ));
            return 409;
        };
        service.fence = token;
        self.record
            .note(&format!("order {id} token {token} of {holder}: 200"));
        if chosen == service.lead {
            return 200;
        }
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(group.promote_time);
            group.lead_with(chosen);
        });
        200
    }

    fn lead_with(&self, chosen: usize) {
        let mut service = self.service.lock().unwrap();
        if !service.nodes[chosen].alive || chosen == service.lead {
            return;
        }
        let held = service.nodes[chosen].received;
        let states: Vec<String> = service
            .nodes
            .iter()
            .map(|node| {
                format!(
                    "{} alive={} received={}",
                    node.id, node.alive, node.received
                )
            })
            .collect();
        self.record.note(&format!(
            "promoted {} with {held} of {} commits; {}",
            service.nodes[chosen].id,
            service.log.len(),
            states.join(", ")
        ));
        if service.sync > 0 {
            let mut ledger = self.ledger.lock().unwrap();
            let dropped = service.log.iter().skip(held as usize);
            let lost: Vec<String> = dropped
                .filter(|commit| ledger.acknowledged.contains(&commit.id))
                .map(|commit| format!("{} (commit {})", commit.id, commit.number))
                .collect();
            for one in lost.iter().take(3) {
                self.record.note(&format!(
                    "LOST: acknowledged write {one} isn't in the promoted log"
                ));
            }
            if !lost.is_empty() {
                let line = format!("LOST: {} acknowledged writes in all", lost.len());
                self.record.note(&line);
                ledger.violations.push(line);
            }
        }
        service.log.truncate(held as usize);
        service.term += 1;
        service.lead = chosen;
        for node in &mut service.nodes {
            node.received = node.received.min(held);
        }
        service.replicate();
    }

    /// Lets a replica that was deaf receive again.
    pub fn set_deaf(&self, node: usize, deaf: bool) {
        let mut service = self.service.lock().unwrap();
        service.nodes[node].deaf = deaf;
        if !deaf {
            service.replicate();
        }
    }

    fn serve(self: Arc<Self>, node: usize, life: u64, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            let mut service = self.service.lock().unwrap();
            service.nodes[node].connections += 1;
            service.nodes[node].streams.push(copy);
        }
        let mut session = InstanceSession {
            group: &self,
            stream: &stream,
            node,
            life,
            values: Values::new(),
            prepared: BTreeMap::new(),
            transaction: None,
        };
        let _ = session.run(&stream);
        let _ = stream.shutdown(Shutdown::Both);
        let mut service = self.service.lock().unwrap();
        service.nodes[node].connections -= 1;
    }
}

struct OpenTransaction {
    reads_only: bool,
    failed: bool,
    writes: Vec<(String, String, String)>,
}

struct InstanceSession<'g> {
    group: &'g Group,
    stream: &'g TcpStream,
    node: usize,
    life: u64,
    values: Values,
    prepared: BTreeMap<String, (String, String)>,
    transaction: Option<OpenTransaction>,
}

/// The answer to a query: its lines without the last one.
type Answer = Result<Vec<String>, String>;

impl InstanceSession<'_> {
    fn run(&mut self, stream: &TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        let mut opened = false;
        loop {
            let Some(line) = read_line(&mut reader)? else {
                return Ok(());
            };
            let mut answer = String::new();
            if let Some(rest) = line.strip_prefix("STARTUP ") {
                if let Some(code) = self.refuse_startup(rest) {
                    writer.write_all(format!("ERROR {code} refused\r\n").as_bytes())?;
                    return Ok(());
                }
                self.count_busy(1);
                thread::sleep(HANDSHAKE);
                self.count_busy(-1);
                opened = true;
            } else if let Some(rest) = line.strip_prefix("QUERY ").filter(|_| opened) {
                let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.answer(id, text) {
                    Ok(lines) => {
                        for line in lines {
                            answer += &line;
                            answer += "\r\n";
                        }
                    }
                    Err(code) => {
                        let goes_on = code.starts_with("BUSY")
                            && self.group.busy_effect == BusyEffect::KeepsTransaction;
                        if let Some(open) = self.transaction.as_mut().filter(|_| !goes_on) {
                            open.failed = true;
                        }
                        answer += &format!("ERROR {code}\r\n");
                    }
                }
            } else {
                return Ok(());
            }
            if !self.group.is_life(self.node, self.life) {
                return Ok(());
            }
            let position = self.group.service.lock().unwrap().position(self.node);
            answer += &format!("READY {} {position}\r\n", self.state());
            writer.write_all(answer.as_bytes())?;
        }
    }

    fn state(&self) -> &'static str {
        match &self.transaction {
            None => "I",
            Some(open) if open.failed => "E",
            Some(_) => "T",
        }
    }

    fn refuse_startup(&self, rest: &str) -> Option<&'static str> {
        let fields: Vec<&str> = rest.split(' ').collect();
        let service = self.group.service.lock().unwrap();
        let node = &service.nodes[self.node];
        if fields[0] != service.name || fields.get(2).is_some_and(|id| *id != node.id) {
            return Some("MISROUTED");
        }
        (node.connections > service.max_conns).then_some("CONNLIMIT")
    }

    fn count_busy(&self, change: i32) {
        let mut service = self.group.service.lock().unwrap();
        let node = &mut service.nodes[self.node];
        if node.life == self.life {
            node.busy = node.busy.saturating_add_signed(change);
        }
    }

    /// Takes a slot.
    fn take_slot(&self) -> Result<(), String> {
        loop {
            {
                let mut service = self.group.service.lock().unwrap();
                let slots = service.slots;
                let node = &mut service.nodes[self.node];
                if node.life != self.life {
                    return Err("FAILED gone".to_owned());
                }
                if node.busy < slots {
                    node.busy += 1;
                    return Ok(());
                }
            }
            if self.group.when_full == WhenFull::Refuse {
                return Err("BUSY all slots are taken".to_owned());
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Works in a slot.
    fn work(&self, millis: u64) -> Result<(), String> {
        self.take_slot()?;
        thread::sleep(Duration::from_millis(millis));
        self.count_busy(-1);
        Ok(())
    }

    /// Draws a time of work: a logarithmic normal distribution with this mean and a spread of 0.7,
    /// as the site files have it.
    fn draw_work(&self, mean: f64, most: f64) -> u64 {
        let mut service = self.group.service.lock().unwrap();
        let mut unit = || (service.next_random() % 1_000_000 + 1) as f64 / 1_000_001.0;
        let (one, other) = (unit(), unit());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos();
        let drawn = mean * (0.7 * normal - 0.245).exp();
        drawn.clamp(1.0, most) as u64
    }

    fn sheds(&self) -> bool {
        let mut service = self.group.service.lock().unwrap();
        let share = service.nodes[self.node].shed;
        share > 0 && service.next_random() % 100 < u64::from(share)
    }

    /// Whether the other end has closed the connection.
    fn is_left(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(1)));
        let left = matches!(self.stream.peek(&mut byte), Ok(0));
        let _ = self.stream.set_read_timeout(None);
        left
    }

    fn leads(&self) -> bool {
        self.group.service.lock().unwrap().lead == self.node
    }

    fn answer(&mut self, id: &str, text: &str) -> Answer {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ').unwrap_or((rest, ""));
                (read_position(position), text)
            }
            None => (None, text),
        };
        let complete = || Ok(vec!["COMPLETE -".to_owned()]);
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "ROLLBACK" => {
                self.transaction = None;
                return complete();
            }
            "COMMIT" => return self.commit(id),
            _ => {}
        }
        if self.transaction.as_ref().is_some_and(|open| open.failed) {
            if id == "-" {
                let line = format!("{text} in a failed transaction is answered with MALFORMED");
                self.group.record.note(&line);
            }
            return Err("MALFORMED the transaction failed".to_owned());
        }
        match word {
            "RESET" => {
                let refusable = self.group.busy_effect == BusyEffect::KeepsTransaction;
                if refusable && self.sheds() {
                    self.group.record.note("RESET is refused with BUSY");
                    return Err("BUSY shed".to_owned());
                }
                self.values.clear();
                self.prepared.clear();
                complete()
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                complete()
            }
            "PREPARE" => {
                let mut words = rest.splitn(3, ' ').map(str::to_owned);
                let name = words.next().unwrap_or_default();
                let access = words.next().unwrap_or_default();
                self.prepared
                    .insert(name, (access, words.next().unwrap_or_default()));
                complete()
            }
            "DEALLOC" => {
                self.prepared.remove(rest);
                complete()
            }
            "STATUS" => self.report(),
            "BEGIN" => self.begin(rest == "READ", after),
            "READ" => self.statement(id, text, false, rest, after),
            "WRITE" => self.statement(id, text, true, rest, after),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name).cloned() {
                    Some((access, _)) => {
                        self.statement(id, text, access == "WRITE", arguments, after)
                    }
                    None => Err("NOSTMT no such name".to_owned()),
                }
            }
            _ => Err("MALFORMED".to_owned()),
        }
    }

    fn report(&self) -> Answer {
        if let Err(busy) = self.take_slot() {
            let id = self.group.service.lock().unwrap().nodes[self.node]
                .id
                .clone();
            self.group
                .record
                .note(&format!("{id} answers STATUS with BUSY"));
            return Err(busy);
        }
        self.count_busy(-1);
        let service = self.group.service.lock().unwrap();
        let node = &service.nodes[self.node];
        let role = if service.lead == self.node {
            "primary"
        } else {
            "replica"
        };
        let row = format!(
            "ROW {role} {} {}.{} 0 20 {} {}",
            service.term, service.term, node.received, node.busy, node.connections
        );
        self.group
            .record
            .note(&format!("{} answers STATUS with {row}", node.id));
        Ok(vec![row, "COMPLETE -".to_owned()])
    }

    fn begin(&mut self, reads_only: bool, after: Option<(u64, u64)>) -> Answer {
        if !reads_only && !self.leads() {
            return Err("READONLY a replica".to_owned());
        }
        self.check_after(after)?;
        self.transaction = Some(OpenTransaction {
            reads_only,
            failed: false,
            writes: Vec::new(),
        });
        Ok(vec!["COMPLETE -".to_owned()])
    }

    fn check_after(&self, after: Option<(u64, u64)>) -> Result<(), String> {
        let Some((term, number)) = after else {
            return Ok(());
        };
        let service = self.group.service.lock().unwrap();
        match service.term >= term && service.applied(self.node) >= number {
            true => Ok(()),
            false => Err("LAGGING".to_owned()),
        }
    }

    fn statement(
        &mut self,
        id: &str,
        text: &str,
        writes: bool,
        arguments: &str,
        after: Option<(u64, u64)>,
    ) -> Answer {
        let plain = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.reads_only);
        if (writes || plain) && !self.leads() {
            return Err("READONLY a replica".to_owned());
        }
        if self.sheds() {
            return Err("BUSY shed".to_owned());
        }
        self.check_after(after)?;
        self.note_run(id, text);
        let work = match writes {
            true => self.draw_work(3.0, 22.0),
            false => self.draw_work(15.0, 110.0),
        };
        self.work(work)?;
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        if !writes {
            let service = self.group.service.lock().unwrap();
            let held = service.applied(self.node) as usize;
            let found = service.log[..held.min(service.log.len())].iter().rev();
            let found = found.into_iter().find(|commit| commit.item == item);
            let data = found
                .map_or("none", |commit| commit.data.as_str())
                .to_owned();
            return Ok(vec![format!("ROW {data}"), sign(id)]);
        }
        let write = (id.to_owned(), item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some(open) => open.writes.push(write),
            None => self.apply(vec![write])?,
        }
        Ok(vec![sign(id)])
    }

    fn commit(&mut self, id: &str) -> Answer {
        let writes = self.transaction.as_ref();
        let writes = writes.is_some_and(|open| !open.failed && !open.writes.is_empty());
        if writes && self.group.busy_effect == BusyEffect::KeepsTransaction && self.sheds() {
            return Err("BUSY shed".to_owned());
        }
        let Some(open) = self.transaction.take() else {
            return Err("MALFORMED no transaction".to_owned());
        };
        if open.failed {
            return Err("ABORTED rolled back".to_owned());
        }
        if open.writes.is_empty() {
            return Ok(vec![sign(id)]);
        }
        if !self.leads() {
            return Err("READONLY lost the lead".to_owned());
        }
        if self.group.busy_effect == BusyEffect::FailsTransaction && self.sheds() {
            return Err("BUSY shed".to_owned());
        }
        self.note_run(id, "COMMIT");
        self.work(3)?;
        let writes = open
            .writes
            .into_iter()
            .map(|write| (id.to_owned(), write.1, write.2));
        self.apply(writes.collect())?;
        Ok(vec![sign(id)])
    }

    /// Commits writes, and waits until enough replicas have received them.
    fn apply(&self, writes: Vec<(String, String, String)>) -> Result<(), String> {
        let number = {
            let mut service = self.group.service.lock().unwrap();
            if service.lead != self.node || service.nodes[self.node].life != self.life {
                return Err("READONLY lost the lead".to_owned());
            }
            for (id, item, data) in writes {
                let number = service.log.len() as u64 + 1;
                service.log.push(Commit {
                    number,
                    at: Instant::now(),
                    id,
                    item,
                    data,
                });
            }
            service.replicate();
            service.log.len() as u64
        };
        while !self.group.service.lock().unwrap().is_synced(number) {
            if !self.group.is_life(self.node, self.life) || self.is_left() {
                return Err("FAILED gone".to_owned());
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// Compares what a client's statement meets with what its client was told.
    fn note_run(&self, id: &str, text: &str) {
        if id == "-" {
            return;
        }
        let mut ledger = self.group.ledger.lock().unwrap();
        ledger.runs += 1;
        let wrong_values = ledger
            .values
            .get(id)
            .is_none_or(|values| *values != self.values);
        if wrong_values {
            let expected = ledger.values.get(id).cloned().unwrap_or_default();
            let line = format!(
                "PINNED: {id} ({text}) runs with session values {:?}, its client was acknowledged {expected:?}",
                self.values
            );
            self.group.record.note(&line);
            ledger.violations.push(line);
        }
        let sent = ledger.texts.get(id).cloned();
        if !text.starts_with("EXECUTE") && sent.as_deref() != Some(text) {
            let line = format!("UNASKED: {id} runs as {text:?}, its client sent {sent:?}");
            self.group.record.note(&line);
            ledger.violations.push(line);
        }
    }
}

fn sign(id: &str) -> String {
    format!("COMPLETE s.{id}")
}

fn read_position(text: &str) -> Option<(u64, u64)> {
    let (term, number) = text.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}

/// Reads one line that ends with CR LF.
pub fn read_line(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut bytes = Vec::new();
    loop {
        if reader.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(None);
        }
        if bytes.ends_with(b"\r\n") {
            bytes.truncate(bytes.len() - 2);
            return Ok(Some(String::from_utf8_lossy(&bytes).into_owned()));
        }
    }
}
