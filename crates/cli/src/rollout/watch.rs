//! Follows one rollout to its end: asks a registry again and again, shows what it tells, and reports how it ended.

use super::view;
use crate::error::CommandError;
use crate::registries::Registries;
use crate::table::cell;
use jzon::JsonValue;
use std::io::{IsTerminal, Write};
use std::time::Duration;

/// After so many questions in a row that no registry answers, nothing more is asked.
const MAX_UNANSWERED: u32 = 10;

pub const EXIT_CODES: &str = "\
Exit codes: 0 completed; 1 reverted, or there is no such rollout; 3 no registry answered ten times in a row,
which ends the watching alone: the rollout goes on, as it does after Ctrl-C.";

/// What was seen so far.
#[derive(Default)]
struct Watched {
    epoch: Option<u64>,
    /// The last answer in which proxies had told of the new version: a rollout that has ended has no counts.
    counted: Option<JsonValue>,
    stage: Option<String>,
    unanswered: u32,
}

pub fn to_its_end(
    target: &str,
    every: Duration,
    json: bool,
    registries: &Registries,
) -> Result<String, CommandError> {
    let mut watched = Watched::default();
    let mut screen = Screen { on_terminal: std::io::stdout().is_terminal(), shown: 0 };
    loop {
        if let Some((raw, value)) = watched.ask(target, registries)? {
            watched.take(&value)?;
            let over = value["server_state"] != "in_progress";
            match (json, over) {
                (true, true) => return verdict(&value, raw + "\n"),
                (true, false) => {}
                (false, true) => {
                    screen.clear();
                    return verdict(&value, watched.report(&value));
                }
                (false, false) => watched.show(&value, &mut screen),
            }
        } else {
            screen.leave();
        }
        std::thread::sleep(every);
    }
}

/// Completed is what was wanted; all else is told by the exit code, after the report.
fn verdict(value: &JsonValue, report: String) -> Result<String, CommandError> {
    if value["server_state"] == "completed" {
        return Ok(report);
    }
    put(&report);
    Err(CommandError::Reverted(cell(&value["reason"])))
}

impl Watched {
    /// None where no registry answers for the moment, as while a new leader is elected.
    fn ask(
        &mut self,
        target: &str,
        registries: &Registries,
    ) -> Result<Option<(String, JsonValue)>, CommandError> {
        match registries.get(target) {
            Ok(read) => {
                self.unanswered = 0;
                Ok(Some(read))
            }
            Err(CommandError::Unreachable(why)) => {
                self.unanswered += 1;
                eprintln!("curlewfront: no registry answered, asked again: {why}");
                if self.unanswered < MAX_UNANSWERED { Ok(None) } else { Err(CommandError::Unreachable(why)) }
            }
            Err(failed) => Err(failed),
        }
    }

    /// Another rollout of the same service may begin after the end of the one that is watched.
    fn take(&mut self, value: &JsonValue) -> Result<(), CommandError> {
        let epoch = value["epoch"].as_u64();
        if self.epoch.is_some() && self.epoch != epoch {
            let why = "the rollout ended unseen, and another one of this service has begun".to_string();
            return Err(CommandError::Refused(why));
        }
        self.epoch = epoch;
        if !value["new_side"]["answer_count"].is_null() {
            self.counted = Some(value.clone());
        }
        Ok(())
    }

    /// On a terminal all figures, renewed in place; elsewhere a line for each stage.
    fn show(&mut self, value: &JsonValue, screen: &mut Screen) {
        let stage = cell(&value["stage"]);
        let is_new = self.stage.as_deref() != Some(stage.as_str());
        self.stage = Some(stage);
        if screen.on_terminal {
            screen.renew(&view::show(value));
        } else if is_new {
            put(&format!("{}; reason: {}\n", view::heading(value), cell(&value["reason"])));
        }
    }

    /// How it ended, with the last counts that were seen.
    fn report(&self, value: &JsonValue) -> String {
        let mut last = value.clone();
        for side in ["old_side", "new_side"] {
            if let Some(counted) = &self.counted {
                last[side] = counted[side].clone();
            }
        }
        view::show(&last) + meaning(&cell(&value["server_state"]))
    }
}

fn meaning(state: &str) -> &'static str {
    match state {
        "completed" => "nothing is sent to the old servers any more; they may stop\n",
        "reverted" => "nothing is sent to the new servers any more; the old ones serve as before\n",
        _ => "",
    }
}

/// Long lines are cut at the edge of the terminal: wrapped, one would take more lines than are cleared.
const NO_WRAP: &str = "\x1b[?7l";
const WRAP: &str = "\x1b[?7h";

/// The lines on the terminal that are to be written over.
struct Screen {
    on_terminal: bool,
    shown: usize,
}

impl Screen {
    fn renew(&mut self, text: &str) {
        self.clear();
        put(&format!("{NO_WRAP}{text}{WRAP}"));
        self.shown = text.lines().count();
    }

    /// What was shown stays, as something else was written below it.
    fn leave(&mut self) {
        self.shown = 0;
    }

    /// Moves the cursor up to the first line shown, and erases from there on.
    fn clear(&mut self) {
        if self.shown > 0 {
            put(&format!("\x1b[{}A\x1b[J", self.shown));
        }
        self.shown = 0;
    }
}

/// A reader that closed the pipe ends nothing.
fn put(text: &str) {
    let mut out = std::io::stdout();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}
