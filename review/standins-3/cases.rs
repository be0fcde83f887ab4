//! The cases: what the clients, the operator and the platform do, and the rule that is checked.

use std::path::Path;
use std::time::Duration;

use crate::advice::Times;
use crate::deployment::{Deployment, config, route};
use crate::json::Json;
use crate::minion::Place;
use crate::world::RunRecord;

/// What was seen that breaks the rule, if anything.
type Verdict = Result<Option<String>, String>;

/// Bounds of the settings, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
const HARM_MS: u64 = 4_000;
const FINISH_MS: u64 = 14_000;

/// A task that lasts is judged from this time after its last run on, and must then have had nothing running for [`IDLE_MS`].
const LASTING_GRACE_MS: u64 = 6_000;
const IDLE_MS: u64 = 3_000;

pub fn run(case: &str, record: &Path, has_trouble: bool) -> Verdict {
    match case {
        "renamed-queue" => renamed_queue(record, has_trouble),
        "stale-share" => stale_share(record, has_trouble),
        "advice-burst" => advice_burst(record, has_trouble),
        "deadly-service" => deadly_service(record, has_trouble),
        "held-minions" => held_minions(record, has_trouble),
        "late-predecessor" => late_predecessor(record, has_trouble),
        "moved-queue" => moved_queue(record, has_trouble),
        "lowered-cap" => lowered_cap(record, has_trouble),
        "oversized-job" => oversized_job(record, has_trouble),
        "failing-service" => failing_service(record, has_trouble),
        "lost-pace" => lost_pace(record, has_trouble),
        _ => Err("there is no such case".to_owned()),
    }
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn place<'a>(id: &'a str, service: &'a str, kind: &'a str, rack: &'a str) -> Place<'a> {
    Place {
        id,
        service,
        zone: "zone-a",
        kind,
        rack,
        cpu: 16_000,
        mem_mb: 32_768,
    }
}

fn job(spec: &str, step: &[(&str, Json)]) -> Json {
    Json::object(&[
        ("spec", Json::text(spec)),
        ("steps", Json::List(vec![Json::object(step)])),
    ])
}

fn step(count: u64, cpu: u64, mem_mb: u64, estimate_ms: u64) -> Vec<(&'static str, Json)> {
    vec![
        ("count", Json::int(count)),
        ("cpu", Json::int(cpu)),
        ("memMb", Json::int(mem_mb)),
        ("estimateMs", Json::int(estimate_ms)),
    ]
}

/// The operator gives a queue another name. Its host, its prefix and its service stay.
fn renamed_queue(record: &Path, has_trouble: bool) -> Verdict {
    let tenants = [("tenant-1", "key-1", 0, 0)];
    let first = config(
        1,
        &[route("plans", "/plans/", "alpha", 3_000)],
        &["alpha"],
        &tenants,
    );
    let name = if has_trouble { "plans-2" } else { "plans" };
    let second = config(
        2,
        &[route(name, "/plans/", "alpha", 2_500)],
        &["alpha"],
        &tenants,
    );
    let places = [
        place("i-1", "alpha", "a", "r1"),
        place("i-2", "alpha", "a", "r1"),
        place("i-3", "alpha", "a", "r2"),
    ];
    let deployment = Deployment::start(record, &first, &places)?;
    let (done, lasting) = ("00000000000000a1", "00000000000000a2");
    let short = job("run_ms=400", &step(2, 1_000, 256, 400));
    let mut lasts = step(2, 1_000, 256, 500);
    lasts.push(("longRunning", Json::Bool(true)));
    if !deployment.submit(0, "/plans/", lasting, &job("lasts", &lasts))
        || !deployment.submit(0, "/plans/", done, &short)
        || !deployment.wait_state(
            1,
            &format!("/plans/{done}"),
            "completed",
            Duration::from_secs(10),
        )
    {
        return Err("the jobs were not accepted and completed before the change".to_owned());
    }
    sleep_ms(1_500);
    let acked_ms = deployment.write_config(&second, &format!("the queue's name is {name}"));
    sleep_ms(CONFIG_APPLY_MS + 1_500);
    let shown: Vec<_> = (0..3)
        .filter_map(|entry| deployment.call(entry, "GET", &format!("/plans/{lasting}"), ""))
        .collect();
    // The request that arrives once more, seconds after its 2xx.
    deployment.call(2, "POST", &format!("/plans/{done}"), &short.write());
    let cancelled = deployment.call(1, "DELETE", &format!("/plans/{lasting}"), "");
    sleep_ms(8_000);
    let runs = deployment.world.runs().clone();
    let mut broken = Vec::new();
    for again in runs.iter().filter(|run| run.job() == done) {
        let is_earlier = |run: &&RunRecord| {
            let ended = run.ended.as_ref().filter(|(_, how)| how == "done");
            run.task == again.task
                && run.noted_ms.is_some()
                && ended.is_some_and(|(at_ms, _)| *at_ms < again.began_ms)
        };
        if let Some(earlier) = runs.iter().find(is_earlier) {
            broken.push(format!(
                "TWICE: {} run {} began at {} ms, though run {} had ended done and that was taken note of at {} ms",
                again.task,
                again.run,
                again.began_ms,
                earlier.run,
                earlier.noted_ms.unwrap_or_default()
            ));
        }
    }
    let gone = shown.iter().filter(|(status, _)| *status == 410).count();
    if gone > 0 {
        broken.push(format!(
            "LOST: GET of an accepted job that nobody had cancelled was answered 410 by {gone} entries"
        ));
    }
    let is_acked = cancelled.is_some_and(|(status, _)| status == 410 || status / 100 == 2);
    let still_running = runs
        .iter()
        .any(|run| run.job() == lasting && run.ended.is_none());
    if is_acked && still_running {
        broken.push(
            "UNASKED: tasks run on 8 s after their job's cancelling was acknowledged".to_owned(),
        );
    }
    for line in &broken {
        deployment.world.note(line);
    }
    deployment
        .world
        .note(&format!("configuration acknowledged at {acked_ms} ms"));
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// The operator lowers the cap of a tenant that has a steady trickle of work in one pool and much in another.
fn stale_share(record: &Path, has_trouble: bool) -> Verdict {
    const CAP: u64 = 40_000;
    const LOWERED: u64 = 24_000;
    const OVERAGE_PERCENT: u64 = 110;
    const TASK_CPU: u64 = 1_000;
    let routes = [
        route("small", "/small/", "alpha", 3_000),
        route("large", "/large/", "beta", 3_000),
    ];
    let pools = ["alpha", "beta"];
    let with_cap =
        |version, cap| config(version, &routes, &pools, &[("tenant-1", "key-1", cap, 0)]);
    let places = [
        place("i-1", "alpha", "a", "r1"),
        place("i-2", "alpha", "a", "r1"),
        place("i-3", "beta", "a", "r2"),
        place("i-4", "beta", "a", "r2"),
        place("i-5", "beta", "a", "r3"),
    ];
    let deployment = Deployment::start(record, &with_cap(1, CAP), &places)?;
    let mut sent = 0_u64;
    let mut trickle = |for_ms: u64| {
        let until_ms = deployment.world.ms() + for_ms;
        while deployment.world.ms() < until_ms {
            let began_ms = deployment.world.ms();
            sent += 1;
            let small = job("run_ms=450", &step(1, TASK_CPU, 128, 450));
            deployment.submit(sent as usize, "/small/", &format!("{sent:016x}"), &small);
            sleep_ms(250_u64.saturating_sub(deployment.world.ms() - began_ms));
        }
    };
    trickle(4_000);
    let mut lasts = step(6, 5_000, 512, 500);
    lasts.push(("longRunning", Json::Bool(true)));
    if !deployment.submit(1, "/large/", "00000000000b0001", &job("lasts", &lasts)) {
        return Err("the job that lasts was not accepted".to_owned());
    }
    trickle(5_000);
    let cap = if has_trouble { LOWERED } else { CAP };
    let acked_ms =
        deployment.write_config(&with_cap(2, cap), &format!("the tenant's cap is {cap}"));
    trickle(25_000);
    let bound = cap * OVERAGE_PERCENT / 100 + TASK_CPU;
    let runs = deployment.world.runs().clone();
    let judged = runs
        .iter()
        .filter(|run| run.began_ms > acked_ms + CONFIG_APPLY_MS);
    let over: Vec<_> = judged.filter(|run| run.tenant_cpu > bound).collect();
    Ok(over.first().map(|first| {
        format!(
            "QUOTA: {} starts later than {CONFIG_APPLY_MS} ms after the acknowledgement, of which the first was at {} ms after \
             it and brought the tenant to {} thousandths of a core; cap {cap}, bound {bound}",
            over.len(),
            first.began_ms - acked_ms,
            first.tenant_cpu
        )
    }))
}

/// The operator lowers the cap of a tenant that has a backlog in one pool.
fn lowered_cap(record: &Path, has_trouble: bool) -> Verdict {
    const CAP: u64 = 12_000;
    const LOWERED: u64 = 4_000;
    const OVERAGE_PERCENT: u64 = 110;
    const TASK_CPU: u64 = 1_000;
    let routes = [route("batch", "/batch/", "alpha", 3_000)];
    let with_cap = |version, cap| {
        config(
            version,
            &routes,
            &["alpha"],
            &[("tenant-1", "key-1", cap, 0)],
        )
    };
    let places = [
        place("i-1", "alpha", "a", "r1"),
        place("i-2", "alpha", "a", "r1"),
        place("i-3", "alpha", "a", "r2"),
    ];
    let deployment = Deployment::start(record, &with_cap(1, CAP), &places)?;
    for number in 1..=6_u64 {
        let run_ms = 350 + 50 * number;
        let batch = job(
            &format!("run_ms={run_ms}"),
            &step(100, TASK_CPU, 128, run_ms),
        );
        if !deployment.submit(
            number as usize,
            "/batch/",
            &format!("{number:016x}"),
            &batch,
        ) {
            return Err("a job was not accepted".to_owned());
        }
    }
    sleep_ms(3_000);
    let cap = if has_trouble { LOWERED } else { CAP };
    let acked_ms =
        deployment.write_config(&with_cap(2, cap), &format!("the tenant's cap is {cap}"));
    sleep_ms(12_000);
    let bound = cap * OVERAGE_PERCENT / 100 + TASK_CPU;
    let runs = deployment.world.runs().clone();
    let judged = || {
        runs.iter()
            .filter(|run| run.began_ms > acked_ms + CONFIG_APPLY_MS)
    };
    let over: Vec<_> = judged().filter(|run| run.tenant_cpu > bound).collect();
    let (count, of) = (over.len(), judged().count());
    let most = over
        .iter()
        .map(|run| run.tenant_cpu)
        .max()
        .unwrap_or_default();
    deployment.world.note(&format!(
        "{count} of {of} starts that are judged were above the bound of {bound}"
    ));
    Ok(over.last().map(|last| {
        format!(
            "QUOTA: {count} of {of} starts later than {CONFIG_APPLY_MS} ms after the acknowledgement brought the tenant above cap {cap} \
             and bound {bound}, up to {most} thousandths of a core; the last of them {} ms after it",
            last.began_ms - acked_ms
        )
    }))
}

/// The operator lowers the cap of a tenant. Then a job of it comes whose tasks are each larger than the new cap, and small ones after
/// it.
fn oversized_job(record: &Path, has_trouble: bool) -> Verdict {
    const CAP_MB: u64 = 40_000;
    const LOWERED_MB: u64 = 12_000;
    const TASK_MB: u64 = 500;
    let routes = [
        route("alpha-queue", "/a/", "alpha", 3_000),
        route("beta-queue", "/b/", "beta", 3_000),
    ];
    let pools = ["alpha", "beta"];
    let with_cap = |version, cap| {
        config(
            version,
            &routes,
            &pools,
            &[("tenant-1", "key-1", 40_000, cap)],
        )
    };
    let places = [
        place("i-1", "alpha", "a", "r1"),
        place("i-2", "alpha", "a", "r1"),
        place("i-3", "alpha", "a", "r2"),
        place("i-4", "beta", "a", "r2"),
        place("i-5", "beta", "a", "r3"),
    ];
    let deployment = Deployment::start(record, &with_cap(1, CAP_MB), &places)?;
    let small = job("run_ms=300", &step(1, 1_000, TASK_MB, 300));
    let send = |numbers: std::ops::RangeInclusive<u64>| {
        let mut paths = Vec::new();
        for number in numbers {
            let prefix = if number % 2 == 0 { "/a/" } else { "/b/" };
            let id = format!("{number:016x}");
            if !deployment.submit(number as usize, prefix, &id, &small) {
                return Err("a small job was not accepted".to_owned());
            }
            paths.push((id.clone(), format!("{prefix}{id}")));
            sleep_ms(200);
        }
        Ok(paths)
    };
    send(1..=6)?;
    let cap = if has_trouble { LOWERED_MB } else { CAP_MB };
    deployment.write_config(&with_cap(2, cap), &format!("the tenant's cap is {cap} MB"));
    sleep_ms(5_000);
    let large = job("run_ms=1000", &step(12, 200, 16_000, 1_000));
    if !deployment.submit(0, "/a/", "00000000000a0001", &large) {
        return Err("the large job was not accepted".to_owned());
    }
    sleep_ms(1_000);
    let paths = send(7..=12)?;
    deployment.world.note("the traffic ends");
    sleep_ms(FINISH_MS);
    let has_begun = |id: &str| deployment.world.runs().iter().any(|run| run.job() == id);
    let idle: Vec<_> = paths.iter().filter(|(id, _)| !has_begun(id)).collect();
    let running = || -> u64 {
        deployment
            .minions
            .iter()
            .map(|minion| minion.used().1)
            .sum()
    };
    // The condition of the rule holds for IDLE_MS: the tenant has under half of its cap, and the minions are under half full.
    let mut most_mb = 0;
    for _ in 0..IDLE_MS / 100 {
        most_mb = most_mb.max(running());
        sleep_ms(100);
    }
    let mut waiting = Vec::new();
    for (id, path) in idle {
        deployment.call(0, "GET", path, "");
        if !has_begun(id) {
            waiting.push(path.clone());
        }
    }
    deployment.world.note(&format!(
        "at most {most_mb} MB were in use on all minions in the last {IDLE_MS} ms"
    ));
    let is_judged = (most_mb + TASK_MB) * 2 < cap && most_mb * 2 < 2 * 32_768;
    Ok((!waiting.is_empty() && is_judged).then(|| {
        format!(
            "LOST: {} ms after the end of the traffic {} accepted jobs have had nothing running: {}; their tenant has had at most \
             {most_mb} MB of its cap of {cap} MB running, and each task needs {TASK_MB} MB and one core",
            FINISH_MS + IDLE_MS,
            waiting.len(),
            waiting.join(" ")
        )
    }))
}

/// The operator moves a queue from a full service to an empty one while jobs of the queue wait.
fn moved_queue(record: &Path, has_trouble: bool) -> Verdict {
    const TASK_CPU: u64 = 2_000;
    let other = route("watch", "/watch/", "alpha", 3_000);
    let with_service = |version, service| {
        let routes = [other.clone(), route("plans", "/plans/", service, 3_000)];
        config(
            version,
            &routes,
            &["alpha", "beta"],
            &[("tenant-1", "key-1", 0, 0)],
        )
    };
    let places = [
        place("i-1", "alpha", "a", "r1"),
        place("i-2", "alpha", "a", "r1"),
        place("i-3", "beta", "a", "r2"),
        place("i-4", "beta", "a", "r2"),
        place("i-5", "beta", "a", "r3"),
    ];
    let deployment = Deployment::start(record, &with_service(1, "alpha"), &places)?;
    let mut lasts = step(8, 4_000, 512, 500);
    lasts.push(("longRunning", Json::Bool(true)));
    if !deployment.submit(0, "/watch/", "00000000000000e0", &job("lasts", &lasts)) {
        return Err("the job that lasts was not accepted".to_owned());
    }
    sleep_ms(2_000);
    if deployment.world.runs().len() != 8 {
        return Err("the first service is not full".to_owned());
    }
    let batch = job("run_ms=500", &step(2, TASK_CPU, 256, 500));
    let mut ids = Vec::new();
    for number in 1..=4_u64 {
        let id = format!("{number:016x}");
        if !deployment.submit(number as usize, "/plans/", &id, &batch) {
            return Err("a job was not accepted".to_owned());
        }
        ids.push(id);
    }
    sleep_ms(1_000);
    let service = if has_trouble { "beta" } else { "alpha" };
    deployment.write_config(
        &with_service(2, service),
        &format!("the queue's service is {service}"),
    );
    sleep_ms(4_000);
    let later = "00000000000000e9";
    if !deployment.submit(1, "/plans/", later, &batch) {
        return Err("the later job was not accepted".to_owned());
    }
    deployment.world.note("the traffic ends");
    sleep_ms(FINISH_MS + IDLE_MS);
    let mut waiting = Vec::new();
    for id in &ids {
        let path = format!("/plans/{id}");
        deployment.call(0, "GET", &path, "");
        if !deployment.world.runs().iter().any(|run| run.job() == id) {
            waiting.push(path);
        }
    }
    let of_service = deployment
        .minions
        .iter()
        .filter(|minion| minion.service() == service);
    let (cpu, used) = of_service.fold((0, 0), |(cpu, used), minion| {
        (cpu + 16_000, used + minion.used().0)
    });
    deployment.world.note(&format!(
        "{used} of {cpu} thousandths of a core of {service} are in use"
    ));
    let has_room = used * 2 < cpu && cpu - used >= 2 * TASK_CPU;
    Ok((!waiting.is_empty() && has_room).then(|| {
        format!(
            "LOST: {} ms after the end of the traffic {} accepted jobs have had nothing running: {}; {used} of {cpu} thousandths of a \
             core of the service that the queue names are in use",
            FINISH_MS + IDLE_MS,
            waiting.len(),
            waiting.join(" ")
        )
    }))
}

/// More jobs come for some seconds on a queue whose placement needs advice, and then as many as before.
fn advice_burst(record: &Path, has_trouble: bool) -> Verdict {
    const TIMES: Times = Times {
        decision_ms: 200,
        each_ms: 20,
        valid_ms: 3_000,
    };
    /// The time between two jobs: the service decides about a step of 12 minions in 440 ms.
    const EVERY_MS: u64 = 680;
    const BURST_PERCENT: u64 = 260;
    let Json::Object(mut fields) = route("plans", "/plans/", "alpha", 3_000) else {
        return Err("a route is an object".to_owned());
    };
    fields.push(("advice".to_owned(), TIMES.to_json()));
    let first = config(
        1,
        &[Json::Object(fields)],
        &["alpha"],
        &[("tenant-1", "key-1", 0, 0)],
    );
    let ids: Vec<String> = (1..=12).map(|number| format!("i-{number:02}")).collect();
    let places: Vec<_> = ids.iter().map(|id| place(id, "alpha", "a", "r1")).collect();
    let deployment = Deployment::start_with_advice(record, &first, &places, Some(TIMES))?;
    let mut sent = Vec::new();
    let mut send = |for_ms: u64, every_ms: u64| {
        let until_ms = deployment.world.ms() + for_ms;
        let mut next_ms = deployment.world.ms();
        while deployment.world.ms() < until_ms {
            let id = format!("{:016x}", sent.len() + 1);
            let batch = job("run_ms=400", &step(2, 1_000, 256, 400));
            if deployment.submit(sent.len(), "/plans/", &id, &batch) {
                sent.push((id, deployment.world.ms()));
            }
            next_ms += every_ms;
            sleep_ms(next_ms.saturating_sub(deployment.world.ms()));
        }
    };
    send(10_000, EVERY_MS);
    let burst_ms = if has_trouble {
        EVERY_MS * 100 / BURST_PERCENT
    } else {
        EVERY_MS
    };
    deployment.world.note(&format!("a job every {burst_ms} ms"));
    send(4_000, burst_ms);
    deployment.world.note(&format!("a job every {EVERY_MS} ms"));
    send(30_000, EVERY_MS);
    deployment.world.note("the traffic ends");
    sleep_ms(FINISH_MS + IDLE_MS);
    let runs = deployment.world.runs().clone();
    let waiting: Vec<_> = sent
        .iter()
        .filter(|(id, _)| !runs.iter().any(|run| run.job() == id))
        .collect();
    let used: u64 = deployment
        .minions
        .iter()
        .map(|minion| minion.used().0)
        .sum();
    let last = runs
        .iter()
        .map(|run| run.began_ms)
        .max()
        .unwrap_or_default();
    let calls = deployment
        .world
        .advice
        .get()
        .map_or(0, crate::advice::Advice::served);
    deployment.world.note(&format!(
        "{} of {} jobs have had nothing running; the last run began at {last} ms; {calls} calls for advice were answered",
        waiting.len(),
        sent.len()
    ));
    if let Some((id, _)) = waiting.first() {
        deployment.call(0, "GET", &format!("/plans/{id}"), "");
    }
    let has_room = used * 2 < 12 * 16_000;
    Ok((!waiting.is_empty() && has_room).then(|| {
        format!(
            "LOST: {} ms after the end of the traffic {} of {} accepted jobs have had nothing running; the last run began at {last} ms, \
             and {used} of 192000 thousandths of a core are in use",
            FINISH_MS + IDLE_MS,
            waiting.len(),
            sent.len()
        )
    }))
}

/// A task that lasts crashes each minion that starts it, 1.2 s after its start.
fn deadly_service(record: &Path, has_trouble: bool) -> Verdict {
    const STARTS_AFTER_THREE: usize = 3;
    let routes = [route("watch", "/watch/", "alpha", 3_000)];
    let first = config(1, &routes, &["alpha"], &[("tenant-1", "key-1", 0, 0)]);
    let ids = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    let places: Vec<_> = ids.iter().map(|id| place(id, "alpha", "a", "r1")).collect();
    let deployment = Deployment::start(record, &first, &places)?;
    let mut lasts = step(12, 1_000, 512, 500);
    lasts.push(("longRunning", Json::Bool(true)));
    let mut deadly = step(1, 1_000, 512, 500);
    deadly.push(("longRunning", Json::Bool(true)));
    let spec = if has_trouble {
        "crash_ms=1200"
    } else {
        "lasts"
    };
    let id = "00000000000000f1";
    if !deployment.submit(0, "/watch/", "00000000000000f0", &job("lasts", &lasts))
        || !deployment.submit(1, "/watch/", id, &job(spec, &deadly))
    {
        return Err("a job was not accepted".to_owned());
    }
    sleep_ms(60_000);
    let shown = deployment.call(0, "GET", &format!("/watch/{id}"), "");
    let crashes: u64 = deployment
        .minions
        .iter()
        .map(|minion| minion.crashes())
        .sum();
    let runs = deployment.world.runs().clone();
    let of_task: Vec<_> = runs.iter().filter(|run| run.job() == id).collect();
    let lost = of_task.iter().filter_map(|run| {
        let (at_ms, how) = run.ended.as_ref()?;
        (how == "lost with its minion").then_some(*at_ms)
    });
    let third_ms = lost.clone().nth(2);
    let after = of_task
        .iter()
        .filter(|run| third_ms.is_some_and(|third_ms| run.began_ms > third_ms))
        .count();
    let others = runs.iter().filter(|run| run.job() != id);
    let others_lost = others.filter(|run| run.ended.is_some()).count();
    deployment.world.note(&format!(
        "{crashes} crashes; {after} starts of the task after the third; {others_lost} runs of the other job were lost; shown as {shown:?}"
    ));
    Ok((after >= STARTS_AFTER_THREE).then(|| {
        format!(
            "BUDGET: the task was started {after} times more after three minions had crashed under it; {crashes} crashes in 60 s, \
             by which {others_lost} runs of another job were lost"
        )
    }))
}

/// The one minion with a label is lost for good while tasks that require the label have just begun there.
fn held_minions(record: &Path, has_trouble: bool) -> Verdict {
    let routes = [
        route("labelled", "/labelled/", "alpha", 3_000),
        route("plain", "/plain/", "alpha", 3_000),
    ];
    let first = config(1, &routes, &["alpha"], &[("tenant-1", "key-1", 0, 0)]);
    let ids = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"];
    let places: Vec<_> = ids
        .iter()
        .map(|id| place(id, "alpha", if *id == "i-7" { "b" } else { "a" }, "r1"))
        .collect();
    let deployment = Deployment::start(record, &first, &places)?;
    let mut sent = 0_u64;
    let mut labelled = |for_ms: u64| {
        let until_ms = deployment.world.ms() + for_ms;
        while deployment.world.ms() < until_ms {
            sent += 1;
            let mut step = step(8, 200, 256, 600);
            step.push(("requires", Json::text("b")));
            let id = format!("{sent:016x}");
            deployment.submit(sent as usize, "/labelled/", &id, &job("run_ms=600", &step));
            sleep_ms(100);
        }
    };
    labelled(5_000);
    if has_trouble {
        deployment.minions[6].crash_for_good(&deployment.store);
    }
    labelled(1_000);
    sleep_ms(8_000);
    let plain = job("run_ms=300", &step(1, 1_000, 256, 300));
    let mut paths = Vec::new();
    for number in 1..=6_u64 {
        let id = format!("00000000000000{number:02x}");
        let id = id.replace("00000000000000", "000000000000a0");
        if !deployment.submit(number as usize, "/plain/", &id, &plain) {
            return Err("a job was not accepted".to_owned());
        }
        paths.push((id.clone(), format!("/plain/{id}")));
        sleep_ms(200);
    }
    deployment.world.note("the traffic ends");
    sleep_ms(FINISH_MS + IDLE_MS);
    let runs = deployment.world.runs().clone();
    let mut waiting = Vec::new();
    for (id, path) in &paths {
        deployment.call(0, "GET", path, "");
        if !runs.iter().any(|run| run.job() == id) {
            waiting.push(path.clone());
        }
    }
    let used: u64 = deployment
        .minions
        .iter()
        .map(|minion| minion.used().0)
        .sum();
    deployment.world.note(&format!(
        "{used} of 96000 thousandths of a core of the six minions that are up are in use"
    ));
    Ok((!waiting.is_empty() && used * 2 < 96_000).then(|| {
        format!(
            "LOST: {} ms after the end of the traffic {} accepted jobs that require nothing have had nothing running: {}; {used} of \
             96000 thousandths of a core of the six minions that are up are in use",
            FINISH_MS + IDLE_MS,
            waiting.len(),
            waiting.join(" ")
        )
    }))
}

/// Starts of a scheduler that is killed are carried out late, by the next life of their minion, after its successor has started the
/// tasks elsewhere.
fn late_predecessor(record: &Path, has_trouble: bool) -> Verdict {
    let routes = [
        route("watch", "/watch/", "alpha", 3_000),
        route("plans", "/plans/", "alpha", 3_000),
    ];
    let first = config(1, &routes, &["alpha"], &[("tenant-1", "key-1", 0, 0)]);
    let ids = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"];
    let places: Vec<_> = ids.iter().map(|id| place(id, "alpha", "a", "r1")).collect();
    let mut deployment = Deployment::start(record, &first, &places)?;
    let mut fills = step(5, 16_000, 512, 500);
    fills.push(("longRunning", Json::Bool(true)));
    fills.push(("antiAffinity", Json::int(1)));
    let mut part = step(1, 4_000, 512, 500);
    part.push(("longRunning", Json::Bool(true)));
    let short = job("run_ms=1300", &step(3, 4_000, 256, 1_300));
    let id = "0000000000000123";
    let tasks = job("run_ms=6000", &step(10, 1_000, 256, 6_000));
    let sent = deployment.submit(0, "/watch/", "00000000000000a1", &job("lasts", &fills));
    sleep_ms(1_500);
    let sent = sent && deployment.submit(0, "/watch/", "00000000000000a2", &job("lasts", &part));
    // Clocks of the minions' lives differ by more than a start's time.
    sleep_ms(8_000);
    let sent = sent && deployment.submit(0, "/plans/", "00000000000000a3", &short);
    sleep_ms(300);
    let target = deployment
        .minions
        .iter()
        .position(|minion| minion.used().0 == 0);
    let Some(target) = target.filter(|_| sent) else {
        return Err("no minion is idle, or a job was not accepted".to_owned());
    };
    if has_trouble {
        deployment.minions[target]
            .late_ms
            .store(2_600, std::sync::atomic::Ordering::SeqCst);
    }
    if !deployment.submit(0, "/plans/", id, &tasks) {
        return Err("the job was not accepted".to_owned());
    }
    sleep_ms(300);
    if has_trouble && !deployment.kill_leader("alpha") {
        return Err("no entry schedules the pool".to_owned());
    }
    deployment.minions[target]
        .late_ms
        .store(0, std::sync::atomic::Ordering::SeqCst);
    sleep_ms(3_000);
    if has_trouble {
        deployment.minions[target].crash_for(Duration::from_millis(300));
    }
    sleep_ms(12_000);
    let runs = deployment.world.runs().clone();
    let of_job: Vec<_> = runs.iter().filter(|run| run.job() == id).collect();
    let end_ms = |run: &RunRecord| run.ended.as_ref().map_or(u64::MAX, |(at_ms, _)| *at_ms);
    let mut double = Vec::new();
    for (at, one) in of_job.iter().enumerate() {
        let overlapping = of_job[at + 1..].iter().find(|other| {
            other.task == one.task && other.began_ms < end_ms(one) && one.began_ms < end_ms(other)
        });
        if let Some(other) = overlapping {
            double.push(format!(
                "{} run {} on {} from {} ms and run {} on {} from {} ms",
                one.task,
                one.run,
                one.minion,
                one.began_ms,
                other.run,
                other.minion,
                other.began_ms
            ));
        }
    }
    for line in &double {
        deployment.world.note(&format!("two runs at once: {line}"));
    }
    Ok(double.first().map(|first| {
        format!(
            "TWICE: {} tasks had two runs at the same time, on minions that are up; the first: {first}",
            double.len()
        )
    }))
}

/// Tasks that last fail now and then. The minions that have the label that they require are otherwise idle.
fn failing_service(record: &Path, has_trouble: bool) -> Verdict {
    let routes = [route("watch", "/watch/", "alpha", 3_000)];
    let first = config(1, &routes, &["alpha"], &[("tenant-1", "key-1", 0, 0)]);
    let places = [
        place("i-1", "alpha", "a", "r1"),
        place("i-2", "alpha", "a", "r1"),
        place("i-3", "alpha", "b", "r2"),
    ];
    let deployment = Deployment::start(record, &first, &places)?;
    let spec = if has_trouble { "fail_ms=8000" } else { "lasts" };
    let ids = ["00000000000000c1", "00000000000000c2"];
    for id in ids {
        let mut lasts = step(1, 1_000, 512, 500);
        lasts.push(("longRunning", Json::Bool(true)));
        lasts.push(("requires", Json::text("b")));
        if !deployment.submit(0, "/watch/", id, &job(spec, &lasts)) {
            return Err("a job was not accepted".to_owned());
        }
        sleep_ms(4_000);
    }
    sleep_ms(85_000);
    let end_ms = deployment.world.ms();
    let runs = deployment.world.runs().clone();
    let mut worst = (0, String::new(), 0);
    for id in ids {
        let of_job: Vec<_> = runs.iter().filter(|run| run.job() == id).collect();
        for (at, run) in of_job.iter().enumerate() {
            let Some((ended_ms, _)) = &run.ended else {
                continue;
            };
            let next_ms = of_job.get(at + 1).map_or(end_ms, |next| next.began_ms);
            let gap_ms = next_ms.saturating_sub(*ended_ms);
            if gap_ms > worst.0 {
                worst = (gap_ms, run.task.clone(), *ended_ms);
            }
        }
    }
    let (gap_ms, task, ended_ms) = worst;
    deployment.world.note(&format!(
        "the longest time without a run was {gap_ms} ms, of {task} from {ended_ms} ms on"
    ));
    Ok((gap_ms > LASTING_GRACE_MS + IDLE_MS).then(|| {
        format!(
            "LOST: {task}, which lasts, had nothing running for {gap_ms} ms from {ended_ms} ms on, while the minion with the \
             label that it requires was up and had room for 15 more"
        )
    }))
}

/// A minion is cut off for less than two seconds while a task that fills is being slowed down there.
fn lost_pace(record: &Path, has_trouble: bool) -> Verdict {
    const DISTURBANCE_MS: u64 = 400;
    const CUT_AFTER_MS: u64 = 1_000;
    const CUT_MS: u64 = 1_600;
    let routes = [
        route("watch", "/watch/", "alpha", 3_000),
        route("fill", "/fill/", "alpha", 3_000),
    ];
    let first = config(1, &routes, &["alpha"], &[("tenant-1", "key-1", 0, 0)]);
    let ids = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    let places: Vec<_> = ids.iter().map(|id| place(id, "alpha", "a", "r1")).collect();
    let deployment = Deployment::start(record, &first, &places)?;
    let mut serves = step(6, 2_000, 512, 500);
    serves.push(("longRunning", Json::Bool(true)));
    serves.push(("antiAffinity", Json::int(1)));
    serves.push(("targetMs", Json::int(100)));
    serves.push(("image", Json::text("serve")));
    let mut fills = step(6, 4_000, 512, 60_000);
    fills.push(("fills", Json::Bool(true)));
    fills.push(("antiAffinity", Json::int(1)));
    fills.push(("image", Json::text("fill")));
    if !deployment.submit(0, "/watch/", "00000000000000d1", &job("lasts", &serves))
        || !deployment.submit(
            1,
            "/fill/",
            "00000000000000d2",
            &job("run_ms=90000", &fills),
        )
    {
        return Err("the jobs were not accepted".to_owned());
    }
    sleep_ms(4_000);
    if deployment.world.runs().len() != 12 {
        return Err("not all tasks were started".to_owned());
    }
    let minion = &deployment.minions[2];
    minion
        .disturbance_ms
        .store(DISTURBANCE_MS, std::sync::atomic::Ordering::SeqCst);
    deployment.world.note(&format!(
        "on {}, the task that fills now disturbs the one that serves",
        minion.id
    ));
    while minion.paces_seen() == 0 {
        sleep_ms(5);
        if deployment.world.ms() > 60_000 {
            return Err("no order on pace came".to_owned());
        }
    }
    sleep_ms(CUT_AFTER_MS);
    if has_trouble {
        deployment.world.note(&format!("{} is cut off", minion.id));
        minion.link.set_cut(true);
        sleep_ms(CUT_MS);
        minion.link.set_cut(false);
        deployment
            .world
            .note(&format!("{} is reached again", minion.id));
    } else {
        sleep_ms(CUT_MS);
    }
    sleep_ms(CONTACT_MS);
    minion.count_over_target();
    sleep_ms(20_000);
    let over_ms = minion.over_target_longest_ms();
    let lapsed = deployment
        .world
        .runs()
        .iter()
        .filter(|run| run.ended.is_some())
        .count();
    deployment.world.note(&format!(
        "longest time over the target on end: {over_ms} ms; {lapsed} runs have ended"
    ));
    Ok((over_ms >= HARM_MS).then(|| {
        format!(
            "HARM: later than {CONTACT_MS} ms after the cut the task that serves on {} was over its target for {over_ms} ms on end, \
             and the task that fills worked on beside it",
            minion.id
        )
    }))
}
