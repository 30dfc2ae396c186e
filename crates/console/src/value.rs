//! Conversion of form fields to JSON values, with a template that gives the types.

use std::collections::BTreeMap;

use kumquatkeel_types::document::{Document, Fault, Faults, RawDocument};
use serde_json::{Map, Number, Value};

/// The texts of a form's fields, by the path of the field in the document.
pub(crate) type Fields = BTreeMap<String, String>;

/// Reads a section's list, or its single item, in the shape of `template`.
///
/// Blank items of the section's list are kept, so that a newly added one is shown again.
pub(crate) fn read_section(template: &Value, field: &str, fields: &Fields) -> Value {
    match template {
        Value::Array(items) => {
            let item = items.first().unwrap_or(&Value::Null);
            Value::Array(read_items(item, field, fields))
        }
        single => read_value(single, field, fields),
    }
}

/// Reads the value at `path` in the shape of `template`; blank items of nested lists are left out.
fn read_value(template: &Value, path: &str, fields: &Fields) -> Value {
    match template {
        Value::Object(members) => {
            let read = |(name, member): (&String, &Value)| {
                (
                    name.clone(),
                    read_value(member, &format!("{path}.{name}"), fields),
                )
            };
            Value::Object(members.iter().map(read).collect::<Map<_, _>>())
        }
        Value::Array(items) => match items.first() {
            Some(item @ Value::Object(_)) => {
                let mut read = read_items(item, path, fields);
                read.retain(|value| value != item);
                Value::Array(read)
            }
            _ => read_words(text_at(path, fields)),
        },
        Value::Null => read_optional(text_at(path, fields)),
        Value::Number(_) => read_number(text_at(path, fields)),
        Value::Bool(_) => Value::Bool(text_at(path, fields) == "true"),
        Value::String(_) => Value::String(text_at(path, fields).trim().into()),
    }
}

/// Reads the items of a list, up to the first index that has no field in the form.
fn read_items(item: &Value, path: &str, fields: &Fields) -> Vec<Value> {
    let present = |index: &usize| {
        let prefix = format!("{path}[{index}].");
        fields
            .range(prefix.clone()..)
            .next()
            .is_some_and(|(name, _)| name.starts_with(&prefix))
    };
    let indexes = (0..).take_while(present);
    indexes
        .map(|i| read_value(item, &format!("{path}[{i}]"), fields))
        .collect()
}

fn text_at<'a>(path: &str, fields: &'a Fields) -> &'a str {
    fields.get(path).map_or("", String::as_str)
}

/// Splits a text at commas and white space into a list of strings.
fn read_words(text: &str) -> Value {
    let words = text
        .split([',', ' ', '\n', '\r', '\t'])
        .filter(|word| !word.is_empty());
    Value::Array(words.map(Value::from).collect())
}

/// Reads a number. Any other text is kept as a string, so that validation reports it at its field.
fn read_number(text: &str) -> Value {
    let text = text.trim();
    text.parse::<Number>()
        .map_or_else(|_| Value::String(text.into()), Value::Number)
}

/// Reads a number, or null from a blank text.
fn read_optional(text: &str) -> Value {
    if text.trim().is_empty() {
        Value::Null
    } else {
        read_number(text)
    }
}

/// Converts a document from JSON and validates it as a whole.
///
/// # Errors
///
/// Returns every fault of the document, or only the first when a field has the wrong type.
pub fn document_of(value: Value) -> Result<Document, Faults> {
    let raw: RawDocument = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        Faults::from(Fault::new(path, error.into_inner().to_string()))
    })?;
    Document::try_from(raw)
}
