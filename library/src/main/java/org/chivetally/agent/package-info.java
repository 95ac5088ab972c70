/** The process beside a minion: admits starts, runs tasks on the minion, and keeps their results for a time. */
package org.chivetally.agent;
