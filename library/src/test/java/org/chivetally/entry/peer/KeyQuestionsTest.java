package org.chivetally.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class KeyQuestionsTest {
    private final KeyQuestions questions = new KeyQuestions();
    private final CompletableFuture<Boolean> nobodyHas = new CompletableFuture<>();

    @Test
    void nobodyHasAKeyThatAllDeny() {
        questions.open(List.of(1L, 2L), nobodyHas, 0);
        questions.answered(1, false, 1);
        assertThat(nobodyHas.isDone(), is(false));
        questions.answered(2, false, 1);
        assertThat(nobodyHas.join(), is(true));
    }

    // An entry asks the others about a key in an outage and is paused for some seconds. Meanwhile a caller comes back
    // and
    // another entry runs the job. The denials that wait in the paused entry's sockets would make it say "not run".
    @Test
    void denialsTakenInLateProveNothing() {
        questions.open(List.of(1L, 2L), nobodyHas, 0);
        questions.answered(1, false, 1);
        questions.answered(2, false, Duration.ofSeconds(8).toNanos());
        assertThat(nobodyHas.join(), is(false));
    }
}
