/** The shell of the dispatcher: its connections to agents, its ticks and its effects. */
package org.chivetally.entry.dispatch;
