package org.chivetally.standins;

/**
 * Faults of a {@link TcpRelay}, which can be changed while it runs.
 *
 * @param delayMillis additional delay of each byte in each direction, in milliseconds
 * @param silence directions in which the currently open connections are silenced; they stay silent after the fault is
 *     removed
 * @param cut whether the currently open connections are closed at both ends
 * @param newConnections handling of connections opened from now on; {@link NewConnections#FORWARDED} if null
 */
public record RelayFaults(long delayMillis, Silence silence, boolean cut, NewConnections newConnections) {
    /** No faults. */
    public static final RelayFaults NONE = new RelayFaults(0, Silence.NONE, false, NewConnections.FORWARDED);

    /** Rejects negative delays; a null component means no fault. */
    public RelayFaults {
        if (delayMillis < 0) {
            throw new IllegalArgumentException("delayMillis can't be negative");
        }
        silence = silence == null ? Silence.NONE : silence;
        newConnections = newConnections == null ? NewConnections.FORWARDED : newConnections;
    }

    /** Returns faults that only silence the currently open connections. */
    public static RelayFaults silencing(Silence silence) {
        return new RelayFaults(0, silence, false, NewConnections.FORWARDED);
    }

    /** Directions of a connection in which nothing is forwarded, not even its close. */
    public enum Silence {
        /** Neither. */
        NONE,
        /** From the connecting side to the target. */
        TO_TARGET,
        /** From the target to the connecting side. */
        TO_CLIENT,
        /** Both. */
        BOTH;

        boolean silencesToTarget() {
            return this == TO_TARGET || this == BOTH;
        }

        boolean silencesToClient() {
            return this == TO_CLIENT || this == BOTH;
        }
    }

    /** Handling of new connections. */
    public enum NewConnections {
        /** They are forwarded to the target. */
        FORWARDED,
        /** They are accepted but never read, and not forwarded to the target. */
        SILENT,
        /** They are closed as soon as they are accepted. */
        CLOSED
    }
}
