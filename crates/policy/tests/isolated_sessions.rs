//! Simulation of sessions on isolated gateways, with a load balancer that doesn't know which
//! gateways are isolated: when closing them serves their callers better.

use ragwort_policy::ClockTime;
use ragwort_policy::IsolationWatch;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// The number of gateways, and of those that are cut off from everything but their callers.
const GATEWAYS: usize = 60;
const CUT_OFF: usize = 45;

/// The number of sessions, and the mean interval between two requests of each, in milliseconds.
const SESSIONS: usize = 600;
const REQUEST_INTERVAL_MILLIS: u64 = 1_000;

/// How often a caller tries, each time through a gateway that the balancer chooses.
const ATTEMPTS: usize = 3;

/// The duration of the partition and the step of the simulated time, in milliseconds.
const CUT_MILLIS: u64 = 7_000;
const STEP_MILLIS: u64 = 10;

/// Simulates a partition in which sessions are closed once their gateway has been isolated for
/// `limit`, and returns the fraction of requests that were served. The balancer uses all gateways,
/// because most of them aren't ready.
fn simulate(limit: Duration) -> f64 {
    let mut random = StdRng::seed_from_u64(3);
    let mut assignments: Vec<Option<usize>> = (0..SESSIONS)
        .map(|_| Some(random.random_range(0..GATEWAYS)))
        .collect();
    let mut watches = [IsolationWatch::default(); GATEWAYS];
    let (mut asked, mut served) = (0, 0);
    for step in 0..CUT_MILLIS / STEP_MILLIS {
        let now = ClockTime::from_millis(step * STEP_MILLIS);
        for assigned in &mut assignments {
            let closed =
                assigned.is_some_and(|assigned| watches[assigned].is_isolated_for(now, limit));
            if closed {
                *assigned = None;
            }
            if !random.random_bool(STEP_MILLIS as f64 / REQUEST_INTERVAL_MILLIS as f64) {
                continue;
            }
            asked += 1;
            for _ in 0..ATTEMPTS {
                let gateway = assigned.unwrap_or_else(|| random.random_range(0..GATEWAYS));
                if gateway >= CUT_OFF {
                    *assigned = Some(gateway);
                    served += 1;
                    break;
                }
                watches[gateway].note_failed_attempt(now);
                // Only an established session returns to the same gateway.
                if assigned.is_none() {
                    continue;
                }
                break;
            }
        }
    }
    f64::from(served) / f64::from(asked)
}

/// Three gateways in four are cut off for seven seconds. Sessions that stay with them are refused
/// all requests; if they are kept until a balancer would have noticed, most of the partition is
/// over. Closed at once, each reconnects until it finds a connected gateway, and stays there.
#[test]
fn closed_sessions_find_connected_gateways() {
    let soon = simulate(Duration::from_millis(100));
    let late = simulate(Duration::from_millis(2_200));
    assert!(soon > late + 0.1, "{soon} against {late}");
    assert!(soon > 0.75, "{soon}");
}
