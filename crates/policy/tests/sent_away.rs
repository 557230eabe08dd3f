//! Sessions on gateways that are cut off: when they are better closed, replayed with a balancer that
//! doesn't know.

use ragwort_policy::ClockTime;
use ragwort_policy::IsolationWatch;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Gateways, and how many of them are cut off from everybody but their callers.
const GATEWAYS: usize = 60;
const CUT_OFF: usize = 45;

/// Sessions, each of which asks for something this often.
const SESSIONS: usize = 600;
const ASKS_EVERY: u64 = 1_000;

/// How often a caller tries, each time by a gateway that the balancer chooses.
const TRIES: usize = 3;

/// How long the cut lasts, and the step of the replayed time, in milliseconds.
const CUT_MILLIS: u64 = 7_000;
const STEP_MILLIS: u64 = 10;

/// Replays the cut with sessions that are closed once their gateway has reached nobody for `limit`, and
/// returns the part of all operations that was served. The balancer uses all gateways, as most of them
/// aren't ready.
fn replay(limit: Duration) -> f64 {
    let mut random = StdRng::seed_from_u64(3);
    let mut homes: Vec<Option<usize>> = (0..SESSIONS)
        .map(|_| Some(random.random_range(0..GATEWAYS)))
        .collect();
    let mut watches = [IsolationWatch::default(); GATEWAYS];
    let (mut asked, mut served) = (0, 0);
    for step in 0..CUT_MILLIS / STEP_MILLIS {
        let now = ClockTime::from_millis(step * STEP_MILLIS);
        for home in &mut homes {
            let closed = home.is_some_and(|home| watches[home].is_isolated_for(now, limit));
            if closed {
                *home = None;
            }
            if !random.random_bool(STEP_MILLIS as f64 / ASKS_EVERY as f64) {
                continue;
            }
            asked += 1;
            for _ in 0..TRIES {
                let gateway = home.unwrap_or_else(|| random.random_range(0..GATEWAYS));
                if gateway >= CUT_OFF {
                    *home = Some(gateway);
                    served += 1;
                    break;
                }
                watches[gateway].note_vain(now);
                // Only a session that is open already comes back to the same gateway.
                if home.is_none() {
                    continue;
                }
                break;
            }
        }
    }
    f64::from(served) / f64::from(asked)
}

/// Three gateways in four are cut off for seven seconds. Sessions that stay with them are refused all that
/// they ask for; kept until a balancer would have noticed, most of the cut is over by then. Closed at once,
/// each comes back until it finds a gateway that has a way, and stays there.
#[test]
fn sessions_find_gateways_that_have_a_way() {
    let soon = replay(Duration::from_millis(100));
    let late = replay(Duration::from_millis(2_200));
    assert!(soon > late + 0.1, "{soon} against {late}");
    assert!(soon > 0.75, "{soon}");
}
