/** Tasks that crash minions: which are suspects, which are given up, and how often a task may start. */
package org.chivetally.queue.crash;
