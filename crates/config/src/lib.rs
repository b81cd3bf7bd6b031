//! Node settings and service templates.
//!
//! Both are YAML documents. Parsing does not stop at the first problem: it collects every finding
//! with its YAML path (`teams.north.timeout_ms`) and returns them together as [`Findings`]. A
//! document with a finding of severity [`Severity::Error`] yields no value, so that no partially
//! checked settings are written or applied.

mod findings;
mod node;
mod template;
mod yaml;

pub use findings::{Finding, Findings, Severity};
pub use node::NodeSettings;
pub use template::{
    edit_team, Balance, EditError, Params, TeamEdit, TeamName, Template, TemplateName,
};
