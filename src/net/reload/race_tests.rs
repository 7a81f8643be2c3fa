//! Tests of reloads while requests are open: no class or plan gets the index or the name of another one.

use crate::api::{ClassIndex, Event, HostId, Outcome, ReportSource};
use crate::net::config;
use crate::net::engine::tests::{attempt_order, no_reply, request};
use crate::net::engine::{HostCall, HostCommand};
use crate::net::resp::codec;
use crate::net::resp::upstream::interpret;
use crate::net::tests::{next_event, with_limiter};
use crate::net::Limiter;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const EXAMPLE: &str = include_str!("../../../examples/toy.json");

/// Reloads the configuration from `text`, which must be valid.
fn reload(limiter: &Rc<Limiter>, text: &str) {
    let result = config::parse_replacement(
        &limiter.reloader().active_config.file.borrow(),
        text,
        |_| None,
    );
    assert!(result.is_ok(), "{:?}", result.err());
    limiter.reloader().apply(result);
}

/// Opens a request and begins an attempt of it.
fn begin_attempt(limiter: &Rc<Limiter>, id: u64) -> HostCall {
    let now = Instant::now();
    let mut requests = limiter.engine().requests().borrow_mut();
    requests.open(no_reply(), &mut request(id), now);
    requests
        .begin_attempt(attempt_order(id, HostId(5)), now)
        .expect("within the cap")
}

/// A reload changes the idle timeout of pooled connections and the place where hosts report their load, also for
/// attempts of requests that are open.
#[test]
fn settings_of_host_connections_follow_a_reload() {
    with_limiter(&[], |limiter| async move {
        let attempt = begin_attempt(&limiter, 1);
        assert!(matches!(attempt.command, HostCommand::Attempt { .. }));
        let answer = b"*3\r\n$3\r\nbed\r\n$-1\r\n$10\r\ninflight=7\r\n";
        let load = || {
            let reply = codec::parse_reply(answer, limiter.limits())
                .expect("valid")
                .expect("complete")
                .reply;
            let source = limiter.upstream().report_source();
            let end = interpret(&reply, answer, &attempt.command, attempt.host, source).result;
            assert_eq!(end.outcome, Outcome::Good);
            end.load.readings.len()
        };
        let idle = || limiter.limits().upstream.idle_timeout.get();
        assert_eq!((load(), idle()), (0, Duration::from_secs(15)));
        let new = EXAMPLE.replace("\"how\": \"none\"", "\"how\": \"answers\"");
        reload(
            &limiter,
            &new.replace("\"connIdleNs\": 30000000000", "\"connIdleNs\": 4000000000"),
        );
        assert!(
            matches!(next_event(&limiter).await, Event::SettingsChanged { .. }),
            "the file is valid"
        );
        assert_eq!(limiter.upstream().report_source(), ReportSource::Answers);
        assert_eq!((load(), idle()), (1, Duration::from_secs(2)));
    });
}

/// A new file may list classes and plans in another order, or give one the name of another. Each index keeps its class
/// or plan, with its deadline and effect, and each name refers to the definition in the new file.
#[test]
fn reordered_classes_keep_their_indices() {
    with_limiter(&[], |limiter| async move {
        let named = |name: &str| {
            let catalog = limiter.reloader().active_config.catalog.borrow();
            catalog.class(name).map(|entry| entry.index)
        };
        assert_eq!(
            (named("bed-check"), named("bed-hold")),
            (Some(ClassIndex(0)), Some(ClassIndex(1)))
        );
        // The two classes swap names.
        let new = EXAMPLE
            .replace("bed-check", "x")
            .replace("bed-hold", "bed-check")
            .replace("\"x\"", "\"bed-hold\"");
        reload(&limiter, &new);
        let Event::SettingsChanged { settings } = next_event(&limiter).await else {
            panic!("the engine receives the settings")
        };
        let old = config::parse(EXAMPLE, |_| None).expect("valid").settings;
        assert_eq!(
            settings.classes[..2],
            old.classes[..],
            "requests accepted before keep their class"
        );
        let check = named("bed-check").expect("accepted");
        let hold = named("bed-hold").expect("accepted");
        assert!(
            check > ClassIndex(1) && hold > ClassIndex(1),
            "new definitions have new indices"
        );
        let check = &settings.classes[check.as_usize()];
        let hold = &settings.classes[hold.as_usize()];
        assert_eq!(
            (check.effect, check.deadline),
            (old.classes[1].effect, old.classes[1].deadline)
        );
        assert_eq!(
            (hold.effect, hold.deadline),
            (old.classes[0].effect, old.classes[0].deadline)
        );
        // After a reload of the first file its classes have their first indices again.
        reload(&limiter, EXAMPLE);
        let Event::SettingsChanged { settings } = next_event(&limiter).await else {
            panic!("the engine receives the settings")
        };
        assert_eq!(settings.classes[..2], old.classes[..]);
        assert_eq!(
            (named("bed-check"), named("bed-hold")),
            (Some(ClassIndex(0)), Some(ClassIndex(1)))
        );
    });
}
