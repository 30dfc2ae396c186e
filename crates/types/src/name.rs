//! Validated names, stored as shared immutable strings.
//!
//! A name has 1 to [`MAX_NAME_BYTES`] ASCII letters, digits or characters of `._-/:`.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 96;

/// The reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The name is empty.
    #[display("must not be empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[display("has {bytes} bytes; the limit is {MAX_NAME_BYTES}")]
    TooLong {
        /// The length of the name, in bytes.
        bytes: usize,
    },
    /// The name contains a character that is not accepted.
    #[display("holds {character:?}; letters, digits and . _ - / : are accepted")]
    BadCharacter {
        /// The first character that is not accepted.
        character: char,
    },
}

fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { bytes: name.len() });
    }
    let accepted = |c: &char| c.is_ascii_alphanumeric() || "._-/:".contains(*c);
    match name.chars().find(|c| !accepted(c)) {
        Some(character) => Err(NameError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl From<$name> for Arc<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = NameError;

            fn try_from(name: Arc<str>) -> Result<Self, NameError> {
                check_name(&name)?;
                Ok(Self(name))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(name: &str) -> Result<Self, NameError> {
                Self::try_from(Arc::<str>::from(name))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(name: String) -> Result<Self, NameError> {
                Self::try_from(Arc::<str>::from(name))
            }
        }
    )*};
}

names! {
    /// The name of a base model, without its version.
    ModelName;
    /// The version of a base model.
    ModelVersion;
    /// The name of an adapter on a base model.
    AdapterName;
    /// The name of a service that callers use.
    ServiceName;
    /// The name of a deployment.
    DeploymentName;
    /// The name of a target (the back end behind one agent).
    TargetName;
    /// The name of an entry daemon.
    EntryName;
    /// The platform's name for an instance.
    InstanceName;
    /// The name of a data centre.
    DataCentreName;
    /// The name of a region.
    RegionName;
    /// The name of a caller or an operator.
    CallerName;
    /// An idempotency key, chosen by the caller: the call runs at most once under it.
    IdempotencyKey;
}
