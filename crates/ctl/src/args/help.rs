//! The help texts.

const OVERVIEW: &str = "\
goldcrestctl: the operators' tool of goldcreststile

usage: goldcrestctl [--entry ADDRESS:PORT] [--key-file FILE] [--json] COMMAND ...

commands:
  check FILE                    check a catalogue, without asking an entry
  diff FILE                     show what apply would change
  apply FILE                    make FILE the catalogue in force, and wait until it is
  key grant NAME --team TEAM    grant a key; its secret is shown once
  key withdraw NAME             withdraw a key
  status                        show pools, budgets, waves, teams and the store
  explain SUBJECT ID            explain a request, task, vm, team or refusal
  trace --id ID FILE...         show the log lines about a job and what became of it, without asking an entry
  watch                         show the status whenever it changes

options:
  --entry ADDRESS:PORT          an entry's operators' address (default 127.0.0.1:7401)
  --key-file FILE               a file with the operator's key (default: GOLDCREST_KEY)
  --json                        print results as JSON
  -h, --help                    show this, or a command's own help

exit codes:
  0 done   1 errors or differences found   2 wrong command line   3 entry can't be reached
  4 refused, nothing changed   5 accepted, not in force everywhere in time   6 outcome unknown";

const CHECK: &str = "\
usage: goldcrestctl check FILE

Checks a catalogue and prints every error with its line and its remedy.
Exit code 1 if there is any.";

const DIFF: &str = "\
usage: goldcrestctl diff FILE

Shows what apply would change, one record a line.
Exit code 1 if there is a difference.";

const APPLY: &str = "\
usage: goldcrestctl apply FILE [--timeout SECONDS] [--edit-id ID]

Makes FILE the catalogue in force. Sends only the records that differ, so an edit of other records that is made
meanwhile stays. Waits until every entry works by it.

  --timeout SECONDS   how long to wait for that (default 30)
  --edit-id ID        the id of an earlier edit whose outcome is unknown; it is applied at most once";

const KEY: &str = "\
usage: goldcrestctl key grant NAME --team TEAM [--timeout SECONDS]
       goldcrestctl key withdraw NAME [--timeout SECONDS]

Grants a key to a team, or withdraws it. The secret is printed once and stored nowhere.";

const STATUS: &str = "\
usage: goldcrestctl status [--json]

Shows the entry, the store, each pool with its budget, the waves, and each team with its limit and what runs.";

const TRACE: &str = "\
usage: goldcrestctl trace --id ID FILE...

Reads the logs of entries, one file for each, and prints the lines about the job ID in order of time, what became of it, and
the reasons that the lines give: refusals, waits, lost and failed tasks, and around them the store and the pool's scheduler.
Exit code 1 if no line is about ID.";

const EXPLAIN: &str = "\
usage: goldcrestctl explain request ID
       goldcrestctl explain task KEY
       goldcrestctl explain vm NAME
       goldcrestctl explain team NAME
       goldcrestctl explain refusal CODE

Explains why something is as it is: the last decisions with their reasons.";

const WATCH: &str = "\
usage: goldcrestctl watch [--count N]

Shows the status whenever it changes, at most N times.";

/// Returns the help text of a command; the overview if it is `None` or unknown.
pub fn text(command: Option<&str>) -> &'static str {
    match command {
        Some("check") => CHECK,
        Some("diff") => DIFF,
        Some("apply") => APPLY,
        Some("key") => KEY,
        Some("status") => STATUS,
        Some("explain") => EXPLAIN,
        Some("trace") => TRACE,
        Some("watch") => WATCH,
        _ => OVERVIEW,
    }
}
