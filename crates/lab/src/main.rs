//! `ragwort-lab`: an endpoint stand-in and tools that put load and faults on ragwortgate.

use argh::FromArgs;
use log::LevelFilter;
use ragwort_lab::endpoint::EndpointSettings;
use ragwort_lab::endpoint::LabEndpoint;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// How long a leaving endpoint stays: its announcements reach everybody meanwhile.
const LEAVING_PATIENCE: Duration = Duration::from_millis(1_500);

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
}

/// Run an endpoint stand-in, in memory.
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
    /// where to take statements
    #[argh(option)]
    data: SocketAddr,
    /// where the agent answers
    #[argh(option)]
    agent: SocketAddr,
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
    /// milliseconds by which a replica lags; 0 by default
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// start as the primary of a brand new group
    #[argh(switch)]
    primary: bool,
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
    // A second logger can't be there yet.
    let _ = WriteLogger::init(LevelFilter::Info, config, std::io::stderr());
    let outcome = match arguments.command {
        LabSubcommand::Endpoint(arguments) => run_endpoint(arguments).await,
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
    endpoint.leave(LEAVING_PATIENCE).await;
    endpoint.stop().await;
    Ok(())
}
