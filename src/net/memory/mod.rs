//! The memory that a process holds for others: one budget, which follows from `limits.memory_mb`, and the reservations
//! out of it.
//!
//! Whatever a client, a host or a service makes the process hold is reserved here: connections, commands that are not
//! complete, requests and their arguments, answers of hosts, responses that clients have not taken. Each owner may use
//! more of the budget than the one before it in this order:
//!
//! 1. commands that are not complete: half of the budget, and only while five eighths are not exceeded altogether;
//! 2. new requests: three quarters, of which the records of customers take at most half;
//! 3. answers to requests that were forwarded: all of it.
//!
//! The fixed costs of connections are taken from the budget first, up to half of it, so that no number of connections keeps
//! requests out.
//!
//! A long command or answer reserves its whole announced length before it is read, so that each holder can finish. What
//! waits for a reservation stays in the buffers of the kernel.

mod owner;
mod reservation;
mod resident;
mod waiting;

#[cfg(test)]
mod tests;

pub use owner::Owner;
pub use reservation::Reservation;
pub use resident::ResidentMemory;
pub use waiting::PendingReservation;

use self::waiting::WaitingQueue;
use crate::net::config::Limits;
use std::cell::Cell;
use std::rc::Rc;

/// The budget of a process. It counts every reservation.
pub struct MemoryBudget {
    limits: Rc<Limits>,
    /// Reserved bytes by owner, in the order of [`Owner::ALL`].
    reserved: [Cell<usize>; Owner::ALL.len()],
    /// The most bytes that were reserved at a time since [`take_peak`](Self::take_peak).
    peak: Cell<usize>,
    waiting_answers: WaitingQueue,
    waiting_commands: WaitingQueue,
}

impl MemoryBudget {
    /// Creates a budget without reservations.
    pub fn new(limits: &Rc<Limits>) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limits: limits.clone(),
            reserved: Default::default(),
            peak: Cell::default(),
            waiting_answers: WaitingQueue::default(),
            waiting_commands: WaitingQueue::default(),
        })
    }

    /// Returns how many bytes may be reserved.
    pub fn capacity(&self) -> usize {
        self.limits.reservable_memory_share()
    }

    /// Returns how many bytes an owner has reserved.
    pub fn reserved(&self, owner: Owner) -> usize {
        self.reserved[owner.index()].get()
    }

    /// Returns how many bytes are reserved.
    pub fn total(&self) -> usize {
        self.reserved.iter().map(Cell::get).sum()
    }

    /// Returns the most bytes that were reserved at a time since the last call.
    pub fn take_peak(&self) -> usize {
        self.peak.replace(self.total())
    }

    /// Returns how many reservations are waited for.
    pub fn waiting(&self) -> usize {
        self.waiting_answers.len() + self.waiting_commands.len()
    }

    /// Returns whether another request may be accepted.
    pub fn has_room_for_requests(&self) -> bool {
        self.total_beside_connections() < self.request_capacity()
    }

    /// Reserves bytes even past the capacity. The caller bounds what it holds by other means, such as the number of
    /// connections.
    pub fn hold(self: &Rc<Self>, owner: Owner, bytes: usize) -> Reservation {
        Reservation::new(self, owner, bytes)
    }

    /// Requests a reservation, which is granted at once or as soon as there is room for it. Reservations of equal
    /// priority are granted in the order of the requests.
    pub fn request(self: &Rc<Self>, owner: Owner, bytes: usize) -> PendingReservation {
        let pending = self.queue(owner).push(self, owner, bytes);
        self.grant_waiting();
        pending
    }

    /// Makes a reservation that the caller can do without: only while half of the budget stays free.
    pub fn reserve_spare(self: &Rc<Self>, owner: Owner, bytes: usize) -> Option<Reservation> {
        let total = self.total_beside_connections() + bytes;
        (total <= self.spare_capacity()).then(|| self.hold(owner, bytes))
    }

    /// Returns the total past which [`reserve_spare`](Self::reserve_spare) makes no reservation.
    pub fn spare_capacity(&self) -> usize {
        self.capacity_beside_connections() / 2
    }

    fn queue(&self, owner: Owner) -> &WaitingQueue {
        match owner {
            Owner::Commands => &self.waiting_commands,
            _ => &self.waiting_answers,
        }
    }

    fn total_beside_connections(&self) -> usize {
        self.total() - self.reserved(Owner::Connections)
    }

    /// Returns how many bytes may be reserved beside connections.
    fn capacity_beside_connections(&self) -> usize {
        let capacity = self.capacity();
        let connections = self.reserved(Owner::Connections);
        capacity - connections.min(capacity / 2)
    }

    fn request_capacity(&self) -> usize {
        self.capacity_beside_connections() / 4 * 3
    }

    /// Returns how many bytes the customers may take that the decision engine knows.
    pub fn customer_capacity(&self) -> usize {
        self.request_capacity() / 2
    }

    fn command_capacity(&self) -> usize {
        self.capacity_beside_connections() / 2
    }

    /// Returns the total past which no long command is read. Short requests, which need not wait, have room beyond it.
    fn command_total_capacity(&self) -> usize {
        self.capacity_beside_connections() / 8 * 5
    }

    /// Returns whether a reservation may be granted now.
    fn has_room(&self, owner: Owner, bytes: usize) -> bool {
        let total = self.total_beside_connections() + bytes;
        match owner {
            Owner::Commands => {
                let commands = self.reserved(Owner::Commands) + bytes;
                commands <= self.command_capacity() && total <= self.command_total_capacity()
            }
            _ => total <= self.capacity_beside_connections(),
        }
    }

    /// Grants reservations that are waited for, answers of hosts first.
    fn grant_waiting(self: &Rc<Self>) {
        for queue in [&self.waiting_answers, &self.waiting_commands] {
            queue.grant_while(self, |owner, bytes| self.has_room(owner, bytes));
        }
    }

    fn add(&self, owner: Owner, bytes: usize) {
        let reserved = &self.reserved[owner.index()];
        reserved.set(reserved.get() + bytes);
        self.peak.set(self.peak.get().max(self.total()));
    }

    fn subtract(self: &Rc<Self>, owner: Owner, bytes: usize) {
        let reserved = &self.reserved[owner.index()];
        reserved.set(reserved.get() - bytes);
        self.grant_if_waiting();
    }

    fn transfer(self: &Rc<Self>, from: Owner, to: Owner, bytes: usize) {
        let from = &self.reserved[from.index()];
        from.set(from.get() - bytes);
        let to = &self.reserved[to.index()];
        to.set(to.get() + bytes);
        self.grant_if_waiting();
    }

    fn grant_if_waiting(self: &Rc<Self>) {
        if !self.waiting_answers.is_empty() || !self.waiting_commands.is_empty() {
            self.grant_waiting();
        }
    }
}
