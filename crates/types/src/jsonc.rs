//! JSON with comments, read into types with errors that name the field.
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

/// Separates the path from the reason inside the parser's custom error.
const PATH_END: char = '\u{1f}';

/// A value whose errors carry the path of the field.
struct Tracked<T>(T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Tracked<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        serde_path_to_error::deserialize(deserializer)
            .map(Self)
            .map_err(|error| {
                let path = error.path().to_string();
                D::Error::custom(format!("{path}{PATH_END}{}", error.into_inner()))
            })
    }
}

/// Comments and trailing commas are accepted; everything else is plain JSON.
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

/// Parses JSON with comments into `T`.
///
/// # Errors
///
/// Returns the path of the first wrong, unknown or repeated field and the reason.
pub fn parse<T: DeserializeOwned>(text: impl AsRef<str>) -> Result<T, Fault> {
    jsonc_parser::parse_to_serde_value::<Tracked<T>>(text.as_ref(), &OPTIONS)
        .map(|tracked| tracked.0)
        .map_err(|error| {
            let place = format!(
                "line {} column {}",
                error.line_display(),
                error.column_display()
            );
            let ParseErrorKind::Custom(message) = error.kind() else {
                return Fault::new("", format!("{} at {place}", error.kind()));
            };
            match message.split_once(PATH_END) {
                Some((path, reason)) => Fault::new(path, format!("{reason} at {place}")),
                None => Fault::new("", format!("{message} at {place}")),
            }
        })
}

/// Parses JSON with comments from bytes.
///
/// # Errors
///
/// Returns a fault when the bytes are not UTF-8, and those of [`parse`].
pub fn parse_bytes<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, Fault> {
    let text = std::str::from_utf8(bytes.as_ref())
        .map_err(|e| Fault::new("", format!("is not UTF-8 after byte {}", e.valid_up_to())))?;
    parse(text)
}
