//! Why a command did not do what was asked of it, and the exit code that says so.

use miette::Diagnostic;
use thiserror::Error;

#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// By a check of what was given, before it was sent to any registry.
    #[error("refused: {0}")]
    #[diagnostic(code(curlewfront::refused))]
    Refused(String),
    /// By a registry, with this HTTP status.
    #[error("refused: {reason} ({status})")]
    #[diagnostic(code(curlewfront::refused_by_registry))]
    RefusedByRegistry { reason: String, status: u16 },
    /// A rollout that was watched did not complete.
    #[error("reverted: {0}")]
    #[diagnostic(code(curlewfront::reverted))]
    Reverted(String),
    /// Wrong arguments; no registry was asked.
    #[error("{0}")]
    #[diagnostic(code(curlewfront::usage))]
    Usage(String),
    /// Nothing can have been changed.
    #[error("no registry answered: {0}")]
    #[diagnostic(code(curlewfront::unreachable))]
    Unreachable(String),
    /// The call was sent, and no answer says whether it was carried out.
    #[error("unclear, it may have been taken; the same order may be given again: {0}")]
    #[diagnostic(code(curlewfront::unclear))]
    Unclear(String),
}

impl CommandError {
    /// As the command's help lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Refused(_) | CommandError::RefusedByRegistry { .. } | CommandError::Reverted(_) => {
                1
            }
            CommandError::Usage(_) => 2,
            CommandError::Unreachable(_) | CommandError::Unclear(_) => 3,
        }
    }
}
