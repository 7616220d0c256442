package org.geraniumford.trials.measure;

import java.util.Arrays;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumford.daemon.load.LoadReport;
import org.geraniumford.daemon.load.SvgChart;

/** Compares the runs of one scenario by routing policy. */
final class Comparison {
    /** The metrics that are shown as charts and as ratios to the first policy. */
    private static final List<Metric> CHARTED_METRICS = List.of(Metric.HIT_RATE, Metric.WASTED, Metric.P95);

    private final String scenario;
    private final Map<String, List<MeasuredRun>> runsByPolicy;

    private Comparison(String scenario, Map<String, List<MeasuredRun>> runsByPolicy) {
        this.scenario = scenario;
        this.runsByPolicy = runsByPolicy;
    }

    /** Groups the runs of a scenario, at least one, by policy; the policy of the first run is the base of ratios. */
    static Comparison of(String scenario, List<MeasuredRun> runs) {
        return new Comparison(
                scenario,
                runs.stream()
                        .collect(Collectors.groupingBy(
                                run -> run.result().label(), LinkedHashMap::new, Collectors.toList())));
    }

    // -- queries

    /**
     * Returns, as Markdown, a table of each metric's mean and range by policy, and a table of the ratios of the charted
     * metrics' means to those of the first policy.
     */
    String markdown() {
        List<String> header = Stream.concat(
                        Stream.of("policy", "runs"),
                        Arrays.stream(Metric.values()).map(Metric::title))
                .toList();
        List<List<String>> rows = runsByPolicy.entrySet().stream()
                .map(entry -> row(entry.getKey(), entry.getValue()))
                .toList();
        return "### " + scenario + "\n\n" + LoadReport.markdown(header, rows) + "\n\n" + ratioTable();
    }

    private static List<String> row(String policy, List<MeasuredRun> runs) {
        return Stream.concat(
                        Stream.of(policy, String.valueOf(runs.size())),
                        Arrays.stream(Metric.values()).map(metric -> metric.meanAndRange(runs)))
                .toList();
    }

    private String ratioTable() {
        List<MeasuredRun> baseRuns = runsByPolicy.values().iterator().next();
        List<String> header = Stream.concat(
                        Stream.of("ratio to " + runsByPolicy.keySet().iterator().next()),
                        CHARTED_METRICS.stream().map(Metric::title))
                .toList();
        List<List<String>> rows = runsByPolicy.entrySet().stream()
                .map(entry -> Stream.concat(
                                Stream.of(entry.getKey()),
                                CHARTED_METRICS.stream().map(metric -> ratio(metric, entry.getValue(), baseRuns)))
                        .toList())
                .toList();
        return LoadReport.markdown(header, rows);
    }

    private static String ratio(Metric metric, List<MeasuredRun> runs, List<MeasuredRun> baseRuns) {
        double baseMean = metric.statistics(baseRuns).getAverage();
        return baseMean == 0 ? "-" : "%.2f".formatted(metric.statistics(runs).getAverage() / baseMean);
    }

    /** Returns bar charts of the means of the charted metrics as an SVG document. */
    String svg() {
        return SvgChart.render(CHARTED_METRICS.stream()
                .map(metric -> new SvgChart.Panel(
                        scenario + ": " + metric.title(),
                        runsByPolicy.entrySet().stream()
                                .map(entry -> new SvgChart.Bar(
                                        entry.getKey(),
                                        metric.statistics(entry.getValue()).getAverage()))
                                .toList()))
                .toList());
    }

    /**
     * The quantities of a run that are compared. P50, P95, P99 and WORST are times in milliseconds of the modelled
     * deployment, REFUSED is a number of requests, and the others are fractions or ratios.
     */
    enum Metric {
        HIT_RATE("hit rate"),
        BOUND("bound of hit rate"),
        OF_BOUND("hit rate / bound"),
        WASTED("wasted share"),
        P50("first token p50 ms"),
        P95("first token p95 ms"),
        P99("first token p99 ms"),
        GOOD("in time"),
        REFUSED("refused or broken"),
        JAIN("Jain's index"),
        WORST("worst customer's p99 ms");

        private final String title;

        Metric(String title) {
            this.title = title;
        }

        String title() {
            return title;
        }

        double value(MeasuredRun run) {
            return switch (this) {
                case HIT_RATE -> run.result().hitRate();
                case BOUND -> run.result().bound().hitRate();
                case OF_BOUND -> run.result().relativeHitRate();
                case WASTED -> run.wastedFraction();
                case P50 -> run.result().firstToken().p50Millis();
                case P95 -> run.result().firstToken().p95Millis();
                case P99 -> run.result().firstToken().p99Millis();
                case GOOD -> run.goodFraction();
                case REFUSED -> run.result().requests() - run.result().completed();
                case JAIN -> run.result().jainIndex();
                case WORST -> run.result().worstP99Millis();
            };
        }

        DoubleSummaryStatistics statistics(List<MeasuredRun> runs) {
            ToDoubleFunction<MeasuredRun> value = this::value;
            return runs.stream().mapToDouble(value).summaryStatistics();
        }

        String meanAndRange(List<MeasuredRun> runs) {
            DoubleSummaryStatistics statistics = statistics(runs);
            return "%s (%s to %s)"
                    .formatted(
                            format(statistics.getAverage()), format(statistics.getMin()), format(statistics.getMax()));
        }

        /** Formats values above 1, taken to be times or counts, without decimals, and others with three decimals. */
        private static String format(double value) {
            return value > 1 ? LoadReport.formatMillis(value) : LoadReport.formatFraction(value);
        }
    }
}
