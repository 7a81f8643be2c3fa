//! Reservations that are waited for.

use super::{MemoryBudget, Owner, Reservation};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

struct Waiter {
    owner: Owner,
    bytes: usize,
    /// The reservation, from its grant until it is taken.
    granted: RefCell<Option<Reservation>>,
    /// Notified when the reservation is granted.
    is_granted: Notify,
    /// Whether nobody waits any longer.
    is_withdrawn: Cell<bool>,
}

/// A requested reservation. Dropping it withdraws the request, or gives the bytes back.
pub struct PendingReservation {
    budget: Rc<MemoryBudget>,
    waiter: Rc<Waiter>,
}

impl Drop for PendingReservation {
    fn drop(&mut self) {
        self.waiter.is_withdrawn.set(true);
        // The requests behind it may have room.
        self.budget.grant_waiting();
    }
}

impl PendingReservation {
    /// Takes the reservation if it has been granted.
    pub fn take(&self) -> Option<Reservation> {
        self.waiter.granted.borrow_mut().take()
    }

    /// Waits until the reservation is granted. Cancel-safe: the place in the queue is kept.
    pub async fn granted(&self) {
        while self.waiter.granted.borrow().is_none() {
            self.waiter.is_granted.notified().await;
        }
    }

    /// Waits until the reservation is granted, and takes it.
    pub async fn wait(self) -> Reservation {
        loop {
            if let Some(reservation) = self.take() {
                return reservation;
            }
            self.granted().await;
        }
    }
}

/// Requests for reservations of equal priority, which are granted in their order.
#[derive(Default)]
pub(super) struct WaitingQueue {
    waiters: RefCell<VecDeque<Rc<Waiter>>>,
}

impl WaitingQueue {
    /// Returns whether a reservation may be waited for.
    pub(super) fn is_empty(&self) -> bool {
        self.waiters.borrow().is_empty()
    }

    /// Returns how many reservations are waited for.
    pub(super) fn len(&self) -> usize {
        let waiters = self.waiters.borrow();
        let is_waiting = |waiter: &&Rc<Waiter>| !waiter.is_withdrawn.get();
        waiters.iter().filter(is_waiting).count()
    }

    /// Adds a request to the end of the queue.
    pub(super) fn push(
        &self,
        budget: &Rc<MemoryBudget>,
        owner: Owner,
        bytes: usize,
    ) -> PendingReservation {
        let waiter = Rc::new(Waiter {
            owner,
            bytes,
            granted: RefCell::default(),
            is_granted: Notify::new(),
            is_withdrawn: Cell::default(),
        });
        self.waiters.borrow_mut().push_back(waiter.clone());
        PendingReservation {
            budget: budget.clone(),
            waiter,
        }
    }

    /// Grants the first reservations of the queue up to the first one without room.
    pub(super) fn grant_while(
        &self,
        budget: &Rc<MemoryBudget>,
        has_room: impl Fn(Owner, usize) -> bool,
    ) {
        while let Some(waiter) = self.first() {
            if !has_room(waiter.owner, waiter.bytes) {
                return;
            }
            self.waiters.borrow_mut().pop_front();
            let reservation = Reservation::new(budget, waiter.owner, waiter.bytes);
            *waiter.granted.borrow_mut() = Some(reservation);
            waiter.is_granted.notify_one();
        }
    }

    /// Returns the first request that has not been withdrawn.
    fn first(&self) -> Option<Rc<Waiter>> {
        let mut waiters = self.waiters.borrow_mut();
        while waiters.front()?.is_withdrawn.get() {
            waiters.pop_front();
        }
        waiters.front().cloned()
    }
}
