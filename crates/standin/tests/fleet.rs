//! The HTTP client of the platform's list of VMs and reboots, run against the fake.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use goldcrest_ports::fleet::{Fleet, FleetError, VmPhase, VmRecord, VmRole};
use goldcrest_ports::http::HttpFleet;
use goldcrest_standin::FleetFake;
use goldcrest_types::names::VmName;
use goldcrest_types::units::{Epoch, Resources};
use tokio_util::sync::CancellationToken;

fn vm(name: &str) -> VmRecord {
    VmRecord {
        name: name.parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        rack: "r1".parse().unwrap(),
        role: VmRole::Upstream,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        phase: VmPhase::Live,
        resources: Resources::ZERO,
        boots: 1,
    }
}

async fn fixture() -> (FleetFake, HttpFleet, CancellationToken) {
    // The reboot time outlasts the test, so a VM that reboots stays in that phase.
    let fake = FleetFake::new(Duration::from_hours(1), Duration::ZERO);
    let stop = CancellationToken::new();
    let address = fake
        .listen("a".parse().unwrap(), stop.clone())
        .await
        .unwrap();
    (fake, HttpFleet::new(address, Duration::from_secs(5)), stop)
}

#[tokio::test]
async fn list_unchanged() {
    let (fake, client, _stop) = fixture().await;
    fake.put(vm("vm-1"));
    let first = client.list().await.unwrap();
    let second = client.list().await.unwrap();
    assert_eq!(first, second);
    assert_eq!(fake.unchanged_answers(), 1);
    fake.put(vm("vm-2"));
    assert_eq!(client.list().await.unwrap().vms.len(), 2);
}

#[tokio::test]
async fn list_cut_off() {
    let (fake, client, _stop) = fixture().await;
    fake.set_cut(&"a".parse().unwrap(), true);
    assert_eq!(client.list().await, Err(FleetError::Unreachable));
}

#[tokio::test]
async fn reboot_older_epoch() {
    let (fake, client, _stop) = fixture().await;
    fake.put(vm("vm-1"));
    let name: VmName = "vm-1".parse().unwrap();
    client.reboot(&name, Epoch::new(2)).await.unwrap();
    let older = client.reboot(&name, Epoch::new(1)).await;
    assert_eq!(older, Err(FleetError::Fenced));
    assert_eq!(fake.reboots().len(), 1);
}

#[tokio::test]
async fn reboot_cuts_work() {
    let (fake, client, _stop) = fixture().await;
    fake.put(vm("vm-1"));
    let name: VmName = "vm-1".parse().unwrap();
    let open = Arc::new(AtomicU32::new(0));
    fake.watch_work(&name, Arc::clone(&open));
    open.store(2, Ordering::Release);
    client.reboot(&name, Epoch::new(1)).await.unwrap();
    assert_eq!(fake.cut_work(), 2);
}
