package org.chivetally.log;

/**
 * Counts of an {@link InMemoryPlatformLog} since it started.
 *
 * @param appends appends that took effect, late duplicates included
 * @param records records written by them
 * @param reads reads asked for
 * @param refusedAppends appends refused because the log was down
 * @param lostAnswers appends whose answer was lost
 */
public record LogStatistics(long appends, long records, long reads, long refusedAppends, long lostAnswers) {}
