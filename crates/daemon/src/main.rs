//! `ragwortgated`: the daemon of ragwortgate.

use argh::FromArgs;
use log::Level;
use ragwort_types::BuildInfo;
use ragwortgated::edges::NodeEdges;
use ragwortgated::log_event;
use ragwortgated::logs::log_panics;
use ragwortgated::logs::set_up_log;
use ragwortgated::node::run_node;
use ragwortgated::settings::DaemonSettings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// A database proxy with session consistency: gateway, leaseholder and control in one daemon.
#[derive(FromArgs)]
struct DaemonArguments {
    /// the settings file (YAML)
    #[argh(option)]
    settings: Option<PathBuf>,

    /// only check the settings and print every fault
    #[argh(switch)]
    check: bool,

    /// print the version and the sources of this program
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let arguments: DaemonArguments = argh::from_env();
    if arguments.version {
        println!("{}", BuildInfo::of_program().to_line("ragwortgated"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("ragwortgated: no settings file: expected --settings");
        return ExitCode::from(2);
    };
    let settings = match DaemonSettings::read_file(&path) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", path.display());
            }
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("{}: settings are in order", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(fault) = set_up_log(&settings.log) {
        eprintln!("ragwortgated: {fault}");
        return ExitCode::FAILURE;
    }
    log_panics();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("ragwortgated: can't start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_node(Arc::new(settings), NodeEdges::Postgres)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log_event!(Level::Error, "failed", fault = fault);
            eprintln!("ragwortgated: {fault}");
            ExitCode::FAILURE
        }
    }
}
