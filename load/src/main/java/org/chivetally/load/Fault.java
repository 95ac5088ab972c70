package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;
import org.chivetally.document.Section;

/** A fault that is brought about at a time during a run, and its end. */
public sealed interface Fault {
    /** Returns when it begins, from the beginning of the run. */
    Duration at();

    /** Returns how long it lasts; zero leaves it until the run's end. */
    Duration duration();

    /** Returns the name of the process or stand-in. */
    String target();

    /** Returns what is done and to whom, as it stands in reports. */
    String name();

    /**
     * Settings put at a stand-in, and its earlier state put back afterwards.
     *
     * @param settings JSON object of the stand-in's fault settings
     */
    record StandInFault(Duration at, Duration duration, String target, String settings) implements Fault {
        /** Refuses missing parts. */
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
     * A minion told to leave. It stays in that state until its process is stopped, so the end is that of the time in
     * which nothing new may start there.
     */
    record MinionDrain(Duration at, Duration duration, String target) implements Fault {
        /** Refuses missing parts. */
        public MinionDrain {
            Objects.requireNonNull(target, "target");
        }

        @Override
        public String name() {
            return target + " drain";
        }
    }

    /** Something done to a process. The load tool starts no process, so a script beside it carries these out. */
    record ProcessFault(Duration at, Duration duration, String target, Action action) implements Fault {
        /** Refuses missing parts. */
        public ProcessFault {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(action, "action");
        }

        @Override
        public String name() {
            return Section.kebabCase(action) + " " + target;
        }
    }

    /** What is done to a process. */
    enum Action {
        /** Stopped by SIGSTOP; SIGCONT at the end. */
        PAUSE,
        /** Ended by SIGKILL; started again at the end. */
        KILL,
        /** Ended by SIGTERM, which asks for a graceful stop; started again at the end. */
        TERMINATE
    }
}
