/**
 * Links between the processes of the queue path: who dials whom, when a link counts as silent, and stamps that tell how
 * old the peer's knowledge of this process is.
 */
package org.chivetally.queue.link;
