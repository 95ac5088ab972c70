/**
 * The entry: owns partitions of jobs as the platform deals them out, keeps their jobs in the log, places their tasks,
 * and answers callers, for partitions of other entries by asking those.
 */
package org.chivetally.queue.entry;
