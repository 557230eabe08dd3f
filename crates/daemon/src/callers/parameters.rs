//! Converts parameters of the extended protocol, and columns of endpoints' answers, to text format.

use bytes::Bytes;
use std::error::Error;
use std::fmt::Write;
use tokio_postgres::types::FromSql;
use tokio_postgres::types::Type;
use uuid::Uuid;

/// The protocol's format code of binary values.
const BINARY_FORMAT: i16 = 1;

/// The version byte that precedes the text in a binary `jsonb`.
const JSONB_VERSION: u8 = 1;

/// The reason for which a parameter can't be converted to text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ParameterFault {
    /// The bytes are not a value of the type; contains the parameter's number, from 1.
    Malformed(usize),
    /// The type's binary format is not supported; contains the parameter's number, from 1, and the
    /// type's OID.
    Unsupported(usize, u32),
    /// The number of format codes is not zero, one or the number of parameters.
    FormatCount,
}

/// Converts parameters to text by their format codes and declared types.
pub(crate) fn to_text_parameters(
    values: &[Option<Bytes>],
    formats: &[i16],
    types: &[u32],
) -> Result<Vec<Option<String>>, ParameterFault> {
    if formats.len() > 1 && formats.len() != values.len() {
        return Err(ParameterFault::FormatCount);
    }
    let mut texts = Vec::with_capacity(values.len());
    for (index, value) in values.iter().enumerate() {
        let format = match formats {
            [] => 0,
            [all] => *all,
            each => each[index],
        };
        let type_id = types.get(index).copied().unwrap_or(0);
        let text = match value {
            None => None,
            Some(bytes) if format == BINARY_FORMAT => {
                Some(binary_to_text(bytes, type_id, index + 1)?)
            }
            Some(bytes) => Some(bytes_to_text(bytes, index + 1)?),
        };
        texts.push(text);
    }
    Ok(texts)
}

fn bytes_to_text(bytes: &[u8], position: usize) -> Result<String, ParameterFault> {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.contains('\0') => Ok(text.to_owned()),
        _ => Err(ParameterFault::Malformed(position)),
    }
}

/// The text of a column's value, decoded from the binary format of any supported type.
///
/// `tokio_postgres` requests binary values in the extended protocol. Read as text, they would reach
/// the caller garbled, or fail to decode and lose the whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ColumnText(pub(crate) String);

impl<'a> FromSql<'a> for ColumnText {
    fn from_sql(kind: &Type, bytes: &'a [u8]) -> Result<Self, Box<dyn Error + Sync + Send>> {
        // The same form as in the simple protocol, so that callers see only one.
        if *kind == Type::BOOL {
            let value = bool::from_sql(kind, bytes)?;
            return Ok(Self(if value { "t" } else { "f" }.to_owned()));
        }
        match binary_to_text(bytes, kind.oid(), 1) {
            Ok(text) => Ok(Self(text)),
            Err(fault) => Err(format!("column of type {kind} can't be read: {fault:?}").into()),
        }
    }

    fn accepts(kind: &Type) -> bool {
        known_type(kind.oid()).is_some()
    }
}

fn binary_to_text(bytes: &[u8], type_id: u32, position: usize) -> Result<String, ParameterFault> {
    let Some(kind) = known_type(type_id) else {
        return Err(ParameterFault::Unsupported(position, type_id));
    };
    let malformed = ParameterFault::Malformed(position);
    match kind {
        Type::BOOL => decode::<bool>(&kind, bytes).map(|value| value.to_string()),
        Type::INT2 => decode::<i16>(&kind, bytes).map(|value| value.to_string()),
        Type::INT4 => decode::<i32>(&kind, bytes).map(|value| value.to_string()),
        Type::INT8 => decode::<i64>(&kind, bytes).map(|value| value.to_string()),
        Type::OID => decode::<u32>(&kind, bytes).map(|value| value.to_string()),
        Type::FLOAT4 => decode::<f32>(&kind, bytes).map(|value| float_to_text(value.to_string())),
        Type::FLOAT8 => decode::<f64>(&kind, bytes).map(|value| float_to_text(value.to_string())),
        Type::UUID => Uuid::from_slice(bytes).ok().map(|value| value.to_string()),
        Type::BYTEA => Some(bytes_to_hex(bytes)),
        Type::JSONB => match bytes {
            [JSONB_VERSION, json @ ..] => return bytes_to_text(json, position),
            _ => None,
        },
        _ => return bytes_to_text(bytes, position),
    }
    .ok_or(malformed)
}

/// Returns the type if its binary format is supported. OID 0 stands for an unspecified type, which
/// is described to callers as `text`.
fn known_type(type_id: u32) -> Option<Type> {
    let kind = match type_id {
        0 => Type::TEXT,
        other => Type::from_oid(other)?,
    };
    matches!(
        kind,
        Type::BOOL
            | Type::INT2
            | Type::INT4
            | Type::INT8
            | Type::OID
            | Type::FLOAT4
            | Type::FLOAT8
            | Type::UUID
            | Type::BYTEA
            | Type::JSONB
            | Type::JSON
            | Type::TEXT
            | Type::VARCHAR
            | Type::BPCHAR
            | Type::NAME
            | Type::UNKNOWN
    )
    .then_some(kind)
}

fn decode<'a, T: FromSql<'a>>(kind: &Type, bytes: &'a [u8]) -> Option<T> {
    T::from_sql(kind, bytes).ok()
}

/// Replaces Rust's form of infinity by PostgreSQL's.
fn float_to_text(text: String) -> String {
    text.replace("inf", "Infinity")
}

fn bytes_to_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 + bytes.len() * 2);
    text.push_str("\\x");
    for byte in bytes {
        let written = write!(text, "{byte:02x}");
        debug_assert!(written.is_ok(), "writing to a string can't fail");
    }
    text
}
