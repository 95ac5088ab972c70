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
    private static final long LEFT_PATIENCE_NANOS = Duration.ofSeconds(60).toNanos();

    private final Predicate<String> idempotent;
    private final Predicate<String> awaited;
    private final Map<AgentId, Named> named = new LinkedHashMap<>();
    private final Map<String, Hello> connected = new HashMap<>();
    private List<DispatchEvent> events = new ArrayList<>();

    /**
     * Creates an empty roster.
     *
     * @param idempotent tells whether a service's tasks may run twice
     * @param awaited tells whether an agent, by its process id, owes answers
     */
    AgentRoster(Predicate<String> idempotent, Predicate<String> awaited) {
        this.idempotent = idempotent;
        this.awaited = awaited;
    }

    /** Takes a new list of members in. */
    List<DispatchEvent> list(MemberList list, long now) {
        Set<AgentId> listed = new HashSet<>();
        for (Member agent : list.agents()) {
            boolean announced = !list.unannounced().contains(agent.id());
            listed.add(name(agent.id(), agent.service(), announced, null));
        }
        for (EndedMember over : list.ended()) {
            if (over.mayBeAgent()) {
                listed.add(name(over.id(), over.service(), true, over.reason()));
            }
        }
        forgetOthers(listed);
        return settle(now);
    }

    /** A connection to an agent can be used. */
    List<DispatchEvent> up(Hello hello, long now) {
        Hello before = connected.put(hello.getProcessId(), hello);
        if (before != null) {
            disconnect(idOf(before));
        }
        return settle(now);
    }

    /** No connection to an agent can be used. */
    List<DispatchEvent> down(AgentId agent, long now) {
        Hello hello = connected.get(agent.processId());
        if (hello != null && idOf(hello).equals(agent)) {
            connected.remove(agent.processId());
            disconnect(agent);
        }
        return settle(now);
    }

    /** Looks again at what may have changed with time or with the services' declarations. */
    List<DispatchEvent> settle(long now) {
        List.copyOf(named.entrySet()).forEach(one -> settle(one.getKey(), one.getValue(), now));
        List<DispatchEvent> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** Tells whether the dispatcher uses this incarnation now. */
    boolean isAdmitted(AgentId agent) {
        Named one = named.get(agent);
        return one != null && one.admitted;
    }

    /** Tells whether a process's connections are of use still. */
    boolean isWanted(String processId) {
        return named.entrySet().stream()
                .anyMatch(one -> one.getKey().processId().equals(processId) && !one.getValue().toldGone);
    }

    private AgentId name(Incarnation member, String service, boolean announced, EndedMember.Reason reason) {
        AgentId id = idOf(member);
        Named one = named.get(id);
        if (one == null) {
            one = new Named();
            named.put(id, one);
            events.add(new DispatchEvent.AgentNamed(id, service));
        }
        one.toldPresumed &= reason == EndedMember.Reason.PRESUMED_GONE;
        one.announced = announced;
        one.reason = reason;
        return id;
    }

    private void forgetOthers(Set<AgentId> listed) {
        Iterator<Map.Entry<AgentId, Named>> all = named.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<AgentId, Named> one = all.next();
            if (!listed.contains(one.getKey())) {
                all.remove();
                end(one.getKey(), one.getValue());
            }
        }
    }

    private void disconnect(AgentId agent) {
        Named one = named.get(agent);
        if (one != null) {
            one.admitted = false;
        }
        events.add(new DispatchEvent.AgentUnreachable(agent));
    }

    private void settle(AgentId id, Named one, long now) {
        Hello hello = connected.get(id.processId());
        if (hello != null && idOf(hello).equals(id)) {
            one.disconnectedAt = now;
            if (!one.admitted && mayBeUsed(one, hello)) {
                one.admitted = true;
                one.toldGone = false;
                events.add(new DispatchEvent.AgentConnected(id, hello));
            }
            return;
        }
        if (one.reason == null) {
            one.disconnectedAt = now;
            return;
        }
        switch (one.reason) {
            case SUPERSEDED -> end(id, one);
            case LEFT -> endIfDone(id, one, now);
            case PRESUMED_GONE -> presume(id, one);
        }
    }

    // A coordinator that takes a job over learns from the log which agents may hold its tasks. One that is known by its
    // introduction only may die before its announcement is written, and nobody would ask about what ran there; it gets
    // such work only as may run twice. One that was declared gone is used again once it has announced itself anew.
    private boolean mayBeUsed(Named one, Hello hello) {
        if (one.reason != null) {
            return one.reason == EndedMember.Reason.LEFT;
        }
        return one.announced || idempotent.test(hello.getService());
    }

    // An agent that leaves is taken out of the view while its last attempts still run; their results may need a new
    // connection.
    private void endIfDone(AgentId id, Named one, long now) {
        boolean patient = now - one.disconnectedAt < LEFT_PATIENCE_NANOS;
        if (!awaited.test(id.processId()) || !patient) {
            end(id, one);
        }
    }

    private void presume(AgentId id, Named one) {
        if (!one.toldPresumed) {
            one.toldPresumed = true;
            events.add(new DispatchEvent.AgentPresumedGone(id));
        }
    }

    private void end(AgentId id, Named one) {
        if (!one.toldGone) {
            one.toldGone = true;
            events.add(new DispatchEvent.AgentGone(id));
        }
    }

    private static AgentId idOf(Incarnation id) {
        return new AgentId(id.processId(), id.incarnation());
    }

    static AgentId idOf(Hello hello) {
        return new AgentId(hello.getProcessId(), hello.getIncarnation());
    }

    private static final class Named {
        private EndedMember.Reason reason;
        private boolean announced;
        private boolean admitted;
        private boolean toldPresumed;
        private boolean toldGone;
        private long disconnectedAt;
    }
}
