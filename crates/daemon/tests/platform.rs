//! The platform listener's paths, the metrics and the escaping of values in log lines.

use log::Level;
use ragwort_types::GroupName;
use ragwort_types::GroupTerm;
use ragwort_types::RefusalCause;
use ragwort_types::RequestVerdict;
use ragwort_types::UrgencyClass;
use ragwortgated::logs::EventLine;
use ragwortgated::metrics::DaemonMetrics;
use ragwortgated::platform::DumpRequest;
use ragwortgated::platform::PlatformView;
use ragwortgated::platform::start_platform;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Sends a GET request and returns the whole reply, status line included.
async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    reply
}

#[tokio::test]
async fn paths_show_the_daemon_until_it_stops() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (ready_sender, ready) = watch::channel(false);
    let (stop_sender, stop) = watch::channel(false);
    let (dump, mut dumps) = mpsc::channel::<DumpRequest>(1);
    let metrics = DaemonMetrics::new();
    let view = PlatformView {
        ready,
        metrics: metrics.clone(),
        dump,
    };
    let server = start_platform(listener, view, stop);
    let owner = tokio::spawn(async move {
        let request = dumps.recv().await.unwrap();
        request.send(serde_json::json!({ "vm": "vm-1" })).unwrap();
        drop(dumps);
    });

    assert!(get(address, "/live").await.starts_with("HTTP/1.1 200"));
    assert!(get(address, "/ready").await.starts_with("HTTP/1.1 503"));
    ready_sender.send(true).unwrap();
    assert!(get(address, "/ready").await.starts_with("HTTP/1.1 200"));
    assert!(get(address, "/dump").await.contains(r#"{"vm":"vm-1"}"#));
    owner.await.unwrap();
    assert!(get(address, "/dump").await.starts_with("HTTP/1.1 503"));

    let refused = RequestVerdict::refused(RefusalCause::NoPrimary, 10);
    metrics.count_request(&refused, UrgencyClass::Urgent);
    let text = get(address, "/metrics").await;
    let line = r#"ragwort_requests_total{verdict="not_run",cause="no_primary",class="urgent"} 1"#;
    assert!(text.contains(line), "{text}");

    stop_sender.send(true).unwrap();
    server.await.unwrap().unwrap();
}

#[test]
fn a_group_that_left_leaves_no_values() {
    let metrics = DaemonMetrics::new();
    let group = GroupName::from("cases");
    metrics.set_group_term(&group, GroupTerm(7));
    assert!(
        metrics
            .to_text()
            .contains(r#"ragwort_group_term{group="cases"} 7"#)
    );
    metrics.forget_group(&group);
    assert!(!metrics.to_text().contains("cases"));
}

#[test]
fn a_closed_connection_is_not_counted() {
    let metrics = DaemonMetrics::new();
    let open = metrics.open_caller_connection();
    assert!(metrics.to_text().contains("ragwort_caller_connections 1"));
    drop(open);
    assert!(metrics.to_text().contains("ragwort_caller_connections 0"));
}

/// Declares a test for each value and its form in a log line.
macro_rules! line_value {
    ($($name:ident: $value:expr => $written:expr;)*) => {$(
        #[test]
        fn $name() {
            let line = EventLine::new(Level::Warn, "test").with("value", &$value);
            let end = format!(" level=warn event=test value={}", $written);
            assert!(line.as_str().ends_with(&end), "{}", line.as_str());
        }
    )*};
}

line_value! {
    plain_value: "vm-1" => "vm-1";
    number: 42 => "42";
    empty_value: "" => "\"\"";
    spaces: "no primary" => "\"no primary\"";
    equals_sign: "a=b" => "\"a=b\"";
    forged_line: "x\nevent=drain" => "\"x\\nevent=drain\"";
    quotes: "say \"so\"" => "\"say \\\"so\\\"\"";
}
