//! Configuration with source locations: the trees that YAML and JSON are parsed into, the faults found in them, quantities
//! with units, the platform's settings of a deployment, and the product's own file.
//!
//! Contains no sockets and no decisions. All faults of a file are reported at once.

pub mod deployment;
pub mod fault;
pub mod formula;
mod key_path;
pub mod lease;
pub mod platform;
pub mod product;
pub mod quantity;
pub mod reader;
pub mod replacement;
pub mod tree;
pub mod value;

pub use deployment::Deployment;
pub use fault::{Fault, Faults};
pub use product::Product;
pub use reader::Reader;
pub use tree::Node;
pub use value::ValueError;
