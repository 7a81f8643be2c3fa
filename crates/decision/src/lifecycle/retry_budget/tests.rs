use super::RetryBudget;

fn retries(budget: &mut RetryBudget) -> usize {
    let mut count = 0;
    while budget.has_retry() {
        budget.spend();
        count += 1;
    }
    count
}

#[test]
fn budget_starts_with_one_retry() {
    assert_eq!(retries(&mut RetryBudget::new()), 1);
}

#[test]
fn about_ten_requests_earn_a_retry() {
    let mut budget = RetryBudget::new();
    retries(&mut budget);
    for _ in 0..51 {
        budget.earn();
    }
    assert_eq!(retries(&mut budget), 5);
}

#[test]
fn limiters_share_the_maximum() {
    for (limiter_count, expected) in [(1, 20), (4, 5), (300, 1)] {
        let mut budget = RetryBudget::new();
        for _ in 0..1_000 {
            budget.earn();
        }
        budget.limit(limiter_count);
        assert_eq!(retries(&mut budget), expected, "{limiter_count} limiters");
    }
}
