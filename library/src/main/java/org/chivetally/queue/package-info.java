/**
 * The job model: specifications of jobs and their steps, the state of jobs and tasks, and the encoding of both for the
 * platform log. The classes perform no input or output.
 */
package org.chivetally.queue;
