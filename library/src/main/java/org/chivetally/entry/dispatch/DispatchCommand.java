package org.chivetally.entry.dispatch;

import java.util.function.Consumer;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.link.LinkSignal;
import org.chivetally.entry.member.Incarnation;
import org.chivetally.entry.member.MemberList;
import org.chivetally.entry.member.MembershipEffect;
import org.chivetally.wire.v1.Frame;

/** Messages of {@link DispatchActor}. */
public sealed interface DispatchCommand {
    /** An event for the decisions. */
    record Event(DispatchEvent event) implements DispatchCommand {}

    /** Something to run once the events told before have been decided; it must not wait. */
    record RunAfterEvents(Runnable action) implements DispatchCommand {}

    /** The transport reports about a connection to an agent. */
    record Signal(LinkSignal signal) implements DispatchCommand {}

    /** The members changed. */
    record MembersChanged(MemberList members) implements DispatchCommand {}

    /** Another entry asks whether an agent can be reached. */
    record Probe(Incarnation agent, Consumer<Boolean> alive) implements DispatchCommand {}

    /** The view of members wants something done at an agent. */
    record Membership(MembershipEffect effect) implements DispatchCommand {}

    /** Send a frame to an agent; lost when it can't be reached now. */
    record Send(String processId, Frame frame) implements DispatchCommand {}

    /**
     * The lease is held until this reading of the clock, in nanoseconds. Jobs that others took over before the log says
     * so are told of before, as events.
     */
    record LeaseExtended(long untilNanos) implements DispatchCommand {}

    /** Ends the actor. */
    record Stop() implements DispatchCommand {}

    /** Time passed. */
    record Tick() implements DispatchCommand {}
}
