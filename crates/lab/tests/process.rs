//! Faults that child processes and relays inject, tested with a real endpoint process: freeze,
//! kill, graceful shutdown, silent connections and a partition.

use ragwort_lab::caller::CallerSettings;
use ragwort_lab::caller::CallerVerdict;
use ragwort_lab::caller::GatewayCaller;
use ragwort_lab::caller::is_listening;
use ragwort_lab::process::ChildProcess;
use ragwort_lab::process::pick_address;
use ragwort_lab::relay::FaultRelay;
use ragwort_lab::relay::RelayMode;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(20);

struct EndpointProcess {
    child: ChildProcess,
    data: SocketAddr,
    folder: PathBuf,
}

impl EndpointProcess {
    async fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("lab-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (data, agent) = (pick_address(), pick_address());
        let text = format!(
            "endpoint --group cases --instance a --domain d --data {data} --agent {agent} \
             --announce 127.0.0.1:1 --connect-ms 0 --service-ms 1 --primary",
        );
        let arguments: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
        let program = Path::new(env!("CARGO_BIN_EXE_ragwort-lab"));
        let child = ChildProcess::spawn("endpoint", program, &arguments, &folder).unwrap();
        let ready = async {
            while !is_listening(data).await {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(LONG, ready).await.unwrap();
        Self {
            child,
            data,
            folder,
        }
    }
}

impl Drop for EndpointProcess {
    fn drop(&mut self) {
        // A failure is ignored: it leaves only temporary files behind.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn open(gateway: SocketAddr) -> GatewayCaller {
    let settings = CallerSettings {
        gateway,
        customer: "legal-aid".to_owned(),
        group: "cases".to_owned(),
        session: "clerk".to_owned(),
    };
    GatewayCaller::open(&settings).await.unwrap()
}

fn is_answered(verdict: &CallerVerdict) -> bool {
    matches!(verdict, CallerVerdict::Ran { .. })
}

/// A frozen process answers nothing, a thawed one answers again, and one that gets SIGTERM exits
/// with status 0.
#[tokio::test]
async fn freeze_thaw_terminate() {
    let mut endpoint = EndpointProcess::start("freeze").await;
    let mut caller = open(endpoint.data).await;
    assert!(is_answered(&caller.run("put k v", LONG).await));
    endpoint.child.freeze().unwrap();
    let frozen = caller.run("put k w", SHORT).await;
    assert_eq!(frozen, CallerVerdict::Unanswered);
    endpoint.child.thaw().unwrap();
    let mut caller = open(endpoint.data).await;
    assert!(is_answered(&caller.run("get k", LONG).await));
    endpoint.child.terminate().unwrap();
    let status = endpoint.child.wait_for_end(LONG).await.unwrap().unwrap();
    assert!(status.success());
    assert!(endpoint.child.freeze().is_err());
}

/// When a process is killed with a request in flight, the request's verdict is "may have run".
#[tokio::test]
async fn kill_leaves_the_caller_in_doubt() {
    let mut endpoint = EndpointProcess::start("kill").await;
    let mut caller = open(endpoint.data).await;
    let (verdict, _) = tokio::join!(caller.run("sleep 5000", LONG), async {
        sleep(SHORT).await;
        endpoint.child.kill().unwrap();
    });
    assert!(matches!(verdict, CallerVerdict::MayHaveRun { .. }));
}

/// A relay delays bytes, silences the connections open at one time while new ones work, and resumes
/// the open ones after it has hung.
#[tokio::test]
async fn relay_silences_connections_and_hangs() {
    let endpoint = EndpointProcess::start("relay").await;
    let relay = FaultRelay::start(endpoint.data, Duration::from_millis(3))
        .await
        .unwrap();
    let mut open_before = open(relay.address()).await;
    let start = Instant::now();
    assert!(is_answered(&open_before.run("put k v", LONG).await));
    assert!(start.elapsed() >= Duration::from_millis(6));
    relay.silence_connections();
    let silent = open_before.run("get k", SHORT).await;
    assert_eq!(silent, CallerVerdict::Unanswered);
    let mut fresh = open(relay.address()).await;
    assert!(is_answered(&fresh.run("get k", LONG).await));
    relay.set_mode(RelayMode::Hang);
    assert!(timeout(SHORT, open(relay.address())).await.is_err());
    relay.set_mode(RelayMode::Open);
    assert!(is_answered(&fresh.run("get k", LONG).await));
    relay.stop().await;
}
