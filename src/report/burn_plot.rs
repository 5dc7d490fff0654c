use {
    super::{ReportError, Result},
    plotters::prelude::*,
};

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (860, 240);

/// Maximum number of lines drawn in one plot. Further services are in the tables only.
pub(super) const MAX_LINES: usize = 8;

/// Colours of the lines, in CSS notation and as RGB.
const COLOURS: [(&str, RGBColor); MAX_LINES] = [
    ("#1f77b4", RGBColor(0x1f, 0x77, 0xb4)),
    ("#d62728", RGBColor(0xd6, 0x27, 0x28)),
    ("#2ca02c", RGBColor(0x2c, 0xa0, 0x2c)),
    ("#9467bd", RGBColor(0x94, 0x67, 0xbd)),
    ("#ff7f0e", RGBColor(0xff, 0x7f, 0x0e)),
    ("#8c564b", RGBColor(0x8c, 0x56, 0x4b)),
    ("#e377c2", RGBColor(0xe3, 0x77, 0xc2)),
    ("#17becf", RGBColor(0x17, 0xbe, 0xcf)),
];

/// Line plot. Its texts go into the page around the drawing, since the drawing holds only lines.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct BurnPlot {
    /// Heading with the unit.
    pub(super) title: &'static str,
    /// Time that the horizontal axis covers, such as `6 h`.
    pub(super) span: &'static str,
    /// Name and values of each line, oldest value first; all lines have the same number of values.
    pub(super) lines: Vec<(String, Vec<f64>)>,
}

impl BurnPlot {
    /// Colour of a line in CSS notation.
    pub(super) const fn colour(line: usize) -> &'static str {
        COLOURS[line % MAX_LINES].0
    }

    /// Highest value of all lines, at least 1.
    pub(super) fn max_value(&self) -> f64 {
        let values = self.lines.iter().flat_map(|(_, values)| values);
        values.copied().fold(1.0, f64::max)
    }

    /// Draws the lines as an SVG element without texts.
    pub(super) fn draw(&self) -> Result<String> {
        let mut svg = String::new();
        self.draw_into(&mut svg)
            .map_err(|reason| error_stack::Report::new(ReportError::Plot).attach(reason))?;
        Ok(svg)
    }

    fn draw_into(&self, svg: &mut String) -> std::result::Result<(), String> {
        let points = self.lines.first().map_or(2, |(_, values)| values.len());
        // Positions are floating-point numbers, because integer axes overflow in plotters 0.3.7.
        let positions = (0..points).map(|point| f64::from(u32::try_from(point).unwrap_or(0)));
        let positions: Vec<f64> = positions.collect();
        let right = positions.last().copied().unwrap_or(1.0);
        let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| error.to_string())?;
        let mut chart = ChartBuilder::on(&area)
            .margin(4)
            .build_cartesian_2d(0.0..right, 0.0..self.max_value() * 1.05)
            .map_err(|error| error.to_string())?;
        chart
            .configure_mesh()
            .max_light_lines(0)
            .x_labels(7)
            .y_labels(5)
            .draw()
            .map_err(|error| error.to_string())?;
        for (index, (_, values)) in self.lines.iter().take(MAX_LINES).enumerate() {
            let line = LineSeries::new(
                positions.iter().copied().zip(values.iter().copied()),
                COLOURS[index].1.stroke_width(2),
            );
            chart.draw_series(line).map_err(|error| error.to_string())?;
        }
        area.present().map_err(|error| error.to_string())
    }
}
