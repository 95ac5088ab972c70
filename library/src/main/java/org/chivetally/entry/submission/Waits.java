package org.chivetally.entry.submission;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;

/** Bounds waits by the actor system's scheduler. */
public final class Waits {
    private final ActorSystem<?> system;

    /** Creates bounds on the scheduler of a system. */
    public Waits(ActorSystem<?> system) {
        this.system = system;
    }

    /**
     * Returns a stage with the value when it comes within a time, and else empty; a value of null gives empty as well.
     */
    public <T> CompletionStage<Optional<T>> within(Duration wait, CompletionStage<T> value) {
        CompletableFuture<Optional<T>> first = new CompletableFuture<>();
        value.thenAccept(arrived -> first.complete(Optional.ofNullable(arrived)));
        if (first.isDone()) {
            return first;
        }
        Cancellable timer = system.scheduler()
                .scheduleOnce(wait, () -> first.complete(Optional.empty()), system.executionContext());
        first.thenRun(timer::cancel);
        return first;
    }
}
