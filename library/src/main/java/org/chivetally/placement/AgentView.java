package org.chivetally.placement;

import java.util.Objects;
import org.chivetally.coordination.AgentId;
import org.chivetally.job.Resources;
import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/**
 * One incarnation of an agent as one coordinator sees it: its own attempts there exactly, the rest as of the last
 * report. Changed only by its {@link Fleet}, which keeps the indexes in step.
 */
public final class AgentView {
    private static final int NO_LIMIT = Integer.MAX_VALUE;
    private static final long REFRESH_TIMEOUT_NANOS = 500_000_000L;

    private final AgentId id;
    private String service = "";
    private String failureDomain = "";
    private int slots;
    private Resources workerCapacity = Resources.NONE;
    private boolean helloReceived;
    private boolean reachable;
    private boolean draining;
    private boolean leaving;
    private boolean minionDown;
    private boolean gone;
    private long ticket;
    private long ticketReceivedAtNanos;
    private long sequence;
    private boolean reported;
    private boolean refreshPending;
    private long refreshSentAtNanos;
    private int externalTasks;
    private int inFlight;
    private long processorMillisInFlight;
    private long memoryBytesInFlight;
    private int acceleratorsInFlight;
    private int attemptLimit = NO_LIMIT;
    private boolean heldDown;

    AgentView(AgentId id) {
        this.id = Objects.requireNonNull(id, "id");
    }

    /** Returns the incarnation. */
    public AgentId id() {
        return id;
    }

    /** Returns the service its minion runs; empty while neither a Hello of it nor the members' records named it. */
    public String service() {
        return service;
    }

    /** Returns the failure domain it said it is in. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the slots of its minion. */
    public int slots() {
        return slots;
    }

    /** Returns what its worker gives to the minion. */
    public Resources workerCapacity() {
        return workerCapacity;
    }

    /** Tells whether a Hello of it was ever seen, so that service and capacity are known. */
    public boolean helloReceived() {
        return helloReceived;
    }

    /** Tells whether a connection to it can be used. */
    public boolean reachable() {
        return reachable;
    }

    /** Tells whether the incarnation is dead beyond doubt. */
    public boolean gone() {
        return gone;
    }

    /** Returns this coordinator's attempts in flight there. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns what other coordinators had running or queued there at the last report. */
    public int externalTasks() {
        return externalTasks;
    }

    /** Returns the newest ticket, to be sent back as it is. */
    public long ticket() {
        return ticket;
    }

    /** Returns when the newest ticket arrived, in nanoseconds of this coordinator's clock. */
    public long ticketReceivedAtNanos() {
        return ticketReceivedAtNanos;
    }

    /** Tells whether a heartbeat was sent lately to refresh the ticket and nothing has come since. */
    public boolean refreshPending(long nowNanos) {
        return refreshPending && nowNanos - refreshSentAtNanos < REFRESH_TIMEOUT_NANOS;
    }

    /** Returns the most attempts in flight that quarantine and hold-down allow. */
    public int attemptLimit() {
        return heldDown ? Math.min(1, attemptLimit) : attemptLimit;
    }

    /** Tells whether a ticket arrived within the last {@code freshness} nanoseconds. */
    public boolean hasFreshTicket(long nowNanos, long maximumAgeNanos) {
        return reported && nowNanos - ticketReceivedAtNanos <= maximumAgeNanos;
    }

    /** Returns what the agent can be used for. */
    public AgentState state() {
        if (gone) {
            return AgentState.GONE;
        }
        if (!reachable) {
            return AgentState.UNREACHABLE;
        }
        if (draining || leaving) {
            return AgentState.DRAINING;
        }
        if (minionDown) {
            return AgentState.MINION_DOWN;
        }
        return attemptLimit() <= 0 ? AgentState.QUARANTINED : AgentState.USABLE;
    }

    /** Returns the slots thought to be free, with some of the agent's queue counted as slots; never negative. */
    public int estimatedFree(int overcommit) {
        if (!acceptsAttempt()) {
            return 0;
        }
        int bySlots = slots + overcommit - inFlight - externalTasks;
        return Math.max(0, Math.min(bySlots, attemptLimit() - inFlight));
    }

    /** Returns the share of slots thought to be taken; above 1 when tasks queue. */
    public double loadRatio() {
        return slots == 0 ? 1.0 : (double) (inFlight + externalTasks) / slots;
    }

    /** Tells whether the agent takes new work and quarantine allows one attempt more. */
    boolean acceptsAttempt() {
        return state() == AgentState.USABLE && inFlight < attemptLimit();
    }

    /** Tells whether a task fits beside this coordinator's own attempts there. */
    boolean hasRoomFor(Resources required) {
        return processorMillisInFlight + required.processorMillis() <= workerCapacity.processorMillis()
                && memoryBytesInFlight + required.memoryBytes() <= workerCapacity.memoryBytes()
                && acceleratorsInFlight + required.accelerators() <= workerCapacity.accelerators();
    }

    void applyHello(Hello hello) {
        Capacity capacity = hello.getCapacity();
        service = hello.getService();
        failureDomain = hello.getFailureDomain();
        slots = capacity.getSlots();
        workerCapacity =
                new Resources(capacity.getProcessorMillis(), capacity.getMemoryBytes(), capacity.getAccelerators());
        helloReceived = true;
    }

    void setService(String serviceName) {
        service = serviceName;
    }

    void setHeldDown(boolean held) {
        heldDown = held;
    }

    void markConnected() {
        gone = false;
        reachable = true;
        refreshPending = false;
    }

    void markDisconnected() {
        reachable = false;
        refreshPending = false;
    }

    void markGone() {
        gone = true;
        reachable = false;
    }

    void markLeaving() {
        leaving = true;
    }

    void refreshSent(long nowNanos) {
        refreshPending = true;
        refreshSentAtNanos = nowNanos;
    }

    void limitAttempts(int limit) {
        attemptLimit = limit;
    }

    /**
     * Takes a report in unless a newer one was seen: frames of an old connection may arrive after those of a new one,
     * and an old ticket or load would look like the newest.
     */
    boolean applyReport(Report report, long nowNanos) {
        if (reported && Long.compareUnsigned(report.getSequence(), sequence) < 0) {
            return false;
        }
        reported = true;
        refreshPending = false;
        sequence = report.getSequence();
        ticket = report.getTicket();
        ticketReceivedAtNanos = nowNanos;
        draining = report.getDraining();
        minionDown = report.getMinionUnhealthy();
        int occupied = Math.max(slots - report.getFreeSlots(), report.getRunning()) + report.getQueued();
        externalTasks = Math.max(0, occupied - inFlight);
        return true;
    }

    /** Counts the agent as full until its next report, whatever its last one said. */
    void presumeFull() {
        externalTasks = Math.max(externalTasks, slots - inFlight);
    }

    void startAttempt(Resources required) {
        inFlight++;
        processorMillisInFlight += required.processorMillis();
        memoryBytesInFlight += required.memoryBytes();
        acceleratorsInFlight += required.accelerators();
    }

    void endAttempt(Resources required) {
        inFlight--;
        processorMillisInFlight -= required.processorMillis();
        memoryBytesInFlight -= required.memoryBytes();
        acceleratorsInFlight -= required.accelerators();
    }

    @Override
    public String toString() {
        return id.processId() + "@" + id.incarnation();
    }
}
