//! The commands that compare or change the catalogue: `diff`, `apply`, `key grant` and `key withdraw`.

use std::path::Path;
use std::time::Duration;

use goldcrest_api::EditRequest;
use goldcrest_ledger::catalogue::{Change, diff as changes_between, text};
use goldcrest_types::catalogue::KeySpec;
use goldcrest_types::key::KeyDigest;
use goldcrest_types::names::{EditId, KeyName, TeamName};
use goldcrest_types::units::Revision;
use tokio::time::{Instant, sleep};

use super::{fail, read_catalogue};
use crate::Output;
use crate::args::ApplyOptions;
use crate::client::{Client, ClientError};
use crate::exit::Exit;

/// The interval at which the tool polls whether an edit is in force on every entry.
const IN_FORCE_INTERVAL: Duration = Duration::from_millis(200);

/// The number of times that an edit with an unknown outcome is resent, with the same id.
const RESEND_MAX: u32 = 3;

pub async fn diff(client: &Client, file: &Path, output: &mut Output<'_>) -> Exit {
    match changes_of(client, file, output).await {
        Ok(changes) if changes.is_empty() => Exit::Done,
        Ok(_) => Exit::Found,
        Err(exit) => exit,
    }
}

pub async fn apply(
    client: &Client,
    file: &Path,
    options: ApplyOptions,
    output: &mut Output<'_>,
) -> Exit {
    match changes_of(client, file, output).await {
        Ok(changes) if changes.is_empty() => Exit::Done,
        Ok(changes) => send(client, changes, options, output).await,
        Err(exit) => exit,
    }
}

/// Computes the changes from the catalogue in force to that of a file, and prints them.
async fn changes_of(
    client: &Client,
    file: &Path,
    output: &mut Output<'_>,
) -> Result<Vec<Change>, Exit> {
    let desired = read_catalogue(file, output)?;
    let view = client.catalogue().await;
    let view = view.map_err(|error| fail(&error, output))?;
    let changes = changes_between(&view.spec, &desired);
    for change in &changes {
        output.line(&text::change(change));
    }
    if changes.is_empty() {
        output.line(&format!("no difference to revision {}", view.revision));
    }
    Ok(changes)
}

pub async fn grant(
    client: &Client,
    name: KeyName,
    team: TeamName,
    options: ApplyOptions,
    output: &mut Output<'_>,
) -> Exit {
    let secret = hex_secret();
    let key = KeySpec {
        name,
        team,
        digest: KeyDigest::of(&secret),
    };
    let exit = send(client, vec![Change::grant(key)], options, output).await;
    // The secret is stored nowhere else, so it is printed whenever the key may have been granted.
    if matches!(exit, Exit::Done | Exit::NotInForce | Exit::OutcomeUnknown) {
        output.line(&format!("secret (shown once): {secret}"));
    }
    exit
}

pub async fn withdraw(
    client: &Client,
    name: &KeyName,
    options: ApplyOptions,
    output: &mut Output<'_>,
) -> Exit {
    let view = match client.catalogue().await {
        Ok(view) => view,
        Err(error) => return fail(&error, output),
    };
    let Some(change) = Change::withdraw(&view.spec, name) else {
        output.diagnostic(&format!(
            "goldcrestctl: key '{name}' is not granted in revision {}: see the keys in the catalogue",
            view.revision
        ));
        return Exit::Refused;
    };
    send(client, vec![change], options, output).await
}

fn hex_secret() -> String {
    let bits: [u128; 2] = rand::random();
    format!("{:032x}{:032x}", bits[0], bits[1])
}

async fn send(
    client: &Client,
    changes: Vec<Change>,
    options: ApplyOptions,
    output: &mut Output<'_>,
) -> Exit {
    let id = options.edit.unwrap_or_else(|| EditId::new(rand::random()));
    let request = EditRequest { id, changes };
    match send_until_known(client, &request).await {
        Ok(revision) => {
            output.line(&format!("accepted as revision {revision} (edit {id})"));
            wait_in_force(client, revision, options.timeout, output).await
        }
        Err(error) => {
            let exit = fail(&error, output);
            if exit == Exit::OutcomeUnknown {
                output.diagnostic(&format!("repeat the command with --edit-id {id}"));
            }
            exit
        }
    }
}

/// Sends an edit, and resends it up to [`RESEND_MAX`] times while its outcome is unknown. The edit's id ensures that it
/// is applied at most once.
async fn send_until_known(client: &Client, request: &EditRequest) -> Result<Revision, ClientError> {
    let mut tries = 0;
    loop {
        match client.edit(request).await {
            Ok(answer) => return Ok(answer.revision),
            Err(error) if error.exit() == Exit::OutcomeUnknown && tries < RESEND_MAX => tries += 1,
            Err(error) => return Err(error),
        }
    }
}

async fn wait_in_force(
    client: &Client,
    revision: Revision,
    timeout: Duration,
    output: &mut Output<'_>,
) -> Exit {
    let started = Instant::now();
    let mut last_count = None;
    loop {
        let (in_force, missing) = match client.in_force().await {
            Ok(in_force) => {
                let missing: Vec<_> = in_force.missing(revision).cloned().collect();
                (in_force.entries.len() - missing.len(), missing)
            }
            Err(error) => {
                output.diagnostic(&format!("goldcrestctl: {error}"));
                (0, Vec::new())
            }
        };
        if in_force > 0 && missing.is_empty() {
            let waited_ms = started.elapsed().as_millis();
            output.line(&format!(
                "in force on {in_force} entries after {waited_ms} ms"
            ));
            return Exit::Done;
        }
        if last_count != Some(in_force) {
            output.diagnostic(&format!(
                "in force on {in_force}, missing on {}",
                missing.len()
            ));
            last_count = Some(in_force);
        }
        if started.elapsed() >= timeout {
            for entry in &missing {
                output.diagnostic(&format!(
                    "not in force on {} in {}: revision {}",
                    entry.vm, entry.data_centre, entry.revision
                ));
            }
            return Exit::NotInForce;
        }
        sleep(IN_FORCE_INTERVAL).await;
    }
}
