//! Usage replicated as changes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use goldcrest_peer::message::{PoolUsageRequest, PoolUsageTold, Reply, Request};
use goldcrest_peer::peers::PoolUsageHeard;
use goldcrest_peer::usage::{Board, CELLS_MAX, CELLS_MAX_WANTED, Usage};
use goldcrest_types::names::{EntryId, PoolName, TeamName};
use goldcrest_types::units::Slots;
use quickcheck::{Gen, QuickCheck};

fn team(number: u8) -> TeamName {
    format!("team-{number}").parse().expect("a name")
}

fn usage(running: u32, waiting: u32) -> Usage {
    Usage {
        running: Slots::new(running),
        waiting: Slots::new(waiting),
    }
}

#[test]
fn delta_nothing_changed() {
    let mut board = Board::new();
    let own = EntryId::new(1);
    board.set(&own, &team(1), usage(3, 0));
    let told = board.delta(0, None, CELLS_MAX);
    assert_eq!(told.cells.len(), 1);
    board.set(&own, &team(1), usage(3, 0));
    assert_eq!(board.delta(told.upto, None, CELLS_MAX).cells, []);
}

#[test]
fn delta_is_bounded_and_goes_on() {
    let mut board = Board::new();
    let own = EntryId::new(1);
    for number in 0..200 {
        board.set(&own, &team(number), usage(1, 1));
    }
    let mut heard = Board::new();
    let mut have = 0;
    for message in 1.. {
        let delta = board.delta(have, None, CELLS_MAX);
        assert!(delta.cells.len() <= CELLS_MAX);
        if delta.cells.is_empty() {
            assert_eq!(message, 200_usize.div_ceil(CELLS_MAX) + 1);
            break;
        }
        have = delta.upto;
        heard.apply(&delta, None);
    }
    assert_eq!(heard.sums(), board.sums());
}

#[test]
fn delta_of_restarted_sender() {
    let mut board = Board::new();
    board.set(&EntryId::new(1), &team(1), usage(3, 0));
    assert_eq!(board.delta(1_000, None, CELLS_MAX).cells.len(), 1);
}

/// Returns whether the receiver's cells equal the sender's after a last complete delta, however cells change and
/// replies are lost before.
fn is_received_in_the_end(changes: Vec<(u8, u8, bool)>) -> bool {
    let (own, other) = (EntryId::new(1), EntryId::new(2));
    let (mut board, mut heard) = (Board::new(), Board::new());
    let (mut have, mut last) = (0, BTreeMap::new());
    for (number, running, is_lost) in changes {
        let value = usage(u32::from(running), 0);
        board.set(&own, &team(number % 16), value);
        last.insert(number % 16, value);
        let delta = board.delta(have, None, CELLS_MAX);
        if !is_lost {
            have = delta.upto;
            heard.apply(&delta, Some(&other));
        }
    }
    board.publish_inexact(usize::MAX);
    heard.apply(&board.delta(have, None, CELLS_MAX), Some(&other));
    last.iter().all(|(number, value)| {
        let received = heard.usage(&own, &team(*number)).running.get();
        let expected = value.running.get();
        received == expected
    })
}

#[test]
fn delta_converges() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 2))
        .quickcheck(is_received_in_the_end as fn(Vec<(u8, u8, bool)>) -> bool);
}

fn pool(number: u32) -> PoolName {
    format!("pool-{number}").parse().expect("a name")
}

fn told(entry: EntryId, board: &Board<EntryId, PoolName>, have: u64) -> PoolUsageTold {
    let delta = board.delta(have, None, CELLS_MAX_WANTED);
    PoolUsageTold { entry, delta }
}

#[test]
fn pool_usage_of_restarted_entry_replaces_old() {
    let now = Instant::now();
    let (old, new) = (EntryId::new(1), EntryId::new(2));
    let mut board = Board::new();
    board.set(&old, &pool(1), usage(9, 0));
    let mut heard = PoolUsageHeard::new();
    heard.take(&told(old, &board, 0), now);
    assert_eq!(heard.ask().entry, Some(old));
    let mut board = Board::new();
    board.set(&new, &pool(2), usage(3, 1));
    heard.take(&told(new, &board, 0), now + Duration::from_secs(1));
    let expected = BTreeMap::from([(pool(2), usage(3, 1))]);
    assert_eq!(heard.usage(), expected);
}

#[test]
fn pool_usage_no_longer_set_falls_to_zero() {
    let now = Instant::now();
    let own = EntryId::new(1);
    let mut board = Board::new();
    board.set_all(&own, &BTreeMap::from([(pool(1), usage(9, 4))]));
    let mut heard = PoolUsageHeard::new();
    heard.take(&told(own, &board, heard.ask().have), now);
    board.set_all(&own, &BTreeMap::new());
    heard.take(&told(own, &board, heard.ask().have), now);
    assert_eq!(heard.usage()[&pool(1)], usage(0, 0));
}

#[test]
fn pool_usage_is_aged_by_whole_answers_only() {
    let now = Instant::now();
    let own = EntryId::new(1);
    let mut board = Board::new();
    let cells = u32::try_from(CELLS_MAX_WANTED).expect("a small number");
    for number in 0..=cells {
        board.set(&own, &pool(number), usage(1, 0));
    }
    let mut heard = PoolUsageHeard::new();
    heard.take(&told(own, &board, heard.ask().have), now);
    assert_eq!(heard.asked_at(), None);
    heard.take(&told(own, &board, heard.ask().have), now);
    assert_eq!(heard.asked_at(), Some(now));
    assert_eq!(heard.usage().len(), CELLS_MAX_WANTED + 1);
}

/// Bounds the bytes of one request and its reply when each of the 81 pools of the planned size has changed.
#[test]
fn pool_usage_bytes_are_bounded() {
    const POOLS: u32 = 81;
    const BYTES_MAX: usize = 2_048;
    let own = EntryId::new(u128::MAX);
    let mut board = Board::new();
    for number in 0..POOLS {
        board.set(&own, &pool(number), usage(300, 40));
    }
    let ask = PoolUsageRequest {
        entry: Some(own),
        have: 1_000_000,
    };
    let ask = Request::PoolUsage(ask).to_packet();
    let all = Reply::PoolUsage(told(own, &board, 0)).to_packet();
    let none = Reply::PoolUsage(told(own, &board, u64::from(POOLS))).to_packet();
    let [ask, all, none] = [ask, all, none].map(|packet| packet.body.len());
    println!("ask {ask} B, all pools {all} B, no change {none} B");
    assert!(ask + all < BYTES_MAX, "{ask} and {all} bytes");
}
