package org.chivetally.load;

import java.util.Locale;

/** Prints a report for a person. */
public final class ReportTable {
    private static final String ROW = "%-28s %s%n";

    private ReportTable() {}

    /** Returns the table, one figure a line. */
    public static String of(LoadReport report) {
        StringBuilder text = new StringBuilder();
        row(text, "plan", report.plan());
        row(text, "jobs judged", report.jobs());
        report.outcomes().forEach((outcome, count) -> row(text, "  " + outcome, count));
        ResponseRatio ratio = report.ratio();
        row(text, "response ratio", String.format(
                Locale.ROOT,
                "p50 %.3f  p90 %.3f  p99 %.3f  max %.3f  (%d jobs)",
                ratio.percentile(50),
                ratio.percentile(90),
                ratio.percentile(99),
                ratio.highest(),
                ratio.count()));
        row(text, "goodput, share of slots", String.format(Locale.ROOT, "%.3f", report.goodput()));
        row(text, "starts recorded", report.starts());
        Verdict verdict = report.verdict();
        row(text, "duplicate starts", verdict.duplicateStarts().size());
        row(text, "partial answers", verdict.partialAnswers().size());
        row(text, "false refusals", verdict.falseRefusals().size());
        row(text, "cut requests", verdict.cutRequests().size());
        row(text, "answers without a start", verdict.unrecordedAnswers().size());
        row(text, "minions without a record", report.unreadMinions());
        return text.toString();
    }

    private static void row(StringBuilder text, String name, Object value) {
        text.append(String.format(Locale.ROOT, ROW, name, value));
    }
}
