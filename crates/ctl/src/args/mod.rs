//! Parses the command line.

mod help;

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use goldcrest_api::Subject;
use goldcrest_types::names::{EditId, KeyName, TeamName};
use pico_args::Arguments;
use quick_error::quick_error;

/// The address of the entry that is called if the command line has no `--entry`.
pub const ENTRY_DEFAULT: &str = "127.0.0.1:7401";

/// How long a command waits by default until its edit is in force on every entry.
pub const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

/// The interval at which `watch` polls the status.
pub const WATCH_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// An invalid command line.
    #[derive(Debug)]
    pub enum ArgsError {
        /// The command line has no command.
        NoCommand {
            display("no command: use one of check, diff, apply, key, status, explain, trace, watch, or --help")
        }
        /// No command has this name.
        UnknownCommand(command: Box<str>) {
            display("there is no command '{command}': use one of check, diff, apply, key, status, explain, trace, watch")
        }
        /// An option or argument is missing or can't be parsed.
        Argument(detail: Box<str>) {
            display("{detail}: see --help of the command")
        }
        /// An argument is left over after the command was parsed.
        Extra(found: Box<str>) {
            display("'{found}' is not expected here: see --help of the command")
        }
        /// The file named by `--key-file` can't be read.
        KeyFile(path: Box<str>, cause: std::io::Error) {
            display("{path}: {cause}: name a readable file with --key-file, or set GOLDCREST_KEY")
            source(cause)
        }
        /// The command calls an entry, and neither `--key-file` nor the environment gives a key.
        NoKey {
            display("no operator's key: set GOLDCREST_KEY, or name a file with --key-file")
        }
    }
}

/// A parsed command line.
#[derive(Debug)]
pub enum Parsed {
    /// Print this help text.
    Help(&'static str),
    /// Run this command.
    Run(Invocation),
}

/// A command with its arguments.
#[derive(Debug)]
pub enum Invocation {
    /// Check a catalogue file, without calling an entry.
    Check(PathBuf),
    /// Print the lines about a job from log files, its outcome and the reasons, without calling an entry.
    Trace(Vec<PathBuf>, Box<str>),
    /// A command that calls an entry.
    Remote(Target, Remote),
}

/// The entry to call, the key to authenticate with, and the output format.
#[derive(Debug)]
pub struct Target {
    /// The address of the entry's operators' interface.
    pub entry: SocketAddr,
    /// The operator's key, sent as a bearer token.
    pub key: Box<str>,
    /// Whether results are printed as JSON.
    pub json: bool,
}

/// A command that calls an entry.
#[derive(Debug)]
pub enum Remote {
    /// Print the changes from the catalogue in force to that of a file.
    Diff(PathBuf),
    /// Make a file the catalogue in force.
    Apply(PathBuf, ApplyOptions),
    /// Grant a key to a team.
    Grant(KeyName, TeamName, ApplyOptions),
    /// Withdraw a key.
    Withdraw(KeyName, ApplyOptions),
    /// Print pools, budgets, waves, teams and the store's state.
    Status,
    /// Explain the last decisions about a subject with this id or name.
    Explain(Subject, Box<str>),
    /// Print the status whenever it changes; at most this many times, without end if `None`.
    Watch(Option<u32>),
}

/// Options of the commands that send an edit.
#[derive(Debug, Clone, Copy)]
pub struct ApplyOptions {
    /// How long to wait until the edit is in force on every entry.
    pub timeout: Duration,
    /// The id of an earlier edit whose outcome is unknown, which this one repeats; `None` draws a new id.
    pub edit: Option<EditId>,
}

/// Parses a command line, which excludes the program's name.
///
/// # Errors
///
/// The first thing that is wrong with the command line.
pub fn parse(args: Vec<OsString>, env_key: Option<Box<str>>) -> Result<Parsed, ArgsError> {
    let mut args = Arguments::from_vec(args);
    let is_help = args.contains(["-h", "--help"]);
    let entry = option::<SocketAddr>(&mut args, "--entry")?;
    let key_file = option::<PathBuf>(&mut args, "--key-file")?;
    let json = args.contains("--json");
    let command = args.subcommand().map_err(|error| argument(&error))?;
    if is_help {
        return Ok(Parsed::Help(help::text(command.as_deref())));
    }
    let command = command.ok_or(ArgsError::NoCommand)?;
    if command == "check" {
        let file = positional(&mut args, "the catalogue's file")?;
        return finish(args, Parsed::Run(Invocation::Check(file)));
    }
    if command == "trace" {
        return trace(args);
    }
    let remote = remote(&command, &mut args)?;
    let target = Target {
        entry: entry.map_or_else(|| positional_value(ENTRY_DEFAULT), Ok)?,
        key: read_key(key_file, env_key)?,
        json,
    };
    finish(args, Parsed::Run(Invocation::Remote(target, remote)))
}

fn trace(mut args: Arguments) -> Result<Parsed, ArgsError> {
    let id = option::<String>(&mut args, "--id")?
        .ok_or_else(|| ArgsError::Argument("--id is missing".into()))?;
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(ArgsError::Argument("the log files are missing".into()));
    }
    Ok(Parsed::Run(Invocation::Trace(files, id.into())))
}

fn remote(command: &str, args: &mut Arguments) -> Result<Remote, ArgsError> {
    Ok(match command {
        "diff" => Remote::Diff(positional(args, "the catalogue's file")?),
        "apply" => {
            let options = apply_options(args)?;
            Remote::Apply(positional(args, "the catalogue's file")?, options)
        }
        "key" => key_command(args)?,
        "status" => Remote::Status,
        "explain" => {
            let subject = positional(args, "request, task, vm, team or refusal")?;
            let id: String = positional(args, "the id or name")?;
            Remote::Explain(subject, id.into())
        }
        "watch" => Remote::Watch(option(args, "--count")?),
        other => return Err(ArgsError::UnknownCommand(other.into())),
    })
}

fn key_command(args: &mut Arguments) -> Result<Remote, ArgsError> {
    let action = args.subcommand().map_err(|error| argument(&error))?;
    match action.as_deref() {
        Some("grant") => {
            let options = apply_options(args)?;
            let team = option(args, "--team")?
                .ok_or_else(|| ArgsError::Argument("--team is missing".into()))?;
            let name = positional(args, "the key's name")?;
            Ok(Remote::Grant(name, team, options))
        }
        Some("withdraw") => {
            let options = apply_options(args)?;
            Ok(Remote::Withdraw(
                positional(args, "the key's name")?,
                options,
            ))
        }
        _ => Err(ArgsError::Argument("key takes grant or withdraw".into())),
    }
}

fn apply_options(args: &mut Arguments) -> Result<ApplyOptions, ArgsError> {
    let timeout_s = option::<u64>(args, "--timeout")?;
    Ok(ApplyOptions {
        timeout: timeout_s.map_or(TIMEOUT_DEFAULT, Duration::from_secs),
        edit: option(args, "--edit-id")?,
    })
}

fn argument(error: &pico_args::Error) -> ArgsError {
    ArgsError::Argument(error.to_string().into())
}

fn option<T: FromStr>(args: &mut Arguments, name: &'static str) -> Result<Option<T>, ArgsError>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name)
        .map_err(|error| argument(&error))
}

fn positional<T: FromStr>(args: &mut Arguments, what: &str) -> Result<T, ArgsError>
where
    T::Err: std::fmt::Display,
{
    let found: String = args
        .opt_free_from_str()
        .map_err(|error| argument(&error))?
        .ok_or_else(|| ArgsError::Argument(format!("{what} is missing").into()))?;
    positional_value(&found)
}

fn positional_value<T: FromStr>(text: &str) -> Result<T, ArgsError>
where
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error: T::Err| ArgsError::Argument(format!("'{text}': {error}").into()))
}

fn read_key(file: Option<PathBuf>, env_key: Option<Box<str>>) -> Result<Box<str>, ArgsError> {
    let Some(path) = file else {
        return env_key.ok_or(ArgsError::NoKey);
    };
    let text = fs::read_to_string(&path)
        .map_err(|cause| ArgsError::KeyFile(path.display().to_string().into(), cause))?;
    Ok(text.trim().into())
}

fn finish(args: Arguments, parsed: Parsed) -> Result<Parsed, ArgsError> {
    match args.finish().first() {
        None => Ok(parsed),
        Some(extra) => Err(ArgsError::Extra(extra.to_string_lossy().into())),
    }
}
