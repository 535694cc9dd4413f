//! Computes means, standard errors and paired differences.

/// A mean with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// The standard error of the mean, or `None` for fewer than two values.
    pub standard_error: Option<f64>,
}

impl Estimate {
    /// Returns the mean of the values, or `None` if there are no values.
    pub fn of(values: &[f64]) -> Option<Self> {
        if values.is_empty() {
            return None;
        }
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let standard_error = (values.len() > 1).then(|| (squares / (count - 1.0) / count).sqrt());
        Some(Estimate {
            mean,
            standard_error,
        })
    }

    /// Returns the mean of the differences of the pairs, second value minus first.
    pub fn of_differences(pairs: &[(f64, f64)]) -> Option<Self> {
        let differences: Vec<f64> = pairs.iter().map(|(first, second)| second - first).collect();
        Estimate::of(&differences)
    }
}
