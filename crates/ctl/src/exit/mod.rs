//! How a command ended, as its exit code.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// 0: done, or nothing found.
    Done,
    /// 1: `check` found errors, or `diff` found differences.
    Found,
    /// 2: the command line is wrong.
    Usage,
    /// 3: the entry can't be reached; nothing was changed.
    Unreachable,
    /// 4: the entry refused; nothing was changed.
    Refused,
    /// 5: accepted, but not in force everywhere within the timeout.
    NotInForce,
    /// 6: it is not known whether the edit was applied.
    OutcomeUnknown,
}

impl Exit {
    /// The exit code.
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
