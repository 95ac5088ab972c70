package org.chivetally.entry.member;

import java.time.Duration;

/**
 * Timeouts and intervals of the membership view.
 *
 * @param joinTimeout time after which a member that never connected is suspected
 * @param contactTimeout time without a connection or an announcement after which a member is presumed gone without
 *     confirmation by another entry; longer than the time between two announcements
 * @param endedRetention how long ended incarnations stay listed; at least as long as a claim may be taken over
 * @param firstQueryDelay time from a suspicion to the first query to other entries
 * @param queryInterval time between the first two queries; doubles up to {@code longestQueryInterval}
 * @param longestQueryInterval longest time between two queries
 * @param answerTimeout time to wait for the answers to a query before they are evaluated
 * @param minimumSuspicion shortest time that a member is suspected before it is declared gone
 * @param declarationStagger additional delay per rank of an entry before it declares the same member gone
 * @param announceOnBehalfAfter time after which this entry announces an agent that is not announced in the log
 * @param flapWindow time without a connection failure after which earlier failures are discarded
 * @param shortestHoldDown hold-down after the second connection failure; doubles with each further failure
 * @param longestHoldDown upper limit of the hold-down
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
    /** Returns the default settings; ended incarnations are kept for twice the given claim window. */
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
