//! What a run comes to: a summary (JSON and CSV), latency histograms by class (`hdrhistogram`), and charts
//! (`plotters`): throughput and latency over time with the faults marked, target and attempts out per gateway,
//! each customer's use against its quota.

use crate::record::{Record, TryEnd, TryRow};
use crate::run::Outcome;
use crate::scenario::Scenario;
use crate::stores::Stores;
use hdrhistogram::Histogram;
use plotters::coord::CoordTranslate;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// One class's figures.
#[derive(Clone, Debug, Serialize)]
pub struct ClassFigures {
    pub class: String,
    pub tries: u64,
    pub served: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// A run's figures.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: String,
    pub program: String,
    pub seed: u64,
    pub gateways: usize,
    pub servers: usize,
    pub customers: usize,
    pub load_s: f64,
    pub requests: u64,
    pub tries: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub rejected: u64,
    pub gave_up: u64,
    pub lost: u64,
    pub lost_to_kills: u64,
    pub not_taken: u64,
    /// Requests whose last try was served, of all requests.
    pub requests_served: f64,
    /// Tries served within their time, a second.
    pub goodput_per_s: f64,
    pub attempts_per_try: f64,
    /// Units sent on beyond the customer's quota, of all units sent on.
    pub beyond_quota: f64,
    /// As the bench counts it: units served in time inside quotas, less half of the units sent on beyond them,
    /// over what one gateway that saw all first tries would have let in.
    pub worth: f64,
    /// Tries refused while half of the customer's store or more was unused, of all tries.
    pub refused_with_room: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub classes: Vec<ClassFigures>,
    pub rules_kept: bool,
    pub breaks: BTreeMap<&'static str, usize>,
    pub lab_cpu_us_per_try: f64,
    pub gateways_cpu_us_per_try: f64,
    /// The most resident memory a gateway was seen to hold, and the last sample's most, in MiB.
    pub gateway_rss_mb_most: f64,
    pub gateway_rss_mb_last: f64,
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds that hold")
}

pub(crate) fn ms(h: &Histogram<u64>, q: f64) -> f64 {
    if h.is_empty() { 0.0 } else { h.value_at_quantile(q) as f64 / 1000.0 }
}

/// Of the units sent on, the part beyond quotas; of the tries, the part refused while half of the customer's store or
/// more was unused: the stores rebuilt from the attempts that reached servers.
pub fn quota_view(s: &Scenario, record: &Record) -> (f64, f64) {
    let first_at = record.first_sent();
    let mut events: Vec<(u64, usize)> = Vec::new();
    for (n, t) in record.tries.iter().enumerate() {
        match first_at.get(t.id.as_str()) {
            Some(at) => events.push((*at, n)),
            None if t.end == TryEnd::Refused => events.push((t.end_us, n)),
            None => {}
        }
    }
    events.sort_unstable();
    let mut stores = Stores::default();
    let (mut sent, mut beyond, mut with_room) = (0.0, 0.0, 0u64);
    for (at, n) in events {
        let t = &record.tries[n];
        let p = &s.plans[t.plan];
        if p.rate <= 0.0 {
            continue;
        }
        let units = f64::from(t.units);
        if first_at.contains_key(t.id.as_str()) {
            sent += units;
            if !stores.takes(t.customer, p.rate, p.burst, at, units) {
                beyond += units;
            }
        } else if *stores.level(t.customer, p.rate, p.burst, at) >= p.burst / 2.0 {
            with_room += 1;
        }
    }
    let tries = record.tries.len().max(1) as f64;
    (if sent > 0.0 { beyond / sent } else { 0.0 }, with_room as f64 / tries)
}

/// Units served in time inside quotas, less half of those sent on beyond them, over the units of first tries that a
/// store for each customer, seeing all of them, would let in.
pub fn worth(s: &Scenario, record: &Record) -> f64 {
    // A plan without a rate has no quota to be beyond.
    let inside = |stores: &mut Stores, t: &TryRow, at: u64| {
        let p = &s.plans[t.plan];
        p.rate <= 0.0 || stores.takes(t.customer, p.rate, p.burst, at, f64::from(t.units))
    };
    let mut stores = Stores::default();
    let mut offered = 0.0;
    for t in record.tries.iter().filter(|t| t.try_no == 0) {
        if inside(&mut stores, t, t.sent_us) {
            offered += f64::from(t.units);
        }
    }
    // Which tries were inside their quota when first sent on, as the stores saw it.
    let first_at = record.first_sent();
    let mut sends: Vec<(u64, usize)> = record
        .tries
        .iter()
        .enumerate()
        .filter_map(|(n, t)| first_at.get(t.id.as_str()).map(|at| (*at, n)))
        .collect();
    sends.sort_unstable();
    let mut stores = Stores::default();
    let (mut earned, mut beyond) = (0.0, 0.0);
    for (at, n) in sends {
        let t = &record.tries[n];
        let units = f64::from(t.units);
        if !inside(&mut stores, t, at) {
            beyond += units;
        } else if t.end == TryEnd::Served && t.end_us <= t.sent_us + t.timeout_us {
            earned += units;
        }
    }
    if offered > 0.0 { ((earned - 0.5 * beyond) / offered).min(1.0) } else { 0.0 }
}

/// The figures of a run.
pub fn summarize(o: &Outcome, program: &str) -> Summary {
    let (s, r) = (&o.scenario, &o.record);
    let count = |end: TryEnd| r.tries.iter().filter(|t| t.end == end).count() as u64;
    let mut all = histogram();
    let mut by_class: Vec<(u64, u64, Histogram<u64>)> =
        s.classes.iter().map(|_| (0, 0, histogram())).collect();
    let mut in_time = 0u64;
    for t in &r.tries {
        let c = &mut by_class[t.class.min(s.classes.len() - 1)];
        c.0 += 1;
        if t.end == TryEnd::Served {
            let took = t.end_us.saturating_sub(t.sent_us).max(1);
            c.1 += 1;
            let _ = c.2.record(took);
            let _ = all.record(took);
            in_time += u64::from(took <= t.timeout_us);
        }
    }
    let mut last: HashMap<u64, TryEnd> = HashMap::new();
    for t in &r.tries {
        last.insert(t.request, t.end);
    }
    let requests = last.len() as u64;
    let load_s = (o.load_us.1.saturating_sub(o.load_us.0) as f64 / 1e6).max(1e-3);
    let tries = r.tries.len().max(1) as f64;
    let (beyond_quota, refused_with_room) = quota_view(s, r);
    let worth = worth(s, r);
    Summary {
        scenario: s.name.clone(),
        program: program.to_string(),
        seed: s.seed,
        gateways: s.gateways,
        servers: r.servers.iter().map(|x| x.server).max().map_or(0, |m| m + 1),
        customers: s.plans.iter().map(|p| p.customers).sum(),
        load_s,
        requests,
        tries: r.tries.len() as u64,
        served: count(TryEnd::Served),
        refused: count(TryEnd::Refused),
        failed: count(TryEnd::Failed),
        rejected: count(TryEnd::Rejected),
        gave_up: count(TryEnd::GaveUp),
        lost: count(TryEnd::Lost),
        lost_to_kills: o.verdict.lost_to_kills,
        not_taken: count(TryEnd::NotTaken),
        requests_served: last.values().filter(|e| **e == TryEnd::Served).count() as f64
            / requests.max(1) as f64,
        goodput_per_s: in_time as f64 / load_s,
        attempts_per_try: r.attempts.len() as f64 / tries,
        beyond_quota,
        worth,
        refused_with_room,
        p50_ms: ms(&all, 0.5),
        p99_ms: ms(&all, 0.99),
        classes: s
            .classes
            .iter()
            .zip(&by_class)
            .map(|(c, (n, served, h))| ClassFigures {
                class: c.name.clone(),
                tries: *n,
                served: *served,
                p50_ms: ms(h, 0.5),
                p99_ms: ms(h, 0.99),
                max_ms: if h.is_empty() { 0.0 } else { h.max() as f64 / 1000.0 },
            })
            .collect(),
        rules_kept: o.verdict.kept(),
        breaks: o.verdict.by_rule(),
        lab_cpu_us_per_try: o.cpu.lab_s * 1e6 / tries,
        gateways_cpu_us_per_try: o.cpu.gateways_s * 1e6 / tries,
        gateway_rss_mb_most: r.gateways.iter().map(|g| g.rss_kb).max().unwrap_or(0) as f64 / 1024.0,
        gateway_rss_mb_last: {
            let samples: Vec<_> = r.gateways.iter().filter(|g| g.what == "sample").collect();
            let last = samples.last().map_or(0, |g| g.at_us);
            let end = samples.iter().filter(|g| g.at_us + 2_000_000 >= last).map(|g| g.rss_kb).max();
            end.unwrap_or(0) as f64 / 1024.0
        },
    }
}

/// Writes `summary.json`, `summary.csv`, `breaks.json` and the charts into `dir`.
pub fn write(dir: &Path, summary: &Summary, o: &Outcome) -> Result<(), String> {
    let err = |e: std::io::Error| format!("{}: {e}", dir.display());
    let json = serde_json::to_string_pretty(summary).expect("plain data");
    std::fs::write(dir.join("summary.json"), json).map_err(err)?;
    let breaks = serde_json::to_string_pretty(&o.verdict).expect("plain data");
    std::fs::write(dir.join("breaks.json"), breaks).map_err(err)?;
    let mut w = csv::Writer::from_path(dir.join("summary.csv")).map_err(|e| e.to_string())?;
    w.write_record(["figure", "value"]).map_err(|e| e.to_string())?;
    for (k, v) in flat(summary) {
        w.write_record([k, v]).map_err(|e| e.to_string())?;
    }
    w.flush().map_err(err)?;
    charts(dir, o)
}

/// The summary as figure and value, one a line, classes and rules spelt out.
pub fn flat(summary: &Summary) -> Vec<(String, String)> {
    let value = serde_json::to_value(summary).expect("plain data");
    let mut out = Vec::new();
    for (k, v) in value.as_object().expect("an object") {
        match (k.as_str(), v) {
            ("classes", serde_json::Value::Array(classes)) => {
                for c in classes {
                    let name = c["class"].as_str().unwrap_or("").to_string();
                    for (ck, cv) in c.as_object().expect("an object").iter().filter(|(k, _)| *k != "class") {
                        out.push((format!("class.{name}.{ck}"), cv.to_string()));
                    }
                }
            }
            ("breaks", serde_json::Value::Object(rules)) => {
                for (rule, n) in rules {
                    out.push((format!("breaks.{rule}"), n.to_string()));
                }
            }
            _ => out.push((k.clone(), v.to_string().trim_matches('"').to_string())),
        }
    }
    out
}

/// A font for the charts, if the machine has one; without, no charts are drawn and the tables stand alone.
pub fn font() -> bool {
    static FONT: std::sync::OnceLock<bool> = std::sync::OnceLock::new();
    *FONT.get_or_init(|| {
        let places = [
            "/usr/share/fonts/truetype/dejavu/DejaVuSans.ttf",
            "/usr/share/fonts/dejavu/DejaVuSans.ttf",
            "/usr/share/fonts/truetype/liberation/LiberationSans-Regular.ttf",
        ];
        places.iter().find_map(|p| std::fs::read(p).ok()).is_some_and(|bytes| {
            let bytes: &'static [u8] = Box::leak(bytes.into_boxed_slice());
            plotters::style::register_font("sans-serif", FontStyle::Normal, bytes).is_ok()
        })
    })
}

pub(crate) type Series = Vec<(String, RGBColor, Vec<(f64, f64)>)>;

/// Per second of the load: served, refused, failed or lost tries; p50 and p99 of served ones.
fn per_second(o: &Outcome) -> (Series, Series) {
    let start = o.load_us.0;
    let secs = ((o.load_us.1.saturating_sub(start)) / 1_000_000 + 1) as usize;
    let mut counts = vec![[0f64; 3]; secs];
    let mut lat: Vec<Histogram<u64>> = (0..secs).map(|_| histogram()).collect();
    for t in &o.record.tries {
        let k = ((t.end_us.saturating_sub(start)) / 1_000_000) as usize;
        let Some(c) = counts.get_mut(k) else { continue };
        match t.end {
            TryEnd::Served => {
                c[0] += 1.0;
                let _ = lat[k].record(t.end_us.saturating_sub(t.sent_us).max(1));
            }
            TryEnd::Refused => c[1] += 1.0,
            TryEnd::Rejected | TryEnd::GaveUp => {}
            _ => c[2] += 1.0,
        }
    }
    let line = |n: usize| counts.iter().enumerate().map(|(k, c)| (k as f64, c[n])).collect();
    let throughput = vec![
        ("served".into(), GREEN, line(0)),
        ("refused".into(), BLUE, line(1)),
        ("failed or lost".into(), RED, line(2)),
    ];
    let q = |q: f64| lat.iter().enumerate().map(|(k, h)| (k as f64, ms(h, q))).collect();
    let latency = vec![("p50".into(), BLUE, q(0.5)), ("p99".into(), RED, q(0.99))];
    (throughput, latency)
}

const PALETTE: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, CYAN, BLACK];

/// Draws the same on a white ground of this size twice, into `path` as SVG and as PNG.
macro_rules! svg_and_png {
    ($path:expr, $size:expr, $root:ident => $draw:block) => {{
        let (svg, png) = ($path.with_extension("svg"), $path.with_extension("png"));
        svg_and_png!(one SVGBackend::new(&svg, $size), $root => $draw);
        svg_and_png!(one BitMapBackend::new(&png, $size), $root => $draw);
    }};
    (one $backend:expr, $root:ident => $draw:block) => {{
        let $root = $backend.into_drawing_area();
        $root.fill(&WHITE).map_err(|e| e.to_string())?;
        $draw
        $root.present().map_err(|e| e.to_string())?;
    }};
}

/// The box that names a chart's series.
fn legend<'a, B: DrawingBackend + 'a, C: CoordTranslate>(
    chart: &mut ChartContext<'a, B, C>,
) -> Result<(), String>
where
    B::ErrorType: 'static,
{
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| e.to_string())
}

pub(crate) fn draw_lines(
    path: &Path,
    title: &str,
    y: &str,
    series: &Series,
    marks: &[(f64, String)],
) -> Result<(), String> {
    let x_max = series.iter().flat_map(|s| s.2.iter().map(|p| p.0)).fold(1.0, f64::max);
    let y_max = series.iter().flat_map(|s| s.2.iter().map(|p| p.1)).fold(1.0, f64::max) * 1.1;
    svg_and_png!(path, (900, 420), root => {
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(55)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)
            .map_err(|e| e.to_string())?;
        chart.configure_mesh().x_desc("seconds of load").y_desc(y).draw().map_err(|e| e.to_string())?;
        for (name, color, points) in series {
            let color = *color;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
                .map_err(|e| e.to_string())?
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
        }
        for (at, what) in marks {
            let grey = RGBColor(120, 120, 120);
            chart
                .draw_series(LineSeries::new(vec![(*at, 0.0), (*at, y_max)], grey.stroke_width(1)))
                .map_err(|e| e.to_string())?;
            let text = Text::new(what.clone(), (*at, y_max * 0.97), ("sans-serif", 12));
            chart.draw_series(std::iter::once(text)).map_err(|e| e.to_string())?;
        }
        legend(&mut chart)?;
    });
    Ok(())
}

/// The charts of a run: `throughput`, `latency`, `gateways` and `shares`, as SVG and PNG.
pub fn charts(dir: &Path, o: &Outcome) -> Result<(), String> {
    if !font() {
        return Ok(());
    }
    let start = o.load_us.0 as f64;
    let marks: Vec<(f64, String)> =
        o.record.faults.iter().map(|f| ((f.at_us as f64 - start).max(0.0) / 1e6, f.kind.clone())).collect();
    let (throughput, latency) = per_second(o);
    draw_lines(
        &dir.join("throughput"),
        "tries a second, by how they ended",
        "tries a second",
        &throughput,
        &marks,
    )?;
    draw_lines(&dir.join("latency"), "time to answer served tries", "milliseconds", &latency, &marks)?;
    type Points = Vec<(f64, f64)>;
    let mut targets: BTreeMap<usize, (Points, Points)> = BTreeMap::new();
    for g in o.record.gateways.iter().filter(|g| g.what == "sample") {
        let at = (g.at_us as f64 - start).max(0.0) / 1e6;
        let e = targets.entry(g.gateway).or_default();
        e.0.push((at, g.target));
        e.1.push((at, g.out as f64));
    }
    if !targets.is_empty() {
        let mut series: Series = Vec::new();
        for (n, (g, (target, out))) in targets.into_iter().enumerate().take(6) {
            let c = PALETTE[n % PALETTE.len()];
            series.push((format!("n{g} target"), c, target));
            series.push((format!("n{g} out"), RGBColor(c.0 / 2 + 100, c.1 / 2 + 100, c.2 / 2 + 100), out));
        }
        draw_lines(
            &dir.join("gateways"),
            "target and attempts out, first gateways",
            "requests",
            &series,
            &marks,
        )?;
    }
    shares(dir, o)
}

/// Each customer's units sent on a second against its rate, by plan.
fn shares(dir: &Path, o: &Outcome) -> Result<(), String> {
    let s = &o.scenario;
    let load_s = (o.load_us.1.saturating_sub(o.load_us.0) as f64 / 1e6).max(1e-3);
    let first = o.record.first_sent();
    let mut sent: HashMap<u64, (usize, f64, f64)> = HashMap::new();
    for t in &o.record.tries {
        let e = sent.entry(t.customer).or_insert((t.plan, 0.0, 0.0));
        e.2 += f64::from(t.units);
        if first.contains_key(t.id.as_str()) {
            e.1 += f64::from(t.units);
        }
    }
    let points: Vec<(f64, f64, RGBColor)> = sent
        .values()
        .filter(|(p, _, _)| s.plans[*p].rate > 0.0)
        .map(|(p, sent, asked)| {
            (asked / load_s / s.plans[*p].rate, sent / load_s / s.plans[*p].rate, PALETTE[p % PALETTE.len()])
        })
        .collect();
    if points.is_empty() {
        return Ok(());
    }
    let most = points.iter().map(|p| p.0.max(p.1)).fold(1.0, f64::max) * 1.05;
    svg_and_png!(dir.join("shares"), (600, 600), root => {
        let mut chart = ChartBuilder::on(&root)
            .caption("each customer: sent on against asked, in parts of its rate", ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(55)
            .build_cartesian_2d(0.0..most, 0.0..most)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .x_desc("asked / rate")
            .y_desc("sent on / rate")
            .draw()
            .map_err(|e| e.to_string())?;
        chart
            .draw_series(points.iter().map(|(x, y, c)| Circle::new((*x, *y), 3, c.filled())))
            .map_err(|e| e.to_string())?;
        let grey = RGBColor(150, 150, 150);
        for line in [[(0.0, 1.0), (most, 1.0)], [(0.0, 0.0), (1.0, 1.0)]] {
            chart.draw_series(LineSeries::new(line, grey)).map_err(|e| e.to_string())?;
        }
    });
    Ok(())
}

/// The figures compared in `lab compare`, by name.
pub fn key_figures(s: &Summary) -> Vec<(&'static str, f64)> {
    vec![
        ("worth", s.worth),
        ("requests served", s.requests_served),
        ("goodput a second", s.goodput_per_s),
        ("p50 ms", s.p50_ms),
        ("p99 ms", s.p99_ms),
        ("beyond quota", s.beyond_quota),
        ("refused with room", s.refused_with_room),
        ("attempts a try", s.attempts_per_try),
        ("lost", s.lost as f64),
        ("rules broken", s.breaks.values().sum::<usize>() as f64),
        ("lab cpu us a try", s.lab_cpu_us_per_try),
        ("gateways cpu us a try", s.gateways_cpu_us_per_try),
    ]
}

/// Requests served by scenario and size, a bar for each program, from gathered summaries.
pub fn bars(dir: &Path, rows: &[serde_json::Value]) -> Result<(), String> {
    if !font() || rows.is_empty() {
        return Ok(());
    }
    let text = |r: &serde_json::Value, k: &str| {
        r[k].as_str().map(str::to_string).unwrap_or_else(|| r[k].to_string())
    };
    let group = |r: &serde_json::Value| format!("{} x{}", text(r, "scenario"), text(r, "gateways"));
    let mut groups: Vec<String> = Vec::new();
    let mut programs: Vec<String> = Vec::new();
    for r in rows {
        let g = group(r);
        if !groups.contains(&g) {
            groups.push(g);
        }
        let p = text(r, "program");
        if !programs.contains(&p) {
            programs.push(p);
        }
    }
    let width = 1.0 / (programs.len() as f64 + 1.0);
    let size = (160 * groups.len().max(4) as u32, 480);
    svg_and_png!(dir.join("served"), size, root => {
        let mut chart = ChartBuilder::on(&root)
            .caption("worth: served in time inside quotas, less half of what went beyond", ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(60)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..groups.len() as f64, 0.0..1.0)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .x_labels(groups.len() * 2 + 1)
            .x_label_formatter(&|x| {
                let middle = (x - x.floor() - 0.5).abs() < 0.01;
                groups.get(x.floor() as usize).filter(|_| middle).cloned().unwrap_or_default()
            })
            .y_desc("worth")
            .draw()
            .map_err(|e| e.to_string())?;
        for (n, p) in programs.iter().enumerate() {
            let color = PALETTE[n % PALETTE.len()];
            let bars = rows.iter().filter(|r| text(r, "program") == *p).filter_map(|r| {
                let g = groups.iter().position(|g| *g == group(r))?;
                let x = g as f64 + width * (n as f64 + 0.5);
                let y = r["worth"].as_f64().unwrap_or(0.0).max(0.0);
                Some(Rectangle::new([(x, 0.0), (x + width, y)], color.filled()))
            });
            chart
                .draw_series(bars)
                .map_err(|e| e.to_string())?
                .label(p.as_str())
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
        }
        legend(&mut chart)?;
    });
    Ok(())
}
