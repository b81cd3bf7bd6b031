//! Node settings and service templates.
//!
//! Both are written in YAML. Parsing never stops at the first problem: every
//! finding is collected with its YAML path (`teams.north.timeout_ms`) and the
//! caller receives them together as a [`Findings`] list. A document with any
//! finding of severity [`Severity::Error`] yields no value, so nothing half
//! checked is ever written or applied.

mod findings;
mod node;
mod template;
mod walk;

pub use findings::{Finding, Findings, Severity};
pub use node::NodeSettings;
pub use template::{Balance, Params, TeamName, Template, TemplateName};
