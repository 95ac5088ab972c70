package org.chivetally.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.List;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.dispatch.DispatchCore;
import org.chivetally.logging.EventLine;
import org.junit.jupiter.api.Test;

class DecisionMemoryTest {
    private final DecisionMemory memory = new DecisionMemory();

    @Test
    void keepsTheLinesOfEachJobInOrder() {
        decide("placed", "a");
        decide("placed", "b");
        decide("outcome", "a");
        assertThat(memory.of("a"), contains("event=placed job=a", "event=outcome job=a"));
        assertThat(memory.of("c"), empty());
    }

    @Test
    void forgetsTheJobWithoutDecisionsForLongest() {
        decide("placed", "old");
        for (int line = 1; line < DecisionMemory.MAXIMUM_LINES; line++) {
            decide("placed", "busy");
        }
        assertThat(memory.of("busy"), hasSize(DecisionMemory.MAXIMUM_LINES - 1));
        decide("placed", "new");
        assertThat(memory.of("old"), empty());
        assertThat(memory.of("new"), hasSize(1));
    }

    private void decide(String event, String job) {
        DispatchCore core = (ignored, nanos) ->
                List.of(new DispatchEffect.WriteLine(EventLine.of(event).with("job", job)));
        memory.remembering(core).handle(new DispatchEvent.Ticked(), 0);
    }
}
