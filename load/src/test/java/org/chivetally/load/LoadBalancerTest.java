package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.URI;
import java.net.http.HttpClient;
import java.util.List;
import java.util.Set;
import org.chivetally.load.Targets.Target;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against load that reaches the entries unevenly, or that reaches an entry which has reported unready. */
class LoadBalancerTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Target> entries = List.of(entry("1"), entry("2"), entry("3"));
    private final LoadBalancer loadBalancer = new LoadBalancer(client, entries);

    @AfterEach
    void close() {
        client.close();
    }

    /** An uneven choice would overload one entry and distort the response times. */
    @Test
    void entriesAreChosenRoundRobin() {
        for (int index = 0; index < 6; index++) {
            assertThat(loadBalancer.choose(Set.of()), is(entries.get(index % 3)));
        }
    }

    /**
     * A repeat avoids entries used before, but must not go to an unready one: its closed connection would look like a
     * failure of the entry.
     */
    @Test
    void readinessOutranksAvoidance() {
        loadBalancer.markUnready(entries.get(2));
        for (int index = 0; index < 6; index++) {
            assertThat(loadBalancer.choose(Set.of("1", "2")), is(not(entries.get(2))));
            assertThat(loadBalancer.choose(Set.of("1")), is(entries.get(1)));
        }
    }

    private static Target entry(String name) {
        return new Target(name, URI.create("http://127.0.0.1:1"));
    }
}
