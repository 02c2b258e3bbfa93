//! The queues of the way out.

use cicadaweir_core::{
    pace::{FairQueue, Item, Options},
    packet::PacketRef,
};

fn item(flow: u64, number: u32) -> Item {
    Item {
        flow,
        packet: PacketRef(number),
        bytes: 1_000,
    }
}

#[test]
fn a_short_answer_passes_a_long_one_and_keeps_its_order() {
    let mut queue = FairQueue::new(Options::default());
    for number in 0..100 {
        queue.push(item(1, number));
    }
    for _ in 0..10 {
        queue.pop();
    }
    queue.push(item(2, 0));
    queue.push(item(2, 1));
    let next: Vec<(u64, u32)> = (0..3)
        .filter_map(|_| queue.pop())
        .map(|i| (i.flow, i.packet.0))
        .collect();
    assert_eq!(next[..2], [(2, 0), (2, 1)]);
    assert_eq!(next[2].0, 1);
}

#[test]
fn no_download_starves_under_endless_short_answers() {
    let mut queue = FairQueue::new(Options::default());
    for number in 0..50 {
        queue.push(item(1, number));
    }
    let mut left = 0;
    for flow in 0..1_000 {
        queue.push(item(1_000 + flow, 0));
        if queue.pop().is_some_and(|i| i.flow == 1) {
            left += 1;
        }
    }
    assert!(left >= 20, "{left} packets of the download left");
}

#[test]
fn downloads_share_evenly() {
    let mut queue = FairQueue::new(Options::default());
    for number in 0..300 {
        for flow in 0..4 {
            queue.push(item(flow, number));
        }
    }
    let mut sent = [0u32; 4];
    for _ in 0..600 {
        let flow = queue.pop().expect("something waits").flow;
        sent[flow as usize] += 1;
    }
    let (least, most) = (sent.iter().min(), sent.iter().max());
    assert!(most.zip(least).is_some_and(|(m, l)| m - l <= 6), "{sent:?}");
}

#[test]
fn a_full_queue_drops_from_the_longest_flow() {
    let mut queue = FairQueue::new(Options {
        max_items: 10,
        ..Options::default()
    });
    for number in 0..10 {
        queue.push(item(1, number));
    }
    let dropped = queue.push(item(2, 0)).expect("one too many");
    assert_eq!(dropped.flow, 1);
    assert_eq!(queue.len(), 10);
}
