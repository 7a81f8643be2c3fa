//! The stages that a request passes, one after another.

pub mod accept;
pub mod admit;
pub mod attempt;
pub mod complete;
pub mod dispatch;
pub mod route;

#[cfg(test)]
mod tests;
