//! The operators' tool.
//!
//! Start with [`run`]: it reads the command line ([`args`]), runs one command ([`command`]) against one entry
//! ([`client`]) and returns how it ended ([`exit::Exit`]). What a command prints goes to the writers that are passed
//! in, so a test runs the same code as the program.

pub mod args;
pub mod client;
pub mod command;
pub mod exit;
pub mod table;
pub mod trace;

use std::ffi::OsString;
use std::io::Write;

use exit::Exit;

/// Where a command writes.
pub struct Output<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Errors and progress.
    pub err: &'a mut dyn Write,
}

impl Output<'_> {
    /// Writes a line of the result. A closed pipe ends nothing.
    pub fn line(&mut self, text: &str) {
        let _ = writeln!(self.out, "{text}");
    }

    /// Writes a line about an error or the progress.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }
}

/// Runs one command. `env_key` is the operator's key from the environment.
pub async fn run(args: Vec<OsString>, env_key: Option<Box<str>>, output: &mut Output<'_>) -> Exit {
    match args::parse(args, env_key) {
        Ok(args::Parsed::Help(text)) => {
            output.line(text);
            Exit::Done
        }
        Ok(args::Parsed::Run(invocation)) => command::run(invocation, output).await,
        Err(error) => {
            output.note(&format!("goldcrestctl: {error}"));
            Exit::Usage
        }
    }
}
