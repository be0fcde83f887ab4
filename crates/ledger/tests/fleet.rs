//! The availability budget, and one pool per VM, under racing holders and failures.

use std::collections::BTreeMap;

use goldcrest_ledger::Document;
use goldcrest_ledger::fleet::{FleetDoc, FleetRefusal, Permit, Purpose, VmEdit, VmState};
use goldcrest_ledger::verify;
use goldcrest_types::breach::Breaches;
use goldcrest_types::names::{DcName, EditId, EntryId, PoolName, VmName};
use goldcrest_types::units::{Epoch, VmCount};
use quickcheck::{Gen, QuickCheck};

const BUDGET: VmCount = VmCount::new(2);

fn pool(name: &str) -> PoolName {
    name.parse().expect("a name")
}

fn vm(index: u8) -> VmName {
    format!("vm{index}").parse().expect("a name")
}

fn permit(epoch: u64, purpose: Purpose) -> Permit {
    Permit {
        holder: EntryId::new(u128::from(epoch)),
        epoch: Epoch::new(epoch),
        purpose,
    }
}

fn drain(index: u8, epoch: u64) -> VmEdit {
    VmEdit::Drain {
        vm: vm(index),
        permit: permit(epoch, Purpose::Maintain { wave: 1 }),
        budget: BUDGET,
    }
}

fn enrol(index: u8, name: &str) -> VmEdit {
    VmEdit::Enrol {
        vm: vm(index),
        pool: pool(name),
        rack: "r1".parse().expect("a name"),
        boots: 1,
    }
}

/// Five VMs in service in pool `web`.
fn fleet() -> FleetDoc {
    let mut doc = FleetDoc::empty();
    for index in 0..5 {
        let steps = [
            enrol(index, "web"),
            VmEdit::Serve {
                vm: vm(index),
                boots: 1,
            },
        ];
        doc.apply(EditId::new(u128::from(index)), &steps)
            .expect("enrolled");
    }
    doc
}

#[test]
fn drain_failed_vms_count() {
    let mut doc = fleet();
    let fail = VmEdit::Fail { vm: vm(0) };
    doc.apply(EditId::new(10), &[fail]).expect("failed");
    doc.apply(EditId::new(11), &[drain(1, 1)]).expect("drained");
    let refusal = doc.apply(EditId::new(12), &[drain(2, 1)]);
    let expected = FleetRefusal::Budget(pool("web"), BUDGET, BUDGET);
    assert_eq!(refusal, Err(expected));
}

#[test]
fn drain_batch_above_budget() {
    let mut doc = fleet();
    let before = doc.clone();
    let steps = [drain(0, 1), drain(1, 1), drain(2, 1)];
    assert!(doc.apply(EditId::new(10), &steps).is_err());
    assert_eq!(doc, before);
}

#[test]
fn reboot_older_epoch() {
    let mut doc = fleet();
    doc.apply(EditId::new(10), &[drain(0, 1)]).expect("drained");
    let take_over = VmEdit::TakeOver {
        pool: pool("web"),
        holder: EntryId::new(2),
        epoch: Epoch::new(2),
    };
    doc.apply(EditId::new(11), &[take_over])
        .expect("taken over");
    let reboot = |epoch| VmEdit::Reboot {
        vm: vm(0),
        epoch: Epoch::new(epoch),
    };
    let fenced = doc.apply(EditId::new(12), &[reboot(1)]);
    assert!(matches!(fenced, Err(FleetRefusal::Fenced(..))));
    doc.apply(EditId::new(13), &[reboot(2)]).expect("rebooted");
    let early = VmEdit::Serve {
        vm: vm(0),
        boots: 1,
    };
    let refusal = doc.apply(EditId::new(14), &[early]);
    assert_eq!(refusal, Err(FleetRefusal::NotRebooted(vm(0), 1)));
    let late = VmEdit::Serve {
        vm: vm(0),
        boots: 2,
    };
    doc.apply(EditId::new(15), &[late]).expect("served");
    assert_eq!(doc.vms()[&vm(0)].wave, 1);
}

#[test]
fn serve_failed_with_reboot_on_its_way() {
    let mut doc = fleet();
    let reboot = VmEdit::Reboot {
        vm: vm(0),
        epoch: Epoch::new(1),
    };
    let fail = VmEdit::Fail { vm: vm(0) };
    let steps = [drain(0, 1), reboot, fail];
    doc.apply(EditId::new(10), &steps).expect("failed");
    let serve = |boots| VmEdit::Serve { vm: vm(0), boots };
    let refusal = doc.apply(EditId::new(11), &[serve(1)]);
    assert_eq!(refusal, Err(FleetRefusal::NotRebooted(vm(0), 1)));
    doc.apply(EditId::new(12), &[serve(2)]).expect("served");
    assert_eq!(doc.unavailable(&pool("web")), VmCount::ZERO);
}

#[test]
fn move_drained_vm() {
    let mut doc = fleet();
    let to = pool("spare");
    let drain = VmEdit::Drain {
        vm: vm(0),
        permit: permit(1, Purpose::Move { to: to.clone() }),
        budget: BUDGET,
    };
    let go = VmEdit::Move {
        vm: vm(0),
        epoch: Epoch::new(1),
    };
    let early = doc.apply(EditId::new(10), std::slice::from_ref(&go));
    assert_eq!(early, Err(FleetRefusal::State(vm(0), VmState::Serving)));
    doc.apply(EditId::new(11), &[drain, go]).expect("moved");
    assert_eq!(doc.vms()[&vm(0)].pool, to);
    assert_eq!(doc.unavailable(&pool("web")), VmCount::ZERO);
}

#[test]
fn enrol_twice() {
    let mut doc = fleet();
    let refusal = doc.apply(EditId::new(10), &[enrol(0, "spare")]);
    assert_eq!(refusal, Err(FleetRefusal::Enrolled(vm(0), pool("web"))));
    let mut found = Breaches::new();
    let dc = |name: &str| name.parse::<DcName>().expect("a name");
    let docs = BTreeMap::from([(dc("a"), doc.clone()), (dc("b"), doc)]);
    verify::one_pool(&docs, &mut found);
    assert_eq!(
        found.iter().count(),
        5,
        "each VM has a record in two documents"
    );
}

fn step_of(kind: u8, index: u8, epoch: u64) -> VmEdit {
    let vm = vm(index % 6);
    let epoch = Epoch::new(epoch);
    match kind % 9 {
        0 => enrol(
            index % 6,
            if index.is_multiple_of(2) {
                "web"
            } else {
                "spare"
            },
        ),
        1 => VmEdit::Fail { vm },
        2 => VmEdit::Serve {
            vm,
            boots: epoch.get(),
        },
        3 => drain(index % 6, epoch.get()),
        4 => VmEdit::Drain {
            vm,
            permit: permit(epoch.get(), Purpose::Move { to: pool("spare") }),
            budget: BUDGET,
        },
        5 => VmEdit::Cancel { vm, epoch },
        6 => VmEdit::Reboot { vm, epoch },
        7 => VmEdit::Move { vm, epoch },
        _ => VmEdit::TakeOver {
            pool: pool("web"),
            holder: EntryId::new(1),
            epoch,
        },
    }
}

/// Whatever two holders, failures and repeated edits do, permits are given only within the budget.
fn budget_holds(steps: Vec<(u8, u8, u8, u8)>) -> bool {
    let budgets = BTreeMap::from([(pool("web"), BUDGET)]);
    let mut doc = fleet();
    let mut found = Breaches::new();
    for (kind, index, epoch, id) in steps {
        let before = doc.clone();
        let step = step_of(kind, index, u64::from(epoch % 4));
        let _ = doc.apply(EditId::new(100 + u128::from(id)), &[step]);
        verify::budget_step(&before, &doc, &budgets, &mut found);
        verify::budget(&doc, &budgets, &mut found);
    }
    found.is_empty()
}

#[test]
fn budget_any_steps() {
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(80, 3))
        .quickcheck(budget_holds as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}
