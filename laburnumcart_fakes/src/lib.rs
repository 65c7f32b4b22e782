//! Stand-ins for the platform, engines and services, and a load tool.

<<<<<<< HEAD
pub mod store;
=======
pub mod client;
pub mod demo;
pub mod expected;
pub mod load;
pub mod target;
pub mod store;
>>>>>>> agent
