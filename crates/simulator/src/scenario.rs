//! Scenarios: small text files, one statement a line. What there is to say is in `docs/system/simulator.md`.

use crate::odd::{self, Odd};
use crate::plan::{Flaw, Wish};
use crate::record::{Booking, Bounds, Fate};
use crate::{MS, Micros, SECOND};
use miette::{Result, miette};
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
pub struct Scenario {
    pub text: String,
    /// Zones with their regions.
    pub zones: Vec<(String, String)>,
    /// The zones of the core machines.
    pub cores: Vec<String>,
    pub edges: usize,
    /// Servers of each service.
    pub servers: Vec<(String, usize)>,
    pub tenants: usize,
    /// Those beyond one for each service go to the services in turn.
    pub routes: usize,
    /// Requests a second that each tenant may send.
    pub quota: u32,
    pub clients: usize,
    /// Requests a second of all.
    pub rate: f64,
    pub ends: Micros,
    pub work: Micros,
    pub sync: Micros,
    /// One way between regions.
    pub far: Micros,
    /// How long a server is cold, and what it bears meanwhile.
    pub cold: (f64, f64),
    pub rooms: Rooms,
    /// Operators that read the configuration all day.
    pub readers: usize,
    pub events: Vec<(Micros, What)>,
    pub expects: Vec<Expect>,
    /// Chance of each place is its own.
    pub apart: bool,
    /// Bytes a second that a proxy's link carries each way of what processes say to each other; none: any.
    pub link: Option<u64>,
    /// The figures of the rules, as processes are told them and as the day is judged.
    pub bounds: Bounds,
    /// Clients keep their connections and use them until the process at the other end closes them or is gone.
    pub keeps_connections: bool,
    /// Each change of the configuration is looked for at every proxy, and others look on all day. Real processes only.
    pub probes: bool,
}

/// What becomes of bookings: they are agreed on; or, for baselines, there are none, or each proxy holds an even part of
/// them by its own time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rooms {
    Agreed,
    None,
    OwnClocks,
}

#[derive(Clone, Debug)]
pub enum What {
    /// Processes end at once and come back.
    Kill {
        who: String,
        back: Micros,
    },
    /// Machines lose their power.
    Power {
        who: String,
        back: Micros,
    },
    /// Machines lose power and disk.
    Wipe {
        who: String,
        back: Micros,
    },
    /// Processes do nothing for a time. Real ones only.
    Stall {
        who: String,
        last: Micros,
    },
    /// SIGTERM, SIGKILL after the grace, and a new start.
    Term {
        who: String,
        back: Micros,
    },
    /// SIGHUP: the settings files are read again.
    Hangup {
        who: String,
    },
    Cut {
        a: String,
        b: String,
        last: Micros,
        one_way: bool,
    },
    SlowDisk {
        who: String,
        by: Micros,
        last: Micros,
    },
    Change {
        wish: Wish,
        rival: bool,
    },
    Crash {
        server: String,
        dark: bool,
        back: Option<Micros>,
    },
    /// Its address goes to a server of another service.
    Replace {
        server: String,
        service: String,
        after: Micros,
    },
    Drain {
        server: String,
        back: Option<Micros>,
    },
    Cold {
        server: String,
    },
    /// Answers are lost after the work.
    Lose {
        server: String,
        last: Micros,
    },
    /// Answers pause for [`crate::plan::PAUSE`] after they have begun.
    Pause {
        server: String,
        last: Micros,
    },
    /// Servers work slowly.
    Slow {
        server: String,
        last: Micros,
    },
    Hot {
        tenant: usize,
        times: f64,
        last: Micros,
    },
    /// Drills act at this proxy alone, as a fault that is set by hand.
    OneNode {
        who: String,
    },
    /// Stranger troubles.
    Odd(Odd),
    /// Once this has come about.
    When {
        event: String,
        then: Box<What>,
    },
    Closing(Box<What>),
    /// The time of day of machines is this much ahead, in milliseconds.
    Clock {
        who: String,
        by: i64,
    },
    /// A tenant asks this service for so many more a second.
    Crowd {
        tenant: usize,
        service: String,
        rate: f64,
        last: Micros,
        /// Nothing is owed to it.
        unowed: bool,
    },
}

#[derive(Clone, Debug)]
pub enum Expect {
    /// In hundredths, of the requests sent from then on.
    Served {
        least: f64,
        from: Micros,
    },
    Acknowledged,
    /// So many tries met a rehearsed fault.
    Met(usize),
    /// The reports of drills name just those tries that met the fault.
    Reconciled,
    /// All others fare as on the same day without drills.
    OthersSame,
    Broken(String),
    /// The duty may be missed: it has a price, and is no rule.
    DutyOpen,
    /// Of this tenant's requests, in hundredths.
    Tenant {
        tenant: usize,
        least: f64,
        from: Micros,
    },
    /// So many calls of operators were refused.
    Refused(usize),
}

pub fn route_of(service: &str) -> String {
    format!("r-{service}")
}

impl Default for Scenario {
    fn default() -> Scenario {
        let zones = [("a", "north"), ("b", "north"), ("c", "south"), ("d", "south")];
        let servers = [("tiro", 6), ("utu", 5), ("kawe", 4)];
        Scenario {
            text: String::new(),
            zones: zones.map(|(z, r)| (z.into(), r.into())).to_vec(),
            cores: ["a", "b", "a"].map(str::to_string).to_vec(),
            edges: 8,
            servers: servers.map(|(s, n)| (s.into(), n)).to_vec(),
            tenants: 3,
            routes: 0,
            quota: 60,
            clients: 36,
            rate: 30.0,
            ends: 40 * SECOND,
            work: 120 * MS,
            sync: 2 * MS,
            far: 35 * MS,
            cold: (3.0, 4.0),
            rooms: Rooms::Agreed,
            readers: 3,
            events: Vec::new(),
            expects: Vec::new(),
            apart: false,
            link: None,
            bounds: Bounds::default(),
            keeps_connections: false,
            probes: false,
        }
    }
}

pub(crate) struct Words<'a>(std::iter::Peekable<std::str::SplitWhitespace<'a>>);

impl<'a> Words<'a> {
    pub(crate) fn next(&mut self, what: &str) -> Result<&'a str> {
        self.0.next().ok_or_else(|| miette!("{what} is missing"))
    }

    pub(crate) fn number(&mut self, what: &str) -> Result<f64> {
        let word = self.next(what)?;
        word.parse().map_err(|_| miette!("{what}: {word:?} is no number"))
    }

    pub(crate) fn seconds(&mut self, what: &str) -> Result<Micros> {
        Ok((self.number(what)? * SECOND as f64) as Micros)
    }

    pub(crate) fn take(&mut self, word: &str) -> bool {
        self.0.next_if(|w| *w == word).is_some()
    }

    pub(crate) fn must(&mut self, word: &str) -> Result<()> {
        let found = self.next(word)?;
        if found == word { Ok(()) } else { Err(miette!("expected {word:?}, found {found:?}")) }
    }

    pub(crate) fn back(&mut self) -> Result<Micros> {
        if self.take("back") { self.seconds("back") } else { Ok(SECOND) }
    }

    fn maybe_back(&mut self) -> Result<Option<Micros>> {
        if self.take("back") { self.seconds("back").map(Some) } else { Ok(None) }
    }

    pub(crate) fn last(&mut self) -> Result<Micros> {
        self.must("for")?;
        self.seconds("for")
    }

    /// A tenant by its name, `t` and its number.
    fn tenant(&mut self) -> Result<usize> {
        let name = self.next("the tenant")?;
        let number = name.strip_prefix('t').and_then(|n| n.parse().ok());
        number.ok_or_else(|| miette!("{name:?} is no tenant"))
    }

    /// Words up to the next of these.
    fn until(&mut self, keys: &[&str]) -> Vec<String> {
        let more = std::iter::from_fn(|| self.0.next_if(|w| !keys.contains(w)));
        more.map(str::to_string).collect()
    }

    pub(crate) fn rest(&mut self) -> Vec<String> {
        self.0.by_ref().map(str::to_string).collect()
    }
}

impl Scenario {
    pub fn read(text: &str) -> Result<Scenario> {
        let mut s = Scenario { text: text.to_string(), ..Scenario::default() };
        if text.lines().any(|line| line.trim_start().starts_with("zone ")) {
            s.zones.clear();
        }
        for (i, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if !line.is_empty() {
                s.line(line).map_err(|e| miette!("line {}: {line:?}: {e}", i + 1))?;
            }
        }
        s.check()?;
        s.events.sort_by_key(|e| e.0);
        Ok(s)
    }

    fn line(&mut self, line: &str) -> Result<()> {
        let mut w = Words(line.split_whitespace().peekable());
        match w.next("a statement")? {
            "zone" => {
                let zone = w.next("the zone")?.to_string();
                self.zones.push((zone, w.next("its region")?.to_string()));
            }
            "bound" => {
                let name = w.next("the bound")?.to_string();
                let value = w.number("its figure")?;
                self.bounds.set(&name, value).map_err(|why| miette!("{why}"))?;
            }
            "cores" => {
                self.cores = w.rest();
                self.check()?;
            }
            "edges" => self.edges = w.number("edges")? as usize,
            "service" => {
                let name = w.next("the service")?.to_string();
                let n = w.number("its servers")? as usize;
                match self.servers.iter_mut().find(|s| s.0 == name) {
                    Some(s) => s.1 = n,
                    None => self.servers.push((name, n)),
                }
            }
            "tenants" => self.tenants = w.number("tenants")? as usize,
            "routes" => self.routes = w.number("routes")? as usize,
            "quota" => self.quota = w.number("quota")? as u32,
            "clients" => self.clients = w.number("clients")? as usize,
            "readers" => self.readers = w.number("readers")? as usize,
            "rate" => self.rate = w.number("rate")?,
            "seconds" => self.ends = w.seconds("seconds")?,
            "work" => self.work = (w.number("work")? * MS as f64) as Micros,
            "sync" => self.sync = (w.number("sync")? * MS as f64) as Micros,
            "chance" => {
                w.must("apart")?;
                self.apart = true;
            }
            "link" => {
                let mbps = w.number("megabits a second")?;
                let busy = if w.take("busy") { w.number("in a hundred")? } else { 0.0 };
                self.link = Some((mbps * 125_000.0 * (1.0 - busy / 100.0)).max(1.0) as u64);
            }
            "connections" => {
                w.must("kept")?;
                self.keeps_connections = true;
            }
            "probe" => {
                w.must("changes")?;
                self.probes = true;
            }
            "far" => self.far = (w.number("far")? * MS as f64) as Micros,
            "rooms" => {
                self.rooms = match w.next("agreed, none or own-clocks")? {
                    "agreed" => Rooms::Agreed,
                    "none" => Rooms::None,
                    "own-clocks" => Rooms::OwnClocks,
                    other => return Err(miette!("{other:?} is no way to book")),
                }
            }
            "at" => {
                let at = w.seconds("the time")?;
                let what = what(&mut w)?;
                self.events.push((at, what));
            }
            "expect" => {
                let expect = match w.next("what is expected")? {
                    "served" => {
                        let least = w.number("the least")?;
                        let tenant = if w.take("of") { Some(w.tenant()?) } else { None };
                        let from = if w.take("from") { w.seconds("from")? } else { 0 };
                        match tenant {
                            Some(tenant) => Expect::Tenant { tenant, least, from },
                            None => Expect::Served { least, from },
                        }
                    }
                    "acknowledged" => Expect::Acknowledged,
                    "met" => Expect::Met(w.number("how many")? as usize),
                    "reconciled" => Expect::Reconciled,
                    "others" => {
                        w.must("same")?;
                        Expect::OthersSame
                    }
                    "refused" => Expect::Refused(w.number("how many")? as usize),
                    "duty" => {
                        w.must("open")?;
                        Expect::DutyOpen
                    }
                    "broken" => Expect::Broken(w.next("a rule")?.to_string()),
                    other => return Err(miette!("nothing can be expected of {other:?}")),
                };
                self.expects.push(expect);
            }
            other => return Err(miette!("no statement begins with {other:?}")),
        }
        match w.0.next() {
            None => Ok(()),
            Some(more) => Err(miette!("{more:?} is too much")),
        }
    }

    fn check(&self) -> Result<()> {
        let known: BTreeSet<&str> = self.zones.iter().map(|z| z.0.as_str()).collect();
        match self.cores.iter().find(|z| !known.contains(z.as_str())) {
            Some(zone) => Err(miette!("there is no zone {zone:?}")),
            None => Ok(()),
        }
    }
}

fn what(w: &mut Words) -> Result<What> {
    let word = w.next("what happens")?;
    Ok(match word {
        "kill" => What::Kill { who: w.next("who")?.into(), back: w.back()? },
        "power" => What::Power { who: w.next("who")?.into(), back: w.back()? },
        "wipe" => What::Wipe { who: w.next("who")?.into(), back: w.back()? },
        "stall" => What::Stall { who: w.next("who")?.into(), last: w.last()? },
        "term" => What::Term { who: w.next("who")?.into(), back: w.back()? },
        "hup" => What::Hangup { who: w.next("who")?.into() },
        "cut" => {
            let a = w.next("who")?.into();
            w.must("from")?;
            let b = w.next("from whom")?.into();
            let last = w.last()?;
            What::Cut { a, b, last, one_way: w.take("oneway") }
        }
        "slow-disk" => {
            let who = w.next("who")?.into();
            let by = (w.number("by")? * MS as f64) as Micros;
            What::SlowDisk { who, by, last: w.last()? }
        }
        "crash" => {
            let server = w.next("the server")?.into();
            What::Crash { server, dark: w.take("dark"), back: w.maybe_back()? }
        }
        "replace" => {
            let server = w.next("the server")?.into();
            w.must("by")?;
            let service = w.next("the service")?.into();
            w.must("after")?;
            What::Replace { server, service, after: w.seconds("after")? }
        }
        "drain" => What::Drain { server: w.next("the server")?.into(), back: w.maybe_back()? },
        "cold" => What::Cold { server: w.next("the server")?.into() },
        "lose" => What::Lose { server: w.next("the server")?.into(), last: w.last()? },
        "pause" => What::Pause { server: w.next("the server")?.into(), last: w.last()? },
        "slow" => What::Slow { server: w.next("the server")?.into(), last: w.last()? },
        "drill-at" => What::OneNode { who: w.next("who")?.into() },
        "hot" => {
            let tenant = w.number("the tenant")? as usize;
            What::Hot { tenant, times: w.number("times")?, last: w.last()? }
        }
        "when" => {
            let event = w.next("the event")?.to_string();
            if !["sent", "order", "drain"].contains(&event.as_str()) {
                return Err(miette!("{event:?} is none of sent, order, drain"));
            }
            What::When { event, then: Box::new(what(w)?) }
        }
        "clock" => {
            let who = w.next("who")?.into();
            w.must("by")?;
            What::Clock { who, by: w.number("milliseconds")? as i64 }
        }
        "crowd" => {
            let tenant = w.tenant()?;
            w.must("to")?;
            let service = w.next("the service")?.into();
            let (rate, last) = (w.number("requests a second")?, w.last()?);
            What::Crowd { tenant, service, rate, last, unowed: w.take("unowed") }
        }
        "closing" => What::Closing(Box::new(what(w)?)),
        "rival" => {
            let word = w.next("a wish")?;
            What::Change { wish: wish(word, w)?, rival: true }
        }
        word => match odd::read(word, w)? {
            Some(odd) => What::Odd(odd),
            None => What::Change { wish: wish(word, w)?, rival: false },
        },
    })
}

/// `drill NAME FAULT [MS|PLACE] of TENANT [on ROUTE] [share S] [count N] for S`, as an operator would send it.
fn drill(w: &mut Words) -> Result<Wish> {
    let (name, kind) = (w.next("its name")?.to_string(), w.next("the fault")?);
    let mut fault = jzon::object! { fault_kind: kind };
    match kind {
        "late" | "slow" => fault["delay_ms"] = w.number("milliseconds")?.into(),
        "unreachable" => {
            let place = w.next("a server or zone")?;
            match place.strip_prefix("zone:") {
                Some(zone) => fault["zone_name"] = zone.into(),
                None => fault["server_id"] = place.into(),
            }
        }
        _ => {}
    }
    w.must("of")?;
    let mut caller = jzon::object! { tenant_name: w.next("the tenant")? };
    if w.take("on") {
        caller["route_name"] = w.next("the route")?.into();
    }
    let mut body = jzon::object! { caller: caller, fault: fault, asked_by: "operator", reason: "rehearsal" };
    if w.take("share") {
        body["share"] = w.number("the share")?.into();
    }
    if w.take("count") {
        body["count"] = w.number("how many")?.into();
    }
    body["duration_ms"] = ((w.last()? / MS) as f64).into();
    let drill = settings::drill::Drill::read(&name, body.dump().as_bytes()).map_err(|e| miette!("{e}"))?;
    Ok(Wish::Drill(Box::new(drill)))
}

/// What is wrong with an invalid configuration, where that is said.
fn flaw(w: &mut Words) -> Result<Flaw> {
    let Some(name) = w.0.next() else { return Ok(Flaw::UnknownService) };
    Flaw::named(name).ok_or_else(|| miette!("{name:?} is nothing that a configuration can have wrong"))
}

fn wish(word: &str, w: &mut Words) -> Result<Wish> {
    let route = |w: &mut Words| -> Result<String> {
        let route = w.next("the route")?.to_string();
        w.must("to")?;
        Ok(route)
    };
    Ok(match word {
        "shift" | "patch" => {
            let (route, service) = (route(w)?, w.next("the service")?.to_string());
            Wish::Shift { route, service, patch: word == "patch" }
        }
        "split" => Wish::Split { route: route(w)?, parts: parts(&w.rest())? },
        "homes" => Wish::Homes { route: route(w)?, regions: w.rest() },
        "add-route" => {
            let (route, service) = (route(w)?, w.next("the service")?.to_string());
            Wish::AddRoute { route, service, first: w.take("first") }
        }
        "swap-names" => {
            let one = w.next("the route")?.to_string();
            Wish::SwapNames { one, other: w.next("the other route")?.to_string() }
        }
        "names-by-place" => Wish::NameByPlace,
        "remove-route" => Wish::RemoveRoute { route: w.next("the route")?.to_string() },
        "revoke" => Wish::Revoke { tenant: w.next("the tenant")?.into() },
        "rekey" => Wish::Rekey { tenant: w.next("the tenant")?.into() },
        "quota-of" => {
            let tenant = w.next("the tenant")?.into();
            Wish::Rate { tenant, rate: w.number("the rate")? as u32 }
        }
        "drill" => drill(w)?,
        "drill-stop" => Wish::StopDrill { name: w.next("the drill")?.into() },
        "book" => Wish::Book(booking(w)?),
        "unbook" => Wish::Unbook { name: w.next("the booking")?.into() },
        "invalid" => Wish::Invalid { flaw: flaw(w)? },
        "evacuate" => Wish::Evacuate { zone: w.next("the zone")?.into(), on: true },
        "return" => Wish::Evacuate { zone: w.next("the zone")?.into(), on: false },
        other => return Err(miette!("{other:?} is nothing that can happen")),
    })
}

/// Services of a split, each `SERVICE` with the weight 1 or `SERVICE=WEIGHT`.
fn parts(words: &[String]) -> Result<Vec<(String, u32)>> {
    let part = |word: &String| {
        let Some((service, weight)) = word.split_once('=') else { return Ok((word.clone(), 1)) };
        let weight = weight.parse().map_err(|_| miette!("{word:?}: {weight:?} is no weight"))?;
        Ok((service.to_string(), weight))
    };
    words.iter().map(part).collect()
}

/// `NAME tenants .. routes .. service S flight N from S to S ramp MS [hold]`.
fn booking(w: &mut Words) -> Result<Booking> {
    let mut b = Booking {
        name: w.next("the booking")?.into(),
        tenants: Vec::new(),
        routes: Vec::new(),
        service: String::new(),
        flight: 0,
        opens: 0,
        closes: 0,
        ramp: 0,
        hold: false,
        sent: 0,
        fate: Fate::Open,
        ended: None,
    };
    const KEYS: [&str; 8] = ["tenants", "routes", "service", "flight", "from", "to", "ramp", "hold"];
    while let Some(key) = w.0.next() {
        match key {
            "tenants" => b.tenants = w.until(&KEYS),
            "routes" => b.routes = w.until(&KEYS),
            "service" => b.service = w.next("the service")?.into(),
            "flight" => b.flight = w.number("the flight")? as u32,
            "from" => b.opens = w.seconds("from")?,
            "to" => b.closes = w.seconds("to")?,
            "ramp" => b.ramp = (w.number("the ramp")? * MS as f64) as Micros,
            "hold" => b.hold = true,
            other => return Err(miette!("{other:?} is nothing of a booking")),
        }
    }
    Ok(b)
}
