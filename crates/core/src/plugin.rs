//! The registry of plug-ins.
//!
//! A plug-in registers itself with [`inventory::submit!`] and is chosen by name in the document's
//! policy. An unknown name is answered with the known ones.

use derive_more::{Display, Error};

/// Says that no plug-in of a kind has the name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{kind} {name:?} is not known; known are {}", known.join(", "))]
pub struct UnknownPlugin {
    /// The kind of plug-in.
    pub kind: &'static str,
    /// The name that was asked for.
    pub name: String,
    /// The names that are registered.
    pub known: Vec<&'static str>,
}

/// A registered maker of plug-ins of one kind.
pub trait Plugin: inventory::Collect {
    /// The kind, for errors.
    const KIND: &'static str;

    /// The name by which settings choose the plug-in.
    fn name(&self) -> &'static str;
}

/// Returns the registered names of a kind, sorted.
pub fn plugin_names<P: Plugin>() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<P>.into_iter().map(Plugin::name).collect();
    names.sort_unstable();
    names
}

/// Finds a plug-in by its name.
///
/// # Errors
///
/// Returns the known names when none matches.
pub fn find_plugin<P: Plugin>(name: impl AsRef<str>) -> Result<&'static P, UnknownPlugin> {
    let name = name.as_ref();
    inventory::iter::<P>
        .into_iter()
        .find(|p| p.name() == name)
        .ok_or_else(|| UnknownPlugin {
            kind: P::KIND,
            name: name.into(),
            known: plugin_names::<P>(),
        })
}
