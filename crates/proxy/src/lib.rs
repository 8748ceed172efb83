//! The proxy, which carries clients' requests to servers. [`dispatcher`] handles requests, around the decision module
//! that the proxy shares with the gateway; [`routing_view`] turns the agreed state into its settings; [`feed`] keeps
//! the copy of the state up to date and passes updates on, by [`relay`] and [`tree`]; [`failure_detector`] notices
//! silent neighbours; [`split`] picks the service of a request, [`drill`] tells which requests get an injected fault,
//! [`rollout`] what may go to a new version, [`servers`] which attempt an answer belongs to, [`shutdown`] when the proxy
//! exits after a signal. None of these does I/O or reads a clock; `main.rs` has the sockets, with [`server_pools`] for those to servers.

pub mod dispatcher;
pub mod drill;
pub mod failure_detector;
pub mod feed;
pub mod relay;
pub mod reservations;
pub mod rollout;
pub mod routing_view;
pub mod server_pools;
pub mod servers;
pub mod shutdown;
pub mod split;
pub mod tenants;
pub mod tree;
