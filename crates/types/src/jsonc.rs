//! Parsing of JSON with comments, with errors that give the path of the field.
//!
//! ```
//! use kumquatkeel_types::jsonc;
//!
//! #[derive(Debug, serde::Deserialize)]
//! #[serde(deny_unknown_fields)]
//! struct Settings {
//!     port: u16,
//! }
//!
//! let settings: Settings = jsonc::parse("{ /* caller API */ \"port\": 8080 }")?;
//! assert_eq!(settings.port, 8080);
//! let fault = jsonc::parse::<Settings>("{ \"port\": 99999 }").unwrap_err();
//! assert_eq!(fault.path, "port");
//! # Ok::<(), kumquatkeel_types::document::Fault>(())
//! ```

use jsonc_parser::ParseOptions;
use jsonc_parser::errors::ParseErrorKind;
use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer};

use crate::document::Fault;

/// Separates the path from the reason in the parser's custom error message.
const PATH_SEPARATOR: char = '\u{1f}';

/// Deserializes a value with errors that contain the path of the field.
struct WithPath<T>(T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for WithPath<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        serde_path_to_error::deserialize(deserializer)
            .map(Self)
            .map_err(|error| {
                let path = error.path().to_string();
                D::Error::custom(format!("{path}{PATH_SEPARATOR}{}", error.into_inner()))
            })
    }
}

/// Accepts comments and trailing commas; all else must be standard JSON.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses JSON with comments from a string.
///
/// # Errors
///
/// Returns a fault with the path of the first invalid, unknown or repeated field, and the reason.
/// The path is empty for a syntax error.
pub fn parse<T: DeserializeOwned>(text: impl AsRef<str>) -> Result<T, Fault> {
    jsonc_parser::parse_to_serde_value::<WithPath<T>>(text.as_ref(), &OPTIONS)
        .map(|value| value.0)
        .map_err(|error| {
            let position = format!(
                "line {} column {}",
                error.line_display(),
                error.column_display()
            );
            let ParseErrorKind::Custom(message) = error.kind() else {
                return Fault::new("", format!("{} at {position}", error.kind()));
            };
            match message.split_once(PATH_SEPARATOR) {
                Some((path, reason)) => Fault::new(path, format!("{reason} at {position}")),
                None => Fault::new("", format!("{message} at {position}")),
            }
        })
}

/// Parses JSON with comments from UTF-8 bytes.
///
/// # Errors
///
/// Returns a fault if the bytes are not UTF-8, or if [`parse`] does.
pub fn parse_bytes<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, Fault> {
    let text = std::str::from_utf8(bytes.as_ref())
        .map_err(|e| Fault::new("", format!("is not UTF-8 after byte {}", e.valid_up_to())))?;
    parse(text)
}
