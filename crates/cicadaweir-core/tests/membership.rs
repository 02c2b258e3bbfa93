//! Views, failure detection and slot ownership.

mod support;

use cicadaweir_core::{
    membership::{
        Detector, Health, ListEntry, MemberId, MemberUpdate, MergeOutcome, Options, Phase, SLOTS,
        SlotTable, View,
    },
    time::{Duration, Instant},
};
use support::member;

fn view(others: &[u32]) -> View {
    let mut view = View::new(member(0), Instant::START);
    for &id in others {
        view.merge(&member(id), Instant::START);
    }
    view
}

#[test]
fn a_member_refutes_a_wrong_death_record_with_a_higher_incarnation() {
    let mut view = view(&[1]);
    let dead = MemberUpdate {
        health: Health::Dead,
        ..member(0)
    };
    assert_eq!(view.merge(&dead, Instant::START), MergeOutcome::Refuted);
    assert!(view.my_record().incarnation > dead.incarnation);
    assert_eq!(view.my_record().health, Health::Alive);
    assert!(view.take_declared_dead());
    assert!(!view.take_declared_dead(), "the flag is reset");
}

#[test]
fn an_older_record_does_not_replace_a_newer_one() {
    let mut view = view(&[1]);
    let newer = MemberUpdate {
        incarnation: 2_000,
        phase: Phase::Leaving,
        ..member(1)
    };
    assert_eq!(view.merge(&newer, Instant::START), MergeOutcome::Updated);
    assert_eq!(
        view.merge(&member(1), Instant::START),
        MergeOutcome::Unchanged
    );
    let known = view.get(MemberId(1)).expect("known");
    assert_eq!(known.record.phase, Phase::Leaving);
}

#[test]
fn the_platforms_list_adds_members_and_never_removes_live_ones() {
    let mut view = view(&[1]);
    let entry = ListEntry {
        id: MemberId(2),
        zone: member(2).zone,
        address: member(2).address,
    };
    view.apply_list(&[entry], Instant::START);
    view.evict_dead(
        Instant::START + Duration::from_secs(9_999),
        Duration::from_secs(600),
    );
    assert!(view.get(MemberId(1)).is_some(), "not listed, but alive");
    assert!(
        !view.get(MemberId(2)).expect("listed").owns_buckets(),
        "listed, but no record of its own"
    );
}

#[test]
fn an_unacknowledged_probe_leads_to_suspicion_and_death_unless_answered_in_time() {
    let options = Options::default();
    for acknowledges in [false, true] {
        let mut view = view(&[1]);
        let mut detector = Detector::new(options, 1);
        let mut now = Instant::START;
        let probe = detector.start_probe(now, &view).expect("a probe is due");
        if acknowledges {
            assert!(detector.record_ack(probe.member, probe.sequence));
        }
        now += options.probe_period;
        detector.detect_failures(now, &mut view);
        now += options.suspicion_timeout;
        detector.detect_failures(now, &mut view);
        let health = view.get(MemberId(1)).expect("known").record.health;
        let expected = if acknowledges {
            Health::Alive
        } else {
            Health::Dead
        };
        assert_eq!(health, expected);
    }
}

#[test]
fn indirect_probes_are_requested_once_after_the_direct_timeout() {
    let view = view(&[1, 2, 3]);
    let mut detector = Detector::new(Options::default(), 1);
    let probe = detector.start_probe(Instant::START, &view).expect("due");
    let now = Instant::START + Options::default().direct_timeout;
    let requests = detector.indirect_probes(now, &view);
    assert_eq!(requests.len(), 1);
    assert!(!requests[0].1.is_empty() && !requests[0].1.contains(&probe.member));
    assert!(
        detector.indirect_probes(now, &view).is_empty(),
        "each probe is returned once"
    );
}

#[test]
fn a_joining_or_leaving_member_moves_only_its_own_slots() {
    let ids = |range: std::ops::Range<u32>| range.map(MemberId);
    let mut table = SlotTable::default();
    table.update(ids(0..9));
    let before: Vec<_> = (0..SLOTS as u16).map(|s| table.owner(s)).collect();
    table.update(ids(0..10));
    for slot in 0..SLOTS as u16 {
        let owner = table.owner(slot);
        let unchanged = owner == before[usize::from(slot)] || owner == Some(MemberId(9));
        assert!(unchanged, "slot {slot} moved to {owner:?}");
    }
    table.update(ids(0..9));
    let after: Vec<_> = (0..SLOTS as u16).map(|s| table.owner(s)).collect();
    assert_eq!(after, before);
    let mut fresh = SlotTable::default();
    fresh.update(ids(0..9).collect::<Vec<_>>().into_iter().rev());
    let fresh: Vec<_> = (0..SLOTS as u16).map(|s| fresh.owner(s)).collect();
    assert_eq!(
        fresh, before,
        "owners do not depend on the order in which members join"
    );
}
