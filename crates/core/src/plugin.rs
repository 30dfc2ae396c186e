//! The registry of plug-ins.
//!
//! A plug-in registers itself with [`inventory::submit!`] and is selected by name in the policy of
//! the configuration document. An unknown name gives an error that lists the registered ones.

use derive_more::{Display, Error};

/// No plug-in of a kind is registered under a name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{kind} {name:?} is not known; known are {}", known.join(", "))]
pub struct UnknownPlugin {
    /// The kind of plug-in, as in [`Plugin::KIND`].
    pub kind: &'static str,
    /// The requested name.
    pub name: String,
    /// The registered names, sorted.
    pub known: Vec<&'static str>,
}

/// A registered factory of plug-ins of one kind.
pub trait Plugin: inventory::Collect {
    /// The kind of plug-in, as named in errors.
    const KIND: &'static str;

    /// The name that selects the plug-in in the configuration document.
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
/// Returns the registered names if none matches.
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
