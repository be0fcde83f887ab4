//! What the reply to a repeated start proves.

use goldcrest_jobs::pool::StartAnswer;

/// The first attempt had no reply and may still be executed: a refusal of the second one does not prove that there is
/// no run.
#[test]
fn after_silence_refusals_are_not_conclusive() {
    for refusal in [
        StartAnswer::NoRoom,
        StartAnswer::Unhealthy,
        StartAnswer::Malformed,
        StartAnswer::Unknown,
    ] {
        assert_eq!(refusal.after_lost_reply(), StartAnswer::Unknown);
    }
}

#[test]
fn after_silence_an_end_is_left_to_the_report() {
    assert_eq!(
        StartAnswer::TooLate.after_lost_reply(),
        StartAnswer::Outdated
    );
    assert_eq!(
        StartAnswer::Started.after_lost_reply(),
        StartAnswer::Started
    );
}
