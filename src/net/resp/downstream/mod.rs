//! Client connections. Commands of one connection are handled concurrently; their responses are sent in the order of
//! the commands.

mod accept_queue;
mod closing;
mod command_error;
mod connection;
mod idle_connections;
mod input;
mod listener;
mod long_command;
mod output;
mod output_buffer;
mod read_pause;
mod request_catalog;
mod request_parameters;
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
    /// The classes, plans and quantities that a request may contain.
    catalog: Rc<RefCell<RequestCatalog>>,
    idle_connections: Rc<IdleConnections>,
}

impl Downstream {
    /// Creates the state before any client is connected.
    pub fn new(context: FrontendContext, catalog: Rc<RefCell<RequestCatalog>>) -> Self {
        Downstream {
            context,
            catalog,
            idle_connections: Rc::default(),
        }
    }
}
