//! `goldcrest demo`: the whole system in one process, on embedded stand-ins.

use std::process::ExitCode;
use std::sync::Arc;

use goldcrest_demo::story;
use goldcrest_obs::logs::{self, Format, Level};
use goldcrest_types::clock::SystemClock;
use pico_args::Arguments;

const HELP: &str = "\
goldcrest: the demonstration of goldcreststile

usage: goldcrest demo [--serve] [--log LEVEL]

Starts in one process a platform, upstreams, workers and three entries in two data centres on loopback; sends requests
and tasks, withdraws a key, takes the pools through maintenance, crashes an entry, and cuts the key-value service off.
Prints what it checked, and exits with 0 only if every promise held.

  --serve      keep it up instead, and print the addresses and commands to try
  --log LEVEL  off, error, warn, info, debug or trace (default error)";

/// The exit code when a promise was broken.
const EXIT_BROKEN: u8 = 1;

/// The exit code of a wrong command line.
const EXIT_USAGE: u8 = 2;

/// What the command line asks for.
struct Options {
    serve: bool,
    log: Level,
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(message) => {
            eprintln!("goldcrest: {message}: see --help");
            return EXIT_USAGE.into();
        }
    };
    if let Err(error) = logs::init(options.log, Format::Text, Arc::new(SystemClock)) {
        eprintln!("goldcrest: {error}");
        return EXIT_USAGE.into();
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("goldcrest: {error}: free some memory or file handles");
            return EXIT_BROKEN.into();
        }
    };
    let outcome = runtime.block_on(async {
        if options.serve {
            story::serve().await.map(|()| true)
        } else {
            story::tell().await
        }
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => EXIT_BROKEN.into(),
        Err(error) => {
            eprintln!("goldcrest: {error}");
            EXIT_BROKEN.into()
        }
    }
}

fn options() -> Result<Option<Options>, Box<str>> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let command = args.subcommand().map_err(|error| error.to_string())?;
    if command.as_deref() != Some("demo") {
        return Err("the command is 'demo'".into());
    }
    let serve = args.contains("--serve");
    let log = args
        .opt_value_from_str("--log")
        .map_err(|error| error.to_string())?;
    match args.finish().first() {
        Some(extra) => Err(format!("'{}' is not expected", extra.to_string_lossy()).into()),
        None => Ok(Some(Options {
            serve,
            log: log.unwrap_or_else(quiet),
        })),
    }
}

/// The demonstration's own account is enough unless somebody asks for more.
fn quiet() -> Level {
    "error".parse().unwrap_or_default()
}
