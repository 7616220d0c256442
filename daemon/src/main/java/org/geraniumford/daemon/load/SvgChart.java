package org.geraniumford.daemon.load;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Renders a bar chart in SVG, with a panel for each measure and a bar for each run. */
public final class SvgChart {
    private static final int PANEL_WIDTH_PX = 320;
    private static final int PANEL_HEIGHT_PX = 240;
    private static final int PLOT_HEIGHT_PX = 160;
    private static final int TOP_MARGIN_PX = 40;
    private static final int SIDE_MARGIN_PX = 24;
    private static final List<String> COLOURS =
            List.of("#4269d0", "#efb118", "#ff725c", "#6cc5b0", "#3ca951", "#a463f2");

    private SvgChart() {}

    // -- queries

    /**
     * Renders the panels side by side.
     *
     * @param panels the panels, one for each measure
     * @return an SVG document
     */
    public static String render(List<Panel> panels) {
        String content = IntStream.range(0, panels.size())
                .mapToObj(i -> panel(panels.get(i), i * PANEL_WIDTH_PX))
                .collect(Collectors.joining("\n"));
        return """
                <svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">
                %s
                </svg>
                """.formatted(panels.size() * PANEL_WIDTH_PX, PANEL_HEIGHT_PX, content);
    }

    private static String panel(Panel panel, int left) {
        double largest = panel.bars.stream().mapToDouble(Bar::value).max().orElse(0);
        double pixelsPerUnit = largest == 0 ? 0 : PLOT_HEIGHT_PX / largest;
        int barWidth = (PANEL_WIDTH_PX - 2 * SIDE_MARGIN_PX) / Math.max(1, panel.bars.size());
        String bars = IntStream.range(0, panel.bars.size())
                .mapToObj(i -> bar(panel.bars.get(i), i, left + SIDE_MARGIN_PX + i * barWidth, barWidth, pixelsPerUnit))
                .collect(Collectors.joining("\n"));
        return "<text x=\"%d\" y=\"20\" font-size=\"13\">%s</text>\n%s"
                .formatted(left + SIDE_MARGIN_PX, escape(panel.title), bars);
    }

    private static String bar(Bar bar, int index, int x, int width, double pixelsPerUnit) {
        int height = (int) Math.round(bar.value * pixelsPerUnit);
        int y = TOP_MARGIN_PX + PLOT_HEIGHT_PX - height;
        int middle = x + width / 2;
        return """
                <rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>
                <text x="%d" y="%d" text-anchor="middle">%s</text>
                <text x="%d" y="%d" text-anchor="middle">%s</text>""".formatted(
                        x + 2,
                        y,
                        width - 4,
                        height,
                        COLOURS.get(index % COLOURS.size()),
                        middle,
                        y - 4,
                        bar.value >= 100 ? LoadReport.formatMillis(bar.value) : LoadReport.formatFraction(bar.value),
                        middle,
                        TOP_MARGIN_PX + PLOT_HEIGHT_PX + 16,
                        escape(bar.label));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    /**
     * A panel that shows one measure.
     *
     * @param title the measure's name and unit
     * @param bars the bars, one for each run
     */
    public record Panel(String title, List<Bar> bars) {
        /** Copies the list of bars. */
        public Panel {
            bars = List.copyOf(bars);
        }
    }

    /**
     * A bar that shows one run's value.
     *
     * @param label the run's label
     * @param value the value, at least 0
     */
    public record Bar(String label, double value) {}
}
