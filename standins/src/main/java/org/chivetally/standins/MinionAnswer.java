package org.chivetally.standins;

import tools.jackson.databind.JsonNode;

/** Answer of a minion to a task. */
sealed interface MinionAnswer {
    /** The task completed. The components are the fields of the answer's JSON. */
    record Done(int task, JsonNode answer, String minion) implements MinionAnswer {}

    /** The task ran and failed. */
    record Failed(int task, String error, String minion) implements MinionAnswer {}

    /** The task did not start. */
    record Refused(String reason) implements MinionAnswer {}
}
