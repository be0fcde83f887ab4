//! The maintenance plan's view and edits, on fleet documents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcrest_daemon::maintenance::cycle::CycleDoc;
use goldcrest_daemon::maintenance::edits::Editor;
use goldcrest_daemon::maintenance::view::{Place, View};
use goldcrest_daemon::world::Fleets;
use goldcrest_ledger::fleet::{FleetDoc, FleetRefusal, VmEdit, VmState as Stored};
use goldcrest_ports::fleet::{VmListing, VmPhase, VmRecord, VmRole};
use goldcrest_types::catalogue::{Catalogue, parse};
use goldcrest_types::names::{DcName, EditId, EntryId};
use goldcrest_types::units::{Epoch, Resources, Revision, StoreVersion};
use goldcrest_upkeep::fleet::VmState;
use goldcrest_upkeep::maintenance::{Action, Context, Hold, Step};

const CATALOGUE: &str = "
data_centres:
  - { name: a, region: r }
  - { name: b, region: r }
pools:
  - { name: web, kind: upstreams, max_unavailable_vms: 1 }
teams:
  - { name: desk, share: 1, upper_limit_slots: 9 }
queues:
  - { name: plans, owner: desk, class: interactive, pool: web, limits: { deadline_ms: 1000, deadline_max_ms: 20000 } }
";

struct Bed {
    cat: Catalogue,
    fleets: Fleets,
    listing: VmListing,
    now: Instant,
    edits: u128,
}

impl Bed {
    /// Creates two data centres with three VMs each, all in service.
    fn new() -> Self {
        let spec = parse(CATALOGUE).expect("a valid catalogue");
        let cat = Catalogue::resolve(&spec, Revision::new(1)).expect("a valid catalogue");
        let mut bed = Self {
            cat,
            fleets: Fleets::default(),
            listing: VmListing::default(),
            now: Instant::now(),
            edits: 0,
        };
        for dc in ["a", "b"] {
            let mut steps = Vec::new();
            for place in 0..3 {
                let record = record(dc, place);
                steps.push(VmEdit::Enrol {
                    vm: record.name.clone(),
                    pool: "web".parse().expect("a name"),
                    rack: record.rack.clone(),
                    boots: 1,
                });
                steps.push(VmEdit::Serve {
                    vm: record.name.clone(),
                    boots: 1,
                });
                bed.listing.vms.push(record);
            }
            bed.store(&dc.parse().expect("a name"), &steps)
                .expect("new VMs");
        }
        bed
    }

    fn store(&mut self, dc: &DcName, steps: &[VmEdit]) -> Result<(), FleetRefusal> {
        let mut doc = self.fleets.get(dc).cloned().unwrap_or_default();
        self.edits += 1;
        doc.apply(EditId::new(self.edits), steps)?;
        self.fleets
            .set(dc.clone(), StoreVersion::new(1), Arc::new(doc));
        Ok(())
    }

    fn doc(&self, dc: &str) -> &FleetDoc {
        self.fleets
            .get(&dc.parse().expect("a name"))
            .expect("a document")
    }

    fn plan(&mut self, view: &mut View, ctx: &mut Context) -> Vec<Step> {
        view.refresh(&self.cat, &self.fleets, &self.listing, self.now);
        view.set_work(&self.cat, &HashMap::new(), self.now);
        ctx.plan(&view.fleet, &self.cat, self.now).to_vec()
    }

    /// Stores the steps. A VM that reboots is back in the next cycle.
    fn carry_out(&mut self, view: &View, editor: Editor, steps: &[Step]) {
        for (dc, edits) in editor.edits(&self.cat, view, steps) {
            self.store(&dc, &edits)
                .expect("edits that the document takes");
        }
        for step in steps.iter().filter(|step| step.action == Action::Reboot) {
            let name = &view.place(step.vm).vm;
            let mut listed = self.listing.vms.iter_mut();
            let record = listed.find(|record| record.name == *name).expect("a VM");
            record.boots += 1;
        }
    }

    fn view(&self) -> View {
        let period = self.cat.maintenance.period();
        let mut doc = CycleDoc::default();
        doc.pass(EditId::new(9_999), Duration::ZERO, period);
        View::new(doc.at(self.now, period), self.now)
    }
}

fn record(dc: &str, place: u16) -> VmRecord {
    VmRecord {
        name: format!("{dc}{place}").parse().expect("a name"),
        data_centre: dc.parse().expect("a name"),
        rack: format!("rack-{dc}").parse().expect("a name"),
        role: VmRole::Upstream,
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + place)),
        phase: VmPhase::Live,
        resources: Resources::ZERO,
        boots: 1,
    }
}

fn editor(epoch: u64) -> Editor {
    Editor {
        holder: EntryId::new(u128::from(epoch)),
        epoch: Epoch::new(epoch),
    }
}

#[test]
fn edits_whole_wave() {
    let mut bed = Bed::new();
    let (mut view, mut ctx) = (bed.view(), Context::new());
    for round in 0..600 {
        let steps = bed.plan(&mut view, &mut ctx);
        let out: Vec<usize> = ["a", "b"].map(|dc| out_of_service(bed.doc(dc))).to_vec();
        assert!(out.iter().sum::<usize>() <= 1, "round {round}: {out:?}");
        if ctx.status().hold == Some(Hold::CycleDone) {
            break;
        }
        bed.carry_out(&view, editor(1), &steps);
        bed.now += Duration::from_secs(1);
    }
    assert_eq!(ctx.status().hold, Some(Hold::CycleDone));
    for dc in ["a", "b"] {
        assert!(bed.doc(dc).vms().values().all(|vm| vm.wave == 1));
    }
}

fn out_of_service(doc: &FleetDoc) -> usize {
    let vms = doc.vms().values();
    vms.filter(|vm| vm.state != Stored::Serving).count()
}

#[test]
fn edits_reboot_after_deadline() {
    let mut bed = Bed::new();
    let (mut view, mut ctx) = (bed.view(), Context::new());
    let steps = bed.plan(&mut view, &mut ctx);
    assert_eq!(steps.len(), 1);
    bed.carry_out(&view, editor(1), &steps);
    bed.plan(&mut view, &mut ctx);
    bed.now += Duration::from_secs(19);
    assert_eq!(bed.plan(&mut view, &mut ctx), []);
    bed.now += Duration::from_secs(1);
    let steps = bed.plan(&mut view, &mut ctx);
    assert_eq!(steps.first().map(|step| step.action), Some(Action::Reboot));
}

#[test]
fn edits_new_holder_fences_old() {
    let mut bed = Bed::new();
    let (mut view, mut ctx) = (bed.view(), Context::new());
    let steps = bed.plan(&mut view, &mut ctx);
    let dcs: Vec<DcName> = bed.cat.dcs.values().map(|dc| dc.name.clone()).collect();
    let take_over = editor(2).take_over(&bed.cat);
    for dc in &dcs {
        bed.store(dc, &take_over).expect("a newer epoch");
    }
    for (dc, edits) in editor(1).edits(&bed.cat, &view, &steps) {
        let refused = bed.store(&dc, &edits);
        assert!(
            matches!(refused, Err(FleetRefusal::Fenced(..))),
            "{refused:?}"
        );
    }
}

#[test]
fn view_resumes_from_documents() {
    let mut bed = Bed::new();
    let (mut view, mut ctx) = (bed.view(), Context::new());
    let steps = bed.plan(&mut view, &mut ctx);
    bed.carry_out(&view, editor(1), &steps);
    bed.now += Duration::from_mins(1);
    let (mut next, mut ctx) = (bed.view(), Context::new());
    assert_eq!(bed.plan(&mut next, &mut ctx), []);
    let drained = view.place(steps[0].vm);
    let id = next.id(&Place::clone(drained)).expect("the VM");
    assert_eq!(next.fleet.vms[id].state, VmState::Draining);
    assert!(next.fleet.vms[id].permit);
    assert_eq!(next.fleet.vms[id].since, bed.now);
}

#[test]
fn cycle_passes() {
    let period = Duration::from_secs(100);
    let now = Instant::now();
    let mut doc = CycleDoc::default();
    doc.pass(EditId::new(1), Duration::from_secs(40), period);
    doc.pass(EditId::new(1), Duration::from_secs(40), period);
    assert_eq!(doc.at(now, period).number, 1);
    assert_eq!(doc.at(now, period).ends, now + Duration::from_mins(1));
    doc.pass(EditId::new(2), Duration::from_mins(1), period);
    assert_eq!(doc.at(now, period).number, 2);
    assert_eq!(doc.at(now, period).ends, now + period);
}
