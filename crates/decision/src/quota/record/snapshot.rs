//! Conversion of a customer's record to and from its snapshot.

use super::{CustomerRecord, PreviousWindow};
use crate::api::{CustomerId, Nanos};
use crate::primitives::TokenBucket;
use crate::quota::counts::WindowCounts;
use crate::snapshot::{
    valid_units, ConfirmedSnapshot, CustomerSnapshot, OwnAddsSnapshot, TimedUnits, TotalsSnapshot,
};

impl CustomerRecord {
    pub(in crate::quota) fn snapshot(&self, customer: CustomerId) -> CustomerSnapshot {
        CustomerSnapshot {
            customer: customer.0,
            window: self.window,
            totals: TotalsSnapshot {
                current: self.current.total,
                previous: self.previous.total,
                is_current_known: self.current.is_total_known,
                is_previous_read: self.previous.is_read,
            },
            confirmed: ConfirmedSnapshot {
                amount: self.current.confirmed - self.current.refunded,
                lost: self.current.lost,
            },
            own: OwnAddsSnapshot {
                current: self.current.own,
                previous: self.previous.own,
            },
            local_tokens: TimedUnits {
                units: self.local_tokens.tokens(),
                at: self.local_tokens.refilled_at(),
            },
            previous_credit: self.previous.credit,
            recent_units: TimedUnits {
                units: self.recent_units,
                at: self.last_seen,
            },
        }
    }

    /// Creates a record from a predecessor's snapshot.
    pub(in crate::quota) fn from_snapshot(
        snapshot: &CustomerSnapshot,
        limiter_started_at: Nanos,
        now: Nanos,
    ) -> Self {
        let local_tokens = &snapshot.local_tokens;
        CustomerRecord {
            window: snapshot.window,
            current: WindowCounts {
                total: valid_units(snapshot.totals.current),
                confirmed: valid_units(snapshot.confirmed.amount),
                lost: valid_units(snapshot.confirmed.lost),
                own: valid_units(snapshot.own.current),
                is_total_known: snapshot.totals.is_current_known,
                ..WindowCounts::default()
            },
            previous: PreviousWindow {
                credit: valid_units(snapshot.previous_credit),
                total: valid_units(snapshot.totals.previous),
                own: valid_units(snapshot.own.previous),
                is_read: snapshot.totals.is_previous_read,
                awaiting_read: Vec::new(),
            },
            local_tokens: TokenBucket::new(
                valid_units(local_tokens.units),
                local_tokens.at.min(now),
            ),
            recent_units: valid_units(snapshot.recent_units.units),
            last_seen: snapshot.recent_units.at.min(now),
            ..CustomerRecord::new(limiter_started_at)
        }
    }
}
