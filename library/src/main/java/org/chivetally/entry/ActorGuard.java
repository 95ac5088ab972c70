package org.chivetally.entry;

import java.util.concurrent.CompletableFuture;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.Terminated;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;

/**
 * Notices that an actor of an entry has ended by a broken invariant.
 *
 * <p>Without it the entry would go on accepting submissions that nobody decides about, and their callers would wait to
 * their deadlines. It stops instead; its lease lapses, and other entries take its jobs over.
 */
final class ActorGuard {
    private ActorGuard() {}

    /** Creates the behavior; the future fails when a watched actor ends before the guard is stopped. */
    static Behavior<Command> create(CompletableFuture<Void> failure) {
        return Behaviors.setup(context -> Behaviors.receive(Command.class)
                .onMessage(Watch.class, watch -> {
                    context.watch(watch.actor());
                    return Behaviors.same();
                })
                .onMessage(Stop.class, stop -> Behaviors.stopped())
                .onSignal(Terminated.class, ended -> {
                    String name = ended.getRef().path().name();
                    failure.completeExceptionally(
                            new ChivetallyException(ErrorCode.INTERNAL, "the actor " + name + " has ended"));
                    return Behaviors.same();
                })
                .build());
    }

    sealed interface Command {}

    /** Watch an actor. */
    record Watch(ActorRef<?> actor) implements Command {}

    /** The entry stops as planned. */
    record Stop() implements Command {}
}
