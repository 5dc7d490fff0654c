use super::Figure;

/// A quantity measured at several sizes, with a straight line fitted to the values.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacitySlope {
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// Value of the line at size 0.
    pub base: f64,
    /// Growth of the line per unit of size; 0 when all points have the same size.
    pub slope: f64,
}

impl CapacitySlope {
    /// Fits a line by least squares.
    ///
    /// ```
    /// use standins::measure::CapacitySlope;
    ///
    /// let line = CapacitySlope::fit(vec![(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    /// assert!((line.at(10.0) - 23.0).abs() < 1e-9);
    /// assert!(line.max_relative_residual() < 1e-9);
    /// ```
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // a handful of points
    pub fn fit(points: Vec<(f64, f64)>) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variance_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariance_sum: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if variance_sum > 0.0 {
            covariance_sum / variance_sum
        } else {
            0.0
        };
        Self {
            base: mean_y - slope * mean_x,
            slope,
            points,
        }
    }

    /// Value of the line at a size, which may lie outside the measured ones.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// Largest distance of a point from the line, as a fraction of the largest value; printed as
    /// `worst_miss`.
    #[must_use]
    pub fn max_relative_residual(&self) -> f64 {
        let largest = self.points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let residuals = self.points.iter().map(|(x, y)| (y - self.at(*x)).abs());
        if largest > 0.0 {
            residuals.fold(0.0, f64::max) / largest
        } else {
            0.0
        }
    }

    /// Returns figures of the points, the line, its largest residual, and its value at the design
    /// scale `design`.
    #[must_use]
    pub fn figures(&self, name: &str, unit: &'static str, design: f64) -> Vec<Figure> {
        let mut figures = Vec::new();
        for (size, value) in &self.points {
            figures.push(Figure::new(&format!("{name}.at_{size}"), *value, unit));
        }
        figures.push(Figure::new(&format!("{name}.base"), self.base, unit));
        figures.push(Figure::new(&format!("{name}.slope"), self.slope, unit));
        let residual_percent = self.max_relative_residual() * 100.0;
        figures.push(Figure::new(
            &format!("{name}.worst_miss"),
            residual_percent,
            "%",
        ));
        let design_name = format!("{name}.design_{design}");
        figures.push(Figure::new(&design_name, self.at(design), unit));
        figures
    }
}
