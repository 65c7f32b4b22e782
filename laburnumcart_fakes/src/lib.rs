//! Stand-ins for the platform, engines and services, and a load tool.

<<<<<<< HEAD
pub mod store;
=======
pub mod client;
pub mod expected;
pub mod target;
>>>>>>> agent
