//! The commands of the README's tour, run as they stand there against the stage of the demonstration.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use goldcrest_ctl::Output;
use goldcrest_ctl::exit::Exit;
use goldcrest_demo::story::setup::Stage;
use goldcrest_demo::story::{LOOK_INTERVAL, STEP_TIMEOUT};
use goldcrest_ports::http::HttpCaller;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::time::{Instant, sleep};

struct Addresses {
    caller: SocketAddr,
    tasks: SocketAddr,
    operator: SocketAddr,
}

impl Addresses {
    fn of(stage: &Stage) -> Self {
        let (_, _, addresses) = stage.lab.entries().next().expect("an entry runs");
        Self {
            caller: addresses.caller,
            tasks: addresses.task,
            operator: addresses.operator,
        }
    }

    fn fill(&self, line: &str) -> String {
        line.replace("$CALLER", &self.caller.to_string())
            .replace("$TASKS", &self.tasks.to_string())
    }
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The lines of the tour's second block of commands.
fn tour() -> Vec<String> {
    let readme = fs::read_to_string(root().join("README.md")).expect("there is a README");
    let (_, tour) = readme.split_once("## A first tour").expect("it has a tour");
    let block = tour.split("```").nth(3).expect("it has commands");
    block
        .lines()
        .filter(|line| !line.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Splits a line as a shell does, with single quotes.
fn words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

/// Runs a line that begins with `ctl` and returns how it ended and what it printed.
async fn ctl(line: &str, operator: SocketAddr) -> (Exit, String) {
    let examples = root().join("examples");
    let args = words(line).into_iter().skip(1).map(|word| {
        let file = word
            .strip_prefix("examples/")
            .map(|name| examples.join(name));
        file.map_or_else(|| OsString::from(&word), OsString::from)
    });
    let entry = ["--entry".into(), operator.to_string().into()];
    let args = entry.into_iter().chain(args).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut output = Output {
        out: &mut out,
        err: &mut err,
    };
    let exit = goldcrest_ctl::run(args, Some("first".into()), &mut output).await;
    let told = [out, err].concat();
    (exit, String::from_utf8(told).expect("it prints text"))
}

/// Runs a line that begins with `curl` and returns the status, with the headers and body.
async fn curl(line: &str) -> (u16, String) {
    let mut headers = HeaderMap::new();
    let mut body = None;
    let mut url = None;
    let mut words = words(line).into_iter().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "-i" => {}
            "-H" => {
                let header = words.next().expect("a header");
                let (name, value) = header.split_once(": ").expect("a header");
                let name = HeaderName::try_from(name).expect("a name");
                headers.insert(name, HeaderValue::try_from(value).expect("a value"));
            }
            "-d" => body = words.next(),
            address => url = address.strip_prefix("http://").map(str::to_owned),
        }
    }
    let url = url.expect("an address");
    let (address, path) = url.split_once('/').expect("a path");
    let method = if body.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let body = Bytes::from(body.unwrap_or_default());
    let address = address.parse().expect("an address");
    let http = HttpCaller::new(Duration::from_secs(20));
    let path = format!("/{path}");
    let answer = http.call(method, address, &path, headers, body, Duration::ZERO);
    let answer = answer.await.expect("an answer");
    let text = format!(
        "{:?} {}",
        answer.headers,
        String::from_utf8_lossy(&answer.body)
    );
    (answer.status.as_u16(), text)
}

/// What each line must come to, in the order of the README.
fn expected(line: &str, is_withdrawn: bool) -> &'static str {
    match line {
        _ if line.contains("/q/status/") => "200",
        _ if line.contains("/q/merge/") && is_withdrawn => "401",
        _ if line.contains("/q/merge/") => "200",
        _ if line.contains("/v1/tasks") => "202",
        _ => "Done",
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tour_commands_of_readme() {
    let stage = Stage::build().await.expect("the stage stands");
    let addresses = Addresses::of(&stage);
    let mut is_withdrawn = false;
    let mut count = 0;
    for line in tour() {
        let line = addresses.fill(&line);
        let (found, told) = if line.starts_with("ctl ") {
            let (exit, told) = ctl(&line, addresses.operator).await;
            (format!("{exit:?}"), told)
        } else if line.starts_with("curl ") {
            let (status, told) = curl(&line).await;
            (status.to_string(), told)
        } else {
            continue;
        };
        count += 1;
        assert_eq!(found, expected(&line, is_withdrawn), "{line}\n{told}");
        if found == "401" {
            assert!(
                told.contains("not-run") && told.contains("key-unknown"),
                "{told}"
            );
        }
        is_withdrawn |= line.contains("withdraw");
    }
    assert_eq!(count, 11, "the tour has another number of commands");
    stage.lab.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn ctl_errors_by_exit_code() {
    let stage = Stage::build().await.expect("the stage stands");
    let operator = Addresses::of(&stage).operator;
    let free = SocketAddr::from(([127, 0, 0, 1], 1));
    let cases = [
        (
            "ctl frobnicate",
            operator,
            Exit::Usage,
            "use one of check, diff",
        ),
        (
            "ctl diff",
            operator,
            Exit::Usage,
            "the catalogue's file is missing",
        ),
        ("ctl status surplus", operator, Exit::Usage, "not expected"),
        (
            "ctl check examples/settings.yaml",
            operator,
            Exit::Found,
            "line ",
        ),
        (
            "ctl check no-such-file",
            operator,
            Exit::Usage,
            "name a file that can be read",
        ),
        (
            "ctl diff examples/catalogue-lisbon.yaml",
            operator,
            Exit::Found,
            "merge",
        ),
        (
            "ctl key withdraw no-such-key",
            operator,
            Exit::Refused,
            "not granted",
        ),
        (
            "ctl key grant k-1 --team nobody",
            operator,
            Exit::Refused,
            "no team 'nobody'",
        ),
        (
            "ctl explain vm no-such-vm",
            operator,
            Exit::Refused,
            "no entry knows",
        ),
        ("ctl status", free, Exit::Unreachable, "--entry"),
    ];
    for (line, entry, wanted, told) in cases {
        let (exit, printed) = ctl(line, entry).await;
        assert_eq!(exit, wanted, "{line}\n{printed}");
        assert!(printed.contains(told), "{line}\n{printed}");
    }
    stage.lab.shut_down().await;
}

/// Runs a command until it tells `wanted`; the stage's longest wait bounds only a failing run.
async fn ctl_until(line: &str, operator: SocketAddr, wanted: &str) -> String {
    let started = Instant::now();
    loop {
        let (exit, told) = ctl(line, operator).await;
        let is_told = exit == Exit::Done && told.contains(wanted);
        if is_told || started.elapsed() > STEP_TIMEOUT {
            return told;
        }
        sleep(LOOK_INTERVAL).await;
    }
}

/// A task that is too large for every worker waits, and the operator is told why by the entry that schedules it.
#[tokio::test(flavor = "multi_thread")]
async fn ctl_explain_task_too_large() {
    let stage = Stage::build().await.expect("the stage stands");
    let addresses = Addresses::of(&stage);
    let body = r#"{"queue":"backfill","need":{"cpu_millis":900000,"memory_bytes":1000000},"run_ms":500,"payload":"x"}"#;
    let line = format!(
        "curl -i -H 'Authorization: Bearer guides-example' -d '{body}' http://$TASKS/v1/tasks"
    );
    let (status, told) = curl(&addresses.fill(&line)).await;
    assert_eq!(status, 202, "{told}");
    let (_, key) = told.split_once("\"key\":\"").expect("a key");
    let (key, _) = key.split_once('"').expect("a key");
    let explain = format!("ctl explain task {key}");
    // Before the team has slots here, that is the reason told.
    let found = ctl_until(&explain, addresses.operator, "larger worker").await;
    let (_, reason) = found
        .split_once("its scheduler says: ")
        .expect("its scheduler's reason");
    assert!(reason.contains("larger worker"), "{found}");
    let found = ctl_until("ctl status", addresses.operator, "%").await;
    let guides = found.lines().find(|line| line.starts_with("guides"));
    let percents = guides.map(|line| line.matches('%').count());
    assert_eq!(percents, Some(2), "{found}");
    stage.lab.shut_down().await;
}
