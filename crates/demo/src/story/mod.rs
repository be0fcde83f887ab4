//! The demonstration, step by step.

pub mod setup;
mod steps;

use std::time::Duration;

use quick_error::quick_error;

use crate::account::Account;
use crate::lab::LabError;
use goldcrest_ctl::client::ClientError;
use goldcrest_types::catalogue::Findings;

quick_error! {
    /// Why the demonstration can't go on.
    #[derive(Debug)]
    pub enum StoryError {
        /// A stand-in or entry can't start.
        Lab(cause: LabError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An entry refuses or does not answer.
        Client(cause: ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The example catalogue is not valid.
        Catalogue(findings: Findings) {
            display("the example catalogue is not valid:\n{findings}correct examples/demo.yaml")
            from()
        }
        /// Something did not come about in time.
        Timeout(what: Box<str>) {
            display("{what} did not come about in time: run it again with --log info")
        }
    }
}

/// Tells the whole story. Returns whether every promise held.
///
/// # Errors
///
/// The story could not be told to its end.
pub async fn tell() -> Result<bool, StoryError> {
    let mut account = Account::new();
    let mut stage = setup::Stage::build().await?;
    steps::serve_requests(&mut stage, &mut account).await;
    steps::cut_entry_in_maintenance(&mut stage, &mut account).await;
    steps::maintain(&mut stage, &mut account).await;
    steps::reach_upper_limit(&mut stage, &mut account).await;
    steps::run_tasks(&mut stage, &mut account).await;
    steps::withdraw_key(&mut stage, &mut account).await?;
    steps::cut_store(&mut stage, &mut account).await;
    steps::lose_entry(&mut stage, &mut account).await?;
    steps::remove_upstream(&mut stage, &mut account).await;
    steps::stop_entry(&mut stage, &mut account).await?;
    steps::finish(stage, &mut account).await;
    account.print();
    Ok(account.holds())
}

/// Keeps the stage up until it is interrupted.
///
/// # Errors
///
/// The stage could not be built.
pub async fn serve() -> Result<(), StoryError> {
    let stage = setup::Stage::build().await?;
    stage.print_commands();
    let _ = tokio::signal::ctrl_c().await;
    stage.lab.shut_down().await;
    Ok(())
}

/// How long a step waits for something to come about.
pub const STEP_TIMEOUT: Duration = Duration::from_mins(1);

/// How often a step looks.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(50);
