//! Checks every module under `spec`, and every variant with one rule less.

use std::path::Path;
use std::sync::Arc;
use std::thread;

use tla_checker::ast::Value;
use tla_checker::checker::{CheckResult, check, format_trace_with_actions};
use tla_checker::load::prepare_from_path;

/// The most states of one check. A model that grows past it fails.
const STATES_MAX: usize = 600_000;

/// A module, its constants, and the fewest states that its check has to explore.
struct Model {
    name: &'static str,
    sizes: &'static [(&'static str, i64)],
    rules: &'static [&'static str],
    states_min: usize,
}

fn constants(model: &Model, broken: Option<&str>) -> Vec<(Arc<str>, Value)> {
    let sizes = model.sizes.iter();
    let sizes = sizes.map(|(name, size)| (Arc::from(*name), Value::Int(*size)));
    let rules = model.rules.iter();
    let rules = rules.map(|rule| (Arc::from(*rule), Value::Bool(Some(*rule) != broken)));
    sizes.chain(rules).collect()
}

fn run(model: &Model, broken: Option<&str>) -> (CheckResult, Vec<Arc<str>>) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../spec");
    let path = root.join(format!("{}.tla", model.name));
    let prepared = prepare_from_path(&path, None, &constants(model, broken));
    let mut prepared = prepared.unwrap_or_else(|error| panic!("{}: {error}", model.name));
    prepared.checker_config.allow_deadlock = true;
    prepared.checker_config.max_states = STATES_MAX;
    prepared.checker_config.max_depth = 10_000;
    let result = check(&prepared.spec, &prepared.domains, &prepared.checker_config);
    (result, prepared.spec.vars)
}

/// The whole model holds, over at least as many states as it should have.
fn holds(model: &Model) {
    match run(model, None) {
        (CheckResult::Ok(stats), _) => {
            let explored = stats.states_explored;
            println!(
                "{}: {explored} states, {:.1} s",
                model.name, stats.elapsed_secs
            );
            assert!(
                explored >= model.states_min,
                "{}: {explored} states",
                model.name
            );
        }
        (CheckResult::InvariantViolation(found, _), vars) => {
            let trace = format_trace_with_actions(&found.trace, &found.actions, &vars);
            panic!(
                "{}: invariant {} is broken\n{trace}",
                model.name, found.violated_invariant
            );
        }
        (other, _) => panic!("{}: {other:?}", model.name),
    }
}

/// Without any one of its rules the model breaks an invariant.
fn needs_each_rule(model: &'static Model) {
    let threads = model
        .rules
        .iter()
        .map(|rule| thread::spawn(move || needs(model, rule)));
    let threads: Vec<_> = threads.collect();
    for checked in threads {
        assert!(checked.join().is_ok(), "{}: see above", model.name);
    }
}

fn needs(model: &Model, rule: &str) {
    match run(model, Some(rule)) {
        (CheckResult::InvariantViolation(found, stats), _) => {
            let (steps, explored) = (found.trace.len(), stats.states_explored);
            println!(
                "{} without {rule}: {steps} steps, {explored} states",
                model.name
            );
        }
        (CheckResult::Ok(stats), _) => {
            let explored = stats.states_explored;
            panic!("{} without {rule} holds over {explored} states", model.name);
        }
        (other, _) => panic!("{} without {rule}: {other:?}", model.name),
    }
}

static QUOTA: Model = Model {
    name: "Quota",
    sizes: &[("Limit", 2), ("Term", 1)],
    rules: &[
        "ReclaimWaits",
        "ChecksSession",
        "WaitsForGone",
        "FencesGiveBack",
    ],
    states_min: 20_000,
};

static TRANSFER: Model = Model {
    name: "Transfer",
    sizes: &[("Limit", 2), ("Moves", 1)],
    rules: &["NumbersMoves", "LowersFirst", "CountsFirst"],
    states_min: 2_700,
};

static FLEET: Model = Model {
    name: "Fleet",
    sizes: &[("Budget", 1)],
    rules: &["CountsFailed", "WaitsForBoot", "SwapsRecord"],
    states_min: 3_200,
};

static CATALOGUE: Model = Model {
    name: "Catalogue",
    sizes: &[],
    rules: &["ReadsBack", "OnlyRises"],
    states_min: 670,
};

static FRESHNESS: Model = Model {
    name: "Freshness",
    sizes: &[("Bound", 2)],
    rules: &["CountsTravel", "ChecksRevision", "NeedsAll"],
    states_min: 18_000,
};

static HOME: Model = Model {
    name: "Home",
    sizes: &[("Window", 1), ("Term", 2)],
    rules: &[
        "Remembers",
        "WaitsWindow",
        "WaitsForOthers",
        "WaitsSession",
        "ChecksSession",
        "CountsAsker",
        "VouchesByPast",
        "StopsFirst",
        "WaitsForClaims",
    ],
    states_min: 20_000,
};

static ROLE: Model = Model {
    name: "Role",
    sizes: &[("Term", 1), ("Takes", 3)],
    rules: &["WaitsSession", "ChecksSession", "RaisesEpoch", "Fences"],
    states_min: 1_900,
};

#[test]
fn quota_holds() {
    holds(&QUOTA);
}

#[test]
fn quota_needs_each_rule() {
    needs_each_rule(&QUOTA);
}

#[test]
fn transfer_holds() {
    holds(&TRANSFER);
}

#[test]
fn transfer_needs_each_rule() {
    needs_each_rule(&TRANSFER);
}

#[test]
fn fleet_holds() {
    holds(&FLEET);
}

#[test]
fn fleet_needs_each_rule() {
    needs_each_rule(&FLEET);
}

#[test]
fn catalogue_holds() {
    holds(&CATALOGUE);
}

#[test]
fn catalogue_needs_each_rule() {
    needs_each_rule(&CATALOGUE);
}

#[test]
fn freshness_holds() {
    holds(&FRESHNESS);
}

#[test]
fn freshness_needs_each_rule() {
    needs_each_rule(&FRESHNESS);
}

#[test]
fn home_holds() {
    holds(&HOME);
}

#[test]
fn home_needs_each_rule() {
    needs_each_rule(&HOME);
}

#[test]
fn role_holds() {
    holds(&ROLE);
}

#[test]
fn role_needs_each_rule() {
    needs_each_rule(&ROLE);
}
