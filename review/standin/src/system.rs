//! The system under test: real processes on loopback addresses, with settings filled in from the
//! templates of the deploy file.

use std::fs;
use std::fs::File;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;

/// The zones of the small deployment, with its machines: fronts and cores.
const ZONES: [(&str, usize, usize); 3] =
    [("hall-one", 3, 2), ("hall-two", 3, 2), ("hall-three", 2, 1)];

/// The ids of the started processes, for the watchdog.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, where the system can't be dropped any more.
pub fn kill_all() {
    for id in PROCESSES.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
    }
}

pub struct Machine {
    pub name: String,
    pub class: &'static str,
    pub zone: &'static str,
    pub ip: String,
    child: Option<Child>,
}

pub struct System {
    pub prefix: String,
    pub machines: Vec<Machine>,
    root: PathBuf,
    folder: PathBuf,
}

impl System {
    /// Lays out the machines below a prefix of loopback addresses that nobody uses.
    pub fn new(root: &Path) -> std::io::Result<Self> {
        let id = std::process::id();
        let prefix = (0..50)
            .map(|step| format!("127.{}.{}", 20 + (id / 200 + step) % 200, 1 + id % 200))
            .find(|prefix| TcpListener::bind(format!("{prefix}.1:8782")).is_ok())
            .ok_or(std::io::ErrorKind::AddrInUse)?;
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder)?;
        let mut machines = Vec::new();
        for (zone, fronts, cores) in ZONES {
            for (class, count) in [("front", fronts), ("core", cores)] {
                for number in 1..=count {
                    let same = machines.iter().filter(|one: &&Machine| one.class == class);
                    let base = if class == "core" { 1 } else { 21 };
                    machines.push(Machine {
                        name: format!("{class}-{zone}-{number}"),
                        class,
                        zone,
                        ip: format!("{prefix}.{}", base + same.count()),
                        child: None,
                    });
                }
            }
        }
        Ok(Self {
            prefix,
            machines,
            root: root.to_owned(),
            folder,
        })
    }

    pub fn cloud(&self) -> String {
        format!("{}.200:8783", self.prefix)
    }

    fn addresses(&self, class: &str, port: u16) -> Vec<String> {
        let own = self.machines.iter().filter(|one| one.class == class);
        own.map(|one| format!("{}:{port}", one.ip)).collect()
    }

    pub fn controls(&self) -> Vec<String> {
        self.addresses("core", 8782)
    }

    pub fn fronts(&self) -> Vec<String> {
        self.addresses("front", 8784)
    }

    pub fn readiness(&self) -> Vec<String> {
        self.addresses("front", 8785)
    }

    pub fn start_all(&mut self) -> std::io::Result<()> {
        for number in 0..self.machines.len() {
            self.start(number)?;
        }
        Ok(())
    }

    fn start(&mut self, number: usize) -> std::io::Result<()> {
        let machine = &self.machines[number];
        let settings = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(&settings, self.fill_template(machine)?)?;
        let log = File::create(self.folder.join(format!("{}.log", machine.name)))?;
        let mut command = Command::new(self.root.join("target/release/ragwort-platform"));
        command
            .current_dir(&self.root)
            .env("RAGWORTGATE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = command.spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        self.machines[number].child = Some(child);
        Ok(())
    }

    fn fill_template(&self, machine: &Machine) -> std::io::Result<String> {
        let template = match machine.class {
            "core" => "deploy/control.yaml",
            _ => "deploy/gateway.yaml",
        };
        let mut text = fs::read_to_string(self.root.join(template))?;
        if let Some((before, rest)) = text.split_once("{{#bounds.quota-slack}}\n") {
            let after = rest.split_once("{{/bounds.quota-slack}}\n");
            text = format!("{before}{}", after.map_or("", |(_, after)| after));
        }
        let data = self.folder.join(format!("{}.data", machine.name));
        fs::create_dir_all(&data)?;
        let fds = if machine.class == "core" {
            "4096"
        } else {
            "4200"
        };
        let ip = &machine.ip;
        let values = [
            ("node-name", machine.name.clone()),
            ("zone", machine.zone.to_owned()),
            ("ip", ip.clone()),
            ("internal-ports.0", "7440".to_owned()),
            ("internal-ports.1", "7455".to_owned()),
            ("data-dir", data.display().to_string()),
            ("limits.max-fds", fds.to_owned()),
            ("listen-addrs.control", format!("{ip}:8782")),
            ("listen-addrs.front", format!("{ip}:8784")),
            ("listen-addrs.ready", format!("{ip}:8785")),
            ("cloud.address", self.cloud()),
            ("seeds", self.controls()[..3].join(",")),
            ("bootstrap|json", "true".to_owned()),
            ("fault-tolerance.machines", "2".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        Ok(text)
    }

    /// Returns the lines of the processes' logs that contain one of some words.
    pub fn find_log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for machine in &self.machines {
            let path = self.folder.join(format!("{}.log", machine.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            let found = text
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)));
            lines.extend(found.map(|line| format!("{}: {line}", machine.name)));
        }
        lines
    }
}

impl Drop for System {
    fn drop(&mut self) {
        PROCESSES.lock().unwrap().clear();
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
