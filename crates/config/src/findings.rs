//! Validation findings: messages about problems at a YAML path.

use std::fmt;

use smol_str::SmolStr;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The document is accepted; the finding is advice.
    Warning,
    /// The document is rejected.
    Error,
}

/// One problem found in a document, at a YAML path such as `teams.north.timeout_ms`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Dotted path from the document root, `$` for the root itself, or the line of a syntax error.
    pub path: SmolStr,
    /// Description of the problem that names the expected type, range or unit.
    pub message: SmolStr,
    /// Whether the document is rejected.
    pub severity: Severity,
}

/// All findings of one document, in the order found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Records an error at `path`.
    pub fn error(&mut self, path: &str, message: impl Into<SmolStr>) {
        self.0.push(Finding {
            path: path.into(),
            message: message.into(),
            severity: Severity::Error,
        });
    }

    /// Records a warning at `path`.
    pub fn warning(&mut self, path: &str, message: impl Into<SmolStr>) {
        self.0.push(Finding {
            path: path.into(),
            message: message.into(),
            severity: Severity::Warning,
        });
    }

    /// Returns true when at least one finding is an error, so that the document is rejected.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// Returns true when there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            let level = match finding.severity {
                Severity::Error => "error",
                Severity::Warning => "warning",
            };
            writeln!(f, "{level}: {}: {}", finding.path, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
