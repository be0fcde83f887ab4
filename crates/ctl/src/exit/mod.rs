//! Exit codes of the commands.

use std::process::ExitCode;

/// The result of a command. Each variant names its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// 0: the command succeeded; `check` found no errors, `diff` no differences.
    Done,
    /// 1: `check` found errors, `diff` found differences, or `trace` found no line about the job.
    Found,
    /// 2: the command line is invalid, or a file that it names can't be read.
    Usage,
    /// 3: the entry could not be reached; nothing was changed.
    Unreachable,
    /// 4: the entry refused the request; nothing was changed.
    Refused,
    /// 5: the edit was accepted, but was not in force on every entry within the timeout.
    NotInForce,
    /// 6: the edit may or may not have been applied, or an answer can't be parsed.
    OutcomeUnknown,
}

impl Exit {
    /// Returns the code that the process exits with.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Found => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Refused => 4,
            Self::NotInForce => 5,
            Self::OutcomeUnknown => 6,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
