//! Fits a line and a power of growth to measured points, and gives their median and range.

/// `y = base + slope * x`, least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
}

impl Line {
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// None with fewer than two distinct `x`.
pub fn line(v: &[(f64, f64)]) -> Option<Line> {
    let n = v.len() as f64;
    let (mx, my) = (
        v.iter().map(|p| p.0).sum::<f64>() / n,
        v.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let xx: f64 = v.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let xy: f64 = v.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    (v.len() > 1 && xx > 0.0).then(|| Line {
        base: my - xy / xx * mx,
        slope: xy / xx,
    })
}

/// `k` in `y ~ x^k`, from the points where both are above zero: 1 is linear, 2 is quadratic.
pub fn power(v: &[(f64, f64)]) -> Option<f64> {
    let l: Vec<(f64, f64)> = v
        .iter()
        .filter(|p| p.0 > 0.0 && p.1 > 0.0)
        .map(|p| (p.0.ln(), p.1.ln()))
        .collect();
    line(&l).map(|l| l.slope)
}

/// Median, least and most; zeros when empty. An even count gives the mean of the middle two.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Spread {
    pub mid: f64,
    pub low: f64,
    pub high: f64,
}

pub fn spread(v: &[f64]) -> Spread {
    let mut v = v.to_vec();
    v.sort_by(f64::total_cmp);
    match v.len() {
        0 => Spread::default(),
        n => Spread {
            mid: (v[(n - 1) / 2] + v[n / 2]) / 2.0,
            low: v[0],
            high: v[n - 1],
        },
    }
}
