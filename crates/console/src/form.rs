//! Reading a submitted form, and merging its values into a document.

use kumquatkeel_types::Revision;
use serde_json::Value;

use crate::Section;
use crate::blank::{blank_item, template_of};
use crate::value::{Fields, read_section};

/// Upper bound of the number of distinct fields in a form.
const MAX_FIELDS: usize = 50_000;

/// The button that submitted a form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormAction {
    /// Validate the document and show its faults.
    Check,
    /// Commit the document.
    Apply,
    /// Append a blank item to the section's list.
    Add,
    /// Remove the item at this index; an index past the end removes nothing.
    Remove(usize),
}

/// The content of a submitted form.
#[derive(Debug, Clone, PartialEq)]
pub struct Form {
    /// The action of the button that submitted the form.
    pub action: FormAction,
    /// The revision that the page was rendered from; `None` when no document was in force.
    pub base: Option<Revision>,
    /// The anti-forgery (CSRF) token, as sent; the caller compares it with the expected one.
    pub token: String,
    /// The section's list, or the policy, with the form's values.
    pub list: Value,
}

/// A form merged into a document.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The document as JSON, with the form's list in its section; not validated yet.
    pub document: Value,
    /// The action of the button that submitted the form.
    pub action: FormAction,
}

/// Reasons for which a form is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormError {
    /// The form has more fields than the limit allows.
    TooManyFields,
    /// The `action` field is missing or unknown.
    UnknownAction,
    /// The `base` field is not a revision number.
    BadBase,
}

/// Reads a form of `section` from its URL-encoded body.
///
/// Field names are paths into the document, such as `models[0].memory_mb`.
///
/// # Errors
///
/// Returns an error when the form has too many fields, an unknown action or a malformed base
/// revision; a page of the console sends none of these.
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
        action: parse_action(fields.get("action").map_or("", String::as_str))?,
        base,
        token: fields.remove("token").unwrap_or_default(),
        list: read_section(&template_of(section), section.field(), &fields),
    })
}

fn parse_action(text: &str) -> Result<FormAction, FormError> {
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
    /// Carries out [`FormAction::Add`] and [`FormAction::Remove`] on the form's list, and puts the
    /// list into `document`.
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
