package org.chivetally.agent;

/** Identifies a connection to the agent; numbers are not reused within an incarnation. */
public record PeerId(long number) {}
