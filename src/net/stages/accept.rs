//! First stage: a request from a front is held until it is answered, or sent back where there is no room.

use super::{admit, complete};
use crate::api::RequestId;
use crate::net::engine::{Answer, Frontend, Request};
use crate::net::frontend::{FrontendContext, RequestHandler};
use crate::net::shutdown::Phase;
use crate::net::Limiter;
use std::rc::Rc;
use tokio::time::Instant;

struct Door(Rc<Limiter>);

impl RequestHandler for Door {
    fn ask(&self, front: Rc<dyn Frontend>, place: u64, request: Request) {
        take_in(&self.0, front, place, request);
    }

    fn leave(&self, id: RequestId) {
        complete::abandon(&self.0, id);
    }
}

/// What a front of this limiter is given.
pub fn frontend_context(limiter: &Rc<Limiter>) -> FrontendContext {
    let (limits, shutdown, held) = (
        limiter.limits.clone(),
        limiter.shutdown.clone(),
        limiter.engine.borrow().held(),
    );
    FrontendContext {
        entry: Rc::new(Door(limiter.clone())),
        limits,
        shutdown,
        held,
    }
}

/// Takes a request in. Past the limits of what the program holds it gets a back-off answer at once.
pub fn take_in(limiter: &Rc<Limiter>, front: Rc<dyn Frontend>, place: u64, mut request: Request) {
    let came = Instant::now();
    if !limiter.engine.borrow().has_room() || limiter.shutdown.phase() >= Phase::LastCall {
        return front.answer(place, Answer::BackOff(limiter.limits.back_off.get()));
    }
    // An id that is still in use would make two requests one.
    if limiter.engine.borrow().knows(request.id) {
        return front.answer(place, Answer::Failed);
    }
    // Guards against a request that would still be open when the program has to be gone.
    if let Some(last) = limiter.shutdown.last_answers(&limiter.limits) {
        request.wait = request.wait.min(last.saturating_duration_since(came));
    }
    let deadline = limiter
        .engine
        .borrow_mut()
        .open(front, place, &mut request, came);
    admit::admit(limiter, request, deadline);
}
