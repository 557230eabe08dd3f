//! Parsing of the settings file: accepted values, defaults and the faults that are reported.

use ragwortgated::settings::DaemonSettings;
use ragwortgated::settings::LimitSettings;
use ragwortgated::settings::LogSettings;
use ragwortgated::settings::SettingFault;
use ragwortgated::settings::TimingSettings;
use std::path::Path;

/// The smallest valid settings file. It has six lines.
const MINIMAL_SETTINGS: &str = "\
vm: vm-1
domain: windhoek-a
roles: { gateway: true }
listen: { callers: 127.0.0.1:6432, peers: 127.0.0.1:7432, platform: 127.0.0.1:8432 }
control:
  - { vm: vm-2, address: 127.0.0.2:7432 }
";

/// Parses settings that must be invalid, and returns their faults.
fn parse_faults(text: &str) -> Vec<SettingFault> {
    DaemonSettings::from_yaml(text).expect_err("the settings are invalid")
}

/// Declares a test for each invalid file: the lines that are added to the minimal settings, and the
/// line, column and text of each fault.
macro_rules! refused {
    ($($name:ident: $added:expr => $(($line:expr, $column:expr, $words:expr)),+;)*) => {$(
        #[test]
        fn $name() {
            let faults = parse_faults(&format!("{MINIMAL_SETTINGS}{}", $added));
            let found: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let expected = [$(($line, $column, $words)),+];
            assert_eq!(faults.len(), expected.len(), "{found:#?}");
            for (fault, (line, column, words)) in faults.iter().zip(expected) {
                assert_eq!((fault.line, fault.column), (line, column), "{fault}");
                assert!(fault.message.contains(words), "{fault}");
            }
        }
    )*};
}

refused! {
    unknown_setting: "port: 1" =>
        (7, 1, "port: unknown setting, expected one of vm, domain");
    unknown_setting_in_section: "timing:\n  leese_ms: 5" =>
        (8, 3, "timing.leese_ms: unknown setting, expected one of heartbeat_ms, lease_ms");
    value_of_wrong_kind: "timing: { lease_ms: soon }" =>
        (7, 21, "timing.lease_ms: expected a whole number from 1 to 60000, found `soon`");
    value_out_of_range: "limits: { connections: 0 }" =>
        (7, 24, "limits.connections: expected a whole number from 1 to 1000000, found `0`");
    negative_value: "limits: { connections: -4 }" =>
        (7, 24, "limits.connections: expected a whole number");
    section_of_wrong_kind: "limits: 5" =>
        (7, 9, "limits: expected a map of settings");
    lease_below_three_heartbeats: "timing: { heartbeat_ms: 200, lease_ms: 599 }" =>
        (7, 9, "timing.lease_ms: expected at least 3 heartbeats (600), found 599");
    election_too_close_to_heartbeat: "timing:\n  election_ticks: 4\n  agreement_heartbeat_ticks: 3" =>
        (8, 3, "expected at most half of election_ticks (4), found 3");
    key_window_is_no_setting: "timing: { key_window_ms: 1000 }" =>
        (7, 11, "timing.key_window_ms: unknown setting");
    bad_log_level: "log: { level: loud }" =>
        (7, 15, "log.level: expected off, error, warn, info, debug or trace, found `loud`");
    all_at_once: "limits: { connections: many, message_bytes: 3 }\nlog: { levle: info }\nspeed: 9" =>
        (7, 24, "limits.connections"),
        (7, 45, "limits.message_bytes"),
        (8, 8, "log.levle: unknown setting"),
        (9, 1, "speed: unknown setting");
}

/// Declares a test for each invalid file: a replacement in the minimal settings, and the text of
/// the one fault.
macro_rules! refused_when {
    ($($name:ident: $old:expr, $new:expr => $words:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = MINIMAL_SETTINGS.replace($old, $new);
            assert_ne!(text, MINIMAL_SETTINGS);
            let faults = parse_faults(&text);
            assert_eq!(faults.len(), 1, "{faults:#?}");
            assert!(faults[0].message.contains($words), "{}", faults[0]);
        }
    )*};
}

refused_when! {
    missing_vm: "vm: vm-1\n", "" => "vm: expected, but missing";
    empty_vm: "vm: vm-1\n", "vm: ''\n" => "vm: expected a VM's name of letters";
    missing_listen_address: ", platform: 127.0.0.1:8432", "" =>
        "listen.platform: expected, but missing";
    host_name: "127.0.0.1:8432", "localhost:8432" =>
        "listen.platform: expected an IP address and a port";
    same_port_twice: "127.0.0.1:8432", "127.0.0.1:6432" =>
        "listen.platform: expected an address that isn't used above";
    no_control_vm: "control:\n  - { vm: vm-2, address: 127.0.0.2:7432 }\n", "control: []\n" =>
        "control: expected 1 to 7 control VMs, found 0";
    same_control_vm_twice: "control:\n", "control:\n  - { vm: vm-2, address: 127.0.0.3:7432 }\n" =>
        "control.vm: expected each VM once";
    same_control_address_twice: "control:\n", "control:\n  - { vm: vm-3, address: 127.0.0.2:7432 }\n" =>
        "control.address: expected each address once";
}

#[test]
fn control_vm_needs_folder_and_own_address() {
    let text = MINIMAL_SETTINGS.replace("{ gateway: true }", "{ gateway: true, control: true }");
    let words: Vec<String> = parse_faults(&text).into_iter().map(|f| f.message).collect();
    assert_eq!(
        words,
        [
            "data_folder: expected a folder, because roles.control is true",
            "control: expected vm-1 in the list, because roles.control is true",
        ]
    );
}

#[test]
fn control_vm_must_listen_where_others_look_for_it() {
    let text = MINIMAL_SETTINGS
        .replace("{ gateway: true }", "{ control: true }")
        .replace(
            "vm-2, address: 127.0.0.2:7432",
            "vm-1, address: 127.0.0.1:7433",
        )
        + "data_folder: /tmp/ragwort";
    let faults = parse_faults(&text);
    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(faults[0].message.contains("found 127.0.0.1:7433"));
}

#[test]
fn text_that_is_no_yaml_has_a_place() {
    let faults = parse_faults("vm: [1\ndomain: }");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].line > 0, "{}", faults[0]);
}

#[test]
fn missing_file_is_one_fault() {
    let faults = DaemonSettings::read_file(Path::new("/nonexistent/ragwort.yaml")).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].line, 0);
}

#[test]
fn defaults_apply() {
    let settings = DaemonSettings::from_yaml(MINIMAL_SETTINGS).unwrap();
    assert_eq!(settings.timing, TimingSettings::default());
    assert_eq!(settings.limits, LimitSettings::default());
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.data_folder, None);
    assert!(!settings.roles.control);
}

#[test]
fn sample_is_valid_and_shows_the_defaults() {
    let sample = include_str!("../../../docs/operators/settings.yaml");
    let settings = DaemonSettings::from_yaml(sample).unwrap();
    assert_eq!(settings.timing, TimingSettings::default());
    assert_eq!(settings.limits, LimitSettings::default());
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.control.len(), 3);
}
