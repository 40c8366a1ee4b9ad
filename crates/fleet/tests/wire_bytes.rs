//! Compares datagrams with recorded bytes, since gateways of different builds must be able to read each other's
//! datagrams.

use garnetwall_fleet::membership::{Fact, Membership, Peer};
use garnetwall_fleet::wire::{DatagramCodec, Message};
use garnetwall_fleet::{
    Claim, ClaimVerdict, Epoch, HolderId, LeaseReply, LeaseRequest, Resource, Verdict,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

const SENDER: HolderId = HolderId {
    gateway: 0x0102_0304_0506_0708,
    incarnation: 300,
};

/// Expected datagrams in hex: format version, fleet id, kind of the message, content.
const REQUEST_HEX: &str =
    "0106efdf38dde16e9c00888e98a8c0e0808101ac02f0a204020102ffffffffffffffffff01c801010304";
const REPLY_HEX: &str =
    "0106efdf38dde16e9c01888e98a8c0e0808101ac0209e807040102000203010503040206040503010607";
const SWIM_HEX: &str = "0106efdf38dde16e9c0204deadbeef";

fn address(last_octet: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, last_octet), 7946)
}

fn claim(resource: u64, epoch: u64) -> Claim {
    Claim {
        resource: Resource(resource),
        epoch: Epoch(epoch),
    }
}

fn decided(resource: u64, epoch: u64, verdict: Verdict) -> ClaimVerdict {
    ClaimVerdict {
        claim: claim(resource, epoch),
        verdict,
    }
}

fn request() -> Message {
    Message::Request(LeaseRequest {
        holder: SENDER,
        number: 70_000,
        claims: vec![claim(1, 2), claim(u64::MAX, 200)],
        releases: vec![claim(3, 4)],
    })
}

fn reply() -> Message {
    Message::Reply(LeaseReply {
        holder: SENDER,
        number: 9,
        session: 1_000,
        verdicts: vec![
            decided(1, 2, Verdict::Granted),
            decided(2, 3, Verdict::HeldByOther(Epoch(5))),
            decided(3, 4, Verdict::StaleEpoch(Epoch(6))),
            decided(4, 5, Verdict::AtCapacity),
        ],
        released: vec![claim(6, 7)],
    })
}

fn swim() -> Message {
    Message::Swim(vec![0xde, 0xad, 0xbe, 0xef])
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

/// Asserts that the message is encoded as the expected bytes, and that these are decoded as the message.
fn assert_datagram(codec: &DatagramCodec, message: &Message, expected: &str) {
    assert_eq!(hex(&codec.encode(message).unwrap()), expected);
    assert_eq!(codec.decode(&unhex(expected)).as_ref(), Ok(message));
}

#[test]
fn datagrams_without_a_key_match_the_recorded_bytes() {
    let codec = DatagramCodec::new("sale", None);
    assert_datagram(&codec, &request(), REQUEST_HEX);
    assert_datagram(&codec, &reply(), REPLY_HEX);
    assert_datagram(&codec, &swim(), SWIM_HEX);
}

#[test]
fn datagrams_with_a_key_end_with_the_recorded_hashes() {
    let codec = DatagramCodec::new("sale", Some(b"key"));
    let keyed = |plain: &str, hash: &str| format!("{plain}{hash}");
    assert_datagram(
        &codec,
        &request(),
        &keyed(REQUEST_HEX, "7c9cc413fbe4a79f0dddaeaf0edf20ce"),
    );
    assert_datagram(
        &codec,
        &reply(),
        &keyed(REPLY_HEX, "15085a56c4276d7f8240e92513c77332"),
    );
    assert_datagram(
        &codec,
        &swim(),
        &keyed(SWIM_HEX, "6aceb7acc3e46a2893d1fe0e6a9d3836"),
    );
}

#[test]
fn published_fact_matches_the_recorded_bytes() {
    let fact = Fact {
        publisher: Peer::new(address(3), 1_700_000_000_123),
        kind: 5,
        version: 300,
        value: u64::MAX,
    };
    let expected = "0a0102038a3efbd095ffbc3105ac02ffffffffffffffffff01";
    assert_eq!(hex(&postcard::to_allocvec(&fact).unwrap()), expected);
    assert_eq!(postcard::from_bytes(&unhex(expected)), Ok(fact));
}

/// An announcement consists only of the header of a SWIM message: source, its incarnation, target, kind of message.
#[test]
fn announcement_to_a_peer_matches_the_recorded_bytes() {
    let peers = [address(3), address(4)];
    let local_peer = Peer::new(peers[0], 1_700_000_000_123);
    let codec = DatagramCodec::new("sale", None);
    let mut membership = Membership::new(Duration::ZERO, local_peer, &peers, 1, codec);
    membership.join(Duration::ZERO, &peers);
    let sent: Vec<_> = membership
        .take_outgoing()
        .into_iter()
        .map(|datagram| (datagram.to, hex(&datagram.bytes)))
        .collect();
    assert_eq!(
        sent,
        [(
            peers[1],
            "0106efdf38dde16e9c02150a0102038a3efbd095ffbc31000a0102048a3e0006".to_string()
        )]
    );
}
