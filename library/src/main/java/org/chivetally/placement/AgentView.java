package org.chivetally.placement;

import java.util.Objects;
import org.chivetally.coordination.AgentId;
import org.chivetally.job.Resources;
import org.chivetally.wire.v1.Capacity;
import org.chivetally.wire.v1.Hello;
import org.chivetally.wire.v1.Report;

/**
 * State of one incarnation of an agent, as known to one coordinator. The coordinator's own attempts are counted
 * exactly; everything else is as of the agent's last report. Only {@link Fleet} modifies a view, so that its indexes
 * stay consistent.
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

    /** Returns the service that its minion runs; empty until a Hello or a membership record names it. */
    public String service() {
        return service;
    }

    /** Returns the failure domain that the agent announced in its Hello. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the number of slots of its minion. */
    public int slots() {
        return slots;
    }

    /** Returns the resources that its worker provides to the minion. */
    public Resources workerCapacity() {
        return workerCapacity;
    }

    /** Returns whether a Hello was received, so that service and capacity are known. */
    public boolean helloReceived() {
        return helloReceived;
    }

    /** Returns whether there is a usable connection to the agent. */
    public boolean reachable() {
        return reachable;
    }

    /** Returns whether the incarnation has certainly ended. */
    public boolean gone() {
        return gone;
    }

    /** Returns the number of this coordinator's attempts in flight on the agent. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the number of tasks that other coordinators had running or queued on the agent at its last report. */
    public int externalTasks() {
        return externalTasks;
    }

    /** Returns the latest ticket, an opaque value that is sent back unchanged with each start. */
    public long ticket() {
        return ticket;
    }

    /** Returns when the latest ticket arrived, in nanoseconds of this coordinator's monotonic clock. */
    public long ticketReceivedAtNanos() {
        return ticketReceivedAtNanos;
    }

    /**
     * Returns whether a heartbeat that asks for a new ticket was sent within the refresh timeout and no report has
     * arrived since.
     */
    public boolean refreshPending(long nowNanos) {
        return refreshPending && nowNanos - refreshSentAtNanos < REFRESH_TIMEOUT_NANOS;
    }

    /** Returns the maximum number of attempts in flight under quarantine and hold-down. */
    public int attemptLimit() {
        return heldDown ? Math.min(1, attemptLimit) : attemptLimit;
    }

    /** Returns whether a ticket arrived within the last {@code maximumAgeNanos} nanoseconds. */
    public boolean hasFreshTicket(long nowNanos, long maximumAgeNanos) {
        return reported && nowNanos - ticketReceivedAtNanos <= maximumAgeNanos;
    }

    /** Returns whether tasks can be placed on the agent, and if not, why. */
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

    /**
     * Returns the estimated number of free slots.
     *
     * @param overcommit number of places in the agent's own queue that count as slots
     * @return the estimate, never negative
     */
    public int estimatedFree(int overcommit) {
        if (!acceptsAttempt()) {
            return 0;
        }
        int bySlots = slots + overcommit - inFlight - externalTasks;
        return Math.max(0, Math.min(bySlots, attemptLimit() - inFlight));
    }

    /** Returns the estimated share of slots in use; above 1 when tasks are queued. */
    public double loadRatio() {
        return slots == 0 ? 1.0 : (double) (inFlight + externalTasks) / slots;
    }

    /** Returns whether the agent accepts new tasks and its attempt limit allows one more. */
    boolean acceptsAttempt() {
        return state() == AgentState.USABLE && inFlight < attemptLimit();
    }

    /** Returns whether a task fits into the worker's capacity next to this coordinator's own attempts. */
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
     * Applies a report unless a newer one was already applied. Frames of an old connection may arrive after those of a
     * new one, and would otherwise replace the latest ticket and load by outdated ones.
     *
     * @return whether the report was applied
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

    /** Counts all slots of the agent as occupied until its next report. */
    void assumeFull() {
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
