/** Tasks that crash the minions that start them: who is a suspect, who is given up, and how often a task may start. */
package org.chivetally.queue.crash;
