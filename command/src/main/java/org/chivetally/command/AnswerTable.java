package org.chivetally.command;

import java.util.List;
import org.chivetally.command.output.Table;
import tools.jackson.databind.JsonNode;

/** A job's whole answer as a table: one line for each task, in the order of the submission. */
final class AnswerTable {
    private AnswerTable() {}

    /** Returns the lines for the document of an answer. */
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
