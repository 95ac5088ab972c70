package org.chivetally.load.experiment;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.text.DecimalFormat;
import java.util.List;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.NumberTickUnit;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYErrorRenderer;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;

/** Writes plots as PNG files. No display is needed. */
public final class Plots {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 560;
    private static final float STROKE = 1.6f;
    /** Colours that are distinguishable on white, also with most forms of colour blindness. */
    private static final List<Color> COLOURS = List.of(
            new Color(0xD55E00),
            new Color(0x0072B2),
            new Color(0x009E73),
            new Color(0xCC79A7),
            new Color(0x000000),
            new Color(0x56B4E9),
            new Color(0x999999));

    static {
        System.setProperty("java.awt.headless", "true");
    }

    private Plots() {}

    /**
     * Writes one plot with a line per series. Error bars span the lowest and the highest measurement of each point.
     *
     * @param file PNG file; replaced if it exists
     * @param axes title and axis labels
     * @param series lines of the plot
     */
    public static void write(Path file, Axes axes, List<Series> series) {
        XYIntervalSeriesCollection data = new XYIntervalSeriesCollection();
        for (Series line : series) {
            XYIntervalSeries points = new XYIntervalSeries(line.name());
            for (Point point : line.points()) {
                Spread spread = point.value();
                points.add(point.x(), point.x(), point.x(), spread.median(), spread.lowest(), spread.highest());
            }
            data.addSeries(points);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(
                axes.title(), axes.xLabel(), axes.yLabel(), data, PlotOrientation.VERTICAL, true, false, false);
        style(chart.getXYPlot(), axes, series.size());
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
        } catch (IOException unwritable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, file + " can't be written", unwritable);
        }
    }

    private static void style(XYPlot plot, Axes axes, int lines) {
        XYErrorRenderer renderer = new XYErrorRenderer();
        renderer.setDrawXError(false);
        renderer.setDefaultLinesVisible(true);
        for (int line = 0; line < lines; line++) {
            renderer.setSeriesStroke(line, new BasicStroke(STROKE));
            renderer.setSeriesPaint(line, COLOURS.get(line % COLOURS.size()));
        }
        plot.setRenderer(renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        if (axes.logarithmic()) {
            LogAxis range = new LogAxis(axes.yLabel());
            range.setBase(2);
            range.setTickUnit(new NumberTickUnit(1));
            range.setNumberFormatOverride(new DecimalFormat("0.##"));
            plot.setRangeAxis(range);
        } else {
            ((NumberAxis) plot.getRangeAxis()).setAutoRangeIncludesZero(true);
        }
    }

    /**
     * Title and axes of a plot.
     *
     * @param title title of the plot
     * @param xLabel label of the horizontal axis
     * @param yLabel label of the vertical axis
     * @param logarithmic whether the vertical axis is logarithmic, which requires values above zero
     */
    public record Axes(String title, String xLabel, String yLabel, boolean logarithmic) {}

    /**
     * A line of a plot.
     *
     * @param name name in the legend
     * @param points points in the order in which they are connected
     */
    public record Series(String name, List<Point> points) {
        /** Copies the points. */
        public Series {
            points = List.copyOf(points);
        }
    }

    /**
     * A point of a plot.
     *
     * @param x position on the horizontal axis
     * @param value measurements at this position
     */
    public record Point(double x, Spread value) {}
}
