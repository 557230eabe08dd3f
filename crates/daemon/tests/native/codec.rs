//! A line-based text protocol for scripted endpoints.

use bytes::Buf;
use bytes::BytesMut;
use ragwort_types::EndpointFault;
use ragwort_types::EndpointFaultKind;
use ragwort_types::GroupTerm;
use ragwort_types::InstanceRole;
use ragwort_types::LogPosition;
use ragwort_types::TransactionMode;
use ragwortgated::edges::EndpointCommand;
use ragwortgated::edges::EndpointEnd;
use ragwortgated::edges::EndpointMessage;
use ragwortgated::edges::EndpointProtocol;
use ragwortgated::edges::EndpointReport;
use ragwortgated::edges::ProtocolFault;
use ragwortgated::edges::SessionState;

/// The faults that scripts use, and their words on the wire.
const FAULTS: [(&str, EndpointFaultKind); 8] = [
    ("lagging", EndpointFaultKind::Lagging),
    ("readonly", EndpointFaultKind::ReadOnly),
    ("wrong", EndpointFaultKind::WrongInstance),
    ("busy", EndpointFaultKind::Busy),
    ("failed", EndpointFaultKind::Failed),
    ("full", EndpointFaultKind::ConnectionLimit),
    ("aborted", EndpointFaultKind::Aborted),
    ("malformed", EndpointFaultKind::Malformed),
];

pub struct LineProtocol;

pub fn fault_word(sort: EndpointFaultKind) -> &'static str {
    let found = FAULTS.iter().find(|(_, known)| *known == sort);
    found.expect("the fault has no word in FAULTS").0
}

pub fn read_position(text: &str) -> Option<LogPosition> {
    let (term, index) = text.split_once('/')?;
    Some(LogPosition::new(
        GroupTerm(term.parse().ok()?),
        index.parse().ok()?,
    ))
}

/// Formats a position, or a dash if there is none.
fn show(after: &Option<LogPosition>) -> String {
    after.map_or_else(|| "-".to_owned(), |position| position.to_string())
}

impl EndpointProtocol for LineProtocol {
    fn encode(&self, command: &EndpointCommand, buffer: &mut BytesMut) {
        let line = match command {
            EndpointCommand::Open {
                instance,
                account: None,
                ..
            } => format!("open {instance}"),
            EndpointCommand::Open {
                instance,
                account: Some(account),
                ..
            } => format!("open {instance} for {account}"),
            EndpointCommand::Begin { mode, after } => {
                let mode = match mode {
                    TransactionMode::ReadOnly => "ro",
                    TransactionMode::ReadWrite => "rw",
                };
                format!("begin {} {mode}", show(after))
            }
            EndpointCommand::Run { text, after, .. } => format!("run {} {text}", show(after)),
            EndpointCommand::Execute {
                definition,
                arguments,
                ..
            } => format!("execute {} {arguments}", definition.shape),
            EndpointCommand::Commit { .. } => "commit".to_owned(),
            EndpointCommand::Rollback => "rollback".to_owned(),
            EndpointCommand::Set { name, value } => format!("set {name} {value}"),
            EndpointCommand::Prepare(definition) => format!("prepare {}", definition.shape),
            EndpointCommand::Reset => "reset".to_owned(),
            EndpointCommand::Describe => "describe".to_owned(),
            EndpointCommand::Pause(term) => format!("pause {term}"),
            EndpointCommand::Resume => "resume".to_owned(),
            EndpointCommand::StepDown(term) => format!("stepdown {term}"),
        };
        buffer.extend_from_slice(line.as_bytes());
        buffer.extend_from_slice(b"\n");
    }

    fn decode(&self, buffer: &mut BytesMut) -> Result<Option<EndpointMessage>, ProtocolFault> {
        let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
            return Ok(None);
        };
        let line = buffer.split_to(end);
        buffer.advance(1);
        let line = std::str::from_utf8(&line).map_err(|_| ProtocolFault::NotText)?;
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        Ok(Some(match word {
            "row" => EndpointMessage::Row(rest.to_owned()),
            "done" => EndpointMessage::Complete(rest.to_owned()),
            "fault" => {
                let known = FAULTS.iter().find(|(name, _)| *name == rest);
                EndpointMessage::Fault(EndpointFault {
                    sort: known.ok_or(ProtocolFault::Malformed)?.1,
                    text: rest.to_owned(),
                })
            }
            "ready" => {
                let (state, position) = rest.split_once(' ').ok_or(ProtocolFault::Malformed)?;
                EndpointMessage::Ready(EndpointEnd {
                    state: match state {
                        "open" => SessionState::Open,
                        "failed" => SessionState::Failed,
                        _ => SessionState::Idle,
                    },
                    position: read_position(position),
                })
            }
            _ => return Err(ProtocolFault::Malformed),
        }))
    }

    fn read_report(&self, row: &str) -> Option<EndpointReport> {
        let mut words = row.split(' ');
        let role = match words.next()? {
            "primary" => InstanceRole::Primary,
            _ => InstanceRole::Replica,
        };
        let term = GroupTerm(words.next()?.parse().ok()?);
        let received = read_position(words.next()?)?;
        Some(EndpointReport {
            role,
            term,
            received,
        })
    }
}
