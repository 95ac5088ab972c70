package org.chivetally.agent;

import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** Parses the native state document: freeSlots, running, draining and healthy as JSON. */
final class NativeStateReader implements MinionStateSource.StateReader {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final int NOT_REPORTED = -1;

    @Override
    public MinionState read(String body) {
        try {
            JsonNode state = MAPPER.readTree(body);
            return new MinionState.Reported(
                    state.path("healthy").asBoolean(true),
                    state.path("draining").asBoolean(false),
                    state.path("freeSlots").asInt(NOT_REPORTED),
                    state.path("running").asInt(NOT_REPORTED));
        } catch (JacksonException e) {
            return new MinionState.Unreachable("the state document can't be parsed: " + e.getOriginalMessage());
        }
    }
}
