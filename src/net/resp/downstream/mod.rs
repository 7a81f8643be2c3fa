//! Client connections. Commands of one connection are handled side by side; their responses are sent in the order of
//! the commands.

mod closing;
mod command_error;
mod connection;
mod idle_connections;
mod input;
mod listener;
mod output;
mod request_catalog;
mod request_facts;
mod request_parser;
mod response_queue;

#[cfg(test)]
mod tests;

pub use listener::{accept, RedirectListener};
pub use request_catalog::RequestCatalog;

use self::idle_connections::IdleConnections;
use crate::net::frontend::FrontendContext;
use std::cell::RefCell;
use std::rc::Rc;

/// The state that all client connections share.
pub struct Downstream {
    context: FrontendContext,
    /// The classes and plans that a request may name.
    catalog: Rc<RefCell<RequestCatalog>>,
    idle_connections: Rc<IdleConnections>,
}

impl Downstream {
    /// No client is connected.
    pub fn new(context: FrontendContext, catalog: Rc<RefCell<RequestCatalog>>) -> Self {
        Downstream {
            context,
            catalog,
            idle_connections: Rc::default(),
        }
    }
}
