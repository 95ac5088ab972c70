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
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final long REFRESH_PATIENCE_NANOS = 500_000_000L;

    private final AgentId id;
    private String service = "";
    private String failureDomain = "";
    private int slots;
    private Resources size = Resources.NONE;
    private boolean introduced;
    private boolean reachable;
    private boolean draining;
    private boolean leaving;
    private boolean minionDown;
    private boolean gone;
    private long ticket;
    private long ticketReceivedAt;
    private long sequence;
    private boolean reported;
    private boolean refreshPending;
    private long refreshSentAt;
    private int others;
    private int inFlight;
    private long processorMillisInFlight;
    private long memoryBytesInFlight;
    private int acceleratorsInFlight;
    private int allowed = UNLIMITED;
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
    public Resources size() {
        return size;
    }

    /** Tells whether a Hello of it was ever seen, so that service and capacity are known. */
    public boolean introduced() {
        return introduced;
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
    public int others() {
        return others;
    }

    /** Returns the newest ticket, to be sent back as it is. */
    public long ticket() {
        return ticket;
    }

    /** Returns when the newest ticket arrived, in nanoseconds of this coordinator's clock. */
    public long ticketReceivedAt() {
        return ticketReceivedAt;
    }

    /** Tells whether a heartbeat was sent lately to refresh the ticket and nothing has come since. */
    public boolean refreshPending(long now) {
        return refreshPending && now - refreshSentAt < REFRESH_PATIENCE_NANOS;
    }

    /** Returns the most attempts in flight that quarantine and hold-down allow. */
    public int allowed() {
        return heldDown ? Math.min(1, allowed) : allowed;
    }

    /** Tells whether a ticket arrived within the last {@code freshness} nanoseconds. */
    public boolean hasFreshTicket(long now, long freshness) {
        return reported && now - ticketReceivedAt <= freshness;
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
        return allowed() <= 0 ? AgentState.QUARANTINED : AgentState.USABLE;
    }

    /** Returns the slots thought to be free, with some of the agent's queue counted as slots; never negative. */
    public int estimatedFree(int overcommit) {
        if (!acceptsMore()) {
            return 0;
        }
        int bySlots = slots + overcommit - inFlight - others;
        return Math.max(0, Math.min(bySlots, allowed() - inFlight));
    }

    /** Returns the share of slots thought to be taken; above 1 when tasks queue. */
    public double loadRatio() {
        return slots == 0 ? 1.0 : (double) (inFlight + others) / slots;
    }

    /** Tells whether the agent takes new work and quarantine allows one attempt more. */
    boolean acceptsMore() {
        return state() == AgentState.USABLE && inFlight < allowed();
    }

    /** Tells whether a task fits beside this coordinator's own attempts there. */
    boolean hasRoomFor(Resources need) {
        return processorMillisInFlight + need.processorMillis() <= size.processorMillis()
                && memoryBytesInFlight + need.memoryBytes() <= size.memoryBytes()
                && acceleratorsInFlight + need.accelerators() <= size.accelerators();
    }

    void introduce(Hello hello) {
        Capacity capacity = hello.getCapacity();
        service = hello.getService();
        failureDomain = hello.getFailureDomain();
        slots = capacity.getSlots();
        size = new Resources(capacity.getProcessorMillis(), capacity.getMemoryBytes(), capacity.getAccelerators());
        introduced = true;
    }

    void name(String knownService) {
        service = knownService;
    }

    void holdDown(boolean held) {
        heldDown = held;
    }

    void connect() {
        gone = false;
        reachable = true;
        refreshPending = false;
    }

    void disconnect() {
        reachable = false;
        refreshPending = false;
    }

    void bury() {
        gone = true;
        reachable = false;
    }

    void drain() {
        leaving = true;
    }

    void refreshSent(long now) {
        refreshPending = true;
        refreshSentAt = now;
    }

    void allow(int concurrency) {
        allowed = concurrency;
    }

    /**
     * Takes a report in unless a newer one was seen: frames of an old connection may arrive after those of a new one,
     * and an old ticket or load would look like the newest.
     */
    boolean report(Report report, long now) {
        if (reported && Long.compareUnsigned(report.getSequence(), sequence) < 0) {
            return false;
        }
        reported = true;
        refreshPending = false;
        sequence = report.getSequence();
        ticket = report.getTicket();
        ticketReceivedAt = now;
        draining = report.getDraining();
        minionDown = report.getMinionUnhealthy();
        int taken = Math.max(slots - report.getFreeSlots(), report.getRunning()) + report.getQueued();
        others = Math.max(0, taken - inFlight);
        return true;
    }

    /** Counts the agent as full until its next report, whatever its last one said. */
    void presumeFull() {
        others = Math.max(others, slots - inFlight);
    }

    void start(Resources need) {
        inFlight++;
        processorMillisInFlight += need.processorMillis();
        memoryBytesInFlight += need.memoryBytes();
        acceleratorsInFlight += need.accelerators();
    }

    void end(Resources need) {
        inFlight--;
        processorMillisInFlight -= need.processorMillis();
        memoryBytesInFlight -= need.memoryBytes();
        acceleratorsInFlight -= need.accelerators();
    }

    @Override
    public String toString() {
        return id.processId() + "@" + id.incarnation();
    }
}
