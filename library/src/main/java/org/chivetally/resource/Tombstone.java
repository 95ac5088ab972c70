package org.chivetally.resource;

/** What is remembered of a deleted resource, so that a late writer's conflict can name the deletion. */
record Tombstone(long version, String changedBy) {}
