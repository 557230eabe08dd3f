//! Cases without a fault around the system: what instances run of the texts that clients send.

use crate::clients::is_success;
use crate::clients::Session;
use crate::record::Record;
use crate::set::Route;
use crate::set::Set;
use crate::Outcome;
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

const SERVICE: &str = "records";

fn start(record: &Record) -> Result<Set, String> {
    let route = Route {
        host: "edits",
        kind: "read_your_writes",
        service: SERVICE,
        timeout_ms: 800,
    };
    Set::start(record, &[SERVICE], 0, &[route])
}

/// Sends a statement and notes it; returns whether it succeeded.
fn ask(record: &Record, session: &mut Session, id: &str, text: &str) -> bool {
    let answer = session.ask(&format!("QUERY {id} {text}"));
    let answer_text = answer.join(" | ");
    record.note(&format!("client    {id} {text:?} -> {answer_text}"));
    is_success(&answer)
}

/// Compares what ran under each id with what its client sent, and counts the differences.
fn compare(record: &Record, set: &Set, expected: &BTreeMap<String, String>, rule: &str) -> Outcome {
    let mut ran = 0;
    let mut wrong = 0;
    for run in set.services[0].runs() {
        let Some(sent) = expected.get(&run.id) else {
            continue;
        };
        ran += 1;
        if *sent != run.text {
            wrong += 1;
            let text = run.text;
            record.note(&format!(
                "{rule}  {}: sent {sent:?}, the instance ran {text:?}",
                run.id
            ));
        }
    }
    record.say(&format!(
        "{ran} statements ran, {wrong} of them not as they were sent"
    ));
    match wrong {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// A client prepares a statement whose shape has a blank.
pub fn run_prepared(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let set = start(record)?;
    let mut expected = BTreeMap::new();
    let shapes: &[&str] = match trouble {
        true => &["q2c", "q2c READ q7x"],
        false => &["q2c", "q7x"],
    };
    let gateways = set.layout.gateways();
    let mut sessions = Vec::new();
    for (number, shape) in shapes.iter().enumerate() {
        let gateway = &gateways[number % gateways.len()];
        let mut session = Session::open(gateway, "edits", Duration::from_secs(3))?;
        let id = format!("{number:04x}000000000000");
        if !ask(
            record,
            &mut session,
            &id,
            &format!("PREPARE s1 READ {shape}"),
        ) {
            return Err(format!("{shape} isn't prepared"));
        }
        sessions.push((session, shape));
    }
    for count in 1..=20 {
        for (number, (session, shape)) in sessions.iter_mut().enumerate() {
            let id = format!("{number:04x}{count:012x}");
            expected.insert(id.clone(), format!("[{shape}] 1a4"));
            ask(record, session, &id, "EXECUTE s1 1a4");
            sleep(Duration::from_millis(20));
        }
    }
    let outcome = compare(record, &set, &expected, "PINNED");
    set.stop(record);
    Ok(outcome)
}

/// A client writes data with a line feed, which doesn't end a line without a carriage return.
pub fn run_changed(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let set = start(record)?;
    let mut expected = BTreeMap::new();
    let gateway = &set.layout.gateways()[0];
    let mut session = Session::open(gateway, "edits", Duration::from_secs(3))?;
    let data = if trouble {
        "first\nsecond"
    } else {
        "first second"
    };
    for count in 1..=20 {
        let id = format!("0001{count:012x}");
        let text = format!("WRITE 1a4 {data}");
        ask(record, &mut session, &id, &text);
        expected.insert(id, text);
        sleep(Duration::from_millis(20));
    }
    let outcome = compare(record, &set, &expected, "UNASKED");
    set.stop(record);
    Ok(outcome)
}
