package org.chivetally.load;

import java.util.List;
import java.util.Map;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ObjectNode;

/** Formats reports as JSON for programs. */
public final class ReportJson {
    private static final JsonMapper MAPPER = JsonMapper.shared();

    private ReportJson() {}

    /** Returns a report as one indented JSON object. */
    public static String of(LoadReport report) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("plan", report.plan().name());
        root.put("seed", report.plan().seed());
        root.put("run", report.run());
        root.put("good", report.passed());
        root.put("jobs", report.jobs());
        putNumbers(root.putObject("outcomes"), report.outcomes());
        ObjectNode figures = root.putObject("figures");
        report.figures().forEach((figure, value) -> figures.put(figure.text(), value));
        ObjectNode goals = root.putObject("goals");
        report.plan().goals().forEach((figure, limit) -> {
            ObjectNode goal = goals.putObject(figure.text());
            goal.put("limit", limit);
            goal.put("met", !report.misses(figure));
        });
        putNumbers(root.putObject("frames"), report.counters().frames());
        root.put("frameBytes", report.counters().bytes());
        putNumbers(root.putObject("wasted"), report.counters().wasted());
        putNumbers(root.putObject("faults"), report.faults());
        putTexts(root, "faultsMissed", report.missedFaults());
        root.put("starts", report.starts());
        ObjectNode roles = root.putObject("roles");
        report.roles().forEach((role, usage) -> {
            ObjectNode node = roles.putObject(role);
            node.put("processes", usage.processes());
            node.put("processorSeconds", usage.processorTime().toMillis() / 1e3);
            node.put("processorMicrosPerStart", usage.microsPerStart(report.starts()));
            node.put("mebibytesEach", usage.mebibytesPerProcess());
        });
        putCheckResult(root.putObject("violations"), report.checkResult());
        putTexts(root, "unanswered", report.unanswered());
        putTexts(root, "minionsWithoutRecord", report.unreadMinions());
        return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(root);
    }

    private static void putCheckResult(ObjectNode node, CheckResult checkResult) {
        putTexts(node, "duplicateStarts", checkResult.duplicateStarts());
        putTexts(node, "partialAnswers", checkResult.partialAnswers());
        putTexts(node, "falseRefusals", checkResult.falseRefusals());
        putTexts(node, "cutRequests", checkResult.cutRequests());
        putTexts(node, "startsAfterLeaving", checkResult.startsAfterLeaving());
        putTexts(node, "conflictingOutcomes", checkResult.conflictingOutcomes());
        putTexts(node, "contradictedRefusals", checkResult.contradictedRefusals());
        putTexts(node, "answersWithoutStart", checkResult.unrecordedAnswers());
    }

    private static void putNumbers(ObjectNode node, Map<String, ? extends Number> values) {
        values.forEach((name, value) -> node.put(name, value.longValue()));
    }

    private static void putTexts(ObjectNode node, String name, List<String> values) {
        values.forEach(node.putArray(name)::add);
    }
}
