package org.chivetally.command;

import java.util.List;
import org.chivetally.command.output.Table;
import tools.jackson.databind.JsonNode;

/** Formats a job's answer as a table with one row per task, in the order of the submission. */
final class AnswerTable {
    private AnswerTable() {}

    /** Returns the lines of the table for an answer document. */
    static List<String> lines(JsonNode document) {
        Table table = new Table("TASK", "ANSWER");
        int task = 0;
        for (JsonNode answer : document.path("answers")) {
            table.row(task, answer.toString());
            task++;
        }
        return table.lines();
    }
}
