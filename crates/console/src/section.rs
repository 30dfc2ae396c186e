//! The pages of the console, one for each list of the document.

/// A list of the document.
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
    /// The callers' rights.
    Callers,
    /// The operators' rights.
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

    /// Returns the document's field that holds the list.
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

    /// Returns the section of a document's field.
    pub fn of_field(field: impl AsRef<str>) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.field() == field.as_ref())
    }
}
