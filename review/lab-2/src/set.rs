//! A small deployment: five machines of the core, three fronts, and services of three instances.

use crate::clients::is_success;
use crate::clients::Session;
use crate::http;
use crate::record::Record;
use crate::service::serve_cloud;
use crate::service::Service;
use crate::service::INSTANCES;
use crate::vms::Layout;
use crate::vms::Vms;
use std::fs;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

pub struct Set {
    pub layout: Layout,
    pub vms: Vms,
    pub services: Vec<Service>,
    folder: PathBuf,
}

/// A route of the configuration.
pub struct Route<'a> {
    pub host: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
}

impl Set {
    /// Starts all processes, sends the first configuration, and waits until each service takes a
    /// write.
    pub fn start(
        record: &Record,
        names: &[&str],
        sync_replicas: usize,
        routes: &[Route],
    ) -> Result<Self, String> {
        let layout = Layout::find(5, 3).map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("review-lab-2-{}", std::process::id()));
        let vms = Vms::create(&layout, &folder, record).map_err(|error| error.to_string())?;
        let services: Vec<Service> = names
            .iter()
            .enumerate()
            .map(|(group, name)| {
                let place = |n: usize| layout.address(101 + INSTANCES * group + n);
                let addresses = (0..INSTANCES).map(place).collect();
                Service::create(name, sync_replicas, addresses, layout.controls(), record)
            })
            .collect();
        serve_cloud(&layout.cloud(), &services).map_err(|error| error.to_string())?;
        let set = Self {
            layout,
            vms,
            services,
            folder,
        };
        for name in set.layout.names() {
            set.vms
                .start(&name, true)
                .map_err(|error| error.to_string())?;
        }
        for service in &set.services {
            for place in 0..INSTANCES {
                service.start_instance(place);
            }
        }
        set.put_config(record, &write_config(1, names, sync_replicas, routes), 30)?;
        for route in routes
            .iter()
            .filter(|route| route.kind != "bounded_staleness")
        {
            set.wait_for_write(route.host)?;
        }
        record.note("the set serves");
        Ok(set)
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&self, record: &Record, body: &str, seconds: u64) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end {
            for control in self.layout.controls() {
                let answer = http::call(&control, "PUT /v1/config", body);
                let status = answer.as_ref().map(|(status, _)| *status);
                record.note(&format!(
                    "operator  PUT /v1/config at {control} -> {status:?}"
                ));
                if status == Some(200) {
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(100));
        }
        Err("a configuration isn't acknowledged".to_owned())
    }

    fn wait_for_write(&self, host: &str) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        let mut number = 0;
        while Instant::now() < end {
            for gateway in self.layout.gateways() {
                number += 1;
                let opened = Session::open(&gateway, host, Duration::from_secs(2));
                if let Ok(mut session) = opened {
                    let id = format!("ffff{number:012x}");
                    if is_success(&session.ask(&format!("QUERY {id} WRITE 1a4 first"))) {
                        return Ok(());
                    }
                }
            }
            sleep(Duration::from_millis(50));
        }
        Err(format!("{host} takes no writes"))
    }

    /// Ends everything, and notes panics of the system's processes.
    pub fn stop(self, record: &Record) {
        for line in self.vms.find_log_lines("panicked at") {
            record.say(&format!("log       {line}"));
        }
        for service in &self.services {
            service.stop();
        }
        for name in self.layout.names() {
            self.vms.kill(&name);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn write_config(
    version: u64,
    names: &[&str],
    sync_replicas: usize,
    routes: &[Route],
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"r-{0}\",\"host\":\"{0}\",\"path-prefix\":\"/\",\"route-type\":\"{1}\",\
                 \"timeout-ms\":{2},\"target-latency-ms\":100,\"priority\":1,\"service\":\"{3}\",\
                 \"max-attempts\":2,\"max-staleness-ms\":{4}}}",
                route.host,
                route.kind,
                route.timeout_ms,
                route.service,
                if route.kind == "primary" { 0 } else { 1_500 }
            )
        })
        .collect();
    let services: Vec<String> = names
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":16,\
                 \"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":{sync_replicas}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000,\"txn-idle-ms\":3000}}}}",
        routes.join(","),
        services.join(",")
    )
}
