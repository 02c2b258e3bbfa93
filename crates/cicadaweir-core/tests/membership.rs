//! Views, suspicion and slots.

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
fn a_member_refutes_its_own_death_under_a_higher_incarnation() {
    let mut view = view(&[1]);
    let dead = MemberUpdate {
        health: Health::Dead,
        ..member(0)
    };
    assert_eq!(view.merge(&dead, Instant::START), MergeOutcome::Refuted);
    assert!(view.my_record().incarnation > dead.incarnation);
    assert_eq!(view.my_record().health, Health::Alive);
    assert!(view.take_declared_dead());
    assert!(!view.take_declared_dead(), "told once");
}

#[test]
fn an_old_record_never_replaces_a_newer_one() {
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
    let kept = view.get(MemberId(1)).expect("known");
    assert_eq!(kept.record.phase, Phase::Leaving);
}

#[test]
fn the_platforms_list_adds_members_and_removes_none_that_answers() {
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
        "listed, but not heard"
    );
}

#[test]
fn a_silent_member_is_suspected_then_dead_and_an_answer_in_time_saves_it() {
    let options = Options::default();
    for answers in [false, true] {
        let mut view = view(&[1]);
        let mut detector = Detector::new(options, 1);
        let mut now = Instant::START;
        let probe = detector.start_probe(now, &view).expect("a probe is due");
        if answers {
            assert!(detector.record_ack(probe.member, probe.sequence));
        }
        now += options.probe_period;
        detector.detect_failures(now, &mut view);
        now += options.suspicion_timeout;
        detector.detect_failures(now, &mut view);
        let health = view.get(MemberId(1)).expect("known").record.health;
        let expected = if answers { Health::Alive } else { Health::Dead };
        assert_eq!(health, expected);
    }
}

#[test]
fn others_are_asked_to_probe_before_a_member_is_suspected() {
    let view = view(&[1, 2, 3]);
    let mut detector = Detector::new(Options::default(), 1);
    let probe = detector.start_probe(Instant::START, &view).expect("due");
    let now = Instant::START + Options::default().direct_timeout;
    let asked = detector.indirect_probes(now, &view);
    assert_eq!(asked.len(), 1);
    assert!(!asked[0].1.is_empty() && !asked[0].1.contains(&probe.member));
    assert!(
        detector.indirect_probes(now, &view).is_empty(),
        "asked once"
    );
}

#[test]
fn a_member_that_comes_or_goes_moves_only_its_own_slots() {
    let ids = |range: std::ops::Range<u32>| range.map(MemberId);
    let mut table = SlotTable::default();
    table.update(ids(0..9));
    let before: Vec<_> = (0..SLOTS as u16).map(|s| table.owner(s)).collect();
    table.update(ids(0..10));
    for slot in 0..SLOTS as u16 {
        let owner = table.owner(slot);
        let kept = owner == before[usize::from(slot)] || owner == Some(MemberId(9));
        assert!(kept, "slot {slot}");
    }
    table.update(ids(0..9));
    let after: Vec<_> = (0..SLOTS as u16).map(|s| table.owner(s)).collect();
    assert_eq!(after, before);
    let mut fresh = SlotTable::default();
    fresh.update(ids(0..9).collect::<Vec<_>>().into_iter().rev());
    let fresh: Vec<_> = (0..SLOTS as u16).map(|s| fresh.owner(s)).collect();
    assert_eq!(fresh, before, "the order of arrival does not matter");
}
