//! A gateway that shuts down, as seen by the load balancer and by new callers.

use jsonrpsee_ws_client::WsClientBuilder;
use ragwort_rpc::OperatorApiClient;
use ragwortgated::edges::NodeEdges;
use ragwortgated::node::run_node;
use ragwortgated::settings::DaemonSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// The time limit of the test. It only ends a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Creates the settings of a single VM that accepts callers for an hour after it has ceased to be
/// ready.
fn create_settings(ports: [u16; 3]) -> DaemonSettings {
    let folder = std::env::temp_dir().join(format!("ragwort-drain-{}", std::process::id()));
    let [callers, peers, platform] = ports;
    let text = format!(
        "
vm: vm-1
domain: north
roles: {{ gateway: true, control: true }}
listen:
  callers: 127.0.0.1:{callers}
  peers: 127.0.0.1:{peers}
  platform: 127.0.0.1:{platform}
control:
  - {{ vm: vm-1, address: 127.0.0.1:{peers} }}
data_folder: {}
timing: {{ drain_notice_ms: 3600000 }}
",
        folder.display()
    );
    DaemonSettings::from_yaml(&text).unwrap()
}

/// Returns three free ports, for callers, peers and the platform.
async fn free_ports() -> [u16; 3] {
    let mut ports = [0; 3];
    let mut listeners = Vec::new();
    for port in &mut ports {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        *port = listener.local_addr().unwrap().port();
        listeners.push(listener);
    }
    ports
}

/// Sends bytes over a new connection and returns everything up to its end; nothing if it is
/// refused.
async fn send_and_read(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut answer = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address).await
        && stream.write_all(request).await.is_ok()
    {
        // A reset ends the answer like a close.
        let _ = stream.read_to_end(&mut answer).await;
    }
    answer
}

/// Waits until the VM's readiness probe returns this HTTP status.
async fn wait_for_ready(platform: SocketAddr, status: &str) {
    let request = b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    loop {
        let answer = send_and_read(platform, request).await;
        if String::from_utf8_lossy(&answer).starts_with(&format!("HTTP/1.1 {status}")) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Connects as a customer without a contract, and returns the answer as text.
async fn connect_without_contract(callers: SocketAddr) -> String {
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    body.extend(b"user\0stranger\0database\0cases\0\0");
    let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
    startup.extend(body);
    String::from_utf8_lossy(&send_and_read(callers, &startup).await).into_owned()
}

/// A VM shuts down, and the load balancer in front of it probes readiness once a second. Until it
/// notices, it routes new callers to the VM. They must be served as before, and not be refused a
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_taken_until_the_balancer_has_noticed() {
    let ports = free_ports().await;
    let [callers, peers, platform] = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let settings = Arc::new(create_settings(ports));
    let node = tokio::spawn(run_node(settings, NodeEdges::Postgres));
    let case = async {
        let client = loop {
            let built = WsClientBuilder::default()
                .build(format!("ws://{peers}"))
                .await;
            match built {
                Ok(client) => break client,
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        };
        client.form().await.unwrap();
        wait_for_ready(platform, "200").await;
        let before = connect_without_contract(callers).await;
        client.drain().await.unwrap();
        wait_for_ready(platform, "503").await;
        assert_eq!(connect_without_contract(callers).await, before);
        assert!(!before.is_empty());
    };
    timeout(TEST_TIMEOUT, case)
        .await
        .expect("the test timed out");
    node.abort();
}
