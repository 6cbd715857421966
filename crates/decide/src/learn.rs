//! Online estimators that give recent samples more weight than old ones.

use crate::event::Millis;

/// An exponentially weighted moving average that starts at a prior.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Average {
    value: f64,
    samples: u32,
    step: f64,
}

impl Average {
    /// Creates an average whose newest sample has the weight `step`, 0 to 1.
    pub(crate) fn new(prior: f64, step: f64) -> Self {
        Self { value: prior, samples: 0, step }
    }

    /// Adds a sample; the first samples weigh more, so that they quickly outweigh a wrong prior.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = self.step.max(1.0 / f64::from(self.samples + 1));
        self.value += (sample - self.value) * step;
    }

    pub(crate) fn get(&self) -> f64 {
        self.value
    }

    pub(crate) fn is_learned(&self) -> bool {
        self.samples >= 3
    }
}

/// A rate per millisecond over an exponentially decaying window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    amount: f64,
    at: Millis,
    window_ms: Millis,
    since: Millis,
}

impl Rate {
    pub(crate) fn new(window_ms: Millis) -> Self {
        Self { amount: 0.0, at: 0.0, window_ms, since: f64::NAN }
    }

    pub(crate) fn add(&mut self, now: Millis, amount: f64) {
        if self.since.is_nan() {
            self.since = now;
        }
        self.amount = self.total(now) + amount;
        self.at = now;
    }

    /// Returns the decayed sum of all amounts at `now`.
    pub(crate) fn total(&self, now: Millis) -> f64 {
        self.amount * (-(now - self.at).max(0.0) / self.window_ms).exp()
    }

    /// Returns the amount per millisecond, or 0 before the first sample.
    pub(crate) fn per_ms(&self, now: Millis) -> f64 {
        if self.since.is_nan() {
            return 0.0;
        }
        let window_fill = 1.0 - (-(now - self.since).max(1.0) / self.window_ms).exp();
        self.total(now) / (self.window_ms * window_fill)
    }
}

/// A least-squares line fit over exponentially weighted samples.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinearFit {
    step: f64,
    samples: u32,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// Creates a constant line at `prior` whose newest sample has the weight `step`, 0 to 1.
    pub(crate) fn new(prior: f64, step: f64) -> Self {
        Self { step, samples: 0, x: 0.0, y: prior, xx: 0.0, xy: 0.0 }
    }

    pub(crate) fn add(&mut self, x: f64, y: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = self.step.max(1.0 / f64::from(self.samples + 1));
        self.x += (x - self.x) * step;
        self.y += (y - self.y) * step;
        self.xx += (x * x - self.xx) * step;
        self.xy += (x * y - self.xy) * step;
    }

    /// Returns the estimate at `x`; a negative slope is treated as noise and set to 0.
    pub(crate) fn at(&self, x: f64) -> f64 {
        let variance = self.xx - self.x * self.x;
        if variance < 0.5 {
            return self.y;
        }
        let slope = ((self.xy - self.x * self.y) / variance).max(0.0);
        (self.y + slope * (x - self.x)).max(self.y * 0.25)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rate_is_accurate_before_its_window_is_full() {
        let mut rate = Rate::new(2000.0);
        for ms in 0..200 {
            rate.add(f64::from(ms), 3.0);
        }
        assert!((rate.per_ms(200.0) - 3.0).abs() < 0.1, "{}", rate.per_ms(200.0));
    }

    #[test]
    fn linear_fit_converges_to_its_points() {
        let mut line = LinearFit::new(25.0, 0.05);
        for n in 0..200 {
            let x = f64::from(n % 20);
            line.add(x, 15.0 + 0.5 * x);
        }
        assert!((line.at(30.0) - 30.0).abs() < 1.0, "{}", line.at(30.0));
    }

    #[test]
    fn samples_quickly_outweigh_a_wrong_prior() {
        let mut average = Average::new(1000.0, 0.1);
        for _ in 0..10 {
            average.add(10.0);
        }
        assert!(average.get() < 150.0, "{}", average.get());
    }
}
