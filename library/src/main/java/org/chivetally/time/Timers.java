package org.chivetally.time;

import java.time.Duration;

/** Clocks and timers of an event loop, which runs the actions one at a time. Tests use {@link VirtualTimers}. */
public interface Timers extends NanoClock {
    /** Returns the wall-clock time in milliseconds since 1970; it may jump forwards or backwards. */
    long epochMillis();

    /**
     * Runs an action once after a delay.
     *
     * @return timer that can cancel the action
     */
    Timer after(Duration delay, Runnable action);

    /**
     * Runs an action periodically, for the first time after one interval.
     *
     * @return timer that can cancel all further runs
     */
    default Timer every(Duration interval, Runnable action) {
        RepeatingTimer repetition = new RepeatingTimer(this, interval, action);
        repetition.schedule();
        return repetition;
    }

    /** A scheduled action. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the action if it has not run yet. */
        void cancel();
    }

    /** A periodic timer that schedules its next run before each run. */
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

        private void schedule() {
            next = timers.after(interval, this::run);
        }

        private void run() {
            if (cancelled) {
                return;
            }
            // Scheduled first, so that an exception in the action does not end the repetition and with it all
            // heartbeats.
            schedule();
            action.run();
        }

        @Override
        public void cancel() {
            cancelled = true;
            next.cancel();
        }
    }
}
