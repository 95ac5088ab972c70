package org.chivetally.standins;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the connections that carry tasks against a minion's limit; control requests take none. */
final class TaskConnections {
    private final int limit;
    private final AtomicInteger open = new AtomicInteger();

    TaskConnections(int limit) {
        this.limit = limit;
    }

    /** Begins to follow a connection, which counts from its first task on. */
    Connection newConnection() {
        return new Connection();
    }

    private boolean tryAcquire() {
        return open.getAndUpdate(count -> Math.min(limit, count + 1)) < limit;
    }

    /** One connection of the server. */
    final class Connection {
        private boolean counted;
        private boolean closed;

        /** Tells whether this connection may carry a task. */
        synchronized boolean tryAdmitTask() {
            if (!counted && !closed) {
                counted = tryAcquire();
            }
            return counted;
        }

        /** Gives the connection's place back. */
        synchronized void release() {
            closed = true;
            if (counted) {
                counted = false;
                open.decrementAndGet();
            }
        }
    }
}
