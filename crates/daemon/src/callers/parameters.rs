//! Parameters of the extended protocol, turned into their text form.

use bytes::Bytes;
use std::error::Error;
use std::fmt::Write;
use tokio_postgres::types::FromSql;
use tokio_postgres::types::Type;
use uuid::Uuid;

const BINARY_FORMAT: i16 = 1;

/// The version byte before a binary `jsonb`.
const JSONB_VERSION: u8 = 1;

/// Why a parameter has no text form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ParameterFault {
    /// The bytes don't fit the type; the number is the parameter's place, from 1.
    Malformed(usize),
    /// The type has no known text form; its number in PostgreSQL's catalog.
    Unsupported(usize, u32),
    /// The number of format codes fits neither none, one nor all parameters.
    FormatCount,
}

/// Turns parameters into text.
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

fn bytes_to_text(bytes: &[u8], place: usize) -> Result<String, ParameterFault> {
    match std::str::from_utf8(bytes) {
        Ok(text) if !text.contains('\0') => Ok(text.to_owned()),
        _ => Err(ParameterFault::Malformed(place)),
    }
}

/// A column's value in text form, whichever of the known types the database gave it.
///
/// The client library asks for binary values in the extended protocol. A value that was taken for
/// text would be shown as garbage, or its whole answer given up as lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ColumnText(pub(crate) String);

impl<'a> FromSql<'a> for ColumnText {
    fn from_sql(kind: &Type, bytes: &'a [u8]) -> Result<Self, Box<dyn Error + Sync + Send>> {
        // The simple protocol spells truth values like this, and callers should see one spelling.
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

fn binary_to_text(bytes: &[u8], type_id: u32, place: usize) -> Result<String, ParameterFault> {
    let Some(kind) = known_type(type_id) else {
        return Err(ParameterFault::Unsupported(place, type_id));
    };
    let malformed = ParameterFault::Malformed(place);
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
            [JSONB_VERSION, json @ ..] => return bytes_to_text(json, place),
            _ => None,
        },
        _ => return bytes_to_text(bytes, place),
    }
    .ok_or(malformed)
}

/// Returns a type whose binary form is known here; an unspecified one was described as text.
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

/// Spells infinity as PostgreSQL does.
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
