package org.chivetally.load;

import java.util.List;
import java.util.Locale;

/** Formats reports as text: a table of one run, and Markdown rows for pages that list runs. */
public final class ReportTable {
    private static final String ROW = "%-40s %14s  %s%n";
    private static final int MAXIMUM_LISTED_VIOLATIONS = 5;
    private static final List<Figure> MARKDOWN_FIGURES = List.of(
            Figure.RESPONSE_P50,
            Figure.RESPONSE_P99,
            Figure.SINGLE_QUEUE_P99,
            Figure.GOODPUT,
            Figure.STARTS_PER_SECOND,
            Figure.EXTRA_MESSAGES_PER_TASK,
            Figure.WASTED_PER_TASK,
            Figure.DUPLICATE_STARTS,
            Figure.PARTIAL_ANSWERS,
            Figure.FALSE_REFUSALS,
            Figure.CUT_REQUESTS,
            Figure.UNANSWERED_JOBS);

    private ReportTable() {}

    /** Returns the table of one run, with one figure per line and its goal beside it. */
    public static String of(LoadReport report) {
        StringBuilder text = new StringBuilder();
        row(text, "plan", report.plan().name(), "seed " + report.plan().seed() + ", run " + report.run());
        row(text, "jobs judged", report.jobs(), "");
        report.outcomes().forEach((outcome, count) -> row(text, "  " + outcome, count, ""));
        for (Figure figure : Figure.values()) {
            figureRow(text, report, figure);
        }
        report.counters().frames().forEach((kind, count) -> row(text, "  frames " + kind, count, ""));
        report.counters().wasted().forEach((kind, count) -> row(text, "  wasted " + kind, count, ""));
        report.roles().forEach((role, usage) -> roleRow(text, report, role, usage));
        row(text, "faults injected", report.faultCount(), "");
        report.faultKinds().forEach((kind, count) -> row(text, "  " + kind, count, ""));
        row(text, "faults not injected", report.missedFaults().size(), String.join(", ", report.missedFaults()));
        CheckResult checkResult = report.checkResult();
        violations(text, "duplicate start", checkResult.duplicateStarts());
        violations(text, "partial answer", checkResult.partialAnswers());
        violations(text, "false refusal", checkResult.falseRefusals());
        violations(text, "cut request", checkResult.cutRequests());
        violations(text, "start after leaving", checkResult.startsAfterLeaving());
        violations(text, "conflicting outcome", checkResult.conflictingOutcomes());
        violations(text, "unanswered", report.unanswered());
        row(text, "contradicted refusals", checkResult.contradictedRefusals().size(), "");
        violations(text, "contradicted", checkResult.contradictedRefusals());
        row(text, "answers without a start", checkResult.unrecordedAnswers().size(), "");
        row(text, "minions without a record", report.unreadMinions().size(), String.join(" ", report.unreadMinions()));
        return text.toString();
    }

    /** Returns the two heading lines of a Markdown table of runs. */
    public static String markdownHeading() {
        StringBuilder names = new StringBuilder("| plan | seed | jobs | faults |");
        StringBuilder separator = new StringBuilder("| --- | --- | --- | --- |");
        for (Figure figure : MARKDOWN_FIGURES) {
            names.append(' ').append(figure.text()).append(" |");
            separator.append(" --- |");
        }
        return names + "\n" + separator + "\n";
    }

    /** Returns one run as a row of the Markdown table. */
    public static String markdownRow(LoadReport report) {
        StringBuilder row = new StringBuilder();
        row.append("| ").append(report.plan().name());
        row.append(" | ").append(report.plan().seed());
        row.append(" | ").append(report.jobs());
        row.append(" | ").append(report.faultCount()).append(" |");
        for (Figure figure : MARKDOWN_FIGURES) {
            Double value = report.figures().get(figure);
            row.append(' ').append(value == null ? "-" : number(figure, value));
            row.append(report.misses(figure) ? " (missed) |" : " |");
        }
        return row.append('\n').toString();
    }

    private static void figureRow(StringBuilder text, LoadReport report, Figure figure) {
        Double value = report.figures().get(figure);
        Double limit = report.plan().goals().get(figure);
        if (value == null && limit == null) {
            return;
        }
        String printed = value == null ? "not measured" : number(figure, value);
        row(text, figure.text(), printed, limit == null ? "" : goal(report, figure, limit));
    }

    private static void roleRow(StringBuilder text, LoadReport report, String role, RoleUsage usage) {
        String micros = String.format(Locale.ROOT, "%.1f us/start", usage.microsPerStart(report.starts()));
        String remark = String.format(
                Locale.ROOT,
                "%d processes, each %.1f%% of a core and %.0f MiB resident",
                usage.processes(),
                100 * usage.coreShare(report.plan().duration()),
                usage.mebibytesPerProcess());
        row(text, "  processor " + role, micros, remark);
    }

    private static String goal(LoadReport report, Figure figure, double limit) {
        String result = report.misses(figure) ? "missed" : "met";
        return "goal " + figure.operator() + " " + number(figure, limit) + " " + result;
    }

    private static void violations(StringBuilder text, String label, List<String> violations) {
        for (String violation : violations.subList(0, Math.min(MAXIMUM_LISTED_VIOLATIONS, violations.size()))) {
            row(text, "  " + label, violation, "");
        }
    }

    private static String number(Figure figure, double value) {
        return String.format(Locale.ROOT, "%." + figure.decimals() + "f", value);
    }

    private static void row(StringBuilder text, String label, Object value, String remark) {
        text.append(String.format(Locale.ROOT, ROW, label, value, remark).replaceAll(" +(?=\\R)", ""));
    }
}
