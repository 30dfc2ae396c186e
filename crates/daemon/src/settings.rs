//! Settings files: JSON with comments, parsed and validated.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use kumquatkeel_types::document::Faults;
use kumquatkeel_types::jsonc;
use serde::de::DeserializeOwned;

/// Largest settings file, in bytes.
const MAX_SETTINGS_BYTES: u64 = 1 << 20;

/// Error of loading a settings file.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("reading {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The file exceeds the size limit.
    #[display("{}: has {bytes} bytes; the limit is {MAX_SETTINGS_BYTES}", path.display())]
    TooLarge {
        /// Path of the file.
        path: PathBuf,
        /// Its size in bytes.
        bytes: u64,
    },
    /// The content is no valid JSON, or fields are invalid.
    #[display("{}:\n{faults}", path.display())]
    Fields {
        /// Path of the file.
        path: PathBuf,
        /// The faults, each with the path of its field.
        faults: Faults,
    },
}

/// Loads a settings file: parses it as `R` and validates it by conversion to `T`.
///
/// # Errors
///
/// Returns an error that names the file and each invalid field.
pub fn load_settings<R, T>(path: impl AsRef<Path>) -> Result<T, SettingsError>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = Faults>,
{
    let path = path.as_ref();
    let read = |source| SettingsError::Read {
        path: path.into(),
        source,
    };
    let bytes = std::fs::metadata(path).map_err(read)?.len();
    if bytes > MAX_SETTINGS_BYTES {
        return Err(SettingsError::TooLarge {
            path: path.into(),
            bytes,
        });
    }
    let content = std::fs::read(path).map_err(read)?;
    jsonc::parse_bytes::<R>(content)
        .map_err(Faults::from)
        .and_then(T::try_from)
        .map_err(|faults| SettingsError::Fields {
            path: path.into(),
            faults,
        })
}
