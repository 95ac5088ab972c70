package org.chivetally.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines from a separate thread through a bounded queue. If the reader of the output stalls, a blocking write
 * would stall the event loop, and all leases would expire. Lines that exceed the queue are dropped, and their number is
 * logged.
 */
public final class BoundedLogHandler extends Handler {
    /** Capacity of the queue: an entry's lines of two seconds under peak load, less than 2 MB. */
    static final int MAXIMUM_QUEUED_LINES = 8_192;

    private static final Logger ROOT = Logger.getLogger("");

    /**
     * Interval between two writes. Waking the thread costs more than writing a line, so lines are batched; a process
     * that is killed loses the lines of the last interval.
     */
    private static final long WRITE_INTERVAL_MILLIS = 100;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final TimestampFormatter timestamps = new TimestampFormatter();
    private volatile Thread suppressedThread;
    private final PrintStream out;

    /** Creates a handler that writes only when it is flushed, until it is installed. */
    BoundedLogHandler(PrintStream out) {
        this.out = out;
    }

    /**
     * Replaces all log handlers of the process and starts the writer thread.
     *
     * @param out output for the log lines
     * @param level minimum level of the lines
     */
    public static BoundedLogHandler install(PrintStream out, Level level) {
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        BoundedLogHandler handler = new BoundedLogHandler(out);
        ROOT.addHandler(handler);
        ROOT.setLevel(level);
        Thread writer = new Thread(handler::writeLoop, "log-writer");
        writer.setDaemon(true);
        writer.start();
        return handler;
    }

    @Override
    public void publish(LogRecord logRecord) {
        StringBuilder line = new StringBuilder("time=")
                .append(timestamps.format(logRecord.getMillis()))
                .append(" level=")
                .append(logRecord.getLevel())
                .append(' ')
                .append(logRecord.getMessage());
        for (Throwable cause = logRecord.getThrown(); cause != null; cause = cause.getCause()) {
            appendCause(line, cause);
        }
        if (Thread.currentThread() != suppressedThread && !lines.offer(line.toString())) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Runs an action and discards the log lines of its thread, such as those of a warm-up, which would mislead
     * operators.
     */
    public void runWithoutLogging(Runnable action) {
        suppressedThread = Thread.currentThread();
        try {
            action.run();
        } finally {
            suppressedThread = null;
        }
    }

    private static void appendCause(StringBuilder line, Throwable cause) {
        line.append(" cause=\"").append(cause).append('"');
        StackTraceElement[] frames = cause.getStackTrace();
        for (int index = 0; index < Math.min(6, frames.length); index++) {
            line.append(" at=").append(frames[index]);
        }
    }

    private void writeLoop() {
        try {
            while (true) {
                write(new StringBuilder(lines.take()).append('\n'));
                Thread.sleep(WRITE_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a batch and all queued lines in one call. */
    private void write(StringBuilder batch) {
        String next = lines.poll();
        while (next != null) {
            batch.append(next).append('\n');
            next = lines.poll();
        }
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            batch.append("event=log-lines-dropped lines=").append(droppedLines).append('\n');
        }
        out.print(batch);
        out.flush();
    }

    @Override
    public void flush() {
        write(new StringBuilder());
    }

    @Override
    public void close() {
        flush();
    }
}
