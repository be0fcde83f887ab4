//! Workers that crash and are back before their holder notices: what they do then is done by an incarnation of which the
//! holder does not know.

use std::time::Duration;

use goldcrest_grid::calls::Reply;
use goldcrest_jobs::pool::Bounds;
use goldcrest_jobs::spec::JobState;
use tokio::time::{Instant, sleep};

use crate::common::{Bed, job, local};

const IDS: [&str; 3] = ["00000000000000a1", "00000000000000a2", "00000000000000a3"];

/// The leases that schedulers offer; workers grant longer ones.
const LEASE: Duration = Duration::from_secs(3);

/// How long the holder waits at most for the answer to a request that a worker leaves waiting.
const REQUEST_TIMEOUT_MS: u64 = 1_850;

/// How the registry shows a worker that is back and cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listed {
    /// As it was before the crash: it is cut off from the store as well.
    AsBefore,
    /// As it is.
    AsItIs,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Plays one holder and a worker that crashes, `phase_ms` into the waiting request, and is back before that request has timed
/// out. It gets starts that were meant for its earlier incarnation, answers them or, if they are `late`, not, and is cut off
/// until the tasks have ended there.
async fn play(listed: Listed, phase_ms: u64, late: Option<Duration>) {
    let bed = Bed::new(2);
    bed.bounds.set(Bounds {
        lease: LEASE,
        ..Bounds::default()
    });
    bed.start_all(&["e1", "e2"]).await;
    // The clocks of the workers advance.
    sleep(ms(10_000)).await;
    let holder = bed.holder();
    let other = if holder == "e1" { "e2" } else { "e1" };
    let crew = || bed.world.crew.borrow_mut();
    let set_reachable = |is_reachable| {
        for entry in ["e1", "e2"] {
            bed.world.set_reachable(entry, "w1", is_reachable);
        }
    };
    // All tasks go to the first worker.
    crew().set_capacity("w2", 500);
    sleep(ms(1_000 + phase_ms)).await;
    if listed == Listed::AsBefore {
        crew().set_registering("w1", false);
    }
    crew().crash_silently("w1", Instant::now());
    bed.world.set_late_commands(&holder, late);
    for id in IDS {
        let reply = bed.submit(other, id, job("ms=4000", &[1])).await;
        assert_eq!(reply, Reply::Accepted);
    }
    sleep(ms(60)).await;
    set_reachable(false);
    bed.world.set_late_commands(&holder, None);
    crew().set_capacity("w2", 4_000);
    sleep(ms(6_500)).await;
    set_reachable(true);
    crew().set_registering("w1", true);
    sleep(ms(10_000)).await;
    assert_eq!(bed.holder(), holder);
    assert_eq!(
        crew().doubled,
        Vec::new(),
        "{listed:?}, crash {phase_ms} ms into the request, late: {late:?}"
    );
    for id in IDS {
        bed.wait_for(other, id, JobState::Completed, Duration::from_secs(15))
            .await;
    }
}

async fn play_all(late: Option<Duration>) {
    for listed in [Listed::AsItIs, Listed::AsBefore] {
        for phase_ms in (0..REQUEST_TIMEOUT_MS).step_by(100) {
            local(play(listed, phase_ms, late)).await;
        }
    }
}

/// Guards against tasks on two workers, both started by one holder: a worker is back unnoticed, confirms starts that were meant
/// for its earlier incarnation, and is cut off. Their leases are as long as workers grant, as the deadlines are times on the
/// clock of the earlier incarnation.
#[tokio::test(start_paused = true)]
async fn confirmed_start_on_an_unnoticed_incarnation_is_waited_for() {
    play_all(None).await;
}

/// As above, but the starts had no answer.
#[tokio::test(start_paused = true)]
async fn unanswered_start_on_an_unnoticed_incarnation_is_waited_for() {
    play_all(Some(ms(300))).await;
}
