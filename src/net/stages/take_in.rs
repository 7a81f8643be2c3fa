//! First stage: a request from a front is held until it is answered, or sent back where there is no room.

use super::{admit, book};
use crate::api::RequestId;
use crate::net::core::{Answer, Front, Request};
use crate::net::front::{Desk, Entry};
use crate::net::shutdown::Phase;
use crate::net::Node;
use std::rc::Rc;
use tokio::time::Instant;

struct Door(Rc<Node>);

impl Entry for Door {
    fn ask(&self, front: Rc<dyn Front>, place: u64, request: Request) {
        take_in(&self.0, front, place, request);
    }

    fn leave(&self, id: RequestId) {
        book::abandon(&self.0, id);
    }
}

/// What a front of this limiter is given.
pub fn desk(node: &Rc<Node>) -> Desk {
    let (limits, shutdown, held) = (node.limits.clone(), node.shutdown.clone(), node.core.borrow().held());
    Desk { entry: Rc::new(Door(node.clone())), limits, shutdown, held }
}

/// Takes a request in. Past the limits of what the program holds it gets a back-off answer at once.
pub fn take_in(node: &Rc<Node>, front: Rc<dyn Front>, place: u64, mut request: Request) {
    let came = Instant::now();
    if !node.core.borrow().has_room() || node.shutdown.phase() >= Phase::LastCall {
        return front.answer(place, Answer::BackOff(node.limits.back_off.get()));
    }
    // An id that is still in use would make two requests one.
    if node.core.borrow().knows(request.id) {
        return front.answer(place, Answer::Failed);
    }
    // Guards against a request that would still be open when the program has to be gone.
    if let Some(last) = node.shutdown.last_answers(&node.limits) {
        request.wait = request.wait.min(last.saturating_duration_since(came));
    }
    let deadline = node.core.borrow_mut().open(front, place, &mut request, came);
    admit::admit(node, request, deadline);
}
