package org.chivetally.standins;

/**
 * Counts of a {@link TcpRelay} since it started.
 *
 * @param accepted connections accepted
 * @param open forwarded connections of which at least one end is open now
 * @param bytesToTarget bytes forwarded to the target
 * @param bytesToClient bytes forwarded to the connecting side
 * @param bytesWithheld bytes read and never forwarded, because their direction was silent
 */
public record RelayStatistics(long accepted, int open, long bytesToTarget, long bytesToClient, long bytesWithheld) {}
