//! Tests of the load generator: schedule, statement marks, report, and short runs against one
//! endpoint.

use ragwort_lab::caller::CallerVerdict;
use ragwort_lab::caller::ServedNotice;
use ragwort_lab::caller::StatementMarks;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::lab_contract::build_contract;
use ragwort_lab::load::LoadSettings;
use ragwort_lab::load::StopFlag;
use ragwort_lab::load::run_load;
use ragwort_lab::load_plan::LoadClass;
use ragwort_lab::load_plan::LoadMix;
use ragwort_lab::load_plan::PlanSettings;
use ragwort_lab::load_plan::plan_arrivals;
use ragwort_lab::load_report::LoadRecorder;
use ragwort_lab::load_report::RequestRecord;
use std::time::Duration;

fn plan(seed: u64) -> PlanSettings {
    PlanSettings {
        seed,
        rate: 200.0,
        duration: Duration::from_secs(2),
        customers: 3,
        hot_factor: 4,
        lists: 8,
        mix: LoadMix::default(),
    }
}

#[test]
fn schedule_repeats_with_its_seed() {
    let first: Vec<_> = plan_arrivals(&plan(7)).collect();
    let again: Vec<_> = plan_arrivals(&plan(7)).collect();
    let other: Vec<_> = plan_arrivals(&plan(8)).collect();
    assert_eq!(first, again);
    assert_ne!(first, other);
    assert!((300..500).contains(&first.len()));
    let hot = first.iter().filter(|arrival| arrival.customer == 0).count();
    assert!(hot * 2 > first.len());
    assert!(first.iter().all(|arrival| arrival.customer < 3));
}

#[test]
fn mix_is_read_and_faults_are_named() {
    assert!("grant=1,status=3".parse::<LoadMix>().is_ok());
    let fault = "grant=1,nonsense=3".parse::<LoadMix>().unwrap_err();
    assert!(fault.to_string().contains("nonsense=3"));
    assert!("grant=0".parse::<LoadMix>().is_err());
}

#[test]
fn marks_are_a_comment() {
    let marks = StatementMarks {
        kind: Some("grant"),
        key: Some("k".to_owned()),
        deadline_ms: Some(500),
        urgent: true,
        max_age_ms: Some(0),
    };
    let expected = "/*kind='grant',key='k',deadline_ms='500',urgent='1',max_age_ms='0'*/";
    assert_eq!(marks.to_string(), expected);
}

#[test]
fn notice_says_who_served() {
    let notice = ServedNotice::parse("served by b replica=true position=3/40").unwrap();
    assert_eq!((notice.instance.as_str(), notice.replica), ("b", true));
    assert_eq!(notice.position, "3/40");
    assert_eq!(ServedNotice::parse("served by"), None);
}

#[test]
fn contract_of_the_lab_has_no_faults() {
    let contract = build_contract("legal-aid".into(), vec!["cases".into()]);
    assert_eq!(contract.find_faults(), []);
    for class in LoadClass::ALL {
        let terms = contract.kind(&class.kind().into()).unwrap();
        assert_eq!(u128::from(terms.deadline_ms), class.deadline().as_millis());
    }
}

#[test]
fn report_counts_what_callers_received() {
    let ran = |replica| CallerVerdict::Ran {
        rows: Vec::new(),
        served: Some(ServedNotice {
            instance: "a".to_owned(),
            replica,
            position: "0/1".to_owned(),
        }),
    };
    let refused = CallerVerdict::NotRun {
        sqlstate: "53400".to_owned(),
        message: "overload".to_owned(),
        come_back_after_ms: Some(40),
    };
    let maybe = CallerVerdict::MayHaveRun {
        message: "endpoint lost".to_owned(),
    };
    let records = [
        (10, ran(true)),
        (20, ran(true)),
        (30, ran(true)),
        (1_500, ran(false)),
        (1, refused),
        (5, maybe),
        (3_000, CallerVerdict::Unanswered),
    ];
    let mut recorder = LoadRecorder::new();
    for (millis, verdict) in records {
        recorder.record(&RequestRecord {
            class: LoadClass::Status,
            latency: Duration::from_millis(millis),
            verdict,
        });
    }
    let report = recorder.to_report();
    let class = report.classes[&LoadClass::Status];
    let counts = class.counts;
    assert_eq!((counts.sent, counts.in_time, counts.late), (7, 3, 1));
    assert_eq!(
        (counts.refused, counts.maybe_run, counts.unanswered),
        (1, 1, 1)
    );
    assert_eq!(report.replica_share, Some(0.75));
    assert!(class.refused.max_us < 2_000 && class.answered.max_us >= 1_500_000);
    assert_eq!(report.reasons["not run: 53400 overload"].count, 1);
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(json["classes"]["status"]["counts"]["sent"], 7);
    assert!(
        report
            .to_string()
            .contains("reads served by replicas: 75.0 %")
    );
}

/// A mixed load within the capacity of one endpoint: all scheduled requests are sent, and the
/// consistency check finds no violations.
#[tokio::test]
async fn load_against_one_endpoint() {
    let endpoint_settings = EndpointSettings::quick("a", true);
    let endpoint = LabEndpoint::start(&endpoint_settings).await.unwrap();
    let settings = LoadSettings {
        gateways: vec![endpoint.data_address()],
        group: "cases".to_owned(),
        customers: vec!["legal-aid".to_owned()],
        plan: plan(11),
        sessions: 12,
        move_every: 10,
        run_name: "test".to_owned(),
    };
    let report = run_load(&settings, &StopFlag::default()).await;
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.checked_appends > 0);
    let sent: u64 = report.classes.values().map(|class| class.counts.sent).sum();
    assert_eq!(sent as usize, plan_arrivals(&settings.plan).count());
    endpoint.stop().await;
}

/// The consistency check must detect that an endpoint applied an append twice.
#[tokio::test]
async fn load_reports_a_doubled_append() {
    let endpoint = LabEndpoint::start(&EndpointSettings::quick("a", true))
        .await
        .unwrap();
    let settings = LoadSettings {
        gateways: vec![endpoint.data_address()],
        group: "cases".to_owned(),
        customers: vec!["legal-aid".to_owned()],
        plan: PlanSettings {
            mix: "grant=1".parse().unwrap(),
            ..plan(12)
        },
        sessions: 4,
        move_every: 10,
        run_name: "test".to_owned(),
    };
    let instance = endpoint.shared().instance.clone();
    let double = tokio::spawn(async move {
        loop {
            let log = instance.read_log().await;
            if let Some(entry) = log.into_iter().next() {
                let generation = instance.generation().await;
                return instance.commit(generation, entry.writes).await.unwrap();
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    let report = run_load(&settings, &StopFlag::default()).await;
    double.await.unwrap();
    let doubled = |text: &String| text.starts_with("append applied twice");
    assert!(report.violations.iter().any(doubled), "{report}");
    endpoint.stop().await;
}
