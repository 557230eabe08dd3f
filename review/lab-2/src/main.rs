//! Runs one case of the review: the system's own processes, and stand-ins for what surrounds them.
//!
//! `review-lab-2 CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. With `TROUBLE=0` the case runs without its disruptions.

mod clients;
mod held_answer;
mod http;
mod late_order;
mod record;
mod service;
mod set;
mod texts;
mod values;
mod vms;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// The outcome of a case that ran.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-lab-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "late-order" => late_order::run(&record, trouble),
        "held-answer" => held_answer::run(&record, trouble),
        "prepared-names" => texts::run_prepared(&record, trouble),
        "changed-text" => texts::run_changed(&record, trouble),
        "foreign-values" => values::run(&record, trouble),
        _ => Err(format!("no such case: {case}")),
    };
    match result {
        Ok(Outcome::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(fault) => {
            record.say(&format!("the case couldn't run: {fault}"));
            ExitCode::from(2)
        }
    }
}
