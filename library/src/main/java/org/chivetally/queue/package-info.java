/**
 * Jobs that outlive the request that brought them: what a job is, what its tasks go through, and how both are written
 * into the platform's log. Free of input and output.
 */
package org.chivetally.queue;
