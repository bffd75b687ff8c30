//! Announcements of a target may arrive late, on another connection than a later one.

use dragonflylug::host::target::TargetClient;
use dragonflylug::target::Announcement;

fn announcement(instance: &str, is_draining: bool) -> Announcement {
    Announcement {
        service: "bookings".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 4,
        connections: 16,
        is_draining,
        instance: Some(instance.into()),
        started_at_ms: None,
    }
}

#[test]
fn late_announcement_revives_a_target_that_drains() {
    let target = TargetClient::default();
    assert!(target.record_announcement(announcement("a", false)));
    assert!(target.record_announcement(announcement("a", true)));
    assert!(!target.record_announcement(announcement("a", false)));
    assert!(target.record_announcement(announcement("b", false)));
    assert!(!target.record_announcement(announcement("a", false)));
}
