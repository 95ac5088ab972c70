package org.chivetally.entry.submission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class WaitsTest {
    private static final Duration LIMIT = Duration.ofMinutes(1);

    private final ActorTestKit kit = ActorTestKit.create(ManualTime.config());
    private final Waits waits = new Waits(kit.system());

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    /**
     * An operator stops an idle entry and it stops at once. Its drain completes without a value, as stages of Void do;
     * a wait that took null for "nothing came" would last to its limit, and with it the stop.
     */
    @Test
    void aStageWithoutAValueEndsTheWait() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        CompletableFuture<Optional<Void>> wait = waits.within(LIMIT, drained).toCompletableFuture();
        assertThat(wait.isDone(), is(false));
        drained.complete(null);
        assertThat(wait.isDone(), is(true));
    }

    @Test
    void aWaitEndsAtItsLimit() {
        CompletableFuture<Optional<String>> wait =
                waits.within(LIMIT, new CompletableFuture<String>()).toCompletableFuture();
        ManualTime.get(kit.system()).timePasses(LIMIT);
        assertThat(wait.join(), is(Optional.empty()));
    }
}
