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
    /** An event for the {@link DispatchCore}. */
    record Event(DispatchEvent event) implements DispatchCommand {}

    /** Runs an action after all earlier events have been handled; the action must not block. */
    record RunAfterEvents(Runnable action) implements DispatchCommand {}

    /** The transport reports a change or a frame of a connection to an agent. */
    record Signal(LinkSignal signal) implements DispatchCommand {}

    /** The list of members changed. */
    record MembersChanged(MemberList members) implements DispatchCommand {}

    /** Another entry asks whether an agent is reachable; {@code alive} receives the answer. */
    record Probe(Incarnation agent, Consumer<Boolean> alive) implements DispatchCommand {}

    /** An effect of the membership view that concerns an agent. */
    record Membership(MembershipEffect effect) implements DispatchCommand {}

    /** Sends a frame to an agent; the frame is discarded if the agent is unreachable. */
    record Send(String processId, Frame frame) implements DispatchCommand {}

    /**
     * The lease is held until this time of the monotonic clock, in nanoseconds. Jobs that other entries took over
     * before the renewal in the log are sent before this message, as events.
     */
    record LeaseExtended(long untilNanos) implements DispatchCommand {}

    /** Stops the actor. */
    record Stop() implements DispatchCommand {}

    /** Periodic timer message. */
    record Tick() implements DispatchCommand {}
}
