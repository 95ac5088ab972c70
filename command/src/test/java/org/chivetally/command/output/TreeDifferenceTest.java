package org.chivetally.command.output;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** Checks the lines that {@code diff} prints for changed, added and removed values. */
class TreeDifferenceTest {
    @Test
    void showsChangedAddedAndRemovedValues() {
        JsonNode old = tree("{\"limits\": {\"queue\": 5, \"retry\": 1}, \"labels\": [\"a\"]}");
        JsonNode updated = tree("{\"limits\": {\"queue\": 6}, \"labels\": [\"a\", \"b\"]}");
        assertThat(
                TreeDifference.lines(old, updated),
                contains("  + labels[1]: \"b\"", "  - limits.queue: 5", "  + limits.queue: 6", "  - limits.retry: 1"));
        assertThat(TreeDifference.lines(old, old), empty());
    }

    private static JsonNode tree(String text) {
        return JsonMapper.shared().readTree(text);
    }
}
