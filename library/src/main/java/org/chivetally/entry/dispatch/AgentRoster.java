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
 * Tells the dispatcher of agents: which incarnations there are and were, and which can be used.
 *
 * <p>Every incarnation that the members' list names is told before anything else of it. It counts as ended only when
 * nothing can come of it any more; of one that nobody reaches, the dispatcher learns just that. Times are nanoseconds
 * of one monotonic clock.
 */
final class AgentRoster {
    /** How long an agent that left is waited for while it owes answers; drains take less. */
    private static final long LEFT_AGENT_TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();

    private final Predicate<String> idempotent;
    private final Predicate<String> hasPendingAnswers;
    private final Map<AgentId, TrackedAgent> agents = new LinkedHashMap<>();
    private final Map<String, Hello> helloByProcess = new HashMap<>();
    private List<DispatchEvent> pendingEvents = new ArrayList<>();

    /**
     * Creates an empty roster.
     *
     * @param idempotent tells whether a service's tasks may run twice
     * @param awaited tells whether an agent, by its process id, owes answers
     */
    AgentRoster(Predicate<String> idempotent, Predicate<String> hasPendingAnswers) {
        this.idempotent = idempotent;
        this.hasPendingAnswers = hasPendingAnswers;
    }

    /** Takes a new list of members in. */
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

    /** A connection to an agent can be used. */
    List<DispatchEvent> up(Hello hello, long now) {
        Hello before = helloByProcess.put(hello.getProcessId(), hello);
        if (before != null) {
            disconnect(idOf(before));
        }
        return reevaluate(now);
    }

    /** No connection to an agent can be used. */
    List<DispatchEvent> down(AgentId agent, long now) {
        Hello hello = helloByProcess.get(agent.processId());
        if (hello != null && idOf(hello).equals(agent)) {
            helloByProcess.remove(agent.processId());
            disconnect(agent);
        }
        return reevaluate(now);
    }

    /** Looks again at what may have changed with time or with the services' declarations. */
    List<DispatchEvent> reevaluate(long now) {
        List.copyOf(agents.entrySet()).forEach(agent -> reevaluate(agent.getKey(), agent.getValue(), now));
        List<DispatchEvent> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        return events;
    }

    /** Tells whether the dispatcher uses this incarnation now. */
    boolean isAdmitted(AgentId agent) {
        TrackedAgent one = agents.get(agent);
        return one != null && one.admitted;
    }

    /** Tells whether a process's connections are of use still. */
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
        TrackedAgent one = agents.get(agent);
        if (one != null) {
            one.admitted = false;
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

    // A coordinator that takes a job over learns from the log which agents may hold its tasks. One that is known by its
    // introduction only may die before its announcement is written, and nobody would ask about what ran there; it gets
    // such work only as may run twice. One that was declared gone is used again once it has announced itself anew.
    private boolean isUsable(TrackedAgent agent, Hello hello) {
        if (agent.reason != null) {
            return agent.reason == EndedMember.Reason.LEFT;
        }
        return agent.announced || idempotent.test(hello.getService());
    }

    // An agent that leaves is taken out of the view while its last attempts still run; their results may need a new
    // connection.
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
