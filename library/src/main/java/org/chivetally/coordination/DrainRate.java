package org.chivetally.coordination;

/** How many tasks a second leave the queue of a service while something waits there. */
final class DrainRate {
    private static final long WINDOW = 250_000_000L;
    private static final long VALID = 2_000_000_000L;
    private static final double WEIGHT = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private long measuredAt;
    private long windowBegin;
    private int inWindow;
    private boolean measuring;

    void left(boolean moreWait, long now) {
        if (!moreWait) {
            measuring = false;
            return;
        }
        if (!measuring) {
            measuring = true;
            windowBegin = now;
            inWindow = 0;
            return;
        }
        inWindow++;
        if (now - windowBegin >= WINDOW) {
            measure(now);
        }
    }

    /** Returns the rate per second; zero when none was measured lately. */
    double perSecond(long now) {
        return now - measuredAt <= VALID ? perSecond : 0;
    }

    private void measure(long now) {
        double sample = inWindow * NANOS_PER_SECOND / (now - windowBegin);
        perSecond = perSecond(now) == 0 ? sample : perSecond + WEIGHT * (sample - perSecond);
        measuredAt = now;
        windowBegin = now;
        inWindow = 0;
    }
}
