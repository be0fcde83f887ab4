//! The library behind `goldcrestctl`, the operators' command-line tool.
//!
//! [`run`] is the entry point: it parses the command line ([`args`]), runs one command ([`command`]) against one entry
//! ([`client`]) and returns the exit code ([`exit::Exit`]). All output goes to the writers in [`Output`], so that tests
//! run the same code as the program.

pub mod args;
pub mod client;
pub mod command;
pub mod exit;
pub mod table;
pub mod trace;

use std::ffi::OsString;
use std::io::Write;

use exit::Exit;

/// The writers that receive a command's output.
pub struct Output<'a> {
    /// Receives results (standard output of the program).
    pub out: &'a mut dyn Write,
    /// Receives errors and progress (standard error of the program).
    pub err: &'a mut dyn Write,
}

impl Output<'_> {
    /// Writes a line to `out`. Write errors, such as a closed pipe, are ignored.
    pub fn line(&mut self, text: &str) {
        let _ = writeln!(self.out, "{text}");
    }

    /// Writes a line about an error or the progress to `err`. Write errors are ignored.
    pub fn diagnostic(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }
}

/// Runs one command. `args` excludes the program's name; `env_key` is the operator's key from the environment, which is
/// used if the command line names no key file.
pub async fn run(args: Vec<OsString>, env_key: Option<Box<str>>, output: &mut Output<'_>) -> Exit {
    match args::parse(args, env_key) {
        Ok(args::Parsed::Help(text)) => {
            output.line(text);
            Exit::Done
        }
        Ok(args::Parsed::Run(invocation)) => command::run(invocation, output).await,
        Err(error) => {
            output.diagnostic(&format!("goldcrestctl: {error}"));
            Exit::Usage
        }
    }
}
