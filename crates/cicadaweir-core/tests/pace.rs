//! Scheduling of response packets by [`FairQueue`].

use cicadaweir_core::{
    pace::{FairQueue, Item, Options},
    packet::PacketRef,
};

fn packet(flow: u64, number: u32) -> Item {
    Item {
        flow,
        packet: PacketRef(number),
        bytes: 1_000,
    }
}

#[test]
fn a_short_response_overtakes_a_long_one_and_stays_in_order() {
    let mut queue = FairQueue::new(Options::default());
    for number in 0..100 {
        queue.push(packet(1, number));
    }
    for _ in 0..10 {
        queue.pop();
    }
    queue.push(packet(2, 0));
    queue.push(packet(2, 1));
    let next: Vec<(u64, u32)> = (0..3)
        .filter_map(|_| queue.pop())
        .map(|i| (i.flow, i.packet.0))
        .collect();
    assert_eq!(next[..2], [(2, 0), (2, 1)]);
    assert_eq!(next[2].0, 1);
}

#[test]
fn a_download_does_not_starve_under_continuous_short_responses() {
    let mut queue = FairQueue::new(Options::default());
    for number in 0..50 {
        queue.push(packet(1, number));
    }
    let mut sent = 0;
    for flow in 0..1_000 {
        queue.push(packet(1_000 + flow, 0));
        if queue.pop().is_some_and(|i| i.flow == 1) {
            sent += 1;
        }
    }
    assert!(
        sent >= 20,
        "{sent} packets of the download sent; expected at least 20"
    );
}

#[test]
fn downloads_share_the_bandwidth_evenly() {
    let mut queue = FairQueue::new(Options::default());
    for number in 0..300 {
        for flow in 0..4 {
            queue.push(packet(flow, number));
        }
    }
    let mut sent = [0u32; 4];
    for _ in 0..600 {
        let flow = queue.pop().expect("the queue is not empty").flow;
        sent[flow as usize] += 1;
    }
    let (min, max) = (sent.iter().min(), sent.iter().max());
    assert!(
        max.zip(min).is_some_and(|(max, min)| max - min <= 6),
        "packets sent per flow: {sent:?}"
    );
}

#[test]
fn a_full_queue_drops_a_packet_of_the_flow_with_the_most_packets() {
    let mut queue = FairQueue::new(Options {
        max_items: 10,
        ..Options::default()
    });
    for number in 0..10 {
        queue.push(packet(1, number));
    }
    let dropped = queue
        .push(packet(2, 0))
        .expect("a packet is dropped from the full queue");
    assert_eq!(dropped.flow, 1);
    assert_eq!(queue.len(), 10);
}
