//! An order to promote that got no response is carried out seconds later, when the primary that it
//! was to replace serves again.
//!
//! 1. The primary crashes, and is back within a second.
//! 2. The leaseholder orders the promotion of a replica, which has all commits by then, and is
//!    killed before it gets a response. The platform carries the order out six seconds later.
//! 3. Meanwhile the primary serves again, and that replica receives nothing for a while.

use crate::clients::count_lost;
use crate::clients::Clients;
use crate::clients::Seen;
use crate::record::Record;
use crate::service::Treatment;
use crate::set::Route;
use crate::set::Set;
use crate::Outcome;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

const SERVICE: &str = "records";
const DOWN: Duration = Duration::from_millis(900);
const ORDER_DELAY: Duration = Duration::from_secs(6);
/// From the crash on.
const DEAF_AFTER: Duration = Duration::from_secs(4);
const DEAF_TIME: Duration = Duration::from_secs(5);
const ORDER_LIMIT: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let route = |host, kind| Route {
        host,
        kind,
        service: SERVICE,
        timeout_ms: 800,
    };
    let routes = [
        route("rulings", "primary"),
        route("status", "bounded_staleness"),
    ];
    let set = Set::start(record, &[SERVICE], 1, &routes)?;
    let service = set.services[0].clone();
    let seen = Seen::default();
    let mut clients = Clients::create();
    let gateways = set.layout.gateways();
    for _ in 0..6 {
        clients.add(
            &gateways,
            "rulings",
            true,
            Duration::from_millis(60),
            &seen,
            record,
        );
    }
    for _ in 0..8 {
        clients.add(
            &gateways,
            "status",
            false,
            Duration::from_millis(20),
            &seen,
            record,
        );
    }
    sleep(Duration::from_secs(3));
    let begun = Instant::now();
    if trouble {
        let primary = service.primary();
        service.plan_orders(&[Treatment::Late(ORDER_DELAY)]);
        service.crash_instance(primary);
        let order = loop {
            match service.last_order() {
                Some(order) => break order,
                None if begun.elapsed() > ORDER_LIMIT => {
                    return Err("no promotion was ordered".to_owned());
                }
                None => sleep(Duration::from_millis(1)),
            }
        };
        set.vms.kill(&order.holder);
        sleep(DOWN.saturating_sub(begun.elapsed()));
        service.start_instance(primary);
        sleep(Duration::from_millis(200));
        set.vms
            .start(&order.holder, false)
            .map_err(|error| error.to_string())?;
        sleep(DEAF_AFTER.saturating_sub(begun.elapsed()));
        service.set_deaf(&order.instance, true);
        sleep(DEAF_TIME);
        service.set_deaf(&order.instance, false);
    }
    sleep(Duration::from_secs(11).saturating_sub(begun.elapsed()));
    clients.stop();
    let lost = count_lost(record, &service, &seen);
    set.stop(record);
    Ok(match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    })
}
