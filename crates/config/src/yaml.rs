//! Typed access to YAML mappings that collects findings instead of failing at the first one.
//!
//! [`Fields`] reads the known keys of a mapping one by one. It records a finding for each value of
//! a wrong type or out of range and, in [`Fields::finish`], for each unknown key. Its typed methods
//! return `None` if they recorded a finding, so that the caller can go on with the next key.

use std::ops::RangeInclusive;

use serde_yaml_ng::{Mapping, Value};
use smol_str::SmolStr;

use crate::findings::Findings;

/// Suffixes of key names that tell the unit or type of the value.
const UNIT_SUFFIXES: &[&str] = &["_ms", "_s", "_per_s", "_percent", "_bytes", "_addr"];

/// Joins a parent path and a key to a dotted YAML path.
pub(crate) fn join(parent: &str, key: &str) -> SmolStr {
    match parent {
        "$" => key.into(),
        _ => smol_str::format_smolstr!("{parent}.{key}"),
    }
}

/// The keys of one mapping, and which of them are known.
pub(crate) struct Fields<'a> {
    path: SmolStr,
    map: Option<&'a Mapping>,
    known_keys: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    /// Wraps the mapping at `path`. Null counts as an empty mapping; any other value that is not a
    /// mapping is recorded as an error.
    pub(crate) fn new(value: &'a Value, path: &str, findings: &mut Findings) -> Self {
        let map = match value {
            Value::Mapping(map) => Some(map),
            Value::Null => None,
            _ => {
                findings.error(path, "expected a mapping of keys to values");
                None
            }
        };
        Fields { path: path.into(), map, known_keys: Vec::new() }
    }

    /// Returns the YAML path of the mapping.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Returns the untyped value of `key` and marks the key as known.
    pub(crate) fn raw(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known_keys.push(key);
        self.map?.get(key)
    }

    /// Reads a required string, which must not be empty.
    pub(crate) fn string(&mut self, key: &'static str, findings: &mut Findings) -> Option<SmolStr> {
        let path = join(&self.path, key);
        match self.raw(key) {
            Some(Value::String(text)) if !text.is_empty() => Some(text.as_str().into()),
            Some(Value::String(_)) => {
                findings.error(&path, "must not be empty");
                None
            }
            Some(other) => {
                findings.error(&path, format!("expected a string, found {}", kind(other)));
                None
            }
            None => {
                findings.error(&path, "is required");
                None
            }
        }
    }

    /// Reads an optional string, which must not be empty.
    pub(crate) fn optional_string(
        &mut self,
        key: &'static str,
        findings: &mut Findings,
    ) -> Option<Option<SmolStr>> {
        match self.raw(key) {
            None => Some(None),
            Some(_) => self.string(key, findings).map(Some),
        }
    }

    /// Reads an optional whole number within `range`.
    pub(crate) fn uint(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Option<Option<u64>> {
        let path = join(&self.path, key);
        match self.raw(key) {
            None => Some(None),
            Some(Value::Number(n)) if n.as_u64().is_some_and(|v| range.contains(&v)) => {
                Some(n.as_u64())
            }
            Some(Value::Number(n)) => {
                findings.error(
                    &path,
                    format!(
                        "{n} is out of range: expected a whole number from {} to {}",
                        range.start(),
                        range.end()
                    ),
                );
                None
            }
            Some(Value::String(text)) => {
                findings.error(
                    &path,
                    format!(
                        "expected a bare number in the unit of the key's suffix, \
                         found string {text:?}"
                    ),
                );
                None
            }
            Some(other) => {
                findings.error(&path, format!("expected a whole number, found {}", kind(other)));
                None
            }
        }
    }

    /// Reads an optional number, whole or not, within `range`.
    pub(crate) fn float(
        &mut self,
        key: &'static str,
        range: RangeInclusive<f64>,
        findings: &mut Findings,
    ) -> Option<Option<f64>> {
        let path = join(&self.path, key);
        match self.raw(key) {
            None => Some(None),
            Some(Value::Number(n)) if n.as_f64().is_some_and(|v| range.contains(&v)) => {
                Some(n.as_f64())
            }
            Some(Value::Number(n)) => {
                let (start, end) = (range.start(), range.end());
                findings.error(
                    &path,
                    format!("{n} is out of range: expected a number from {start} to {end}"),
                );
                None
            }
            Some(other) => {
                findings.error(&path, format!("expected a number, found {}", kind(other)));
                None
            }
        }
    }

    /// Reads an optional boolean.
    pub(crate) fn boolean(
        &mut self,
        key: &'static str,
        findings: &mut Findings,
    ) -> Option<Option<bool>> {
        let path = join(&self.path, key);
        match self.raw(key) {
            None => Some(None),
            Some(Value::Bool(b)) => Some(Some(*b)),
            Some(other) => {
                findings.error(&path, format!("expected true or false, found {}", kind(other)));
                None
            }
        }
    }

    /// Reads an optional sequence of strings.
    pub(crate) fn strings(
        &mut self,
        key: &'static str,
        findings: &mut Findings,
    ) -> Option<Option<Vec<SmolStr>>> {
        let path = join(&self.path, key);
        match self.raw(key) {
            None => Some(None),
            Some(Value::Sequence(items)) => {
                let mut out = Vec::with_capacity(items.len());
                let mut ok = true;
                for (index, item) in items.iter().enumerate() {
                    match item {
                        Value::String(text) => out.push(SmolStr::from(text.as_str())),
                        other => {
                            ok = false;
                            findings.error(
                                &format!("{path}[{index}]"),
                                format!("expected a string, found {}", kind(other)),
                            );
                        }
                    }
                }
                ok.then_some(Some(out))
            }
            Some(other) => {
                findings.error(&path, format!("expected a list of strings, found {}", kind(other)));
                None
            }
        }
    }

    /// Records an error for every key that was not read.
    pub(crate) fn finish(self, findings: &mut Findings) {
        let Some(map) = self.map else { return };
        for key in map.keys() {
            match key {
                Value::String(name) if self.known_keys.contains(&name.as_str()) => {}
                Value::String(name) => {
                    let hint = unit_hint(name, &self.known_keys);
                    findings.error(&join(&self.path, name), format!("unknown key{hint}"));
                }
                other => findings
                    .error(&self.path, format!("keys must be strings, found {}", kind(other))),
            }
        }
    }
}

/// Returns a hint at the known key that differs only in its unit suffix; empty if there is none.
fn unit_hint(name: &str, known_keys: &[&str]) -> String {
    let base = UNIT_SUFFIXES.iter().find_map(|suffix| name.strip_suffix(suffix)).unwrap_or(name);
    known_keys
        .iter()
        .find(|candidate| {
            UNIT_SUFFIXES.iter().any(|suffix| candidate.strip_suffix(suffix) == Some(base))
        })
        .map(|candidate| format!("; did you mean `{candidate}`? keys carry their unit"))
        .unwrap_or_default()
}

/// Returns the type of a value, as named in messages.
pub(crate) fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Sequence(_) => "a list",
        Value::Mapping(_) => "a mapping",
        Value::Tagged(_) => "a tagged value",
    }
}

/// Parses YAML text. A syntax error is recorded as a finding at its line.
pub(crate) fn parse(text: &str, findings: &mut Findings) -> Option<Value> {
    match serde_yaml_ng::from_str::<Value>(text) {
        Ok(value) => Some(value),
        Err(err) => {
            let path = err
                .location()
                .map(|at| format!("line {} column {}", at.line(), at.column()))
                .unwrap_or_else(|| "$".to_owned());
            findings.error(&path, format!("not valid YAML: {err}"));
            None
        }
    }
}
