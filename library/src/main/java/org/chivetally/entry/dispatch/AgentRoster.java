package org.chivetally.entry.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.chivetally.coordination.AgentId;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.member.EndedMember;
import org.chivetally.entry.member.Incarnation;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberList;
import org.chivetally.wire.v1.Hello;

/**
 * Tracks the current and former incarnations of agents and produces the dispatcher's events about them.
 *
 * <p>The first event about an incarnation is always {@link DispatchEvent.AgentNamed}. An incarnation is reported as
 * gone only when no frame can arrive from it any more; one that is merely unreachable is reported as unreachable or
 * presumed gone. Times are nanoseconds of one monotonic clock.
 */
final class AgentRoster {
    /** How long after its last connection an agent that left may still send answers; drains take less. */
    private static final long LEFT_AGENT_TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();

    private final Predicate<String> idempotent;
    private final Predicate<String> hasPendingAnswers;
    private final Map<AgentId, TrackedAgent> agents = new LinkedHashMap<>();
    private final Map<String, Hello> helloByProcess = new HashMap<>();
    private List<DispatchEvent> pendingEvents = new ArrayList<>();

    /**
     * Creates an empty roster.
     *
     * @param idempotent whether the tasks of a service may run twice, by service name
     * @param hasPendingAnswers whether answers from an agent are pending, by process id
     */
    AgentRoster(Predicate<String> idempotent, Predicate<String> hasPendingAnswers) {
        this.idempotent = idempotent;
        this.hasPendingAnswers = hasPendingAnswers;
    }

    /** Replaces the list of members and returns the resulting events. */
    List<DispatchEvent> updateMembers(MemberList members, long now) {
        Set<AgentId> listed = new HashSet<>();
        for (Member agent : members.agents()) {
            boolean announced = !members.unannounced().contains(agent.id());
            listed.add(track(agent.id(), agent.service(), announced, null));
        }
        for (EndedMember ended : members.ended()) {
            if (ended.mayBeAgent()) {
                listed.add(track(ended.id(), ended.service(), true, ended.reason()));
            }
        }
        endUnlisted(listed);
        return reevaluate(now);
    }

    /** Records that a connection to an agent is usable; an earlier one to the process counts as lost. */
    List<DispatchEvent> up(Hello hello, long now) {
        Hello before = helloByProcess.put(hello.getProcessId(), hello);
        if (before != null) {
            disconnect(idOf(before));
        }
        return reevaluate(now);
    }

    /** Records that no connection to an agent is usable. */
    List<DispatchEvent> down(AgentId agent, long now) {
        Hello hello = helloByProcess.get(agent.processId());
        if (hello != null && idOf(hello).equals(agent)) {
            helloByProcess.remove(agent.processId());
            disconnect(agent);
        }
        return reevaluate(now);
    }

    /** Returns the events caused by the passage of time or by changed declarations of services. */
    List<DispatchEvent> reevaluate(long now) {
        List.copyOf(agents.entrySet()).forEach(agent -> reevaluate(agent.getKey(), agent.getValue(), now));
        List<DispatchEvent> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        return events;
    }

    /** Returns whether the dispatcher may currently start tasks at this incarnation. */
    boolean isAdmitted(AgentId agent) {
        TrackedAgent tracked = agents.get(agent);
        return tracked != null && tracked.admitted;
    }

    /** Returns whether an incarnation of the process is not reported as gone, so that its link must be kept. */
    boolean needsConnection(String processId) {
        return agents.entrySet().stream()
                .anyMatch(agent -> agent.getKey().processId().equals(processId) && !agent.getValue().goneReported);
    }

    private AgentId track(Incarnation member, String service, boolean announced, EndedMember.Reason reason) {
        AgentId id = idOf(member);
        TrackedAgent agent = agents.get(id);
        if (agent == null) {
            agent = new TrackedAgent();
            agents.put(id, agent);
            pendingEvents.add(new DispatchEvent.AgentNamed(id, service));
        }
        agent.presumedGoneReported &= reason == EndedMember.Reason.PRESUMED_GONE;
        agent.announced = announced;
        agent.reason = reason;
        return id;
    }

    private void endUnlisted(Set<AgentId> listed) {
        Iterator<Map.Entry<AgentId, TrackedAgent>> remaining = agents.entrySet().iterator();
        while (remaining.hasNext()) {
            Map.Entry<AgentId, TrackedAgent> agent = remaining.next();
            if (!listed.contains(agent.getKey())) {
                remaining.remove();
                reportGone(agent.getKey(), agent.getValue());
            }
        }
    }

    private void disconnect(AgentId agent) {
        TrackedAgent tracked = agents.get(agent);
        if (tracked != null) {
            tracked.admitted = false;
        }
        pendingEvents.add(new DispatchEvent.AgentUnreachable(agent));
    }

    private void reevaluate(AgentId id, TrackedAgent agent, long now) {
        Hello hello = helloByProcess.get(id.processId());
        if (hello != null && idOf(hello).equals(id)) {
            agent.disconnectedAtNanos = now;
            if (!agent.admitted && isUsable(agent, hello)) {
                agent.admitted = true;
                agent.goneReported = false;
                pendingEvents.add(new DispatchEvent.AgentConnected(id, hello));
            }
            return;
        }
        if (agent.reason == null) {
            agent.disconnectedAtNanos = now;
            return;
        }
        switch (agent.reason) {
            case SUPERSEDED -> reportGone(id, agent);
            case LEFT -> endLeftAgent(id, agent, now);
            case PRESUMED_GONE -> reportPresumedGone(id, agent);
        }
    }

    // A coordinator that takes a job over reads from the log which agents may hold its tasks. An agent known only by
    // its Hello may crash before its announcement is in the log, and no coordinator would send it an inquiry. Such an
    // agent therefore runs only idempotent tasks. An agent that was declared gone is used again after its next
    // announcement.
    private boolean isUsable(TrackedAgent agent, Hello hello) {
        if (agent.reason != null) {
            return agent.reason == EndedMember.Reason.LEFT;
        }
        return agent.announced || idempotent.test(hello.getService());
    }

    // A leaving agent is removed from the list of members while its last attempts still run, and their results may
    // need a new connection.
    private void endLeftAgent(AgentId id, TrackedAgent agent, long now) {
        boolean withinTimeout = now - agent.disconnectedAtNanos < LEFT_AGENT_TIMEOUT_NANOS;
        if (!hasPendingAnswers.test(id.processId()) || !withinTimeout) {
            reportGone(id, agent);
        }
    }

    private void reportPresumedGone(AgentId id, TrackedAgent agent) {
        if (!agent.presumedGoneReported) {
            agent.presumedGoneReported = true;
            pendingEvents.add(new DispatchEvent.AgentPresumedGone(id));
        }
    }

    private void reportGone(AgentId id, TrackedAgent agent) {
        if (!agent.goneReported) {
            agent.goneReported = true;
            pendingEvents.add(new DispatchEvent.AgentGone(id));
        }
    }

    private static AgentId idOf(Incarnation id) {
        return new AgentId(id.processId(), id.incarnation());
    }

    static AgentId idOf(Hello hello) {
        return new AgentId(hello.getProcessId(), hello.getIncarnation());
    }

    private static final class TrackedAgent {
        private EndedMember.Reason reason;
        private boolean announced;
        private boolean admitted;
        private boolean presumedGoneReported;
        private boolean goneReported;
        private long disconnectedAtNanos;
    }
}
