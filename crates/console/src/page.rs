//! Rendering of the pages as HTML.

use kumquatkeel_types::Revision;
use kumquatkeel_types::document::{Fault, Faults};
use maud::{DOCTYPE, Markup, html};
use serde_json::Value;

use crate::Section;
use crate::blank::template_of;

const STYLE: &str = "body{font:15px sans-serif;margin:1.5rem;max-width:70rem}\
nav a{margin-right:1rem}nav a.here{font-weight:bold}fieldset{margin:0 0 1rem;border:1px solid #bbb}\
label{display:inline-block;margin:.3rem 1rem .3rem 0}label span{display:block;color:#444}\
.fault{color:#a00}.good{color:#070}input{min-width:12rem}";

/// A message about the outcome of the last action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The action succeeded.
    Good(String),
    /// The action failed.
    Bad(String),
}

/// One page of the console, built up before it is rendered.
#[derive(Debug, Clone)]
pub struct Page<'a> {
    section: Section,
    document: &'a Value,
    base: Option<Revision>,
    token: &'a str,
    faults: Option<&'a Faults>,
    notice: Option<Notice>,
}

impl<'a> Page<'a> {
    /// Creates a page for one section of `document`, which is a document as JSON.
    pub const fn new(section: Section, document: &'a Value) -> Self {
        Self {
            section,
            document,
            base: None,
            token: "",
            faults: None,
            notice: None,
        }
    }

    /// Sets the revision of the document, which the form sends back as its base.
    #[must_use]
    pub const fn base(mut self, base: Option<Revision>) -> Self {
        self.base = base;
        self
    }

    /// Sets the anti-forgery (CSRF) token that the form sends back.
    #[must_use]
    pub const fn token(mut self, token: &'a str) -> Self {
        self.token = token;
        self
    }

    /// Lists the faults at the head of the page, and those of this section beside their fields too.
    #[must_use]
    pub const fn faults(mut self, faults: &'a Faults) -> Self {
        self.faults = Some(faults);
        self
    }

    /// Shows a message about the last action.
    #[must_use]
    pub fn notice(mut self, notice: Notice) -> Self {
        self.notice = Some(notice);
        self
    }

    fn all_faults(&self) -> &'a [Fault] {
        self.faults.map_or(&[], |faults| &faults.0)
    }

    fn faults_at(&self, path: &str) -> impl Iterator<Item = &'a Fault> {
        self.all_faults()
            .iter()
            .filter(move |fault| fault.path == path)
    }
}

/// Returns the page as HTML.
pub fn render(page: &Page<'_>) -> String {
    let field = page.section.field();
    let list = page.document.get(field).unwrap_or(&Value::Null);
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "kumquatkeel: " (field) }
                style { (STYLE) }
            }
            body {
                h1 { "kumquatkeel" }
                (menu(page.section))
                (summary(page))
                form method="post" action={ "/console/" (field) } {
                    input type="hidden" name="token" value=(page.token);
                    input type="hidden" name="base" value=[page.base];
                    (items(page, field, list))
                    (buttons(page.section))
                }
            }
        }
    };
    markup.into_string()
}

fn menu(current: Section) -> Markup {
    html! {
        nav {
            @for section in Section::ALL {
                a href={ "/console/" (section.field()) } class=[(section == current).then_some("here")] {
                    (section.field())
                }
            }
            a href="/operator/document" { "whole document" }
        }
    }
}

fn summary(page: &Page<'_>) -> Markup {
    let base = page
        .base
        .map_or_else(|| "none".into(), |base| base.to_string());
    html! {
        p { "Revision in force: " (base) }
        @match &page.notice {
            Some(Notice::Good(text)) => p class="good" { (text) },
            Some(Notice::Bad(text)) => p class="fault" { (text) },
            None => {},
        }
        @for fault in page.all_faults() {
            p class="fault" { (fault) }
        }
    }
}

fn buttons(section: Section) -> Markup {
    html! {
        @if section != Section::Policy {
            button name="action" value="add" { "Add" }
        }
        button name="action" value="check" { "Check" }
        button name="action" value="apply" { "Apply" }
    }
}

fn items(page: &Page<'_>, field: &str, list: &Value) -> Markup {
    let template = template_of(page.section);
    html! {
        @match (list, &template) {
            (Value::Array(items), Value::Array(blank)) => {
                @for (index, item) in items.iter().enumerate() {
                    fieldset {
                        legend { (field) " " (index) }
                        (value(page, &format!("{field}[{index}]"), item, blank.first()))
                        button name="action" value={ "remove-" (index) } { "Remove" }
                    }
                }
            },
            _ => fieldset { (value(page, field, list, Some(&template))) },
        }
    }
}

/// Renders the inputs of a value. The template gives the fields, also those that the value lacks.
fn value(page: &Page<'_>, path: &str, current: &Value, template: Option<&Value>) -> Markup {
    match template {
        Some(Value::Object(members)) => html! {
            @for (name, member) in members {
                (value(page, &format!("{path}.{name}"), &current[name.as_str()], Some(member)))
            }
        },
        Some(Value::Array(blank)) if blank.first().is_some_and(Value::is_object) => {
            nested_list(page, path, current, blank.first())
        }
        _ => input(page, path, &text_of(current)),
    }
}

/// Renders a list of objects within an item, followed by blank inputs for one more object.
fn nested_list(page: &Page<'_>, path: &str, list: &Value, blank: Option<&Value>) -> Markup {
    let items = list.as_array().map_or(&[][..], Vec::as_slice);
    let shown = items.iter().chain(blank);
    html! {
        fieldset {
            legend { (last_segment(path)) }
            @for (index, item) in shown.enumerate() {
                div { (value(page, &format!("{path}[{index}]"), item, blank)) }
            }
        }
    }
}

fn input(page: &Page<'_>, path: &str, text: &str) -> Markup {
    html! {
        label {
            span { (last_segment(path)) }
            input name=(path) value=(text);
            @for fault in page.faults_at(path) {
                span class="fault" { (fault.reason) }
            }
        }
    }
}

fn last_segment(path: &str) -> &str {
    path.rsplit('.').next().unwrap_or(path)
}

/// Returns the text of an input: the words of a list are joined by commas.
fn text_of(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(words) => words.iter().map(text_of).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}
