//! The format of the log file. The log is global to a process, so this test is the only one in its
//! binary.

use log::Level;
use log::LevelFilter;
use ragwortgated::log_event;
use ragwortgated::logs::log_panics;
use ragwortgated::logs::set_up_log;
use ragwortgated::settings::LogSettings;
use std::fs;
use std::panic::catch_unwind;

#[test]
fn each_event_is_one_line() {
    let path = std::env::temp_dir().join(format!("ragwort-log-{}", std::process::id()));
    let settings = LogSettings {
        level: LevelFilter::Info,
        file: Some(path.clone()),
    };
    set_up_log(&settings).unwrap();
    assert!(set_up_log(&settings).is_err());
    log_event!(Level::Warn, "lease_lost", vm = "vm-1", silent_ms = 1200);
    log_event!(Level::Debug, "not_written");
    log::error!(target: "a_library", "not written");
    log_panics();
    assert!(catch_unwind(|| panic!("two\nlines")).is_err());
    let text = fs::read_to_string(&path).unwrap();
    fs::remove_file(&path).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].starts_with("time_ms="), "{text}");
    assert!(lines[0].ends_with(" level=warn event=lease_lost vm=vm-1 silent_ms=1200"));
    assert!(lines[1].contains(" level=error event=panic place=crates/daemon/tests/logs.rs:"));
    assert!(lines[1].ends_with(r#" message="two\nlines""#), "{text}");
}
