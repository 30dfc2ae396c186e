//! The pages of the console, one for each list of the document.

/// A top-level list of the document, or its policy; each has its own page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Section {
    /// The regions and their data centres.
    Regions,
    /// The base models.
    Models,
    /// The adapters.
    Adapters,
    /// The services.
    Services,
    /// The deployments.
    Deployments,
    /// The targets.
    Targets,
    /// The callers, their keys' digests and the services that they may call.
    Callers,
    /// The operators and their keys' digests.
    Operators,
    /// The policy, which is a single item.
    Policy,
}

impl Section {
    /// All sections, in the order of the console's menu.
    pub const ALL: [Self; 9] = [
        Self::Regions,
        Self::Models,
        Self::Adapters,
        Self::Services,
        Self::Deployments,
        Self::Targets,
        Self::Callers,
        Self::Operators,
        Self::Policy,
    ];

    /// Returns the name of the document's field, which is also the last part of the page's path.
    pub const fn field(self) -> &'static str {
        match self {
            Self::Regions => "regions",
            Self::Models => "models",
            Self::Adapters => "adapters",
            Self::Services => "services",
            Self::Deployments => "deployments",
            Self::Targets => "targets",
            Self::Callers => "callers",
            Self::Operators => "operators",
            Self::Policy => "policy",
        }
    }

    /// Returns the section of a document's field; `None` when no section has this name.
    pub fn of_field(field: impl AsRef<str>) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.field() == field.as_ref())
    }
}
