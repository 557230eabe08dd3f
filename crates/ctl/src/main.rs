//! The operators' command line of ragwortgate.
//!
//! ```text
//! ragwortctl --address 127.0.0.1:7432,127.0.0.2:7432 contract apply --wait omuti.yaml
//! ```
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | done |
//! | 1 | refused; nothing was changed |
//! | 2 | the command line is invalid |
//! | 3 | the outcome is unknown; the change id to resend with is printed |

mod apply;
mod commands;
mod document;
mod options;
mod outcome;
mod remote;

use crate::options::CommandOptions;
use crate::outcome::CommandOutcome;
use argh::FromArgs;
use ragwort_types::BuildInfo;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let options = match CommandOptions::from_args(&["ragwortctl"], &arguments) {
        Ok(options) => options,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("{}", early.output);
            return CommandOutcome::usage("").exit_code();
        }
    };
    if options.version {
        println!("{}", BuildInfo::of_program().to_line("ragwortctl"));
        return ExitCode::SUCCESS;
    }
    let json = options.json;
    let outcome = match options.command {
        Some(command) => commands::run_command(&options.address, command).await,
        None => CommandOutcome::usage("no command: see --help"),
    };
    outcome.print(json);
    outcome.exit_code()
}
