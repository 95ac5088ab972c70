package org.chivetally.entry.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class KeyQueriesTest {
    private final KeyQueries queries = new KeyQueries();
    private final CompletableFuture<Boolean> unknownToAll = new CompletableFuture<>();

    @Test
    void aKeyThatAllEntriesDenyIsUnknownToAll() {
        queries.open(List.of(1L, 2L), unknownToAll, 0);
        queries.onAnswer(1, false, 1);
        assertThat(unknownToAll.isDone(), is(false));
        queries.onAnswer(2, false, 1);
        assertThat(unknownToAll.join(), is(true));
    }

    // An entry asks the others about a key in an outage and is paused for some seconds. Meanwhile a caller comes back
    // and
    // another entry runs the job. The denials that wait in the paused entry's sockets would make it say "not run".
    @Test
    void denialsReceivedAfterTheTimeoutAreIgnored() {
        queries.open(List.of(1L, 2L), unknownToAll, 0);
        queries.onAnswer(1, false, 1);
        queries.onAnswer(2, false, Duration.ofSeconds(8).toNanos());
        assertThat(unknownToAll.join(), is(false));
    }
}
