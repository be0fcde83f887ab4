//! Maintenance waves: joins the plan with the fleet documents, the role and the platform.
//!
//! The same loop starts the moves that [`sizing`](crate::sizing) decides on and carries them to their end.
//!
//! One entry at a time holds the upkeep role for all data centres, so that maintenance runs in one data centre at a
//! time. A new holder first writes its epoch into every fleet document; edits of an older holder are refused from then
//! on. Each step is stored before its command is sent, and the next plan waits until the documents that this entry
//! follows show the stored edits. The role is checked again right before each reboot.
//!
//! - [`acknowledge`]: whether every entry has seen that a VM drains.
//! - [`view`]: the documents and the platform's list in the form that the plan takes.
//! - [`edits`]: the plan's steps as edits of the documents.
//! - [`cycle`]: the stored maintenance cycle.

pub mod acknowledge;
pub mod cycle;
pub mod edits;
pub mod view;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_ledger::Document;
use goldcrest_ledger::fleet::{FleetDoc, FleetRefusal, VmEdit};
use goldcrest_obs::logs::Part;
use goldcrest_ports::fleet::Fleet as _;
use goldcrest_ports::worker::{TaskPhase, Workers as _};
use goldcrest_session::{Updated, keys};
use goldcrest_types::catalogue::Catalogue;
use goldcrest_types::entity::VmId;
use goldcrest_types::names::{DcName, EditId};
use goldcrest_types::units::Epoch;
use goldcrest_upkeep::maintenance::{Action, Context, Hold, Status, Step};
use goldcrest_upkeep::sizing::Move;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::roles::upkeep_role;
use crate::sizing::{self, Sizing};
use crate::world::World;

use edits::Editor;
use view::View;

const PART: &str = Part::Maintenance.as_str();

/// The time between two plans of the wave.
const INTERVAL: Duration = Duration::from_secs(1);

/// The state of one term of the upkeep role.
struct Term {
    editor: Editor,
    ctx: Context,
    sizing: Sizing,
    view: View,
    saved_at: Instant,
    /// Stored edits that the followed documents do not show yet.
    unseen: Vec<(DcName, EditId)>,
    last_hold: Option<Hold>,
}

/// Runs maintenance waves and sizing whenever this entry holds the upkeep role, until `stop` is cancelled.
pub async fn run(world: Arc<World>, stop: CancellationToken) {
    let mut holding: Option<Term> = None;
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(INTERVAL) => {}
        }
        let epoch = world.roles.epoch(&upkeep_role());
        let (Some(epoch), Some(cat)) = (epoch, world.cat()) else {
            holding = None;
            world.waves.send_replace(Vec::new());
            sizing::publish_idle(&world);
            continue;
        };
        let held = holding.take().filter(|held| held.editor.epoch == epoch);
        holding = match held {
            Some(held) => run_cycle(&world, &cat, held).await,
            None => take_over(&world, &cat, epoch).await,
        };
    }
}

/// Fences every data centre with the new epoch. Returns none if one of the writes fails; the caller retries.
async fn take_over(world: &World, cat: &Catalogue, epoch: Epoch) -> Option<Term> {
    let editor = Editor {
        holder: world.entry,
        epoch,
    };
    let mut unseen = Vec::new();
    for dc in cat.dcs.values() {
        match store(world, &dc.name, &editor.take_over(cat)).await {
            Stored::Yes(edit) => unseen.push((dc.name.clone(), edit)),
            Stored::Refused | Stored::Uncertain => return None,
        }
    }
    let period = cat.maintenance.period();
    let cycle = cycle::save(&world.session, Duration::ZERO, period).await;
    let cycle = cycle.ok().flatten()?;
    log::info!(target: PART, epoch:%, cycle = cycle.number; "Maintenance taken over.");
    let now = world.now();
    Some(Term {
        editor,
        ctx: Context::new(),
        sizing: Sizing::new(world),
        view: View::new(cycle, now),
        saved_at: now,
        unseen,
        last_hold: None,
    })
}

/// Plans once and carries out the plan. Returns none if the outcome of a write is unknown; the caller then takes over
/// again.
async fn run_cycle(world: &World, cat: &Catalogue, mut held: Term) -> Option<Term> {
    let fleets = world.fleets.borrow().clone();
    let is_seen = |(dc, edit): &(DcName, EditId)| fleets.get(dc).is_some_and(|d| d.has_edit(*edit));
    held.unseen.retain(|unseen| !is_seen(unseen));
    let listing = world.listing.borrow().clone();
    if !held.unseen.is_empty() || listing.vms.is_empty() {
        return Some(held);
    }
    save_cycle(world, cat, &mut held).await?;
    held.view.refresh(cat, &fleets, &listing, world.now());
    let refresh = held.sizing.refresh(world);
    let (tasks, ()) = tokio::join!(running_tasks(world, cat, &held.view), refresh);
    let now = world.now();
    held.view.set_work(cat, &tasks, now);
    let unseen = acknowledge::unseen(world, &fleets, &held.view).await;
    held.view.hold_busy(&unseen);
    let now = world.now();
    let steps = held.ctx.plan(&held.view.fleet, cat, now).to_vec();
    let moves = held.sizing.plan(world, cat, &fleets, &held.view, &steps);
    log_hold(&mut held);
    let mut lines = wave_lines(cat, &held.ctx.status());
    lines.extend(held.sizing.lines());
    world.waves.send_replace(lines);
    carry_out(world, cat, &mut held, &steps).await?;
    begin_moves(world, cat, &mut held, &moves).await?;
    Some(held)
}

async fn save_cycle(world: &World, cat: &Catalogue, held: &mut Term) -> Option<()> {
    let passed = world.now().saturating_duration_since(held.saved_at);
    if passed < cycle::SAVE_INTERVAL {
        return Some(());
    }
    let period = cat.maintenance.period();
    let saved = cycle::save(&world.session, passed, period).await;
    held.view.fleet.cycle = saved.ok().flatten()?;
    held.saved_at = world.now();
    Some(())
}

/// Returns the number of running tasks of each draining worker. A worker whose report can't be read is not in the map
/// and counts as busy.
async fn running_tasks(world: &World, cat: &Catalogue, view: &View) -> HashMap<VmId, u32> {
    let listing = world.listing.borrow().clone();
    let mut tasks = HashMap::new();
    for vm in view.draining_workers(cat) {
        let name = &view.place(vm).vm;
        let Some(record) = listing.vms.iter().find(|record| record.name == *name) else {
            continue;
        };
        if let Ok(report) = world.workers.report(record.address).await {
            let running = report.tasks.iter();
            let running = running.filter(|task| task.phase == TaskPhase::Running);
            tasks.insert(vm, u32::try_from(running.count()).unwrap_or(u32::MAX));
        }
    }
    tasks
}

/// Returns the progress of the wave as lines for operators.
fn wave_lines(cat: &Catalogue, status: &Status) -> Vec<Box<str>> {
    let domain = status.domain.and_then(|dc| cat.dcs.get(dc));
    let place = domain.map_or_else(|| "no data centre".into(), |dc| dc.name.to_string());
    let mut lines = vec![
        format!(
            "maintenance cycle {}: {} VMs done, {} due, {} in work, {} failed, in {place}",
            status.cycle, status.done, status.due, status.in_work, status.failed
        )
        .into(),
    ];
    let outlook = if status.is_late() { "late" } else { "in time" };
    lines.push(
        format!(
            "the rest is expected to take {} s of {} s left: {outlook}",
            status.needed.as_secs(),
            status.left.as_secs()
        )
        .into(),
    );
    if let Some(hold) = &status.hold {
        lines.push(format!("no further VM now: {hold}").into());
    }
    lines
}

fn log_hold(holding: &mut Term) {
    let hold = holding.ctx.status().hold;
    let is_other = match (&holding.last_hold, &hold) {
        (Some(old), Some(new)) => std::mem::discriminant(old) != std::mem::discriminant(new),
        (old, new) => old.is_some() != new.is_some(),
    };
    if let (true, Some(hold)) = (is_other, hold) {
        log::info!(target: PART, why:% = hold; "Maintenance takes no further VM out of service now.");
    }
    holding.last_hold = hold;
}

/// Stores the steps, then sends their commands. Returns none if a write is uncertain or the role was lost.
async fn carry_out(world: &World, cat: &Catalogue, held: &mut Term, steps: &[Step]) -> Option<()> {
    for step in steps {
        let vm = &held.view.place(step.vm).vm;
        log::info!(target: PART, vm:%, why:% = step.reason; "{}.", step.action);
    }
    let mut refused = Vec::new();
    for (dc, edits) in held.editor.edits(cat, &held.view, steps) {
        match store(world, &dc, &edits).await {
            Stored::Yes(edit) => held.unseen.push((dc, edit)),
            Stored::Refused => refused.push(dc),
            Stored::Uncertain => return None,
        }
    }
    let reboots = steps.iter().filter(|step| step.action == Action::Reboot);
    for step in reboots.filter(|step| !refused.contains(&held.view.place(step.vm).dc)) {
        // The session may have expired while the steps were stored.
        let epoch = world.roles.epoch(&upkeep_role());
        if epoch != Some(held.editor.epoch) {
            return None;
        }
        let vm = &held.view.place(step.vm).vm;
        if let Err(error) = world.platform.reboot(vm, held.editor.epoch).await {
            log::warn!(target: PART, vm:%; "Platform did not confirm the reboot: {error}.");
        }
    }
    Some(())
}

/// Stores that VMs are taken out of service to change their pool. The maintenance plan carries out the later steps.
/// Returns none if a write is uncertain.
async fn begin_moves(
    world: &World,
    cat: &Catalogue,
    held: &mut Term,
    moves: &[Move],
) -> Option<()> {
    for (dc, edits) in held.editor.moves(cat, &held.view, moves) {
        match store(world, &dc, &edits).await {
            Stored::Yes(edit) => {
                let here = moves
                    .iter()
                    .filter(|step| held.view.place(step.vm).dc == dc);
                let here: Vec<&Move> = here.collect();
                for step in &here {
                    let vm = &held.view.place(step.vm).vm;
                    let to = &cat.pools[step.to].name;
                    log::info!(target: PART, vm:%, to:%, why:% = step.reason; "Moved.");
                }
                held.sizing.record_moves(world, cat, &held.view, &here);
                held.unseen.push((dc, edit));
            }
            Stored::Refused => {}
            Stored::Uncertain => return None,
        }
    }
    Some(())
}

/// The outcome of storing edits.
enum Stored {
    /// The edits are in the document, under this id.
    Yes(EditId),
    /// The document refused the edits and was not changed.
    Refused,
    /// The write failed; the edits may be in the document, now or later.
    Uncertain,
}

/// Stores edits of one data centre's fleet document.
async fn store(world: &World, dc: &DcName, edits: &[VmEdit]) -> Stored {
    let edit = EditId::new(rand::random());
    let change = |doc: &mut FleetDoc| -> Result<(), FleetRefusal> { doc.apply(edit, edits) };
    match world.session.update(&keys::fleet(dc), edit, change).await {
        Ok(Updated::Applied { .. } | Updated::AppliedEarlier) => Stored::Yes(edit),
        Ok(Updated::Refused(refusal)) => {
            log::warn!(target: PART, dc:%; "Fleet document refused the edits: {refusal}.");
            Stored::Refused
        }
        Err(error) => {
            log::warn!(target: PART, dc:%; "Edits of the fleet document may not be stored: {error}.");
            Stored::Uncertain
        }
    }
}
