use super::Figure;

/// A quantity measured at several sizes, with a straight line through it.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacitySlope {
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// Value of the line at size 0.
    pub base: f64,
    /// Growth of the line per unit of size.
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
    /// assert!(line.worst_miss() < 1e-9);
    /// ```
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // a handful of points
    pub fn fit(points: Vec<(f64, f64)>) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let product: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { product / spread } else { 0.0 };
        Self {
            base: mean_y - slope * mean_x,
            slope,
            points,
        }
    }

    /// Value of the line at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// Largest distance of a point from the line, relative to the largest value.
    #[must_use]
    pub fn worst_miss(&self) -> f64 {
        let largest = self.points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let miss = self.points.iter().map(|(x, y)| (y - self.at(*x)).abs());
        if largest > 0.0 {
            miss.fold(0.0, f64::max) / largest
        } else {
            0.0
        }
    }

    /// Figures of the points, the line, its worst miss and its value at `design`.
    #[must_use]
    pub fn figures(&self, name: &str, unit: &'static str, design: f64) -> Vec<Figure> {
        let mut figures = Vec::new();
        for (size, value) in &self.points {
            figures.push(Figure::new(&format!("{name}.at_{size}"), *value, unit));
        }
        figures.push(Figure::new(&format!("{name}.base"), self.base, unit));
        figures.push(Figure::new(&format!("{name}.slope"), self.slope, unit));
        let miss = self.worst_miss() * 100.0;
        figures.push(Figure::new(&format!("{name}.worst_miss"), miss, "%"));
        let design_name = format!("{name}.design_{design}");
        figures.push(Figure::new(&design_name, self.at(design), unit));
        figures
    }
}
