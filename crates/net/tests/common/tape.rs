//! The choices of a model test: all combinations of them, one run after the other, or random ones. Model tests of
//! several crates include this file.

/// The source of the choices of a run.
pub struct Tape {
    at: usize,
    /// The choices of this run, each with the number of its possibilities.
    pub picks: Vec<(usize, usize)>,
    /// Some: the choices are random.
    pub rng: Option<fastrand::Rng>,
}

impl Tape {
    pub fn new(rng: Option<fastrand::Rng>) -> Tape {
        Tape { at: 0, picks: Vec::new(), rng }
    }

    /// Chooses one of `of` possibilities, counted from 0.
    pub fn pick(&mut self, of: usize) -> usize {
        if let Some(rng) = &mut self.rng {
            return rng.usize(0..of);
        }
        if self.at == self.picks.len() {
            self.picks.push((0, of));
        }
        self.at += 1;
        assert_eq!(self.picks[self.at - 1].1, of, "equal choices lead to equal runs");
        self.picks[self.at - 1].0
    }

    /// Goes to the next combination; false if there is none.
    pub fn next_combination(&mut self) -> bool {
        self.at = 0;
        while let Some((n, of)) = self.picks.pop() {
            if n + 1 < of {
                self.picks.push((n + 1, of));
                return true;
            }
        }
        false
    }
}
