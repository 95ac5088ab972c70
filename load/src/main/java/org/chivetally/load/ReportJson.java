package org.chivetally.load;

import java.util.List;
import java.util.Map;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ObjectNode;

/** Writes reports for programs. */
public final class ReportJson {
    private static final JsonMapper MAPPER = JsonMapper.shared();

    private ReportJson() {}

    /** Returns a report as one indented JSON object. */
    public static String of(LoadReport report) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("plan", report.plan().name());
        root.put("seed", report.plan().seed());
        root.put("run", report.run());
        root.put("good", report.good());
        root.put("jobs", report.jobs());
        numbers(root.putObject("outcomes"), report.outcomes());
        ObjectNode figures = root.putObject("figures");
        report.figures().forEach((figure, value) -> figures.put(figure.text(), value));
        ObjectNode goals = root.putObject("goals");
        report.plan().goals().forEach((figure, limit) -> {
            ObjectNode goal = goals.putObject(figure.text());
            goal.put("limit", limit);
            goal.put("met", !report.misses(figure));
        });
        numbers(root.putObject("frames"), report.counters().frames());
        root.put("frameBytes", report.counters().bytes());
        numbers(root.putObject("wasted"), report.counters().wasted());
        numbers(root.putObject("faults"), report.faults());
        texts(root, "faultsMissed", report.missedFaults());
        root.put("starts", report.starts());
        ObjectNode roles = root.putObject("roles");
        report.roles().forEach((role, cost) -> {
            ObjectNode node = roles.putObject(role);
            node.put("processes", cost.processes());
            node.put("processorSeconds", cost.processor().toMillis() / 1e3);
            node.put("processorMicrosPerStart", cost.microsEach(report.starts()));
            node.put("mebibytesEach", cost.mebibytesEach());
        });
        verdict(root.putObject("violations"), report.verdict());
        texts(root, "unanswered", report.unanswered());
        texts(root, "minionsWithoutRecord", report.unreadMinions());
        return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(root);
    }

    private static void verdict(ObjectNode node, Verdict verdict) {
        texts(node, "duplicateStarts", verdict.duplicateStarts());
        texts(node, "partialAnswers", verdict.partialAnswers());
        texts(node, "falseRefusals", verdict.falseRefusals());
        texts(node, "cutRequests", verdict.cutRequests());
        texts(node, "startsAfterLeaving", verdict.startsAfterLeaving());
        texts(node, "conflictingOutcomes", verdict.conflictingOutcomes());
        texts(node, "contradictedRefusals", verdict.contradictedRefusals());
        texts(node, "answersWithoutStart", verdict.unrecordedAnswers());
    }

    private static void numbers(ObjectNode node, Map<String, ? extends Number> values) {
        values.forEach((name, value) -> node.put(name, value.longValue()));
    }

    private static void texts(ObjectNode node, String name, List<String> values) {
        values.forEach(node.putArray(name)::add);
    }
}
