package org.chivetally.log;

/**
 * Counters of an {@link InMemoryPlatformLog} since its creation.
 *
 * @param appends appends that took effect, including late duplicates
 * @param records records written by these appends
 * @param reads requested reads
 * @param refusedAppends appends refused because the log was down
 * @param lostAnswers appends whose response was lost
 */
public record LogStatistics(long appends, long records, long reads, long refusedAppends, long lostAnswers) {}
