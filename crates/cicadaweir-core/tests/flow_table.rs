//! The table of remembered flows.

mod support;

use cicadaweir_core::{
    catalog::{AddressKey, TargetKey},
    flow::{ExpiryOptions, FlowFlags, FlowState, FlowTable, TableFull},
    packet::{Direction, PacketKind},
    time::{Duration, Instant},
};
use support::{answer, endpoint, flow, packet};

fn table(bound: usize) -> FlowTable {
    FlowTable::new(bound, ExpiryOptions::default())
}

fn insert(table: &mut FlowTable, hash: u64, port: u16, target: u32) -> Result<(), TableFull> {
    table
        .insert(
            Instant::START,
            hash,
            &endpoint(&format!("198.51.100.1:{port}")),
            AddressKey(0),
            TargetKey(target),
            FlowState::Opening,
            FlowFlags::default(),
        )
        .map(|_| ())
}

#[test]
fn flows_with_one_hash_are_told_apart_by_their_keys() {
    let mut table = table(10);
    insert(&mut table, 42, 1, 1).expect("room");
    insert(&mut table, 42, 2, 2).expect("room");
    let target = |port: &str| {
        let caller = endpoint(&format!("198.51.100.1:{port}"));
        table.get(42, &caller, AddressKey(0)).map(|e| e.target.0)
    };
    assert_eq!(target("1"), Some(1));
    assert_eq!(target("2"), Some(2));
    assert_eq!(target("3"), None);
    let caller = endpoint("198.51.100.1:1");
    assert!(
        table.get(42, &caller, AddressKey(1)).is_none(),
        "another address"
    );
}

#[test]
fn a_full_table_refuses_and_evicts_nothing() {
    let mut table = table(2);
    insert(&mut table, 1, 1, 1).expect("room");
    insert(&mut table, 2, 2, 1).expect("room");
    assert_eq!(insert(&mut table, 3, 3, 1), Err(TableFull));
    assert_eq!(table.len(), 2);
}

#[test]
fn closed_flows_are_forgotten_long_before_quiet_ones() {
    let mut table = table(10);
    insert(&mut table, 1, 1, 1).expect("room");
    insert(&mut table, 2, 2, 1).expect("room");
    let caller = endpoint("198.51.100.1:1");
    let closing = packet(
        flow(cicadaweir_core::flow::Protocol::Tcp, 1),
        PacketKind::Reset,
    );
    let entry = table.get_mut(1, &caller, AddressKey(0)).expect("known");
    FlowTable::touch(entry, Instant::START, &closing);
    let open = answer(closing.flow, PacketKind::OpeningAnswer);
    let other = endpoint("198.51.100.1:2");
    let entry = table.get_mut(2, &other, AddressKey(0)).expect("known");
    FlowTable::touch(entry, Instant::START, &open);
    table.sweep(Instant::START + Duration::from_secs(60), 10, |_| ());
    assert!(table.get(1, &caller, AddressKey(0)).is_none(), "closed");
    assert!(table.get(2, &other, AddressKey(0)).is_some(), "quiet");
    table.sweep(Instant::START + Duration::from_secs(5 * 3600), 10, |_| ());
    assert!(table.is_empty(), "quiet for longer than remembered");
}

#[test]
fn half_a_million_flows_take_at_most_64_bytes_each() {
    let count = 500_000;
    let mut table = table(count);
    table.reserve_all();
    for n in 0..count as u64 {
        let hash = cicadaweir_core::hash::mix(n, 1);
        insert(&mut table, hash, (n % 60_000) as u16, 1).expect("room");
    }
    let bytes = table.allocated_bytes();
    assert!(bytes <= 64 * count, "{} bytes a flow", bytes / count);
}

#[test]
fn only_a_repeated_segment_without_an_answer_counts_as_repeated() {
    let mut table = table(10);
    insert(&mut table, 1, 1, 1).expect("room");
    let caller = endpoint("198.51.100.1:1");
    let data = packet(
        flow(cicadaweir_core::flow::Protocol::Tcp, 1),
        PacketKind::Data,
    );
    let later = Instant::START + Duration::from_secs(3);
    let entry = table.get_mut(1, &caller, AddressKey(0)).expect("known");
    FlowTable::touch(entry, Instant::START, &data);
    assert_eq!(
        FlowTable::retransmitting_for(entry, later),
        None,
        "sent once"
    );
    FlowTable::touch(entry, later, &data);
    assert_eq!(
        FlowTable::retransmitting_for(entry, later),
        Some(Duration::from_secs(3))
    );
    let acknowledged = answer(data.flow, PacketKind::Acknowledgement);
    assert_eq!(acknowledged.direction, Direction::ToCaller);
    FlowTable::touch(entry, later, &acknowledged);
    assert_eq!(
        FlowTable::retransmitting_for(entry, later),
        None,
        "answered"
    );
}
