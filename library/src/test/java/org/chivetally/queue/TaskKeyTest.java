package org.chivetally.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the text format of task keys. */
class TaskKeyTest {
    /** Frames and minions identify runs by this format; a key that can't be parsed back would lose the run. */
    @Test
    void parsesItsOwnFormat() {
        TaskKey key = new TaskKey("00000000000000c1", 2, 3, 14);

        assertThat(TaskKey.parse(key.toString()), is(Optional.of(key)));
    }

    /**
     * A minion of another implementation may report keys of another format; an exception would abort the whole query.
     */
    @Test
    void rejectsMalformedText() {
        for (String text : List.of(
                "", "a", "a.1.2", "a.1.2.3.4", "a.1.2.", "a..2.3", "a.1.2.x", "a.1.-2.3", "a.1.2.99999999999")) {
            assertThat(text, TaskKey.parse(text), is(Optional.empty()));
        }
    }
}
