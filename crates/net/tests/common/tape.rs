//! The picks of one course after the other, in all combinations or by chance. Models of several crates include this file.

pub struct Tape {
    at: usize,
    pub picks: Vec<(usize, usize)>,
    /// Some: by chance.
    pub rng: Option<fastrand::Rng>,
}

impl Tape {
    pub fn new(rng: Option<fastrand::Rng>) -> Tape {
        Tape { at: 0, picks: Vec::new(), rng }
    }

    /// One of so many.
    pub fn pick(&mut self, of: usize) -> usize {
        if let Some(rng) = &mut self.rng {
            return rng.usize(0..of);
        }
        if self.at == self.picks.len() {
            self.picks.push((0, of));
        }
        self.at += 1;
        assert_eq!(self.picks[self.at - 1].1, of, "equal picks, equal courses");
        self.picks[self.at - 1].0
    }

    /// The next combination, if there is one.
    pub fn turn_over(&mut self) -> bool {
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
