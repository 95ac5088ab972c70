package org.chivetally.agent;

/** One connection to the agent; numbers are never used again. */
public record PeerId(long number) {}
