//! What a page's form sends.

use kumquatkeel_types::Revision;
use serde_json::Value;

use crate::Section;
use crate::blank::{blank_item, template_of};
use crate::value::{Fields, read_section};

/// Most fields that a form may send.
const MAX_FIELDS: usize = 50_000;

/// What the operator asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormAction {
    /// Check the document and show its faults.
    Check,
    /// Commit the document.
    Apply,
    /// Add a blank item to the list.
    Add,
    /// Remove the item at this index.
    Remove(usize),
}

/// A form that was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Form {
    /// What the operator asked for.
    pub action: FormAction,
    /// The revision that the page was made from.
    pub base: Option<Revision>,
    /// The token that shows that the form came from one of the console's pages.
    pub token: String,
    /// The section's list with the form's values.
    pub list: Value,
}

/// A form put into a document.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The document's serialisation with the form's list.
    pub document: Value,
    /// What the operator asked for.
    pub action: FormAction,
}

/// Says why a form can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormError {
    /// The form has too many fields.
    TooManyFields,
    /// The action is missing or unknown.
    UnknownAction,
    /// The base revision is not a number.
    BadBase,
}

/// Reads a form of `section` from its URL-encoded body.
///
/// # Errors
///
/// Returns an error when the form did not come from a page of the console.
pub fn read_form(section: Section, body: impl AsRef<[u8]>) -> Result<Form, FormError> {
    let mut fields = Fields::new();
    for (name, value) in form_urlencoded::parse(body.as_ref()) {
        if fields.len() >= MAX_FIELDS {
            return Err(FormError::TooManyFields);
        }
        fields.insert(name.into_owned(), value.into_owned());
    }
    let base = match fields.get("base").map(String::as_str) {
        None | Some("") => None,
        Some(text) => Some(Revision(text.parse().map_err(|_| FormError::BadBase)?)),
    };
    Ok(Form {
        action: action_of(fields.get("action").map_or("", String::as_str))?,
        base,
        token: fields.remove("token").unwrap_or_default(),
        list: read_section(&template_of(section), section.field(), &fields),
    })
}

fn action_of(text: &str) -> Result<FormAction, FormError> {
    match text {
        "check" => Ok(FormAction::Check),
        "apply" => Ok(FormAction::Apply),
        "add" => Ok(FormAction::Add),
        _ => text
            .strip_prefix("remove-")
            .and_then(|index| index.parse().ok())
            .map(FormAction::Remove)
            .ok_or(FormError::UnknownAction),
    }
}

impl Form {
    /// Puts the form's list into `document`, and carries out adding and removing.
    #[must_use]
    pub fn into_submission(mut self, section: Section, mut document: Value) -> Submission {
        if let Value::Array(items) = &mut self.list {
            match self.action {
                FormAction::Add => items.push(blank_item(section)),
                FormAction::Remove(index) if index < items.len() => {
                    items.remove(index);
                }
                _ => {}
            }
        }
        if let Value::Object(lists) = &mut document {
            lists.insert(section.field().into(), self.list);
        }
        Submission {
            document,
            action: self.action,
        }
    }
}
