//! `ragwort-lab`: an endpoint stand-in, and tools that test and measure ragwortgate under load and
//! faults.

use argh::FromArgs;
use log::LevelFilter;
use ragwort_lab::demo::run_demo;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use ragwort_lab::gap::PrimaryFault;
use ragwort_lab::gap::measure_gaps;
use ragwort_lab::lab_set::LabSet;
use ragwort_lab::lab_set::SetSettings;
use ragwort_lab::load::LoadSettings;
use ragwort_lab::load::StopFlag;
use ragwort_lab::load::run_load;
use ragwort_lab::load_plan::LoadMix;
use ragwort_lab::load_plan::PlanSettings;
use ragwort_lab::scale::measure_scale;
use ragwort_lab::scale_path::PathSettings;
use ragwort_lab::scale_path::measure_path;
use ragwort_lab::scale_report::describe_slopes;
use ragwort_lab::scale_set::ScaleSettings;
use ragwort_lab::sizes::SiteSize;
use ragwort_lab::soak::SoakSettings;
use ragwort_lab::soak::run_soak;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The time for which a leaving endpoint keeps serving, so that its announcements reach all
/// daemons.
const LEAVING_NOTICE: Duration = Duration::from_millis(1_500);

/// Endpoint stand-in, load tool and reports of ragwortgate.
#[derive(Debug, FromArgs)]
struct LabArguments {
    #[argh(subcommand)]
    command: LabSubcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum LabSubcommand {
    Endpoint(EndpointArguments),
    Load(LoadArguments),
    Sizes(SizesArguments),
    Demo(DemoArguments),
    Gap(GapArguments),
    Soak(SoakArguments),
    Scale(ScaleArguments),
    Path(PathArguments),
}

/// Run an in-memory endpoint stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "endpoint")]
struct EndpointArguments {
    /// the database group
    #[argh(option)]
    group: String,
    /// the instance's name
    #[argh(option)]
    instance: String,
    /// the failure domain
    #[argh(option)]
    domain: String,
    /// address of the data port, which takes statements
    #[argh(option)]
    data: SocketAddr,
    /// address of the agent
    #[argh(option)]
    agent: SocketAddr,
    /// the data address to announce, if it differs
    #[argh(option)]
    advertise_data: Option<SocketAddr>,
    /// the agent's address to announce, if it differs
    #[argh(option)]
    advertise_agent: Option<SocketAddr>,
    /// daemons to announce to, separated by commas
    #[argh(option, from_str_fn(parse_addresses))]
    announce: AddressList,
    /// statements that run at once; 2 by default
    #[argh(option, default = "2")]
    slots: u32,
    /// connections taken at once; 16 by default
    #[argh(option, default = "16")]
    connections: u32,
    /// milliseconds that a connection takes to open; 12 by default
    #[argh(option, default = "12")]
    connect_ms: u64,
    /// milliseconds that a statement takes; 4 by default
    #[argh(option, default = "4")]
    service_ms: u64,
    /// replication lag of a replica, in milliseconds; 0 by default
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// start as the primary of a new group
    #[argh(switch)]
    primary: bool,
}

/// Send a load through gateways, or to one endpoint, and check the consistency of the answers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArguments {
    /// gateways, separated by commas
    #[argh(option, from_str_fn(parse_addresses))]
    gateway: AddressList,
    /// the database group
    #[argh(option)]
    group: String,
    /// customers, separated by commas
    #[argh(option)]
    customer: String,
    /// requests per second; 100 by default
    #[argh(option, default = "100.0")]
    rate: f64,
    /// duration in seconds; 10 by default
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// seed of the schedule; 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// sessions per customer; 64 by default
    #[argh(option, default = "64")]
    sessions: usize,
    /// requests after which a session moves to another gateway; 20 by default
    #[argh(option, default = "20")]
    move_every: u64,
    /// ratio of the first customer's request rate to that of any other; 1 by default
    #[argh(option, default = "1")]
    hot_factor: u32,
    /// lists in use at a time; 16 by default
    #[argh(option, default = "16")]
    lists: usize,
    /// classes and weights, such as
    /// `urgent=3,grant=12,update=15,status=40,fresh=15,own=15,report=1`
    #[argh(option, default = "LoadMix::default()")]
    mix: LoadMix,
    /// prefix of this run's keys and session names; made from the process id by default
    #[argh(option, default = "format!(\"run{}\", std::process::id())")]
    run: String,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// Print a site's size and delays.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sizes")]
struct SizesArguments {
    /// omuti or sabarmati
    #[argh(positional, from_str_fn(find_size))]
    size: SiteSize,
}

/// Start a small set of processes, send a write and some reads, and print the answers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArguments {}

/// Measure the failover gap.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gap")]
struct GapArguments {
    /// failovers to measure; 20 by default
    #[argh(option, default = "20")]
    runs: usize,
    /// fault of the primary: kill, freeze or cut
    #[argh(option)]
    fault: PrimaryFault,
    /// omuti or sabarmati
    #[argh(option, from_str_fn(find_size))]
    size: SiteSize,
    /// seed of the times at which faults occur; 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// VMs to start instead of the site's number
    #[argh(option)]
    vms: Option<usize>,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// keep the folder with settings and logs
    #[argh(switch)]
    keep: bool,
}

/// Inject random faults into real processes under load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArguments {
    /// seed of the load and of the faults; 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// duration in minutes; 5 by default
    #[argh(option, default = "5.0")]
    minutes: f64,
    /// omuti or sabarmati; omuti by default
    #[argh(option, from_str_fn(find_size), default = "SiteSize::omuti()")]
    size: SiteSize,
    /// VMs to start instead of the site's number
    #[argh(option)]
    vms: Option<usize>,
    /// requests per second; 100 by default
    #[argh(option, default = "100.0")]
    rate: f64,
    /// keep the folder with settings and logs
    #[argh(switch)]
    keep: bool,
}

/// Measure the resource use of each role for several numbers of VMs, and print linear fits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
struct ScaleArguments {
    /// numbers of VMs, separated by commas, such as 10,30,60; 200 at most
    #[argh(option, from_str_fn(parse_counts))]
    vms: CountList,
    /// control VMs; 3 by default
    #[argh(option, default = "3")]
    control: usize,
    /// database groups; none by default
    #[argh(option, default = "0")]
    groups: usize,
    /// duration of each phase in seconds; 20 by default
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// milliseconds between heartbeats; 200 by default
    #[argh(option, default = "200")]
    heartbeat_ms: u64,
    /// duration of a lease in milliseconds; 1000 by default
    #[argh(option, default = "1000")]
    lease_ms: u64,
    /// tick interval of the control VMs' clock in milliseconds; 20 by default
    #[argh(option, default = "20")]
    tick_ms: u64,
    /// print the reports as JSON
    #[argh(switch)]
    json: bool,
    /// keep the folder with settings and logs
    #[argh(switch)]
    keep: bool,
}

/// Measure the cost of a statement at each hop, and of an idle connection at the gateway.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
struct PathArguments {
    /// statements per second, separated by commas; 250,500,1000 by default
    #[argh(
        option,
        from_str_fn(parse_counts),
        default = "CountList(vec![250, 500, 1000])"
    )]
    rates: CountList,
    /// classes and weights, as for `load`
    #[argh(option, default = "LoadMix::default()")]
    mix: LoadMix,
    /// duration of each run in seconds; 10 by default
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// idle connections to open; 2000 by default
    #[argh(option, default = "2000")]
    connections: usize,
}

#[derive(Clone, Debug)]
struct CountList(Vec<usize>);

fn parse_counts(text: &str) -> Result<CountList, String> {
    let counts: Result<Vec<usize>, _> = text.split(',').map(str::parse).collect();
    counts
        .map(CountList)
        .map_err(|_| format!("expected numbers such as 10,30, found `{text}`"))
}

fn find_size(name: &str) -> Result<SiteSize, String> {
    SiteSize::find(name).ok_or_else(|| format!("expected omuti or sabarmati, found `{name}`"))
}

#[derive(Clone, Debug)]
struct AddressList(Vec<SocketAddr>);

fn parse_addresses(text: &str) -> Result<AddressList, String> {
    let addresses: Result<Vec<SocketAddr>, _> = text.split(',').map(str::parse).collect();
    addresses
        .map(AddressList)
        .map_err(|_| format!("expected addresses such as 127.0.0.1:7432, found `{text}`"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: LabArguments = argh::from_env();
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    // Initialization can't fail: no other logger has been set.
    let _ = WriteLogger::init(LevelFilter::Info, config, std::io::stderr());
    let outcome = match arguments.command {
        LabSubcommand::Endpoint(arguments) => run_endpoint(arguments).await,
        LabSubcommand::Load(arguments) => send_load(arguments).await,
        LabSubcommand::Sizes(arguments) => print_size(&arguments.size),
        LabSubcommand::Demo(_) => show_demo().await,
        LabSubcommand::Gap(arguments) => report_gap(arguments).await,
        LabSubcommand::Soak(arguments) => report_soak(arguments).await,
        LabSubcommand::Scale(arguments) => report_scale(arguments).await,
        LabSubcommand::Path(arguments) => report_path(arguments).await,
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed error=\"{error}\"");
            ExitCode::FAILURE
        }
    }
}

async fn run_endpoint(arguments: EndpointArguments) -> Result<(), Box<dyn Error>> {
    let settings = EndpointSettings {
        group: arguments.group.into(),
        instance: arguments.instance.into(),
        domain: arguments.domain.into(),
        data_address: arguments.data,
        agent_address: arguments.agent,
        advertised_data: arguments.advertise_data,
        advertised_agent: arguments.advertise_agent,
        announce: arguments.announce.0,
        slots: arguments.slots,
        connections: arguments.connections,
        connect_time: Duration::from_millis(arguments.connect_ms),
        service_time: Duration::from_millis(arguments.service_ms),
        lag_ms: arguments.lag_ms,
        primary: arguments.primary,
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let endpoint = LabEndpoint::start(&settings).await?;
    log::info!(
        "event=ready group={} instance={} data={} agent={}",
        settings.group,
        settings.instance,
        endpoint.data_address(),
        endpoint.agent_address(),
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("event=leaving instance={}", settings.instance);
    endpoint.leave(LEAVING_NOTICE).await;
    endpoint.stop().await;
    Ok(())
}

async fn send_load(arguments: LoadArguments) -> Result<(), Box<dyn Error>> {
    let customers: Vec<String> = arguments.customer.split(',').map(str::to_owned).collect();
    let settings = LoadSettings {
        gateways: arguments.gateway.0,
        group: arguments.group,
        plan: PlanSettings {
            seed: arguments.seed,
            rate: arguments.rate,
            duration: Duration::from_secs_f64(arguments.seconds),
            customers: customers.len(),
            hot_factor: arguments.hot_factor,
            lists: arguments.lists,
            mix: arguments.mix,
        },
        customers,
        sessions: arguments.sessions,
        move_every: arguments.move_every,
        run_name: arguments.run,
    };
    let report = run_load(&settings, &StopFlag::default()).await;
    match arguments.json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    match report.violations.is_empty() {
        true => Ok(()),
        false => Err(format!("{} consistency violations", report.violations.len()).into()),
    }
}

fn print_size(size: &SiteSize) -> Result<(), Box<dyn Error>> {
    print!("{}", serde_saphyr::to_string(size)?);
    Ok(())
}

async fn show_demo() -> Result<(), Box<dyn Error>> {
    run_demo(find_binaries()?).await?;
    Ok(())
}

async fn report_gap(arguments: GapArguments) -> Result<(), Box<dyn Error>> {
    let settings = build_set_settings(arguments.size, arguments.vms, arguments.keep)?;
    let mut set = LabSet::start(settings).await?;
    println!("folder: {}", set.folder().display());
    let report = measure_gaps(&mut set, arguments.fault, arguments.runs, arguments.seed).await?;
    match arguments.json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    set.stop().await?;
    match report.failed.is_empty() {
        true => Ok(()),
        false => Err(format!("{} runs failed", report.failed.len()).into()),
    }
}

async fn report_soak(arguments: SoakArguments) -> Result<(), Box<dyn Error>> {
    let settings = build_set_settings(arguments.size, arguments.vms, arguments.keep)?;
    let soak = SoakSettings {
        seed: arguments.seed,
        duration: Duration::from_secs_f64(arguments.minutes * 60.0),
        rate: arguments.rate,
    };
    let mut set = LabSet::start(settings).await?;
    println!("folder: {}", set.folder().display());
    let report = run_soak(&mut set, &soak).await?;
    print!("{}", report.load);
    println!("{} faults: {:?}", report.faults.len(), report.faults);
    for line in report.alarms.iter().chain(&report.not_healed) {
        println!("{line}");
    }
    set.stop().await?;
    match report.is_clean() {
        true => Ok(()),
        false => Err("the soak found violations, alarms or faults without recovery".into()),
    }
}

async fn report_scale(arguments: ScaleArguments) -> Result<(), Box<dyn Error>> {
    let mut reports = Vec::new();
    for vms in arguments.vms.0 {
        let settings = ScaleSettings {
            binaries: find_binaries()?,
            vms,
            control: arguments.control,
            groups: arguments.groups,
            slots: 2,
            service_time: Duration::from_millis(4),
            phase_time: Duration::from_secs_f64(arguments.seconds),
            heartbeat_ms: arguments.heartbeat_ms,
            lease_ms: arguments.lease_ms,
            tick_ms: arguments.tick_ms,
            keep_folder: arguments.keep,
        };
        let report = measure_scale(settings).await?;
        match arguments.json {
            true => println!("{}", serde_json::to_string(&report)?),
            false => print!("{report}"),
        }
        reports.push(report);
    }
    print!("{}", describe_slopes(&reports));
    Ok(())
}

async fn report_path(arguments: PathArguments) -> Result<(), Box<dyn Error>> {
    let settings = PathSettings {
        binaries: find_binaries()?,
        rates: arguments.rates.0,
        mix: arguments.mix,
        time: Duration::from_secs_f64(arguments.seconds),
        connections: arguments.connections,
    };
    print!("{}", measure_path(settings).await?);
    Ok(())
}

fn build_set_settings(
    mut size: SiteSize,
    vms: Option<usize>,
    keep_folder: bool,
) -> Result<SetSettings, Box<dyn Error>> {
    size.vms = vms.unwrap_or(size.vms);
    Ok(SetSettings {
        size,
        groups: 1,
        binaries: find_binaries()?,
        keep_folder,
        election_ticks: None,
    })
}

/// Returns the folder of this program, which holds the other binaries of the build as well.
fn find_binaries() -> Result<PathBuf, Box<dyn Error>> {
    let program = std::env::current_exe()?;
    let folder = program
        .parent()
        .ok_or("the path of this program has no parent folder")?;
    Ok(folder.to_owned())
}
