//! Runs parsed commands: `check` and `trace` work on files, the others call an entry.

mod edit;
mod show;

use std::fs;
use std::path::Path;

use goldcrest_types::catalogue::{CatalogueSpec, parse};

use crate::Output;
use crate::args::{Invocation, Remote, Target};
use crate::client::{Client, ClientError};
use crate::exit::Exit;
use crate::trace;

/// Runs a command, prints its result to `output` and returns its exit code.
pub async fn run(invocation: Invocation, output: &mut Output<'_>) -> Exit {
    match invocation {
        Invocation::Check(file) => check(&file, output),
        Invocation::Trace(files, id) => trace::run(&files, &id, output),
        Invocation::Remote(target, remote) => match Client::new(target.entry, &target.key) {
            Ok(client) => run_remote(&client, &target, remote, output).await,
            Err(error) => fail(&error, output),
        },
    }
}

async fn run_remote(
    client: &Client,
    target: &Target,
    remote: Remote,
    output: &mut Output<'_>,
) -> Exit {
    match remote {
        Remote::Diff(file) => edit::diff(client, &file, output).await,
        Remote::Apply(file, options) => edit::apply(client, &file, options, output).await,
        Remote::Grant(name, team, options) => {
            edit::grant(client, name, team, options, output).await
        }
        Remote::Withdraw(name, options) => edit::withdraw(client, &name, options, output).await,
        Remote::Status => show::status(client, target.json, output).await,
        Remote::Explain(subject, id) => {
            show::explain(client, subject, &id, target.json, output).await
        }
        Remote::Watch(count) => show::watch(client, target.json, count, output).await,
    }
}

fn check(file: &Path, output: &mut Output<'_>) -> Exit {
    match read_catalogue(file, output) {
        Ok(spec) => {
            output.line(&format!(
                "{}: {} queues, {} pools, {} teams, {} keys, no errors",
                file.display(),
                spec.queues.len(),
                spec.pools.len(),
                spec.teams.len(),
                spec.keys.len()
            ));
            Exit::Done
        }
        Err(exit) => exit,
    }
}

/// Reads a catalogue file and checks it. Prints why the file can't be read, or every finding of the check.
fn read_catalogue(file: &Path, output: &mut Output<'_>) -> Result<CatalogueSpec, Exit> {
    let shown = file.display();
    let text = fs::read_to_string(file).map_err(|error| {
        output.diagnostic(&format!("{shown}: {error}: name a file that can be read"));
        Exit::Usage
    })?;
    parse(&text).map_err(|findings| {
        for finding in findings.iter() {
            output.diagnostic(&format!("{shown}: {finding}"));
        }
        Exit::Found
    })
}

fn fail(error: &ClientError, output: &mut Output<'_>) -> Exit {
    output.diagnostic(&format!("goldcrestctl: {error}"));
    error.exit()
}
