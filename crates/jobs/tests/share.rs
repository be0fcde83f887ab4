//! A team's limit between pools whose demand shifts.

use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::share::{Share, WantedTasks};
use goldcrest_types::names::PoolName;
use quickcheck::quickcheck;

fn pool(name: &str) -> PoolName {
    name.parse().expect("a name")
}

fn wanted(count: u64, each: Resources) -> WantedTasks {
    WantedTasks { each, count }
}

fn amount(cpu_millis: u64, memory_mb: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mb,
        accelerators: 0,
    }
}

const CAP: Resources = Resources {
    cpu_millis: 1_000,
    memory_mb: 1_000,
    accelerators: 0,
};

/// One pool must not hold all processors without memory while another holds the memory.
#[test]
fn target_grows_in_all_kinds_alike() {
    let mut share = Share::default();
    share.set(&pool("a"), amount(100, 900));
    let target = share.target(
        &pool("b"),
        Resources::ZERO,
        &[wanted(400, amount(2, 1))],
        Resources::ZERO,
        CAP,
    );
    // A quarter of the memory is free, so it gets a quarter of both.
    assert_eq!(target, amount(200, 100));
}

#[test]
fn target_keeps_reserve_only_where_there_is_room() {
    let mut share = Share::default();
    share.set(&pool("a"), amount(950, 0));
    let target = share.target(
        &pool("b"),
        Resources::ZERO,
        &[wanted(1, amount(20, 0))],
        amount(100, 100),
        CAP,
    );
    assert_eq!(target, amount(50, 100));
}

#[test]
fn target_no_limit_is_written_as_zero() {
    let share = Share::default();
    let short = amount(5_000, 5_000);
    let target = share.target(
        &pool("a"),
        Resources::ZERO,
        &[wanted(1, short)],
        Resources::ZERO,
        amount(0, 8_000),
    );
    assert_eq!(target, short);
}

/// Guards against a limit that is granted for tasks which can't start by it, while others can: one task is larger than
/// what is free.
#[test]
fn target_leaves_out_what_does_not_fit() {
    let target = Share::default().target(
        &pool("a"),
        amount(100, 100),
        &[
            wanted(12, amount(400, 1_600)),
            wanted(3, amount(100, 50)),
            wanted(5, amount(300, 300)),
        ],
        amount(40, 40),
        CAP,
    );
    assert_eq!(target, amount(100 + 300 + 600, 100 + 150 + 600));
}

/// Guards against a row that is a little smaller than the task it was raised for.
#[test]
fn target_is_whole_tasks() {
    for count in 1..40 {
        for each in [amount(97, 1), amount(333, 333), amount(1_000, 10)] {
            let wanted = [wanted(count, each)];
            let share = Share::default();
            let target = share.target(&pool("a"), Resources::ZERO, &wanted, Resources::ZERO, CAP);
            let fitting = (1_000 / each.cpu_millis).min(count);
            assert_eq!(target, each.times(fitting), "{count} of {each}");
        }
    }
}

quickcheck! {
    /// Whatever pools use and request, in whatever order they set their rows, the rows stay within the limit.
    fn target_never_passes_the_limit(steps: Vec<(u8, u16, u16, u16, u16)>) -> bool {
        let mut share = Share::default();
        for (number, used_cpu, used_mb, short_cpu, short_mb) in steps {
            let name = pool(["a", "b", "c"][usize::from(number % 3)]);
            // What is used was started within the row.
            let row = share.row(&name);
            let used = amount(u64::from(used_cpu), u64::from(used_mb)).zip(row, u64::min);
            let each = amount(u64::from(short_cpu % 64), u64::from(short_mb % 64));
            let short = [wanted(u64::from(short_cpu), each), wanted(u64::from(short_mb), each)];
            let target = share.target(&name, used, &short, amount(40, 40), CAP);
            share.set(&name, target);
            if !share.is_within(CAP) || !used.fits(&share.row(&name)) {
                return false;
            }
        }
        true
    }
}
