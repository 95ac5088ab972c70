package org.chivetally.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TaskKeyTest {
    /** Each run of a task is named by frames and by the minion's lists, and is read back at every start and look. */
    @Test
    void parsesItsOwnFormat() {
        TaskKey key = new TaskKey("00000000000000c1", 2, 3, 14);

        assertThat(TaskKey.parse(key.toString()), is(Optional.of(key)));
    }

    /** A minion of another implementation may list names that no task has; they must not stop the look. */
    @Test
    void rejectsMalformedText() {
        for (String text : List.of(
                "", "a", "a.1.2", "a.1.2.3.4", "a.1.2.", "a..2.3", "a.1.2.x", "a.1.-2.3", "a.1.2.99999999999")) {
            assertThat(text, TaskKey.parse(text), is(Optional.empty()));
        }
    }
}
