//! A partition of little more than a second separates a primary and one of its replicas from the
//! core and from the other replica, which is promoted meanwhile. What the former primary had
//! committed as the partition began is answered when it heals.

use crate::clients::count_lost;
use crate::clients::Clients;
use crate::clients::Seen;
use crate::record::Record;
use crate::set::Route;
use crate::set::Set;
use crate::Outcome;
use std::thread::sleep;
use std::time::Duration;

const SERVICES: [&str; 3] = ["records", "rulings", "edits"];
const PROMOTION: Duration = Duration::from_millis(300);
const ROUTE_MS: u64 = 1_200;
const MAX_CUT: Duration = Duration::from_secs(3);
/// How long the partition goes on once the new primary has reported itself.
const CUT_AFTER_REPORT: Duration = Duration::from_millis(20);

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let routes = SERVICES.map(|service| Route {
        host: service,
        kind: "primary",
        service,
        timeout_ms: ROUTE_MS,
    });
    let set = Set::start(record, &SERVICES, 1, &routes)?;
    for service in &set.services {
        service.set_promotion_time(PROMOTION);
    }
    let service = set.services[0].clone();
    let seen = Seen::default();
    let mut clients = Clients::create();
    let gateways = set.layout.gateways();
    for _ in 0..10 {
        clients.add(
            &gateways,
            SERVICES[0],
            true,
            Duration::from_millis(20),
            &seen,
            record,
        );
    }
    sleep(Duration::from_secs(3));
    if trouble {
        let [primary, replica, other] = service.ids();
        // The partition may begin at any moment; here it does while the primary runs writes.
        service.wait_until_busy();
        service.set_deaf(&other, true);
        service.set_cut(&primary, true);
        service.set_cut(&replica, true);
        service.wait_for_new_primary(MAX_CUT);
        sleep(CUT_AFTER_REPORT);
        service.set_cut(&primary, false);
        service.set_cut(&replica, false);
        service.set_deaf(&other, false);
    }
    sleep(Duration::from_secs(4));
    clients.stop();
    let lost = count_lost(record, &service, &seen);
    set.stop(record);
    Ok(match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    })
}
