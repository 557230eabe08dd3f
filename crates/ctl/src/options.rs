//! Command-line options and subcommands.

use argh::FromArgs;
use ragwort_types::ChangeId;
use ragwort_types::ContractVersion;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use uuid::Uuid;

/// Operate ragwortgate: change contracts, show the status, drain a VM.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 outcome unknown (resend with the printed change id)."
)]
pub struct CommandOptions {
    /// peer addresses of daemons, IP:PORT[,IP:PORT...]; each is tried in turn (default
    /// 127.0.0.1:7432)
    #[argh(option, default = "AddressList::default()")]
    pub address: AddressList,

    /// print JSON in place of text
    #[argh(switch)]
    pub json: bool,

    /// print the version and the sources of this program
    #[argh(switch)]
    pub version: bool,

    /// what to do
    #[argh(subcommand)]
    pub command: Option<OperatorCommand>,
}

/// The peer addresses of the daemons to call, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressList(pub Vec<SocketAddr>);

impl Default for AddressList {
    fn default() -> Self {
        Self(vec![SocketAddr::from(([127, 0, 0, 1], 7432))])
    }
}

impl FromStr for AddressList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.split(',')
            .map(|address| {
                address
                    .trim()
                    .parse()
                    .map_err(|_| format!("expected IP:PORT, found `{address}`"))
            })
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum OperatorCommand {
    /// Forms the first voter set.
    Form(FormCommand),
    /// Applies or shows contracts.
    Contract(ContractCommand),
    /// Applies or shows the whole configuration.
    Document(DocumentCommand),
    /// Shows a daemon's status and its view of the system.
    Status(StatusCommand),
    /// Shows the full state of one process.
    Dump(DumpCommand),
    /// Drains one VM.
    Drain(DrainCommand),
}

/// form the first voter set from the control VMs in the called daemon's settings
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "form")]
pub struct FormCommand {}

/// show a daemon's status and its view of the system
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

/// show the full state of a daemon's process as JSON
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpCommand {}

/// start draining the VM at the one address given
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {}

/// apply or show customers' contracts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract")]
pub struct ContractCommand {
    /// what to do with contracts
    #[argh(subcommand)]
    pub action: ContractAction,
}

/// The actions on contracts.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ContractAction {
    /// Applies a contract.
    Apply(ApplyCommand),
    /// Shows a contract.
    Get(GetCommand),
    /// Shows all contracts.
    List(ListCommand),
}

/// apply or show the whole configuration
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "document")]
pub struct DocumentCommand {
    /// what to do with it
    #[argh(subcommand)]
    pub action: DocumentAction,
}

/// The actions on the whole configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum DocumentAction {
    /// Applies a document.
    Apply(ApplyDocumentCommand),
    /// Shows the newest document.
    Get(GetDocumentCommand),
}

/// replace the whole configuration from a YAML file; the highest version wins
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyDocumentCommand {
    /// the document's file
    #[argh(positional)]
    pub file: PathBuf,
}

/// show the whole configuration, confirmed by a majority of the control VMs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetDocumentCommand {}

/// apply a contract from a YAML file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyCommand {
    /// return only when the contract is in force on every member
    #[argh(switch)]
    pub wait: bool,

    /// how long to wait for it, in milliseconds (default 30000)
    #[argh(option, default = "30_000")]
    pub wait_ms: u64,

    /// the id of an earlier attempt whose answer was lost
    #[argh(option, from_str_fn(read_change_id))]
    pub change_id: Option<ChangeId>,

    /// the version to build on; the present one is read first if none is given
    #[argh(option, from_str_fn(read_version))]
    pub base_version: Option<ContractVersion>,

    /// the contract's file
    #[argh(positional)]
    pub file: PathBuf,
}

/// show a customer's contract
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetCommand {
    /// the customer
    #[argh(positional)]
    pub customer: String,
}

/// show all contracts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {}

fn read_change_id(text: &str) -> Result<ChangeId, String> {
    Uuid::from_str(text)
        .map(ChangeId)
        .map_err(|_| format!("expected a change id (a UUID), found `{text}`"))
}

fn read_version(text: &str) -> Result<ContractVersion, String> {
    text.parse()
        .map(ContractVersion)
        .map_err(|_| format!("expected a version, found `{text}`"))
}
