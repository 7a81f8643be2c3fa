//! Tests of the budget: what each owner may reserve, the order of the grants, and what is given back.

use super::*;
use crate::net::tests::with_limiter;

/// Calls `test` with a budget without reservations.
fn with_budget(test: impl FnOnce(Rc<MemoryBudget>)) {
    with_limiter(&[], |limiter| async move {
        test(MemoryBudget::new(limiter.limits()));
    });
}

/// Requests a reservation; returns it if it is granted at once.
fn granted(budget: &Rc<MemoryBudget>, owner: Owner, bytes: usize) -> Option<Reservation> {
    budget.request(owner, bytes).take()
}

#[test]
fn dropped_reservations_are_given_back() {
    with_budget(|budget| {
        let held = budget.hold(Owner::Responses, 30);
        let mut request = budget.hold(Owner::Commands, 100);
        request.resize(70);
        let request = request.transferred_to(Owner::Requests);
        assert_eq!(budget.reserved(Owner::Commands), 0);
        assert_eq!(budget.reserved(Owner::Requests), 70);
        assert_eq!(budget.total(), 100);
        drop((held, request));
        assert_eq!(budget.total(), 0);
        assert_eq!(budget.take_peak(), 130);
        assert_eq!(budget.take_peak(), 0);
    });
}

/// Partial commands leave room for requests, and requests leave room for the answers to those that were forwarded.
#[test]
fn earlier_owners_leave_room_for_later_ones() {
    with_budget(|budget| {
        let capacity = budget.capacity();
        let half = capacity / 2;
        let commands = granted(&budget, Owner::Commands, half);
        assert!(commands.is_some());
        assert!(granted(&budget, Owner::Commands, 1).is_none());
        assert!(budget.has_room_for_requests());
        let requests = budget.hold(Owner::Requests, capacity / 4);
        assert!(!budget.has_room_for_requests());
        drop(commands);
        assert!(granted(&budget, Owner::Commands, half + 1).is_none());
        drop(requests);
        let commands = granted(&budget, Owner::Commands, half);
        let rest = capacity - half;
        let answer = granted(&budget, Owner::HostAnswers, rest);
        assert!(commands.is_some() && answer.is_some());
        assert!(granted(&budget, Owner::HostAnswers, 1).is_none());
    });
}

/// However many connections there are, requests, commands and answers keep half of the budget.
#[test]
fn connections_do_not_keep_requests_out() {
    with_budget(|budget| {
        let capacity = budget.capacity();
        let _connections = budget.hold(Owner::Connections, 2 * capacity);
        assert!(budget.has_room_for_requests());
        let command = granted(&budget, Owner::Commands, capacity / 4);
        let answer = granted(&budget, Owner::HostAnswers, capacity / 4);
        assert!(command.is_some() && answer.is_some());
        assert!(granted(&budget, Owner::HostAnswers, 2).is_none());
    });
}

/// What the caller can do without is reserved only while half of the budget stays free.
#[test]
fn spare_reservations_leave_half_of_the_budget_free() {
    with_budget(|budget| {
        let half = budget.capacity() / 2;
        let first = budget.reserve_spare(Owner::StreamedValues, half);
        assert!(first.is_some());
        let second = budget.reserve_spare(Owner::StreamedValues, 1);
        assert!(second.is_none());
    });
}

/// A request in the queue is granted before a later one that would fit earlier, and one that is withdrawn does not
/// block those behind it.
#[test]
fn reservations_are_granted_in_the_order_of_the_requests() {
    with_budget(|budget| {
        let half = budget.capacity() / 2;
        let holder = granted(&budget, Owner::Commands, half);
        let withdrawn = budget.request(Owner::Commands, half);
        let large = budget.request(Owner::Commands, half - 1);
        let small = budget.request(Owner::Commands, 1);
        assert_eq!(budget.waiting(), 3);
        drop(withdrawn);
        assert_eq!(budget.waiting(), 2);
        assert!(small.take().is_none(), "it waits behind the others");
        drop(holder);
        assert!(large.take().is_some() && small.take().is_some());
        assert_eq!((budget.waiting(), budget.total()), (0, 0));
    });
}

/// Room that becomes free goes to the answers of hosts before the commands of clients.
#[test]
fn answers_are_granted_before_commands() {
    with_budget(|budget| {
        let capacity = budget.capacity();
        let holder = budget.hold(Owner::Responses, capacity);
        let command = budget.request(Owner::Commands, capacity / 2);
        let answer = budget.request(Owner::HostAnswers, capacity / 2);
        drop(holder);
        let answer = answer.take();
        assert!(answer.is_some());
        assert!(command.take().is_none(), "requests have no room left");
        drop(answer);
        assert!(command.take().is_some());
    });
}

/// A request that is withdrawn makes way for those behind it at once.
#[test]
fn withdrawn_request_does_not_block_those_behind_it() {
    with_budget(|budget| {
        let capacity = budget.capacity();
        let _holder = budget.hold(Owner::Responses, capacity / 2);
        let large = budget.request(Owner::HostAnswers, capacity);
        let small = budget.request(Owner::HostAnswers, 1);
        assert!(small.take().is_none());
        drop(large);
        assert!(small.take().is_some());
    });
}

/// A granted reservation that nobody takes is given back.
#[test]
fn withdrawn_reservation_is_given_back() {
    with_budget(|budget| {
        let pending = budget.request(Owner::HostAnswers, 10);
        assert_eq!(budget.total(), 10);
        drop(pending);
        assert_eq!(budget.total(), 0);
    });
}

/// The budget of a process, in KiB, for the memory of the limiter in MiB and the number of its processes.
#[test]
fn budget_leaves_room_for_the_process_and_the_allocator() {
    for (memory_mb, process_count, expected_kib) in [
        (32, 1, 14_745),
        (64, 1, 34_406),
        (192, 1, 113_049),
        (32, 2, 4_915),
        (4, 1, 512),
    ] {
        let memory = format!("\"memory_mb\": {memory_mb}");
        with_limiter(&[("\"memory_mb\": 192", &memory)], |limiter| async move {
            limiter
                .limits()
                .hot_restart
                .process_count
                .set(process_count);
            let budget = MemoryBudget::new(limiter.limits());
            assert_eq!(budget.capacity() >> 10, expected_kib, "{memory_mb} MiB");
        });
    }
}

#[test]
fn resident_memory_is_read_in_bytes() {
    let status = "Name:\tq\nVmRSS:\t    5604 kB\nRssAnon:\t     484 kB\n";
    let expected = ResidentMemory {
        total: 5604 << 10,
        anonymous: 484 << 10,
    };
    assert_eq!(ResidentMemory::parse(status), expected);
    assert!(ResidentMemory::read().total > 0);
}
