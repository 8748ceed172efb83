//! What is seen in a day of real processes, as it happens; and the record that `simulator::judge` judges, made of it.

use super::observed::Observed;
use super::{SECOND, TRAFFIC};
use settings::Config;
use simulator::Micros;
use simulator::judge::Breach;
use simulator::record::{
    Arrival, Bounds, Change, Closing, Cold, Evacuation, Fate, Host, Leave, Look, ReadBack, Record, Repeat,
    Request, Trouble, Try,
};
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A configuration as an operator sent it. The text is that of what would be in force.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Micros,
    pub version: u32,
    pub base: u32,
    pub text: String,
    pub invalid: bool,
    pub fate: Fate,
}

#[derive(Default)]
pub struct Book {
    pub tries: Vec<Try>,
    pub requests: Vec<Request>,
    pub changes: Vec<Sent>,
    pub evacuations: Vec<Evacuation>,
    pub leaves: Vec<Leave>,
    pub colds: Vec<Cold>,
    pub troubles: Vec<Trouble>,
    pub read_back: Vec<(Micros, Option<String>)>,
    pub closing: Option<Closing>,
    /// What reached a server and was not what a client had sent, and by which try.
    pub unasked: Vec<(Option<u64>, String)>,
    /// Processes that ended though nobody had ended them.
    pub own_ends: Vec<String>,
    pub notes: Vec<(Micros, String)>,
    pub looks: Vec<SeenConfiguration>,
    pub repeats: Vec<Repeat>,
    pub hangups: Vec<(Micros, Host)>,
    pub observed: Observed,
}

/// A reading of the configuration in the middle of a day; None: there was none yet.
pub struct SeenConfiguration {
    pub from: Micros,
    pub until: Micros,
    pub text: Option<String>,
}

/// The day's clock and its book. The clock stands still before the traffic until all is ready for it, however long
/// that takes, so that times in a scenario mean the same on a slow machine.
pub struct Log {
    begun: Instant,
    ready: OnceLock<Instant>,
    book: Mutex<Book>,
    loud: bool,
}

impl Log {
    pub fn new(loud: bool) -> Log {
        Log { begun: Instant::now(), ready: OnceLock::new(), book: Mutex::default(), loud }
    }

    pub fn now(&self) -> Micros {
        match self.ready.get() {
            Some(ready) => TRAFFIC + ready.elapsed().as_micros() as Micros,
            None => (self.begun.elapsed().as_micros() as Micros).min(TRAFFIC - 1),
        }
    }

    /// Traffic may begin.
    pub fn ready(&self) {
        let _ = self.ready.set(Instant::now());
    }

    pub async fn until(&self, at: Micros) {
        loop {
            let now = self.now();
            if now >= at {
                return;
            }
            // The clock may stand still meanwhile.
            let wait = if self.ready.get().is_some() { at - now } else { (at - now).min(SECOND / 20) };
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    pub fn book(&self) -> MutexGuard<'_, Book> {
        lock(&self.book)
    }

    pub fn note(&self, what: impl Into<String>) {
        let (now, what) = (self.now(), what.into());
        if self.loud {
            println!("{:7.2} s  {what}", now as f64 / 1e6);
        }
        self.book().notes.push((now, what));
    }

    /// Something is done to a machine, until `then` is called with its number.
    pub fn trouble(&self, host: Host, planned: bool, what: &str) -> usize {
        let from = self.now();
        let mut book = self.book();
        let what = format!("{what}: machine {host}");
        book.troubles.push(Trouble { host, from, until: Micros::MAX, planned, what });
        book.troubles.len() - 1
    }

    pub fn over(&self, trouble: usize, after: Micros) {
        let now = self.now();
        self.book().troubles[trouble].until = now + after;
    }
}

/// Closes the book: the record, and what the servers saw that no client had asked for.
pub fn close(book: Book, bounds: Bounds, cores: usize, ends: Micros) -> (Record, Vec<Breach>) {
    let read = |text: &str| Config::read(text.as_bytes()).ok().map(Rc::new);
    let unasked = book.unasked.into_iter();
    let unasked = unasked.map(|(attempt, what)| Breach { rule: "UNASKED", what, attempt }).collect();
    // What was sent as a plan is read as it was made; a text that cannot be read was never sent.
    let changes = book.changes.into_iter().filter_map(|s| {
        let Sent { at: sent, version, base, text, invalid, fate } = s;
        read(&text).map(|config| Change { sent, version, base, config, invalid, fate })
    });
    let looks = book.looks.into_iter().map(|seen| Look {
        from: seen.from,
        until: seen.until,
        config: seen.text.as_deref().and_then(read),
    });
    let looks = looks.collect();
    let read_back = book.read_back.into_iter();
    let read_back = read_back.map(|(at, text)| ReadBack { at, config: text.as_deref().and_then(read) });
    let record = Record {
        bounds,
        cores,
        tries: book.tries,
        requests: book.requests,
        changes: changes.collect(),
        evacuations: book.evacuations,
        leaves: book.leaves,
        colds: book.colds,
        troubles: book.troubles,
        read_back: read_back.collect(),
        looks,
        repeats: book.repeats,
        closing: book.closing,
        ends,
        ..Record::default()
    };
    (record, unasked)
}

/// The arrival of a try at a server, by its place among the try's arrivals.
pub fn arrival(book: &mut Book, attempt: u64, at: usize) -> &mut Arrival {
    &mut book.tries[attempt as usize].arrivals[at]
}

#[cfg(test)]
mod tests {
    use super::*;
    use simulator::judge::judge;
    use simulator::plan::{HOST, Plan};
    use simulator::record::Answer;
    use simulator::scenario::Scenario;

    /// A day as the rig puts it down: two configurations, requests of every kind that were served at the first try.
    fn good() -> Book {
        let s = Scenario { quota: 10, ..Scenario::default() };
        let mut plan = Plan { version: 1, ..Plan::of(&s) };
        let mut sent = |at: Micros, version: u32, base: u32| {
            plan.version = version;
            let fate = Fate::Acknowledged(at + 50 * 1000);
            Sent { at, version, base, text: plan.whole(), invalid: false, fate }
        };
        let changes = vec![sent(SECOND, 1, 0), sent(12 * SECOND, 4, 1)];
        let read_back = vec![(28 * SECOND, Some(changes[1].text.clone()))];
        let mut book = Book { changes, read_back, ..Book::default() };
        for n in 0..30u64 {
            let (service, once) = [("tiro", false), ("utu", true), ("kawe", false)][n as usize % 3];
            let at = TRAFFIC + n * SECOND / 2;
            let arrival = Arrival {
                sent: at,
                at,
                edge: 4,
                life: 1,
                server: format!("{service}1-1"),
                service: service.into(),
                zone: "a".into(),
                region: "north".into(),
                tenant: Some("t0".into()),
                turned_away: None,
                ran: Some(at),
                broke: false,
                cut: None,
            };
            book.requests.push(Request { sent: at, served: Some(at + 9), unowed: false, tenant: 0 });
            book.tries.push(Try {
                request: n,
                edge: 4,
                life: 1,
                sent: at,
                until: at + 3 * SECOND,
                host: HOST.into(),
                path: format!("/r-{service}/{n}"),
                key: Some("key-t0".into()),
                once,
                read: Some(at),
                given: false,
                arrivals: vec![arrival],
                answer: Some(Answer { at: at + 9, status: 200, seal: Some(n) }),
                broken: None,
            });
        }
        book
    }

    fn rules(book: Book) -> Vec<&'static str> {
        let (record, unasked) = close(book, Bounds::default(), 3, 30 * SECOND);
        let mut rules: Vec<&str> = judge(&record).into_iter().chain(unasked).map(|b| b.rule).collect();
        rules.dedup();
        rules
    }

    #[test]
    fn a_good_day_breaks_no_rule() {
        assert_eq!(rules(good()), [""; 0]);
    }

    /// Each kind of breach that the rig's book can show, planted, is found, and nothing else with it.
    #[test]
    fn planted_breaches_are_found() {
        type Plant = fn(&mut Book);
        let plants: [(&str, Plant); 8] = [
            ("TWICE", |b| {
                let n = b.tries.iter().position(|t| t.once).expect("there is one");
                let again = b.tries[n].arrivals[0].clone();
                b.tries[n].arrivals.push(again);
            }),
            ("REFUSED", |b| {
                let n = b.tries.iter().position(|t| t.once).expect("there is one");
                b.tries[n].answer.as_mut().expect("an answer").status = 503;
            }),
            // The seal of another try; a body that was not whole has none.
            ("MIXED", |b| b.tries[0].answer.as_mut().expect("an answer").seal = Some(1)),
            ("MIXED", |b| b.tries[0].answer.as_mut().expect("an answer").seal = None),
            // A proxy that was asked to end cuts off what it had passed on.
            ("LOST", |b| {
                let t = &mut b.tries[9];
                let (from, until) = (t.sent, t.sent + SECOND);
                (t.answer, t.broken) = (None, Some(t.sent + SECOND / 2));
                let what = "asked to end: machine 4".into();
                b.troubles.push(Trouble { host: 4, from, until, planned: true, what });
            }),
            ("CONFIG", |b| b.read_back[0].1 = Some(b.changes[0].text.clone())),
            ("QUOTA", |b| {
                // 10 a second and a burst of 10 over 5 s, a tenth and 20 more: 86 may.
                let one = b.tries[0].clone();
                for _ in 0..90 {
                    let n = b.tries.len() as u64;
                    let answer = Some(Answer { seal: Some(n), ..one.answer.clone().expect("an answer") });
                    b.tries.push(Try { answer, ..one.clone() });
                }
            }),
            ("UNASKED", |b| b.unasked.push((Some(3), "at tiro1-1: changed on the way".into()))),
        ];
        for (rule, plant) in plants {
            let mut book = good();
            plant(&mut book);
            assert_eq!(rules(book), [rule]);
        }
    }
}
