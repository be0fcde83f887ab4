//! `goldcrestctl`: the operators' tool.

use std::io;
use std::process::ExitCode;

use goldcrest_ctl::Output;
use goldcrest_ctl::exit::Exit;

/// The environment variable that holds the operator's key; `--key-file` takes precedence.
const KEY_VARIABLE: &str = "GOLDCREST_KEY";

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("goldcrestctl: {error}: free some memory or file handles");
            return Exit::Unreachable.into();
        }
    };
    let args = std::env::args_os().skip(1).collect();
    let key = std::env::var(KEY_VARIABLE).ok().map(String::into_boxed_str);
    let mut output = Output {
        out: &mut io::stdout(),
        err: &mut io::stderr(),
    };
    runtime
        .block_on(goldcrest_ctl::run(args, key, &mut output))
        .into()
}
