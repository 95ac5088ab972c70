/** The agent, the process beside a minion: it admits starts, runs tasks on the minion, and retains their results. */
package org.chivetally.agent;
