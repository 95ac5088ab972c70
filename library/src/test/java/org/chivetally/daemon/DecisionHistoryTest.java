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

class DecisionHistoryTest {
    private final DecisionHistory history = new DecisionHistory();

    // An operator must see the decisions about one job only, in the order in which they were made.
    @Test
    void keepsTheLinesOfEachJobInOrder() {
        decide("placed", "a");
        decide("placed", "b");
        decide("outcome", "a");
        assertThat(history.linesOf("a"), contains("event=placed job=a", "event=outcome job=a"));
        assertThat(history.linesOf("c"), empty());
    }

    // The history must not grow beyond its limit, and must keep the jobs with the latest decisions.
    @Test
    void discardsTheJobWithoutDecisionsForLongest() {
        decide("placed", "old");
        for (int line = 1; line < DecisionHistory.MAXIMUM_LINES; line++) {
            decide("placed", "busy");
        }
        assertThat(history.linesOf("busy"), hasSize(DecisionHistory.MAXIMUM_LINES - 1));
        decide("placed", "new");
        assertThat(history.linesOf("old"), empty());
        assertThat(history.linesOf("new"), hasSize(1));
    }

    private void decide(String event, String job) {
        DispatchCore core = (ignored, nanos) ->
                List.of(new DispatchEffect.WriteLine(EventLine.of(event).with("job", job)));
        history.recording(core).handle(new DispatchEvent.Ticked(), 0);
    }
}
