//! The system's own processes, started with the commands of the deploy file and with settings that
//! are rendered from its templates.

use crate::record::Record;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;

const ZONES: [&str; 3] = ["hall-one", "hall-two", "hall-three"];

/// The addresses of one run, all below one prefix of loopback addresses.
#[derive(Clone)]
pub struct Layout {
    prefix: String,
    pub cores: usize,
    pub fronts: usize,
}

impl Layout {
    /// Finds a prefix under which the ports are free.
    pub fn find(cores: usize, fronts: usize) -> io::Result<Self> {
        let start = std::process::id() as usize;
        for step in 0..200 {
            let number = (start + step * 37) % 60_000;
            let prefix = format!("127.{}.{}", 2 + number / 250 % 240, 1 + number % 250);
            let layout = Self {
                prefix,
                cores,
                fronts,
            };
            if layout.is_free() {
                return Ok(layout);
            }
        }
        Err(io::Error::other("no free loopback addresses"))
    }

    fn is_free(&self) -> bool {
        let own = (1..=self.cores).map(|n| self.address(n));
        let own = own.chain((1..=self.fronts).map(|n| self.address(20 + n)));
        let own = own.chain((1..=9).map(|n| self.address(100 + n)));
        let own = own.chain([self.address(200)]);
        own.into_iter().all(|ip| {
            [7440, 7455, 8080, 8782, 8783, 8784, 8785]
                .iter()
                .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        })
    }

    pub fn address(&self, number: usize) -> String {
        format!("{}.{number}", self.prefix)
    }

    pub fn cloud(&self) -> String {
        format!("{}:8783", self.address(200))
    }

    pub fn controls(&self) -> Vec<String> {
        (1..=self.cores)
            .map(|n| format!("{}:8782", self.address(n)))
            .collect()
    }

    pub fn gateways(&self) -> Vec<String> {
        (1..=self.fronts)
            .map(|n| format!("{}:8784", self.address(20 + n)))
            .collect()
    }

    /// The names of the machines: those of the core, then the fronts.
    pub fn names(&self) -> Vec<String> {
        let cores = (1..=self.cores).map(|n| format!("core-{n}"));
        cores
            .chain((1..=self.fronts).map(|n| format!("front-{n}")))
            .collect()
    }

    fn ip_of(&self, name: &str) -> String {
        let (class, number) = name.split_once('-').unwrap_or(("core", "1"));
        let number: usize = number.parse().unwrap_or(1);
        self.address(if class == "core" { number } else { 20 + number })
    }
}

/// The running processes; dropping the last clone ends them.
#[derive(Clone)]
pub struct Vms {
    inner: Arc<Inner>,
}

struct Inner {
    layout: Layout,
    folder: PathBuf,
    record: Record,
    roles: BTreeMap<String, Role>,
    children: Mutex<BTreeMap<String, Child>>,
}

/// A role of the deploy file.
#[derive(Clone, Default)]
struct Role {
    run: Vec<String>,
    template: String,
    on: String,
}

/// Reads the roles of `deploy/system.toml`, as far as its few forms go.
fn read_roles() -> io::Result<BTreeMap<String, Role>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let mut roles: BTreeMap<String, Role> = BTreeMap::new();
    let mut current = String::new();
    for line in text.lines() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix("[roles.") {
            current = name.trim_end_matches(']').to_owned();
            continue;
        }
        let Some((key, value)) = line.split_once('=') else {
            continue;
        };
        let value = value.trim().trim_matches('"').to_owned();
        let Some(role) = (!current.is_empty()).then(|| roles.entry(current.clone()).or_default())
        else {
            continue;
        };
        match key.trim() {
            "run" => role.run = value.split(' ').map(str::to_owned).collect(),
            "template" => role.template = value,
            "on" => role.on = value,
            _ => {}
        }
    }
    // By class of machine.
    Ok(roles
        .into_values()
        .map(|role| (role.on.clone(), role))
        .collect())
}

impl Vms {
    pub fn create(layout: &Layout, folder: &Path, record: &Record) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            inner: Arc::new(Inner {
                layout: layout.clone(),
                folder: folder.to_owned(),
                record: record.clone(),
                roles: read_roles()?,
                children: Mutex::default(),
            }),
        })
    }

    /// Starts a machine's process.
    pub fn start(&self, name: &str, bootstrap: bool) -> io::Result<()> {
        let inner = &self.inner;
        let class = name.split('-').next().unwrap_or_default();
        let role = inner
            .roles
            .get(class)
            .ok_or_else(|| io::Error::other("no such role"))?;
        let template = fs::read_to_string(&role.template)?;
        let settings = inner.folder.join(format!("{name}.settings"));
        fs::write(&settings, self.render(&template, name, class, bootstrap))?;
        fs::create_dir_all(inner.folder.join(format!("{name}.data")))?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(inner.folder.join(format!("{name}.log")))?;
        let mut children = inner.children.lock().unwrap();
        let child = Command::new(&role.run[0])
            .args(&role.run[1..])
            .env("RAGWORTGATE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        inner
            .record
            .note(&format!("platform  starts {name}: {}", role.run.join(" ")));
        children.insert(name.to_owned(), child);
        Ok(())
    }

    fn render(&self, template: &str, name: &str, class: &str, bootstrap: bool) -> String {
        let layout = &self.inner.layout;
        let ip = layout.ip_of(name);
        let place = layout
            .names()
            .iter()
            .position(|one| one == name)
            .unwrap_or(0);
        let seeds: Vec<String> = layout.controls().into_iter().take(3).collect();
        let data = self.inner.folder.join(format!("{name}.data"));
        let mut text = template.to_owned();
        // The deployment has no quotas: a section without a value is left out.
        if let Some((before, rest)) = text.clone().split_once("{{#bounds.quota-slack}}\n") {
            if let Some((_, after)) = rest.split_once("{{/bounds.quota-slack}}\n") {
                text = format!("{before}{after}");
            }
        }
        let fds = if class == "core" { "4096" } else { "4200" };
        let values = [
            ("node-name", name.to_owned()),
            ("zone", ZONES[place % ZONES.len()].to_owned()),
            ("ip", ip.clone()),
            ("internal-ports.0", "7440".to_owned()),
            ("internal-ports.1", "7455".to_owned()),
            ("data-dir", data.display().to_string()),
            ("limits.max-fds", fds.to_owned()),
            ("listen-addrs.control", format!("{ip}:8782")),
            ("listen-addrs.front", format!("{ip}:8784")),
            ("listen-addrs.ready", format!("{ip}:8785")),
            ("cloud.address", layout.cloud()),
            ("seeds", seeds.join(",")),
            ("bootstrap|json", bootstrap.to_string()),
            (
                "fault-tolerance.machines",
                ((layout.cores - 1) / 2).to_string(),
            ),
        ];
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        text
    }

    /// Kills a machine's process and reaps it.
    pub fn kill(&self, name: &str) {
        let child = self.inner.children.lock().unwrap().remove(name);
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.inner
                .record
                .note(&format!("platform  SIGKILL to {name}"));
        }
    }

    /// Returns the lines of the machines' logs that hold a text.
    pub fn find_log_lines(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for name in self.inner.layout.names() {
            let path = self.inner.folder.join(format!("{name}.log"));
            let log = fs::read_to_string(path).unwrap_or_default();
            let lines = log.lines().filter(|line| line.contains(text));
            found.extend(lines.map(|line| format!("{name} {line}")));
        }
        found.sort_by_key(|line| {
            let at = line.split("time_ms=").nth(1).unwrap_or_default();
            at.split(' ').next().unwrap_or_default().to_owned()
        });
        found
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        for child in self.children.get_mut().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
