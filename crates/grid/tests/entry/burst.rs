//! Bursts: work for one job or VM must not wait for the answers about all others.

use std::time::Duration;

use futures_util::future::join_all;
use goldcrest_grid::calls::Reply;
use goldcrest_jobs::upkeep::{VmState, Wave};
use tokio::time::sleep;

use crate::common::{Bed, job, local};

/// The limit from acceptance to the first start, for half of the jobs: the target for days without faults at any size.
const FIRST_START: Duration = Duration::from_millis(50);

/// The limit from the cause of commands to VMs to the last of them: the target for the VMs of a busy period, whose
/// commands may queue behind those of a wave.
const COMMANDS_SENT: Duration = Duration::from_millis(300);

/// Load pattern: a busy period begins, or the entries restart, and hundreds of jobs are due at the same moment with
/// free capacity for all. Each first start waits until the job's workers are stored.
#[tokio::test(start_paused = true)]
async fn jobs_at_once_start_without_waiting_for_each_other() {
    local(async {
        let bed = Bed::new(80);
        bed.start_all(&["e1", "e2"]).await;
        let jobs = 240;
        let ids: Vec<String> = (0..jobs).map(|number| format!("{number:016x}")).collect();
        let replies = join_all(
            ids.iter()
                .map(|id| bed.submit("e1", id, job("ms=1000", &[1]))),
        )
        .await;
        assert!(replies.iter().all(|reply| *reply == Reply::Accepted));
        sleep(FIRST_START).await;
        let started = bed.world.crew.borrow().starts.len();
        assert!(started >= jobs / 2, "{started} of {jobs} jobs started");
    })
    .await;
}

/// Load pattern: a wave of many empty VMs. If the holder sent its commands one after the other, no pool would get a VM
/// meanwhile.
#[tokio::test(start_paused = true)]
async fn wave_of_many_is_commanded_in_one_cycle() {
    local(async {
        let bed = Bed::new(120);
        bed.start_all(&["e1", "e2"]).await;
        let vms = bed.world.vms.borrow().keys().cloned().collect();
        bed.world.order_wave(Wave {
            number: 1,
            vms,
            duration: Duration::from_secs(8),
            at_once: 107,
        });
        sleep(COMMANDS_SENT).await;
        let vms = bed.world.vms.borrow();
        let down = vms
            .values()
            .filter(|vm| vm.state == VmState::InMaintenance)
            .count();
        assert_eq!(down, 107);
    })
    .await;
}
