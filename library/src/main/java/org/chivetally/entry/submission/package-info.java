/** The way of a submission: its claim, its run here or at another entry, and its outcome for the dedupe window. */
package org.chivetally.entry.submission;
