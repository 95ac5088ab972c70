/** Pure decisions of a coordinator: queues, placement, retries, and the outcome of each job. */
package org.chivetally.coordination;
