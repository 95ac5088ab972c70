/** The actor around the dispatcher: its links to agents, its timer and the execution of its effects. */
package org.chivetally.entry.dispatch;
