//! Random customers and the times of their requests.

use super::random::Random;
use super::{nanos, LOAD_SECONDS};
use quartzcleat_decision::api::{ClassIndex, LimiterIndex, Nanos, PlanIndex, Settings};
use quartzcleat_invariants::PartnerIndex;
use quartzcleat_simulation::scenario::{ClientRequest, LimiterSet};
use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};

/// The most requests of a deployment, so that a simulation ends in time.
pub(super) const MAX_REQUESTS: usize = 12_000;
/// The part of customers that use more than their quota.
const HEAVY_CUSTOMERS: f64 = 0.15;
/// The part below which customers are heavy or bursty; the others keep within their quotas.
const BURSTY_CUSTOMERS: f64 = 0.4;
/// The use of a customer, relative to its quota, that counts as load at most: quotas reject the rest.
const MAX_COUNTED_USAGE: f64 = 1.2;
/// The least rate of requests, in requests per second.
const MIN_REQUEST_RATE: f64 = 1e-3;
const MIN_UNITS: f64 = 0.25;

/// A request and when it is sent.
pub(super) struct TimedRequest {
    /// When it is sent.
    pub at: Nanos,
    /// The request.
    pub ask: ClientRequest,
}

/// The requests of all customers in the order of their times.
pub(super) struct ClientLoad {
    /// The requests.
    pub requests: Vec<TimedRequest>,
    /// The number of customers.
    pub customers: usize,
}

/// A customer's habits.
struct Customer {
    index: PartnerIndex,
    plan: PlanIndex,
    /// The limiters that the customer uses, from `first_limiter` on.
    limiter_spread: u32,
    first_limiter: u32,
    /// The use relative to the quota.
    usage: f64,
    bursty: bool,
    /// The seconds from one burst to the next.
    burst_period: f64,
    /// The part of the period that a burst lasts.
    burst_share: f64,
}

impl Customer {
    fn generate(random: &mut Random, settings: &Settings, index: PartnerIndex) -> Self {
        let plan = PlanIndex::from_usize(random.0.random_range(0..settings.plans.len()));
        let limiter_spread = random.count(1, settings.limiters.count);
        let first_limiter = random.0.random_range(0..settings.limiters.count);
        let habit = random.uniform(0.0, 1.0);
        let (usage, bursty) = if habit < HEAVY_CUSTOMERS {
            (random.uniform(1.5, 4.0), false)
        } else if habit < BURSTY_CUSTOMERS {
            (random.uniform(0.3, 0.8), true)
        } else {
            (random.uniform(0.2, 0.9), false)
        };
        Customer {
            index,
            plan,
            limiter_spread,
            first_limiter,
            usage,
            bursty,
            burst_period: random.log_uniform(3.0, 15.0),
            burst_share: random.uniform(0.1, 0.4),
        }
    }

    /// Requests per second while the customer sends.
    fn request_rate(&self, settings: &Settings) -> f64 {
        let sending_share = if self.bursty { self.burst_share } else { 1.0 };
        settings.plans[self.plan.as_usize()].rate * self.usage / sending_share
    }

    /// Whether the customer is silent at a time, between two bursts.
    fn is_silent(&self, at: f64) -> bool {
        self.bursty && (at % self.burst_period) > self.burst_period * self.burst_share
    }

    fn next_burst(&self, at: f64) -> f64 {
        (at / self.burst_period).floor() * self.burst_period + self.burst_period
    }

    /// Appends the customer's requests.
    fn add_requests(
        &self,
        random: &mut Random,
        settings: &Settings,
        gap: Exp<f64>,
        requests: &mut Vec<TimedRequest>,
    ) {
        let mut at = random.uniform(0.0, self.burst_period);
        if !self.bursty {
            at = gap.sample(&mut random.0);
        }
        while at < LOAD_SECONDS && requests.len() < MAX_REQUESTS {
            if self.is_silent(at) {
                at = self.next_burst(at) + gap.sample(&mut random.0);
                continue;
            }
            let operation = requests.len() as u64 + 1;
            requests.push(TimedRequest {
                at: nanos(at),
                ask: self.request(random, settings, operation),
            });
            at += gap.sample(&mut random.0);
        }
    }

    fn request(&self, random: &mut Random, settings: &Settings, operation: u64) -> ClientRequest {
        let class = random.0.random_range(0..settings.classes.len());
        let units: f64 =
            LogNormal::new(-0.125, 0.5).map_or(1.0, |units| units.sample(&mut random.0));
        let limiter = self.first_limiter + random.0.random_range(0..self.limiter_spread);
        ClientRequest {
            operation,
            class: ClassIndex::from_usize(class),
            partner: self.index,
            plan: self.plan,
            units: units.clamp(MIN_UNITS, settings.units.largest_request),
            true_units: 0.0,
            limiter: LimiterIndex(limiter % settings.limiters.count),
            limiter_set: LimiterSet {
                count: self.limiter_spread,
                first: LimiterIndex(self.first_limiter),
            },
            timeout: settings.classes[class].deadline,
            retry: false,
        }
    }
}

/// Generates customers until their mean use fills so many cores.
pub(super) fn client_load(
    random: &mut Random,
    settings: &Settings,
    work: &[Nanos],
    cores: f64,
) -> ClientLoad {
    let mut requests = Vec::new();
    let mut customers = 0;
    let mut filled_cores = 0.0;
    let mean_work = work.iter().sum::<u64>() as f64 / 1e9 / work.len().max(1) as f64;
    while filled_cores < cores && requests.len() < MAX_REQUESTS {
        let customer = Customer::generate(random, settings, PartnerIndex(customers));
        let rate = settings.plans[customer.plan.as_usize()].rate;
        filled_cores += customer.usage.min(MAX_COUNTED_USAGE) * rate * mean_work;
        let request_rate = customer.request_rate(settings).max(MIN_REQUEST_RATE);
        let Ok(gap) = Exp::new(request_rate) else {
            break;
        };
        customer.add_requests(random, settings, gap, &mut requests);
        customers += 1;
    }
    requests.sort_by_key(|request| request.at);
    ClientLoad {
        requests,
        customers,
    }
}
