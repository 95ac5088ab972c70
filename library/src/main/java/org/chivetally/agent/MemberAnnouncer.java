package org.chivetally.agent;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.NewRecord;
import org.chivetally.log.PlatformLog;

/**
 * Announces a process on the log's stream of members: at its start, then periodically, and when it leaves.
 *
 * <p>The announcement is repeated because the log retains records for a limited time only. At most one append is in
 * flight. A failed append is retried with the same record id, so that readers can drop the duplicate when only the
 * answer was lost.
 */
public final class MemberAnnouncer {
    /**
     * Time between announcements; under half the retention of the log. Every entry reads each announcement, so with a
     * shorter interval they would be most of the control traffic at 650 agents.
     */
    public static final Duration DEFAULT_INTERVAL = Duration.ofMinutes(10);

    private final ActorRef<Command> actor;

    /**
     * Starts announcing a process.
     *
     * @param interval time between announcements, such as {@link #DEFAULT_INTERVAL}
     */
    public MemberAnnouncer(ActorSystem<?> system, PlatformLog log, Member member, Duration interval) {
        actor = system.systemActorOf(
                Behaviors.setup(context ->
                        Behaviors.withTimers(timers -> new AnnouncerBehavior(context, timers, log, member, interval))),
                "announcer-" + member.incarnation(),
                Props.empty());
    }

    /** Announces the process now, or again after the announcement in flight has been written. */
    public void announceNow() {
        actor.tell(new AnnounceNow());
    }

    /** Stops announcing and appends the leave; completes when it is written, or after five seconds at the latest. */
    public CompletionStage<Void> leave() {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        actor.tell(new Leave(completion));
        return completion;
    }

    private sealed interface Command {}

    private record Append() implements Command {}

    private record Appended(AppendOutcome outcome) implements Command {}

    private record AnnounceNow() implements Command {}

    private record Leave(CompletableFuture<Void> completion) implements Command {}

    private record LeaveTimedOut() implements Command {}

    private static final class AnnouncerBehavior extends AbstractBehavior<Command> {
        private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);
        /**
         * The backoff grows up to the interval divided by this. During an outage of the log each failed attempt makes
         * the process introduce itself to all seeds, so the attempts must become rare.
         */
        private static final int BACKOFFS_PER_INTERVAL = 4;

        private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(5);

        private final TimerScheduler<Command> timers;
        private final PlatformLog log;
        private final Member member;
        private final Duration interval;
        private NewRecord record;
        private Duration backoff = FIRST_BACKOFF;
        private long lastRecordNumber;
        private boolean inFlight;
        private boolean announceAgain;
        private boolean leaveSent;
        private CompletableFuture<Void> leaveCompletion;

        AnnouncerBehavior(
                ActorContext<Command> context,
                TimerScheduler<Command> timers,
                PlatformLog log,
                Member member,
                Duration interval) {
            super(context);
            this.timers = timers;
            this.log = log;
            this.member = member;
            this.interval = interval;
            this.record = nextRecord(new MemberRecord.Announced(member));
            append();
        }

        @Override
        public Receive<Command> createReceive() {
            return newReceiveBuilder().onMessage(Command.class, this::handle).build();
        }

        private Behavior<Command> handle(Command command) {
            return switch (command) {
                case Append due -> append();
                case AnnounceNow now -> announceNow();
                case Appended appended -> appended(appended.outcome());
                case Leave leave -> leave(leave.completion());
                case LeaveTimedOut giveUp -> stop();
            };
        }

        private Behavior<Command> append() {
            timers.cancel(new Append());
            inFlight = true;
            log.append(MemberRecord.STREAM, List.of(record))
                    .thenAccept(outcome -> getContext().getSelf().tell(new Appended(outcome)));
            return this;
        }

        // The append in flight may be ordered before the record that made this announcement necessary, so it doesn't
        // replace it.
        private Behavior<Command> announceNow() {
            announceAgain = inFlight;
            return inFlight || leaveCompletion != null ? this : append();
        }

        private Behavior<Command> leave(CompletableFuture<Void> completion) {
            if (leaveCompletion != null) {
                leaveCompletion.thenAccept(completion::complete);
                return this;
            }
            leaveCompletion = completion;
            timers.cancelAll();
            timers.startSingleTimer(new LeaveTimedOut(), LEAVE_TIMEOUT);
            // The leave must follow an announcement in flight in the log, so it is appended after that has ended.
            return inFlight ? this : appendLeave();
        }

        private Behavior<Command> appendLeave() {
            leaveSent = true;
            record = nextRecord(new MemberRecord.Left(member.processId(), member.incarnation()));
            return append();
        }

        private Behavior<Command> appended(AppendOutcome outcome) {
            inFlight = false;
            boolean written = outcome instanceof AppendOutcome.Appended;
            if (leaveCompletion != null) {
                return continueLeave(written);
            }
            if (!written) {
                return appendAfterBackoff();
            }
            backoff = FIRST_BACKOFF;
            record = nextRecord(new MemberRecord.Announced(member));
            if (announceAgain) {
                announceAgain = false;
                return append();
            }
            timers.startSingleTimer(new Append(), interval);
            return this;
        }

        private Behavior<Command> continueLeave(boolean written) {
            if (!leaveSent) {
                return appendLeave();
            }
            return written ? stop() : appendAfterBackoff();
        }

        private Behavior<Command> stop() {
            leaveCompletion.complete(null);
            return Behaviors.stopped();
        }

        private Behavior<Command> appendAfterBackoff() {
            timers.startSingleTimer(new Append(), backoff);
            Duration doubled = backoff.multipliedBy(2);
            Duration maximumBackoff = interval.dividedBy(BACKOFFS_PER_INTERVAL);
            backoff = doubled.compareTo(maximumBackoff) < 0 ? doubled : maximumBackoff;
            return this;
        }

        private NewRecord nextRecord(MemberRecord content) {
            lastRecordNumber++;
            String id = member.processId() + "/" + member.incarnation() + "/" + lastRecordNumber;
            return new NewRecord(id, content.toJson());
        }
    }
}
