/**
 * Links between the processes that serve queues: dialling and redialling of peers, silence timeouts, detection of
 * stalls and suspensions, and timestamps by which a process determines the age of its peers' information.
 */
package org.chivetally.queue.link;
