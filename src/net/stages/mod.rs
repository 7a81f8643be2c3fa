//! The stages that a request passes, one after another.

pub mod admit;
pub mod book;
pub mod relay;
pub mod route;
pub mod send;
pub mod take_in;

#[cfg(test)]
mod tests;
