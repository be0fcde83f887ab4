//! Several entries on loopback: membership, the catalogue, evidence, claims and usage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use goldcrest_ledger::freshness::Proof;
use goldcrest_peer::message::{CatalogueCopy, ClaimAnswer, ClaimAsk, ClaimDigest};
use goldcrest_peer::peers::{OwnView, PoolUsageHeard, Seed};
use goldcrest_peer::usage::Usage;
use goldcrest_types::names::RequestId;
use goldcrest_types::units::{Revision, Slots, StoreVersion};

use crate::common::{Entry, soon};

/// Starts entries that each know the address of every other, and of which none requests the usage of all data centres.
async fn entries(dcs: &[&str]) -> Vec<Entry> {
    let mut all = Vec::new();
    for (bits, dc) in (1..).zip(dcs) {
        all.push(Entry::start(bits, dc).await);
    }
    let seeds: BTreeSet<Seed> = all
        .iter()
        .map(|entry| Seed {
            dc: entry.member().dc.clone(),
            address: entry.member().address,
        })
        .collect();
    for entry in &all {
        entry.peers.set_listing(&BTreeSet::new(), seeds.clone());
        entry.peers.want_dc_usage(false);
        entry.run();
    }
    all
}

/// Waits until `is_so` holds, checking it whenever other tasks have run.
async fn until(mut is_so: impl FnMut() -> bool) {
    soon(async {
        while !is_so() {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

fn copy(revision: u64) -> CatalogueCopy {
    CatalogueCopy {
        revision: Revision::new(revision),
        version: StoreVersion::new(revision),
        head: Bytes::from(vec![7; 20_000]),
    }
}

fn has(entry: &Entry, revision: u64) -> bool {
    let copy = entry.peers.catalogue().borrow().clone();
    copy.is_some_and(|copy| copy.revision == Revision::new(revision))
}

#[tokio::test]
async fn run_members_find_each_other() {
    let all = entries(&["lis-1", "lis-1", "lis-1", "lis-2", "lis-2", "lis-3"]).await;
    until(|| all.iter().all(|entry| entry.peers.members().len() == 6)).await;
    let relays = all.iter().filter(|entry| *entry.peers.is_relay().borrow());
    let dcs: BTreeSet<_> = relays.map(|entry| entry.member().dc.clone()).collect();
    until(|| {
        let relays = all.iter().filter(|entry| *entry.peers.is_relay().borrow());
        relays.count() == 3
    })
    .await;
    assert_eq!(dcs.len(), 3);
}

#[tokio::test]
async fn run_catalogue_reaches_all_and_never_falls() {
    let all = entries(&["lis-1", "lis-1", "lis-2", "lis-2"]).await;
    all[0].peers.offer_catalogue(copy(5));
    until(|| all.iter().all(|entry| has(entry, 5))).await;
    all[3].peers.offer_catalogue(copy(4));
    assert!(has(&all[3], 5));
    all[3].peers.offer_catalogue(copy(6));
    until(|| all.iter().all(|entry| has(entry, 6))).await;
}

#[tokio::test]
async fn run_new_entry_learns_catalogue_from_peers() {
    let all = entries(&["lis-1", "lis-1"]).await;
    all[0].peers.offer_catalogue(copy(5));
    until(|| has(&all[1], 5)).await;
    let late = Entry::start(9, "lis-1").await;
    let seed = Seed {
        dc: late.member().dc.clone(),
        address: all[1].member().address,
    };
    late.peers
        .set_listing(&BTreeSet::new(), BTreeSet::from([seed]));
    late.peers.want_dc_usage(false);
    late.run();
    until(|| has(&late, 5)).await;
}

#[tokio::test]
async fn evidence_proof_of_peer() {
    let all = entries(&["lis-1", "lis-2"]).await;
    let read_at = Instant::now();
    all[0].peers.set_own_view(OwnView {
        revision: Revision::new(5),
        proof: Some(Proof {
            at: read_at,
            revision: Revision::new(5),
        }),
        no_contact: None,
    });
    // The data centre of entry 2 sorts last, so it sends gossip to the other one only once it has no contact.
    cut(&all[1]);
    until(|| all[1].peers.evidence().peer.is_some()).await;
    let proof = all[1].peers.evidence().peer.expect("a proof");
    assert_eq!(proof.revision, Revision::new(5));
    assert!(
        proof.at <= read_at,
        "a reply must not make a proof more recent"
    );
}

fn cut(entry: &Entry) {
    let at = Instant::now();
    entry.peers.set_own_view(OwnView {
        revision: Revision::new(5),
        proof: None,
        no_contact: Some(Proof {
            at,
            revision: Revision::new(5),
        }),
    });
}

#[tokio::test]
async fn evidence_outage_needs_every_entry() {
    let all = entries(&["lis-1", "lis-1", "lis-2"]).await;
    until(|| all.iter().all(|entry| entry.peers.members().len() == 3)).await;
    cut(&all[0]);
    cut(&all[2]);
    let lis_2 = &all[2].member().dc;
    until(|| {
        let outages = all[0].peers.evidence().outages;
        outages.iter().any(|outage| outage.dc == *lis_2)
    })
    .await;
    // Entry 2 still has contact, so its data centre must not report an outage.
    let outages = all[0].peers.evidence().outages;
    assert!(
        outages.iter().all(|outage| outage.dc == *lis_2),
        "{outages:?}"
    );
    cut(&all[1]);
    until(|| {
        all.iter()
            .all(|entry| entry.peers.evidence().outages.len() == 2)
    })
    .await;
}

fn ask(digest: u128, request: u128) -> ClaimAsk {
    ClaimAsk {
        queue: "apply".parse().expect("a name"),
        digest: ClaimDigest::new(digest),
        request: RequestId::new(request),
        keep_ms: 30_000,
    }
}

#[tokio::test]
async fn claim_new_home_answers_unknown() {
    let all = entries(&["lis-1", "lis-1"]).await;
    until(|| all.iter().all(|entry| entry.peers.members().len() == 2)).await;
    for entry in &all {
        entry
            .peers
            .extend_standing(Instant::now() + Duration::from_mins(1));
    }
    for digest in 0..8 {
        let answer = soon(all[0].peers.claim(ask(digest, 1))).await;
        assert_eq!(answer, ClaimAnswer::Unknown);
    }
}

#[tokio::test]
async fn claim_home_out_of_reach() {
    let all = entries(&["lis-1"]).await;
    let live = BTreeSet::from([
        all[0].member().entry,
        goldcrest_types::names::EntryId::new(77),
    ]);
    all[0].peers.set_sessions(&live);
    for digest in 0..8 {
        assert_eq!(
            soon(all[0].peers.claim(ask(digest, 1))).await,
            ClaimAnswer::Unknown
        );
    }
}

#[tokio::test]
async fn demand_reaches_every_entry_of_the_dc() {
    let all = entries(&["lis-1", "lis-1", "lis-1", "lis-2"]).await;
    for entry in &all {
        entry.peers.want_dc_usage(true);
    }
    let team = "guides".parse().expect("a name");
    for (entry, running) in all.iter().zip([10, 20, 30, 40]) {
        let usage = Usage {
            running: Slots::new(running),
            waiting: Slots::new(1),
        };
        entry.peers.set_usage(&BTreeMap::from([(
            "guides".parse().expect("a name"),
            usage,
        )]));
    }
    let is_known = |entry: &Entry| {
        let demand = entry.peers.demand();
        let of = |other: usize| demand.of(all[other].member().entry, &team).get();
        of(0) == 11 && of(1) == 21 && of(2) == 31
    };
    until(|| all[..3].iter().all(is_known)).await;
    let has_dc_usage = |entry: &Entry| {
        let usage = entry.peers.dc_usage();
        let of = |dc: &str| usage.iter().find(|cell| cell.dc.as_str() == dc);
        let sum = |dc| of(dc).map(|cell| cell.usage.running.get());
        sum("lis-1") == Some(60) && sum("lis-2") == Some(40)
    };
    until(|| all.iter().all(has_dc_usage)).await;
}

#[tokio::test]
async fn dc_usage_only_on_request() {
    let all = entries(&["lis-1", "lis-2", "lis-3", "lis-3"]).await;
    for entry in &all {
        let usage = Usage {
            running: Slots::new(7),
            waiting: Slots::ZERO,
        };
        let team = "guides".parse().expect("a name");
        entry.peers.set_usage(&BTreeMap::from([(team, usage)]));
    }
    all[3].peers.want_dc_usage(true);
    let dcs = |entry: &Entry| {
        let usage = entry.peers.dc_usage();
        let dcs = usage.iter().map(|cell| cell.dc.to_string());
        dcs.collect::<BTreeSet<_>>()
    };
    until(|| dcs(&all[3]).len() == 3).await;
    assert_eq!(dcs(&all[0]), BTreeSet::from(["lis-1".to_owned()]));
    assert_eq!(dcs(&all[1]), BTreeSet::from(["lis-2".to_owned()]));
}

#[tokio::test]
async fn tell_quota_changed_reaches_the_entries_of_a_dc() {
    let all = entries(&["lis-1", "lis-2", "lis-2"]).await;
    until(|| all.iter().all(|entry| entry.peers.members().len() == 3)).await;
    let told: Vec<_> = all.iter().map(|entry| entry.peers.quota_told()).collect();
    all[0].peers.tell_quota_changed(&all[1].member().dc);
    soon(async { tokio::join!(told[1].notified(), told[2].notified()) }).await;
    all[0].peers.tell_quota_changed(&all[0].member().dc);
    soon(told[0].notified()).await;
}

#[tokio::test]
async fn in_force_names_entry_without_revision() {
    let all = entries(&["lis-1", "lis-1", "lis-2"]).await;
    for entry in &all[..2] {
        entry.peers.set_own_view(OwnView {
            revision: Revision::new(5),
            ..OwnView::default()
        });
    }
    until(|| all.iter().all(|entry| entry.peers.members().len() == 3)).await;
    let missing = async {
        loop {
            let told = all[0].peers.in_force().await;
            let late = told
                .iter()
                .filter(|known| known.revision < Revision::new(5));
            let late: Vec<_> = late.map(|known| known.member.entry).collect();
            if told.len() == 3 && late.len() == 1 {
                return late;
            }
            tokio::task::yield_now().await;
        }
    };
    assert_eq!(soon(missing).await, [all[2].member().entry]);
}

#[tokio::test]
async fn hear_pool_usage_without_answer_stays() {
    let all = entries(&["lis-1", "lis-2"]).await;
    let usage = Usage {
        running: Slots::new(7),
        waiting: Slots::new(2),
    };
    let usage = BTreeMap::from([("web".parse().expect("a name"), usage)]);
    all[1].peers.set_pool_usage(&usage);
    let address = all[1].member().address;
    let mut heard = PoolUsageHeard::new();
    soon(all[0].peers.hear_pool_usage(address, &mut heard)).await;
    assert_eq!(heard.usage(), usage);
    let asked_at = heard.asked_at();
    assert!(asked_at.is_some());
    // No entry listens there.
    let unused = "127.0.0.1:1".parse().expect("an address");
    soon(all[0].peers.hear_pool_usage(unused, &mut heard)).await;
    assert_eq!(heard.asked_at(), asked_at);
    assert_eq!(heard.usage(), usage);
}
