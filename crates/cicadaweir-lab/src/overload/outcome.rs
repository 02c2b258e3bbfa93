//! Results of a run.

/// How many requests ended in which way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Requests that callers made.
    pub asked: u64,
    /// Answered within the latency objective.
    pub in_aim: u64,
    /// Answered later.
    pub late: u64,
    /// Not answered: all attempts were refused.
    pub refused: u64,
    /// Not answered by the caller's timeout.
    pub timed_out: u64,
}

impl Counts {
    /// Adds the counts of another span or class.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_aim += other.in_aim;
        self.late += other.late;
        self.refused += other.refused;
        self.timed_out += other.timed_out;
    }
}

/// The results of a run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Outcome {
    /// By second in which the request was made, then by class.
    pub seconds: Vec<Vec<Counts>>,
    /// Resets for load by entry VMs.
    pub entry_refusals: u64,
    /// Requests that targets rejected.
    pub target_rejections: u64,
    /// Openings that targets refused.
    pub target_refusals: u64,
    /// Refusals of flows of which a packet had reached a target. Must be 0.
    pub false_refusals: u64,
    /// Milliseconds of work for requests whose callers had given up.
    pub wasted_ms: f64,
}

impl Outcome {
    /// Returns the counts of the requests that were made from second `from` until
    /// second `until`, of all classes or of one.
    pub fn between(&self, from: usize, until: usize, class: Option<usize>) -> Counts {
        let mut sum = Counts::default();
        for second in self
            .seconds
            .iter()
            .skip(from)
            .take(until.saturating_sub(from))
        {
            let classes = second.iter().enumerate();
            for (_, counts) in classes.filter(|(at, _)| class.is_none_or(|class| class == *at)) {
                sum.add(counts);
            }
        }
        sum
    }
}
