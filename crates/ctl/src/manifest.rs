//! Parses manifests, the resource files in TOML or JSON; see [configure](../../../guide/configure.md).

use std::{fs, path::Path};

use baobabvane_domain::{ResourceName, ResourceType, Spec};
use serde_json::{Map, Value};
use thiserror::Error;

/// Reasons why a manifest is rejected.
#[derive(Debug, Error)]
pub enum ManifestError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or not a valid JSON object if it is parsed as JSON.
    #[error("{file}: {reason}")]
    Syntax {
        /// Path of the file.
        file: String,
        /// Message of the parser, with the position.
        reason: String,
    },
    /// The type is unknown, its value is not a table, or the spec of a resource is invalid.
    #[error("{file}: {key}: {reason}")]
    Key {
        /// Path of the file.
        file: String,
        /// The type, or `type.name` if the spec of a resource is invalid.
        key: String,
        /// Describes the fault; for an unknown type, also lists the allowed types.
        reason: String,
    },
}

/// Resources of a file, sorted by type and name.
///
/// [`ResourceType`] is ordered so that each resource follows the resources that it refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    resources: Vec<(ResourceName, Spec)>,
}

impl Manifest {
    /// Reads and parses a file: JSON if its name ends in `.json`, TOML otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`ManifestError::Read`] when the file cannot be read, and otherwise fails as
    /// [`Self::parse`] does.
    pub fn load(path: &Path) -> Result<Self, ManifestError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|source| ManifestError::Read { file: file.clone(), source })?;
        let is_json = path.extension().is_some_and(|e| e == "json");
        Self::parse(&file, &text, is_json)
    }

    /// Parses the text of a manifest; `file` is the path shown in errors.
    ///
    /// # Errors
    ///
    /// Returns [`ManifestError::Syntax`] for invalid TOML or JSON, and [`ManifestError::Key`] for
    /// an unknown type, a type whose value is not a table, or an invalid spec.
    pub fn parse(file: &str, text: &str, is_json: bool) -> Result<Self, ManifestError> {
        let syntax_error = |reason: String| ManifestError::Syntax { file: file.to_owned(), reason };
        let value: Map<String, Value> = if is_json {
            serde_json::from_str(text).map_err(|e| syntax_error(e.to_string()))?
        } else {
            toml::from_str(text).map_err(|e| syntax_error(e.to_string().trim_end().to_owned()))?
        };
        let mut resources = Vec::new();
        for (type_name, resources_by_name) in value {
            resources.extend(parse_resources(file, &type_name, resources_by_name)?);
        }
        resources.sort_by(|(a, _), (b, _)| a.cmp(b));
        Ok(Self { resources })
    }

    /// Iterates over the resources in the order in which they can be applied.
    pub fn resources(&self) -> impl Iterator<Item = (&ResourceName, &Spec)> {
        self.resources.iter().map(|(name, spec)| (name, spec))
    }
}

fn parse_resources(
    file: &str,
    type_name: &str,
    resources_by_name: Value,
) -> Result<Vec<(ResourceName, Spec)>, ManifestError> {
    let key_error =
        |key: String, reason: String| ManifestError::Key { file: file.to_owned(), key, reason };
    let Some(resource_type) = ResourceType::parse(type_name) else {
        let allowed: Vec<_> = ResourceType::ALL.iter().map(|t| t.as_str()).collect();
        let reason = format!("unknown type, allowed: {}", allowed.join(", "));
        return Err(key_error(type_name.to_owned(), reason));
    };
    let Value::Object(resources_by_name) = resources_by_name else {
        return Err(key_error(type_name.to_owned(), "expected a table of names".to_owned()));
    };
    let parse = |(name, value): (String, Value)| {
        let spec = Spec::from_json(resource_type, value)
            .map_err(|reason| key_error(format!("{type_name}.{name}"), reason))?;
        Ok((ResourceName { type_: resource_type, name }, spec))
    };
    resources_by_name.into_iter().map(parse).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse_error(text: &str) -> String {
        Manifest::parse("a.toml", text, false).unwrap_err().to_string()
    }

    #[test]
    fn errors_name_the_file_the_key_and_the_allowed_values() {
        assert_eq!(
            parse_error("[tier.urgent]\nrnk = 0"),
            "a.toml: tier.urgent: unknown field `rnk`, expected `rank` or `floor_percent`"
        );
        assert_eq!(
            parse_error("[team.a]\nx = 0"),
            "a.toml: team: unknown type, allowed: tier, kind, organisation, endpoint"
        );
    }

    #[test]
    fn tiers_are_listed_before_the_kinds_that_refer_to_them() {
        let text = "[kind.quote]\ntier='urgent'\npool='p'\nprotocol='plain'\nidempotent=true\n\
                    [tier.urgent]\nrank=0";
        let manifest = Manifest::parse("a.toml", text, false).unwrap();
        let names: Vec<_> = manifest.resources().map(|(n, _)| n.to_string()).collect();
        assert_eq!(names, ["tier \"urgent\"", "kind \"quote\""]);
    }
}
