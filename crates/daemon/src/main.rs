//! `goldcrestd`: the daemon of an entry VM.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use goldcrest_daemon::entry::Entry;
use goldcrest_daemon::settings::{self, Settings};
use goldcrest_obs::logs;
use goldcrest_types::clock::{Clock, SystemClock};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

/// The settings are wrong, or an address can't be listened on.
const EXIT_SETTINGS: u8 = 1;

/// The command line is wrong.
const EXIT_USAGE: u8 = 2;

/// The stop cut requests off.
const EXIT_CUT: u8 = 3;

const HELP: &str = "\
goldcrestd: the daemon of an entry VM

usage: goldcrestd --settings FILE [--check]

  --settings FILE   the settings, in YAML
  --check           only check the settings; exit code 1 if anything is wrong
  -h, --help        show this

SIGTERM and SIGINT stop it gracefully.
exit codes: 0 stopped   1 settings wrong   2 command line wrong   3 the stop cut requests off";

struct Options {
    settings: PathBuf,
    only_check: bool,
}

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let options = match options(args) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(message) => {
            eprintln!("goldcrestd: {message}");
            return EXIT_USAGE.into();
        }
    };
    let Some(settings) = read_settings(&options.settings) else {
        return EXIT_SETTINGS.into();
    };
    if options.only_check {
        println!("{}: no errors", options.settings.display());
        return ExitCode::SUCCESS;
    }
    serve(settings)
}

fn options(args: Vec<OsString>) -> Result<Option<Options>, Box<str>> {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let only_check = args.contains("--check");
    let settings = args
        .value_from_str("--settings")
        .map_err(|error| format!("{error}: name the settings with --settings FILE"))?;
    match args.finish().first() {
        None => Ok(Some(Options {
            settings,
            only_check,
        })),
        Some(extra) => {
            let extra = extra.to_string_lossy();
            Err(format!("'{extra}' is not expected: see --help").into())
        }
    }
}

fn read_settings(file: &Path) -> Option<Settings> {
    let shown = file.display();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("goldcrestd: {shown}: {error}: name a file that can be read");
            return None;
        }
    };
    match settings::parse(&text) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors.iter() {
                eprintln!("{shown}: line {}: {}", error.line, error.message);
            }
            None
        }
    }
}

fn serve(settings: Settings) -> ExitCode {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let (level, format) = (settings.log.level, settings.log.format);
    if let Err(error) = logs::init(level, format, Arc::clone(&clock)) {
        eprintln!("goldcrestd: {error}");
        return EXIT_SETTINGS.into();
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("goldcrestd: {error}: free some memory or file handles");
            return EXIT_SETTINGS.into();
        }
    };
    runtime.block_on(run(settings, clock))
}

async fn run(settings: Settings, clock: Arc<dyn Clock>) -> ExitCode {
    let entry = match Entry::start(settings, clock) {
        Ok(entry) => entry,
        Err(error) => {
            eprintln!("goldcrestd: {error}");
            return EXIT_SETTINGS.into();
        }
    };
    wait_for_signal().await;
    let report = entry.stop().await;
    if report.cut > 0 {
        return EXIT_CUT.into();
    }
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT. If the handler of one of them can't be installed, the other still works.
async fn wait_for_signal() {
    let terminate = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminate) => {
                terminate.recv().await;
            }
            Err(error) => {
                log::error!(target: "main", "Handler of SIGTERM can't be installed, stop with SIGINT: {error}.");
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::select! {
        () = terminate => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
