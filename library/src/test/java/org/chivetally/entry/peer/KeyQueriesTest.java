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

    // A key must not count as unknown before every entry has answered.
    @Test
    void aKeyThatAllEntriesDenyIsUnknownToAll() {
        queries.open(List.of(1L, 2L), unknownToAll, 0);
        queries.onAnswer(1, false, 1);
        assertThat(unknownToAll.isDone(), is(false));
        queries.onAnswer(2, false, 1);
        assertThat(unknownToAll.join(), is(true));
    }

    // An entry queries the others about a key during a log outage and is suspended for some seconds. Meanwhile the
    // caller retries and another entry runs the job. The denials buffered in the sockets of the suspended entry would
    // make it answer "not run".
    @Test
    void denialsReceivedAfterTheTimeoutProveNothing() {
        queries.open(List.of(1L, 2L), unknownToAll, 0);
        queries.onAnswer(1, false, 1);
        queries.onAnswer(2, false, Duration.ofSeconds(8).toNanos());
        assertThat(unknownToAll.join(), is(false));
    }
}
