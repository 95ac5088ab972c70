package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;
import org.chivetally.document.Section;

/** A fault that is injected at a given time during a run and removed after a given duration. */
public sealed interface Fault {
    /** Returns the time of injection, measured from the beginning of the run. */
    Duration at();

    /** Returns how long the fault lasts; zero until the end of the run. */
    Duration duration();

    /** Returns the name of the affected process or stand-in. */
    String target();

    /** Returns the description of the fault in reports: what is done, and to which target. */
    String name();

    /**
     * Fault settings applied to a stand-in and cleared at the end.
     *
     * @param settings JSON object in the form of the stand-in's fault settings
     */
    record StandInFault(Duration at, Duration duration, String target, String settings) implements Fault {
        /** Rejects null components. */
        public StandInFault {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(settings, "settings");
        }

        @Override
        public String name() {
            return target + " " + settings;
        }
    }

    /**
     * A drain of a minion. The minion stays in the draining state until its process is stopped, so {@code duration} is
     * the period during which no new task may start on it.
     */
    record MinionDrain(Duration at, Duration duration, String target) implements Fault {
        /** Rejects null components. */
        public MinionDrain {
            Objects.requireNonNull(target, "target");
        }

        @Override
        public String name() {
            return target + " drain";
        }
    }

    /**
     * A signal sent to a process. The load tool starts no processes, so a script that runs beside it injects these
     * faults.
     *
     * @param action signal to send, and how the process recovers
     */
    record ProcessFault(Duration at, Duration duration, String target, Action action) implements Fault {
        /** Rejects null components. */
        public ProcessFault {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(action, "action");
        }

        @Override
        public String name() {
            return Section.kebabCase(action) + " " + target;
        }
    }

    /** How a process is disturbed, and how it recovers at the end of the fault. */
    enum Action {
        /** Suspended by SIGSTOP; resumed by SIGCONT at the end. */
        PAUSE,
        /** Killed by SIGKILL; restarted at the end. */
        KILL,
        /** Terminated by SIGTERM, which requests a graceful stop; restarted at the end. */
        TERMINATE
    }
}
