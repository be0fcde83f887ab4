//! The stage: the stand-ins, three entries, and a catalogue in force.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use goldcrest_api::{EditRequest, Status, TeamStatus};
use goldcrest_ctl::client::Client;
use goldcrest_ledger::catalogue::{Change, diff};
use goldcrest_types::catalogue::parse;
use goldcrest_types::names::EditId;
use goldcrest_types::units::{Revision, VmCount};
use tokio::time::{Instant, sleep};

use super::{LOOK_INTERVAL, STEP_TIMEOUT, StoryError};
use crate::callers::Targets;
use crate::lab::{Lab, OPERATOR_SECRET, Sizes};
use crate::watch::Watch;

/// The catalogue of the demonstration.
const CATALOGUE: &str = include_str!("../../../../examples/demo.yaml");

/// Upstreams and workers of both data centres together.
const VMS: u32 = 10;

/// Everything that a step works on.
pub struct Stage {
    /// The stand-ins and entries.
    pub lab: Lab,
    /// The entries that callers know.
    pub targets: Targets,
    /// What is looked at all the time.
    pub watch: Watch,
}

impl Stage {
    /// Starts everything and waits until the catalogue is in force, every VM is in a pool, and every team may use some
    /// slots through every entry.
    ///
    /// # Errors
    ///
    /// Something could not be started, or did not come about in time.
    pub async fn build() -> Result<Self, StoryError> {
        let large = Sizes {
            entries: 2,
            upstreams: 3,
            workers: 2,
        };
        let small = Sizes {
            entries: 1,
            ..large
        };
        let mut lab = Lab::start(&[("lis-a", large), ("lis-b", small)]).await?;
        for (dc, sizes) in [("lis-a", large), ("lis-b", small)] {
            for number in 1..=sizes.entries {
                lab.start_entry(&format!("entry-{dc}-{number}"), dc).await?;
            }
        }
        let spec = parse(CATALOGUE)?;
        let pools = spec.pools.iter();
        let budgets = pools
            .map(|pool| (pool.name.clone(), pool.max_unavailable_vms))
            .collect();
        let stage = Self {
            lab,
            targets: Targets::default(),
            watch: Watch::new(budgets),
        };
        println!("started: 3 entries, 6 upstreams, 4 workers in 2 data centres");
        let client = stage.client()?;
        let current = client.catalogue().await?;
        let revision = stage.edit(diff(&current.spec, &spec)).await?;
        println!("catalogue accepted as revision {revision}");
        let waited = stage.wait_in_force(revision).await?;
        println!("in force on all entries after {} ms", waited.as_millis());
        stage.wait_for_pools().await?;
        stage.wait_for_quota().await?;
        stage.refresh_targets();
        println!("{VMS} VMs are in service in their pools");
        Ok(stage)
    }

    /// The operators' interface of the first entry that runs.
    ///
    /// # Errors
    ///
    /// No entry runs.
    pub fn client(&self) -> Result<Client, StoryError> {
        let first = self.lab.entries().next();
        let (_, _, addresses) = first.ok_or_else(|| StoryError::Timeout("an entry".into()))?;
        Ok(Client::new(addresses.operator, OPERATOR_SECRET)?)
    }

    /// Lets time pass, and looks at what always holds meanwhile.
    pub async fn pause(&mut self, time: Duration) {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            self.watch.look(&self.lab);
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Applies an edit through the first entry.
    ///
    /// # Errors
    ///
    /// The entry refuses it or does not answer.
    pub async fn edit(&self, changes: Vec<Change>) -> Result<Revision, StoryError> {
        let id = EditId::new(rand::random());
        let answer = self.client()?.edit(&EditRequest { id, changes }).await?;
        Ok(answer.revision)
    }

    /// Waits until `revision` is in force on every entry, and returns how long it took.
    ///
    /// # Errors
    ///
    /// It took too long.
    pub async fn wait_in_force(&self, revision: Revision) -> Result<Duration, StoryError> {
        let started = Instant::now();
        let entries = self.lab.entries().count();
        while started.elapsed() < STEP_TIMEOUT {
            let in_force = self.client()?.in_force().await?;
            let missing = in_force.missing(revision).count();
            if missing == 0 && in_force.entries.len() >= entries {
                return Ok(started.elapsed());
            }
            sleep(LOOK_INTERVAL).await;
        }
        Err(StoryError::Timeout(
            format!("revision {revision} on all entries").into(),
        ))
    }

    async fn wait_for_pools(&self) -> Result<(), StoryError> {
        let started = Instant::now();
        while started.elapsed() < STEP_TIMEOUT {
            if serving(&self.client()?.status().await?) >= VmCount::new(VMS) {
                return Ok(());
            }
            sleep(LOOK_INTERVAL).await;
        }
        Err(StoryError::Timeout("every VM in a pool".into()))
    }

    async fn wait_for_quota(&self) -> Result<(), StoryError> {
        let started = Instant::now();
        for (_, _, addresses) in self.lab.entries() {
            let client = Client::new(addresses.operator, OPERATOR_SECRET)?;
            while started.elapsed() < STEP_TIMEOUT {
                let status = client.status().await?;
                let has_some = |team: &TeamStatus| !team.usable_slots.is_zero();
                if !status.teams.is_empty() && status.teams.iter().all(has_some) {
                    break;
                }
                sleep(LOOK_INTERVAL).await;
            }
        }
        if started.elapsed() < STEP_TIMEOUT {
            return Ok(());
        }
        Err(StoryError::Timeout("slots for every team".into()))
    }

    /// Shows the callers the entries that run, as the balancer does.
    pub fn refresh_targets(&self) {
        let addresses: Vec<SocketAddr> = self
            .lab
            .entries()
            .map(|(_, _, addresses)| addresses.caller)
            .collect();
        *self.targets.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Shows the callers all entries but one.
    pub fn hide_target(&self, vm: &str) {
        let hidden = self.lab.entries().find(|(name, _, _)| name.as_str() == vm);
        if let Some((_, _, addresses)) = hidden {
            let targets = Arc::clone(&self.targets);
            let mut targets = targets.lock().unwrap_or_else(PoisonError::into_inner);
            targets.retain(|target| *target != addresses.caller);
        }
    }

    /// Prints the addresses and commands to try.
    pub fn print_commands(&self) {
        println!();
        for (vm, dc, addresses) in self.lab.entries() {
            println!(
                "{vm} in {dc}: callers {}, operators {}",
                addresses.caller, addresses.operator
            );
        }
        let Some((_, _, addresses)) = self.lab.entries().next() else {
            return;
        };
        let (caller, operator) = (addresses.caller, addresses.operator);
        println!();
        println!(
            "export CALLER={caller} TASKS={} OPERATOR={operator}",
            addresses.task
        );
        println!("try:");
        println!("  curl -i http://{caller}/q/status/hello");
        println!(
            "  curl -i -H 'Authorization: Bearer agencies-example' -d 'a plan' http://{caller}/q/merge/plans"
        );
        println!("  export GOLDCREST_KEY={OPERATOR_SECRET}");
        for command in [
            "status",
            "diff examples/demo.yaml",
            "key withdraw agencies-1",
            "key grant agencies-2 --team agencies",
            "explain team agencies",
        ] {
            println!("  cargo run -q --release -p goldcrest-ctl -- --entry {operator} {command}");
        }
        println!("stop with Ctrl-C");
    }
}

/// How many VMs are in service over all pools.
fn serving(status: &Status) -> VmCount {
    status.pools.iter().map(|pool| pool.serving_vms).sum()
}
