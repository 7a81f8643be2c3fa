//! Settings that change while requests are under way: nothing of the old ones outlives them under another's name or
//! index.

use super::*;
use crate::api::{HostId, Outcome, ReportSource};
use crate::net::engine::tests::{attempt_order, no_reply, request};
use crate::net::engine::{HostCall, HostCommand};
use crate::net::resp::codec;
use crate::net::resp::upstream::interpret;
use crate::net::tests::{next, with_limiter};
use crate::net::Limiter;
use std::time::Duration;
use tokio::time::Instant;

const TOY: &str = include_str!("../../../examples/toy.json");

/// Takes a file in, which is sound.
fn take(limiter: &Rc<Limiter>, text: &str) {
    let read = config::parse_replacement(
        &limiter.reloader().active_config.file.borrow(),
        text,
        |_| None,
    );
    assert!(read.is_ok(), "{:?}", read.err());
    limiter.reloader().apply(read);
}

/// An attempt of a request that is under way.
fn under_way(limiter: &Rc<Limiter>, id: u64) -> HostCall {
    let now = Instant::now();
    let mut requests = limiter.engine().requests().borrow_mut();
    requests.open(no_reply(), &mut request(id), now);
    requests
        .begin_attempt(attempt_order(id, HostId(5)), now)
        .expect("within the cap")
}

/// How long pooled connections are kept, and where hosts tell their load, follow the new file; requests under way end
/// by it too.
#[test]
fn what_holds_for_hosts_follows_the_new_settings() {
    with_limiter(&[], |limiter| async move {
        let attempt = under_way(&limiter, 1);
        assert!(matches!(attempt.command, HostCommand::Attempt { .. }));
        let answer = b"*3\r\n$3\r\nbed\r\n$-1\r\n$10\r\ninflight=7\r\n";
        let load = || {
            let reply = codec::parse_reply(answer, limiter.limits())
                .expect("sound")
                .expect("whole")
                .reply;
            let source = limiter.upstream().report_source();
            let end = interpret(&reply, answer, &attempt.command, attempt.host, source).result;
            assert_eq!(end.outcome, Outcome::Good);
            end.load.readings.len()
        };
        let idle = || limiter.limits().upstream.idle_timeout.get();
        assert_eq!((load(), idle()), (0, Duration::from_secs(15)));
        let new = TOY.replace("\"how\": \"none\"", "\"how\": \"answers\"");
        take(
            &limiter,
            &new.replace("\"connIdleNs\": 30000000000", "\"connIdleNs\": 4000000000"),
        );
        assert!(
            matches!(next(&limiter).await, Event::SettingsChanged { .. }),
            "the file is sound"
        );
        assert_eq!(limiter.upstream().report_source(), ReportSource::Answers);
        assert_eq!((load(), idle()), (1, Duration::from_secs(2)));
    });
}

/// Classes and plans in another order, and one under the other's name: each number goes on to stand for what it stood
/// for, with its deadline and effect, and each name for what the new file says.
#[test]
fn a_file_in_another_order_moves_nothing_under_another_s_index() {
    with_limiter(&[], |limiter| async move {
        let named = |name: &str| {
            let catalog = limiter.reloader().active_config.catalog.borrow();
            catalog.class(name).map(|entry| entry.index)
        };
        assert_eq!((named("bed-check"), named("bed-hold")), (Some(0), Some(1)));
        // The names change places: what was safe to repeat is now called as what was not.
        let new = TOY
            .replace("bed-check", "x")
            .replace("bed-hold", "bed-check")
            .replace("\"x\"", "\"bed-hold\"");
        take(&limiter, &new);
        let Event::SettingsChanged { settings } = next(&limiter).await else {
            panic!("not told")
        };
        let old = config::parse(TOY, |_| None).expect("sound").settings;
        assert_eq!(
            settings.classes[..2],
            old.classes[..],
            "who was taken before goes on under its own terms"
        );
        let (check, hold) = (
            named("bed-check").expect("heard"),
            named("bed-hold").expect("heard"),
        );
        assert!(check > 1 && hold > 1, "new terms have new numbers");
        let (check, hold) = (
            &settings.classes[check as usize],
            &settings.classes[hold as usize],
        );
        assert_eq!(
            (check.effect, check.deadline),
            (old.classes[1].effect, old.classes[1].deadline)
        );
        assert_eq!(
            (hold.effect, hold.deadline),
            (old.classes[0].effect, old.classes[0].deadline)
        );
        // And back: the numbers of the first file are had again.
        take(&limiter, TOY);
        let Event::SettingsChanged { settings } = next(&limiter).await else {
            panic!("not told")
        };
        assert_eq!(settings.classes[..2], old.classes[..]);
        assert_eq!((named("bed-check"), named("bed-hold")), (Some(0), Some(1)));
    });
}
