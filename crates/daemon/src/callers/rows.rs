//! Encodes rows, row descriptions and parameter descriptions; every column has the type `text`.

use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::data::RowDescription;
use tokio_postgres::types::Type;

/// The type size that marks a variable-length type.
const TEXT_SIZE: i16 = -1;
const NO_MODIFIER: i32 = -1;
const TEXT_FORMAT: i16 = 0;
const NULL_LENGTH: i32 = -1;

/// Describes columns as `text`, without a table or column of origin.
pub(crate) fn describe_columns(columns: &[String]) -> RowDescription {
    let fields = columns
        .iter()
        .map(|name| {
            FieldDescription::new(
                name.clone(),
                0,
                0,
                Type::TEXT.oid(),
                TEXT_SIZE,
                NO_MODIFIER,
                TEXT_FORMAT,
            )
        })
        .collect();
    RowDescription::new(fields)
}

/// Describes parameters by the types that the caller declared, and as `text` where it declared
/// none.
pub(crate) fn describe_parameters(declared: &[u32], count: usize) -> ParameterDescription {
    let types = (0..count.max(declared.len()))
        .map(|index| match declared.get(index) {
            None | Some(0) => Type::TEXT.oid(),
            Some(declared) => *declared,
        })
        .collect();
    ParameterDescription::new(types)
}

/// Encodes a row. The binary format of `text` equals its text format, so one encoding serves both.
pub(crate) fn encode_row(values: &[Option<String>]) -> DataRow {
    let mut data = BytesMut::new();
    for value in values {
        match value {
            None => data.put_i32(NULL_LENGTH),
            Some(text) => {
                data.put_i32(text.len() as i32);
                data.put_slice(text.as_bytes());
            }
        }
    }
    DataRow::new(data, values.len() as i16)
}
