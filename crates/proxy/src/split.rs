//! Which of a route's services gets a request.

use settings::config::Route;

/// Draws one of the services that the route sends requests to, by weight among those that have a server. While none has
/// one, it is drawn by weight among all of them, and the request waits for a server as on a route of a single service.
/// Services on standby are never drawn.
pub fn pick_service<'r>(
    route: &'r Route,
    has_server: impl Fn(&str) -> bool,
    rng: &mut fastrand::Rng,
) -> Option<&'r str> {
    if let [(only, _)] = route.to.as_slice() {
        return Some(only);
    }
    let with_server: Vec<&(String, f64)> = route.to.iter().filter(|(name, _)| has_server(name)).collect();
    match with_server.is_empty() {
        true => draw(&route.to.iter().collect::<Vec<_>>(), rng),
        false => draw(&with_server, rng),
    }
}

fn draw<'r>(parts: &[&'r (String, f64)], rng: &mut fastrand::Rng) -> Option<&'r str> {
    let all: f64 = parts.iter().map(|(_, weight)| weight).sum();
    let mut left = rng.f64() * all;
    let drawn = parts.iter().find(|(_, weight)| {
        left -= weight;
        left < 0.0
    });
    // The weights may add up to a little more than their sum as rounded.
    drawn.or(parts.last()).map(|(name, _)| name.as_str())
}
