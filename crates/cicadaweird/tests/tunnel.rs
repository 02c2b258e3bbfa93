//! Parsing of tunnelled packets and generation of resets, for valid and invalid
//! input.

use cicadaweir_core::{error::ErrorKind, flow::Protocol, packet::PacketKind};
use cicadaweir_standins::segment::{Flags, Segment};
use cicadaweird::tunnel;
use proptest::prelude::*;

fn segment(protocol: Protocol, caller: &str, address: &str) -> Segment {
    Segment::new(
        protocol,
        caller.parse().expect("a socket address"),
        address.parse().expect("a socket address"),
    )
}

fn datagram(segment: &Segment) -> Vec<u8> {
    let (mut packet, mut out) = (Vec::new(), Vec::new());
    segment.write(&mut packet);
    tunnel::encapsulate(&packet, &mut out);
    out
}

fn parse(datagram: &[u8]) -> Result<tunnel::InnerPacket, ErrorKind> {
    tunnel::decapsulate(datagram).and_then(tunnel::parse)
}

#[test]
fn tcp_and_udp_over_ipv4_and_ipv6_are_parsed() {
    for (caller, address) in [
        ("198.51.100.1:1000", "203.0.113.1:443"),
        ("[2001:db8::1]:1000", "[2001:db8::2]:443"),
    ] {
        let mut tcp = segment(Protocol::Tcp, caller, address);
        tcp.flags = Flags {
            syn: true,
            ..Flags::default()
        };
        tcp.sequence = 77;
        let inner = parse(&datagram(&tcp)).expect("a valid packet");
        assert_eq!((inner.kind, inner.sequence), (PacketKind::Opening, 77));
        assert_eq!(inner.source, tcp.source.into());
        let udp = segment(Protocol::Udp, caller, address);
        let inner = parse(&datagram(&udp)).expect("a valid packet");
        assert_eq!(inner.kind, PacketKind::Datagram);
    }
}

#[test]
fn invalid_packets_return_the_matching_error() {
    let valid = datagram(&segment(Protocol::Tcp, "198.51.100.1:1", "203.0.113.1:443"));
    assert_eq!(parse(&valid[..4]), Err(ErrorKind::PacketTruncated));
    assert_eq!(parse(&valid[..30]), Err(ErrorKind::PacketTruncated));
    let mut version = valid.clone();
    version[0] = 0x40;
    assert_eq!(parse(&version), Err(ErrorKind::TunnelVersion));
    let mut inner_protocol = valid.clone();
    inner_protocol[2..4].copy_from_slice(&[0x65, 0x58]);
    assert_eq!(parse(&inner_protocol), Err(ErrorKind::TunnelVersion));
    let mut options = valid.clone();
    options[0] = 0x3f;
    assert_eq!(parse(&options), Err(ErrorKind::PacketTruncated));
    let mut fragment = valid.clone();
    fragment[tunnel::HEADER_BYTES + 6] = 0x20;
    assert_eq!(parse(&fragment), Err(ErrorKind::PacketFragment));
    let mut icmp = valid;
    icmp[tunnel::HEADER_BYTES + 9] = 1;
    assert_eq!(parse(&icmp), Err(ErrorKind::TransportUnsupported));
}

#[test]
fn the_reset_for_a_syn_acknowledges_its_sequence_number() {
    let mut opening = segment(Protocol::Tcp, "198.51.100.1:1", "203.0.113.1:443");
    opening.flags.syn = true;
    opening.sequence = 500;
    let (mut packet, mut reset) = (Vec::new(), Vec::new());
    opening.write(&mut packet);
    assert!(tunnel::reset_towards_caller(&packet, &mut reset));
    let reset = Segment::read(&reset).expect("a valid packet");
    assert!(reset.flags.rst && reset.flags.ack);
    assert_eq!(reset.acknowledgement, 501);
    assert_eq!(reset.destination, opening.source);
}

#[test]
fn the_reset_of_an_established_flow_uses_the_acknowledged_sequence_number() {
    let mut data = segment(Protocol::Tcp, "198.51.100.1:1", "203.0.113.1:443");
    data.flags.ack = true;
    data.sequence = 500;
    data.acknowledgement = 900;
    data.payload = b"hello".to_vec();
    let (mut packet, mut reset) = (Vec::new(), Vec::new());
    data.write(&mut packet);
    assert!(tunnel::reset_towards_caller(&packet, &mut reset));
    let reset = Segment::read(&reset).expect("a valid packet");
    assert!(reset.flags.rst);
    assert_eq!(reset.sequence, 900);
}

#[test]
fn a_udp_datagram_gets_no_reset() {
    let (mut packet, mut reset) = (Vec::new(), Vec::new());
    segment(Protocol::Udp, "198.51.100.1:1", "203.0.113.1:443").write(&mut packet);
    assert!(!tunnel::reset_towards_caller(&packet, &mut reset));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..120)) {
        let _ = parse(&bytes);
        let mut reset = Vec::new();
        let _ = tunnel::reset_towards_caller(&bytes, &mut reset);
    }
}
