//! Values that tasks follow.

use goldcrest_grid::latest::Latest;

#[tokio::test]
async fn follow_misses_no_value_between_the_read_and_the_first_wait() {
    let latest = Latest::new(1);
    let (present, mut newer) = latest.follow();
    latest.set(2);
    assert_eq!((present, newer.next().await), (1, Some(2)));
}

#[tokio::test]
async fn follow_ends_with_the_value() {
    let latest = Latest::new(1);
    let (_, mut newer) = latest.follow();
    drop(latest);
    assert_eq!(newer.next().await, None);
}

#[tokio::test]
async fn wait_for_returns_at_once_if_the_condition_holds() {
    let latest = Latest::new(1);
    latest.wait_for(|value| *value == 1).await;
}
