package org.chivetally.entry.member;

import java.time.Duration;

/**
 * Times of the view of members.
 *
 * @param joinTimeout time without a connection after which a member that was never reached is suspected
 * @param contactTimeout time without a connection or an announcement after which a member is presumed gone without
 *     anyone's word; longer than the time between two announcements
 * @param endedRetention how long ended incarnations are named; at least as long as a claim may be taken over
 * @param firstQueryDelay time from a suspicion to the first question to other entries
 * @param queryInterval time to the next question; doubles up to the limit
 * @param longestQueryInterval longest time between two questions
 * @param answerTimeout time in which answers to a question count
 * @param minimumSuspicion least time of suspicion before a member is declared gone
 * @param declarationStagger time that each further entry waits before it declares the same member gone
 * @param announceOnBehalfAfter time after which an agent that only introduced itself is announced by this entry
 * @param flapWindow time without a suspicion after which earlier ones are forgotten
 * @param shortestHoldDown hold-down after the second suspicion; doubles with each further one
 * @param longestHoldDown longest hold-down
 */
public record MembershipSettings(
        Duration joinTimeout,
        Duration contactTimeout,
        Duration endedRetention,
        Duration firstQueryDelay,
        Duration queryInterval,
        Duration longestQueryInterval,
        Duration answerTimeout,
        Duration minimumSuspicion,
        Duration declarationStagger,
        Duration announceOnBehalfAfter,
        Duration flapWindow,
        Duration shortestHoldDown,
        Duration longestHoldDown) {
    /** Returns the times of the design note for claims that are remembered for a time. */
    public static MembershipSettings standard(Duration claimWindow) {
        return new MembershipSettings(
                Duration.ofSeconds(10),
                Duration.ofMinutes(25),
                claimWindow.multipliedBy(2),
                Duration.ofMillis(200),
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                Duration.ofMillis(800),
                Duration.ofSeconds(3),
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofSeconds(60),
                Duration.ofSeconds(1),
                Duration.ofSeconds(30));
    }
}
