//! Different versions during a roll-out: unknown fields are ignored, and unknown messages are refused.

use goldcrest_peer::handshake::Hello;
use goldcrest_peer::message::{CatalogueRequest, Gossip, Refused, Reply, Request};
use goldcrest_peer::wire::{self, Packet, PacketError};
use goldcrest_types::names::RequestId;
use goldcrest_types::units::Revision;
use serde::{Deserialize, Serialize};

use crate::common::{hello, unreached};

/// A later version's request for the catalogue, with a field that this version does not know.
#[derive(Serialize, Deserialize)]
struct LaterRequest {
    r: Revision,
    compressed: bool,
}

/// The fields of the first version's gossip that every later one must send.
#[derive(Serialize)]
struct EarlierGossip {
    m: goldcrest_peer::message::Member,
    h: u64,
    r: Revision,
}

#[test]
fn from_packet_unknown_field() {
    let later = LaterRequest {
        r: Revision::new(4),
        compressed: true,
    };
    let packet = Packet::new(2, &later);
    let expected = Request::Catalogue(CatalogueRequest {
        above: Revision::new(4),
    });
    assert_eq!(Request::from_packet(&packet), Ok(expected));
}

#[test]
fn from_packet_missing_field_of_later_version() {
    let earlier = EarlierGossip {
        m: unreached(1, "lis-1"),
        h: 3,
        r: Revision::new(9),
    };
    let read = Request::from_packet(&Packet::new(1, &earlier));
    let Ok(Request::Gossip(gossip)) = read else {
        panic!("not decoded as gossip: {read:?}");
    };
    assert_eq!(gossip.revision, Revision::new(9));
    assert_eq!(gossip.proof, None);
}

#[test]
fn from_packet_unknown_kind() {
    let packet = Packet::new(77, &RequestId::new(1));
    let read = Request::from_packet(&packet);
    assert_eq!(read, Err(PacketError::UnknownKind(77)));
    let refused = Reply::Refused(Refused { why: "no".into() });
    assert_eq!(Reply::from_packet(&refused.to_packet()), Ok(refused));
}

#[test]
fn from_packet_wrong_body() {
    let packet = Packet::new(1, &"text");
    let read = Request::from_packet(&packet);
    assert!(matches!(read, Err(PacketError::Malformed(_))), "{read:?}");
}

#[test]
fn from_bytes_hello_of_later_version() {
    #[derive(Serialize)]
    struct LaterHello {
        #[serde(flatten)]
        hello: Hello,
        features: Vec<u8>,
    }
    let known = hello(unreached(1, "lis-1"));
    let later = LaterHello {
        hello: known.clone(),
        features: vec![1],
    };
    assert_eq!(
        wire::from_bytes::<Hello>(&wire::to_bytes(&later)),
        Ok(known)
    );
}

#[test]
fn to_packet_gossip_is_small() {
    let gossip = Gossip {
        from: unreached(u128::MAX, "lis-1"),
        heartbeat: 86_400,
        revision: Revision::new(3_600),
        in_force: Revision::new(3_600),
        proof: None,
        no_contact: None,
        outages: Vec::new(),
        members_digest: u64::MAX,
        members: Vec::new(),
        have_entries: 1_000_000,
        have_dcs: 1_000_000,
        wants_dcs: true,
        entries: None,
        dcs: None,
    };
    let packet = Request::Gossip(Box::new(gossip)).to_packet();
    assert!(packet.body.len() < 160, "{} bytes", packet.body.len());
}
