package org.chivetally.standins;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of connections that carry tasks to a minion; connections with only control requests don't count.
 */
final class TaskConnections {
    private final int limit;
    private final AtomicInteger open = new AtomicInteger();

    TaskConnections(int limit) {
        this.limit = limit;
    }

    /** Starts tracking a new connection, which counts from its first task on. */
    Connection newConnection() {
        return new Connection();
    }

    private boolean tryAcquire() {
        return open.getAndUpdate(count -> Math.min(limit, count + 1)) < limit;
    }

    /** One connection to the minion's server. */
    final class Connection {
        private boolean counted;
        private boolean closed;

        /** Returns whether this connection may carry a task, and counts it if so. */
        synchronized boolean tryAdmitTask() {
            if (!counted && !closed) {
                counted = tryAcquire();
            }
            return counted;
        }

        /** Stops counting this connection when it is closed. */
        synchronized void release() {
            closed = true;
            if (counted) {
                counted = false;
                open.decrementAndGet();
            }
        }
    }
}
