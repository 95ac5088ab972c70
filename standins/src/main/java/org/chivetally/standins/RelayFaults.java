package org.chivetally.standins;

/**
 * Faults of a {@link TcpRelay}, settable while it runs.
 *
 * @param delayMillis how long each byte is under way in each direction, in milliseconds
 * @param silence which directions of the connections open now fall silent; these stay so when the fault is taken back
 * @param cut whether the connections open now are closed at both ends
 * @param newConnections what becomes of connections opened from now on; {@link NewConnections#FORWARDED} if null
 */
public record RelayFaults(long delayMillis, Silence silence, boolean cut, NewConnections newConnections) {
    /** No fault at all. */
    public static final RelayFaults NONE = new RelayFaults(0, Silence.NONE, false, NewConnections.FORWARDED);

    /** Refuses negative delays; what is missing is no fault. */
    public RelayFaults {
        if (delayMillis < 0) {
            throw new IllegalArgumentException("delayMillis can't be negative");
        }
        silence = silence == null ? Silence.NONE : silence;
        newConnections = newConnections == null ? NewConnections.FORWARDED : newConnections;
    }

    /** Returns faults that only silence the connections open now. */
    public static RelayFaults silencing(Silence silence) {
        return new RelayFaults(0, silence, false, NewConnections.FORWARDED);
    }

    /** Directions of a connection in which nothing arrives any more, not even its end. */
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

    /** What becomes of new connections. */
    public enum NewConnections {
        /** They reach the target. */
        FORWARDED,
        /** They open and stay silent; the target does not see them. */
        SILENT,
        /** They are closed as soon as they open. */
        CLOSED
    }
}
