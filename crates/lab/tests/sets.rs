//! Site sizes, the parser of promotion phases, and the statistics of the gap report.

use ragwort_lab::gap::GapReport;
use ragwort_lab::gap::GapRun;
use ragwort_lab::gap::PrimaryFault;
use ragwort_lab::gap::parse_phase;
use ragwort_lab::sizes::SiteSize;
use std::collections::BTreeMap;

#[test]
fn sizes_are_found_by_name() {
    let omuti = SiteSize::find("omuti").unwrap();
    assert_eq!((omuti.domains.len(), omuti.connections), (3, 16));
    let sabarmati = SiteSize::find("sabarmati").unwrap();
    assert_eq!((sabarmati.domains.len(), sabarmati.connections), (4, 30));
    assert_eq!(SiteSize::find("elsewhere"), None);
}

#[test]
fn phases_are_read_from_the_log() {
    let line = "time=1 level=INFO event=promotion_phase group=cases-a phase=fence ms=3.5";
    assert_eq!(
        parse_phase(line, "cases-a"),
        Some(("fence".to_owned(), 3.5))
    );
    assert_eq!(parse_phase(line, "cases-b"), None);
    assert_eq!(parse_phase("event=ready group=cases-a", "cases-a"), None);
}

#[test]
fn report_names_median_and_worst() {
    let run = |gap_ms| GapRun {
        gap_ms,
        from_fault_ms: gap_ms,
        phases: BTreeMap::new(),
    };
    let report = GapReport {
        runs: [900.0, 300.0, 500.0].map(run).to_vec(),
        failed: vec!["no write landed".to_owned()],
    };
    assert_eq!(report.median_ms(), Some(500.0));
    assert_eq!(report.worst_ms(), Some(900.0));
    let text = report.to_string();
    assert!(text.contains("3 runs, 1 failed: median 500 ms, worst 900 ms"));
    assert_eq!(GapReport::default().median_ms(), None);
}

#[test]
fn faults_are_named() {
    assert_eq!("cut".parse(), Ok(PrimaryFault::Cut));
    assert!("flood".parse::<PrimaryFault>().is_err());
}
