//! What a front needs to take requests in, and no more: one entry for requests and the word that a client left, the
//! limits, how far the program's end has come, and the tally of bytes held. A front knows neither the stages nor the
//! other parts of a limiter; whatever protocol it speaks, it ends at [`Request`] and [`Answer`](super::engine::Answer).

use super::config::Limits;
use super::engine::{Frontend, Request};
use super::shutdown::Shutdown;
use crate::api::RequestId;
use std::cell::Cell;
use std::rc::Rc;

/// Where fronts hand requests in. Each request handed in gets exactly one answer, through its [`Frontend`].
pub trait RequestHandler {
    /// Takes a request in; its answer may come before this returns.
    fn ask(&self, front: Rc<dyn Frontend>, place: u64, request: Request);
    /// The client of a request went away: nothing is owed any more.
    fn leave(&self, id: RequestId);
}

/// What every front is given.
#[derive(Clone)]
pub struct FrontendContext {
    /// Where requests are handed in.
    pub entry: Rc<dyn RequestHandler>,
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// How far the end of the program has come, and how many clients' connections there are.
    pub shutdown: Rc<Shutdown>,
    /// Bytes of requests held, and of answers that clients have not taken.
    pub held: Rc<Cell<usize>>,
}

#[cfg(test)]
mod tests {
    use super::super::engine::tests::{request, RecordingFrontend};
    use super::super::engine::Answer;
    use super::super::stages::accept::frontend_context;
    use super::super::tests::{next, with_limiter};
    use super::*;
    use crate::api::{Event, RequestId};

    /// A front of any protocol needs the desk alone: what it hands in reaches the module and is answered once, and
    /// what its client left is told.
    #[test]
    fn a_second_front_needs_the_desk_alone() {
        with_limiter(&[], |limiter| async move {
            let (frontend_context, front) = (
                frontend_context(&limiter),
                Rc::new(RecordingFrontend::default()),
            );
            frontend_context.entry.ask(front.clone(), 7, request(1));
            frontend_context.entry.ask(front.clone(), 8, request(2));
            // An id that is open already is no second request.
            frontend_context.entry.ask(front.clone(), 9, request(1));
            assert_eq!(*front.0.borrow(), [(9, Answer::Failed)]);
            frontend_context.entry.leave(RequestId(2));
            super::super::stages::complete::give_up(&limiter, RequestId(1));
            assert_eq!(
                front.0.borrow().as_slice(),
                [(9, Answer::Failed), (7, Answer::Failed)]
            );
            for expected in [1, 2] {
                let event = next(&limiter).await;
                assert!(
                    matches!(event, Event::Request { id, .. } if id == RequestId(expected)),
                    "{event:?}"
                );
            }
            assert!(matches!(
                next(&limiter).await,
                Event::Abandoned { id: RequestId(2) }
            ));
            assert_eq!(frontend_context.held.get(), 0);
        });
    }
}
