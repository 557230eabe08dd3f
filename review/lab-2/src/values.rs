//! An instance rejects a part of its requests as BUSY. Sessions with values and sessions without any
//! share its connections.

use crate::clients::is_success;
use crate::clients::Session;
use crate::record::Record;
use crate::set::Route;
use crate::set::Set;
use crate::Outcome;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

const SERVICES: [&str; 3] = ["records", "rulings", "edits"];
const GREY_SHARE: f64 = 0.45;
const GREY_TIME: Duration = Duration::from_millis(6_500);
/// Clients work for a while, then rest, as many sessions are mostly idle.
const WORK_MS: u128 = 1_500;
const REST_MS: u128 = 2_500;

type Expected = Arc<Mutex<BTreeMap<String, String>>>;

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let routes = SERVICES.map(|service| Route {
        host: service,
        kind: "primary",
        service,
        timeout_ms: 800,
    });
    let set = Set::start(record, &SERVICES, 0, &routes)?;
    let expected = Expected::default();
    let stop = Arc::new(AtomicBool::new(false));
    let begun = Instant::now();
    let mut threads = Vec::new();
    for number in 0..12 {
        let gateways = set.layout.gateways();
        let gateway = gateways[number % gateways.len()].clone();
        let (expected, stop, record) = (expected.clone(), stop.clone(), record.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                run_session(number, &gateway, begun, &expected, &stop, &record);
                sleep(Duration::from_millis(100));
            }
        }));
    }
    sleep(Duration::from_secs(3));
    if trouble {
        set.services[0].set_grey(GREY_SHARE);
    }
    sleep(GREY_TIME);
    set.services[0].set_grey(0.0);
    sleep(Duration::from_secs(9));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let outcome = judge(record, &set, &expected);
    set.stop(record);
    Ok(outcome)
}

/// Serves one session of a client: even ones set a value and write in transactions, odd ones set
/// nothing and write without a transaction.
fn run_session(
    number: usize,
    gateway: &str,
    begun: Instant,
    expected: &Expected,
    stop: &AtomicBool,
    record: &Record,
) {
    let Ok(mut session) = Session::open(gateway, SERVICES[0], Duration::from_secs(3)) else {
        return;
    };
    let mut count = 0_u64;
    let since = begun.elapsed().as_millis();
    let mut ask = |text: &str, values: &str| {
        count += 1;
        let id = format!("{number:02x}{since:06x}{count:08x}");
        if text.starts_with("WRITE") {
            let mut expected = expected.lock().unwrap();
            expected.insert(id.clone(), values.to_owned());
        }
        let answer = session.ask(&format!("QUERY {id} {text}"));
        record.note(&format!("client    {id} {text} -> {}", answer.join(" | ")));
        is_success(&answer)
    };
    let sets = number % 2 == 0;
    let values = if sets {
        format!("app=a{number}")
    } else {
        String::new()
    };
    if sets && !ask(&format!("SET app a{number}"), "") {
        return;
    }
    while !stop.load(Ordering::Relaxed) {
        if begun.elapsed().as_millis() % (WORK_MS + REST_MS) >= WORK_MS {
            sleep(Duration::from_millis(20));
            continue;
        }
        if sets {
            let opened = ask("BEGIN", "");
            let written = opened && ask("WRITE 1a4 data", &values);
            let ended = ask(if written { "COMMIT" } else { "ROLLBACK" }, "");
            if !ended {
                return;
            }
        } else if !ask("WRITE 1a4 data", &values) {
            return;
        }
        sleep(Duration::from_millis(15));
    }
}

fn judge(record: &Record, set: &Set, expected: &Expected) -> Outcome {
    let expected = expected.lock().unwrap();
    let (mut ran, mut foreign) = (0, 0);
    for run in set.services[0].runs() {
        let Some(values) = expected.get(&run.id) else {
            continue;
        };
        ran += 1;
        if *values != run.values {
            foreign += 1;
            record.note(&format!(
                "PINNED    {} ran with the values {:?}, its client had set {values:?}",
                run.id, run.values
            ));
        }
    }
    record.say(&format!(
        "{ran} writes ran, {foreign} of them with foreign values"
    ));
    match foreign {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
