package org.chivetally.time;

import java.time.Duration;

/** The clocks and timers of one event loop; actions run on that loop, one at a time. Tests pause and advance it. */
public interface Timers extends NanoClock {
    /** Returns the time of day in milliseconds since 1970; may step either way. */
    long epochMillis();

    /** Runs an action once after a delay. */
    Timer after(Duration delay, Runnable action);

    /** Runs an action in regular intervals, the first time after one interval. */
    default Timer every(Duration interval, Runnable action) {
        RepeatingTimer repetition = new RepeatingTimer(this, interval, action);
        repetition.arm();
        return repetition;
    }

    /** An action that is due later. */
    @FunctionalInterface
    interface Timer {
        /** Keeps the action from running, if it hasn't yet. */
        void cancel();
    }

    /** Arms itself again after each run. */
    final class RepeatingTimer implements Timer {
        private final Timers timers;
        private final Duration interval;
        private final Runnable action;
        private Timer next;
        private boolean cancelled;

        private RepeatingTimer(Timers timers, Duration interval, Runnable action) {
            this.timers = timers;
            this.interval = interval;
            this.action = action;
        }

        private void arm() {
            next = timers.after(interval, this::run);
        }

        private void run() {
            if (cancelled) {
                return;
            }
            // Armed first: an action that throws must not end the repetition, which would silence heartbeats for good.
            arm();
            action.run();
        }

        @Override
        public void cancel() {
            cancelled = true;
            next.cancel();
        }
    }
}
