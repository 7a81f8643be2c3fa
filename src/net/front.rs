//! What a front needs to take requests in, and no more: one entry for requests and the word that a client left, the
//! limits, how far the program's end has come, and the tally of bytes held. A front knows neither the stages nor the
//! other parts of a limiter; whatever protocol it speaks, it ends at [`Request`] and [`Answer`](super::core::Answer).

use super::config::Limits;
use super::core::{Front, Request};
use super::shutdown::Shutdown;
use crate::api::RequestId;
use std::cell::Cell;
use std::rc::Rc;

/// Where fronts hand requests in. Each request handed in gets exactly one answer, through its [`Front`].
pub trait Entry {
    /// Takes a request in; its answer may come before this returns.
    fn ask(&self, front: Rc<dyn Front>, place: u64, request: Request);
    /// The client of a request went away: nothing is owed any more.
    fn leave(&self, id: RequestId);
}

/// What every front is given.
#[derive(Clone)]
pub struct Desk {
    /// Where requests are handed in.
    pub entry: Rc<dyn Entry>,
    /// Sizes, counts and times.
    pub limits: Rc<Limits>,
    /// How far the end of the program has come, and how many clients' connections there are.
    pub shutdown: Rc<Shutdown>,
    /// Bytes of requests held, and of answers that clients have not taken.
    pub held: Rc<Cell<usize>>,
}

#[cfg(test)]
mod tests {
    use super::super::core::tests::{request, Kept};
    use super::super::core::Answer;
    use super::super::stages::take_in::desk;
    use super::super::tests::{next, with_node};
    use super::*;
    use crate::api::{Event, RequestId};

    /// A front of any protocol needs the desk alone: what it hands in reaches the module and is answered once, and
    /// what its client left is told.
    #[test]
    fn a_second_front_needs_the_desk_alone() {
        with_node(&[], |node| async move {
            let (desk, front) = (desk(&node), Rc::new(Kept::default()));
            desk.entry.ask(front.clone(), 7, request(1));
            desk.entry.ask(front.clone(), 8, request(2));
            // An id that is open already is no second request.
            desk.entry.ask(front.clone(), 9, request(1));
            assert_eq!(*front.0.borrow(), [(9, Answer::Failed)]);
            desk.entry.leave(RequestId(2));
            super::super::stages::book::give_up(&node, RequestId(1));
            assert_eq!(front.0.borrow().as_slice(), [(9, Answer::Failed), (7, Answer::Failed)]);
            for expected in [1, 2] {
                let event = next(&node).await;
                assert!(matches!(event, Event::Request { id, .. } if id == RequestId(expected)), "{event:?}");
            }
            assert!(matches!(next(&node).await, Event::Abandoned { id: RequestId(2) }));
            assert_eq!(desk.held.get(), 0);
        });
    }
}
