//! A team's limit between pools whose demand shifts.

use goldcrest_jobs::resources::Resources;
use goldcrest_jobs::share::Share;
use goldcrest_types::names::PoolName;
use quickcheck::quickcheck;

fn pool(name: &str) -> PoolName {
    name.parse().expect("a name")
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
        amount(800, 400),
        Resources::ZERO,
        CAP,
    );
    // A quarter of the memory is free, so it gets a quarter of both.
    assert!(
        target.cpu_millis <= 200 && target.memory_mb <= 100,
        "{target}"
    );
    assert!(
        target.cpu_millis >= 199 && target.memory_mb >= 99,
        "{target}"
    );
}

#[test]
fn target_keeps_reserve_only_where_there_is_room() {
    let mut share = Share::default();
    share.set(&pool("a"), amount(950, 0));
    let target = share.target(
        &pool("b"),
        Resources::ZERO,
        amount(20, 0),
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
        short,
        Resources::ZERO,
        amount(0, 8_000),
    );
    assert_eq!(target, short);
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
            let short = amount(u64::from(short_cpu), u64::from(short_mb));
            let target = share.target(&name, used, short, amount(40, 40), CAP);
            share.set(&name, target);
            if !share.is_within(CAP) || !used.fits(&share.row(&name)) {
                return false;
            }
        }
        true
    }
}
