package org.chivetally.standins;

/**
 * Counts of a {@link TcpRelay} since it started.
 *
 * @param accepted accepted connections
 * @param open forwarded connections of which at least one end is still open
 * @param bytesToTarget bytes forwarded to the target
 * @param bytesToClient bytes forwarded to the connecting side
 * @param bytesWithheld bytes read but never forwarded, because their direction was silenced
 */
public record RelayStatistics(long accepted, int open, long bytesToTarget, long bytesToClient, long bytesWithheld) {}
